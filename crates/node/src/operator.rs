//! How far this node has read what the operator writes, and how closely it has to follow.
//!
//! Every node reads that itself, and each call of the store has its price. The owner follows closely; it tells with each answer to
//! a greeting how far it has read. A node that has read as far knows from its word that there is nothing newer, and has the store
//! wait for long; one that has not reads at once. So a call whose answer is lost, or a connection that fell silent, is noticed by
//! the next greeting.

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
    message::Extent,
    port::Platform,
    shared::Shared, //
};

/// How long the store may wait for a change when the owner asks, by whose word the others go.
const OWNER_WAIT: Duration = Duration::from_millis(500);
/// The same where no word of the owner has come of late: a call that is lost is noticed only after this time, and a change has
/// to be in force within 2 s.
const ALONE_WAIT: Duration = Duration::from_millis(1_000);
/// The same where it has. A store that leaves this node without an answer is noticed after this time, or by the first caller.
const WAIT: Duration = Duration::from_millis(4_000);
/// For so long a word of the owner is of late: nodes greet it each 0.7 s at least.
const LATELY: Duration = Duration::from_millis(1_500);
/// For so long an answer of the store may be on its way when the owner has its own already.
const ON_THE_WAY: Duration = Duration::from_millis(100);

/// How far this node has read, and what the owner has said of that.
#[derive(Debug)]
pub(crate) struct Reading {
    /// The offset of the next record, once any was read.
    next: watch::Sender<Option<u64>>,
    /// The offset up to which the owner has read.
    owner: watch::Sender<u64>,
    /// When the owner last confirmed that this node has read as far.
    confirmed: watch::Sender<Option<Instant>>,
}

impl Default for Reading {
    fn default() -> Self {
        Self {
            next: watch::Sender::new(None),
            owner: watch::Sender::new(0),
            confirmed: watch::Sender::new(None),
        }
    }
}

/// Notes that this node has read what the operator writes up to an offset just now.
pub(crate) fn note<P: Platform>(shared: &Shared<P>, next: Option<u64>) {
    shared.operator.next.send_replace(next);
}

/// Returns how far this node has read, and how long ago the store, or the owner, confirmed that there is no more.
pub(crate) fn extent<P: Platform>(shared: &Shared<P>) -> Option<Extent> {
    let next = *shared.operator.next.borrow();
    next.map(|next| Extent {
        next,
        age: shared.config_read.borrow().elapsed(),
    })
}

/// Takes the owner's word, which was asked for at a moment, how far it has read.
pub(crate) fn confirm<P: Platform>(shared: &Shared<P>, owner: Extent, asked: Instant) {
    let reading = &shared.operator;
    reading.owner.send_replace(owner.next);
    if *reading.next.borrow() != Some(owner.next) {
        return;
    }
    reading.confirmed.send_replace(Some(Instant::now()));
    if let Some(told) = asked.checked_sub(owner.age) {
        shared.note_operator_read(told);
    }
}

/// Returns how long the store may wait for a change when this node asks next.
pub(crate) fn wait<P: Platform>(shared: &Shared<P>) -> Duration {
    let is_owner = shared.acting.borrow().is_some();
    let confirmed = *shared.operator.confirmed.borrow();
    match confirmed {
        _ if is_owner => OWNER_WAIT,
        Some(at) if at.elapsed() < LATELY => WAIT,
        _ => ALONE_WAIT,
    }
}

/// Waits until the store has to be asked at once, although a call may wait for a change there for so long.
pub(crate) async fn overdue<P: Platform>(shared: &Shared<P>, wait: Duration) {
    if wait <= ALONE_WAIT {
        // The call itself ends soon enough.
        return pending().await;
    }
    tokio::select! {
        () = behind(shared) => {}
        () = unconfirmed(shared) => {}
    }
}

/// Waits until the owner has read further for a while.
async fn behind<P: Platform>(shared: &Shared<P>) {
    let own = *shared.operator.next.borrow();
    let mut owner = shared.operator.owner.subscribe();
    // The sender lives as long as this task.
    let _ = owner
        .wait_for(|owner| own.is_none_or(|own| own < *owner))
        .await;
    sleep(ON_THE_WAY).await;
}

/// Waits until neither the store nor the owner has confirmed for a while that there is nothing newer.
async fn unconfirmed<P: Platform>(shared: &Shared<P>) {
    let mut confirmed = shared.config_read.subscribe();
    loop {
        let until = *confirmed.borrow_and_update() + LATELY;
        tokio::select! {
            () = sleep_until(until) => return,
            // The sender lives as long as this task.
            _ = confirmed.changed() => {}
        }
    }
}
