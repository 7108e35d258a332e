//! What became of one call, as its caller saw it.

use std::time::Duration;

use fulmarpier_state::refusal::Outcome;
use uuid::Uuid;

use crate::kind::Kind;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer came, with the outcome that the gate stated.
    Answered(Outcome),
    /// A kept answer of an earlier run was given again.
    Replayed,
    /// The answer was not to this call, or not what the target sent.
    Foreign,
    /// No whole answer came.
    Broken,
    /// The job was accepted and all its tasks succeeded.
    Succeeded,
    /// The job was accepted and ended otherwise.
    Failed,
    /// The job was accepted and cancelled by the caller after it had run.
    Cancelled,
    /// The job was accepted and had not ended when the run was over.
    Unfinished,
    /// The job was accepted and later nobody knew it.
    Vanished,
    /// The call was not sent, because too many were open at the caller.
    Unsent,
}

/// The times inside the gate, from the `Server-Timing` header of its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// The time that the decision took, without waiting.
    pub decision: Option<Duration>,
    /// The time spent waiting for a slot.
    pub waiting: Option<Duration>,
}

/// One call and its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The identity of the call.
    pub id: Uuid,
    /// What was sent.
    pub kind: Kind,
    /// When it was to be sent, from the Unix epoch.
    pub scheduled: Duration,
    /// The time from then to the end of the answer; for a job, to its acceptance.
    pub latency: Duration,
    /// Whether its work may run more than once.
    pub is_repeatable: bool,
    /// How it ended.
    pub end: End,
    /// The word of the reason, where it was refused.
    pub reason: Option<String>,
    /// The times inside the gate.
    pub timing: Timing,
}

impl Call {
    /// Tells whether the system said that the work was not run.
    pub fn is_not_run(&self) -> bool {
        self.end == End::Answered(Outcome::NotRun)
    }

    /// Tells whether the system said that the work ran.
    pub fn is_ran(&self) -> bool {
        matches!(
            self.end,
            End::Answered(Outcome::Ran) | End::Replayed | End::Succeeded
        )
    }
}

impl Timing {
    /// Reads a `Server-Timing` header, as in `decision;dur=0.051, waiting;dur=3.2` (milliseconds).
    ///
    /// Entries with other names or without a duration are passed over.
    pub fn parse(header: &str) -> Self {
        let mut timing = Self::default();
        for entry in header.split(',') {
            let (name, rest) = entry.trim().split_once(';').unwrap_or((entry, ""));
            let span = rest.trim().strip_prefix("dur=").and_then(milliseconds);
            match name.trim() {
                "decision" => timing.decision = span,
                "waiting" => timing.waiting = span,
                _ => {}
            }
        }
        timing
    }
}

fn milliseconds(text: &str) -> Option<Duration> {
    let millis: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}
