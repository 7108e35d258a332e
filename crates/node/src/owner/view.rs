//! How much of the record of jobs an owner has read.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::{
    sync::watch,
    time::Instant, //
};

/// How much of the record of jobs an owner has read; cheap to clone.
///
/// What an owner knows of is on record. What it does not know of may be on record all the same: other nodes put jobs
/// and cancellations there, and tell the owner of them where they can.
#[derive(Clone, Debug)]
pub(crate) struct View {
    read: Arc<watch::Sender<Instant>>,
}

impl View {
    /// Makes the view of an owner that knows all that was on record at a moment.
    pub(crate) fn new(read: Instant) -> Self {
        Self {
            read: Arc::new(watch::Sender::new(read)),
        }
    }

    /// Notes that the owner was told all that was on record at a moment.
    pub(crate) fn note(&self, read: Instant) {
        self.read.send_replace(read);
    }

    /// Returns for how long something may have been on record that the owner has not read.
    pub(crate) fn age(&self) -> Duration {
        self.read.borrow().elapsed()
    }
}
