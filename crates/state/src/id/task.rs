//! Ids of jobs and of their tasks.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer, //
};
use uuid::Uuid;

use super::ParseError;

/// A job, batch run, gang or service; a UUIDv7, so its own time can be read from it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobId(pub Uuid);

impl JobId {
    /// Makes an id from its 128 bits.
    pub const fn from_u128(bits: u128) -> Self {
        Self(Uuid::from_u128(bits))
    }

    /// Returns the 128 bits of the id.
    pub const fn as_u128(self) -> u128 {
        self.0.as_u128()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for JobId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uuid = text.parse().map_err(|_| ParseError::Uuid {
            found: text.to_owned(),
        })?;
        Ok(Self(uuid))
    }
}

/// One task of a job: the job and the task's place in it, counted from zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's place in the job, from zero.
    pub index: u32,
}

impl TaskId {
    /// Makes the id of task `index` of `job`.
    pub const fn new(job: JobId, index: u32) -> Self {
        Self { job, index }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || ParseError::Uuid {
            found: text.to_owned(),
        };
        let (job, index) = text.split_once('/').ok_or_else(wrong)?;
        let job = job.parse().map_err(|_| wrong())?;
        let index = index.parse().map_err(|_| wrong())?;
        Ok(Self { job, index })
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            (self.job, self.index).serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            let (job, index) = Deserialize::deserialize(deserializer)?;
            Ok(Self { job, index })
        }
    }
}

/// How often a task has been started, counted from one at its first start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// Returns the number of the next start.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
