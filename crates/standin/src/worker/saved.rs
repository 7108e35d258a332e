//! Where checkpointed tasks keep their work.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use fulmarpier_state::{
    alias::HashMap,
    id::TaskId, //
};

/// The saved work of checkpointed tasks, shared by all workers: how much was left.
#[derive(Clone, Debug, Default)]
pub struct Saved(Arc<Mutex<HashMap<TaskId, Duration>>>);

impl Saved {
    pub(super) fn keep(&self, task: TaskId, left: Duration) {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        saved.insert(task, left);
    }

    pub(super) fn take(&self, task: TaskId) -> Option<Duration> {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        saved.remove(&task)
    }
}
