//! The ways in which a field can be wrong.

use fulmarpier_state::{
    id,
    name,
    unit, //
};

/// One way in which a field can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Mistake {
    /// A field that has no default is missing.
    #[error("is missing")]
    Missing,
    /// The field is not known.
    #[error("is not a known field{}", hint(.suggestion.as_deref()))]
    Unknown {
        /// The field that was probably meant.
        suggestion: Option<String>,
    },
    /// The JSON type is wrong.
    #[error("expected {expected}, found {found}")]
    Type {
        /// The type that was expected.
        expected: &'static str,
        /// The type that was found.
        found: &'static str,
    },
    /// A quantity is not acceptable.
    #[error(transparent)]
    Unit(#[from] unit::ParseError),
    /// An id is not acceptable.
    #[error(transparent)]
    Id(#[from] id::ParseError),
    /// A name is not acceptable.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// The text is not an IP number with a port.
    #[error("expected an IP number with a port, as in `10.0.0.1:7101`, found `{found}`")]
    Address {
        /// The text as given.
        found: String,
    },
    /// The text is not an address of an HTTP service.
    #[error("expected an address as in `http://10.0.0.1:7000`, found `{found}`")]
    Url {
        /// The text as given.
        found: String,
    },
    /// A token is too short to be safe, or can't stand in a header.
    #[error("a token has at least {least} visible ASCII characters and no spaces")]
    Token {
        /// The least count of characters.
        least: usize,
    },
    /// A word is not one of those that are known.
    #[error("expected {}, found `{found}`{}", list(.known), hint(*.suggestion))]
    Word {
        /// The word as given.
        found: String,
        /// The words that are known.
        known: &'static [&'static str],
        /// The word that was probably meant.
        suggestion: Option<&'static str>,
    },
    /// A number is outside its range.
    #[error("expected {least} to {most}, found {found}")]
    Range {
        /// The number as given.
        found: String,
        /// The least that is accepted.
        least: String,
        /// The most that is accepted.
        most: String,
    },
    /// A list needs at least one entry.
    #[error("needs at least one entry")]
    Empty,
    /// An entry stands twice in a list.
    #[error("`{value}` stands twice")]
    Twice {
        /// What stands twice.
        value: String,
    },
    /// A node is listed as its own peer.
    #[error("`{value}` is this node itself")]
    Own {
        /// The node.
        value: String,
    },
    /// A field does not go with another.
    #[error("must be {relation} `{other}` ({value})")]
    Relation {
        /// How it must relate to the other field.
        relation: &'static str,
        /// The other field.
        other: &'static str,
        /// The value of the other field.
        value: String,
    },
    /// All weights are zero.
    #[error("at least one weight must be above zero")]
    Weightless,
}

fn hint(suggestion: Option<&str>) -> String {
    suggestion.map_or(String::new(), |word| format!("; did you mean `{word}`?"))
}

fn list(words: &[&str]) -> String {
    let quoted: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    let Some((last, first)) = quoted.split_last() else {
        return String::new();
    };
    match first.is_empty() {
        true => last.clone(),
        false => format!("{} or {last}", first.join(", ")),
    }
}
