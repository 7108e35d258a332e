//! What the passing of time does to a ledger.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

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

/// Keys go by sixteenths: of the ledger when it is full, of their span when they are old.
const SHARE: u32 = 16;

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
    ///
    /// Keys stay for up to a sixteenth longer than asked for, so that many go at once and a busy
    /// ledger does not write a record for each.
    fn forget(&mut self, now: Timestamp) -> Option<Record> {
        let aged = |index: &BTreeSet<(Timestamp, Key)>, age: Duration| {
            let first = index.first().map(|(at, _)| *at);
            let due = first.is_some_and(|at| now.since(at) >= age + age / SHARE);
            due.then_some(now.saturating_sub(age))
        };
        let opaque = aged(&self.by_use, self.settings.opaque_age);
        let timed = aged(&self.by_time, self.settings.age).max(self.crowded_before(now));
        if timed.is_none() && opaque.is_none() {
            return None;
        }
        self.timed = timed.map_or(self.timed, |at| at.max(self.timed));
        self.opaque = opaque.map_or(self.opaque, |at| at.max(self.opaque));
        self.drop_settled();
        Some(Record::Forgot {
            timed: self.timed,
            opaque: self.opaque,
        })
    }

    /// Returns the time up to which settled keys are dropped to make room, where there is none.
    fn crowded_before(&self, now: Timestamp) -> Option<Timestamp> {
        if self.entries.len() < self.settings.count {
            return None;
        }
        let share = self.settings.count.div_ceil(SHARE as usize);
        let past = self.by_time.iter().map(|(at, _)| *at);
        past.take_while(|at| *at <= now).take(share).last()
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
