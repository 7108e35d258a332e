//! Calls about jobs: submission, cancellation and waiting for an end.

use std::time::Duration;

use fulmarpier_coordination::{
    journal::{
        JobEnd,
        Record, //
    },
    recovery::Gone,
};
use fulmarpier_protocol::{
    http::job::{
        State,
        Tasks,
        View, //
    },
    wire,
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::{
        self,
        JobView,
        Outcome, //
    },
    id::JobId,
    job::Spec,
    refusal::{
        Reason,
        Refusal, //
    },
};

use super::{
    Live, Scope,
    commit::{
        Pending,
        log_down, //
    },
    live::Waiter,
};
use crate::node::CallId;

/// How long a caller waits for the log before it is told that its job was not accepted.
pub(super) const ACCEPT: Duration = Duration::from_secs(5);
/// After how long a log that fails is taken to be down, so that jobs are refused at once.
const DOWN: Duration = Duration::from_secs(2);
/// When to come back after a refusal for the log's sake.
pub(super) const RETRY: Duration = Duration::from_secs(2);

impl Live {
    /// Takes a job, and answers once its record is kept.
    ///
    /// A job whose record is on its way already is not refused and not recorded again: whoever
    /// submits it gets the answer to that record.
    pub(crate) fn submit(&mut self, call: CallId, job: JobId, spec: Spec, scope: &mut Scope<'_>) {
        if self.join(job, call, scope.now) {
            return;
        }
        let reply = match self.admit(job, &spec, scope.now) {
            Ok(None) => {
                self.accept(call, job, spec, scope);
                return;
            }
            Ok(Some(reply)) => reply,
            Err(refusal) => wire::submit::Reply::Refused(scope.out.refuse(refusal)),
        };
        scope.out.answer(call, wire::Answer::Submit(reply));
    }

    /// Returns the answer to a job that needs no record, or `None` where it does.
    fn admit(
        &mut self,
        job: JobId,
        spec: &Spec,
        now: Timestamp,
    ) -> Result<Option<wire::submit::Reply>, Refusal> {
        let moved = self.journal.image().gone.contains_key(&job);
        if moved || self.knows(job) {
            return Ok(Some(wire::submit::Reply::Known));
        }
        if !self.is_active(now) {
            let refusal = Refusal::new(Reason::NoOwner, "the shard is not active yet");
            return Err(refusal.retry_after(RETRY));
        }
        self.check(spec, now)?;
        if self.log_down_for(now) >= DOWN {
            return Err(log_down());
        }
        Ok(None)
    }

    fn accept(&mut self, call: CallId, job: JobId, spec: Spec, scope: &mut Scope<'_>) {
        let at = scope.now;
        let record = Record::Accepted {
            job,
            spec: spec.clone().into(),
            at,
        };
        let pending = Pending::Accept {
            job,
            spec: Box::new(spec),
            calls: vec![call],
            since: at,
        };
        if self.push(record, pending, at).is_err() {
            let refusal = scope.out.refuse(log_down());
            let reply = wire::submit::Reply::Refused(refusal);
            scope.out.answer(call, wire::Answer::Submit(reply));
        }
    }

    /// Adds a caller to those who wait for a job's record; false where none is on its way.
    fn join(&mut self, job: JobId, call: CallId, now: Timestamp) -> bool {
        let mut waiting = self.pending.values_mut();
        let found = waiting.find_map(|pending| match pending {
            Pending::Accept {
                job: other,
                calls,
                since,
                ..
            } if *other == job => Some((calls, since)),
            _ => None,
        });
        let Some((calls, since)) = found else {
            return false;
        };
        if calls.is_empty() {
            // All who waited before were told that it is not known.
            *since = now;
        }
        calls.push(call);
        true
    }

    /// Returns whether questions about a job are this shard's to answer.
    pub(crate) fn concerns(&self, job: JobId) -> bool {
        self.knows(job) || self.is_settling(job)
    }

    /// Returns whether a job's record is on its way.
    fn is_settling(&self, job: JobId) -> bool {
        let mut waiting = self.pending.values();
        waiting
            .any(|pending| matches!(pending, Pending::Accept { job: other, .. } if *other == job))
    }

    /// Returns whether this shard has a job, or had it to its end.
    pub(crate) fn knows(&self, job: JobId) -> bool {
        let image = self.journal.image();
        let ended = matches!(image.gone.get(&job), Some(Gone::Ended { .. }));
        ended || image.jobs.contains_key(&job) || self.engine.job(job).is_some()
    }

    /// Cancels a job, and answers once that is kept.
    pub(crate) fn cancel(&mut self, call: CallId, job: JobId, scope: &mut Scope<'_>) {
        if let Some(of) = self.origin(job) {
            let detail = format!("this is a part of job {}; cancel that", of.job);
            let refusal = scope.out.refuse(Refusal::new(Reason::Malformed, detail));
            let reply = wire::submit::Reply::Refused(refusal);
            let reply = wire::cancel::Reply::Found(reply);
            return scope.out.answer(call, wire::Answer::Cancel(reply));
        }
        if self.is_settling(job) {
            // The job may be kept or not, so there is nothing yet that could be cancelled.
            let reply = wire::submit::Reply::Refused(scope.out.refuse(log_down()));
            let reply = wire::cancel::Reply::Found(reply);
            return scope.out.answer(call, wire::Answer::Cancel(reply));
        }
        let ended = self
            .job_view(job)
            .is_none_or(|view| matches!(view.state, engine::State::Ended(_)));
        if ended {
            let reply = wire::cancel::Reply::Found(wire::submit::Reply::Known);
            return scope.out.answer(call, wire::Answer::Cancel(reply));
        }
        let record = Record::Cancelled { job };
        let pending = Pending::Cancel { job, call };
        if self.push(record, pending, scope.now).is_err() {
            let refusal = scope.out.refuse(log_down());
            let reply = wire::submit::Reply::Refused(refusal);
            let reply = wire::cancel::Reply::Found(reply);
            scope.out.answer(call, wire::Answer::Cancel(reply));
        }
    }

    /// Cancels a job whose cancellation is kept.
    pub(super) fn cancel_now(&mut self, job: JobId, call: CallId, scope: &mut Scope<'_>) {
        let reply = match self.engine.cancel(job, scope.now) {
            Ok(effects) => {
                self.carry_out(effects, scope);
                wire::submit::Reply::Accepted
            }
            // Its tasks are all in other shards, or are not back in the queue yet.
            Err(_) if self.journal.image().jobs.contains_key(&job) => wire::submit::Reply::Accepted,
            Err(refusal) => wire::submit::Reply::Refused(scope.out.refuse(refusal)),
        };
        self.follow_parts(job, scope);
        let reply = wire::cancel::Reply::Found(reply);
        scope.out.answer(call, wire::Answer::Cancel(reply));
    }

    /// Tells of a job, at once or when it has ended.
    pub(crate) fn look(&mut self, call: CallId, job: JobId, wait: Duration, scope: &mut Scope<'_>) {
        let ended = self
            .view(job, scope.now)
            .is_none_or(|view| view.state.is_ended());
        if ended || wait.is_zero() {
            return self.tell(call, job, scope);
        }
        let until = scope.now + wait;
        let waiter = Waiter { call, until };
        self.waiters.entry(job).or_default().push(waiter);
    }

    fn tell(&self, call: CallId, job: JobId, scope: &mut Scope<'_>) {
        let json = self
            .view(job, scope.now)
            .and_then(|view| serde_json::to_vec(&view).ok());
        let reply = match json {
            Some(json) => wire::job::Reply::Found(json.into()),
            None => unsettled(),
        };
        scope.out.answer(call, wire::Answer::Job(reply));
    }

    /// Answers everybody who waits for a job that has ended.
    pub(super) fn wake_waiters(&mut self, job: JobId, scope: &mut Scope<'_>) {
        for waiter in self.waiters.remove(&job).unwrap_or_default() {
            self.tell(waiter.call, job, scope);
        }
    }

    /// Answers those who have waited long enough.
    pub(super) fn expire_waiters(&mut self, scope: &mut Scope<'_>) {
        let now = scope.now;
        let mut late = Vec::new();
        for (job, waiters) in &mut self.waiters {
            let done = waiters.extract_if(.., |waiter| waiter.until <= now);
            late.extend(done.map(|waiter| (waiter.call, *job)));
        }
        self.waiters.retain(|_, waiters| !waiters.is_empty());
        late.sort_unstable();
        for (call, job) in late {
            self.tell(call, job, scope);
        }
    }

    /// Answers everybody who waits, because the shard is given up.
    pub(crate) fn dismiss(&mut self, scope: &mut Scope<'_>) {
        self.journal.shut();
        self.pump_journal(scope);
        let mut calls: Vec<CallId> = self
            .waiters
            .drain()
            .flat_map(|(_, waiters)| waiters)
            .map(|waiter| waiter.call)
            .collect();
        calls.sort_unstable();
        for call in calls {
            scope.out.answer(call, wire::Answer::Job(unsettled()));
        }
    }

    /// Returns a job that ended before this node took the shard over.
    fn past(&self, job: JobId) -> Option<View> {
        let Gone::Ended { end, past } = self.journal.image().gone.get(&job)? else {
            return None;
        };
        let (state, tasks) = ended(*end, past.tasks);
        Some(View {
            job,
            state,
            team: past.team.clone(),
            kind: past.kind.word().to_owned(),
            priority: past.priority,
            tasks,
            explanation: vec![format!("the job has ended: {end}")],
            refusal: None,
        })
    }

    /// Returns a job as callers see it.
    pub(crate) fn view(&self, job: JobId, now: Timestamp) -> Option<View> {
        if let Some(view) = self.finished(job) {
            return Some(view.clone());
        }
        let Some(view) = self.job_view(job) else {
            return self.past(job);
        };
        let explanation = self.engine.explain(job, now);
        let explanation = explanation.iter().map(ToString::to_string);
        Some(View {
            job,
            state: state(&view),
            team: view.spec.team.clone(),
            kind: view.spec.kind.word().to_owned(),
            priority: view.spec.priority,
            tasks: tasks(&view),
            explanation: explanation.chain(self.part_lines(job)).collect(),
            refusal: None,
        })
    }
}

/// The answer about a job whose shard may be on its way to another owner.
const fn unsettled() -> wire::job::Reply {
    let settled = Vec::new();
    wire::job::Reply::Unknown { settled }
}

/// Returns the state of a job in the callers' words.
fn state(view: &JobView) -> State {
    match view.state {
        engine::State::Waiting => State::Waiting,
        engine::State::Held => State::Held,
        engine::State::Running | engine::State::Cancelling => State::Running,
        engine::State::Ended(Outcome::Succeeded) => State::Succeeded,
        engine::State::Ended(Outcome::Failed | Outcome::Unknown) => State::Failed,
        engine::State::Ended(Outcome::Cancelled) => State::Cancelled,
    }
}

/// Returns the state of a job of which only the end is known, with its tasks.
fn ended(end: JobEnd, count: u32) -> (State, Tasks) {
    let mut tasks = Tasks::default();
    let state = match end {
        JobEnd::Succeeded => {
            tasks.succeeded = count;
            State::Succeeded
        }
        JobEnd::Failed => {
            tasks.failed = count;
            State::Failed
        }
        JobEnd::Cancelled => {
            tasks.cancelled = count;
            State::Cancelled
        }
        JobEnd::Unknown => {
            tasks.unknown = count;
            State::Failed
        }
    };
    (state, tasks)
}

fn tasks(view: &JobView) -> Tasks {
    Tasks {
        waiting: view.waiting + view.starting,
        running: view.running,
        succeeded: view.ended.succeeded,
        failed: view.ended.failed,
        cancelled: view.ended.cancelled,
        unknown: view.ended.unknown,
    }
}
