//! How arrivals are spaced.

use serde_json::Value;

use crate::settings::form::{
    Field,
    Mistake,
    section, //
};

const WORDS: [&str; 3] = ["poisson", "steady", "burst"];
const ARRIVALS: [Arrivals; 3] = [Arrivals::Poisson, Arrivals::Steady, Arrivals::Burst];

/// How arrivals are spaced; all of them are open loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arrivals {
    /// Independent of each other.
    #[default]
    Poisson,
    /// At even distances.
    Steady,
    /// All arrivals of a second at its beginning.
    Burst,
}

impl Field for Arrivals {
    fn read(value: &Value) -> Result<Self, Mistake> {
        section::word(value, &WORDS, &ARRIVALS)
    }
}
