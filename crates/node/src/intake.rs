//! Groups acceptances and cancellations into appends.
//!
//! Each node has one append on its way; what comes meanwhile goes into the next one. An append
//! without an answer is sent again as it was: the records stand under keys, so a second copy changes
//! nothing. Only a record that was never on its way can be refused as not kept.

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
    port::{
        Append,
        Condition,
        Error,
        FIRST_PARTITIONS,
        JOB_PARTITIONS,
        Platform,
        Record,
        Topic, //
    },
    shared::Shared,
};

/// How many records wait for one partition at most.
const QUEUE: usize = 1_024;
/// How many records go into one append at most; jobs have some kilobytes, calls take two megabytes.
const MOST_GROUPED: usize = 128;
/// The pause before an append without an answer is sent again.
const AGAIN: Duration = Duration::from_millis(50);
/// How long an append without an answer is tried: the platform carries it out up to 6 s late.
const MOST_TRIED: Duration = Duration::from_secs(6);
/// Where a store that refuses a partition has not answered otherwise for this long, it is away as a whole and
/// another partition is not tried.
const ELSEWHERE: Duration = Duration::from_millis(500);
/// How often a record that waits is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kept {
    /// The store keeps it, in this partition.
    In(u16),
    /// It was never sent, or the store said that it did nothing.
    No,
    /// Nobody can tell.
    Unknown,
}

/// A record waits for its group.
const QUEUED: u8 = 0;
/// A record is in a group that was or will be sent.
const SENT: u8 = 1;
/// A record was withdrawn and will never be sent.
const WITHDRAWN: u8 = 2;

/// Takes a record back; false where it has been sent.
fn withdraw(place: &AtomicU8) -> bool {
    place
        .compare_exchange(QUEUED, WITHDRAWN, Ordering::AcqRel, Ordering::Acquire)
        .is_ok()
}

/// Marks a record as sent; false where it was withdrawn.
fn send(place: &AtomicU8) -> bool {
    place
        .compare_exchange(QUEUED, SENT, Ordering::AcqRel, Ordering::Acquire)
        .is_ok()
}

/// A record on its way in.
struct Entry {
    record: Record,
    place: Arc<AtomicU8>,
    done: oneshot::Sender<Kept>,
}

/// The way into the store for jobs and cancellations.
#[derive(Clone)]
pub(crate) struct Intake {
    entries: mpsc::Sender<Entry>,
}

/// Returns the partition that a node writes to.
///
/// A job that is handed in twice may stand in two of them; it is one job by its id all the same.
pub(crate) fn partition(node: &NodeName, spread: Spread) -> u16 {
    let count = match spread.is_wide() {
        true => JOB_PARTITIONS,
        false => FIRST_PARTITIONS,
    };
    let mut hasher = FxHasher::default();
    node.hash(&mut hasher);
    u16::try_from(hasher.finish() % u64::from(count)).unwrap_or(0)
}

impl Intake {
    /// Starts the task that appends.
    pub(crate) fn start<P: Platform>(shared: &Arc<Shared<P>>) -> Self {
        let (entries, queue) = mpsc::channel(QUEUE);
        tokio::spawn(run(shared.clone(), queue));
        Self { entries }
    }

    /// Keeps a record and tells what became of it, at the latest when `deadline` comes.
    ///
    /// While the store gives no answer, what has not left yet is refused at once, and of what has left the
    /// caller is told that nobody can tell: elsewhere or a little later it may be taken, under the same id.
    pub(crate) async fn keep<P: Platform>(
        &self,
        shared: &Shared<P>,
        record: Record,
        deadline: Instant,
    ) -> Kept {
        if shared.store.is_away() {
            return Kept::No;
        }
        let (done, mut answer) = oneshot::channel();
        let place = Arc::new(AtomicU8::new(QUEUED));
        let entry = Entry {
            record,
            place: place.clone(),
            done,
        };
        if self.entries.try_send(entry).is_err() {
            return Kept::No;
        }
        loop {
            let until = deadline.min(Instant::now() + LOOK);
            match timeout_at(until, &mut answer).await {
                Ok(Ok(kept)) => return kept,
                Ok(Err(_)) => return Kept::Unknown,
                Err(_) => {}
            }
            if Instant::now() >= deadline || shared.store.is_away() {
                return match withdraw(&place) {
                    true => Kept::No,
                    false => Kept::Unknown,
                };
            }
        }
    }
}

async fn run<P: Platform>(shared: Arc<Shared<P>>, mut queue: mpsc::Receiver<Entry>) {
    let mut group = Vec::new();
    while queue.recv_many(&mut group, MOST_GROUPED).await > 0 {
        group.retain(|entry: &Entry| send(&entry.place));
        if group.is_empty() {
            continue;
        }
        let records = group.iter().map(|entry| entry.record.clone()).collect();
        let partition = partition(&shared.name, shared.spread());
        let kept = append(&shared, partition, records).await;
        for entry in group.drain(..) {
            // The caller may have stopped waiting.
            let _ = entry.done.send(kept);
        }
    }
}

/// Appends records to a node's own partition, or to the next one where the store refuses that.
///
/// A refusal did nothing, so the records may stand elsewhere. The store may refuse single partitions: with a part
/// of them away for 3.5 s, two of five jobs were refused that another partition would have taken.
async fn append<P: Platform>(shared: &Shared<P>, partition: u16, records: Vec<Record>) -> Kept {
    let kept = append_to(shared, partition, records.clone()).await;
    if kept != Kept::No || shared.store.failing_for() >= ELSEWHERE {
        return kept;
    }
    let count = match partition < FIRST_PARTITIONS {
        true => FIRST_PARTITIONS,
        false => JOB_PARTITIONS,
    };
    append_to(shared, (partition + 1) % count, records).await
}

async fn append_to<P: Platform>(shared: &Shared<P>, partition: u16, records: Vec<Record>) -> Kept {
    let append = Append {
        topic: Topic::Jobs(partition),
        records,
        condition: Condition::None,
    };
    let until = Instant::now() + MOST_TRIED;
    let mut refused = Kept::No;
    loop {
        match shared.append("accept", append.clone()).await {
            Ok(_) => return Kept::In(partition),
            Err(Error::Refused(_)) if refused == Kept::No => return Kept::No,
            // An earlier copy may still be carried out.
            Err(_) => refused = Kept::Unknown,
        }
        if Instant::now() >= until {
            return refused;
        }
        sleep(AGAIN).await;
    }
}
