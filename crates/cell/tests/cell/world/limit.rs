//! Workspaces, their weights and their limits, and the check that no start takes a workspace above its limit.

use super::*;
use crate::world::worker::TASK_SIZE;

/// How long after the decision an unanswered order may still be executed: the owner sends it up to three times.
const MAX_UNANSWERED_ORDER_AGE: Duration = Duration::from_secs(14);

/// The limit of a workspace that has none to speak of, in running tasks of the usual size.
const AMPLE_LIMIT: u32 = 100_000;

impl World {
    /// Sets the weights of workspaces, which have no other limits to speak of.
    pub(crate) fn set_weights(&mut self, weights: &[(&'static str, u32)]) {
        let weights_by_name = weights.iter().map(|(name, weight)| {
            let name: WorkspaceName = name.parse().expect("the name is accepted");
            (name, *weight)
        });
        self.weights.extend(weights_by_name);
        let limits: Vec<(&'static str, u32)> = weights
            .iter()
            .map(|(name, _)| (*name, AMPLE_LIMIT))
            .collect();
        self.set_limits(&limits);
    }

    /// Returns a workspace with its weight; the default weight if none is set.
    fn workspace(&self, name: WorkspaceName, size: Resources) -> Workspace {
        let weight = self.weights.get(&name).copied();
        Workspace {
            limit: Limit {
                resources: Some(size),
                weight: weight.unwrap_or(Limit::default().weight),
                ..Limit::default()
            },
            name,
        }
    }

    /// Sets the limits of workspaces, in running tasks of the usual size.
    pub(crate) fn set_limits(&mut self, limits: &[(&'static str, u32)]) {
        let sizes = limits.iter().map(|(name, tasks)| {
            let size = TASK_SIZE
                .checked_mul(*tasks)
                .expect("the limit doesn't overflow");
            (name.parse().expect("the name is accepted"), size)
        });
        let sizes: BTreeMap<WorkspaceName, Resources> = sizes.collect();
        let mut directory = Directory::default();
        for (name, size) in &sizes {
            directory.add(self.workspace(name.clone(), *size), []);
        }
        // The last limit of a removed workspace stays in force for its jobs.
        let before = self.limit_history.last().map(|(_, limits)| limits.clone());
        let mut updated = before.unwrap_or_default();
        updated.extend(sizes);
        self.limit_history.push((self.now, updated));
        self.config.directory = Some(directory);
        self.config.version += 1;
        self.engine.configure(self.config.clone());
    }

    /// Submits a job of a workspace.
    pub(crate) fn submit_for(&mut self, name: &str, queue: &str, steps: Vec<Step>) -> JobId {
        let accepted = self.new_job_for(name, queue, steps);
        self.accept_or_announce(accepted)
    }

    /// Creates a job of a workspace that is received now and whose acceptance is not stored yet.
    pub(crate) fn new_job_for(&mut self, name: &str, queue: &str, steps: Vec<Step>) -> Accepted {
        let name: WorkspaceName = name.parse().expect("the name is accepted");
        let (_, limits) = self.limit_history.last().expect("there are workspaces");
        let size = limits.get(&name).copied().unwrap_or(Resources::ZERO);
        Accepted {
            workspace: Some(self.workspace(name, size).into()),
            ..self.new_job(queue, steps)
        }
    }

    /// Returns the workspace that a job belongs to.
    pub(super) fn workspace_of(&self, job: JobId) -> Option<WorkspaceName> {
        self.workspace_jobs.get(&job).map(|(name, _)| name.clone())
    }

    /// Returns the resources of all running tasks of a workspace.
    pub(crate) fn running(&self, name: &WorkspaceName) -> Resources {
        let tasks = self.workers.values().flat_map(Worker::tasks);
        let sizes = tasks.filter_map(|task| {
            let (workspace, spec) = self.workspace_jobs.get(&task.step.job)?;
            (workspace == name).then(|| spec.steps[usize::from(task.step.step)].size)
        });
        sizes.fold(Resources::ZERO, |sum, size| {
            sum.checked_add(size).expect("the sum doesn't overflow")
        })
    }

    /// Checks that a start doesn't take its workspace above the highest limit that was in force since its order was
    /// sent.
    pub(super) fn check_limit(&mut self, order: &fulmarpier_cell::effect::Start, is_in_time: bool) {
        let Some(name) = self.workspace_of(order.task.step.job) else {
            return;
        };
        let since = self.now.saturating_sub(if is_in_time {
            NETWORK_DELAY
        } else {
            MAX_UNANSWERED_ORDER_AGE
        });
        let last_before = self
            .limit_history
            .iter()
            .rposition(|(from, _)| *from <= since);
        let in_force = &self.limit_history[last_before.unwrap_or(0)..];
        let limits = in_force.iter().filter_map(|(_, limits)| limits.get(&name));
        let highest = limits.fold(Resources::ZERO, |highest, limit| highest.max(*limit));
        let running = self.running(&name);
        if !running.fits(&highest) {
            let line = format!("{} takes {name} to {running}, above {highest}", order.task);
            self.violations.push(line);
        }
    }
}
