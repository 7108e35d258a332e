//! Why work is refused, as a closed set of reasons.

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// What is known of a request or job that was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was not run and will not be.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run; nobody can tell.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

/// Defines the reasons with their stable words, in one place.
macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $word:literal, $status:literal, $title:literal;)*) => {
        /// The reason for a refusal; its word labels the counter and the problem type.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, so that each has a counter from the start.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the stable word.
            pub const fn word(self) -> &'static str {
                match self { $(Self::$name => $word),* }
            }

            /// Returns the HTTP status that goes with the reason.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// Returns the reason as a short sentence for people.
            pub const fn title(self) -> &'static str {
                match self { $(Self::$name => $title),* }
            }
        }
    };
}

reasons! {
    /// The body or a header is malformed.
    Malformed => "malformed", 400, "The request is malformed";
    /// No such service.
    UnknownService => "unknown-service", 404, "The service is not known";
    /// No such job.
    UnknownJob => "unknown-job", 404, "The job is not known";
    /// No such team.
    UnknownTeam => "unknown-team", 422, "The team is not known";
    /// A non-idempotent request without a key.
    KeyMissing => "key-missing", 400, "A non-idempotent request needs an Idempotency-Key";
    /// The key was used for another request.
    KeyReused => "key-reused", 422, "The Idempotency-Key was used for another request";
    /// The key is older than what is remembered.
    KeyAged => "key-aged", 409, "The Idempotency-Key is older than what is remembered";
    /// The request with this key is in progress.
    KeyBusy => "key-busy", 409, "The request with this Idempotency-Key is in progress";
    /// The request with this key ran and its answer was not kept.
    AlreadyRan => "already-ran", 409, "The request with this Idempotency-Key has run";
    /// Nobody can tell what became of the request with this key.
    KeyUnknown => "key-unknown", 409, "Whether the request with this Idempotency-Key ran is not known";
    /// The body is over the limit.
    BodyTooLarge => "body-too-large", 413, "The body is over the limit";
    /// The deadline has passed, or passes before the work can start.
    Deadline => "deadline", 504, "The work can't start before its deadline";
    /// The job's task fits no worker.
    TooLarge => "too-large", 422, "No worker is large enough";
    /// The job has no tasks.
    Empty => "empty", 422, "The job has no tasks";
    /// The job would pass its team's quota even alone.
    OverQuota => "over-quota", 422, "The job is larger than its team's quota";
    /// The queue of the class is full.
    QueueFull => "queue-full", 503, "The queue is full";
    /// The queue of the team is full.
    TeamQueueFull => "team-queue-full", 429, "The team's queue is full";
    /// No target of the service is up.
    NoTarget => "no-target", 503, "No target of the service is up";
    /// The target failed the request.
    TargetFailed => "target-failed", 502, "The target gave no whole answer";
    /// The retry budget is spent.
    RetryBudget => "retry-budget", 503, "The retry budget is spent";
    /// The node is draining.
    Draining => "draining", 503, "The node is leaving";
    /// The shard has no active owner at the moment.
    NoOwner => "no-owner", 503, "The shard has no owner at the moment";
    /// The log can't take the record in time.
    LogUnavailable => "log-unavailable", 503, "The platform's log is not available";
    /// The operator's token is missing or wrong.
    Unauthorized => "unauthorized", 401, "The operator's token is missing or wrong";
    /// The command could not be understood.
    Command => "command", 400, "The command can't be understood";
    /// The change was based on an older version.
    Conflict => "conflict", 409, "Another change came first";
    /// The change needs a confirmation token.
    Unconfirmed => "unconfirmed", 428, "The change needs confirmation";
    /// The change was checked and would do harm.
    Unsafe => "unsafe", 422, "The change is not accepted";
    /// A fault inside the system.
    Internal => "internal", 500, "An internal fault";
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// A refusal: why, in words, what is known of the work, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{reason}: {detail}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// The particulars, for people.
    pub detail: String,
    /// What is known of the work.
    pub outcome: Outcome,
    /// When asking again is of use; `None` where it is not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal of work that was not run.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_state::refusal::{Outcome, Reason, Refusal};
    ///
    /// let refusal = Refusal::new(Reason::Empty, "a gang needs at least one task");
    /// assert_eq!(refusal.outcome, Outcome::NotRun);
    /// ```
    ///
    /// See also [`Self::outcome`] and [`Self::retry_after`].
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Sets what is known of the work.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub const fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets when asking again is of use.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub const fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}
