//! What has to be on record before it is acted on.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::{
        Effect,
        Note, //
    },
    id::{
        JobId,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    record::{
        Entry,
        Outcome,
        Usage, //
    },
    worker::{
        Contact,
        Phase, //
    },
};

/// The least time between the beginnings of two records. The first thing that comes up after a pause is
/// recorded at once; in a busy second records would follow each other each 8 to 12 ms otherwise, which was
/// 4,100 of 6,950 priced calls of the store on a quiet day of 48 workers.
const RECORD_GAP: Duration = Duration::from_millis(24);

/// The longest time for a record that is reckoned with: a ticket must be usable for some time yet, however slow the store.
const MOST_TOOK: Duration = Duration::from_millis(500);

/// What waits for its record, and the record that is on its way; one at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    jobs: BTreeSet<JobId>,
    workers: BTreeSet<Slot>,
    /// Workers that are gone for good.
    gone: BTreeSet<WorkerId>,
    /// The last end of each worker that was taken in.
    ends: BTreeMap<Slot, u64>,
    flight: Option<Flight>,
    /// Before this no further record leaves.
    next: Timestamp,
    /// How long the last record took.
    took: Duration,
}

/// What one record covers.
#[derive(Clone, Debug, Default)]
struct Flight {
    /// When it left.
    since: Timestamp,
    jobs: Vec<Snapshot>,
    /// The starts that were decided when the record was written.
    starts: Vec<(Slot, TaskId, Run)>,
    ends: BTreeMap<Slot, u64>,
}

/// How far a job had come when the record was written.
#[derive(Clone, Debug)]
struct Snapshot {
    job: JobId,
    outcome: Option<Outcome>,
    done: Vec<(StepId, u16)>,
}

impl Ledger {
    pub(super) fn add_job(&mut self, job: JobId) {
        self.jobs.insert(job);
    }

    pub(super) fn add_worker(&mut self, slot: Slot) {
        self.workers.insert(slot);
    }

    pub(super) fn add_ends(&mut self, slot: Slot, last: u64) {
        self.ends.insert(slot, last);
    }

    /// Drops the numbers of ends of a worker that counts from one again.
    pub(super) fn drop_ends(&mut self, slot: Slot) {
        self.ends.remove(&slot);
        if let Some(flight) = &mut self.flight {
            flight.ends.remove(&slot);
        }
    }

    /// Returns whether anything waits for its record, and none is on its way.
    fn is_waiting(&self) -> bool {
        let is_empty = self.jobs.is_empty() && self.workers.is_empty() && self.gone.is_empty();
        self.flight.is_none() && !is_empty
    }

    /// Returns how long what is decided now waits until it is on record, by the time that the last one took: the record on
    /// its way comes first.
    fn wait(&self, now: Timestamp) -> Duration {
        let whole = self.took.min(MOST_TOOK);
        let flight = self.flight.as_ref();
        let rest = flight.map(|flight| whole.saturating_sub(now.since(flight.since)));
        rest.unwrap_or_default() + whole
    }

    /// Returns when the next record may leave, where something waits for it.
    pub(super) fn due(&self) -> Option<Timestamp> {
        self.is_waiting().then_some(self.next)
    }

    pub(super) fn remove_worker(&mut self, worker: WorkerId) {
        self.gone.insert(worker);
    }
}

impl Engine {
    /// Returns when an order leaves that is decided now, about.
    ///
    /// A ticket has to be usable then. Where the store takes 0.4 s a record, steps that had waited for room took it with
    /// tickets that ran out before their orders could leave, and took it again after another call for advice.
    pub(super) fn leaves(&self, now: Timestamp) -> Timestamp {
        now + self.ledger.wait(now)
    }

    /// Writes what has changed, unless a record is on its way.
    ///
    /// What comes up meanwhile goes into the next one, so records are grouped by the store's pace.
    pub(super) fn keep(&mut self, now: Timestamp) {
        if self.ledger.flight.is_some() || (self.ledger.is_waiting() && now < self.ledger.next) {
            return;
        }
        let jobs = std::mem::take(&mut self.ledger.jobs);
        let workers = std::mem::take(&mut self.ledger.workers);
        let ends = std::mem::take(&mut self.ledger.ends);
        // Before what runs on a worker that has come back under its id: the last entry of a key is the one that
        // stands, and a new owner would start elsewhere what it doesn't find there.
        let gone = std::mem::take(&mut self.ledger.gone);
        let mut entries: Vec<Entry> = gone.into_iter().map(Entry::Gone).collect();
        let mut snapshots = Vec::new();
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            entries.push(Entry::Job(id, job.progress()));
            snapshots.push(self.snapshot(id));
        }
        let mut starts = Vec::new();
        for slot in workers {
            let Some(worker) = self.workers.get(&slot) else {
                continue;
            };
            let usage = Usage {
                address: worker.registration.address,
                incarnation: worker.incarnation,
                runs: worker.claims.keys().copied().collect(),
            };
            entries.push(Entry::Worker(worker.registration.id.clone(), usage));
            let decided = worker.claims.iter();
            let decided = decided.filter(|(_, claim)| claim.phase == Phase::Recording);
            starts.extend(decided.map(|((task, run), _)| (slot, *task, *run)));
        }
        let flight = Flight {
            since: now,
            jobs: snapshots,
            starts,
            ends,
        };
        if entries.is_empty() {
            self.acknowledge(&flight.ends, None);
            return;
        }
        self.ledger.flight = Some(flight);
        self.ledger.next = now + RECORD_GAP;
        self.outbox.push(Effect::Record(entries));
    }

    fn snapshot(&self, id: JobId) -> Snapshot {
        let job = self.jobs.get(&id);
        let occurrences = job.map(|job| &job.occurrences).into_iter().flatten();
        let done = occurrences.flat_map(|(occurrence, stages)| {
            (0u16..).zip(stages).map(move |(step, stage)| {
                let step = StepId {
                    job: id,
                    occurrence: *occurrence,
                    step,
                };
                (step, stage.done)
            })
        });
        Snapshot {
            job: id,
            outcome: job.and_then(|job| job.outcome),
            done: done.collect(),
        }
    }

    /// Notes that the record on its way is kept.
    pub fn recorded(&mut self, now: Timestamp) {
        let Some(flight) = self.ledger.flight.take() else {
            return;
        };
        self.ledger.took = now.since(flight.since);
        self.reports.note_record(self.ledger.took, now);
        self.send_starts(flight.starts, now);
        for snapshot in flight.jobs {
            self.apply(snapshot, now);
        }
        self.acknowledge(&flight.ends, Some(now));
    }

    fn apply(&mut self, snapshot: Snapshot, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&snapshot.job) else {
            return;
        };
        for (step, done) in snapshot.done {
            if let Some(stage) = job.stage_mut(step) {
                stage.kept = done;
            }
        }
        let is_new = job.kept_outcome.is_none();
        job.kept_outcome = job.kept_outcome.or(snapshot.outcome);
        if let Some(outcome) = snapshot.outcome.filter(|_| is_new) {
            let after = now.since(job.accepted.received);
            self.note(Note::Finished {
                job: snapshot.job,
                outcome: match outcome {
                    Outcome::Completed => "completed",
                    Outcome::Failed => "failed",
                },
                after,
            });
            self.note_over(snapshot.job, now);
        }
        self.open_steps(snapshot.job, now);
    }

    /// Lets workers forget ends that are on record or need none.
    fn acknowledge(&mut self, ends: &BTreeMap<Slot, u64>, now: Option<Timestamp>) {
        for (slot, last) in ends {
            let Some(worker) = self.workers.get_mut(slot) else {
                continue;
            };
            let is_news = *last > worker.kept;
            worker.kept = worker.kept.max(*last);
            if is_news && let Contact::Due(due) = worker.contact {
                worker.contact = Contact::Due(now.unwrap_or(Timestamp::ZERO).min(due));
                self.index(*slot);
            }
        }
    }
}
