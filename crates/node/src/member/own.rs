//! What the owner does: it renews its claim, and gives the cell up when it must.

use std::{
    pin::pin,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::record::Claim;
use futures::{
    FutureExt,
    StreamExt,
    future::join_all,
    stream::FuturesUnordered, //
};
use rand::seq::SliceRandom;
use tokio::{
    task::JoinHandle,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use super::{
    HELLO_PATIENCE,
    RENEWAL_PATIENCE,
    STORE_TIMES,
    append,
    is_own,
    probe,
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
    report::millis,
    share::Peer,
    shared::{
        Acting,
        Shared, //
    },
    succession::{
        self,
        Greeting,
        Reason, //
    },
};

/// How often the owner renews its claim.
const RENEW: Duration = Duration::from_millis(300);
/// An owner gives the cell up for a stronger node after this time: each change of owners costs 0.1 s.
const TENURE: Duration = Duration::from_secs(3);
/// For so long a leaving owner waits while the store is slow; the process serves its callers on for 3 s at the
/// usual grace of 6 s.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);
/// How often the owner weighs whether another should own the cell.
const WEIGH: Duration = Duration::from_millis(100);
/// A node that greeted the owner longer ago takes nothing over: weak ones greet each 0.7 s.
const FRESH: Duration = Duration::from_millis(1_000);
/// After this long without the store the owner asks the others whether it is away for them too.
const ASK_PEERS: Duration = Duration::from_millis(250);
/// How many of the others it asks. Where the store answers half of them, one of eight tells so but once in 256 times, and
/// others are asked 0.1 s later.
const ASKED: usize = 8;
/// How much longer than another node's the owner's own probe may take: nodes notice the store's return within
/// some 60 ms of each other.
const BACK: Duration = Duration::from_millis(100);
/// How often the owner looks whether the store owes it an answer for so long.
const DOUBT: Duration = Duration::from_millis(100);
/// Without the store and without any other node the owner stops giving orders after this long. With the
/// time in which it notices, that is what the next owner waits longer for leases of silent workers.
const ALONE: Duration = Duration::from_millis(1_200);

/// Owns the cell until the claim is lost, given up or can't be trusted any more.
pub(super) async fn own_cell<P: Platform>(shared: &Arc<Shared<P>>, mut claim: Claim, mut end: u64) {
    shared.acting.send_replace(Some(Acting {
        claim: claim.clone(),
        seat: None,
    }));
    // What was noticed of an earlier ownership doesn't end this one.
    let _ = shared.stalled.notified().now_or_never();
    let taking = tokio::spawn({
        let shared = shared.clone();
        let claim = claim.clone();
        async move { take_over(&shared, &claim).await.is_ok() }
    });
    shared.pulse.forget_events();
    let (began, slow_owners) = (Instant::now(), claim.slow_owners);
    let ending = tokio::select! {
        ending = dismissed(shared) => ending,
        reason = relieved(shared, slow_owners) => Ending::Wanted(reason),
        why = renew(shared, &mut claim, &mut end) => Ending::Forced(why),
        why = doubt(shared) => Ending::Forced(why),
        () = shared.stalled.notified() => Ending::Released("stalled"),
    };
    slog::info!(shared.log, "ownership-ends"; "epoch" => %claim.epoch, "why" => ending.word(),
        "lag_ms" => millis(shared.pulse.owner()));
    let peers = shared.peers.lock().await.clone();
    if began.elapsed() >= succession::CALM {
        claim.slow_owners = 0;
    }
    // While the successor's claim is on its way this node goes on deciding, unless its decisions are what
    // keeps the claim from leaving.
    if matches!(ending, Ending::Wanted(Reason::Slow)) {
        depose(shared, &taking).await;
    }
    let successor = match ending {
        Ending::Wanted(reason) => hand_over(shared, &claim, &mut end, reason).await,
        Ending::Released(_) | Ending::Forced(_) => None,
    };
    depose(shared, &taking).await;
    shared.acting.send_replace(None);
    if let Some(successor) = successor {
        tell_of(shared, successor, &peers).await;
        return;
    }
    if matches!(ending, Ending::Wanted(_) | Ending::Released(_)) {
        claim.released = true;
        // Without it the others see that this process is gone, or have seen it.
        let _ = timeout(RENEWAL_PATIENCE, append(shared, &claim, end)).await;
    }
    if ending.word() != "replaced" {
        let vacant = Question::Vacant(claim.epoch);
        let told = peers
            .iter()
            .map(|peer| message::ask(&shared.rpc, peer.address, &vacant, HELLO_PATIENCE));
        join_all(told).await;
    }
}

/// Stops the owner's actor, or the takeover that would start it.
async fn depose<P: Platform>(shared: &Shared<P>, taking: &JoinHandle<bool>) {
    taking.abort();
    if let Some(control) = shared.control() {
        // It may have ended already.
        let _ = control.tell(Event::Deposed).await;
    }
}

/// How an ownership ends.
#[derive(Clone, Copy)]
enum Ending {
    /// This node wants another to own the cell.
    Wanted(Reason),
    /// It gives the cell up, to whoever claims it first.
    Released(&'static str),
    /// It has lost the cell, or must not trust that it owns it.
    Forced(&'static str),
}

impl Ending {
    const fn word(self) -> &'static str {
        match self {
            Self::Wanted(reason) => reason.word(),
            Self::Released(why) | Self::Forced(why) => why,
        }
    }
}

/// Claims the cell on behalf of the node that is to own it next.
///
/// A claim in that node's name saves the store's time for a release and another claim, and the time in which
/// many nodes would race for it: 1.3 s without an owner while the store took 0.35 s a call. Returns the claim
/// once it is on record; `None` where nobody fits or the store didn't keep it.
async fn hand_over<P: Platform>(
    shared: &Shared<P>,
    claim: &Claim,
    end: &mut u64,
    reason: Reason,
) -> Option<Claim> {
    let greetings = greeted(shared).await;
    let lag = shared.pulse.owner();
    let next = succession::choose(shared.strength, lag, reason, &greetings)?;
    let successor = Claim {
        epoch: claim.epoch.next(),
        node: next.node.clone(),
        address: next.address,
        incarnation: next.incarnation,
        renewal: 0,
        released: false,
        strength: next.strength,
        spread: claim.spread,
        nodes: claim.nodes,
        slow_owners: match reason {
            Reason::Slow => claim.slow_owners.saturating_add(1),
            Reason::Outranked | Reason::Leaving => 0,
        },
    };
    // The claim may be on record without an answer: this node must not go on for longer than without the store.
    let patience = ALONE.min(RENEWAL_PATIENCE + STORE_TIMES * shared.store.usual());
    let kept = timeout(patience, keep_successor(shared, &successor, end)).await;
    let is_kept = matches!(kept, Ok(true));
    slog::info!(shared.log, "hand-over"; "epoch" => %successor.epoch, "why" => reason.word(),
        "node" => successor.node.as_str(), "lag_ms" => millis(next.lag),
        "age_ms" => millis(next.age), "outcome" => if is_kept { "kept" } else { "not-kept" });
    is_kept.then_some(successor)
}

/// Appends a successor's claim; a renewal that was still on its way may have moved the end once.
async fn keep_successor<P: Platform>(shared: &Shared<P>, successor: &Claim, end: &mut u64) -> bool {
    if append(shared, successor, *end).await.is_ok() {
        return true;
    }
    let Some(seen) = try_read(shared).await else {
        return false;
    };
    match seen.claim {
        Some(claim) if claim == *successor => true,
        Some(claim) if is_own(shared, &claim) => {
            *end = seen.end;
            append(shared, successor, *end).await.is_ok()
        }
        // Another node's claim is the newest. What this one appends next, its release, must be refused: behind the
        // newer claim it would bring the older epoch back, and the next owner would share an epoch with another.
        _ => false,
    }
}

/// Tells the successor first, then the others, so that none of them claims the cell or asks this node.
async fn tell_of<P: Platform>(shared: &Shared<P>, successor: Claim, peers: &[Peer]) {
    shared.note_claim(successor.clone());
    let handed = Question::Handed(successor.clone());
    // Whoever is not reached hears of it at its next greeting.
    let _ = message::ask(&shared.rpc, successor.address, &handed, HELLO_PATIENCE).await;
    let others = peers
        .iter()
        .filter(|peer| peer.address != successor.address);
    let told = others.map(|peer| message::ask(&shared.rpc, peer.address, &handed, HELLO_PATIENCE));
    join_all(told).await;
}

/// Returns what the nodes told of themselves that have greeted this one of late.
async fn greeted<P: Platform>(shared: &Shared<P>) -> Vec<Greeting> {
    let greetings = shared.greetings.lock().await;
    let fresh = greetings.values().filter(|(_, at)| at.elapsed() < FRESH);
    fresh.map(|(greeting, _)| greeting.clone()).collect()
}

/// Waits until a worker or the store tells of a later owner, or the process is to end.
async fn dismissed<P: Platform>(shared: &Shared<P>) -> Ending {
    let mut acting = shared.acting.subscribe();
    loop {
        if acting.borrow_and_update().is_none() {
            return Ending::Forced("fenced");
        }
        if shared.is_leaving() {
            wait_for_quick_store(shared).await;
            return Ending::Wanted(Reason::Leaving);
        }
        // The sender lives as long as this task.
        let _ = acting.changed().await;
    }
}

/// Waits for a moment while the store is slow: a change of owners takes four of its calls, and there is time
/// for that before the process ends.
async fn wait_for_quick_store<P: Platform>(shared: &Shared<P>) {
    let until = Instant::now() + LEAVES_WITHIN;
    while shared.store.is_slow() && Instant::now() < until {
        sleep(WEIGH).await;
    }
}

/// Waits until the cell should be handed to a node that is stronger or quicker, and there is one.
async fn relieved<P: Platform>(shared: &Shared<P>, slow_owners: u8) -> Reason {
    let began = Instant::now();
    loop {
        sleep(WEIGH).await;
        let owned = began.elapsed();
        let lag = shared.pulse.owner();
        let reason = match () {
            () if succession::is_slow(lag, owned, slow_owners) => Reason::Slow,
            () if owned >= TENURE => Reason::Outranked,
            () => continue,
        };
        let greetings = greeted(shared).await;
        if succession::choose(shared.strength, lag, reason, &greetings).is_some() {
            return reason;
        }
    }
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
        let nodes = shared.peers.lock().await.len() + 1;
        claim.spread = claim.spread.renew(nodes);
        claim.nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        match timeout(patience, append(shared, claim, *end)).await {
            Ok(Ok(newer)) => {
                *end = newer;
                shared.note_spread(claim);
                tell_renewal(shared, claim);
            }
            Ok(Err(_)) | Err(_) => is_certain = false,
        }
    }
}

/// Lets other nodes hear how often the claim was renewed.
fn tell_renewal<P: Platform>(shared: &Shared<P>, claim: &Claim) {
    shared.acting.send_if_modified(|acting| {
        if let Some(acting) = acting {
            acting.claim.renewal = claim.renewal;
            acting.claim.spread = claim.spread;
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
        let mut peers = shared.peers.lock().await.clone();
        // As many more are asked before this node is taken to be cut off from all of them.
        if failing < ALONE {
            sample(&mut peers);
        }
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
        // The store may just be back: then it answers this node as well, a moment later.
        let mut own = pin!(probe(shared));
        let mut heard = 0;
        while let Some(answer) = asked.next().await {
            match answer {
                // A store that is slow for the others is slow for the owner too.
                Ok(Reply::Store(Some(took))) if failing >= ASK_PEERS + STORE_TIMES * took => {
                    if matches!(timeout(took + BACK, &mut own).await, Ok(Some(_))) {
                        heard += 1;
                        break;
                    }
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

/// Leaves some peers drawn at random, so that asking them costs the same in a cell of any size.
fn sample(peers: &mut Vec<Peer>) {
    peers.shuffle(&mut rand::rng());
    peers.truncate(ASKED);
}
