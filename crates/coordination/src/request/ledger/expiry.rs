//! What the passing of time does to a ledger.

use std::collections::BTreeSet;

use fulmarpier_state::{
    clock::Timestamp,
    refusal::Outcome, //
};

use crate::journal::Record;

use super::{
    super::{
        Due,
        Key,
        entry::State, //
    },
    Ledger,
    outcome, //
};

/// The share of the ledger that is dropped at once when it is full.
const EVICTION_SHARE: usize = 16;

impl Ledger {
    /// Lets time pass: grants without a report become `unknown`, and old keys are dropped.
    pub fn expire(&mut self, now: Timestamp) -> Due {
        let mut due = Due::default();
        while let Some((at, key)) = self.expiry.first().cloned() {
            if at > now {
                break;
            }
            self.expiry.remove(&(at, key.clone()));
            self.expire_one(&key, now, &mut due);
        }
        due.records.extend(self.forget(now));
        due
    }

    /// Returns when [`Self::expire`] is next of use.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.expiry.first().map(|(at, _)| *at)
    }

    fn expire_one(&mut self, key: &Key, now: Timestamp, due: &mut Due) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let ticket = entry.ticket;
        match entry.state {
            State::Intended => due.late.push((key.clone(), ticket)),
            State::Granted => {
                let end = entry.deadline + self.settings.grace;
                if end > now {
                    self.expiry.insert((end, key.clone()));
                    return;
                }
                self.settle(key, Outcome::Unknown, None, now);
                let record = outcome(key, ticket, Outcome::Unknown, None, now);
                due.records.push(record);
            }
            State::Settled(_) => {}
        }
    }

    /// Drops settled keys that are too old, or the oldest where too many are remembered.
    fn forget(&mut self, now: Timestamp) -> Option<Record> {
        let timed = now.saturating_sub(self.settings.age);
        let opaque = now.saturating_sub(self.settings.opaque_age);
        let crowded = self.entries.len() >= self.settings.count;
        let timed = if crowded {
            self.crowded_before(now).max(timed)
        } else {
            timed
        };
        let old = |index: &BTreeSet<(Timestamp, Key)>, limit| {
            index.first().is_some_and(|(at, _)| *at <= limit)
        };
        if !old(&self.by_time, timed) && !old(&self.by_use, opaque) {
            return None;
        }
        self.timed = self.timed.max(timed);
        self.opaque = self.opaque.max(opaque);
        self.drop_settled();
        Some(Record::Forgot {
            timed: self.timed,
            opaque: self.opaque,
        })
    }

    /// Returns the time up to which settled keys are dropped to make room.
    fn crowded_before(&self, now: Timestamp) -> Timestamp {
        let share = self.settings.count / EVICTION_SHARE;
        self.by_time
            .iter()
            .map(|(at, _)| *at)
            .take_while(|at| *at <= now)
            .nth(share)
            .unwrap_or(Timestamp::ZERO)
    }

    fn drop_settled(&mut self) {
        let (timed, opaque) = (self.timed, self.opaque);
        let old = self.by_time.iter().take_while(|(at, _)| *at <= timed);
        let unused = self.by_use.iter().take_while(|(at, _)| *at <= opaque);
        let keys: Vec<Key> = old.chain(unused).map(|(_, key)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
    }
}
