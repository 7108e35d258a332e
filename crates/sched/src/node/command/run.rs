//! The commands, one by one.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use fulmarpier_protocol::{
    http::job::Draft,
    problem::Problem,
    query::{
        Command,
        Show, //
    },
    wire,
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        JobId,
        ShardId, //
    },
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};

use super::{
    super::{
        CallId,
        Node, //
    },
    gather::Goal,
};

/// When to ask again for a job whose shard has no active owner.
const RETRY: Duration = Duration::from_secs(1);

impl Node {
    /// Runs one line of the operators' language.
    pub(in crate::node) fn command(
        &mut self,
        id: CallId,
        request: wire::command::Request,
        now: Timestamp,
    ) {
        let command: Command = match request.text.parse() {
            Ok(command) => command,
            Err(error) => {
                self.out.refuse(Refusal::from(&error));
                return self.answer_problem(id, &Problem::from(&error));
            }
        };
        match command {
            Command::Show(show) => self.show(id, show, &request, now),
            Command::Explain(job) => self.explain(id, job, &request, now),
            Command::Change(change) => self.change(id, change, &request, now),
            Command::Submit(draft) => self.submit_draft(id, *draft, &request, now),
            Command::Cancel(job) => self.cancel_job(id, job, &request, now),
        }
    }

    fn show(&mut self, id: CallId, show: Show, request: &wire::command::Request, now: Timestamp) {
        let mut table = self.table(show.subject, now);
        if request.local {
            // Whoever asks cuts the whole table; a wrong field is its to report.
            let _ = show.filter.apply(&mut table);
            return self.answer_table(id, &table);
        }
        if !self.is_spread(show.subject) {
            return self.finish_show(id, &show, table);
        }
        self.gather(id, Goal::Show { show, table }, request, now);
    }

    fn explain(
        &mut self,
        id: CallId,
        job: JobId,
        request: &wire::command::Request,
        now: Timestamp,
    ) {
        if self.shard_with(job).is_some() {
            let table = self.explanation(job, now);
            return self.answer_table(id, &table);
        }
        self.search(id, job, request, now);
    }

    fn cancel_job(
        &mut self,
        id: CallId,
        job: JobId,
        request: &wire::command::Request,
        now: Timestamp,
    ) {
        if let Some(shard) = self.shard_with(job) {
            if request.dry_run {
                let mut table = self.explanation(job, now);
                table
                    .notes
                    .push("dry run: the job would be cancelled".to_owned());
                return self.answer_table(id, &table);
            }
            self.as_command.insert(id, job);
            self.with_live(shard, now, |live, scope| live.cancel(id, job, scope));
            return;
        }
        self.search(id, job, request, now);
    }

    fn submit_draft(
        &mut self,
        id: CallId,
        draft: Draft,
        request: &wire::command::Request,
        now: Timestamp,
    ) {
        let submission = draft.received(now);
        let job = submission.id.unwrap_or_else(|| JobId(self.fresh_id(now)));
        let Some(shard) = self.roomiest(now) else {
            let detail = "this node has no shard with workers; try another node";
            return self.refuse_command(id, Refusal::new(Reason::NoOwner, detail));
        };
        if request.dry_run {
            let checked = self.with_live(shard, now, |live, scope| {
                live.check(&submission.spec, scope.now)
            });
            return match checked {
                Some(Err(refusal)) => self.refuse_command(id, refusal),
                _ => self.answer_note(id, "dry run: the job would be accepted"),
            };
        }
        self.as_command.insert(id, job);
        self.with_live(shard, now, |live, scope| {
            live.submit(id, job, submission.spec, scope);
        });
    }

    /// Returns the placing shard with the most free processor time.
    fn roomiest(&self, now: Timestamp) -> Option<ShardId> {
        self.lives()
            .filter(|live| live.is_placing(now))
            .map(|live| (live.engine().digest(), live.shard))
            .filter(|(digest, _)| digest.capacity.cpu > 0)
            .max_by_key(|(digest, _)| digest.free.cpu)
            .map(|(_, shard)| shard)
    }
}

/// The refusal of a command about a job that nobody knows; it may have run long ago.
pub(super) fn unknown_job(job: JobId) -> Refusal {
    let refusal = Refusal::new(Reason::UnknownJob, format!("no shard knows job {job}"));
    refusal.outcome(Outcome::Unknown)
}

/// The refusal of a command about a job that a shard may have that nobody could speak for.
pub(super) fn untold_job(job: JobId, untold: &BTreeSet<ShardId>) -> Refusal {
    let untold: Vec<String> = untold.iter().map(ToString::to_string).collect();
    let untold = untold.join(", ");
    let detail = format!("job {job} may be in a shard without an active owner: {untold}");
    Refusal::new(Reason::NoOwner, detail)
        .outcome(Outcome::Unknown)
        .retry_after(RETRY)
}
