//! How far an owner has read the job records.

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
use fulmarpier_state::alias::HashSet;
use tokio::{
    sync::watch,
    time::{
        Instant,
        timeout, //
    },
};

/// How many jobs with unreadable records are remembered; there are none while all nodes run the
/// same version.
const MAX_UNREADABLE_JOBS: usize = 10_000;

/// How far an owner has read the job records; cheap to clone.
///
/// All that an owner knows of is stored, but not all that is stored is known to it: other nodes
/// write jobs and cancellations to the store, and notify the owner where they can. The absence of a
/// job and the number of jobs are therefore stated only as of a time up to which everything has
/// been read. A caller whose cancellation was answered with "no such job" by an owner that had last read
/// 3.5 s before saw the job start 3.3 s later.
#[derive(Clone, Debug)]
pub(crate) struct ReadProgress {
    /// By partition: everything that was stored by this time has been read.
    read: Arc<watch::Sender<Vec<Instant>>>,
    /// A caller waits until everything that was stored by this time has been read.
    requested: Arc<watch::Sender<Option<Instant>>>,
    /// Jobs with records that can't be read: neither their state nor their absence is known.
    unreadable: Arc<Mutex<BTreeSet<JobId>>>,
    /// The jobs that were accepted, those included that are over.
    accepted: Arc<Mutex<HashSet<JobId>>>,
}

impl ReadProgress {
    /// Creates the progress of an owner that has read each partition up to the given time.
    pub(crate) fn new(read: Vec<Instant>) -> Self {
        Self {
            read: Arc::new(watch::Sender::new(read)),
            requested: Arc::new(watch::Sender::new(None)),
            unreadable: Arc::default(),
            accepted: Arc::default(),
        }
    }

    /// Records that the actor has been sent everything that was stored in a partition by the given
    /// time.
    pub(crate) fn mark_read(&self, partition: u16, read: Instant) {
        self.read.send_if_modified(|reads| {
            let before = oldest(reads);
            if let Some(known) = reads.get_mut(usize::from(partition)) {
                *known = read;
            }
            // Waiters depend on the oldest of the times.
            oldest(reads) > before
        });
    }

    fn unreadable(&self) -> MutexGuard<'_, BTreeSet<JobId>> {
        let unreadable = self.unreadable.lock();
        unreadable.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a job whose record can't be read.
    pub(crate) fn note_unreadable(&self, job: JobId) {
        let mut unreadable = self.unreadable();
        if unreadable.len() < MAX_UNREADABLE_JOBS {
            unreadable.insert(job);
        }
    }

    fn accepted(&self) -> MutexGuard<'_, HashSet<JobId>> {
        let accepted = self.accepted.lock();
        accepted.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a job that was accepted.
    pub(crate) fn note_accepted(&self, job: JobId) {
        self.accepted().insert(job);
    }

    /// Returns whether a job was accepted, as far as the records were read.
    pub(crate) fn is_accepted(&self, job: JobId) -> bool {
        self.accepted().contains(&job)
    }

    /// Returns whether a job has a record that can't be read.
    pub(crate) fn is_unreadable(&self, job: JobId) -> bool {
        self.unreadable().contains(&job)
    }

    /// Returns the longest time for which a record may have been stored without having been read.
    pub(crate) fn age(&self) -> Duration {
        let oldest = oldest(&self.read.borrow());
        oldest.map_or(Duration::ZERO, |read| read.elapsed())
    }

    /// Waits until the actor has been sent everything that was stored at a time; returns false if
    /// that takes longer than `time_limit`.
    pub(crate) async fn wait_until_read(&self, at: Instant, time_limit: Duration) -> bool {
        self.requested.send_if_modified(|requested| {
            let is_later = requested.is_none_or(|requested| at > requested);
            if is_later {
                *requested = Some(at);
            }
            is_later
        });
        let mut reads = self.read.subscribe();
        let caught_up = reads.wait_for(|reads| oldest(reads).is_none_or(|read| read >= at));
        matches!(timeout(time_limit, caught_up).await, Ok(Ok(_)))
    }

    /// Waits until a caller needs more of a partition than has been read.
    pub(crate) async fn wait_for_request(&self, partition: u16) {
        let read = self.read.borrow().get(usize::from(partition)).copied();
        let mut requested = self.requested.subscribe();
        // The sender lives as long as this value.
        let _ = requested.wait_for(|requested| *requested > read).await;
    }
}

/// Returns the time up to which all partitions have been read.
fn oldest(reads: &[Instant]) -> Option<Instant> {
    reads.iter().min().copied()
}
