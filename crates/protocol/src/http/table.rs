//! The answer to a command: a table with notes.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// One cell of a table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// Nothing to say.
    #[default]
    Empty,
    /// Yes or no.
    Flag(bool),
    /// A whole number.
    Integer(i64),
    /// A number with a fraction.
    Real(f64),
    /// A word, an id or a quantity with its unit.
    Text(String),
}

impl Cell {
    /// Makes a text cell from anything that has a text form.
    pub fn text(value: impl fmt::Display) -> Self {
        Self::Text(value.to_string())
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("-"),
            Self::Flag(true) => f.write_str("yes"),
            Self::Flag(false) => f.write_str("no"),
            Self::Integer(number) => number.fmt(f),
            Self::Real(number) => number.fmt(f),
            Self::Text(text) => f.write_str(text),
        }
    }
}

impl From<bool> for Cell {
    fn from(flag: bool) -> Self {
        Self::Flag(flag)
    }
}

impl From<i64> for Cell {
    fn from(number: i64) -> Self {
        Self::Integer(number)
    }
}

impl From<u32> for Cell {
    fn from(number: u32) -> Self {
        Self::Integer(number.into())
    }
}

impl From<u64> for Cell {
    /// Saturates at the largest signed number.
    fn from(number: u64) -> Self {
        Self::Integer(i64::try_from(number).unwrap_or(i64::MAX))
    }
}

impl From<usize> for Cell {
    /// Saturates at the largest signed number.
    fn from(number: usize) -> Self {
        Self::Integer(i64::try_from(number).unwrap_or(i64::MAX))
    }
}

impl From<f64> for Cell {
    fn from(number: f64) -> Self {
        Self::Real(number)
    }
}

impl From<&str> for Cell {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Cell {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

/// A table with named columns, notes for people, and the token that confirms a dry run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows, each with a cell for every column.
    pub rows: Vec<Vec<Cell>>,
    /// Sentences for people.
    #[serde(default)]
    pub notes: Vec<String>,
    /// The token with which the command that was run dry can be run; absent where none is needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirm: Option<String>,
}

impl Table {
    /// Makes an empty table with the names of its columns.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_protocol::http::table::Table;
    ///
    /// let table = Table::new(["node", "state"]).row(["n1".into(), "live".into()]);
    /// assert_eq!(table.rows.len(), 1);
    /// ```
    ///
    /// See also [`Self::row`], [`Self::note`] and [`Self::confirm`].
    pub fn new<const N: usize>(columns: [&str; N]) -> Self {
        Self {
            columns: columns.map(str::to_owned).into(),
            ..Self::default()
        }
    }

    /// Adds a row.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub fn row<const N: usize>(mut self, cells: [Cell; N]) -> Self {
        self.rows.push(cells.into());
        self
    }

    /// Adds a sentence for people.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub fn note(mut self, note: impl Into<String>) -> Self {
        self.notes.push(note.into());
        self
    }

    /// Sets the token that confirms a dry run.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub fn confirm(mut self, token: impl Into<String>) -> Self {
        self.confirm = Some(token.into());
        self
    }

    /// Returns the table as its JSON document.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
