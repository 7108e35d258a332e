//! Faults that are switched on by hand.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use fulmarpier_coordination::platform::vm;
use fulmarpier_state::{
    id::{
        NodeId,
        Offset,
        WorkerId, //
    },
    unit::Span,
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The delay of a slow log where none is given.
const SLOW: Duration = Duration::from_secs(5);

/// How the log is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Log {
    /// It answers.
    #[default]
    Up,
    /// It answers every call with 503, without effect.
    Down,
    /// It answers after a delay.
    Slow,
}

/// How a worker is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Worker {
    /// It answers.
    #[default]
    Up,
    /// It refuses connections.
    Dead,
    /// It takes connections and does nothing at all.
    Paused,
    /// Every task that it starts fails at once.
    Failing,
}

/// What becomes of the tasks of a dead worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tasks {
    /// They die with it, and it comes back in a new life.
    #[default]
    Lose,
    /// They go on under their leases; only the worker can't be reached.
    Keep,
}

/// The records of a stream to drop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Truncate {
    /// The stream.
    pub stream: String,
    /// The first offset that is kept.
    pub before: Offset,
}

/// A change of faults; what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// How the log is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log: Option<Log>,
    /// The delay of a slow log.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log_delay: Option<Span>,
    /// The share of appends whose answer is lost after the effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<f64>,
    /// The share of calls of the log that are lost before the effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_requests: Option<f64>,
    /// The callers that are cut off from the log, by the names they give.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deny: Option<Vec<String>>,
    /// How far the VM list lags.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm_list_lag: Option<Span>,
    /// Records to drop at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate: Option<Truncate>,
    /// The worker that `worker_state` is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// How that worker is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker_state: Option<Worker>,
    /// What becomes of its tasks when it dies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker_tasks: Option<Tasks>,
    /// The VM that `vm_state` is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm: Option<Vm>,
    /// How that VM is listed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm_state: Option<Listed>,
    /// The delay of every answer of every target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_delay: Option<Span>,
}

/// A VM by the id of what it runs: `w3` or `n2`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Vm {
    /// A worker.
    Worker(WorkerId),
    /// An entry VM.
    Entry(NodeId),
}

impl From<Vm> for vm::Role {
    fn from(vm: Vm) -> Self {
        match vm {
            Vm::Worker(id) => Self::Worker(id),
            Vm::Entry(id) => Self::Entry(id),
        }
    }
}

/// How a VM is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    /// It is up.
    Live,
    /// It goes soon.
    Leaving,
    /// It is not listed.
    Gone,
}

/// What happens to one call of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// It is answered with 503.
    Down,
    /// Its connection is reset.
    Denied,
    /// It passes after a delay.
    Passes {
        /// The delay.
        delay: Duration,
    },
}

/// The faults that are on, shared by all stand-ins.
#[derive(Clone, Debug)]
pub struct Faults(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    log: Log,
    log_delay: Duration,
    lose_answers: f64,
    lose_requests: f64,
    deny: Vec<String>,
    vm_list_lag: Duration,
    target_delay: Duration,
    random: SmallRng,
}

impl Faults {
    /// Starts with no faults but the lag of the VM list.
    pub fn new(seed: u64, vm_list_lag: Duration) -> Self {
        Self(Arc::new(Mutex::new(State {
            log: Log::Up,
            log_delay: SLOW,
            lose_answers: 0.0,
            lose_requests: 0.0,
            deny: Vec::new(),
            vm_list_lag,
            target_delay: Duration::ZERO,
            random: SmallRng::seed_from_u64(seed),
        })))
    }

    /// Takes over the parts of a change that need nothing but this state.
    pub fn apply(&self, change: &Change) {
        let mut state = self.state();
        set(&mut state.log, change.log);
        set(&mut state.log_delay, change.log_delay.map(Span::get));
        set(&mut state.lose_answers, change.lose_answers);
        set(&mut state.lose_requests, change.lose_requests);
        set(&mut state.deny, change.deny.clone());
        set(&mut state.vm_list_lag, change.vm_list_lag.map(Span::get));
        set(&mut state.target_delay, change.target_delay.map(Span::get));
    }

    /// Returns what happens to a call of the log.
    pub fn log(&self, caller: &str) -> Call {
        let state = self.state();
        if state.deny.iter().any(|denied| denied == caller) {
            return Call::Denied;
        }
        match state.log {
            Log::Down => Call::Down,
            Log::Slow => Call::Passes {
                delay: state.log_delay,
            },
            Log::Up => Call::Passes {
                delay: Duration::ZERO,
            },
        }
    }

    /// Returns whether the answer to an append is lost, by chance.
    pub fn loses_answer(&self) -> bool {
        let mut state = self.state();
        let share = state.lose_answers;
        share > 0.0 && state.random.random::<f64>() < share
    }

    /// Returns whether a call of the log is lost before its effect, by chance.
    pub fn loses_request(&self) -> bool {
        let mut state = self.state();
        let share = state.lose_requests;
        share > 0.0 && state.random.random::<f64>() < share
    }

    /// Returns how far the VM list lags.
    pub fn vm_list_lag(&self) -> Duration {
        self.state().vm_list_lag
    }

    /// Returns the delay of every answer of every target.
    pub fn target_delay(&self) -> Duration {
        self.state().target_delay
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn set<T>(place: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *place = value;
    }
}
