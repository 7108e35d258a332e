//! The declaration of a job, already checked.

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Timestamp,
    name::{
        Service,
        Team, //
    },
    resource::Resources, //
};

/// How a job's tasks relate to each other and to time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Tasks that run to their end, each on its own.
    Batch,
    /// Tasks that run to their end and must all run at once.
    Gang,
    /// Tasks that run until stopped and answer requests for a service.
    Service {
        /// The name under which callers address the service.
        service: Service,
        /// How many requests each target takes at once.
        slots: u16,
        /// The port of the target on its worker; zero lets the worker choose.
        port: u16,
    },
}

impl Kind {
    /// Returns the bare word for the kind, for reports and counters.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::Batch => "batch",
            Self::Gang => "gang",
            Self::Service { .. } => "service",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// How urgent a job is; urgent work may preempt.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// May wait, and may be preempted by urgent work.
    Low,
    /// The usual priority.
    #[default]
    Normal,
    /// Starts within seconds, by preemption where needed.
    Urgent,
}

/// Where the tasks of one job may be together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Anywhere; packing decides.
    #[default]
    Any,
    /// As even as possible over racks.
    Racks,
    /// As even as possible over data centres, then racks.
    DataCentres,
}

/// What a worker is told to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Payload {
    /// The program or image, as the platform names it.
    pub program: String,
    /// Its arguments.
    #[serde(default)]
    pub args: Vec<String>,
}

/// A checked declaration of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The team that owns the job and whose quota it uses.
    pub team: Team,
    /// Batch, gang or service.
    pub kind: Kind,
    /// The size of one task.
    pub size: Resources,
    /// How many tasks the job has, at least one.
    pub tasks: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// The declared run time of one task; a hint that is never trusted into a breach.
    pub runtime: Option<Duration>,
    /// The time by which the last task must have ended.
    pub deadline: Option<Timestamp>,
    /// Whether a task may be started again after it may have run.
    pub idempotent: bool,
    /// Whether a task can be checkpointed and resumed.
    pub checkpoint: bool,
    /// Where the tasks may be together.
    pub spread: Spread,
    /// What each task runs.
    pub payload: Payload,
}
