//! Writes the records of accepted jobs and cancellations to the store, in batches.
//!
//! Each node has one append in flight; records that arrive meanwhile go into the next one. An unanswered append is
//! retried unchanged: it is idempotent, because each record has a key. A record is reported as not stored only if it
//! was never sent or if the store refused it.

use std::{
    hash::{
        Hash,
        Hasher, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU8,
            Ordering, //
        },
    },
    time::Duration,
};

use fulmarpier_cell::{
    id::NodeName,
    spread::Spread, //
};
use fulmarpier_state::alias::FxHasher;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::{
        Instant,
        sleep,
        timeout_at, //
    },
};

use crate::{
    pack::pack,
    platform::{
        Append,
        Condition,
        Error,
        JOB_PARTITIONS,
        Platform,
        Record,
        SMALL_CELL_JOB_PARTITIONS,
        Topic, //
    },
    shared::Shared,
};

/// The maximum number of records in the queue.
const MAX_QUEUED_RECORDS: usize = 1_024;
/// The maximum number of records in one append. A job takes a few kilobytes.
const MAX_RECORDS_PER_APPEND: usize = 128;
/// The pause before an unanswered append is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long an unanswered append is retried: the platform may execute an append up to 6 s late.
const MAX_RETRY_TIME: Duration = Duration::from_secs(6);
/// If the store refuses a partition and has been failing for this long, the whole store counts as unavailable and no
/// other partition is tried.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(500);
/// How often a waiting caller checks whether the store is still available.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of writing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The record is stored in this partition.
    Stored(u16),
    /// The record was never sent, or the store refused it.
    NotStored,
    /// It isn't known whether the record is stored.
    Unknown,
}

/// The state of a record that waits in the queue.
const QUEUED: u8 = 0;
/// The state of a record in a batch that has been or will be sent.
const SENT: u8 = 1;
/// The state of a record that was withdrawn and will never be sent.
const WITHDRAWN: u8 = 2;

/// Withdraws a queued record; returns `false` if it has been sent.
fn withdraw(state: &AtomicU8) -> bool {
    state
        .compare_exchange(QUEUED, WITHDRAWN, Ordering::AcqRel, Ordering::Acquire)
        .is_ok()
}

/// Marks a record as sent; returns `false` if it was withdrawn.
fn mark_sent(state: &AtomicU8) -> bool {
    state
        .compare_exchange(QUEUED, SENT, Ordering::AcqRel, Ordering::Acquire)
        .is_ok()
}

/// A queued record.
struct Entry {
    record: Record,
    state: Arc<AtomicU8>,
    done: oneshot::Sender<Outcome>,
}

/// A handle to the task that writes jobs and cancellations to the store; cheap to clone.
#[derive(Clone)]
pub(crate) struct Intake {
    entries: mpsc::Sender<Entry>,
}

/// Returns the partition that a node writes to.
///
/// A job that is submitted twice may have records in two partitions. Its id identifies it as one job.
pub(crate) fn partition(node: &NodeName, spread: Spread) -> u16 {
    let count = match spread.uses_all_partitions() {
        true => JOB_PARTITIONS,
        false => SMALL_CELL_JOB_PARTITIONS,
    };
    let mut hasher = FxHasher::default();
    node.hash(&mut hasher);
    u16::try_from(hasher.finish() % u64::from(count)).unwrap_or(0)
}

impl Intake {
    /// Starts the task that appends records to the store.
    pub(crate) fn start<P: Platform>(shared: &Arc<Shared<P>>) -> Self {
        let (entries, queue) = mpsc::channel(MAX_QUEUED_RECORDS);
        tokio::spawn(run(shared.clone(), queue));
        Self { entries }
    }

    /// Writes a record and returns the outcome by `deadline` at the latest.
    ///
    /// While the store is unavailable, a record that hasn't been sent is [`Outcome::NotStored`] at once, and one that
    /// has been sent is [`Outcome::Unknown`]: the caller may retry under the same id, later or on another node.
    pub(crate) async fn write<P: Platform>(
        &self,
        shared: &Shared<P>,
        record: Record,
        deadline: Instant,
    ) -> Outcome {
        if shared.store.is_unavailable() {
            return Outcome::NotStored;
        }
        let (done, mut answer) = oneshot::channel();
        let state = Arc::new(AtomicU8::new(QUEUED));
        let entry = Entry {
            record,
            state: state.clone(),
            done,
        };
        if self.entries.try_send(entry).is_err() {
            return Outcome::NotStored;
        }
        loop {
            let next_poll = deadline.min(Instant::now() + POLL_INTERVAL);
            match timeout_at(next_poll, &mut answer).await {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(_)) => return Outcome::Unknown,
                Err(_) => {}
            }
            if Instant::now() >= deadline || shared.store.is_unavailable() {
                return match withdraw(&state) {
                    true => Outcome::NotStored,
                    false => Outcome::Unknown,
                };
            }
        }
    }
}

/// Appends queued records, one batch at a time.
async fn run<P: Platform>(shared: Arc<Shared<P>>, mut queue: mpsc::Receiver<Entry>) {
    let mut received = Vec::new();
    while queue.recv_many(&mut received, MAX_RECORDS_PER_APPEND).await > 0 {
        let entries: Vec<Entry> = std::mem::take(&mut received);
        let size_of = |entry: &Entry| entry.record.framed_len();
        for mut batch in pack(entries, shared.store_limits.call, size_of) {
            batch.retain(|entry| mark_sent(&entry.state));
            if !batch.is_empty() {
                write_batch(&shared, batch).await;
            }
        }
    }
}

/// Appends the records of a batch and reports the outcome to those that wait for it.
async fn write_batch<P: Platform>(shared: &Shared<P>, batch: Vec<Entry>) {
    let records = batch.iter().map(|entry| entry.record.clone()).collect();
    let partition = partition(&shared.name, shared.spread());
    let outcome = append(shared, partition, records).await;
    for entry in batch {
        // The caller may have stopped waiting.
        let _ = entry.done.send(outcome);
    }
}

/// Appends records to a node's own partition, or to the next partition if the store refuses the first.
///
/// A refused append has no effect, so the records can go to another partition. The store may refuse single partitions:
/// with some of them unavailable for 3.5 s and no second attempt, two of five jobs were refused that another partition
/// would have accepted.
async fn append<P: Platform>(shared: &Shared<P>, partition: u16, records: Vec<Record>) -> Outcome {
    let outcome = append_to(shared, partition, records.clone()).await;
    if outcome != Outcome::NotStored || shared.store.failing_for() >= OUTAGE_THRESHOLD {
        return outcome;
    }
    let count = match partition < SMALL_CELL_JOB_PARTITIONS {
        true => SMALL_CELL_JOB_PARTITIONS,
        false => JOB_PARTITIONS,
    };
    append_to(shared, (partition + 1) % count, records).await
}

/// Appends records to one partition and retries while no answer arrives.
async fn append_to<P: Platform>(
    shared: &Shared<P>,
    partition: u16,
    records: Vec<Record>,
) -> Outcome {
    let append = Append {
        topic: Topic::Jobs(partition),
        records,
        condition: Condition::None,
    };
    let deadline = Instant::now() + MAX_RETRY_TIME;
    let mut failure = Outcome::NotStored;
    loop {
        match shared.append("accept", append.clone()).await {
            Ok(_) => return Outcome::Stored(partition),
            Err(Error::Refused(_) | Error::Rejected(_)) if failure == Outcome::NotStored => {
                return Outcome::NotStored;
            }
            // An earlier attempt may still take effect.
            Err(_) => failure = Outcome::Unknown,
        }
        if Instant::now() >= deadline {
            return failure;
        }
        sleep(RETRY_PAUSE).await;
    }
}
