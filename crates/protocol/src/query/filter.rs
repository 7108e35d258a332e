//! Conditions on the rows of a table.

use std::{
    cmp::Ordering,
    fmt,
    str::FromStr, //
};

use fulmarpier_state::unit::{
    Bytes,
    Millicores,
    Span, //
};

use super::token;
use crate::{
    http::table::{
        Cell,
        Table, //
    },
    suggest,
};

/// How a field is compared with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operator {
    /// The same.
    Equal,
    /// Not the same.
    NotEqual,
    /// Less.
    Below,
    /// More.
    Above,
    /// Less or the same.
    AtMost,
    /// More or the same.
    AtLeast,
    /// The text contains the value.
    Contains,
}

impl Operator {
    /// All operators.
    pub const ALL: [Self; 7] = [
        Self::Equal,
        Self::NotEqual,
        Self::Below,
        Self::Above,
        Self::AtMost,
        Self::AtLeast,
        Self::Contains,
    ];

    /// The words for the operators in the order of [`Self::ALL`]; unlike the signs, no shell takes
    /// them for its own.
    pub const WORDS: &'static [&'static str] = &["eq", "ne", "lt", "gt", "le", "ge", "contains"];

    fn admits(self, ordering: Ordering) -> bool {
        match self {
            Self::Equal => ordering.is_eq(),
            Self::NotEqual => ordering.is_ne(),
            Self::Below => ordering.is_lt(),
            Self::Above => ordering.is_gt(),
            Self::AtMost => ordering.is_le(),
            Self::AtLeast => ordering.is_ge(),
            Self::Contains => false,
        }
    }
}

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::Below => "<",
            Self::Above => ">",
            Self::AtMost => "<=",
            Self::AtLeast => ">=",
            Self::Contains => "~",
        })
    }
}

/// One condition on a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The column.
    pub field: String,
    /// How it is compared.
    pub operator: Operator,
    /// What it is compared with.
    pub value: String,
}

impl Condition {
    /// Returns whether a cell meets the condition.
    ///
    /// Numbers and quantities with units compare by size, ids of one kind by their number, and other
    /// text by its letters. An empty cell meets only `!=`.
    pub fn admits(&self, cell: &Cell) -> bool {
        if *cell == Cell::Empty {
            return self.operator == Operator::NotEqual;
        }
        let text = cell.to_string();
        if self.operator == Operator::Contains {
            return text.contains(&self.value);
        }
        self.operator.admits(compare(&text, &self.value))
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = token::quote(&self.field);
        let value = token::quote(&self.value);
        write!(f, "{field} {} {value}", self.operator)
    }
}

/// The table has no such column.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no field `{field}`; the fields are {}", .known.join(", "))]
pub struct UnknownField {
    /// The field as given.
    pub field: String,
    /// The columns of the table.
    pub known: Vec<String>,
    /// The column that was probably meant.
    pub suggestion: Option<String>,
}

/// Conditions that a row has to meet, all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// The conditions.
    pub conditions: Vec<Condition>,
}

impl Filter {
    /// Keeps the rows of a table that meet all conditions.
    ///
    /// # Errors
    ///
    /// Fails where a condition names a column that the table does not have.
    pub fn apply(&self, table: &mut Table) -> Result<(), UnknownField> {
        for condition in &self.conditions {
            let column = column(table, &condition.field)?;
            let admits =
                |row: &Vec<Cell>| row.get(column).is_some_and(|cell| condition.admits(cell));
            table.rows.retain(admits);
        }
        Ok(())
    }
}

fn column(table: &Table, field: &str) -> Result<usize, UnknownField> {
    let found = table.columns.iter().position(|column| column == field);
    found.ok_or_else(|| UnknownField {
        field: field.to_owned(),
        known: table.columns.clone(),
        suggestion: suggest::nearest(field, table.columns.iter().map(String::as_str))
            .map(str::to_owned),
    })
}

/// Compares two texts as what both of them can be read as.
fn compare(a: &str, b: &str) -> Ordering {
    if let Some(ordering) = compare_as::<f64>(a, b) {
        return ordering;
    }
    compare_as::<Span>(a, b)
        .or_else(|| compare_as::<Bytes>(a, b))
        .or_else(|| compare_as::<Millicores>(a, b))
        .or_else(|| compare_ids(a, b))
        .unwrap_or_else(|| a.cmp(b))
}

fn compare_as<T: FromStr + PartialOrd>(a: &str, b: &str) -> Option<Ordering> {
    let a: T = a.parse().ok()?;
    a.partial_cmp(&b.parse().ok()?)
}

/// Compares ids such as `w9` and `w17` by number where their letters are the same.
fn compare_ids(a: &str, b: &str) -> Option<Ordering> {
    let (a_letters, a_number) = split_id(a)?;
    let (b_letters, b_number) = split_id(b)?;
    (a_letters == b_letters).then(|| a_number.cmp(&b_number))
}

fn split_id(text: &str) -> Option<(&str, u64)> {
    let letters = text.trim_end_matches(|c: char| c.is_ascii_digit());
    let number = text[letters.len()..].parse().ok()?;
    Some((letters, number))
}
