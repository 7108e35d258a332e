//! Who owns the cell, and when this node claims it.
//!
//! The owner is whoever wrote the newest claim; a claim is appended only where the one that it
//! replaces is still the last record, so one of several claimants wins. Evidence that the owner is
//! gone, best first: it has released the cell; its address refuses connections or is answered by a
//! process that doesn't own the cell; its claim was not renewed for a lease while the store answered.

//!
//! `follow` is what a node does that doesn't own the cell, `own` what the owner does, `isolation` finds out
//! whether a node is alone without the store.

mod follow;
mod isolation;
mod own;

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::record::{
    self,
    Claim, //
};
use futures::future::join_all;
use tokio::{
    sync::Mutex,
    time::{
        Instant,
        timeout, //
    },
};

use self::{follow::follow, own::own_cell};
use crate::{
    message::{
        self,
        Question,
        Reply, //
    },
    port::{
        Append,
        Condition,
        Error,
        Fault,
        Platform,
        Record,
        Rejected,
        Topic, //
    },
    recall,
    shared::Shared,
    watch::pause,
};

/// The key of the claim.
const KEY: &str = "owner";
/// Which records are claims.
const OWN: recall::Own<'static, Claim> = recall::Own {
    key: |key| key == KEY,
    read: &|record| {
        let claim = record.value.as_ref();
        let claim = claim.map(|value| record::decode(value));
        claim.transpose().map_err(|_| Fault::Form)
    },
};
/// How long the owner may take to answer that: a way there and back takes 3 ms, and an owner whose share
/// of its processor is used up some 80 ms.
const HELLO_PATIENCE: Duration = Duration::from_millis(250);
/// How long a renewal may take before it is read what became of it, beside the store's usual time.
const RENEWAL_PATIENCE: Duration = Duration::from_millis(500);
/// How many times the store's usual time a lease and a renewal may take longer.
const STORE_TIMES: u32 = 3;
/// How long the store may take to answer a node that is asked whether it does; it takes 4 ms, and
/// 0.4 s on slow days.
const PROBE: Duration = Duration::from_millis(450);

/// For so long what the store told a node goes for others that ask it as well.
const PROBE_HOLDS: Duration = Duration::from_millis(100);

/// The newest claim as it was read, and where the topic ends.
struct Seen {
    claim: Option<Claim>,
    end: u64,
    /// When this renewal was first seen.
    since: Instant,
}

/// Follows the owner, or is it, for as long as the process runs.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    tokio::spawn(isolation::run(shared.clone()));
    let mut seen = read(&shared).await;
    loop {
        let own = seen
            .claim
            .as_ref()
            .is_some_and(|claim| is_own(&shared, claim));
        match seen.claim.clone().filter(|_| own) {
            Some(claim) => {
                own_cell(&shared, claim, seen.end).await;
                seen = read(&shared).await;
            }
            None => seen = follow(&shared, seen).await,
        }
    }
}

/// Returns whether a claim is this process's own and stands.
fn is_own<P: Platform>(shared: &Shared<P>, claim: &Claim) -> bool {
    claim.node == shared.name && claim.incarnation == shared.incarnation && !claim.released
}

/// Reads the newest claim until the store gives it, or another node tells of a newer one.
async fn read<P: Platform>(shared: &Shared<P>) -> Seen {
    loop {
        if let Some(seen) = try_read(shared).await {
            return seen;
        }
        if let Some(claim) = hear_of_owner(shared).await {
            return hearsay(shared, claim);
        }
        pause().await;
    }
}

/// Asks the nodes that this one knows for a newer claim than its own.
async fn hear_of_owner<P: Platform>(shared: &Shared<P>) -> Option<Claim> {
    let peers = shared.peers.lock().await.clone();
    let hello = Question::Hello(shared.greeting());
    let asked = peers
        .iter()
        .map(|peer| message::ask(&shared.rpc, peer.address, &hello, HELLO_PATIENCE));
    let answers = join_all(asked).await;
    let claims = answers.into_iter().filter_map(|answer| match answer {
        Ok(Reply::Owner(claim, _)) => Some(claim),
        Ok(Reply::NotOwner { claim, .. }) => claim,
        _ => None,
    });
    let newest = claims.max_by_key(|claim| claim.epoch)?;
    (newest.epoch > shared.epoch()).then_some(newest)
}

/// Takes in a claim that another node told of; where the topic ends is not known then.
fn hearsay<P: Platform>(shared: &Shared<P>, claim: Claim) -> Seen {
    slog::info!(shared.log, "owner"; "epoch" => %claim.epoch, "node" => claim.node.as_str(),
        "address" => %claim.address, "released" => claim.released, "by" => "peer");
    shared.note_claim(claim.clone());
    Seen {
        claim: Some(claim),
        end: 0,
        since: Instant::now(),
    }
}

/// What the store told a node that probed it, and when.
#[derive(Debug, Default)]
pub(crate) struct Probe(Mutex<Option<(Instant, Option<Duration>)>>);

/// Returns how long the store takes to answer this node of late, if it does.
///
/// All nodes of a cell that the store leaves alone ask the owner that, ten times a second each: they get what a call of its own
/// has told just now, or share one probe.
pub(crate) async fn vouch<P: Platform>(shared: &Shared<P>) -> Option<Duration> {
    if shared.store.has_answered_within(PROBE_HOLDS) {
        return Some(shared.store.usual());
    }
    let mut last = shared.probe.0.lock().await;
    if let Some((at, took)) = *last
        && at.elapsed() <= PROBE_HOLDS
    {
        return took;
    }
    let took = probe(shared).await;
    *last = Some((Instant::now(), took));
    took
}

/// Returns how long the store takes to answer this node now, if it does.
pub(crate) async fn probe<P: Platform>(shared: &Shared<P>) -> Option<Duration> {
    let began = Instant::now();
    let read = shared.newest("probe", Topic::Claims);
    let answer = timeout(PROBE, read).await;
    matches!(answer, Ok(Ok(_))).then(|| began.elapsed())
}

/// Reads the newest claim that is one of this program's.
///
/// Another writer's word in its place ends no ownership: the last claim holds that the store still keeps, or
/// else that is known here. Had the other writer been an owner after all, the store and the workers would
/// refuse this one's orders by its epoch.
async fn try_read<P: Platform>(shared: &Shared<P>) -> Option<Seen> {
    let page = shared.newest("claims", Topic::Claims).await.ok()?;
    let end = page.next;
    let settled = recall::settle(shared, Topic::Claims, "claims", page, OWN).await;
    let settled = settled.ok()?;
    let claim = match settled.found.into_iter().next() {
        Some(claim) => Some(claim),
        None if !settled.rejected.iter().any(is_claim) => None,
        None => shared.claim.borrow().clone(),
    };
    let known = shared.claim.borrow().clone();
    if known.as_ref().map(|claim| claim.epoch) != claim.as_ref().map(|claim| claim.epoch)
        && let Some(claim) = &claim
    {
        slog::info!(shared.log, "owner"; "epoch" => %claim.epoch, "node" => claim.node.as_str(),
            "address" => %claim.address, "released" => claim.released);
    }
    if let Some(claim) = &claim {
        shared.note_claim(claim.clone());
    }
    Some(Seen {
        claim,
        end,
        since: Instant::now(),
    })
}

/// Returns whether it was the claim that was turned away.
fn is_claim(rejected: &Rejected) -> bool {
    rejected.key.as_deref() == Some(KEY)
}

async fn append<P: Platform>(shared: &Shared<P>, claim: &Claim, end: u64) -> Result<u64, Error> {
    let value = record::encode(claim).map_err(|error| Error::Malformed(error.to_string()))?;
    let append = Append {
        topic: Topic::Claims,
        records: vec![Record {
            key: KEY.to_owned(),
            value: Some(value.into()),
        }],
        condition: Condition::EndsAt(end),
    };
    shared.append("claim", append).await
}
