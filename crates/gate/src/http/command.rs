//! Commands of operators.

use std::{
    sync::Arc,
    time::Duration, //
};

use axum::{
    extract::{
        Query,
        Request,
        State,
        rejection::QueryRejection, //
    },
    http::{
        HeaderMap,
        StatusCode,
        header::AUTHORIZATION, //
    },
    response::Response,
};
use fulmarpier_protocol::{
    problem,
    settings::gate::Operator,
    wire::{
        Answer, Call,
        command::{
            Reply,
            Request as Command, //
        },
    },
};
use fulmarpier_state::{
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
    unit::Bytes,
};
use serde::Deserialize;

use super::{
    answer,
    head, //
};
use crate::{
    app::App,
    forward::{
        Limits,
        Upload, //
    },
    metrics::Retry,
};

/// The longest line that is taken.
const LINE: Bytes = Bytes(16 * 1024);
/// How long a command may take; a change waits for the log.
const TIMEOUT: Duration = Duration::from_secs(30);
/// What stands before the token.
const SCHEME: &str = "Bearer ";

/// The query of a command.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Options {
    dry_run: bool,
    confirm: String,
}

/// Runs one line of the operators' language.
pub(super) async fn run(
    State(app): State<Arc<App>>,
    options: Result<Query<Options>, QueryRejection>,
    request: Request,
) -> Response {
    let _in_flight = app.metrics.enter();
    match forward(&app, options, request).await {
        Ok(reply) => {
            let status = StatusCode::from_u16(reply.status);
            let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            count(&app, status, &reply.json);
            let mut response = answer::json(status, reply.json);
            if status.is_client_error() || status.is_server_error() {
                answer::mark_problem(&mut response);
            }
            response
        }
        Err(refusal) => {
            app.refused(&refusal);
            answer::refusal(&refusal)
        }
    }
}

async fn forward(
    app: &App,
    options: Result<Query<Options>, QueryRejection>,
    request: Request,
) -> Result<Reply, Refusal> {
    let (parts, body) = request.into_parts();
    let operator = authorize(app, &parts.headers)?.name.to_string();
    let Query(options) = options.map_err(|error| answer::unreadable(&error))?;
    let limits = Limits {
        keep: 0,
        most: LINE,
    };
    let length = head::length(&parts.headers);
    let line = Upload::whole(body, length, limits, &app.load.bytes).await?;
    let text = String::from_utf8(line.bytes.to_vec())
        .map_err(|_| Refusal::new(Reason::Malformed, "the command is not UTF-8"))?;
    let command = Command {
        operator,
        text,
        dry_run: options.dry_run,
        confirm: options.confirm,
        local: false,
    };
    ask(app, command).await
}

/// Returns the operator whose token the request carries.
fn authorize<'a>(app: &'a App, headers: &HeaderMap) -> Result<&'a Operator, Refusal> {
    let given = head::text(headers, AUTHORIZATION.as_str())?;
    let token = given.and_then(|text| text.strip_prefix(SCHEME));
    let operator = token.and_then(|token| app.settings.operator(token.trim()));
    operator.ok_or_else(|| {
        let detail = match token {
            Some(_) => "the token is not known",
            None => "expected a header as in `Authorization: Bearer TOKEN`",
        };
        Refusal::new(Reason::Unauthorized, detail)
    })
}

/// Gives a command to any sched; to another one only where the first certainly didn't get it.
async fn ask(app: &App, command: Command) -> Result<Reply, Refusal> {
    let schedules = app.view.borrow().live();
    for (_, address) in schedules {
        let call = Call::Command(command.clone());
        match app.rpc.call(address, call, TIMEOUT).await {
            Ok(Answer::Command(reply)) => return Ok(reply),
            Ok(_) => return Err(lost("the sched answered another call")),
            Err(error) if error.not_run() => app.metrics.retried(Retry::SchedUnreachable),
            Err(error) => return Err(lost(&error.to_string())),
        }
    }
    let refusal = Refusal::new(Reason::NoOwner, "no sched can be reached");
    Err(refusal.retry_after(app.settings.sync_interval.get()))
}

fn lost(what: &str) -> Refusal {
    let detail = format!("{what}; look at `show config` before repeating a change");
    Refusal::new(Reason::Internal, detail).outcome(Outcome::Unknown)
}

/// Counts a refusal that a sched made.
fn count(app: &App, status: StatusCode, json: &[u8]) {
    if status.is_success() {
        return;
    }
    if let Ok(problem) = problem::Problem::parse(json) {
        app.metrics.refused(problem.reason);
    }
}
