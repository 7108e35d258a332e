//! Reads the job partitions for the owner: completely at a takeover, then whatever is added.

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
    EngineActor,
    Event,
    ReadProgress, //
};
use crate::{
    fallback::{
        self,
        Decoded,
        Decoder, //
    },
    frontend::{
        JobRecord,
        Key, //
    },
    intake,
    platform::{
        Error,
        JOB_PARTITIONS,
        Platform,
        Record,
        SMALL_CELL_JOB_PARTITIONS,
        Topic, //
    },
    shared::Shared,
    watch::{
        Batch,
        Reader,
        wait_to_retry, //
    },
};

/// How often to read partitions whose writer, a node, is absent: the node may be cut off from the
/// owner alone and still accept jobs, or it may have died while accepting one. Also the shortest
/// interval at which a partition is checked, and the age from which a node counts as absent.
const READ_INTERVAL_WRITER_ABSENT: Duration = Duration::from_millis(500);
/// How often to read partitions whose writers are present and notify the owner of each job
/// themselves. A notification may reach an owner that is just being replaced, and a cancellation
/// has to take effect within 3 s.
const READ_INTERVAL_WRITER_PRESENT: Duration = Duration::from_millis(1_500);
/// How often to read partitions that no node is known to write to.
const READ_INTERVAL_NO_WRITER: Duration = Duration::from_millis(1_500);
/// How long after it was last seen a node is still expected to write: network cuts last some
/// seconds.
const ABSENT_WRITER_TIMEOUT: Duration = Duration::from_secs(20);
/// The minimum time between two reads of a partition that a caller waits for, in a small cell and
/// in a large one. With it, callers that ask for jobs that don't exist cause at most 160 store
/// calls a second.
const MIN_REQUESTED_READ_GAP: Duration = Duration::from_millis(100);
const MIN_REQUESTED_READ_GAP_LARGE_CELL: Duration = Duration::from_millis(300);
/// A new owner reads a partition again if its last read is older than this. A takeover waits for
/// the slowest of 16 partitions, 3.5 s where answers are lost, and misses what other nodes wrote to
/// the other 15 meanwhile: a cancellation among it has to take effect within 3 s, and jobs wait
/// until the next read, up to 2 s later.
const MAX_READ_AGE_AT_TAKEOVER: Duration = Duration::from_secs(1);
/// If a partition takes long to read, the limit is this many times the duration of its last read
/// instead, since what is known of it is never younger than one read.
const MAX_READ_AGE_IN_READS: u32 = 2;
/// How often partitions are read again at most. Where a third of all answers is lost, the slowest
/// of 16 takes more than a second each time, and a cell is unavailable without an owner. A
/// cancellation whose notification is lost as well then takes effect some seconds later.
const MAX_REREADS: u32 = 2;

/// A job partition, and how far the owner has read it.
pub(super) struct Partition {
    number: u16,
    reader: Reader,
    /// When the store was last asked.
    requested_at: Instant,
    /// Everything that was stored by this time has been read.
    read_up_to: Instant,
    /// How long the last read took.
    read_duration: Duration,
}

impl Partition {
    /// Reads the newest record of each key, retrying until the store answers.
    async fn open<P: Platform>(shared: &Shared<P>, number: u16) -> (Self, Vec<JobRecord>) {
        let mut partition = Self {
            number,
            reader: Reader::new(Topic::Jobs(number), "jobs"),
            requested_at: Instant::now(),
            // Overwritten by the first read, before it is used.
            read_up_to: shared.started_at,
            read_duration: Duration::ZERO,
        };
        let found = partition.read_with_retry(shared).await;
        (partition, found)
    }

    /// Returns what was stored since the last read.
    async fn read_new<P: Platform>(&mut self, shared: &Shared<P>) -> Result<Vec<JobRecord>, Error> {
        let requested_at = Instant::now();
        self.requested_at = requested_at;
        let mut found = Vec::new();
        loop {
            let decoded = match self.read_page(shared).await {
                Ok(decoded) => decoded,
                Err(error) if found.is_empty() => return Err(error),
                // The reader has moved past what was found; the next read returns the rest.
                Err(_) => return Ok(found),
            };
            found.extend(decoded.values);
            let keys = decoded.rejected.into_iter();
            let keys = keys.filter_map(|record| record.key);
            // A foreign record under the key of a job leaves the state of the job unknown.
            let jobs = keys.filter_map(|key| Key::accepted_job(&key));
            found.extend(jobs.map(JobRecord::Unreadable));
            if decoded.is_last {
                self.read_up_to = requested_at;
                self.read_duration = requested_at.elapsed();
                return Ok(found);
            }
        }
    }

    async fn read_page<P: Platform>(
        &mut self,
        shared: &Shared<P>,
    ) -> Result<Decoded<JobRecord>, Error> {
        let number = self.number;
        let read = |record: &Record| JobRecord::read(record, number);
        let page = match self.reader.read(shared, Duration::ZERO).await? {
            Batch::Incremental(new) => return Ok(fallback::decode_page(shared, "jobs", new, read)),
            Batch::Full(page) => page,
        };
        let topic = Topic::Jobs(number);
        let decoder = Decoder {
            is_own: JobRecord::is_key,
            decode: &read,
        };
        let decoded = fallback::decode_with_fallback(shared, topic, "jobs", page, decoder).await;
        if decoded.is_err() {
            // The reader has moved past records that are not returned, so reading starts over.
            self.reader = Reader::new(topic, "jobs");
        }
        decoded
    }

    /// Returns whether the partition was read recently enough for a new owner to act.
    fn is_fresh(&self) -> bool {
        self.read_up_to.elapsed()
            <= MAX_READ_AGE_AT_TAKEOVER.max(MAX_READ_AGE_IN_READS * self.read_duration)
    }

    /// Reads what is new, retrying until the store answers.
    async fn read_with_retry<P: Platform>(&mut self, shared: &Shared<P>) -> Vec<JobRecord> {
        loop {
            match self.read_new(shared).await {
                Ok(found) => return found,
                Err(_) => wait_to_retry().await,
            }
        }
    }
}

/// Reads all partitions, then again those that were read too long ago for a new owner to act.
pub(super) async fn read_all<P: Platform>(shared: &Shared<P>) -> (Vec<Partition>, Vec<JobRecord>) {
    let opened = join_all((0..JOB_PARTITIONS).map(|number| Partition::open(shared, number))).await;
    let (mut partitions, found): (Vec<Partition>, Vec<Vec<JobRecord>>) = opened.into_iter().unzip();
    let mut found: Vec<JobRecord> = found.into_iter().flatten().collect();
    for _ in 0..MAX_REREADS {
        let due = partitions.iter_mut();
        let due = due.filter(|partition| !partition.is_fresh());
        let batches = join_all(due.map(|partition| partition.read_with_retry(shared))).await;
        found.extend(batches.into_iter().flatten());
    }
    (partitions, found)
}

/// Returns the read progress of an owner that has read the partitions as far as they say.
pub(super) fn read_progress(partitions: &[Partition]) -> ReadProgress {
    ReadProgress::new(
        partitions
            .iter()
            .map(|partition| partition.read_up_to)
            .collect(),
    )
}

/// Reads a partition at the interval that its writers call for, and at once when a caller asks for
/// something that the owner doesn't know.
///
/// Each partition has a task of its own: with a shared one, when a part of the store gave no answer
/// for 3 s, cancellations in the rest took effect 3 s later as well.
pub(super) async fn follow<P: Platform>(
    shared: Arc<Shared<P>>,
    mut partition: Partition,
    read_progress: ReadProgress,
    writers: Writers,
    actor: WeakActorRef<EngineActor<P>>,
) {
    loop {
        let may_use_all = shared.spread().may_use_all_partitions();
        let gap = if may_use_all {
            MIN_REQUESTED_READ_GAP_LARGE_CELL
        } else {
            MIN_REQUESTED_READ_GAP
        };
        sleep_until(partition.requested_at + gap).await;
        let requested = read_progress.wait_for_request(partition.number);
        let is_requested = timeout(READ_INTERVAL_WRITER_ABSENT, requested)
            .await
            .is_ok();
        if partition.number >= SMALL_CELL_JOB_PARTITIONS && !may_use_all {
            // No node writes to this partition.
            read_progress.mark_read(partition.number, Instant::now());
            if actor.upgrade().is_none() {
                return;
            }
            continue;
        }
        let is_due = partition.requested_at.elapsed() >= writers.read_interval(partition.number);
        if !is_requested && !is_due {
            if actor.upgrade().is_none() {
                return;
            }
            continue;
        }
        let found = partition.read_new(&shared).await;
        let Some(actor) = actor.upgrade() else {
            return;
        };
        let Ok(found) = found else {
            wait_to_retry().await;
            continue;
        };
        for record in found {
            let event = match record {
                JobRecord::Accepted(accepted) => {
                    read_progress.note_accepted(accepted.job);
                    Event::Accepted(accepted)
                }
                JobRecord::Cancelled(cancelled) => Event::Cancelled(cancelled),
                JobRecord::Unreadable(job) => {
                    read_progress.note_unreadable(job);
                    continue;
                }
            };
            // The actor may be stopping.
            let _ = actor.tell(event).await;
        }
        // The actor gets the records first: callers that this wakes up query it next.
        read_progress.mark_read(partition.number, partition.read_up_to);
    }
}

/// The nodes that write jobs, with the time each was last seen; cheap to clone.
#[derive(Clone, Default)]
pub(super) struct Writers(Arc<Mutex<BTreeMap<NodeName, Instant>>>);

impl Writers {
    /// Keeps the set up to date until the actor ends.
    pub(super) async fn follow<P: Platform>(
        self,
        shared: Arc<Shared<P>>,
        actor: WeakActorRef<EngineActor<P>>,
    ) {
        while actor.upgrade().is_some() {
            let peers = shared.peers.lock().await.clone();
            let present = peers.into_iter().map(|peer| peer.node);
            self.note(present.chain([shared.name.clone()]));
            sleep(READ_INTERVAL_WRITER_ABSENT / 2).await;
        }
    }

    fn seen(&self) -> MutexGuard<'_, BTreeMap<NodeName, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the nodes that are present.
    fn note(&self, present: impl Iterator<Item = NodeName>) {
        let now = Instant::now();
        let mut nodes = self.seen();
        nodes.extend(present.map(|node| (node, now)));
        nodes.retain(|_, seen| seen.elapsed() < ABSENT_WRITER_TIMEOUT);
    }

    /// Returns how often to read a partition.
    fn read_interval(&self, partition: u16) -> Duration {
        let nodes = self.seen();
        // The node may not know yet over how many partitions jobs are spread, so both extremes
        // count.
        let writes_here = |node: &NodeName| {
            let mut spreads = [Spread::default(), Spread::default().renew(usize::MAX)].into_iter();
            spreads.any(|spread| intake::partition(node, spread) == partition)
        };
        let mut writers = nodes
            .iter()
            .filter(|(node, _)| writes_here(node))
            .peekable();
        if writers.peek().is_none() {
            return READ_INTERVAL_NO_WRITER;
        }
        match writers.all(|(_, seen)| seen.elapsed() < READ_INTERVAL_WRITER_ABSENT) {
            true => READ_INTERVAL_WRITER_PRESENT,
            false => READ_INTERVAL_WRITER_ABSENT,
        }
    }
}
