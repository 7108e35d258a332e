//! Determines which node owns the cell, and when this node claims it.
//!
//! The owner is the node that wrote the newest claim. A claim is appended only if the one that it
//! replaces is still the last record, so exactly one of several claimants wins. Evidence that the
//! owner is gone, strongest first: it has released the cell; its address refuses connections, or is
//! answered by a process that doesn't own the cell; its claim was not renewed for a lease while the
//! store answered.
//!
//! A node is weak if the owner [outranks](crate::succession::outranks) it, and strong otherwise.
//!
//! `follow` holds the tasks of a node that doesn't own the cell, and `own` those of the owner; `tenure` keeps the
//! owner's lease and fences the owners before it, by the rule of [`fulmarpier_cell::ownership`]. `isolation`
//! detects whether the store fails for this node alone, and `report` logs who owns the cell and why.

mod follow;
mod isolation;
mod own;
mod report;
mod tenure;

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    id::Epoch,
    record::{
        self,
        Claim, //
    }, //
};
use fulmarpier_state::clock::Timestamp;
use futures::future::join_all;
use tokio::{
    sync::Mutex,
    time::{
        Instant,
        timeout, //
    },
};

pub(crate) use self::tenure::Tenure;
use self::{
    follow::follow,
    own::own_cell,
    report::Predecessor, //
};
use crate::{
    fallback,
    message::{
        self,
        Reply,
        Request, //
    },
    platform::{
        Append,
        Condition,
        Error,
        Fault,
        Platform,
        Record,
        Rejected,
        Topic, //
    },
    shared::Shared,
    watch::wait_to_retry,
};

/// The key of the claim record.
const CLAIM_KEY: &str = "owner";
/// Which records are claims, and how they are decoded.
const CLAIM_RECORDS: fallback::Decoder<'static, Claim> = fallback::Decoder {
    is_own: |key| key == CLAIM_KEY,
    decode: &|record| {
        let claim = record.value.as_ref();
        let claim = claim.map(|value| record::decode(value));
        claim.transpose().map_err(|_| Fault::Structure)
    },
};
/// How long the owner may take to answer a hello: a round trip takes 3 ms, and some 80 ms if the
/// owner has used up its share of the processor.
const HELLO_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a renewal may take before its outcome is read from the store, in addition to the
/// allowance for the store's usual call time.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);
/// The allowance for a slow store in the length of a lease and of a renewal, as a multiple of the
/// store's usual call time.
const STORE_LATENCY_FACTOR: u32 = 3;
/// How long the store may take to answer a probe, the call by which a node checks whether the store
/// answers it. It takes 4 ms, and 0.4 s on slow days.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// How long the result of a probe is also given to other nodes that ask.
const MAX_PROBE_AGE: Duration = Duration::from_millis(100);

/// The newest claim as it was read, and the end of the topic at that time.
struct Observation {
    claim: Option<Claim>,
    end: u64,
    /// When the latest renewal of the claim was first seen.
    renewal_seen_at: Instant,
    /// The owner that the claim replaces, if it is this node's and the owner is known.
    former: Option<Predecessor>,
    /// When the call to the store was sent that showed the claim; `None` if another node has reported it.
    asked_at: Option<Timestamp>,
}

/// Follows the owner, or acts as the owner, as long as the process runs.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    tokio::spawn(isolation::run(shared.clone()));
    let mut seen = read_claim(&shared).await;
    // The epoch of this process's latest ownership. It is not owned under again: the store, the workers and the other
    // nodes tell ownerships apart by their epochs alone, and a new one numbers its appends, runs and orders anew.
    let mut last_owned = Epoch::default();
    loop {
        let claim = seen.claim.as_ref();
        let claim = claim.filter(|claim| is_own(&shared, claim) && claim.epoch > last_owned);
        match claim.cloned() {
            Some(claim) => {
                last_owned = claim.epoch;
                own_cell(&shared, claim, &seen).await;
                seen = read_claim(&shared).await;
            }
            None => {
                seen.former = None;
                // A claim of this node that it didn't make was made on its behalf.
                let former = Predecessor::handing_over(&seen);
                seen = follow(&shared, seen).await;
                seen.former = seen.former.or(former);
            }
        }
    }
}

/// Returns whether a claim belongs to this process and has not been released.
fn is_own<P: Platform>(shared: &Shared<P>, claim: &Claim) -> bool {
    claim.node == shared.name && claim.incarnation == shared.incarnation && !claim.released
}

/// Reads the newest claim, retrying until the store answers or another node reports a newer one.
async fn read_claim<P: Platform>(shared: &Shared<P>) -> Observation {
    loop {
        if let Some(seen) = try_read_claim(shared).await {
            return seen;
        }
        if let Some(claim) = ask_peers_for_claim(shared).await {
            return adopt_peer_claim(shared, claim);
        }
        wait_to_retry().await;
    }
}

/// Asks the nodes that this one knows for a claim newer than its own.
async fn ask_peers_for_claim<P: Platform>(shared: &Shared<P>) -> Option<Claim> {
    let peers = shared.peers.lock().await.clone();
    let hello = Request::Hello(shared.hello());
    let requests = peers
        .iter()
        .map(|peer| message::send(&shared.rpc, peer.address, &hello, HELLO_TIMEOUT));
    let answers = join_all(requests).await;
    let claims = answers.into_iter().filter_map(|answer| match answer {
        Ok(Reply::Owner(claim, ..)) => Some(claim),
        Ok(Reply::NotOwner { claim, .. }) => claim,
        _ => None,
    });
    let newest = claims.max_by_key(|claim| claim.epoch)?;
    (newest.epoch > shared.epoch()).then_some(newest)
}

/// Adopts a claim that another node has reported; the end of the topic isn't known then.
fn adopt_peer_claim<P: Platform>(shared: &Shared<P>, claim: Claim) -> Observation {
    slog::info!(shared.log, "owner"; "epoch" => %claim.epoch, "node" => claim.node.as_str(),
        "address" => %claim.address, "released" => claim.released, "by" => "peer");
    shared.record_claim(claim.clone());
    Observation {
        claim: Some(claim),
        end: 0,
        renewal_seen_at: Instant::now(),
        former: None,
        asked_at: None,
    }
}

/// The result of the last probe of the store, and when it was made.
#[derive(Debug, Default)]
pub(crate) struct ProbeCache(Mutex<Option<(Instant, Option<Duration>)>>);

/// Returns how long the store has recently taken to answer this node; `None` if it doesn't answer.
///
/// During an outage of the store, all nodes of the cell ask the owner for this, ten times a second
/// each. They get the result of its latest call, or share one probe.
pub(crate) async fn recent_store_latency<P: Platform>(shared: &Shared<P>) -> Option<Duration> {
    if shared.store.has_answered_within(MAX_PROBE_AGE) {
        return Some(shared.store.typical_latency());
    }
    let mut last = shared.probe_cache.0.lock().await;
    if let Some((at, took)) = *last
        && at.elapsed() <= MAX_PROBE_AGE
    {
        return took;
    }
    let took = probe(shared).await;
    *last = Some((Instant::now(), took));
    took
}

/// Returns how long the store takes to answer this node; `None` if it doesn't answer.
pub(crate) async fn probe<P: Platform>(shared: &Shared<P>) -> Option<Duration> {
    let began = Instant::now();
    let read = shared.newest("probe", Topic::Claims);
    let answer = timeout(PROBE_TIMEOUT, read).await;
    matches!(answer, Ok(Ok(_))).then(|| began.elapsed())
}

/// Reads the newest claim that was written by this program.
///
/// A foreign record in its place doesn't end an ownership: then the last claim that the store still
/// has counts, or else the one known here. If the other writer was an owner after all, the store
/// and the workers refuse this owner's orders by their epoch.
async fn try_read_claim<P: Platform>(shared: &Shared<P>) -> Option<Observation> {
    let asked_at = shared.steady_now();
    let page = shared.newest("claims", Topic::Claims).await.ok()?;
    let end = page.next;
    let decoded =
        fallback::decode_with_fallback(shared, Topic::Claims, "claims", page, CLAIM_RECORDS).await;
    let decoded = decoded.ok()?;
    let is_overwritten = decoded.rejected.iter().any(is_claim);
    let stored = decoded.values.into_iter().next();
    // A claim that was removed or overwritten may have been of a later owner than the ones known here.
    if end == 0 || (stored.is_some() && !is_overwritten) {
        let newest = stored.as_ref().map(|claim| claim.epoch);
        shared.ballot().recover(newest.unwrap_or_default());
    }
    let is_remembered = stored.is_none() && is_overwritten;
    let claim = match is_remembered {
        true => shared.claim.borrow().clone(),
        false => stored,
    };
    let known = shared.claim.borrow().clone();
    if known.as_ref().map(|claim| claim.epoch) != claim.as_ref().map(|claim| claim.epoch)
        && let Some(claim) = &claim
    {
        slog::info!(shared.log, "owner"; "epoch" => %claim.epoch, "node" => claim.node.as_str(),
            "address" => %claim.address, "released" => claim.released);
    }
    if let Some(claim) = &claim {
        shared.record_claim(claim.clone());
    }
    Some(Observation {
        claim,
        end,
        renewal_seen_at: Instant::now(),
        former: None,
        asked_at: (!is_remembered).then_some(asked_at),
    })
}

/// Returns whether a rejected record has the key of the claim.
fn is_claim(rejected: &Rejected) -> bool {
    rejected.key.as_deref() == Some(CLAIM_KEY)
}

async fn append<P: Platform>(shared: &Shared<P>, claim: &Claim, end: u64) -> Result<u64, Error> {
    let value = record::encode(claim).map_err(|error| Error::Malformed(error.to_string()))?;
    let append = Append {
        topic: Topic::Claims,
        records: vec![Record {
            key: CLAIM_KEY.to_owned(),
            value: Some(value.into()),
        }],
        condition: Condition::EndsAt(end),
    };
    shared.append("claim", append).await
}
