//! What the owner does: it renews its claim, and gives the cell up when it must.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::record::Claim;
use fulmarpier_state::unit::Millicores;
use futures::{
    StreamExt,
    future::join_all,
    stream::FuturesUnordered, //
};
use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    HELLO_PATIENCE,
    RENEWAL_PATIENCE,
    STORE_TIMES,
    append,
    is_own,
    try_read, //
};
use crate::{
    message::{
        self,
        Question,
        Reply, //
    },
    owner::{
        Event,
        take_over, //
    },
    port::Platform,
    shared::{
        Acting,
        Shared, //
    },
};

/// How often the owner renews its claim.
const RENEW: Duration = Duration::from_millis(300);
/// An owner gives the cell up for a stronger node after this time: each change of owners costs 0.1 s.
const TENURE: Duration = Duration::from_secs(3);
/// After this long without the store the owner asks the others whether it is away for them too.
const ASK_PEERS: Duration = Duration::from_millis(600);
/// How often the owner looks whether the store owes it an answer for so long.
const DOUBT: Duration = Duration::from_millis(100);
/// Without the store and without any other node the owner stops giving orders after this long. With the
/// time in which it notices, that is what the next owner waits longer for leases of silent workers.
const ALONE: Duration = Duration::from_millis(1_200);

/// Owns the cell until the claim is lost, given up or can't be trusted any more.
pub(super) async fn own_cell<P: Platform>(shared: &Arc<Shared<P>>, mut claim: Claim, mut end: u64) {
    shared.acting.send_replace(Some(Acting {
        claim: claim.clone(),
        control: None,
    }));
    let taking = tokio::spawn({
        let shared = shared.clone();
        let claim = claim.clone();
        async move { take_over(&shared, &claim).await.is_ok() }
    });
    let why = tokio::select! {
        why = dismissed(shared) => why,
        why = outranked(shared) => why,
        why = renew(shared, &mut claim, &mut end) => why,
        why = doubt(shared) => why,
        () = shared.stalled.notified() => "stalled",
    };
    slog::info!(shared.log, "ownership-ends"; "epoch" => %claim.epoch, "why" => why);
    taking.abort();
    if let Some(control) = shared.control() {
        // It may have ended already.
        let _ = control.tell(Event::Deposed).await;
    }
    shared.acting.send_replace(None);
    let peers = shared.peers.lock().await.clone();
    if matches!(why, "leaving" | "outranked" | "stalled") {
        claim.released = true;
        claim.processor = claim.processor.max(*shared.outranked.borrow());
        // Without it the others see that this process is gone, or have seen it.
        let _ = timeout(RENEWAL_PATIENCE, append(shared, &claim, end)).await;
    }
    if why != "replaced" {
        let vacant = Question::Vacant(claim.epoch);
        let told = peers
            .iter()
            .map(|peer| message::ask(&shared.rpc, peer.address, &vacant, HELLO_PATIENCE));
        join_all(told).await;
    }
}

/// Waits until a worker or the store tells of a later owner, or the process is to end.
async fn dismissed<P: Platform>(shared: &Shared<P>) -> &'static str {
    let mut acting = shared.acting.subscribe();
    loop {
        if acting.borrow_and_update().is_none() {
            return "fenced";
        }
        if shared.is_leaving() {
            return "leaving";
        }
        // The sender lives as long as this task.
        let _ = acting.changed().await;
    }
}

/// Waits until the cell should be given up for a stronger node.
async fn outranked<P: Platform>(shared: &Shared<P>) -> &'static str {
    shared.outranked.send_replace(Millicores(0));
    sleep(TENURE).await;
    let mut stronger = shared.outranked.subscribe();
    // The sender lives as long as this task.
    let _ = stronger.wait_for(|processor| processor.get() > 0).await;
    "outranked"
}

/// Renews the claim until it turns out to be replaced.
async fn renew<P: Platform>(shared: &Shared<P>, claim: &mut Claim, end: &mut u64) -> &'static str {
    let mut is_certain = true;
    loop {
        sleep(RENEW).await;
        let patience = RENEWAL_PATIENCE + STORE_TIMES * shared.store.usual();
        if !is_certain {
            match timeout(patience, try_read(shared)).await {
                Ok(Some(seen)) if seen.claim.as_ref().is_some_and(|c| is_own(shared, c)) => {
                    *end = seen.end;
                    is_certain = true;
                }
                Ok(Some(_)) => return "replaced",
                Ok(None) | Err(_) => continue,
            }
        }
        claim.renewal = claim.renewal.wrapping_add(1);
        match timeout(patience, append(shared, claim, *end)).await {
            Ok(Ok(newer)) => {
                *end = newer;
                tell_renewal(shared, claim.renewal);
            }
            Ok(Err(_)) | Err(_) => is_certain = false,
        }
    }
}

/// Lets other nodes hear how often the claim was renewed.
fn tell_renewal<P: Platform>(shared: &Shared<P>, renewal: u32) {
    shared.acting.send_if_modified(|acting| {
        if let Some(acting) = acting {
            acting.claim.renewal = renewal;
        }
        // Nobody waits for this change.
        false
    });
}

/// Waits until the owner must not go on since it can't reach the store; returns why.
///
/// While the store is away for everybody nobody can claim the cell, so the owner goes on. Where it
/// answers another node, that one may own the cell already or should.
async fn doubt<P: Platform>(shared: &Shared<P>) -> &'static str {
    loop {
        sleep(DOUBT).await;
        let failing = shared.store.failing_for();
        if failing < ASK_PEERS {
            continue;
        }
        let peers = shared.peers.lock().await.clone();
        let mut asked: FuturesUnordered<_> = peers
            .iter()
            .map(|peer| {
                message::ask(
                    &shared.rpc,
                    peer.address,
                    &Question::Store,
                    2 * HELLO_PATIENCE,
                )
            })
            .collect();
        let mut heard = 0;
        while let Some(answer) = asked.next().await {
            match answer {
                // A store that is slow for the others is slow for the owner too.
                Ok(Reply::Store(Some(took))) if failing >= ASK_PEERS + STORE_TIMES * took => {
                    return "store-answers-others";
                }
                Ok(_) => heard += 1,
                Err(_) => {}
            }
        }
        if heard == 0 && failing >= ALONE {
            return "alone";
        }
    }
}
