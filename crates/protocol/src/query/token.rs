//! The tokens of a line.

use std::ops::Range;

use super::Operator;

/// What a token is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A bare or a quoted word, without its quotes.
    Word(String),
    /// A comparison; `=` also joins a key and its value.
    Operator(Operator),
}

/// A token and its place in the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Token {
    /// What it is.
    pub(super) kind: Kind,
    /// Its place in the line, in bytes.
    pub(super) place: Range<usize>,
}

/// Returns whether a character may stand in a bare word.
pub(super) fn is_bare(c: char) -> bool {
    !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '\\' | '=' | '!' | '<' | '>' | '~')
}

/// Writes a word so that the language reads it back, in quotes where needed.
pub fn quote(text: &str) -> String {
    if !text.is_empty() && text.chars().all(is_bare) {
        return text.to_owned();
    }
    let mut quoted = String::from('"');
    for c in text.chars() {
        if matches!(c, '"' | '\\') {
            quoted.push('\\');
        }
        quoted.push(c);
    }
    quoted.push('"');
    quoted
}
