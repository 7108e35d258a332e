//! The words for priorities and spreads.

use fulmarpier_state::job::{
    Priority,
    Spread, //
};

use crate::http::invalid::Cause;

pub(crate) fn priority(text: Option<&str>) -> Result<Priority, Cause> {
    match text {
        None | Some("normal") => Ok(Priority::Normal),
        Some("low") => Ok(Priority::Low),
        Some("urgent") => Ok(Priority::Urgent),
        Some(other) => Err(unknown(other, "`low`, `normal` or `urgent`")),
    }
}

pub(crate) fn spread(text: Option<&str>) -> Result<Spread, Cause> {
    match text {
        None | Some("any") => Ok(Spread::Any),
        Some("racks") => Ok(Spread::Racks),
        Some("data-centres") => Ok(Spread::DataCentres),
        Some(other) => Err(unknown(other, "`any`, `racks` or `data-centres`")),
    }
}

pub(super) fn unknown(found: &str, known: &'static str) -> Cause {
    let found = found.to_owned();
    Cause::Word { found, known }
}

/// Returns the word for a priority.
pub const fn of_priority(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::Urgent => "urgent",
    }
}

/// Returns the word for a spread.
pub const fn of_spread(spread: Spread) -> &'static str {
    match spread {
        Spread::Any => "any",
        Spread::Racks => "racks",
        Spread::DataCentres => "data-centres",
    }
}
