//! Whether the store is away for this node alone.

use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use tokio::time::sleep;

use super::PROBE;
use crate::{
    message::{
        self,
        Question,
        Reply, //
    },
    port::Platform,
    shared::Shared,
};

/// How often a node looks whether the store owes it an answer.
const LOOK: Duration = Duration::from_millis(100);
/// From so long on it asks the owner: it is known then when the store counts as away, after 0.5 s.
const ASK: Duration = Duration::from_millis(250);
/// What a way there and back takes beside the owner's own probe.
const WAY: Duration = Duration::from_millis(50);

/// Finds out, for as long as the process runs, whether the store is away for this node alone.
///
/// An owner that doesn't answer either is behind the same cut, or gone: others may serve in both cases.
pub(super) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        sleep(LOOK).await;
        // The store may be back by the time that the owner has answered.
        let is_alone = is_failing(&shared) && is_alone(&shared).await && is_failing(&shared);
        if shared.is_alone.swap(is_alone, Ordering::Relaxed) != is_alone {
            slog::info!(shared.log, "alone"; "is" => is_alone,
                "store_failing_ms" => crate::report::millis(shared.store.failing_for()));
        }
    }
}

fn is_failing<P: Platform>(shared: &Shared<P>) -> bool {
    shared.store.failing_for() >= ASK
}

async fn is_alone<P: Platform>(shared: &Shared<P>) -> bool {
    let owner = shared.claim.borrow().as_ref().map(|claim| claim.address);
    // The owner itself asks all others, and gives the cell up where it is alone.
    let Some(owner) = owner.filter(|address| *address != shared.address) else {
        return false;
    };
    let answer = message::ask(&shared.rpc, owner, &Question::Store, PROBE + WAY).await;
    !matches!(answer, Ok(Reply::Store(None)))
}
