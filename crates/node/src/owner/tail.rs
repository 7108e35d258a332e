//! What the owner reads on from the store: workers, and jobs that it was not told of.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
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
    listing::{
        Entry,
        Listing, //
    }, //
};
use crate::{
    front::JobRecord,
    intake,
    port::{
        Page,
        Platform,
        Record,
        Rejected,
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
/// How often an owner looks for the first configuration; a node reads it within milliseconds of its start.
const UNCONFIGURED: Duration = Duration::from_millis(25);
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
    let mut listing = Listing::default();
    let mut settles = Instant::now();
    while !is_configured(&shared) {
        if control.upgrade().is_none() {
            return;
        }
        sleep(UNCONFIGURED).await;
    }
    loop {
        let was_failing = shared.store.failing_for();
        let batch = reader.read(&shared, Duration::ZERO).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        let Ok(batch) = batch else {
            drop(control);
            pause().await;
            continue;
        };
        if was_failing > SHORT_OUTAGE {
            settles = Instant::now() + LIST_SETTLES;
        }
        let mut events = take(&shared, &mut listing, batch);
        if Instant::now() >= settles {
            let missing = listing.take_missing().into_iter();
            events.extend(missing.map(Event::Unregistered));
        }
        for event in events {
            // The actor may be ending.
            let _ = control.tell(event).await;
        }
        drop(control);
        sleep(WORKERS_EVERY).await;
    }
}

/// Returns whether there is a configuration: without one no entry can be matched, and no job be taken.
fn is_configured<P: Platform>(shared: &Shared<P>) -> bool {
    shared.config.borrow().is_some()
}

/// Takes in what a read of the list brought; returns what the engine has to know of it.
fn take<P: Platform>(shared: &Shared<P>, listing: &mut Listing, batch: Batch) -> Vec<Event> {
    let page = match batch {
        Batch::Whole(page) => {
            listing.begin();
            page
        }
        Batch::More(page) => page,
    };
    let config = shared.config.borrow().clone();
    let again = config.map(|config| listing.configure(&config));
    let mut events = Vec::new();
    for record in again.into_iter().flatten().chain(page.records) {
        match listing.take(&shared.platform, &record) {
            Entry::Good(registration) => events.push(Event::Registered(registration)),
            Entry::Foreign(worker, fault) => {
                shared.turn_away("workers", &Rejected::record(&record, fault));
                events.push(Event::Distrusted(worker));
            }
            Entry::Removed => {}
        }
    }
    let unread = page.rejected.into_iter();
    for key in unread.filter_map(|rejected| rejected.key) {
        let worker = WorkerId::from(key);
        listing.note(worker.clone());
        events.push(Event::Distrusted(worker));
    }
    events
}

/// Follows the partitions of the jobs, each as often as something may stand in it that nobody has told of.
pub(super) async fn jobs<P: Platform>(
    shared: Arc<Shared<P>>,
    ends: Vec<u64>,
    control: WeakActorRef<Control<P>>,
) {
    let partitions = (0u16..).zip(ends);
    let mut readers: Vec<(u16, Reader, Instant)> = partitions
        .map(|(partition, end)| {
            let reader = Reader::from(Topic::Jobs(partition), "jobs", end);
            (partition, reader, Instant::now())
        })
        .collect();
    let mut writers = Writers::default();
    loop {
        sleep(JOBS_LOOK).await;
        let peers = shared.peers.lock().await.clone();
        let present = peers.into_iter().map(|peer| peer.node);
        writers.note(present.chain([shared.name.clone()]));
        let due = readers
            .iter_mut()
            .filter(|(partition, _, read)| read.elapsed() >= writers.period(*partition));
        let reads = due.map(|(_, reader, read)| {
            *read = Instant::now();
            reader.read(&shared, Duration::ZERO)
        });
        let batches = join_all(reads).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        for batch in batches {
            // One that failed is read again when it is due.
            let Ok(Batch::Whole(Page { records, .. }) | Batch::More(Page { records, .. })) = batch
            else {
                continue;
            };
            for event in records.iter().filter_map(|record| event(&shared, record)) {
                // The actor may be ending.
                let _ = control.tell(event).await;
            }
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

fn event<P: Platform>(shared: &Shared<P>, record: &Record) -> Option<Event> {
    match JobRecord::read(record) {
        Ok(Some(JobRecord::Accepted(accepted))) => Some(Event::Accepted(accepted)),
        Ok(Some(JobRecord::Cancelled(job))) => Some(Event::Cancelled(job)),
        Ok(None) => None,
        Err(fault) => {
            shared.turn_away("jobs", &Rejected::record(record, fault));
            None
        }
    }
}
