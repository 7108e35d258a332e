//! What the owner reads on from the store: workers, and jobs that it was not told of.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
};

use fulmarpier_cell::id::{
    NodeName,
    WorkerId, //
};
use futures::future::join_all;
use kameo::actor::WeakActorRef;
use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    Control,
    Event,
    View, //
};
use crate::{
    front::JobRecord,
    intake,
    port::{
        Error,
        Platform,
        Record,
        Topic, //
    },
    shared::Shared,
    watch::{
        Batch,
        Reader,
        pause, //
    },
};

/// How often the list of workers is read: 48 of them write 32 records a second, so waiting for each
/// would cost a call a record; a leaving worker has to be known within 2 s.
const WORKERS_EVERY: Duration = Duration::from_millis(300);
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
/// For this long after an outage of the store a worker that isn't listed may come back.
const LIST_SETTLES: Duration = Duration::from_millis(2_300);
/// An outage shorter than this lets no entry lapse: entries outlive three intervals of heartbeats.
const SHORT_OUTAGE: Duration = Duration::from_millis(1_500);

/// Follows the list of workers.
pub(super) async fn workers<P: Platform>(
    shared: Arc<Shared<P>>,
    control: WeakActorRef<Control<P>>,
) {
    let mut reader = Reader::new(Topic::Workers, "workers");
    let mut listed: BTreeSet<WorkerId> = BTreeSet::new();
    let mut missing: BTreeSet<WorkerId> = BTreeSet::new();
    let mut settles = Instant::now();
    loop {
        let was_failing = shared.store.failing_for();
        let batch = reader.read(&shared, Duration::ZERO).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        let (page, is_whole) = match batch {
            Ok(Batch::Whole(page)) => (page, true),
            Ok(Batch::More(page)) => (page, false),
            Err(_) => {
                drop(control);
                pause().await;
                continue;
            }
        };
        if was_failing > SHORT_OUTAGE {
            settles = Instant::now() + LIST_SETTLES;
        }
        if is_whole {
            missing.append(&mut listed);
        }
        for record in &page.records {
            let id = WorkerId::from(record.key.as_str());
            if record.value.is_none() {
                listed.remove(&id);
                missing.insert(id);
                continue;
            }
            match shared.platform.registration(record) {
                Ok(registration) => {
                    missing.remove(&id);
                    listed.insert(id);
                    // The actor may be ending.
                    let _ = control.tell(Event::Registered(registration)).await;
                }
                Err(error) => {
                    slog::error!(shared.log, "worker-unreadable"; "worker" => id.as_str(),
                        "why" => %error);
                }
            }
        }
        if Instant::now() >= settles {
            for worker in std::mem::take(&mut missing) {
                let _ = control.tell(Event::Unregistered(worker)).await;
            }
        }
        drop(control);
        sleep(WORKERS_EVERY).await;
    }
}

/// From where a partition of the jobs is read on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Start {
    /// The first offset that was not read.
    pub(super) offset: u64,
    /// All that was on record then was read.
    pub(super) read: Instant,
}

/// Returns the view of an owner that has read the partitions of the jobs so far.
pub(super) fn view(starts: &[Start]) -> View {
    let oldest = starts.iter().map(|start| start.read).min();
    View::new(oldest.unwrap_or_else(Instant::now))
}

/// A partition of the jobs that is read on.
struct Partition {
    number: u16,
    reader: Reader,
    /// When it was last asked for.
    asked: Instant,
    /// All that was on record then was read.
    read: Instant,
}

impl Partition {
    fn new(number: u16, start: Start) -> Self {
        Self {
            number,
            reader: Reader::from(Topic::Jobs(number), "jobs", start.offset),
            asked: Instant::now(),
            read: start.read,
        }
    }

    /// Returns the records that were put there since it was read.
    async fn read_on<P: Platform>(&mut self, shared: &Shared<P>) -> Result<Vec<Record>, Error> {
        self.asked = Instant::now();
        let batch = self.reader.read(shared, Duration::ZERO).await?;
        self.read = self.asked;
        let (Batch::Whole(page) | Batch::More(page)) = batch;
        Ok(page.records)
    }
}

/// Follows the partitions of the jobs, each as often as something may stand in it that nobody has told of.
pub(super) async fn jobs<P: Platform>(
    shared: Arc<Shared<P>>,
    starts: Vec<Start>,
    view: View,
    control: WeakActorRef<Control<P>>,
) {
    let partitions = (0u16..).zip(starts);
    let mut partitions: Vec<Partition> = partitions
        .map(|(number, start)| Partition::new(number, start))
        .collect();
    let mut writers = Writers::default();
    loop {
        sleep(JOBS_LOOK).await;
        let peers = shared.peers.lock().await.clone();
        let present = peers.into_iter().map(|peer| peer.node);
        writers.note(present.chain([shared.name.clone()]));
        let due = partitions
            .iter_mut()
            .filter(|partition| partition.asked.elapsed() >= writers.period(partition.number));
        let reads = due.map(|partition| partition.read_on(&shared));
        let batches = join_all(reads).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        for batch in batches {
            // One that failed is read again when it is due.
            let Ok(records) = batch else {
                continue;
            };
            for event in records.iter().filter_map(event) {
                // The actor may be ending.
                let _ = control.tell(event).await;
            }
        }
        if let Some(oldest) = partitions.iter().map(|partition| partition.read).min() {
            view.note(oldest);
        }
    }
}

/// The nodes that write jobs, by when they were last there.
#[derive(Default)]
struct Writers(BTreeMap<NodeName, Instant>);

impl Writers {
    /// Notes which nodes are there.
    fn note(&mut self, present: impl Iterator<Item = NodeName>) {
        let now = Instant::now();
        self.0.extend(present.map(|node| (node, now)));
        self.0.retain(|_, seen| seen.elapsed() < WRITES_ON);
    }

    /// Returns how often a partition is read.
    fn period(&self, partition: u16) -> Duration {
        let of = |node: &NodeName| intake::partition(node) == partition;
        let mut writers = self.0.iter().filter(|(node, _)| of(node)).peekable();
        if writers.peek().is_none() {
            return JOBS_UNKNOWN;
        }
        match writers.all(|(_, seen)| seen.elapsed() < JOBS_LOOK) {
            true => JOBS_PRESENT,
            false => JOBS_LOOK,
        }
    }
}

fn event(record: &Record) -> Option<Event> {
    Some(match JobRecord::read(record)? {
        JobRecord::Accepted(accepted) => Event::Accepted(accepted),
        JobRecord::Cancelled(job) => Event::Cancelled(job),
    })
}
