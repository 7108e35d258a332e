//! How much of the record of jobs an owner has read.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use fulmarpier_cell::id::JobId;
use tokio::{
    sync::watch,
    time::{
        Instant,
        timeout, //
    },
};

/// How many jobs with records that can't be read are remembered; there are none where all nodes are of one version.
const MOST_UNREADABLE: usize = 10_000;

/// How much of the record of jobs an owner has read; cheap to clone.
///
/// What an owner knows of is on record. What it does not know of may be on record all the same: other nodes put jobs
/// and cancellations there, and tell the owner of them where they can. So "there is none" and "so many" are said
/// only of a moment up to which all was read. A caller whose cancellation was answered with "no such job" out of a
/// view of 3.5 s ago saw the job start 3.3 s later.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// By partition: all that was on record in it at this moment has been read.
    read: Arc<watch::Sender<Vec<Instant>>>,
    /// Somebody waits until all that was on record at this moment has been read.
    wanted: Arc<watch::Sender<Option<Instant>>>,
    /// Jobs that stand on record in words that can't be read: nobody can say what they are, nor that there are none.
    unreadable: Arc<Mutex<BTreeSet<JobId>>>,
}

impl View {
    /// Makes the view of an owner that has read each partition so far.
    pub(crate) fn new(read: Vec<Instant>) -> Self {
        Self {
            read: Arc::new(watch::Sender::new(read)),
            wanted: Arc::new(watch::Sender::new(None)),
            unreadable: Arc::default(),
        }
    }

    /// Notes that the owner was told all that was on record in a partition at a moment.
    pub(crate) fn note(&self, partition: u16, read: Instant) {
        self.read.send_if_modified(|reads| {
            let before = oldest(reads);
            if let Some(known) = reads.get_mut(usize::from(partition)) {
                *known = read;
            }
            // Whoever waits, waits for the oldest.
            oldest(reads) > before
        });
    }

    fn unreadable(&self) -> MutexGuard<'_, BTreeSet<JobId>> {
        let unreadable = self.unreadable.lock();
        unreadable.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a job whose record can't be read.
    pub(crate) fn note_unreadable(&self, job: JobId) {
        let mut unreadable = self.unreadable();
        if unreadable.len() < MOST_UNREADABLE {
            unreadable.insert(job);
        }
    }

    /// Returns whether a job stands on record in words that can't be read.
    pub(crate) fn is_unreadable(&self, job: JobId) -> bool {
        self.unreadable().contains(&job)
    }

    /// Returns for how long something may have been on record that the owner has not read.
    pub(crate) fn age(&self) -> Duration {
        let oldest = oldest(&self.read.borrow());
        oldest.map_or(Duration::ZERO, |read| read.elapsed())
    }

    /// Waits until the owner was told all that was on record at a moment; false where that takes longer than
    /// `patience`.
    pub(crate) async fn reach(&self, at: Instant, patience: Duration) -> bool {
        self.wanted.send_if_modified(|wanted| {
            let is_later = wanted.is_none_or(|wanted| at > wanted);
            if is_later {
                *wanted = Some(at);
            }
            is_later
        });
        let mut reads = self.read.subscribe();
        let reached = reads.wait_for(|reads| oldest(reads).is_none_or(|read| read >= at));
        matches!(timeout(patience, reached).await, Ok(Ok(_)))
    }

    /// Waits until somebody wants more of a partition to be read than was.
    pub(crate) async fn wants_more(&self, partition: u16) {
        let read = self.read.borrow().get(usize::from(partition)).copied();
        let mut wanted = self.wanted.subscribe();
        // The sender lives as long as this view.
        let _ = wanted.wait_for(|wanted| *wanted > read).await;
    }
}

/// Returns the moment up to which all is read.
fn oldest(reads: &[Instant]) -> Option<Instant> {
    reads.iter().min().copied()
}
