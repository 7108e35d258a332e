//! Reads the list of workers from the store, and follows its changes.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::id::WorkerId;
use kameo::actor::WeakActorRef;
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{
        Instant,
        sleep, //
    },
};

use super::{
    EngineActor,
    Event,
    engine_actor::tell,
    listing::{
        Change,
        Entry,
        Listing, //
    }, //
};
use crate::{
    platform::{
        Error,
        Platform,
        Rejected,
        Topic, //
    },
    shared::Shared,
    watch::{
        Batch,
        Reader,
        wait_to_retry, //
    },
};

/// What these reads are called in logs and metrics.
const PURPOSE: &str = "workers";
/// How often the list is read. 48 workers write 32 records a second, so waiting for each would cost
/// one call per record; a leaving worker has to be known within 2 s.
const LIST_READ_INTERVAL: Duration = Duration::from_millis(300);
/// How long after an outage of the store a worker that isn't listed may still come back.
const OUTAGE_RECOVERY_TIME: Duration = Duration::from_millis(2_300);
/// An outage shorter than this lets no entry expire: entries outlive three heartbeat intervals.
const MAX_HARMLESS_OUTAGE: Duration = Duration::from_millis(1_500);

/// The list of workers, and how far it has been read.
struct Follower {
    reader: Reader,
    listing: Listing,
    /// Until this time, a worker that isn't listed may come back.
    settled_at: Instant,
}

impl Follower {
    /// Creates a follower that has read nothing.
    fn new() -> Self {
        Self {
            reader: Reader::new(Topic::Workers, PURPOSE),
            listing: Listing::default(),
            settled_at: Instant::now(),
        }
    }

    /// Reads what is new in the list up to its end; returns the changes for the engine.
    ///
    /// That a worker isn't listed shows only at the end: a full read comes in pages that are no snapshot, so a worker may
    /// have been listed again behind the page that lacks it, and in what follows the read.
    async fn read<P: Platform>(&mut self, shared: &Shared<P>) -> Result<Vec<Change>, Error> {
        let failing_for = shared.store.failing_for();
        let mut changes = Vec::new();
        loop {
            let batch = match self.reader.read(shared, Duration::ZERO).await {
                Ok(batch) => batch,
                Err(error) if changes.is_empty() => return Err(error),
                // The listing holds these changes already.
                Err(_) => return Ok(changes),
            };
            let is_end = matches!(&batch, Batch::Incremental(page) if page.is_last());
            changes.extend(apply_batch(shared, &mut self.listing, batch));
            if is_end {
                break;
            }
        }
        if failing_for > MAX_HARMLESS_OUTAGE {
            self.settled_at = Instant::now() + OUTAGE_RECOVERY_TIME;
        }
        if Instant::now() >= self.settled_at {
            let missing = self.listing.take_missing().into_iter();
            changes.extend(missing.map(Change::Unregistered));
        }
        Ok(changes)
    }
}

/// The first read of the list, while it is in progress.
pub(super) struct InitialRead {
    /// Changes for the engine from the parts read so far.
    changes: mpsc::UnboundedReceiver<Vec<Change>>,
    follower: JoinHandle<Follower>,
}

/// Starts to read the list while a takeover reads the records: this takes longest, and the workers
/// of its first part can be used long before the last part arrives.
///
/// If the store doesn't answer, or there is no configuration to match the entries with, the list is
/// read later.
pub(super) fn start_initial_read<P: Platform>(shared: &Arc<Shared<P>>) -> InitialRead {
    let (sender, changes) = mpsc::unbounded_channel();
    let shared = shared.clone();
    let follower = tokio::spawn(async move {
        let is_configured = shared.config.borrow().is_some();
        match is_configured {
            true => read_parts(&shared, &sender)
                .await
                .unwrap_or_else(|_| Follower::new()),
            false => Follower::new(),
        }
    });
    InitialRead { changes, follower }
}

/// Reads the list part by part, and sends the changes of each.
async fn read_parts<P: Platform>(
    shared: &Shared<P>,
    parts: &mpsc::UnboundedSender<Vec<Change>>,
) -> Result<Follower, Error> {
    let mut follower = Follower::new();
    let mut after: Option<String> = None;
    loop {
        let (page, last) = shared
            .newest_after(PURPOSE, Topic::Workers, after.as_deref())
            .await?;
        // Later reads start where the first part ended, to get what has been written since.
        follower.reader.begin_at(page.next);
        let changes = apply_batch(shared, &mut follower.listing, Batch::Incremental(page));
        // The takeover may have been aborted.
        let _ = parts.send(changes);
        match last {
            Some(last) => after = Some(last),
            None => return Ok(follower),
        }
    }
}

/// Follows the list until the actor ends.
pub(super) async fn follow<P: Platform>(
    shared: Arc<Shared<P>>,
    mut list: InitialRead,
    actor: WeakActorRef<EngineActor<P>>,
) {
    while let Some(changes) = list.changes.recv().await {
        tell(&actor, Event::WorkersChanged(changes)).await;
    }
    let Ok(mut follower) = list.follower.await else {
        // The runtime is shutting down.
        return;
    };
    // Without a configuration, entries can't be matched and jobs can't be accepted.
    let mut configs = shared.config.subscribe();
    let configured = configs.wait_for(Option::is_some);
    // The sender lives as long as this task.
    let _ = configured.await;
    loop {
        let changes = follower.read(&shared).await;
        if actor.upgrade().is_none() {
            return;
        }
        let Ok(changes) = changes else {
            wait_to_retry().await;
            continue;
        };
        tell(&actor, Event::WorkersChanged(changes)).await;
        sleep(LIST_READ_INTERVAL).await;
    }
}

/// Applies a batch of the list; returns the changes for the engine.
fn apply_batch<P: Platform>(
    shared: &Shared<P>,
    listing: &mut Listing,
    batch: Batch,
) -> Vec<Change> {
    let page = match batch {
        Batch::Full(page) => {
            listing.begin_full_read();
            page
        }
        Batch::Incremental(page) => page,
    };
    let config = shared.config.borrow().clone();
    let reprocessed = config.map(|config| listing.configure(&config));
    let mut changes = Vec::new();
    for record in reprocessed.into_iter().flatten().chain(page.records) {
        match listing.apply(&shared.platform, &record) {
            Entry::Valid(registration) => changes.push(Change::Registered(registration)),
            Entry::Invalid(worker, fault) => {
                shared.record_rejected("workers", &Rejected::new(&record, fault));
                changes.push(Change::Unusable(worker));
            }
            Entry::Removed => {}
        }
    }
    let unread = page.rejected.into_iter();
    for key in unread.filter_map(|rejected| rejected.key) {
        let worker = WorkerId::from(key);
        listing.mark_listed(worker.clone());
        changes.push(Change::Unusable(worker));
    }
    changes
}
