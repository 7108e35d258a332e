//! Queues, pools and ingresses as the operator has configured them.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id::{
        PoolName,
        QueueName, //
    },
    workspace::{
        Directory,
        KeyDigest,
        Workspace, //
    },
};

/// The cost of a call to the advice service, and the validity of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// The fixed duration of a call.
    pub call_overhead: Duration,
    /// The additional duration of a call for each worker asked about.
    pub time_per_worker: Duration,
    /// How long a ticket is valid.
    pub ticket_validity: Duration,
}

impl AdviceTiming {
    /// Returns the smallest number of workers per call at which the fixed duration is not the larger part.
    pub fn min_batch_size(&self) -> usize {
        let each = self.time_per_worker.max(Duration::from_micros(1));
        let count = self.call_overhead.as_micros() / each.as_micros();
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Returns how long a call about this many workers takes.
    pub fn call_duration(&self, workers: usize) -> Duration {
        self.call_overhead + self.time_per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// A job that takes longer than this multiple of its latency objective is worth nothing.
pub const WORTHLESS_AFTER_OBJECTIVES: u32 = 3;

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name, the same in all versions of the configuration.
    pub name: QueueName,
    /// The pool whose workers run its tasks.
    pub pool: PoolName,
    /// Its priority: zero is the highest and may preempt the others.
    pub priority: u8,
    /// The maximum number of attempts for a task or a gang.
    pub max_attempts: u32,
    /// The latency objective as a multiple of the job's critical path.
    pub stretch: f64,
    /// The constant part of the latency objective, added to the multiple.
    pub objective_offset: Duration,
    /// The cost of asking for advice; `None` if any worker of the pool may run a step.
    pub advice: Option<AdviceTiming>,
}

impl Queue {
    /// Returns the latency objective of a job with a critical path of this length.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        critical_path.mul_f64(self.stretch.max(0.0)) + self.objective_offset
    }

    /// Returns whether jobs of the queue may preempt those of others.
    pub const fn is_urgent(&self) -> bool {
        self.priority == 0
    }
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Whether its workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether its machines are powered off and serve as a reserve.
    pub is_standby: bool,
}

/// The host and path under which callers reach a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ingress {
    /// The host in the request.
    pub host: String,
    /// The prefix of the request path.
    pub prefix: String,
    /// The queue.
    pub queue: QueueName,
    /// Whether calls are accepted without a workspace's API key.
    pub is_public: bool,
}

/// The error for a call without a valid workspace API key where one is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the call shows no key of a workspace")]
pub struct Unauthorized;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version number; later versions have higher numbers.
    pub version: u64,
    /// All queues.
    pub queues: BTreeMap<QueueName, Arc<Queue>>,
    /// All pools.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The ingresses of the queues.
    pub ingresses: Vec<Ingress>,
    /// The workspaces; `None` if the platform has none and calls need no key.
    pub directory: Option<Directory>,
}

impl Config {
    /// Returns the ingress for a host and a path, and the rest of the path. The longest matching prefix wins.
    pub fn ingress_at<'a>(&self, host: &str, path: &'a str) -> Option<(&Ingress, &'a str)> {
        let matching = self.ingresses.iter().filter_map(|ingress| {
            let rest = path.strip_prefix(ingress.prefix.as_str())?;
            ingress
                .host
                .eq_ignore_ascii_case(host)
                .then_some((ingress, rest))
        });
        matching.min_by_key(|(_, rest)| rest.len())
    }

    /// Returns the workspace that an API key belongs to; `None` if the call has no valid key and needs none.
    ///
    /// # Errors
    ///
    /// Fails if the ingress requires a key and the call has no valid one.
    pub fn authenticate(
        &self,
        ingress: &Ingress,
        key: Option<&KeyDigest>,
    ) -> Result<Option<Arc<Workspace>>, Unauthorized> {
        let Some(directory) = &self.directory else {
            return Ok(None);
        };
        let holder = key.and_then(|key| directory.holder(key));
        match holder {
            None if !ingress.is_public => Err(Unauthorized),
            holder => Ok(holder.cloned()),
        }
    }
}
