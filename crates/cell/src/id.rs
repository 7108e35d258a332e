//! Identifiers of jobs, steps, tasks, runs and workers.

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

/// The error for a text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{found}` is not a {expected}")]
pub struct ParseError {
    /// The rejected text.
    pub found: String,
    /// The kind of identifier that was expected.
    pub expected: &'static str,
}

impl ParseError {
    fn new(found: &str, expected: &'static str) -> Self {
        Self {
            found: found.to_owned(),
            expected,
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

    /// Parses 16 digits in lower case, the only form that `Display` reproduces unchanged.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "job id of 16 hexadecimal digits in lower case";
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return Err(ParseError::new(text, EXPECTED));
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new(text, EXPECTED))
    }
}

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The index of the job's occurrence, from zero.
    pub occurrence: u32,
    /// The index of the job's step, from zero.
    pub step: u16,
}

impl StepId {
    /// Returns the range of all steps that a job may have.
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

    /// Returns the id of a task of the step.
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
    /// The index of the task in its step, from zero.
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
        let error = || ParseError::new(text, "task id");
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| error())?;
        let step = next()?.parse().map_err(|_| error())?;
        let index = next()?.parse().map_err(|_| error())?;
        if parts.next().is_some() {
            return Err(error());
        }
        let step = StepId {
            job,
            occurrence,
            step,
        };
        Ok(step.task(index))
    }
}

/// The number of one start of a task; it rises with each start, across owners too.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Run(pub u32);

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number of an ownership of the cell; workers refuse orders with a lower epoch than they have seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u32);

impl Epoch {
    /// The number of runs that an owner can number for one task. A long-running task that ends as soon as it starts uses
    /// them up within an hour; then another ownership has to begin.
    const RUNS_PER_EPOCH: u32 = 10_000;
    /// The highest epoch whose runs, and those of the epoch after it, can be numbered.
    const MAX: Self = Self(u32::MAX / Self::RUNS_PER_EPOCH - 1);

    /// Returns the first run that an owner of this epoch may give a task; it is above those of all former owners.
    pub const fn first_run(self) -> Run {
        Run(self
            .0
            .saturating_sub(1)
            .saturating_mul(Self::RUNS_PER_EPOCH)
            + 1)
    }

    /// Returns whether an owner of the next epoch could number its runs. A claim that leaves no room for its successor is
    /// not one that a node has made.
    pub fn has_successor(self) -> bool {
        self < Self::MAX
    }

    /// Returns whether a run is above those that an owner of this epoch may give.
    pub fn is_beyond(self, run: Run) -> bool {
        run >= self.next().first_run()
    }

    /// Returns the next epoch.
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

/// The number by which workers reject outdated orders: a worker refuses a lower fence than it has seen.
///
/// A fence rises with the epoch, and within an epoch whenever an incarnation of a worker begins or is lost. A new
/// incarnation has seen no fence. If the fence did not rise, the incarnation would carry out orders for the former one,
/// whose runs may already be considered lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence(u64);

impl Fence {
    /// The number of fences in an epoch.
    ///
    /// Even if all of them are used, the fences of every epoch fit into 53 bits, which a double-precision number holds
    /// exactly.
    const FENCES_PER_EPOCH: u64 = 1_000_000;

    /// Returns the lowest fence of an epoch.
    pub const fn first(epoch: Epoch) -> Self {
        Self(epoch.0 as u64 * Self::FENCES_PER_EPOCH)
    }

    /// Returns the next higher fence; the last fence of an epoch returns itself.
    #[must_use]
    pub const fn next(self) -> Self {
        let is_last = self.0 % Self::FENCES_PER_EPOCH == Self::FENCES_PER_EPOCH - 1;
        Self(self.0 + if is_last { 0 } else { 1 })
    }

    /// Returns whether this is the lowest fence of its epoch.
    pub const fn is_first(self) -> bool {
        self.0.is_multiple_of(Self::FENCES_PER_EPOCH)
    }

    /// Returns the number that orders carry.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// One lifetime of a worker under its id: the time when it began, in milliseconds since 1970 by the worker's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Defines an identifier that is a shared text.
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
    /// A worker. After a crash it returns under another id, or under the same id as another [`Incarnation`].
    WorkerId
);
text_id!(
    /// A queue to which callers submit jobs.
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
    /// A data centre that holds workers.
    DataCentre
);
