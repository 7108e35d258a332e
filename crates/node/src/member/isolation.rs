//! Detects whether the store is unreachable for this node alone.

use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    PROBE_TIMEOUT,
    probe, //
};
use crate::{
    message::{
        self,
        Reply,
        Request, //
    },
    platform::Platform,
    shared::Shared,
};

/// How often a node checks for how long the store has not answered it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Once the store has failed for this long, the node asks the owner, so that the answer is there
/// when the store counts as down, after 0.5 s.
const OWNER_QUERY_THRESHOLD: Duration = Duration::from_millis(250);
/// The network round trip, in addition to the owner's own probe.
const ROUND_TRIP_ALLOWANCE: Duration = Duration::from_millis(50);

/// Detects whether the store is unreachable for this node alone, as long as the process runs.
///
/// An owner that doesn't answer either is behind the same network cut, or gone; in both cases other
/// nodes may be able to serve.
pub(super) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        // The store may be back by the time the owner has answered.
        let is_isolated = is_failing(&shared) && is_isolated(&shared).await && is_failing(&shared);
        if shared.is_isolated.swap(is_isolated, Ordering::Relaxed) != is_isolated {
            slog::info!(shared.log, "alone"; "is" => is_isolated,
                "store_failing_ms" => crate::telemetry::millis(shared.store.failing_for()));
        }
    }
}

fn is_failing<P: Platform>(shared: &Shared<P>) -> bool {
    shared.store.failing_for() >= OWNER_QUERY_THRESHOLD
}

async fn is_isolated<P: Platform>(shared: &Shared<P>) -> bool {
    let owner = shared.claim.borrow().as_ref().map(|claim| claim.address);
    // The owner asks all other nodes itself, and gives the cell up if it is isolated.
    let Some(owner) = owner.filter(|address| *address != shared.address) else {
        return false;
    };
    // The load of this node may delay the answers to its other calls.
    if matches!(timeout(PROBE_TIMEOUT, probe(shared)).await, Ok(Some(_))) {
        return false;
    }
    let answer = message::send(
        &shared.rpc,
        owner,
        &Request::ProbeStore,
        PROBE_TIMEOUT + ROUND_TRIP_ALLOWANCE,
    )
    .await;
    !matches!(answer, Ok(Reply::StoreLatency(None)))
}
