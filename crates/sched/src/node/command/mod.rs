//! Commands of operators: parsed, run here, and passed to the peers where they know more.

mod answer;
mod change;
mod gather;
mod run;

pub(super) use self::gather::Running;

/// The HTTP status of a command that was carried out.
const OK: u16 = 200;
