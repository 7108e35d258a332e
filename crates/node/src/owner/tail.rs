//! The list of workers as the owner reads it on from the store.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::id::WorkerId;
use kameo::actor::WeakActorRef;
use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    Control,
    Event, //
};
use crate::{
    port::{
        Platform,
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
