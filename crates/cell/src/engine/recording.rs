//! Changes that have to be recorded in the store before the engine acts on them.

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
    Slot,
    job::Job, //
};
use crate::{
    effect::{
        Effect,
        LogRecord, //
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
        WorkerRuns, //
    },
    worker::{
        CallState,
        Phase, //
    },
};

/// The minimum time between the starts of two record writes.
///
/// The first change after a pause is written at once. Without this bound, writes follow each other every 8 to 12 ms
/// under load, which makes up 4,100 of 6,950 billed store calls on a quiet day of 48 workers.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(24);

/// The upper bound on the expected duration of a record write: however slow the store is, a ticket must remain usable
/// for some time.
const MAX_EXPECTED_RECORD_DURATION: Duration = Duration::from_millis(500);

/// The changes that wait to be recorded, and the one record write that is in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordQueue {
    jobs: BTreeSet<JobId>,
    workers: BTreeSet<Slot>,
    /// Workers that are permanently gone and whose runs are to be removed from the store.
    gone: BTreeSet<WorkerId>,
    /// Jobs that are over, and whose outcomes go into one record.
    outcomes: Vec<JobId>,
    /// The serial number of the last end that was handled, by worker.
    ends: BTreeMap<Slot, u64>,
    in_flight: Option<InFlight>,
    /// The earliest time of the next record write.
    next_write: Timestamp,
    /// How long the last record write took.
    last_duration: Duration,
}

/// The changes that one record write covers.
#[derive(Clone, Debug, Default)]
struct InFlight {
    /// When it was sent.
    since: Timestamp,
    jobs: Vec<Snapshot>,
    /// The starts that the record contains; their orders leave once it is written.
    starts: Vec<(Slot, TaskId, Run)>,
    ends: BTreeMap<Slot, u64>,
}

/// The state of a job at the time of a record write.
#[derive(Clone, Debug)]
struct Snapshot {
    job: JobId,
    outcome: Option<Outcome>,
    /// The occurrences that are done.
    finished: Vec<u32>,
    done: Vec<(StepId, u16)>,
}

impl RecordQueue {
    pub(super) fn add_job(&mut self, job: JobId) {
        self.jobs.insert(job);
    }

    pub(super) fn add_worker(&mut self, slot: Slot) {
        self.workers.insert(slot);
    }

    pub(super) fn add_ends(&mut self, slot: Slot, last: u64) {
        self.ends.insert(slot, last);
    }

    /// Drops the serial number of the last end of a worker whose new incarnation numbers its ends from one again.
    pub(super) fn drop_ends(&mut self, slot: Slot) {
        self.ends.remove(&slot);
        if let Some(flight) = &mut self.in_flight {
            flight.ends.remove(&slot);
        }
    }

    /// Returns whether changes wait to be recorded and no write is in flight.
    fn is_waiting(&self) -> bool {
        let is_empty = self.jobs.is_empty()
            && self.workers.is_empty()
            && self.gone.is_empty()
            && self.outcomes.is_empty();
        self.in_flight.is_none() && !is_empty
    }

    /// Returns the expected time until a decision made now is recorded, by the duration of the last write.
    ///
    /// A write in flight has to finish first.
    fn expected_delay(&self, now: Timestamp) -> Duration {
        let duration = self.last_duration.min(MAX_EXPECTED_RECORD_DURATION);
        let flight = self.in_flight.as_ref();
        let remaining = flight.map(|flight| duration.saturating_sub(now.since(flight.since)));
        remaining.unwrap_or_default() + duration
    }

    /// Returns the time of the next record write, if changes wait for it.
    pub(super) fn due(&self) -> Option<Timestamp> {
        self.is_waiting().then_some(self.next_write)
    }

    /// Returns whether outcomes wait to be packed into one record.
    pub(super) const fn has_outcomes(&self) -> bool {
        !self.outcomes.is_empty()
    }

    /// Sets the jobs whose outcomes are to be packed into one record.
    pub(super) fn set_outcomes(&mut self, jobs: Vec<JobId>) {
        self.outcomes = jobs;
    }

    pub(super) fn remove_worker(&mut self, worker: WorkerId) {
        self.gone.insert(worker);
    }
}

impl Engine {
    /// Returns the estimated time at which an order decided now leaves, after its record is written.
    ///
    /// Its ticket has to be usable then. Without this estimate, if a write takes 0.4 s, steps that have waited for
    /// capacity take it with tickets that expire before their orders leave, and take it again after another call for
    /// advice.
    pub(super) fn expected_departure(&self, now: Timestamp) -> Timestamp {
        now + self.record_queue.expected_delay(now)
    }

    /// Writes all changes that wait to be recorded, unless a write is in flight.
    ///
    /// Changes that arrive meanwhile go into the next write, so that the store's latency determines the batch size.
    pub(super) fn write_record(&mut self, now: Timestamp) {
        if self.record_queue.in_flight.is_some()
            || (self.record_queue.is_waiting() && now < self.record_queue.next_write)
        {
            return;
        }
        let jobs = std::mem::take(&mut self.record_queue.jobs);
        let workers = std::mem::take(&mut self.record_queue.workers);
        let ends = std::mem::take(&mut self.record_queue.ends);
        // Removals come before the runs of a worker that has returned under the same id: the last entry of a key wins,
        // and a new owner would start runs elsewhere that it doesn't find on record.
        let gone = std::mem::take(&mut self.record_queue.gone);
        let mut entries: Vec<Entry> = gone.into_iter().map(Entry::RemovedWorker).collect();
        let outcomes = std::mem::take(&mut self.record_queue.outcomes);
        entries.extend(self.packed_outcomes(&outcomes));
        let mut snapshots = Vec::new();
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            entries.push(Entry::job(id, job.progress()));
            snapshots.push(self.snapshot(id));
        }
        let mut starts = Vec::new();
        for slot in workers {
            let Some(worker) = self.workers.get(&slot) else {
                continue;
            };
            let runs = WorkerRuns {
                address: worker.registration.address,
                incarnation: worker.incarnation,
                runs: worker.allocations.keys().copied().collect(),
            };
            entries.push(Entry::Worker(worker.registration.id.clone(), runs));
            let decided = worker.allocations.iter();
            let decided = decided.filter(|(_, allocation)| allocation.phase == Phase::Recording);
            starts.extend(decided.map(|((task, run), _)| (slot, *task, *run)));
        }
        let flight = InFlight {
            since: now,
            jobs: snapshots,
            starts,
            ends,
        };
        if entries.is_empty() {
            self.acknowledge(&flight.ends, None);
            return;
        }
        self.record_queue.in_flight = Some(flight);
        self.record_queue.next_write = now + MIN_RECORD_INTERVAL;
        self.outbox.push(Effect::Record(entries));
    }

    /// Returns the state of a job for the record write that is about to leave.
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
            finished: job.map(Job::done_occurrences).unwrap_or_default(),
            done: done.collect(),
        }
    }

    /// Handles the completion of the record write in flight.
    pub fn handle_recorded(&mut self, now: Timestamp) {
        let Some(flight) = self.record_queue.in_flight.take() else {
            return;
        };
        self.record_queue.last_duration = now.since(flight.since);
        self.report_validity
            .note_record(self.record_queue.last_duration, now);
        self.send_starts(flight.starts, now);
        for snapshot in flight.jobs {
            self.apply_recorded(snapshot, now);
        }
        self.acknowledge(&flight.ends, Some(now));
    }

    /// Acts on the recorded state of a job: its end, and steps that may start.
    fn apply_recorded(&mut self, snapshot: Snapshot, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&snapshot.job) else {
            return;
        };
        for (step, done) in snapshot.done {
            if let Some(stage) = job.stage_mut(step) {
                stage.recorded_done = done;
            }
        }
        let is_new = job.recorded_outcome.is_none();
        job.recorded_outcome = job.recorded_outcome.or(snapshot.outcome);
        if let Some(outcome) = snapshot.outcome.filter(|_| is_new) {
            let after = now.since(job.accepted.received);
            self.log(LogRecord::Finished {
                job: snapshot.job,
                outcome: match outcome {
                    Outcome::Completed => "completed",
                    Outcome::Failed => "failed",
                },
                after,
            });
            self.schedule_removal(snapshot.job, now);
        } else {
            job.drop_finished(&snapshot.finished);
        }
        self.begin_occurrences(snapshot.job, now);
        self.open_steps(snapshot.job, now);
    }

    /// Acknowledges ends that are recorded, or need no record, so that workers may forget them.
    fn acknowledge(&mut self, ends: &BTreeMap<Slot, u64>, now: Option<Timestamp>) {
        for (slot, last) in ends {
            let Some(worker) = self.workers.get_mut(slot) else {
                continue;
            };
            let is_newer = *last > worker.last_recorded_end;
            worker.last_recorded_end = worker.last_recorded_end.max(*last);
            if is_newer && let CallState::Due(due) = worker.heartbeat {
                worker.heartbeat = CallState::Due(now.unwrap_or(Timestamp::ZERO).min(due));
                self.update_indexes(*slot);
            }
        }
    }
}
