//! The list of workers as the owner reads it on from the store.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::id::WorkerId;
use kameo::actor::WeakActorRef;
use tokio::{
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
            reader: Reader::new(Topic::Workers, "workers"),
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

/// A list that was read once, with what the engine has to know of it.
pub(super) struct Opened {
    follower: Follower,
    changes: Vec<Change>,
}

/// Reads the list once, while a takeover reads the records: it is the longest of them.
///
/// Where the store doesn't give it, or there is no configuration to match it with, it is read later.
pub(super) async fn open<P: Platform>(shared: Arc<Shared<P>>) -> Opened {
    let mut follower = Follower::new();
    let is_configured = shared.config.borrow().is_some();
    let changes = match is_configured {
        true => follower.read(&shared).await.unwrap_or_default(),
        false => Vec::new(),
    };
    Opened { follower, changes }
}

/// Follows the list for as long as the actor is.
pub(super) async fn follow<P: Platform>(
    shared: Arc<Shared<P>>,
    list: JoinHandle<Opened>,
    control: WeakActorRef<Control<P>>,
) {
    let Ok(Opened {
        mut follower,
        changes,
    }) = list.await
    else {
        // The runtime is ending.
        return;
    };
    tell(&control, Event::Listed(changes)).await;
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
