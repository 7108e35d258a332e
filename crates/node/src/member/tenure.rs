//! The lease of one ownership on this node, and the fencing of the owners before it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use fulmarpier_cell::{
    ownership::{
        Basis,
        FENCING_TIMEOUT,
        Fencing,
        Lease,
        Response, //
    },
    record::Claim, //
};
use fulmarpier_state::clock::Timestamp;
use fulmarpier_transport::rpc;
use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use tokio::{
    sync::watch,
    time::{
        MissedTickBehavior,
        interval,
        sleep, //
    },
};

use crate::{
    message::{
        self,
        Reply,
        Request,
        Vote, //
    },
    platform::Platform,
    shared::Shared,
    telemetry::millis,
};

/// The voters are asked once the store has not confirmed the claim for this long. Renewals are 0.3 s apart.
const VOTE_THRESHOLD: Duration = Duration::from_millis(400);
/// How often the voters are asked.
const VOTE_INTERVAL: Duration = Duration::from_millis(150);
/// How long a voter may take to answer. If its connection has fallen silent, there is time for a new one before the
/// lease expires.
const VOTE_TIMEOUT: Duration = Duration::from_millis(250);
/// How often a takeover checks whether the owner may act yet.
const VALIDITY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The longest time between two checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between two rounds in which the electorates of former owners are told of this one.
const FENCING_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// One ownership of this node: until when it may act, and whether the owners before it have been fenced.
pub(crate) struct Tenure {
    lease: Mutex<Lease>,
    /// When the last former owner was fenced.
    fenced_at: watch::Sender<Option<Timestamp>>,
    /// For how long the machine had been suspended when the ownership began. The clock stands still in a suspension.
    suspended: Duration,
}

impl Tenure {
    /// Creates the tenure of a claim. `confirmed_at` is when the call was sent that showed the claim to be the newest
    /// one.
    pub(crate) fn new<P: Platform>(
        shared: &Shared<P>,
        claim: &Claim,
        confirmed_at: Option<Timestamp>,
    ) -> Arc<Self> {
        let lease = Lease::new(claim.electorate(), confirmed_at, shared.steady_now());
        Arc::new(Self {
            lease: Mutex::new(lease),
            fenced_at: watch::Sender::new(None),
            suspended: shared.platform.total_suspension(),
        })
    }

    /// Returns the lease. No call is made while it is locked.
    pub(crate) fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the owner may act at a time.
    pub(crate) fn is_valid(&self, now: Timestamp) -> bool {
        self.lease().is_valid(now)
    }

    /// Returns the time since the last call was sent by which the store confirmed the claim.
    pub(crate) fn unconfirmed_for(&self, now: Timestamp) -> Duration {
        self.lease().unconfirmed_for(now)
    }

    /// Notes that the claim was the newest one in the store after `sent_at`.
    pub(crate) fn confirm(&self, sent_at: Timestamp, now: Timestamp) {
        self.lease().confirm(sent_at, now);
    }

    /// Returns for how long the machine had been suspended when the ownership began.
    pub(crate) const fn suspended(&self) -> Duration {
        self.suspended
    }

    /// Waits until the owner may act. The ownership ends if that takes too long.
    pub(crate) async fn wait_until_valid<P: Platform>(&self, shared: &Shared<P>) {
        while !self.is_valid(shared.steady_now()) {
            sleep(VALIDITY_CHECK_INTERVAL).await;
        }
    }

    /// Returns when the last former owner was fenced, once that is known.
    pub(crate) fn fenced_at(&self) -> watch::Receiver<Option<Timestamp>> {
        self.fenced_at.subscribe()
    }

    /// Returns whether all former owners have been fenced.
    pub(crate) fn are_former_owners_fenced(&self) -> bool {
        self.fenced_at.borrow().is_some()
    }
}

/// Waits until the lease has expired; returns why the ownership ends.
pub(super) async fn wait_for_expiry<P: Platform>(
    shared: &Shared<P>,
    tenure: &Tenure,
    claim: &Claim,
) -> &'static str {
    let mut last = Basis::Unconfirmed;
    loop {
        let now = shared.steady_now();
        let has_expired = tenure.lease().has_expired(now);
        let basis = tenure.lease().basis(now);
        if basis != last && shared.meter.may_log("cell-lease", "") {
            last = basis;
            log_basis(shared, tenure, claim, now);
        }
        if has_expired {
            return "lease-expired";
        }
        let left = now.until(tenure.lease().expires_at());
        sleep(left.min(LEASE_CHECK_INTERVAL)).await;
    }
}

fn log_basis<P: Platform>(shared: &Shared<P>, tenure: &Tenure, claim: &Claim, now: Timestamp) {
    let lease = tenure.lease();
    slog::info!(shared.log, "cell-lease"; "epoch" => %claim.epoch, "by" => lease.basis(now).as_str(),
        "unconfirmed_ms" => millis(lease.unconfirmed_for(now)),
        "left_ms" => millis(now.until(lease.expires_at())),
        "votes" => lease.recent_votes(now), "voters" => lease.voters().len());
}

/// Asks the voters to confirm the owner while the store doesn't; returns why the ownership ends once one of them
/// knows a later owner.
pub(super) async fn collect_votes<P: Platform>(
    shared: &Shared<P>,
    tenure: &Tenure,
    claim: &Claim,
) -> &'static str {
    let mut ticks = interval(VOTE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut asked = FuturesUnordered::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let now = shared.steady_now();
                let lease = tenure.lease();
                if lease.unconfirmed_for(now) >= VOTE_THRESHOLD {
                    asked.extend(lease.voters().into_iter().map(|voter| ask_for_vote(shared, claim, voter)));
                }
            }
            Some((voter, sent_at, vote)) = asked.next() => match vote {
                Some(Vote::Confirmed) => tenure.lease().vote(voter, sent_at, shared.steady_now()),
                Some(Vote::Refused(later)) => {
                    slog::warn!(shared.log, "fenced"; "epoch" => %claim.epoch, "by" => "voter",
                        "address" => %voter, "later" => %later);
                    return "replaced";
                }
                Some(Vote::Abstained) | None => {}
            }
        }
    }
}

/// Returns the voter, when it was asked, and its vote, if it answered.
async fn ask_for_vote<P: Platform>(
    shared: &Shared<P>,
    claim: &Claim,
    voter: SocketAddr,
) -> (SocketAddr, Timestamp, Option<Vote>) {
    let sent_at = shared.steady_now();
    let request = Request::ConfirmOwner(claim.epoch);
    let vote = match message::send(&shared.rpc, voter, &request, VOTE_TIMEOUT).await {
        Ok(Reply::Vote(vote)) => Some(vote),
        Ok(_) | Err(_) => None,
    };
    shared.meter.vote(vote.map_or("none", Vote::as_str));
    (voter, sent_at, vote)
}

/// Tells the electorates of the former owners of this one until each of these owners is fenced. Never returns.
pub(super) async fn fence_former_owners<P: Platform>(
    shared: &Shared<P>,
    tenure: &Tenure,
    claim: &Claim,
) {
    let began = shared.steady_now();
    let mut fencing = Fencing::new(claim.former.clone(), began);
    log_awaited(shared, claim, &fencing, "awaited");
    while !fencing.is_complete() {
        shared.meter.unfenced_owners(fencing.remaining().len());
        tell_electorates(shared, claim, &mut fencing, began).await;
        if !fencing.is_complete() {
            if shared.meter.may_log("former-owner", "") {
                log_awaited(shared, claim, &fencing, "unfenced");
            }
            sleep(FENCING_RETRY_PAUSE).await;
        }
    }
    shared.meter.unfenced_owners(0);
    tenure.fenced_at.send_replace(Some(shared.clock.now()));
    std::future::pending().await
}

/// Tells the nodes of the electorates once, until all former owners are fenced.
async fn tell_electorates<P: Platform>(
    shared: &Shared<P>,
    claim: &Claim,
    fencing: &mut Fencing,
    began: Timestamp,
) {
    let addresses = fencing.addresses().into_iter();
    let mut told: FuturesUnordered<_> = addresses
        .map(|address| tell_of_owner(shared, claim, address))
        .collect();
    while let Some((address, sent_at, response)) = told.next().await {
        let Some(response) = response else {
            continue;
        };
        for owner in fencing.note(address, response, sent_at, shared.steady_now()) {
            slog::info!(shared.log, "former-owner"; "epoch" => %claim.epoch, "state" => "fenced",
                "former" => %owner.epoch, "address" => %owner.owner, "by" => %address,
                "after_ms" => millis(shared.steady_now().since(began)));
        }
        if fencing.is_complete() {
            return;
        }
    }
}

/// Tells the process at an address of the owner. Returns the address, when it was called, and its response, if there
/// is one.
async fn tell_of_owner<P: Platform>(
    shared: &Shared<P>,
    claim: &Claim,
    address: SocketAddr,
) -> (SocketAddr, Timestamp, Option<Response>) {
    let sent_at = shared.steady_now();
    if address == shared.address {
        return (address, sent_at, Some(Response::Told));
    }
    let request = Request::Fence(claim.epoch);
    let response = match message::send(&shared.rpc, address, &request, FENCING_TIMEOUT).await {
        Ok(Reply::Ack) => Some(Response::Told),
        Err(rpc::Error::Refused { .. }) => Some(Response::Gone),
        Ok(_) | Err(_) => None,
    };
    (address, sent_at, response)
}

fn log_awaited<P: Platform>(
    shared: &Shared<P>,
    claim: &Claim,
    fencing: &Fencing,
    state: &'static str,
) {
    for owner in fencing.remaining() {
        slog::info!(shared.log, "former-owner"; "epoch" => %claim.epoch, "state" => state,
            "former" => %owner.epoch, "address" => %owner.owner, "voters" => owner.voters.len(),
            "needed" => owner.blocking_size());
    }
}
