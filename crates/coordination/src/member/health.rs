//! Whether the log works for this node.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_state::clock::Timestamp;

use super::Timing;

/// The most renewals whose fate is unknown that are remembered.
const MOST_PENDING: usize = 64;

/// What this node's own renewals say about the log.
///
/// Only a renewal that was read back counts; the answer to an append does not, since a claim may
/// stand in front of the renewal.
#[derive(Debug, Default)]
pub(super) struct Health {
    pending: BTreeMap<u64, Timestamp>,
    confirmed: Option<Timestamp>,
    up_since: Option<Timestamp>,
    first: Option<Timestamp>,
    failing: bool,
}

impl Health {
    /// Notes that the renewal `sequence` leaves.
    pub(super) fn sent(&mut self, sequence: u64, now: Timestamp) {
        self.pending.insert(sequence, now);
        while self.pending.len() > MOST_PENDING {
            self.pending.pop_first();
        }
    }

    /// Returns how many renewals sent since `since` are neither confirmed nor known to have failed.
    pub(super) fn in_flight(&self, since: Timestamp) -> usize {
        self.pending.values().filter(|sent| **sent >= since).count()
    }

    /// Notes a failed call.
    pub(super) fn failed(&mut self) {
        self.failing = true;
    }

    /// Notes that the renewal `sequence` certainly had no effect.
    pub(super) fn dropped(&mut self, sequence: u64) {
        self.pending.remove(&sequence);
    }

    /// Notes that the renewal `sequence` was read back, and returns when it had been sent.
    pub(super) fn confirm(
        &mut self,
        sequence: u64,
        now: Timestamp,
        timing: &Timing,
    ) -> Option<Timestamp> {
        let sent = self.pending.remove(&sequence)?;
        if !self.continuous(sent, timing) {
            self.up_since = Some(now);
        }
        self.confirmed = self.confirmed.max(Some(sent));
        self.first.get_or_insert(now);
        self.failing = false;
        Some(sent)
    }

    /// Returns when the last renewal was sent that reached the log.
    pub(super) const fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
    }

    /// Returns when this node first read back a renewal of its own.
    pub(super) const fn first(&self) -> Option<Timestamp> {
        self.first
    }

    /// Returns the age of the last renewal that reached the log, where the log works.
    pub(super) fn fresh(&self, now: Timestamp, timing: &Timing) -> Option<Duration> {
        let age = now.since(self.confirmed?);
        let works = !self.failing && age <= timing.overdue();
        works.then_some(age)
    }

    /// Returns since when the log has worked without a break up to now.
    pub(super) fn up_since(&self, now: Timestamp, timing: &Timing) -> Option<Timestamp> {
        if self.continuous(now, timing) {
            self.up_since
        } else {
            None
        }
    }

    /// Returns whether the time from the last confirmed renewal to `then` is no break.
    fn continuous(&self, then: Timestamp, timing: &Timing) -> bool {
        let longest = timing.get_renewal() * 2;
        self.confirmed
            .is_some_and(|last| then.since(last) <= longest)
    }
}
