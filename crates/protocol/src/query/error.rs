//! What can be wrong with a line, with its place.

use std::{
    fmt,
    ops::Range, //
};

use fulmarpier_coordination::config::ShareError;
use fulmarpier_state::{
    id,
    name,
    refusal::{
        Reason,
        Refusal, //
    },
    unit, //
};

use crate::{
    http::invalid,
    problem::Problem, //
};

/// One way in which a value can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// A name is not acceptable.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// An id is not acceptable.
    #[error(transparent)]
    Id(#[from] id::ParseError),
    /// A quantity is not acceptable.
    #[error(transparent)]
    Unit(#[from] unit::ParseError),
    /// A share is not acceptable.
    #[error(transparent)]
    Share(#[from] ShareError),
    /// The text is not a whole number in range.
    #[error("expected a whole number in range, found `{found}`")]
    Number {
        /// The text as given.
        found: String,
    },
    /// A part of a job is not acceptable.
    #[error(transparent)]
    Job(#[from] invalid::Cause),
}

/// One way in which a line can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Mistake {
    /// The line is too long.
    #[error("the line has {len} bytes, at most {most} are accepted")]
    Long {
        /// The length as given.
        len: usize,
        /// The longest that is accepted.
        most: usize,
    },
    /// A character begins no token.
    #[error("unexpected character {found:?}")]
    Character {
        /// The character.
        found: char,
    },
    /// A quoted word has no end.
    #[error("the quote is not closed")]
    Unclosed,
    /// The line ends too early.
    #[error("expected {expected}")]
    Missing {
        /// What was expected.
        expected: String,
    },
    /// A word is not one of those that are known here.
    #[error("expected {}, found `{found}`", one_of(.known))]
    Word {
        /// The word as given.
        found: String,
        /// The words that are known here.
        known: &'static [&'static str],
        /// The word that was probably meant.
        suggestion: Option<&'static str>,
    },
    /// Something stands behind the end of the command.
    #[error("the command ends before this")]
    Extra,
    /// A pair stands twice.
    #[error("`{key}` stands twice")]
    Twice {
        /// The key.
        key: String,
    },
    /// A value is not acceptable.
    #[error("{0}")]
    Value(#[from] Cause),
}

impl Mistake {
    /// Returns the word that was probably meant.
    pub const fn suggestion(&self) -> Option<&'static str> {
        match self {
            Self::Word { suggestion, .. } => *suggestion,
            _ => None,
        }
    }
}

/// A mistake and its place in the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The line as given; empty where it is too long to be shown.
    pub line: String,
    /// The place of the mistake in the line, in bytes.
    pub place: Range<usize>,
    /// What is wrong.
    pub mistake: Mistake,
}

impl Error {
    pub(super) fn new(line: &str, place: Range<usize>, mistake: Mistake) -> Self {
        Self {
            line: line.to_owned(),
            place,
            mistake,
        }
    }

    /// Returns what the reader can do about it.
    pub fn hint(&self) -> Option<String> {
        let word = self.mistake.suggestion()?;
        Some(format!("did you mean `{word}`?"))
    }

    /// Returns the column of the mistake in characters, from zero, and its width, at least one.
    fn columns(&self) -> (usize, usize) {
        let len = self.line.len();
        let count = |range: Range<usize>| self.line.get(range).unwrap_or_default().chars().count();
        let beyond = self.place.start.saturating_sub(len);
        let column = count(0..self.place.start.min(len)) + beyond;
        let width = count(self.place.clone()).max(1);
        (column, width)
    }
}

impl fmt::Display for Error {
    /// Writes the mistake, then the line with a mark under the place.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.mistake.fmt(f)?;
        if let Some(hint) = self.hint() {
            write!(f, "; {hint}")?;
        }
        if self.line.is_empty() {
            return Ok(());
        }
        let (column, width) = self.columns();
        let line = self.line.replace(char::is_control, "\u{fffd}");
        write!(f, "\n  {line}\n  {:column$}{:^<width$}", "", "")
    }
}

impl std::error::Error for Error {}

impl From<&Error> for Refusal {
    fn from(error: &Error) -> Self {
        Self::new(Reason::Command, error.to_string())
    }
}

impl From<&Error> for Problem {
    fn from(error: &Error) -> Self {
        let problem = Self::from(&Refusal::from(error));
        match error.hint() {
            Some(hint) => problem.hint(hint),
            None => problem,
        }
    }
}

/// Lists words as in "`a`, `b` or `c`".
pub(super) fn one_of(words: &[&str]) -> String {
    let quoted: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    match quoted.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, first)) => format!("{} or {last}", first.join(", ")),
        None => String::new(),
    }
}
