//! What a node does that doesn't own the cell: it believes the owner well, or claims the cell.

use std::time::Duration;

use fulmarpier_cell::{
    id::Epoch,
    record::Claim, //
};
use fulmarpier_transport::rpc;
use rand::random_range;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

use super::{
    HELLO_PATIENCE,
    STORE_TIMES,
    Seen,
    append,
    hear_of_owner,
    hearsay,
    read,
    try_read, //
};
use crate::{
    message::{
        self,
        Question,
        Reply, //
    },
    operator,
    port::{
        Error,
        Platform, //
    },
    shared::Shared,
    succession::{
        self,
        outranks, //
    },
    watch::pause,
};

/// How often a node asks the owner whether it still owns the cell.
const HELLO: Duration = Duration::from_millis(250);
/// How often a node that the owner outranks does; 30 of them greeting four times a second took the owner
/// a hundredth of a core.
const WEAK_HELLO: Duration = Duration::from_millis(700);
/// What the first greeting of a node takes of a new owner's time, with its connection.
const GREETING: Duration = Duration::from_millis(1);
/// A claim that was not renewed for this long, beside the store's usual time, has lapsed: two renewals.
/// Only an owner that doesn't answer is judged by it. It may be short, since a claim that turns out to be
/// wrong costs a takeover of some 0.1 s, and each 0.1 s without an owner some 5 urgent jobs.
const LEASE: Duration = Duration::from_millis(700);
/// An owner that is silent for this long has its renewals watched.
const SILENCE: Duration = Duration::from_millis(200);
/// For this long a weak or slow node leaves the cell to others: their jitter and a slow append.
const WEAK_WAIT: Duration = Duration::from_millis(250);
/// Claimants wait up to this long, so that they don't all append at once.
const JITTER: Duration = Duration::from_millis(60);

/// Returns how long a claim that is not renewed stands.
fn lease<P: Platform>(shared: &Shared<P>) -> Duration {
    LEASE + STORE_TIMES * shared.store.usual()
}

/// Reads the newest claim again; a renewal that was seen before keeps its age.
async fn reread<P: Platform>(shared: &Shared<P>, seen: Seen) -> Seen {
    match try_read(shared).await {
        Some(newer) if newer.end == seen.end => seen,
        Some(newer) => newer,
        None => {
            pause().await;
            // The lease counts only while the store is known to answer.
            Seen {
                since: Instant::now(),
                ..seen
            }
        }
    }
}

/// What is believed of the owner.
enum Belief {
    /// It answers as the owner, under a claim that was renewed so often.
    Well(u32),
    /// It is gone, or says that it doesn't own the cell.
    Vacant(&'static str),
    /// It gave no answer.
    Silent,
    /// There is a later claim.
    Replaced(Claim),
}

fn epoch(seen: &Seen) -> Option<Epoch> {
    seen.claim.as_ref().map(|claim| claim.epoch)
}

/// Follows the owner until there is another claim.
pub(super) async fn follow<P: Platform>(shared: &Shared<P>, mut seen: Seen) -> Seen {
    let mut answered = Instant::now();
    // How often the claim had been renewed by then, where the owner has said so.
    let mut renewed = 0;
    let first = first_hello_pause(shared, seen.claim.as_ref());
    let _ = timeout(first, shared.vacant.notified()).await;
    loop {
        if let Some(newer) = told(shared, &seen) {
            return newer;
        }
        let belief = believe(shared, seen.claim.as_ref()).await;
        let why = match belief {
            Belief::Well(renewal) => {
                answered = Instant::now();
                renewed = renewal;
                // A released claim or a peer's word may come before the next exchange.
                let pause = hello_pause(shared, seen.claim.as_ref());
                let _ = timeout(pause, shared.vacant.notified()).await;
                continue;
            }
            Belief::Replaced(claim) => return hearsay(shared, claim),
            Belief::Vacant(why) => why,
            Belief::Silent => {
                if answered.elapsed() >= SILENCE {
                    let before = epoch(&seen);
                    seen = reread(shared, seen).await;
                    if epoch(&seen) != before {
                        return seen;
                    }
                    let renewal = seen.claim.as_ref().map(|claim| claim.renewal);
                    if renewal.is_some_and(|renewal| renewal <= renewed) {
                        // It was not renewed since the owner last answered.
                        let regained = shared.store.regained();
                        seen.since = succession::silent_since(seen.since, answered, regained);
                    }
                }
                if answered.elapsed() < SILENCE || seen.since.elapsed() < lease(shared) {
                    sleep(HELLO / 4).await;
                    continue;
                }
                "lapsed"
            }
        };
        if shared.is_leaving() {
            sleep(HELLO).await;
            return reread(shared, seen).await;
        }
        sleep(wait_before_claim(shared)).await;
        // Renewals have moved the end since the claim was read, and another may have come first.
        if let Some(newer) = told(shared, &seen) {
            return newer;
        }
        let Some(fresh) = try_read(shared).await else {
            if let Some(claim) = hear_of_owner(shared).await {
                return hearsay(shared, claim);
            }
            pause().await;
            return seen;
        };
        if epoch(&fresh) != epoch(&seen) {
            return fresh;
        }
        return claim(shared, fresh, why).await;
    }
}

/// Returns the claim that another node has told of, where it is a later one.
fn told<P: Platform>(shared: &Shared<P>, seen: &Seen) -> Option<Seen> {
    let known = shared.claim.borrow().clone()?;
    let is_news = epoch(seen).is_none_or(|epoch| epoch < known.epoch);
    is_news.then(|| hearsay(shared, known))
}

async fn believe<P: Platform>(shared: &Shared<P>, claim: Option<&Claim>) -> Belief {
    let Some(claim) = claim else {
        return Belief::Vacant("first");
    };
    if claim.released {
        return Belief::Vacant("released");
    }
    if claim.node == shared.name {
        // It is this node's, and this process doesn't hold it.
        return Belief::Vacant("former-life");
    }
    let hello = Question::Hello(shared.greeting());
    let asked = Instant::now();
    match message::ask(&shared.rpc, claim.address, &hello, HELLO_PATIENCE).await {
        Ok(Reply::Owner(newer, extent)) if newer.epoch == claim.epoch => {
            shared.note_spread(&newer);
            if let Some(extent) = extent {
                operator::confirm(shared, extent, asked);
            }
            Belief::Well(newer.renewal)
        }
        Ok(Reply::Owner(newer, _)) if newer.epoch > claim.epoch => Belief::Replaced(newer),
        Ok(Reply::NotOwner {
            claim: known,
            incarnation,
        }) => disowned(claim, known, incarnation),
        Err(rpc::Error::Refused { .. }) => Belief::Vacant("refused"),
        Ok(_) | Err(_) => Belief::Silent,
    }
}

/// Says what it means that a claim's node doesn't own the cell.
fn disowned(claim: &Claim, known: Option<Claim>, incarnation: u64) -> Belief {
    let epoch = known.as_ref().map(|known| known.epoch).unwrap_or_default();
    match known {
        Some(newer) if newer.epoch > claim.epoch => Belief::Replaced(newer),
        // It has not heard yet that its own claim was kept.
        _ if incarnation == claim.incarnation && epoch < claim.epoch => Belief::Silent,
        _ => Belief::Vacant("disowned"),
    }
}

/// Returns how long to wait before a new owner is greeted first: it reads and takes in what is on record just then, and each
/// greeting takes a part of that time. Strong nodes, which give its orders, don't wait.
fn first_hello_pause<P: Platform>(shared: &Shared<P>, owner: Option<&Claim>) -> Duration {
    let owner = owner.filter(|owner| outranks(owner.strength, shared.strength));
    let most = owner.map_or(Duration::ZERO, |owner| GREETING * owner.nodes);
    most.min(WEAK_HELLO).mul_f64(random_range(0.0..=1.0))
}

/// Returns how long to wait between two greetings: weak nodes leave it to others to find the owner gone.
fn hello_pause<P: Platform>(shared: &Shared<P>, owner: Option<&Claim>) -> Duration {
    let is_weak = owner.is_some_and(|owner| outranks(owner.strength, shared.strength));
    if is_weak { WEAK_HELLO } else { HELLO }
}

/// Returns how long to wait before a claim: nodes that are weaker than an owner that they have known leave the cell to
/// others like it, and slow ones to quick ones.
///
/// The last owner is no measure: once a weak node had the cell, others like it claimed it as soon as the strong ones, and
/// lost it again, for 10 s in a row.
fn wait_before_claim<P: Platform>(shared: &Shared<P>) -> Duration {
    let is_weak = outranks(shared.strongest(), shared.strength);
    let is_late = !succession::is_quick(shared.pulse.timers());
    let least = match is_weak || is_late {
        true => WEAK_WAIT,
        false => Duration::ZERO,
    };
    least + JITTER.mul_f64(random_range(0.0..=1.0))
}

/// Claims the cell, if the claim that was seen is still the newest.
async fn claim<P: Platform>(shared: &Shared<P>, seen: Seen, why: &'static str) -> Seen {
    let former = seen.claim.as_ref().map(|claim| claim.epoch);
    let claim = Claim {
        epoch: former.unwrap_or_default().next(),
        node: shared.name.clone(),
        address: shared.address,
        incarnation: shared.incarnation,
        renewal: 0,
        released: false,
        strength: shared.strength,
        spread: seen
            .claim
            .as_ref()
            .map(|claim| claim.spread)
            .unwrap_or_default(),
        nodes: seen.claim.as_ref().map_or(1, |claim| claim.nodes),
        slow_owners: seen.claim.as_ref().map_or(0, |claim| claim.slow_owners),
    };
    let result = append(shared, &claim, seen.end).await;
    let outcome = result.as_ref().err().map_or("won", Error::word);
    slog::info!(shared.log, "claim"; "epoch" => %claim.epoch, "why" => why,
        "outcome" => outcome);
    match result {
        Ok(end) => {
            shared.note_claim(claim.clone());
            Seen {
                claim: Some(claim),
                end,
                since: Instant::now(),
            }
        }
        Err(Error::Moved { .. }) => read(shared).await,
        Err(_) => {
            pause().await;
            read(shared).await
        }
    }
}
