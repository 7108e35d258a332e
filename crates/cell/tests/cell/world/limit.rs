//! Workspaces and their limits, and the check that no start brings one above its own.

use super::*;
use crate::world::worker::TASK;

/// How long after it was decided an order may still be carried out that got no answer: it was sent again up to twice.
const LATE: Duration = Duration::from_secs(14);

impl World {
    /// Lets workspaces have so many tasks of the usual size running, from now on.
    pub(crate) fn set_limits(&mut self, limits: &[(&'static str, u32)]) {
        let sizes = limits.iter().map(|(name, tasks)| {
            let size = TASK.checked_mul(*tasks).expect("a limit can be counted");
            (name.parse().expect("the name is accepted"), size)
        });
        let sizes: BTreeMap<WorkspaceName, Resources> = sizes.collect();
        let mut directory = Directory::default();
        for (name, size) in &sizes {
            directory.add(workspace(name.clone(), *size), []);
        }
        // Jobs of a workspace that is removed are kept to its last limit.
        let before = self.limits.last().map(|(_, limits)| limits.clone());
        let mut kept = before.unwrap_or_default();
        kept.extend(sizes);
        self.limits.push((self.now, kept));
        self.config.directory = Some(directory);
        self.config.version += 1;
        self.engine.configure(self.config.clone());
    }

    /// Submits a job of a workspace.
    pub(crate) fn submit_for(&mut self, name: &str, queue: &str, steps: Vec<Step>) -> JobId {
        let accepted = self.hand_in_for(name, queue, steps);
        self.enter(accepted)
    }

    /// Makes a job of a workspace that is handed in now and not on record yet.
    pub(crate) fn hand_in_for(&mut self, name: &str, queue: &str, steps: Vec<Step>) -> Accepted {
        let name: WorkspaceName = name.parse().expect("the name is accepted");
        let (_, limits) = self.limits.last().expect("there are workspaces");
        let size = limits.get(&name).copied().unwrap_or(Resources::ZERO);
        Accepted {
            workspace: Some(workspace(name, size).into()),
            ..self.hand_in(queue, steps)
        }
    }

    /// Returns the workspace that a job belongs to.
    pub(super) fn workspace_of(&self, job: JobId) -> Option<WorkspaceName> {
        self.holders.get(&job).map(|(name, _)| name.clone())
    }

    /// Returns what a workspace has running.
    pub(crate) fn running(&self, name: &WorkspaceName) -> Resources {
        let tasks = self.workers.values().flat_map(Worker::tasks);
        let sizes = tasks.filter_map(|task| {
            let (holder, spec) = self.holders.get(&task.step.job)?;
            (holder == name).then(|| spec.steps[usize::from(task.step.step)].size)
        });
        sizes.fold(Resources::ZERO, |sum, size| {
            sum.checked_add(size).expect("what runs can be counted")
        })
    }

    /// Checks that a start has not brought its workspace above the highest limit that was in force when its order left.
    pub(super) fn check_limit(&mut self, order: &fulmarpier_cell::effect::Start, is_in_time: bool) {
        let Some(name) = self.workspace_of(order.task.step.job) else {
            return;
        };
        let since = self.now.saturating_sub(if is_in_time { WAY } else { LATE });
        let ended = self.limits.iter().rposition(|(from, _)| *from <= since);
        let in_force = &self.limits[ended.unwrap_or(0)..];
        let limits = in_force.iter().filter_map(|(_, limits)| limits.get(&name));
        let highest = limits.fold(Resources::ZERO, |highest, limit| highest.max(*limit));
        let running = self.running(&name);
        if !running.fits(&highest) {
            let line = format!("{} brings {name} to {running}, above {highest}", order.task);
            self.violations.push(line);
        }
    }
}

fn workspace(name: WorkspaceName, size: Resources) -> Workspace {
    Workspace {
        name,
        limit: Limit {
            resources: Some(size),
            ..Limit::default()
        },
    }
}
