//! The checked commands.

mod display;
mod subject;

use std::str::FromStr;

use fulmarpier_coordination::config::Change;
use fulmarpier_state::id::JobId;

pub use self::subject::Subject;
use super::{
    Error,
    Filter,
    read, //
};
use crate::http::job::Draft;

/// A question for a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    /// What is listed.
    pub subject: Subject,
    /// Which rows are kept.
    pub filter: Filter,
    /// The most rows; `None` leaves it to the answering node.
    pub limit: Option<u32>,
}

/// One checked line of the operators' language.
///
/// # Examples
///
/// ```
/// use fulmarpier_protocol::query::Command;
///
/// let command: Command = "show  jobs where state = waiting limit 5".parse()?;
/// assert_eq!(command.to_string(), "show jobs where state = waiting limit 5");
/// assert!(!command.is_change());
/// # Ok::<(), fulmarpier_protocol::query::Error>(())
/// ```
///
/// See also [`Command::is_change`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// List something.
    Show(Show),
    /// Say why a job waits or how it ended.
    Explain(JobId),
    /// Change the configuration.
    Change(Change),
    /// Submit a job.
    Submit(Box<Draft>),
    /// Cancel a job.
    Cancel(JobId),
}

impl Command {
    /// Returns whether the command does more than ask.
    pub const fn is_change(&self) -> bool {
        !matches!(self, Self::Show(_) | Self::Explain(_))
    }
}

impl FromStr for Command {
    type Err = Error;

    fn from_str(line: &str) -> Result<Self, Self::Err> {
        read::command(line)
    }
}
