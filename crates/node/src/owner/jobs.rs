//! What the owner reads of the jobs' partitions: all of it at a takeover, then what comes after.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use fulmarpier_cell::{
    id::NodeName,
    spread::Spread, //
};
use futures::future::join_all;
use kameo::actor::WeakActorRef;
use tokio::time::{
    Instant,
    sleep,
    sleep_until,
    timeout, //
};

use super::{
    Control,
    Event,
    View, //
};
use crate::{
    front::{
        JobRecord,
        Key, //
    },
    intake,
    port::{
        Error,
        FIRST_PARTITIONS,
        JOB_PARTITIONS,
        Platform,
        Record,
        Topic, //
    },
    recall::{
        self,
        Own,
        Settled, //
    },
    shared::Shared,
    watch::{
        Batch,
        Reader,
        pause, //
    },
};

/// How often partitions of jobs are read whose node is gone: it may be cut off from the owner alone and go
/// on taking jobs, or have died as it took one.
const JOBS_LOOK: Duration = Duration::from_millis(500);
/// How often those are read whose nodes are there and tell the owner of each job themselves. A word may reach
/// an owner that is just being replaced, and a cancellation has to be in force within 3 s.
const JOBS_PRESENT: Duration = Duration::from_millis(1_500);
/// How often those are read that no node is known to write to.
const JOBS_UNKNOWN: Duration = Duration::from_millis(1_500);
/// For this long a node that is gone may go on writing: cuts last some seconds.
const WRITES_ON: Duration = Duration::from_secs(20);
/// The least time between two readings of a partition that somebody asks about, in a small cell and in a large one: with it,
/// callers who ask for jobs that don't exist cost 160 calls of the store a second at most.
const WANTED_GAP: Duration = Duration::from_millis(100);
const WANTED_GAP_WIDE: Duration = Duration::from_millis(300);
/// A new owner begins to act only on what was on record so short a time ago. It waits for the slowest of 16
/// partitions, 3.5 s where answers are lost, and what other nodes wrote meanwhile is missing from the other 15:
/// a cancellation among it has to be in force within 3 s, and jobs wait until they are read on, up to 2 s later.
const FRESH: Duration = Duration::from_secs(1);
/// Where a partition takes long to read, so many times of that instead: no view of it is younger than one reading.
const FRESH_READINGS: u32 = 2;
/// How often partitions are read again at most. Where a third of all answers is lost the slowest of 16 takes more
/// than a second each time, and a cell without an owner serves nobody: a cancellation whose word is lost as well comes
/// into force some seconds later then.
const MOST_ROUNDS: u32 = 2;

/// A partition of the jobs as the owner reads it.
pub(super) struct Partition {
    number: u16,
    reader: Reader,
    /// When the store was last asked.
    asked: Instant,
    /// All that was on record then has been read.
    read: Instant,
    /// How long the last reading took.
    took: Duration,
}

impl Partition {
    /// Reads the newest record of each key, until the store gives them.
    async fn open<P: Platform>(shared: &Shared<P>, number: u16) -> (Self, Vec<JobRecord>) {
        let mut partition = Self {
            number,
            reader: Reader::new(Topic::Jobs(number), "jobs"),
            asked: Instant::now(),
            // Replaced by the first reading, before anybody sees it.
            read: shared.began,
            took: Duration::ZERO,
        };
        let found = partition.read_surely(shared).await;
        (partition, found)
    }

    /// Returns what was put on record since it was last read.
    async fn read_on<P: Platform>(&mut self, shared: &Shared<P>) -> Result<Vec<JobRecord>, Error> {
        let asked = Instant::now();
        self.asked = asked;
        let mut found = Vec::new();
        loop {
            let settled = match self.read_page(shared).await {
                Ok(settled) => settled,
                Err(error) if found.is_empty() => return Err(error),
                // The reader is past what was found; the rest is read another time.
                Err(_) => return Ok(found),
            };
            found.extend(settled.found);
            let keys = settled.rejected.into_iter();
            let keys = keys.filter_map(|record| record.key);
            // One of another writer under the key of a job leaves it unknown.
            let jobs = keys.filter_map(|key| Key::accepted_job(&key));
            found.extend(jobs.map(JobRecord::Unreadable));
            if settled.is_last {
                self.read = asked;
                self.took = asked.elapsed();
                return Ok(found);
            }
        }
    }

    async fn read_page<P: Platform>(
        &mut self,
        shared: &Shared<P>,
    ) -> Result<Settled<JobRecord>, Error> {
        let number = self.number;
        let read = |record: &Record| JobRecord::read(record, number);
        let page = match self.reader.read(shared, Duration::ZERO).await? {
            Batch::More(page) => return Ok(recall::read(shared, "jobs", page, read)),
            Batch::Whole(page) => page,
        };
        let topic = Topic::Jobs(number);
        let own = Own {
            key: JobRecord::is_key,
            read: &read,
        };
        let settled = recall::settle(shared, topic, "jobs", page, own).await;
        if settled.is_err() {
            // What the reader is past was not taken.
            self.reader = Reader::new(topic, "jobs");
        }
        settled
    }

    /// Returns whether a new owner may act on what has been read.
    fn is_fresh(&self) -> bool {
        self.read.elapsed() <= FRESH.max(FRESH_READINGS * self.took)
    }

    /// Reads on until the store answers.
    async fn read_surely<P: Platform>(&mut self, shared: &Shared<P>) -> Vec<JobRecord> {
        loop {
            match self.read_on(shared).await {
                Ok(found) => return found,
                Err(_) => pause().await,
            }
        }
    }
}

/// Reads all partitions, and again those that were read long ago: what was on record a moment ago is known then.
pub(super) async fn read_all<P: Platform>(shared: &Shared<P>) -> (Vec<Partition>, Vec<JobRecord>) {
    let opened = join_all((0..JOB_PARTITIONS).map(|number| Partition::open(shared, number))).await;
    let (mut partitions, found): (Vec<Partition>, Vec<Vec<JobRecord>>) = opened.into_iter().unzip();
    let mut found: Vec<JobRecord> = found.into_iter().flatten().collect();
    for _ in 0..MOST_ROUNDS {
        let due = partitions.iter_mut();
        let due = due.filter(|partition| !partition.is_fresh());
        let batches = join_all(due.map(|partition| partition.read_surely(shared))).await;
        found.extend(batches.into_iter().flatten());
    }
    (partitions, found)
}

/// Makes the view of an owner that has read partitions so far.
pub(super) fn view(partitions: &[Partition]) -> View {
    View::new(partitions.iter().map(|partition| partition.read).collect())
}

/// Follows a partition, as often as something may stand in it that nobody has told of, and at once where somebody
/// asks for something that the owner doesn't know.
///
/// Each has a task of its own: while a part of the store gave no answer for 3 s, cancellations in the rest came into force as
/// much later.
pub(super) async fn follow<P: Platform>(
    shared: Arc<Shared<P>>,
    mut partition: Partition,
    view: View,
    writers: Writers,
    control: WeakActorRef<Control<P>>,
) {
    loop {
        let may_be_wide = shared.spread().may_be_wide();
        let gap = if may_be_wide {
            WANTED_GAP_WIDE
        } else {
            WANTED_GAP
        };
        sleep_until(partition.asked + gap).await;
        let wanted = view.wants_more(partition.number);
        let is_wanted = timeout(JOBS_LOOK, wanted).await.is_ok();
        if partition.number >= FIRST_PARTITIONS && !may_be_wide {
            // No node writes there.
            view.note(partition.number, Instant::now());
            if control.upgrade().is_none() {
                return;
            }
            continue;
        }
        let is_due = partition.asked.elapsed() >= writers.period(partition.number);
        if !is_wanted && !is_due {
            if control.upgrade().is_none() {
                return;
            }
            continue;
        }
        let found = partition.read_on(&shared).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        let Ok(found) = found else {
            pause().await;
            continue;
        };
        for record in found {
            let event = match record {
                JobRecord::Accepted(accepted) => Event::Accepted(accepted),
                JobRecord::Cancelled(cancelled) => Event::Cancelled(cancelled),
                JobRecord::Unreadable(job) => {
                    view.note_unreadable(job);
                    continue;
                }
            };
            // The actor may be ending.
            let _ = control.tell(event).await;
        }
        // The actor hears of the records before whoever waits for this asks it.
        view.note(partition.number, partition.read);
    }
}

/// The nodes that write jobs, by when they were last there; cheap to clone.
#[derive(Clone, Default)]
pub(super) struct Writers(Arc<Mutex<BTreeMap<NodeName, Instant>>>);

impl Writers {
    /// Keeps up which nodes are there, for as long as the actor is.
    pub(super) async fn follow<P: Platform>(
        self,
        shared: Arc<Shared<P>>,
        control: WeakActorRef<Control<P>>,
    ) {
        while control.upgrade().is_some() {
            let peers = shared.peers.lock().await.clone();
            let present = peers.into_iter().map(|peer| peer.node);
            self.note(present.chain([shared.name.clone()]));
            sleep(JOBS_LOOK / 2).await;
        }
    }

    fn seen(&self) -> MutexGuard<'_, BTreeMap<NodeName, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes which nodes are there.
    fn note(&self, present: impl Iterator<Item = NodeName>) {
        let now = Instant::now();
        let mut nodes = self.seen();
        nodes.extend(present.map(|node| (node, now)));
        nodes.retain(|_, seen| seen.elapsed() < WRITES_ON);
    }

    /// Returns how often a partition is read.
    fn period(&self, partition: u16) -> Duration {
        let nodes = self.seen();
        // It may not have heard yet how far jobs are spread.
        let of = |node: &NodeName| {
            let mut spreads = [Spread::default(), Spread::default().renew(usize::MAX)].into_iter();
            spreads.any(|spread| intake::partition(node, spread) == partition)
        };
        let mut writers = nodes.iter().filter(|(node, _)| of(node)).peekable();
        if writers.peek().is_none() {
            return JOBS_UNKNOWN;
        }
        match writers.all(|(_, seen)| seen.elapsed() < JOBS_LOOK) {
            true => JOBS_PRESENT,
            false => JOBS_LOOK,
        }
    }
}
