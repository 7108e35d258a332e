//! What is taken from the environment of the process.

use std::env;

/// The variable that names the gates.
pub(crate) const GATE: &str = "FULMARPIER_GATE";
/// The variable that holds the operator's token.
pub(crate) const TOKEN: &str = "FULMARPIER_TOKEN";

/// Values that stand in for options that were not given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// Addresses of gates, separated by commas.
    pub gate: Option<String>,
    /// The operator's token.
    pub token: Option<String>,
}

impl Environment {
    /// Reads the environment of this process.
    pub fn of_process() -> Self {
        Self {
            gate: env::var(GATE).ok(),
            token: env::var(TOKEN).ok(),
        }
    }
}
