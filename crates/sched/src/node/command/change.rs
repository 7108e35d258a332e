//! Changes of the configuration: checked against what runs, then published.

use fulmarpier_coordination::config::{
    Change, Proposal,
    check::{
        self,
        Report,
        Token,
        Usage, //
    },
};
use fulmarpier_protocol::{
    http::table::Table,
    wire, //
};
use fulmarpier_state::{
    clock::Timestamp,
    refusal::{
        Reason,
        Refusal, //
    },
};

use super::{
    super::{
        CallId,
        Node, //
    },
    OK,
    gather::Goal,
};

impl Node {
    /// Checks a change against what runs on all nodes, then publishes it.
    ///
    /// A peer that asks on behalf of its own operator gets what runs here.
    pub(super) fn change(
        &mut self,
        id: CallId,
        change: Change,
        request: &wire::command::Request,
        now: Timestamp,
    ) {
        let usage = self.usage();
        if request.local {
            let json = serde_json::to_vec(&usage).unwrap_or_default();
            let reply = wire::command::Reply {
                status: OK,
                json: json.into(),
            };
            return self.answer(id, wire::Answer::Command(reply));
        }
        let goal = Goal::Change {
            change,
            usage,
            request: request.clone(),
        };
        self.gather(id, goal, request, now);
    }

    /// Publishes a change, or says what it would do.
    pub(super) fn decide_change(
        &mut self,
        call: CallId,
        change: Change,
        usage: &Usage,
        request: &wire::command::Request,
        now: Timestamp,
    ) {
        let base = self.register.version();
        let changes = vec![change];
        let report = match check::run(base, self.register.document(), &changes, usage) {
            Ok(report) => report,
            Err(invalid) => {
                let refusal = Refusal::new(Reason::Unsafe, invalid.to_string());
                return self.refuse_command(call, refusal);
            }
        };
        if request.dry_run {
            return self.answer_table(call, &dry_run(&report));
        }
        if let Err(refusal) = confirmed(&report, &request.confirm) {
            return self.refuse_command(call, refusal);
        }
        let proposal = Proposal {
            id: self.fresh_id(now),
            base,
            operator: request.operator.clone(),
            at: now,
            changes,
        };
        self.propose(call, proposal, now);
    }
}

fn confirmed(report: &Report, confirm: &str) -> Result<(), Refusal> {
    if confirm.is_empty() {
        return report.confirm(None);
    }
    match confirm.parse::<Token>() {
        Ok(token) => report.confirm(Some(token)),
        Err(error) => Err(Refusal::new(Reason::Unconfirmed, error.to_string())),
    }
}

fn dry_run(report: &Report) -> Table {
    let rows = report.impact.findings.iter().map(|finding| {
        vec![
            format!("{:?}", finding.severity()).to_lowercase().into(),
            finding.to_string().into(),
            finding.hint().unwrap_or_default().into(),
        ]
    });
    Table {
        columns: ["severity", "finding", "hint"].map(str::to_owned).to_vec(),
        rows: rows.collect(),
        notes: vec![format!(
            "dry run against {}: nothing was changed",
            report.base
        )],
        confirm: report.token.map(|token| token.to_string()),
    }
}
