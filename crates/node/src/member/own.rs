//! The tasks of the owner: renews its claim, and gives the cell up when it has to.

use std::{
    pin::pin,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    id::NodeName,
    record::Claim, //
};
use fulmarpier_transport::rpc;
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
    HELLO_TIMEOUT,
    RENEWAL_TIMEOUT,
    STORE_LATENCY_FACTOR,
    append,
    is_own,
    probe,
    report::{
        self,
        Answers,
        Confirmation,
        Predecessor,
        StoreLoss, //
    },
    try_read_claim, //
};
use crate::{
    assignment::Peer,
    message::{
        self,
        Reply,
        Request, //
    },
    owner::{
        Event,
        take_over, //
    },
    platform::Platform,
    shared::{
        Ownership,
        Shared, //
    },
    succession::{
        self,
        Hello,
        Reason, //
    },
    telemetry::millis,
};

/// How often the owner renews its claim.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// How long an owner keeps the cell before a stronger node may replace it: each change of owner
/// costs 0.1 s.
const MIN_OWNED_TIME: Duration = Duration::from_secs(3);
/// How long a leaving owner waits at most while the store is slow. With the usual grace period of
/// 6 s, the process goes on serving its callers for 3 s.
const MAX_LEAVE_DELAY: Duration = Duration::from_secs(2);
/// How often the owner checks whether another node should own the cell.
const SUCCESSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Nodes whose last hello is older than this don't succeed the owner; weak nodes send one every
/// 0.7 s.
const MAX_HELLO_AGE: Duration = Duration::from_millis(1_000);
/// Once the store has failed for this long, the owner asks other nodes whether it fails for them
/// too.
const PEER_QUERY_THRESHOLD: Duration = Duration::from_millis(250);
/// How many other nodes the owner asks. If the store answers half of them, all eight report a
/// failure only once in 256 times, and other nodes are asked 0.1 s later.
const MAX_QUERIED_PEERS: usize = 8;
/// How much longer the owner's own probe may take than another node's: after an outage, nodes
/// notice that the store is back within some 60 ms of each other.
const PROBE_LEEWAY: Duration = Duration::from_millis(100);
/// How often the owner checks for how long the store has not answered it.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long an owner that reaches neither the store nor any other node goes on giving orders.
/// Together with the time in which it notices, this is how much longer the next owner waits for the
/// leases of silent workers.
const MAX_DISCONNECTED_TIME: Duration = Duration::from_millis(1_200);

/// Owns the cell until the claim is lost, given up, or can't be trusted any more.
pub(super) async fn own_cell<P: Platform>(
    shared: &Arc<Shared<P>>,
    mut claim: Claim,
    mut end: u64,
    former: Option<&Predecessor>,
) {
    report::begin(shared, claim.epoch, end, former);
    shared.ownership.send_replace(Some(Ownership {
        claim: claim.clone(),
        engine: None,
    }));
    // Discards a notification that is left over from an earlier ownership.
    let _ = shared.stalled.notified().now_or_never();
    let takeover = tokio::spawn({
        let shared = shared.clone();
        let claim = claim.clone();
        async move { take_over(&shared, &claim).await.is_ok() }
    });
    shared.lag.reset_event_waits();
    let (began, slow_owners) = (Instant::now(), claim.consecutive_slow_owners);
    let (epoch, confirmation) = (claim.epoch, Confirmation::new());
    let ending = tokio::select! {
        ending = wait_until_fenced_or_leaving(shared) => ending,
        reason = wait_for_better_owner(shared, slow_owners) => Ending::HandOver(reason),
        why = renew_claim(shared, &mut claim, &mut end, &confirmation) => Ending::Lost(why),
        why = wait_for_store_loss(shared, StoreLoss::new(epoch, &confirmation)) => Ending::Lost(why),
        () = shared.stalled.notified() => Ending::Released("stalled"),
    };
    report::end(shared, epoch, ending.as_str(), began, &confirmation);
    let peers = shared.peers.lock().await.clone();
    if began.elapsed() >= succession::SLOW_SERIES_GAP {
        claim.consecutive_slow_owners = 0;
    }
    // This node goes on scheduling while the successor's claim is being written, unless the
    // scheduling itself delays the write.
    if matches!(ending, Ending::HandOver(Reason::Slow)) {
        report_ownership_lost(shared, &takeover).await;
    }
    let successor = match ending {
        Ending::HandOver(reason) => hand_over(shared, &claim, &mut end, reason).await,
        Ending::Released(_) | Ending::Lost(_) => None,
    };
    report_ownership_lost(shared, &takeover).await;
    shared.end_ownership(claim.epoch);
    if let Some(successor) = successor {
        announce_successor(shared, successor, &peers).await;
        return;
    }
    if matches!(ending, Ending::HandOver(_) | Ending::Released(_)) {
        claim.released = true;
        // If the release isn't stored, the other nodes notice on their own that this process is
        // gone.
        let _ = timeout(RENEWAL_TIMEOUT, append(shared, &claim, end)).await;
    }
    if ending.as_str() != "replaced" {
        let released = Request::Released(claim.epoch);
        let notifications = peers
            .iter()
            .map(|peer| message::send(&shared.rpc, peer.address, &released, HELLO_TIMEOUT));
        join_all(notifications).await;
    }
}

/// Stops the owner's actor, or the takeover that would start it.
async fn report_ownership_lost<P: Platform>(shared: &Shared<P>, takeover: &JoinHandle<bool>) {
    takeover.abort();
    if let Some(actor) = shared.engine_actor() {
        // The actor may have ended already.
        let _ = actor.tell(Event::OwnershipLost).await;
    }
}

/// Why an ownership ends.
#[derive(Clone, Copy)]
enum Ending {
    /// This node wants another one to own the cell.
    HandOver(Reason),
    /// This node gives the cell up to whichever node claims it first.
    Released(&'static str),
    /// This node has lost the cell, or can't be sure that it still owns it.
    Lost(&'static str),
}

impl Ending {
    const fn as_str(self) -> &'static str {
        match self {
            Self::HandOver(reason) => reason.as_str(),
            Self::Released(why) | Self::Lost(why) => why,
        }
    }
}

/// Claims the cell on behalf of the node that is to own it next.
///
/// A claim in that node's name saves the store a release and another claim, and the time in which
/// many nodes would compete for the cell: 1.3 s without an owner while the store took 0.35 s a
/// call. Returns the claim once it is stored, and `None` if no node is suitable or the claim could
/// not be stored.
async fn hand_over<P: Platform>(
    shared: &Shared<P>,
    claim: &Claim,
    end: &mut u64,
    reason: Reason,
) -> Option<Claim> {
    let hellos = recent_hellos(shared).await;
    let lag = shared.lag.owner_lag();
    let next = succession::choose_successor(shared.strength, lag, reason, &hellos)?;
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
        consecutive_slow_owners: match reason {
            Reason::Slow => claim.consecutive_slow_owners.saturating_add(1),
            Reason::Outranked | Reason::Leaving => 0,
        },
    };
    // The claim may be stored although no answer arrives, so this node must not go on for longer
    // than it would without the store.
    let time_limit = MAX_DISCONNECTED_TIME
        .min(RENEWAL_TIMEOUT + STORE_LATENCY_FACTOR * shared.store.typical_latency());
    let result = timeout(time_limit, append_successor(shared, &successor, end)).await;
    let is_stored = matches!(result, Ok(true));
    slog::info!(shared.log, "hand-over"; "epoch" => %successor.epoch, "why" => reason.as_str(),
        "node" => successor.node.as_str(), "lag_ms" => millis(next.lag),
        "age_ms" => millis(next.age), "outcome" => if is_stored { "kept" } else { "not-kept" });
    is_stored.then_some(successor)
}

/// Appends a successor's claim, with one retry: a renewal that was still in flight may have moved
/// the end of the topic.
async fn append_successor<P: Platform>(
    shared: &Shared<P>,
    successor: &Claim,
    end: &mut u64,
) -> bool {
    if append(shared, successor, *end).await.is_ok() {
        return true;
    }
    let Some(seen) = try_read_claim(shared).await else {
        return false;
    };
    match seen.claim {
        Some(claim) if claim == *successor => true,
        Some(claim) if is_own(shared, &claim) => {
            *end = seen.end;
            append(shared, successor, *end).await.is_ok()
        }
        // Another node's claim is the newest. What this node appends next, its release, must be
        // refused: behind the newer claim it would bring back the older epoch, and the next owner
        // would share an epoch with another one.
        _ => false,
    }
}

/// Tells the successor first and then the other nodes, so that none of them claims the cell or asks
/// this node.
async fn announce_successor<P: Platform>(shared: &Shared<P>, successor: Claim, peers: &[Peer]) {
    shared.record_claim(successor.clone());
    let handed_over = Request::HandedOver(successor.clone());
    // A node that isn't reached learns of it with its next hello.
    let _ = message::send(&shared.rpc, successor.address, &handed_over, HELLO_TIMEOUT).await;
    let others = peers
        .iter()
        .filter(|peer| peer.address != successor.address);
    let notifications =
        others.map(|peer| message::send(&shared.rpc, peer.address, &handed_over, HELLO_TIMEOUT));
    join_all(notifications).await;
}

/// Returns the recent hellos of other nodes.
async fn recent_hellos<P: Platform>(shared: &Shared<P>) -> Vec<Hello> {
    let hellos = shared.hellos.lock().await;
    let fresh = hellos
        .values()
        .filter(|(_, at)| at.elapsed() < MAX_HELLO_AGE);
    fresh.map(|(hello, _)| hello.clone()).collect()
}

/// Waits until a worker or the store reports a later owner, or the process is to end.
async fn wait_until_fenced_or_leaving<P: Platform>(shared: &Shared<P>) -> Ending {
    let mut ownership = shared.ownership.subscribe();
    loop {
        if ownership.borrow_and_update().is_none() {
            return Ending::Lost("fenced");
        }
        if shared.is_leaving() {
            wait_while_store_slow(shared).await;
            return Ending::HandOver(Reason::Leaving);
        }
        // The sender lives as long as this task.
        let _ = ownership.changed().await;
    }
}

/// Waits while the store is slow, up to [`MAX_LEAVE_DELAY`]: a change of owner takes four store
/// calls, and there is time for that before the process ends.
async fn wait_while_store_slow<P: Platform>(shared: &Shared<P>) {
    let until = Instant::now() + MAX_LEAVE_DELAY;
    while shared.store.is_slow() && Instant::now() < until {
        sleep(SUCCESSION_CHECK_INTERVAL).await;
    }
}

/// Waits until another node should own the cell because it is stronger or faster; returns the
/// reason.
async fn wait_for_better_owner<P: Platform>(shared: &Shared<P>, slow_owners: u8) -> Reason {
    let began = Instant::now();
    loop {
        sleep(SUCCESSION_CHECK_INTERVAL).await;
        let owned = began.elapsed();
        let lag = shared.lag.owner_lag();
        let reason = match () {
            () if succession::is_slow(lag, owned, slow_owners) => Reason::Slow,
            () if owned >= MIN_OWNED_TIME => Reason::Outranked,
            () => continue,
        };
        let hellos = recent_hellos(shared).await;
        if succession::choose_successor(shared.strength, lag, reason, &hellos).is_some() {
            return reason;
        }
    }
}

/// Renews the claim until it turns out that another one has replaced it.
async fn renew_claim<P: Platform>(
    shared: &Shared<P>,
    claim: &mut Claim,
    end: &mut u64,
    confirmation: &Confirmation,
) -> &'static str {
    let mut is_certain = true;
    loop {
        sleep(LEASE_RENEWAL_INTERVAL).await;
        let time_limit = RENEWAL_TIMEOUT + STORE_LATENCY_FACTOR * shared.store.typical_latency();
        if !is_certain {
            match timeout(time_limit, try_read_claim(shared)).await {
                Ok(Some(seen)) if seen.claim.as_ref().is_some_and(|c| is_own(shared, c)) => {
                    *end = seen.end;
                    is_certain = true;
                    confirmation.renew();
                }
                Ok(Some(_)) => return "replaced",
                Ok(None) | Err(_) => continue,
            }
        }
        claim.renewal = claim.renewal.wrapping_add(1);
        let nodes = shared.peers.lock().await.len() + 1;
        claim.spread = claim.spread.renew(nodes);
        claim.nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        match timeout(time_limit, append(shared, claim, *end)).await {
            Ok(Ok(newer)) => {
                *end = newer;
                confirmation.renew();
                shared.record_spread(claim);
                publish_renewal(shared, claim);
            }
            Ok(Err(_)) | Err(_) => is_certain = false,
        }
    }
}

/// Updates the number of renewals and the spread that this node reports to other nodes.
fn publish_renewal<P: Platform>(shared: &Shared<P>, claim: &Claim) {
    shared.ownership.send_if_modified(|ownership| {
        if let Some(ownership) = ownership {
            ownership.claim.renewal = claim.renewal;
            ownership.claim.spread = claim.spread;
        }
        // No task waits for this change.
        false
    });
}

/// Waits until the owner has to stop because it can't reach the store; returns why.
///
/// While the store is down for every node, none can claim the cell, so the owner goes on. If the
/// store answers another node, that node may own the cell already, or should.
async fn wait_for_store_loss<P: Platform>(
    shared: &Shared<P>,
    mut log: StoreLoss<'_>,
) -> &'static str {
    loop {
        sleep(STORE_CHECK_INTERVAL).await;
        let failing = shared.store.failing_for();
        if failing < PEER_QUERY_THRESHOLD {
            log.has_store(shared);
            continue;
        }
        let mut peers = shared.peers.lock().await.clone();
        // Once the limit is reached, all peers are asked before this node counts as cut off from
        // them.
        if failing < MAX_DISCONNECTED_TIME {
            retain_sample(&mut peers);
        }
        let mut asked: FuturesUnordered<_> = peers
            .iter()
            .map(|peer| ask_about_store(shared, peer))
            .collect();
        // If the store has just come back, it answers this node as well a moment later.
        let mut own_probe = pin!(probe(shared));
        let mut answers = 0;
        let mut noted = Answers::new(peers.len());
        while let Some((node, answer)) = asked.next().await {
            noted.note(node, &answer);
            match answer {
                // A store that is slow for the others is slow for the owner too.
                Ok(Reply::StoreLatency(Some(took)))
                    if failing >= PEER_QUERY_THRESHOLD + STORE_LATENCY_FACTOR * took =>
                {
                    if matches!(
                        timeout(took + PROBE_LEEWAY, &mut own_probe).await,
                        Ok(Some(_))
                    ) {
                        answers += 1;
                        noted.note_own_probe();
                        break;
                    }
                    return log.end(shared, failing, &noted, "store-answers-others");
                }
                Ok(_) => answers += 1,
                Err(_) => {}
            }
        }
        if answers == 0 && failing >= MAX_DISCONNECTED_TIME {
            return log.end(shared, failing, &noted, "alone");
        }
        log.go_on(shared, failing, &noted);
    }
}

/// Asks a node whether the store answers it; returns its name and its answer.
async fn ask_about_store<'a, P: Platform>(
    shared: &Shared<P>,
    peer: &'a Peer,
) -> (&'a NodeName, Result<Reply, rpc::Error>) {
    let (question, time_limit) = (Request::ProbeStore, 2 * HELLO_TIMEOUT);
    let answer = message::send(&shared.rpc, peer.address, &question, time_limit).await;
    (&peer.node, answer)
}

/// Keeps a random sample of the peers, so that asking them costs the same in a cell of any size.
fn retain_sample(peers: &mut Vec<Peer>) {
    peers.shuffle(&mut rand::rng());
    peers.truncate(MAX_QUERIED_PEERS);
}
