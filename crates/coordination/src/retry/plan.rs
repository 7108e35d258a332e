//! Whether and when a request is sent again.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    refusal::{
        Outcome,
        Reason, //
    },
};

use super::{
    Attempts,
    Backoff,
    Budget,
    Class, //
};

/// Why a request is not sent again; each has a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Denied {
    /// It ran, or it may have run and must not run twice.
    #[error("sending it again could run it twice")]
    Unsafe,
    /// It was sent as often as it may be.
    #[error("it was sent as often as it may be")]
    Exhausted,
    /// Another attempt could not finish before the deadline.
    #[error("another attempt could not finish before the deadline")]
    Deadline,
    /// The retry budget is spent.
    #[error("the retry budget is spent")]
    Budget,
}

impl Denied {
    /// All reasons, so that each has a counter from the start.
    pub const ALL: &'static [Self] = &[
        Self::Unsafe,
        Self::Exhausted,
        Self::Deadline,
        Self::Budget, //
    ];

    /// Returns the stable word.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Unsafe => "unsafe",
            Self::Exhausted => "exhausted",
            Self::Deadline => "deadline",
            Self::Budget => "budget",
        }
    }

    /// Returns the reason of the refusal that the caller gets.
    pub const fn reason(self) -> Reason {
        match self {
            Self::Unsafe | Self::Exhausted => Reason::TargetFailed,
            Self::Deadline => Reason::Deadline,
            Self::Budget => Reason::RetryBudget,
        }
    }
}

/// What is decided for one request over all its attempts.
#[derive(Clone, Debug)]
pub struct Plan {
    class: Class,
    attempts: Attempts,
    backoff: Backoff,
    /// Whether some attempt may have run.
    unknown: bool,
}

impl Plan {
    /// Makes the plan of a request before its first send, which the caller makes unasked.
    pub fn new(class: Class, attempts: Attempts, backoff: Backoff) -> Self {
        Self {
            class,
            attempts: attempts.spend().unwrap_or(attempts),
            backoff,
            unknown: false,
        }
    }

    /// Decides after an attempt whether to wait and send again.
    ///
    /// `ask_after` is what the answer asked for, and `takes` how long an attempt usually takes.
    ///
    /// # Errors
    ///
    /// [`Denied`] with the reason; [`Self::outcome`] is then what the caller is told.
    pub fn again(
        &mut self,
        outcome: Outcome,
        budget: &mut Budget,
        now: Timestamp,
        ask_after: Duration,
        takes: Duration,
    ) -> Result<Duration, Denied> {
        self.unknown |= outcome == Outcome::Unknown;
        if !self.class.may_repeat(outcome) {
            return Err(Denied::Unsafe);
        }
        let attempts = self.attempts.spend().ok_or(Denied::Exhausted)?;
        let deadline = self.attempts.deadline();
        let wait = self.backoff.next(now, deadline, ask_after, takes);
        let wait = wait.ok_or(Denied::Deadline)?;
        if !budget.try_retry(now) {
            return Err(Denied::Budget);
        }
        self.attempts = attempts;
        Ok(wait)
    }

    /// Returns what is known of the request over all its attempts: `NotRun` only where none may have
    /// run.
    pub const fn outcome(&self) -> Outcome {
        if self.unknown {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }
}
