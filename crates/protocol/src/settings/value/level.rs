//! How much is logged.

use serde_json::Value;

use crate::settings::form::{
    Field,
    Mistake,
    section, //
};

const WORDS: [&str; 5] = ["error", "warning", "info", "debug", "trace"];
const LEVELS: [Level; 5] = [
    Level::Error,
    Level::Warning,
    Level::Info,
    Level::Debug,
    Level::Trace,
];

/// The least severe events that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Only what needs an operator.
    Error,
    /// Also what may need one.
    Warning,
    /// Also changes of ownership, configuration and life cycle.
    #[default]
    Info,
    /// Also each decision.
    Debug,
    /// Also each message.
    Trace,
}

impl Field for Level {
    fn read(value: &Value) -> Result<Self, Mistake> {
        section::word(value, &WORDS, &LEVELS)
    }
}
