//! The answers to commands.

use fulmarpier_protocol::{
    http::table::{
        Cell,
        Table, //
    },
    problem::Problem,
    query::Show,
    wire, //
};
use fulmarpier_state::{
    id::JobId,
    refusal::{
        Reason,
        Refusal, //
    },
};

use super::{
    super::{
        CallId,
        Node,
        Output, //
    },
    OK,
};

impl Node {
    pub(in crate::node) fn answer_table(&mut self, id: CallId, table: &Table) {
        self.answer(id, wire::Answer::Command(table_reply(table)));
    }

    pub(super) fn answer_note(&mut self, id: CallId, note: &str) {
        let table = note_table(note);
        self.answer_table(id, &table);
    }

    pub(in crate::node) fn refuse_command(&mut self, id: CallId, refusal: Refusal) {
        let refusal = self.out.refuse(refusal);
        self.answer_problem(id, &Problem::from(&refusal));
    }

    pub(super) fn answer_problem(&mut self, id: CallId, problem: &Problem) {
        self.answer(id, wire::Answer::Command(problem_reply(problem)));
    }

    /// Filters and cuts a table as the command says, and answers with it.
    pub(super) fn finish_show(&mut self, id: CallId, show: &Show, mut table: Table) {
        if let Err(error) = show.filter.apply(&mut table) {
            let refusal = Refusal::new(Reason::Command, error.to_string());
            return self.refuse_command(id, refusal);
        }
        let limit = show
            .limit
            .map(|limit| usize::try_from(limit).unwrap_or(usize::MAX));
        if let Some(limit) = limit.filter(|limit| table.rows.len() > *limit) {
            let all = table.rows.len();
            table.rows.truncate(limit);
            table.notes.push(format!("{limit} of {all} rows"));
        }
        self.answer_table(id, &table);
    }

    /// Turns the answers to jobs that came as commands into answers to commands.
    pub(in crate::node) fn translate(&mut self, outputs: &mut [Output]) {
        if self.as_command.is_empty() {
            return;
        }
        for output in outputs {
            let Output::Answer { id, answer } = output else {
                continue;
            };
            if let Some(job) = self.as_command.remove(id) {
                **answer = wire::Answer::Command(translated(answer, job));
            }
        }
    }
}

fn translated(answer: &wire::Answer, job: JobId) -> wire::command::Reply {
    let reply = match answer {
        wire::Answer::Submit(reply) => reply,
        wire::Answer::Cancel(wire::cancel::Reply::Found(reply)) => reply,
        wire::Answer::Command(reply) => return reply.clone(),
        _ => return problem_reply(&Problem::from(&internal())),
    };
    match reply {
        wire::submit::Reply::Accepted => table_reply(&job_table(job, "accepted")),
        wire::submit::Reply::Known => table_reply(&job_table(job, "nothing to do")),
        wire::submit::Reply::Refused(refusal) => problem_reply(&Problem::from(refusal)),
        wire::submit::Reply::Elsewhere(node) => {
            let refusal = Refusal::new(Reason::NoOwner, format!("the shard has moved to {node}"));
            problem_reply(&Problem::from(&refusal))
        }
    }
}

fn internal() -> Refusal {
    Refusal::new(
        Reason::Internal,
        "the answer does not belong to the command",
    )
}

/// A table with the id of a job, so that a submitter learns it.
fn job_table(job: JobId, note: &str) -> Table {
    Table {
        columns: vec!["job".to_owned()],
        rows: vec![vec![Cell::text(job)]],
        ..note_table(note)
    }
}

fn note_table(note: &str) -> Table {
    Table {
        notes: vec![note.to_owned()],
        ..Table::default()
    }
}

fn table_reply(table: &Table) -> wire::command::Reply {
    let json = serde_json::to_vec(table).unwrap_or_default();
    wire::command::Reply {
        status: OK,
        json: json.into(),
    }
}

fn problem_reply(problem: &Problem) -> wire::command::Reply {
    wire::command::Reply {
        status: problem.status,
        json: problem.to_json().into(),
    }
}
