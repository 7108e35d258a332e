//! What a caller knows of a worker, from whole and relative inventories.

use std::collections::BTreeMap;

use fulmarpier_state::id::{
    Attempt,
    Incarnation,
    TaskId, //
};

use super::{
    Inventory,
    Known,
    Running, //
};

/// An inventory is relative to one that was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the inventory is relative to version {base}, which is not the one known")]
pub struct Gap {
    /// What it is relative to.
    pub base: u64,
}

/// What a caller knows of the running tasks of one worker.
///
/// It goes from one inventory to the next, so it may only be given the answers to calls that named
/// [`Self::known`], in the order of the calls. Answers in between may be lost.
///
/// # Examples
///
/// ```
/// use fulmarpier_coordination::platform::worker::View;
///
/// let view = View::default();
/// assert_eq!(view.known(), None, "so the worker gives a whole inventory");
/// ```
#[derive(Clone, Debug, Default)]
pub struct View {
    life: Incarnation,
    version: u64,
    running: BTreeMap<TaskId, Running>,
}

impl View {
    /// Returns what to tell the worker, so that it may leave out what hasn't changed.
    ///
    /// See also [`Self::take`].
    pub const fn known(&self) -> Option<Known> {
        if self.version == 0 {
            return None;
        }
        Some(Known {
            life: self.life,
            version: self.version,
        })
    }

    /// Returns the tasks that ran in the last inventory.
    pub fn running(&self) -> impl Iterator<Item = (TaskId, Attempt)> + '_ {
        self.running.values().map(|r| (r.task, r.attempt))
    }

    /// Returns whether a start of a task ran in the last inventory.
    pub fn holds(&self, task: TaskId, attempt: Attempt) -> bool {
        let known = self.running.get(&task);
        known.is_some_and(|running| running.attempt == attempt)
    }

    /// Takes an inventory in and returns it whole.
    ///
    /// The ages and leases of tasks that it left out are those of the inventory that named them.
    ///
    /// # Errors
    ///
    /// Fails where it is relative to another inventory than the last one. Nothing is known then,
    /// so the next call asks for a whole one.
    pub fn take(&mut self, mut inventory: Inventory) -> Result<Inventory, Gap> {
        if let Some(base) = inventory.base.take() {
            self.check(&inventory, base)?;
            // An end that is still told may be that of an earlier start of a task that runs again.
            let ended = |key| inventory.ended.iter().any(|e| (e.task, e.attempt) == key);
            self.running
                .retain(|_, running| !ended((running.task, running.attempt)));
        } else {
            self.running.clear();
        }
        let listed = std::mem::take(&mut inventory.running);
        self.running.extend(listed.into_iter().map(|r| (r.task, r)));
        self.life = inventory.incarnation;
        self.version = inventory.version;
        inventory.running = self.running.values().cloned().collect();
        Ok(inventory)
    }

    /// Forgets everything, so that the next inventory is whole.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    fn check(&mut self, inventory: &Inventory, base: u64) -> Result<(), Gap> {
        let named = Known {
            life: inventory.incarnation,
            version: base,
        };
        if self.known() == Some(named) {
            return Ok(());
        }
        self.forget();
        Err(Gap { base })
    }
}
