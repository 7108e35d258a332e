//! The record as all stand-ins write it.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use fulmarpier_coordination::platform::worker::Answer;
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    id::{
        TaskId,
        WorkerId, //
    },
    resource::Resources,
};

use super::{
    entry::{
        Ending,
        Request,
        Run, //
    },
    summary::{
        Declined,
        Summary,
        Violations, //
    },
};

/// A run's or a request's place in the record; none where the record was full.
pub(crate) type Place = Option<usize>;

/// Everything that ran, up to a bound.
#[derive(Clone, Debug)]
pub struct Record(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    limit: usize,
    runs: Vec<Run>,
    requests: Vec<Request>,
    /// By key: how often it ran, and whether one of these runs was not idempotent.
    keys: HashMap<String, (u64, bool)>,
    doubled_keys: Vec<String>,
    overfilled: Vec<WorkerId>,
    declined: Declined,
    turned_away: u64,
    peak_use: u32,
    dropped: u64,
}

impl Record {
    /// Makes an empty record that holds at most `limit` runs and as many requests.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            limit,
            ..Inner::default()
        })))
    }

    /// Records the start of a run.
    pub(crate) fn started(&self, run: Run) -> Place {
        let mut inner = self.inner();
        if inner.runs.len() >= inner.limit {
            inner.dropped += 1;
            return None;
        }
        inner.runs.push(run);
        Some(inner.runs.len() - 1)
    }

    /// Records the end of a run.
    pub(crate) fn ended(&self, place: Place, at: Timestamp, ending: Ending) {
        let mut inner = self.inner();
        let Some(run) = place.and_then(|place| inner.runs.get_mut(place)) else {
            return;
        };
        run.end = Some(at);
        run.ending = Some(ending);
    }

    /// Records what a worker has taken on after a start.
    pub(crate) fn used(&self, worker: WorkerId, used: &Resources, capacity: &Resources) {
        let mut inner = self.inner();
        inner.peak_use = inner.peak_use.max(share(used, capacity));
        if !used.fits(capacity) {
            inner.overfilled.push(worker);
        }
    }

    /// Counts how a start was answered.
    pub(crate) fn answered(&self, answer: Answer) {
        self.inner().declined.count(answer);
    }

    /// Counts a call with too low an epoch.
    pub(crate) fn fenced(&self) {
        self.inner().declined.fenced += 1;
    }

    /// Counts a request that a target turned away.
    pub(crate) fn turned_away(&self) {
        self.inner().turned_away += 1;
    }

    /// Records the beginning of a request.
    pub(crate) fn began(&self, request: Request) -> Place {
        let mut inner = self.inner();
        if inner.requests.len() >= inner.limit {
            inner.dropped += 1;
            return None;
        }
        if let Some(key) = &request.key {
            let (runs, strict) = inner.keys.entry(key.clone()).or_default();
            *runs += 1;
            *strict |= !request.idempotent;
            if *strict && *runs > 1 {
                inner.doubled_keys.push(key.clone());
            }
        }
        inner.requests.push(request);
        Some(inner.requests.len() - 1)
    }

    /// Records that the answer to a request was ready.
    pub(crate) fn finished(&self, place: Place, at: Timestamp) {
        let mut inner = self.inner();
        if let Some(request) = place.and_then(|place| inner.requests.get_mut(place)) {
            request.end = Some(at);
        }
    }

    /// Returns runs in the order of their start, from a place on.
    pub fn runs(&self, from: usize, max: usize) -> Vec<Run> {
        let inner = self.inner();
        inner.runs.iter().skip(from).take(max).cloned().collect()
    }

    /// Returns requests in the order of their beginning, from a place on.
    pub fn requests(&self, from: usize, max: usize) -> Vec<Request> {
        let inner = self.inner();
        inner
            .requests
            .iter()
            .skip(from)
            .take(max)
            .cloned()
            .collect()
    }

    /// Returns the record in numbers.
    pub fn summary(&self) -> Summary {
        let inner = self.inner();
        let mut summary = Summary {
            started: inner.runs.len() as u64,
            declined: inner.declined,
            requests: inner.requests.len() as u64,
            turned_away: inner.turned_away,
            peak_use: inner.peak_use,
            dropped: inner.dropped,
            violations: inner.violations(),
            ..Summary::default()
        };
        summary.answered = inner.requests.iter().filter(|r| r.end.is_some()).count() as u64;
        let mut succeeded: HashMap<TaskId, u64> = HashMap::default();
        for run in &inner.runs {
            match run.ending {
                None => summary.running += 1,
                Some(ending) => *summary.ended.entry(word(ending)).or_default() += 1,
            }
            if run.ending == Some(Ending::Succeeded) {
                *succeeded.entry(run.task).or_default() += 1;
            }
        }
        summary.repeated_tasks = succeeded.values().filter(|count| **count > 1).count() as u64;
        summary
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn violations(&self) -> Violations {
        let mut violations = Violations {
            overfilled: self.overfilled.len() as u64,
            doubled_keys: self.doubled_keys.len() as u64,
            ..Violations::default()
        };
        for worker in &self.overfilled {
            violations.example(|| format!("{worker} was overfilled"));
        }
        for key in &self.doubled_keys {
            violations.example(|| format!("the key {key} ran again"));
        }
        let mut tasks: BTreeMap<TaskId, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            tasks.entry(run.task).or_default().push(run);
        }
        for runs in tasks.values_mut() {
            runs.sort_by_key(|run| run.start);
            violations.overlaps(runs);
        }
        violations
    }
}

/// Returns the largest share of a resource in use, in thousandths, rounded up.
fn share(used: &Resources, capacity: &Resources) -> u32 {
    let of = |used: u64, capacity: u64| (used * 1_000).div_ceil(capacity.max(1));
    let shares = [
        of(used.cpu.0.into(), capacity.cpu.0.into()),
        of(used.memory.0, capacity.memory.0),
        of(used.accelerators.into(), capacity.accelerators.into()),
    ];
    let largest = shares.into_iter().max().unwrap_or(0);
    u32::try_from(largest).unwrap_or(u32::MAX)
}

fn word(ending: Ending) -> String {
    match ending {
        Ending::Succeeded => "succeeded",
        Ending::Failed => "failed",
        Ending::Checkpointed => "checkpointed",
        Ending::Stopped => "stopped",
        Ending::Lapsed => "lapsed",
        Ending::Lost => "lost",
    }
    .to_owned()
}
