//! The tasks of a node that doesn't own the cell: checks that the owner is alive, and claims the
//! cell if it isn't.

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
    HELLO_TIMEOUT,
    Observation,
    Predecessor,
    STORE_LATENCY_FACTOR,
    adopt_peer_claim,
    append,
    ask_peers_for_claim,
    read_claim,
    try_read_claim, //
};
use crate::{
    message::{
        self,
        Reply,
        Request, //
    },
    operator,
    platform::{
        Error,
        Platform, //
    },
    shared::Shared,
    succession::{
        self,
        outranks, //
    },
    watch::wait_to_retry,
};

/// How often a node asks the owner whether it still owns the cell.
const HELLO_INTERVAL: Duration = Duration::from_millis(250);
/// How often a node that is weaker than the owner asks. With 30 nodes asking four times a second,
/// answering them took a hundredth of a core of the owner.
const WEAK_HELLO_INTERVAL: Duration = Duration::from_millis(700);
/// How much of a new owner's time the first hello of a node takes, with its connection.
const FIRST_HELLO_COST: Duration = Duration::from_millis(1);
/// A claim that was not renewed for this long, in addition to the allowance for the store's usual
/// call time, has expired. It spans two renewals, and applies only to an owner that doesn't answer.
/// It may be short, since a claim made by mistake costs a takeover of some 0.1 s, and each 0.1 s
/// without an owner some 5 urgent jobs.
const LEASE: Duration = Duration::from_millis(700);
/// Once an owner has not answered for this long, its renewals are checked in the store.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(200);
/// How long a slow node leaves the cell to others before it claims it: covers their jitter and a slow append.
const SLOW_CLAIM_DELAY: Duration = Duration::from_millis(250);
/// How long a weak node leaves the cell to strong ones. They notice the end of an owner as soon as it does, unless their
/// hellos or reads are lost, and a strong one would replace it again.
const WEAK_CLAIM_DELAY: Duration = Duration::from_millis(700);
/// The longest random delay before a claim, so that nodes don't all append at once.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(60);

/// Returns the time without renewal after which a claim has expired.
fn claim_expiry_time<P: Platform>(shared: &Shared<P>) -> Duration {
    LEASE + STORE_LATENCY_FACTOR * shared.store.typical_latency()
}

/// Reads the newest claim again. A renewal that was seen before keeps the time it was first seen.
async fn reread<P: Platform>(shared: &Shared<P>, seen: Observation) -> Observation {
    match try_read_claim(shared).await {
        Some(newer) if newer.end == seen.end => seen,
        Some(newer) => newer,
        None => {
            wait_to_retry().await;
            // Time in which the store isn't known to answer doesn't count towards the lease.
            Observation {
                renewal_seen_at: Instant::now(),
                ..seen
            }
        }
    }
}

/// What this node concludes about the owner.
enum OwnerStatus {
    /// It answers as the owner; carries how often its claim has been renewed.
    Alive(u32),
    /// It is gone, or says that it doesn't own the cell; carries the evidence.
    Lost(&'static str),
    /// It gave no answer.
    NoAnswer,
    /// There is a later claim.
    Replaced(Claim),
}

fn epoch(seen: &Observation) -> Option<Epoch> {
    seen.claim.as_ref().map(|claim| claim.epoch)
}

/// Checks on the owner until there is another claim.
pub(super) async fn follow<P: Platform>(shared: &Shared<P>, mut seen: Observation) -> Observation {
    let mut last_answer_at = Instant::now();
    // How often the claim had been renewed when the owner last answered; 0 before its first answer.
    let mut renewals = 0;
    let delay = first_hello_delay(shared, seen.claim.as_ref());
    let _ = timeout(delay, shared.owner_lost.notified()).await;
    loop {
        if let Some(newer) = newer_claim(shared, &seen) {
            return newer;
        }
        let status = check_owner(shared, seen.claim.as_ref()).await;
        let why = match status {
            OwnerStatus::Alive(renewal) => {
                last_answer_at = Instant::now();
                renewals = renewal;
                // A release of the claim or a message from a peer may arrive before the next hello
                // is due.
                let interval = hello_interval(shared, seen.claim.as_ref());
                let _ = timeout(interval, shared.owner_lost.notified()).await;
                continue;
            }
            OwnerStatus::Replaced(claim) => return adopt_peer_claim(shared, claim),
            OwnerStatus::Lost(why) => why,
            OwnerStatus::NoAnswer => {
                if last_answer_at.elapsed() >= SILENCE_THRESHOLD {
                    let before = epoch(&seen);
                    seen = reread(shared, seen).await;
                    if epoch(&seen) != before {
                        return seen;
                    }
                    let renewal = seen.claim.as_ref().map(|claim| claim.renewal);
                    if renewal.is_some_and(|renewal| renewal <= renewals) {
                        // The claim was not renewed since the owner last answered.
                        let regained = shared.store.recovered_at();
                        seen.renewal_seen_at = succession::silent_since(
                            seen.renewal_seen_at,
                            last_answer_at,
                            regained,
                        );
                    }
                }
                if last_answer_at.elapsed() < SILENCE_THRESHOLD
                    || seen.renewal_seen_at.elapsed() < claim_expiry_time(shared)
                {
                    sleep(HELLO_INTERVAL / 4).await;
                    continue;
                }
                "lapsed"
            }
        };
        if shared.is_leaving() {
            sleep(HELLO_INTERVAL).await;
            return reread(shared, seen).await;
        }
        sleep(claim_delay(shared)).await;
        // Renewals have moved the end of the topic since the claim was read, and another node may
        // have claimed the cell first.
        if let Some(newer) = newer_claim(shared, &seen) {
            return newer;
        }
        let Some(fresh) = try_read_claim(shared).await else {
            if let Some(claim) = ask_peers_for_claim(shared).await {
                return adopt_peer_claim(shared, claim);
            }
            wait_to_retry().await;
            return seen;
        };
        if epoch(&fresh) != epoch(&seen) {
            return fresh;
        }
        let former = Predecessor::replaced(&seen, &fresh, why);
        let claimed = claim_cell(shared, fresh, why).await;
        return Observation { former, ..claimed };
    }
}

/// Returns the claim that another node has reported, if it is a later one.
fn newer_claim<P: Platform>(shared: &Shared<P>, seen: &Observation) -> Option<Observation> {
    let known = shared.claim.borrow().clone()?;
    let is_newer = epoch(seen).is_none_or(|epoch| epoch < known.epoch);
    is_newer.then(|| adopt_peer_claim(shared, known))
}

async fn check_owner<P: Platform>(shared: &Shared<P>, claim: Option<&Claim>) -> OwnerStatus {
    let Some(claim) = claim else {
        return OwnerStatus::Lost("first");
    };
    if claim.released {
        return OwnerStatus::Lost("released");
    }
    if claim.node == shared.name {
        // The claim is this node's, but of an earlier process or of an ownership that has ended.
        return OwnerStatus::Lost(match claim.incarnation == shared.incarnation {
            true => "given-up",
            false => "former-life",
        });
    }
    let hello = Request::Hello(shared.hello());
    let asked = Instant::now();
    match message::send(&shared.rpc, claim.address, &hello, HELLO_TIMEOUT).await {
        Ok(Reply::Owner(newer, position)) if newer.epoch == claim.epoch => {
            shared.record_spread(&newer);
            if let Some(position) = position {
                operator::apply_owner_position(shared, position, asked);
            }
            OwnerStatus::Alive(newer.renewal)
        }
        Ok(Reply::Owner(newer, _)) if newer.epoch > claim.epoch => OwnerStatus::Replaced(newer),
        Ok(Reply::NotOwner {
            claim: known,
            incarnation,
        }) => interpret_not_owner(claim, known, incarnation),
        Err(rpc::Error::Refused { .. }) => OwnerStatus::Lost("refused"),
        Ok(_) | Err(_) => OwnerStatus::NoAnswer,
    }
}

/// Interprets the answer of a claim's node that it doesn't own the cell.
fn interpret_not_owner(claim: &Claim, known: Option<Claim>, incarnation: u64) -> OwnerStatus {
    let epoch = known.as_ref().map(|known| known.epoch).unwrap_or_default();
    match known {
        Some(newer) if newer.epoch > claim.epoch => OwnerStatus::Replaced(newer),
        // It has not learnt yet that its own claim was stored.
        _ if incarnation == claim.incarnation && epoch < claim.epoch => OwnerStatus::NoAnswer,
        _ => OwnerStatus::Lost("disowned"),
    }
}

/// Returns how long to wait before the first hello to a new owner: it is busy with reading the
/// stored state and applying it, and each hello takes some of that time. Strong nodes, which send
/// its orders, don't wait.
fn first_hello_delay<P: Platform>(shared: &Shared<P>, owner: Option<&Claim>) -> Duration {
    let owner = owner.filter(|owner| outranks(owner.strength, shared.strength));
    let max_delay = owner.map_or(Duration::ZERO, |owner| FIRST_HELLO_COST * owner.nodes);
    max_delay
        .min(WEAK_HELLO_INTERVAL)
        .mul_f64(random_range(0.0..=1.0))
}

/// Returns how long to wait between two hellos: weak nodes leave it to others to notice that the
/// owner is gone.
fn hello_interval<P: Platform>(shared: &Shared<P>, owner: Option<&Claim>) -> Duration {
    let is_weak = owner.is_some_and(|owner| outranks(owner.strength, shared.strength));
    if is_weak {
        WEAK_HELLO_INTERVAL
    } else {
        HELLO_INTERVAL
    }
}

/// Returns how long to wait before a claim: nodes weaker than the strongest owner that they have
/// known leave the cell to nodes of that owner's strength, and slow nodes leave it to fast ones.
///
/// Comparing with the last owner would not do: once a weak node had the cell, others like it
/// claimed it as soon as the strong ones did, and lost it again, for 10 s in a row.
fn claim_delay<P: Platform>(shared: &Shared<P>) -> Duration {
    let is_weak = outranks(shared.strongest_owner(), shared.strength);
    let is_slow = !succession::is_prompt(shared.lag.timer_lag());
    let min_delay = match () {
        () if is_weak => WEAK_CLAIM_DELAY,
        () if is_slow => SLOW_CLAIM_DELAY,
        () => Duration::ZERO,
    };
    min_delay + MAX_CLAIM_JITTER.mul_f64(random_range(0.0..=1.0))
}

/// Claims the cell, if the claim that was seen is still the newest.
async fn claim_cell<P: Platform>(
    shared: &Shared<P>,
    seen: Observation,
    why: &'static str,
) -> Observation {
    // Another writer may have removed the newest claim; the owner that made it may still act.
    let known = shared.claim.borrow().clone();
    let previous = seen.claim.as_ref().or(known.as_ref());
    let previous_epoch = previous.map(|claim| claim.epoch);
    let highest = previous_epoch.max(Some(shared.ballot().highest()));
    let claim = Claim {
        epoch: highest.unwrap_or_default().next(),
        node: shared.name.clone(),
        address: shared.address,
        incarnation: shared.incarnation,
        renewal: 0,
        released: false,
        strength: shared.strength,
        spread: previous.map(|claim| claim.spread).unwrap_or_default(),
        nodes: previous.map_or(1, |claim| claim.nodes),
        consecutive_slow_owners: previous.map_or(0, |claim| claim.consecutive_slow_owners),
        voters: previous.map_or_else(Vec::new, |claim| claim.next_voters(shared.address)),
        former: previous.map_or_else(Vec::new, Claim::possible_owners),
    };
    let asked_at = shared.steady_now();
    let result = append(shared, &claim, seen.end).await;
    let outcome = result.as_ref().err().map_or("won", Error::as_str);
    slog::info!(shared.log, "claim"; "epoch" => %claim.epoch, "why" => why,
        "outcome" => outcome);
    match result {
        Ok(end) => {
            shared.record_claim(claim.clone());
            Observation {
                claim: Some(claim),
                end,
                renewal_seen_at: Instant::now(),
                former: None,
                asked_at: Some(asked_at),
            }
        }
        Err(Error::WrongEnd { .. }) => read_claim(shared).await,
        Err(_) => {
            wait_to_retry().await;
            read_claim(shared).await
        }
    }
}
