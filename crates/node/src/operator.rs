//! Tracks how far this node has read the operator's records, and decides how often it reads them.
//!
//! Every node reads these records itself, and each call of the store has a cost. The owner reads often and reports with
//! each reply to a hello how far it has read. A node that has read as far knows from this report that there is
//! nothing newer, so it lets its calls wait at the store for long; a node that has not reads at once. This way a lost
//! answer or a dead connection is noticed with the next hello.

use std::{
    future::pending,
    time::Duration, //
};

use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

use crate::{
    message::ReadPosition,
    platform::Platform,
    shared::Shared, //
};

/// The time for which a call of the owner waits at the store for a change. The other nodes rely on the owner's
/// position.
const OWNER_READ_WAIT: Duration = Duration::from_millis(500);
/// The same for a node without a recent confirmation by the owner. A lost call is noticed only after this time, and a
/// change has to be in force within 2 s.
const UNCONFIRMED_READ_WAIT: Duration = Duration::from_millis(1_000);
/// The same for a node with a recent confirmation by the owner. A store that doesn't answer this node is noticed after
/// this time, or with the first request of a caller.
const CONFIRMED_READ_WAIT: Duration = Duration::from_millis(4_000);
/// The time for which a confirmation counts as recent. Nodes send a hello to the owner at least every 0.7 s.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_500);
/// The time for which the store's answer to this node may be later than that to the owner.
const OWNER_LEAD_TOLERANCE: Duration = Duration::from_millis(100);

/// How far this node and the owner have read the operator's records.
#[derive(Debug)]
pub(crate) struct ReadState {
    /// The offset of the next record, once this node has read any.
    next_offset: watch::Sender<Option<u64>>,
    /// The offset of the next record as last reported by the owner.
    owner_offset: watch::Sender<u64>,
    /// When the owner last reported the same offset as this node has.
    confirmed_at: watch::Sender<Option<Instant>>,
}

impl Default for ReadState {
    fn default() -> Self {
        Self {
            next_offset: watch::Sender::new(None),
            owner_offset: watch::Sender::new(0),
            confirmed_at: watch::Sender::new(None),
        }
    }
}

/// Records that this node has just read the operator's records up to an offset.
pub(crate) fn record_read<P: Platform>(shared: &Shared<P>, next: Option<u64>) {
    shared.operator.next_offset.send_replace(next);
}

/// Returns how far this node has read, with the time since the store or the owner confirmed that there is no more.
pub(crate) fn position<P: Platform>(shared: &Shared<P>) -> Option<ReadPosition> {
    let next = *shared.operator.next_offset.borrow();
    next.map(|next| ReadPosition {
        next,
        age: shared.config_confirmed_at.borrow().elapsed(),
    })
}

/// Processes the position reported by the owner in reply to a hello sent at `asked`.
pub(crate) fn apply_owner_position<P: Platform>(
    shared: &Shared<P>,
    owner: ReadPosition,
    asked: Instant,
) {
    let state = &shared.operator;
    state.owner_offset.send_replace(owner.next);
    if *state.next_offset.borrow() != Some(owner.next) {
        return;
    }
    state.confirmed_at.send_replace(Some(Instant::now()));
    if let Some(confirmed_at) = asked.checked_sub(owner.age) {
        shared.confirm_operator_read(confirmed_at);
    }
}

/// Returns the time for which the next call of this node waits at the store for a change.
pub(crate) fn read_wait<P: Platform>(shared: &Shared<P>) -> Duration {
    let is_owner = shared.ownership.borrow().is_some();
    let confirmed = *shared.operator.confirmed_at.borrow();
    match confirmed {
        _ if is_owner => OWNER_READ_WAIT,
        Some(at) if at.elapsed() < CONFIRMATION_VALIDITY => CONFIRMED_READ_WAIT,
        _ => UNCONFIRMED_READ_WAIT,
    }
}

/// Waits until this node has to read again at once, although its present call would wait for longer.
pub(crate) async fn wait_until_stale<P: Platform>(shared: &Shared<P>, wait: Duration) {
    if wait <= UNCONFIRMED_READ_WAIT {
        // The call ends soon enough by itself.
        return pending().await;
    }
    tokio::select! {
        () = wait_until_owner_ahead(shared) => {}
        () = wait_until_unconfirmed(shared) => {}
    }
}

/// Waits until the owner is ahead of this node and the store's answer to this node is overdue.
async fn wait_until_owner_ahead<P: Platform>(shared: &Shared<P>) {
    let own = *shared.operator.next_offset.borrow();
    let mut owner = shared.operator.owner_offset.subscribe();
    // The sender outlives this task.
    let _ = owner
        .wait_for(|owner| own.is_none_or(|own| own < *owner))
        .await;
    sleep(OWNER_LEAD_TOLERANCE).await;
}

/// Waits until the last confirmation that there is nothing newer, by the store or the owner, is no longer recent.
async fn wait_until_unconfirmed<P: Platform>(shared: &Shared<P>) {
    let mut confirmed = shared.config_confirmed_at.subscribe();
    loop {
        let until = *confirmed.borrow_and_update() + CONFIRMATION_VALIDITY;
        tokio::select! {
            () = sleep_until(until) => return,
            // The sender outlives this task.
            _ = confirmed.changed() => {}
        }
    }
}
