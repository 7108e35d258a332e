//! Where settings come from: a file or a text.

use std::{
    fs,
    path::Path,
    str::FromStr, //
};

use super::{
    Document,
    Error,
    Gate,
    Load,
    Node,
    Sched,
    Standin,
    form::Errors, //
};
use crate::suggest;

/// Reads and checks the settings in a file.
///
/// # Errors
///
/// Fails where the file can't be read or is not JSON, and otherwise with all its mistakes at once.
pub fn load<T>(path: &Path) -> Result<T, Error>
where
    T: TryFrom<Document, Error = Errors>,
{
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&text)
}

/// Checks settings given as text.
///
/// # Errors
///
/// Fails where the text is not JSON, and otherwise with all its mistakes at once.
pub fn parse<T>(text: &str) -> Result<T, Error>
where
    T: TryFrom<Document, Error = Errors>,
{
    let document: Document = serde_json::from_str(text)?;
    Ok(T::try_from(document)?)
}

/// Checks the settings in a file without using them.
///
/// # Errors
///
/// Fails as [`load`] does.
pub fn check(path: &Path, kind: Kind) -> Result<(), Error> {
    match kind {
        Kind::Gate => load::<Gate>(path).map(drop),
        Kind::Sched => load::<Sched>(path).map(drop),
        Kind::Standin => load::<Standin>(path).map(drop),
        Kind::Load => load::<Load>(path).map(drop),
        Kind::Node => load::<Node>(path).map(drop),
    }
}

/// The program that a settings file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `fulmarpier-gate`.
    Gate,
    /// `fulmarpier-sched`.
    Sched,
    /// `fulmarpier-standin`.
    Standin,
    /// `fulmarpier-load`.
    Load,
    /// `fulmarpier-platform`.
    Node,
}

impl Kind {
    /// The words of all kinds.
    pub const WORDS: [&'static str; 5] = ["gate", "sched", "standin", "load", "node"];
}

/// The word stands for no program.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected `gate`, `sched`, `standin`, `load` or `node`, found `{found}`{}", hint(.suggestion))]
pub struct UnknownKind {
    /// The word as given.
    pub found: String,
    /// The word that was probably meant.
    pub suggestion: Option<&'static str>,
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "gate" => Ok(Self::Gate),
            "sched" => Ok(Self::Sched),
            "standin" => Ok(Self::Standin),
            "load" => Ok(Self::Load),
            "node" => Ok(Self::Node),
            _ => Err(UnknownKind {
                found: text.to_owned(),
                suggestion: suggest::nearest(text, Self::WORDS),
            }),
        }
    }
}

fn hint(suggestion: &Option<&'static str>) -> String {
    suggestion.map_or(String::new(), |word| format!("; did you mean `{word}`?"))
}
