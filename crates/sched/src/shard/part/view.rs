//! A divided job as one.

use fulmarpier_coordination::{
    part::{
        Origin,
        Part, //
    },
    peer::part,
    recovery::Job, //
};
use fulmarpier_protocol::http::job::View;
use fulmarpier_state::{
    engine::{
        Counts,
        JobView,
        Outcome,
        State, //
    },
    id::JobId,
};

use super::{
    super::Live,
    ending::sum, //
};

impl Live {
    /// Returns a job with all its tasks, wherever they are; `None` where it is not known.
    pub(crate) fn job_view(&self, job: JobId) -> Option<JobView> {
        let held = self.journal.image().jobs.get(&job);
        let own = self.engine.job(job);
        match held {
            Some(held) if held.delegation.is_some() => Some(self.merged(job, held, own)),
            _ => own.or_else(|| held.map(|held| waiting(job, held))),
        }
    }

    /// Returns all jobs that are at home here, each with all its tasks.
    pub(crate) fn job_views(&self) -> Vec<JobView> {
        let is_own = |job: &JobId| !self.parts.hosted.contains(job);
        let here = self.engine.jobs().map(|view| view.id);
        let mut jobs: Vec<JobId> = here.chain(self.parts.divided.iter().copied()).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let own = jobs.into_iter().filter(is_own);
        own.filter_map(|job| self.job_view(job)).collect()
    }

    /// Returns a divided job that has ended.
    pub(in crate::shard) fn finished(&self, job: JobId) -> Option<&View> {
        let mut finished = self.parts.finished.iter().rev();
        finished.find(|(id, _)| *id == job).map(|(_, view)| view)
    }

    /// Returns whose part a job is, where it is one.
    pub(in crate::shard) fn origin(&self, job: JobId) -> Option<Origin> {
        self.journal.image().jobs.get(&job).and_then(|held| held.of)
    }

    /// Says where the parts of a job are.
    pub(crate) fn part_lines(&self, job: JobId) -> Vec<String> {
        let held = self.journal.image().jobs.get(&job);
        let delegation = held.and_then(|held| held.delegation.as_ref());
        let parts = delegation.into_iter().flat_map(|d| &d.parts);
        let open = parts.filter(|(_, part)| part.ended.is_none());
        let line = |(id, part): (&JobId, &Part)| {
            let state = match self.parts.home.state(*id) {
                Some(part::State::Open {
                    waiting, running, ..
                }) => format!("{running} run, {waiting} wait"),
                Some(part::State::Ended(_)) => "ended".to_owned(),
                _ => "not settled yet".to_owned(),
            };
            format!("{} tasks are in {}: {state}", part.tasks, part.shard)
        };
        open.map(line).collect()
    }

    fn merged(&self, job: JobId, held: &Job, own: Option<JobView>) -> JobView {
        let mut view = own.unwrap_or_else(|| waiting(job, held));
        let here = held.share();
        if self.engine.job(job).is_none() {
            let ended = self.parts.own.get(&job).copied();
            view.ended = ended.unwrap_or_default();
            view.waiting = here.saturating_sub(view.ended.total());
        }
        view.spec = held.spec.clone();
        view.tasks = held.spec.tasks;
        view.waiting += held.owed();
        let parts = held.delegation.iter().flat_map(|d| &d.parts);
        for (id, part) in parts {
            match (part.ended, self.parts.home.state(*id)) {
                (Some(end), _) => view.ended = sum(view.ended, remaining(end, held)),
                (
                    None,
                    Some(part::State::Open {
                        waiting,
                        running,
                        ended,
                    }),
                ) => {
                    view.waiting += waiting;
                    view.running += running;
                    view.ended = sum(view.ended, ended);
                }
                (None, _) => view.waiting += part.tasks,
            }
        }
        view.state = state(&view, held);
        view
    }
}

/// Returns how tasks of a part ended that were not placed again.
const fn remaining(end: Counts, held: &Job) -> Counts {
    let cancelled = match held.cancelled {
        true => end.cancelled,
        false => 0,
    };
    Counts { cancelled, ..end }
}

fn state(view: &JobView, held: &Job) -> State {
    let active = view.starting + view.running;
    if view.ended.total() >= view.tasks {
        return State::Ended(outcome(view.ended));
    }
    match (held.cancelled, view.state) {
        (true, _) => State::Cancelling,
        (false, State::Held) => State::Held,
        (false, _) if active > 0 || view.ended.total() > 0 => State::Running,
        (false, _) => State::Waiting,
    }
}

const fn outcome(ended: Counts) -> Outcome {
    if ended.unknown > 0 {
        Outcome::Unknown
    } else if ended.failed > 0 {
        Outcome::Failed
    } else if ended.cancelled > 0 {
        Outcome::Cancelled
    } else {
        Outcome::Succeeded
    }
}

/// Returns a job of which the engine knows nothing, or not yet.
fn waiting(id: JobId, held: &Job) -> JobView {
    JobView {
        id,
        spec: held.spec.clone(),
        submitted: held.accepted,
        state: State::Waiting,
        tasks: held.spec.tasks,
        waiting: held.share(),
        starting: 0,
        running: 0,
        ended: Counts::default(),
    }
}
