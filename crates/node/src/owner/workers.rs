//! The list of workers as the owner reads it on from the store.

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
    Control,
    Event,
    control::tell,
    listing::{
        Change,
        Entry,
        Listing, //
    }, //
};
use crate::{
    port::{
        Error,
        Platform,
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

/// What its readings are for, in logs and metrics.
const PURPOSE: &str = "workers";
/// How often the list of workers is read: 48 of them write 32 records a second, so waiting for each
/// would cost a call a record; a leaving worker has to be known within 2 s.
const WORKERS_EVERY: Duration = Duration::from_millis(300);
/// For this long after an outage of the store a worker that isn't listed may come back.
const LIST_SETTLES: Duration = Duration::from_millis(2_300);
/// An outage shorter than this lets no entry lapse: entries outlive three intervals of heartbeats.
const SHORT_OUTAGE: Duration = Duration::from_millis(1_500);

/// The list of workers as it is read on.
struct Follower {
    reader: Reader,
    listing: Listing,
    /// Before this a worker that isn't listed may come back.
    settles: Instant,
}

impl Follower {
    /// Makes one that has read nothing yet.
    fn new() -> Self {
        Self {
            reader: Reader::new(Topic::Workers, PURPOSE),
            listing: Listing::default(),
            settles: Instant::now(),
        }
    }

    /// Reads the list on; returns what the engine has to know of it.
    async fn read<P: Platform>(&mut self, shared: &Shared<P>) -> Result<Vec<Change>, Error> {
        let was_failing = shared.store.failing_for();
        let batch = self.reader.read(shared, Duration::ZERO).await?;
        if was_failing > SHORT_OUTAGE {
            self.settles = Instant::now() + LIST_SETTLES;
        }
        let mut changes = take(shared, &mut self.listing, batch);
        if Instant::now() >= self.settles {
            let missing = self.listing.take_missing().into_iter();
            changes.extend(missing.map(Change::Unregistered));
        }
        Ok(changes)
    }
}

/// A list that is being read for the first time.
pub(super) struct Opening {
    /// What the engine has to know of the parts that were read.
    changes: mpsc::UnboundedReceiver<Vec<Change>>,
    follower: JoinHandle<Follower>,
}

/// Begins to read the list while a takeover reads the records: it is the longest of them, and the workers of its first part
/// can be used long before the last part is there.
///
/// Where the store doesn't give it, or there is no configuration to match it with, it is read later.
pub(super) fn open<P: Platform>(shared: &Arc<Shared<P>>) -> Opening {
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
    Opening { changes, follower }
}

/// Reads the list part by part.
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
        // What was written since the first part is read on from its end.
        follower.reader.begin_at(page.next);
        let changes = take(shared, &mut follower.listing, Batch::More(page));
        // The takeover may have been given up.
        let _ = parts.send(changes);
        match last {
            Some(last) => after = Some(last),
            None => return Ok(follower),
        }
    }
}

/// Follows the list for as long as the actor is.
pub(super) async fn follow<P: Platform>(
    shared: Arc<Shared<P>>,
    mut list: Opening,
    control: WeakActorRef<Control<P>>,
) {
    while let Some(changes) = list.changes.recv().await {
        tell(&control, Event::Listed(changes)).await;
    }
    let Ok(mut follower) = list.follower.await else {
        // The runtime is ending.
        return;
    };
    // Without a configuration no entry can be matched, and no job be taken.
    let mut configs = shared.config.subscribe();
    let configured = configs.wait_for(Option::is_some);
    // The sender lives as long as this task.
    let _ = configured.await;
    loop {
        let changes = follower.read(&shared).await;
        if control.upgrade().is_none() {
            return;
        }
        let Ok(changes) = changes else {
            pause().await;
            continue;
        };
        tell(&control, Event::Listed(changes)).await;
        sleep(WORKERS_EVERY).await;
    }
}

/// Takes in what a read of the list brought; returns what the engine has to know of it.
fn take<P: Platform>(shared: &Shared<P>, listing: &mut Listing, batch: Batch) -> Vec<Change> {
    let page = match batch {
        Batch::Whole(page) => {
            listing.begin();
            page
        }
        Batch::More(page) => page,
    };
    let config = shared.config.borrow().clone();
    let again = config.map(|config| listing.configure(&config));
    let mut changes = Vec::new();
    for record in again.into_iter().flatten().chain(page.records) {
        match listing.take(&shared.platform, &record) {
            Entry::Good(registration) => changes.push(Change::Registered(registration)),
            Entry::Foreign(worker, fault) => {
                shared.turn_away("workers", &Rejected::record(&record, fault));
                changes.push(Change::Distrusted(worker));
            }
            Entry::Removed => {}
        }
    }
    let unread = page.rejected.into_iter();
    for key in unread.filter_map(|rejected| rejected.key) {
        let worker = WorkerId::from(key);
        listing.note(worker.clone());
        changes.push(Change::Distrusted(worker));
    }
    changes
}
