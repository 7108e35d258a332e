//! How much of the record of jobs an owner has read.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::{
    sync::watch,
    time::{
        Instant,
        timeout, //
    },
};

/// How much of the record of jobs an owner has read; cheap to clone.
///
/// What an owner knows of is on record. What it does not know of may be on record all the same: other nodes put jobs
/// and cancellations there, and tell the owner of them where they can. So "there is none" and "so many" are said
/// only of a moment up to which all was read. A caller whose cancellation was answered with "no such job" out of a
/// view of 3.5 s ago saw the job start 3.3 s later.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// All that was on record at this moment has been read.
    read: Arc<watch::Sender<Instant>>,
    /// Somebody waits until all that was on record at this moment has been read.
    wanted: Arc<watch::Sender<Instant>>,
}

impl View {
    /// Makes the view of an owner that knows all that was on record at a moment.
    pub(crate) fn new(read: Instant) -> Self {
        Self {
            read: Arc::new(watch::Sender::new(read)),
            wanted: Arc::new(watch::Sender::new(read)),
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

    /// Waits until the owner was told all that was on record at a moment; false where that takes longer than
    /// `patience`.
    pub(crate) async fn reach(&self, at: Instant, patience: Duration) -> bool {
        self.wanted.send_if_modified(|wanted| {
            let is_later = at > *wanted;
            *wanted = at.max(*wanted);
            is_later
        });
        let mut reads = self.read.subscribe();
        let reached = reads.wait_for(|read| *read >= at);
        matches!(timeout(patience, reached).await, Ok(Ok(_)))
    }

    /// Returns the moment up to which somebody wants all to be read.
    pub(crate) fn wanted(&self) -> Instant {
        *self.wanted.borrow()
    }

    /// Waits until somebody wants more to be read than was.
    pub(crate) async fn wants_more(&self) {
        let mut wanted = self.wanted.subscribe();
        let read = *self.read.borrow();
        // The sender lives as long as this view.
        let _ = wanted.wait_for(|wanted| *wanted > read).await;
    }
}
