//! Names of jobs, steps, tasks, runs and workers.

use std::{
    fmt,
    ops::RangeInclusive,
    str::FromStr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// The text is no id of the wanted kind.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{found}` is no {wanted}")]
pub struct ParseError {
    /// The text as given.
    pub found: String,
    /// What it should be.
    pub wanted: &'static str,
}

impl ParseError {
    fn new(found: &str, wanted: &'static str) -> Self {
        Self {
            found: found.to_owned(),
            wanted,
        }
    }
}

/// A job, named by its caller; its text form has 16 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseError;

    /// Reads 16 digits in lower case, the only form that `Display` gives back unchanged.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const WANTED: &str = "job id of 16 hexadecimal digits in lower case";
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return Err(ParseError::new(text, WANTED));
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new(text, WANTED))
    }
}

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Which of the job's occurrences, from zero.
    pub occurrence: u32,
    /// Which of the job's steps, from zero.
    pub step: u16,
}

impl StepId {
    /// Spans all steps that a job may have.
    pub const fn all_of(job: JobId) -> RangeInclusive<Self> {
        let first = Self {
            job,
            occurrence: 0,
            step: 0,
        };
        let last = Self {
            job,
            occurrence: u32::MAX,
            step: u16::MAX,
        };
        RangeInclusive::new(first, last)
    }

    /// Names a task of the step.
    pub const fn task(self, index: u16) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// A task; its text form is `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The step that it belongs to.
    pub step: StepId,
    /// Which of the step's tasks, from zero.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || ParseError::new(text, "task id");
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(wrong);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| wrong())?;
        let step = next()?.parse().map_err(|_| wrong())?;
        let index = next()?.parse().map_err(|_| wrong())?;
        if parts.next().is_some() {
            return Err(wrong());
        }
        let step = StepId {
            job,
            occurrence,
            step,
        };
        Ok(step.task(index))
    }
}

/// Which start of a task; it rises with each start, also over owners.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Run(pub u32);

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The ordinal of an ownership; workers refuse orders with a lower one than they have seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u32);

impl Epoch {
    /// How many runs of one task an owner can number; far above what the tries of a day need.
    const RUNS: u32 = 10_000;

    /// Returns the first run that this owner may give a task; above those of all former owners.
    pub const fn first_run(self) -> Run {
        Run(self.0.saturating_sub(1).saturating_mul(Self::RUNS) + 1)
    }

    /// Returns the ownership after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What orders to a worker are compared by: it refuses those with a lower fence than it has seen.
///
/// It rises with the ownership, and within one with each incarnation of a worker that begins or is lost. An incarnation has
/// seen no fence: without a rise it would carry out what was meant for the one before, which may have been given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence(u64);

impl Fence {
    /// How many fences there are within an ownership; with all of them used, all epochs fit into 53 bits.
    const STEPS: u64 = 1_000_000;

    /// Returns the lowest fence of an ownership.
    pub const fn first(epoch: Epoch) -> Self {
        Self(epoch.0 as u64 * Self::STEPS)
    }

    /// Returns the next higher one; the last one of an ownership stays.
    #[must_use]
    pub const fn raised(self) -> Self {
        let is_last = self.0 % Self::STEPS == Self::STEPS - 1;
        Self(self.0 + if is_last { 0 } else { 1 })
    }

    /// Returns whether it is the lowest one of its ownership.
    pub const fn is_first(self) -> bool {
        self.0.is_multiple_of(Self::STEPS)
    }

    /// Returns the number that orders carry.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Tells the incarnations of a worker under one id apart: when each began, in milliseconds since 1970 by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Defines a shared text id.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// A worker. After a crash it comes back under another id, or under the same one as another [`Incarnation`].
    WorkerId
);
text_id!(
    /// A queue: what callers submit jobs to.
    QueueName
);
text_id!(
    /// A pool of workers that run the tasks of some queues.
    PoolName
);
text_id!(
    /// A node of the system.
    NodeName
);
text_id!(
    /// A data centre, where workers stand.
    DataCentre
);
