//! When a worker is asked whether its tasks have ended.

use std::time::Duration;

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};

use super::link::Key;

/// The least time between two messages that only look for ends, and after a start.
const GAP: Duration = Duration::from_millis(100);

/// One task whose end is looked for.
#[derive(Clone, Copy, Debug)]
struct Check {
    began: Timestamp,
    next: Timestamp,
}

/// The tasks of one worker whose end is looked for, so that an end is seen soon after it came
/// although the worker is rarely asked.
///
/// A task is looked at when it is expected to end, and then after half of its age each time.
#[derive(Debug, Default)]
pub(super) struct Checks {
    tasks: HashMap<Key, Check>,
    next: Option<Timestamp>,
    asked: Timestamp,
}

impl Checks {
    /// Expects the end of a task after `runtime`, or soon where nothing is known.
    pub(super) fn expect(&mut self, key: Key, began: Timestamp, runtime: Option<Duration>) {
        let next = began + runtime.unwrap_or(GAP);
        self.tasks.insert(key, Check { began, next });
        self.find();
    }

    /// Drops a task.
    pub(super) fn remove(&mut self, key: Key) {
        if self.tasks.remove(&key).is_some() {
            self.find();
        }
    }

    /// Drops every task.
    pub(super) fn clear(&mut self) {
        self.tasks.clear();
        self.next = None;
    }

    /// Returns when the worker is next to be asked.
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.next.map(|next| next.max(self.asked + GAP))
    }

    /// Notes that the worker is asked now; it is asked anyway after the interval.
    pub(super) fn asked(&mut self, now: Timestamp, interval: Duration) {
        self.asked = now;
        for check in self.tasks.values_mut().filter(|check| check.next <= now) {
            let pause = now.since(check.began) / 2;
            check.next = now + pause.clamp(GAP, interval.max(GAP));
        }
        self.find();
    }

    fn find(&mut self) {
        self.next = self.tasks.values().map(|check| check.next).min();
    }
}
