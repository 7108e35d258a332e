//! The tasks of the owner: renews its claim, and gives the cell up when it has to.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    id::{
        Epoch,
        NodeName, //
    },
    ownership::LEASE_DURATION,
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
    MAX_PROBE_AGE,
    Observation,
    RENEWAL_TIMEOUT,
    STORE_LATENCY_FACTOR,
    append,
    is_own,
    probe,
    report::{
        self,
        Answers,
        StoreLoss, //
    },
    tenure::{
        self,
        Tenure, //
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
    node::PEER_TIMEOUT,
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
    telemetry::{
        micros,
        millis, //
    },
    work,
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
/// For how long the latency of the store, as renewals have measured it, is used after the last of them.
const MAX_LATENCY_AGE: Duration = Duration::from_secs(1);
/// An owner that finishes no piece of work for this long hangs: a piece takes milliseconds, and seconds at most on a slow
/// machine.
const MAX_WORK_GAP: Duration = Duration::from_secs(15);
const WORK_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The pause before the owner reads its claim after a renewal of unknown outcome.
const UNCERTAIN_PAUSE: Duration = Duration::from_millis(50);
/// For how long a new owner keeps voters that have sent it no hello: while the store is slow, nodes learn of it late.
const VOTER_RETENTION: Duration = Duration::from_secs(10);

/// Owns the cell until the claim is lost, given up, or can't be trusted any more.
pub(super) async fn own_cell<P: Platform>(
    shared: &Arc<Shared<P>>,
    mut claim: Claim,
    seen: &Observation,
) {
    let mut end = seen.end;
    report::begin(shared, claim.epoch, end, seen.former.as_ref());
    let tenure = Tenure::new(shared, &claim, seen.asked_at);
    shared.ownership.send_replace(Some(Ownership {
        claim: claim.clone(),
        engine: None,
    }));
    // A successor of this claim may have told this node so before it knew of the claim.
    let later = shared.ballot().highest();
    shared.fence_earlier_owners(later);
    // Discards a notification that is left over from an earlier ownership.
    let _ = shared.stalled.notified().now_or_never();
    let mut takeover = shared.runtime.spawn({
        let shared = shared.clone();
        let claim = claim.clone();
        let tenure = tenure.clone();
        async move {
            let takeover = take_over(&shared, &claim, &tenure);
            shared
                .work
                .track(work::Kind::Takeover, takeover)
                .await
                .is_ok()
        }
    });
    shared.lag.reset_event_waits();
    let (began, slow_owners) = (Instant::now(), claim.consecutive_slow_owners);
    let first = claim.clone();
    let ending = tokio::select! {
        ending = wait_until_fenced_or_leaving(shared) => ending,
        reason = wait_for_better_owner(shared, slow_owners) => Ending::HandOver(reason),
        why = renew_claim(shared, &tenure, &mut claim, &mut end) => Ending::Lost(why),
        why = wait_for_store_loss(shared, StoreLoss::new(first.epoch, &tenure)) => Ending::Lost(why),
        why = tenure::wait_for_expiry(shared, &tenure, &first) => Ending::Lost(why),
        why = tenure::collect_votes(shared, &tenure, &first) => Ending::Lost(why),
        () = tenure::fence_former_owners(shared, &tenure, &first) => Ending::Lost("fenced"),
        () = wait_for_refused_takeover(&mut takeover) => Ending::Lost("fenced"),
        () = shared.stalled.notified() => Ending::Released("stalled"),
        () = wait_for_hang(shared) => Ending::Released("hangs"),
    };
    report::end(shared, claim.epoch, ending.as_str(), began, &tenure);
    let peers = shared.peers();
    if began.elapsed() >= succession::SLOW_SERIES_GAP {
        claim.consecutive_slow_owners = 0;
    }
    // This node goes on scheduling while the successor's claim is being written.
    let successor = match ending {
        Ending::HandOver(reason) => hand_over(shared, &claim, &mut end, reason).await,
        Ending::Released(_) | Ending::Lost(_) => None,
    };
    stop_scheduling(shared, claim.epoch, &takeover);
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

/// Waits until the node has finished no piece of its other work for long. However much it has to do, it finishes some.
async fn wait_for_hang<P: Platform>(shared: &Shared<P>) {
    let mut last = (shared.work.usage().other_pieces(), Instant::now());
    while last.1.elapsed() < MAX_WORK_GAP {
        sleep(WORK_CHECK_INTERVAL).await;
        let pieces = shared.work.usage().other_pieces();
        if pieces != last.0 {
            last = (pieces, Instant::now());
        }
    }
}

/// Waits until the store refuses the takeover because of a later owner.
async fn wait_for_refused_takeover(takeover: &mut JoinHandle<bool>) {
    if matches!(takeover.await, Ok(true)) {
        std::future::pending().await
    }
}

/// Ends the ownership on this node and stops its actor, or the takeover that would start it.
fn stop_scheduling<P: Platform>(shared: &Shared<P>, epoch: Epoch, takeover: &JoinHandle<bool>) {
    takeover.abort();
    let actor = shared.engine_actor();
    // Of the events that are queued for the actor, it handles none any more.
    shared.end_ownership(epoch);
    if let Some(actor) = actor {
        shared.runtime.spawn(async move {
            // The actor may have ended already.
            let _ = actor.tell(Event::OwnershipLost).await;
        });
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
    let hellos = recent_hellos(shared, MAX_HELLO_AGE);
    let pace = shared.lag.pace();
    let next = succession::choose_successor(shared.strength, pace, reason, &hellos)?;
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
        voters: claim.next_voters(next.address),
        // This owner is not among them: its lease is extended no more, and it ends with this call.
        former: claim.former.clone(),
    };
    // The claim may be stored although no answer arrives, so this node must not go on for longer
    // than its lease.
    let time_limit =
        LEASE_DURATION.min(RENEWAL_TIMEOUT + STORE_LATENCY_FACTOR * store_latency(shared));
    let result = timeout(time_limit, append_successor(shared, &successor, end)).await;
    let is_stored = matches!(result, Ok(true));
    slog::info!(shared.log, "hand-over"; "epoch" => %successor.epoch, "why" => reason.as_str(),
        "node" => successor.node.as_str(), "lag_ms" => millis(next.pace.lag),
        "probe_us" => micros(next.pace.probe), "own_probe_us" => micros(pace.probe),
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
        Some(claim) if is_own(shared, &claim) && claim.epoch < successor.epoch => {
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

/// Returns the hellos of other nodes that arrived within a time.
fn recent_hellos<P: Platform>(shared: &Shared<P>, max_age: Duration) -> Vec<Hello> {
    let hellos = shared.hellos();
    let fresh = hellos.values().filter(|(_, at)| at.elapsed() < max_age);
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
        let hellos = recent_hellos(shared, MAX_HELLO_AGE);
        let pace = shared.lag.pace();
        if succession::choose_successor(shared.strength, pace, reason, &hellos).is_some() {
            return reason;
        }
    }
}

/// Renews the claim until it turns out that another one has replaced it.
async fn renew_claim<P: Platform>(
    shared: &Shared<P>,
    tenure: &Tenure,
    claim: &mut Claim,
    end: &mut u64,
) -> &'static str {
    let began = Instant::now();
    // Another node may have reported the claim: then it is read from the store first.
    let mut is_certain = *end > 0;
    let mut pause = LEASE_RENEWAL_INTERVAL.mul_f64(f64::from(u8::from(is_certain)));
    loop {
        sleep(std::mem::replace(&mut pause, LEASE_RENEWAL_INTERVAL)).await;
        let time_limit = RENEWAL_TIMEOUT + STORE_LATENCY_FACTOR * store_latency(shared);
        if !is_certain {
            match timeout(time_limit, try_read_claim(shared)).await {
                Ok(Some(Observation {
                    claim: Some(stored),
                    end: stored_end,
                    asked_at,
                    ..
                })) if is_own(shared, &stored) && stored.epoch == claim.epoch => {
                    if let Some(asked_at) = asked_at {
                        tenure.confirm(asked_at, shared.steady_now());
                    }
                    // Renewals at the former end can't be carried out any more.
                    if stored_end != *end && asked_at.is_some() {
                        tenure.lease().settle(stored.electorate());
                    }
                    *end = stored_end;
                    is_certain = true;
                }
                Ok(Some(_)) => return "replaced",
                Ok(None) | Err(_) => continue,
            }
        }
        claim.renewal = claim.renewal.wrapping_add(1);
        let nodes = shared.peers().len() + 1;
        claim.spread = claim.spread.renew(nodes);
        claim.nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        update_voters(shared, claim, began.elapsed()).await;
        if tenure.are_former_owners_fenced() && tenure.is_valid(shared.steady_now()) {
            claim.former.clear();
        }
        tenure.lease().begin_renewal(claim.electorate());
        let sent_at = shared.steady_now();
        let wait = shared.work.begin_wait();
        shared.platform.work(work::Kind::Membership, 1).await;
        let renewed = timeout(time_limit, append(shared, claim, *end)).await;
        shared.platform.work(work::Kind::Membership, 1).await;
        shared.log_wait("renewal", &wait);
        match renewed {
            Ok(Ok(newer)) => {
                *end = newer;
                tenure.confirm(sent_at, shared.steady_now());
                tenure.lease().settle(claim.electorate());
                shared.record_spread(claim);
                publish_renewal(shared, claim);
            }
            Ok(Err(_)) | Err(_) => {
                is_certain = false;
                pause = UNCERTAIN_PAUSE;
            }
        }
    }
}

/// Makes the nodes that send hellos to this owner its voters.
async fn update_voters<P: Platform>(shared: &Shared<P>, claim: &mut Claim, owned: Duration) {
    let hellos = recent_hellos(shared, PEER_TIMEOUT);
    let mut nodes: Vec<SocketAddr> = hellos.iter().map(|hello| hello.address).collect();
    nodes.sort_unstable();
    let mut electorate = claim.electorate();
    if owned >= VOTER_RETENTION {
        electorate.voters.clear();
    }
    electorate.add_voters(&nodes);
    claim.voters = electorate.voters;
}

/// Returns how long the store usually takes to answer this node, without what the load of this node adds, as far as it
/// was asked of late by calls that this doesn't delay.
fn store_latency<P: Platform>(shared: &Shared<P>) -> Duration {
    let health = &shared.membership_store;
    match health.has_answered_within(MAX_LATENCY_AGE) {
        true => health.typical_latency(),
        false => shared.store.typical_latency(),
    }
}

/// Updates what this node reports of its claim to other nodes.
fn publish_renewal<P: Platform>(shared: &Shared<P>, claim: &Claim) {
    shared.ownership.send_if_modified(|ownership| {
        if let Some(ownership) = ownership {
            ownership.claim.renewal = claim.renewal;
            ownership.claim.spread = claim.spread;
            ownership.claim.voters.clone_from(&claim.voters);
            ownership.claim.former.clone_from(&claim.former);
        }
        // No task waits for this change.
        false
    });
}

/// Waits until the store answers another node but not the owner; returns why the ownership ends.
///
/// That node may own the cell already, or should.
async fn wait_for_store_loss<P: Platform>(
    shared: &Shared<P>,
    mut log: StoreLoss<'_>,
) -> &'static str {
    loop {
        sleep(STORE_CHECK_INTERVAL).await;
        let failing = shared.store.failing_for();
        if failing < PEER_QUERY_THRESHOLD || is_store_answering(shared).await {
            log.has_store(shared);
            continue;
        }
        let mut peers = shared.peers();
        retain_sample(&mut peers);
        let mut asked: FuturesUnordered<_> = peers
            .iter()
            .map(|peer| ask_about_store(shared, peer))
            .collect();
        // If the store has just come back, it answers this node as well a moment later.
        let mut own_probe = pin!(probe(shared));
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
                        noted.note_own_probe();
                        break;
                    }
                    return log.end(shared, failing, &noted, "store-answers-others");
                }
                Ok(_) | Err(_) => {}
            }
        }
        log.go_on(shared, failing, &noted);
    }
}

/// Returns whether the store answers calls that the load of this node doesn't delay: the others may be overdue because
/// their answers wait to be handled here.
async fn is_store_answering<P: Platform>(shared: &Shared<P>) -> bool {
    shared.membership_store.has_answered_within(MAX_PROBE_AGE)
        || matches!(timeout(PROBE_LEEWAY, probe(shared)).await, Ok(Some(_)))
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
