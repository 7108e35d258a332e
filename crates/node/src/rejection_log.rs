//! Which rejected records stand in the log, so that an entry that is written again and again takes one line.

use std::collections::BTreeSet;

use crate::platform::Rejected;

/// The maximum number of remembered rejections, since other writers may use any number of keys. Beyond it all are forgotten
/// and logged once more.
const MAX_REMEMBERED: usize = 1_024;

/// A topic, a key and the name of a fault.
type Logged = (&'static str, Option<String>, &'static str);

/// The rejections that have been logged.
#[derive(Debug, Default)]
pub(crate) struct RejectionLog(BTreeSet<Logged>);

impl RejectionLog {
    /// Returns whether the rejection of this key for this fault has been logged.
    pub(crate) fn contains(&self, topic: &'static str, rejected: &Rejected) -> bool {
        self.0.contains(&logged(topic, rejected))
    }

    /// Notes that a rejection has been logged.
    pub(crate) fn insert(&mut self, topic: &'static str, rejected: &Rejected) {
        if self.0.len() >= MAX_REMEMBERED {
            self.0.clear();
        }
        self.0.insert(logged(topic, rejected));
    }
}

fn logged(topic: &'static str, rejected: &Rejected) -> Logged {
    (topic, rejected.key.clone(), rejected.fault.as_str())
}
