//! Who owns the cell, and when this node claims it.
//!
//! The owner is whoever wrote the newest claim; a claim is appended only where the one that it
//! replaces is still the last record, so one of several claimants wins. Evidence that the owner is
//! gone, best first: it has released the cell; its address refuses connections or is answered by a
//! process that doesn't own the cell; its claim was not renewed for a lease while the store answered.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    id::Epoch,
    record::{
        self,
        Claim, //
    },
};
use fulmarpier_state::unit::Millicores;
use fulmarpier_transport::rpc;
use futures::{
    StreamExt,
    future::join_all,
    stream::FuturesUnordered, //
};
use rand::random_range;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
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
    port::{
        Append,
        Condition,
        Error,
        Platform,
        Record,
        Topic, //
    },
    shared::{
        Acting,
        Shared, //
    },
    watch::pause,
};

/// The key of the claim.
const KEY: &str = "owner";
/// How often a node asks the owner whether it still owns the cell.
const HELLO: Duration = Duration::from_millis(250);
/// How often a node that the owner outranks does; 30 of them greeting four times a second took the owner
/// a hundredth of a core.
const WEAK_HELLO: Duration = Duration::from_millis(700);
/// How long the owner may take to answer that: a way there and back takes 3 ms, and an owner whose share
/// of its processor is used up some 80 ms.
const HELLO_PATIENCE: Duration = Duration::from_millis(250);
/// How often the owner renews its claim.
const RENEW: Duration = Duration::from_millis(300);
/// How long a renewal may take before it is read what became of it, beside the store's usual time.
const RENEWAL_PATIENCE: Duration = Duration::from_millis(500);
/// A claim that was not renewed for this long, beside the store's usual time, has lapsed: two renewals.
/// Only an owner that doesn't answer is judged by it. It may be short, since a claim that turns out to be
/// wrong costs a takeover of some 0.1 s, and each 0.1 s without an owner some 5 urgent jobs.
const LEASE: Duration = Duration::from_millis(700);
/// How many times the store's usual time a lease and a renewal may take longer.
const STORE_TIMES: u32 = 3;
/// An owner that is silent for this long has its renewals watched.
const SILENCE: Duration = Duration::from_millis(200);
/// A node outranks another whose processor is less than two thirds of its own.
const OUTRANKS: (u64, u64) = (3, 2);
/// For this long a weak node leaves the cell to stronger ones: their jitter and a slow append.
const WEAK_WAIT: Duration = Duration::from_millis(250);
/// An owner gives the cell up for a stronger node after this time: each change of owners costs 0.1 s.
const TENURE: Duration = Duration::from_secs(3);
/// Claimants wait up to this long, so that they don't all append at once.
const JITTER: Duration = Duration::from_millis(60);
/// After this long without the store the owner asks the others whether it is away for them too.
const ASK_PEERS: Duration = Duration::from_millis(600);
/// How often the owner looks whether the store owes it an answer for so long.
const DOUBT: Duration = Duration::from_millis(100);
/// How long the store may take to answer a node that is asked whether it does; it takes 4 ms, and
/// 0.4 s on slow days.
const PROBE: Duration = Duration::from_millis(450);
/// Without the store and without any other node the owner stops giving orders after this long. With the
/// time in which it notices, that is what the next owner waits longer for leases of silent workers.
const ALONE: Duration = Duration::from_millis(1_200);

/// The newest claim as it was read, and where the topic ends.
struct Seen {
    claim: Option<Claim>,
    end: u64,
    /// When this renewal was first seen.
    since: Instant,
}

/// Follows the owner, or is it, for as long as the process runs.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
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
    let hello = Question::Hello {
        node: shared.name.clone(),
        address: shared.address,
        processor: shared.processor,
        may_own: may_own(shared),
    };
    let asked = peers
        .iter()
        .map(|peer| message::ask(&shared.rpc, peer.address, &hello, HELLO_PATIENCE));
    let answers = join_all(asked).await;
    let claims = answers.into_iter().filter_map(|answer| match answer {
        Ok(Reply::Owner(claim)) => Some(claim),
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
    shared.claim.send_replace(Some(claim.clone()));
    Seen {
        claim: Some(claim),
        end: 0,
        since: Instant::now(),
    }
}

/// Returns how long the store takes to answer this node now, if it does.
pub(crate) async fn probe<P: Platform>(shared: &Shared<P>) -> Option<Duration> {
    let began = Instant::now();
    let read = shared.newest("probe", Topic::Claims);
    let answer = timeout(PROBE, read).await;
    matches!(answer, Ok(Ok(_))).then(|| began.elapsed())
}

async fn try_read<P: Platform>(shared: &Shared<P>) -> Option<Seen> {
    let page = shared.newest("claims", Topic::Claims).await.ok()?;
    let record = page.records.iter().find(|record| record.key == KEY);
    let value = record.and_then(|record| record.value.as_ref());
    let claim = match value.map(|value| record::decode::<Claim>(value)) {
        None => None,
        Some(Ok(claim)) => Some(claim),
        Some(Err(error)) => {
            slog::error!(shared.log, "claim-unreadable"; "why" => %error);
            return None;
        }
    };
    let known = shared.claim.borrow().clone();
    if known.as_ref().map(|claim| claim.epoch) != claim.as_ref().map(|claim| claim.epoch)
        && let Some(claim) = &claim
    {
        slog::info!(shared.log, "owner"; "epoch" => %claim.epoch, "node" => claim.node.as_str(),
            "address" => %claim.address, "released" => claim.released);
    }
    if claim.is_some() {
        shared.claim.send_replace(claim.clone());
    }
    Some(Seen {
        claim,
        end: page.next,
        since: Instant::now(),
    })
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

/// Returns how long a claim that is not renewed stands.
fn lease<P: Platform>(shared: &Shared<P>) -> Duration {
    LEASE + STORE_TIMES * shared.store.usual()
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

async fn follow<P: Platform>(shared: &Shared<P>, mut seen: Seen) -> Seen {
    let mut answered = Instant::now();
    // How often the claim had been renewed by then, where the owner has said so.
    let mut renewed = 0;
    loop {
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
                        seen.since = seen.since.min(answered);
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
        sleep(wait_before_claim(shared, seen.claim.as_ref())).await;
        // Renewals have moved the end since the claim was read, and another may have come first.
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
    let hello = Question::Hello {
        node: shared.name.clone(),
        address: shared.address,
        processor: shared.processor,
        may_own: may_own(shared),
    };
    match message::ask(&shared.rpc, claim.address, &hello, HELLO_PATIENCE).await {
        Ok(Reply::Owner(newer)) if newer.epoch == claim.epoch => Belief::Well(newer.renewal),
        Ok(Reply::Owner(newer)) if newer.epoch > claim.epoch => Belief::Replaced(newer),
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

/// Returns whether this node could claim the cell now.
fn may_own<P: Platform>(shared: &Shared<P>) -> bool {
    !shared.store.is_failing() && !shared.is_leaving()
}

/// Returns whether a node is so much stronger than another that it should own the cell in its place.
pub(crate) fn outranks(processor: Millicores, other: Millicores) -> bool {
    let (processor, other) = (u64::from(processor.get()), u64::from(other.get()));
    processor * OUTRANKS.1 >= other * OUTRANKS.0
}

/// Returns how long to wait between two greetings: weak nodes leave it to others to find the owner gone.
fn hello_pause<P: Platform>(shared: &Shared<P>, owner: Option<&Claim>) -> Duration {
    let is_weak = owner.is_some_and(|owner| outranks(owner.processor, shared.processor));
    if is_weak { WEAK_HELLO } else { HELLO }
}

/// Returns how long to wait before a claim: those who decided before, or were to, had a stronger
/// processor than the weak nodes, which leave the cell to others like them.
fn wait_before_claim<P: Platform>(shared: &Shared<P>, former: Option<&Claim>) -> Duration {
    let is_weak = former.is_some_and(|former| outranks(former.processor, shared.processor));
    let least = if is_weak { WEAK_WAIT } else { Duration::ZERO };
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
        processor: shared.processor,
    };
    let result = append(shared, &claim, seen.end).await;
    let outcome = result.as_ref().err().map_or("won", Error::word);
    slog::info!(shared.log, "claim"; "epoch" => %claim.epoch, "why" => why,
        "outcome" => outcome);
    match result {
        Ok(end) => {
            shared.claim.send_replace(Some(claim.clone()));
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

/// Owns the cell until the claim is lost, given up or can't be trusted any more.
async fn own_cell<P: Platform>(shared: &Arc<Shared<P>>, mut claim: Claim, mut end: u64) {
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
