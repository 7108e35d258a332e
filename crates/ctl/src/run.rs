//! From the words of a shell to a report.

use std::{
    ffi::OsString,
    path::Path, //
};

use clap_complete::Shell;
use fulmarpier_protocol::{
    http::table::Table,
    settings::{
        self,
        Kind, //
    },
};
use fulmarpier_state::refusal::{
    Outcome,
    Reason, //
};
use serde::Serialize;

use crate::{
    Action,
    Client,
    Environment,
    Exit,
    Failure,
    Invocation,
    Output,
    Report,
    Request,
    cli,
    render, //
};

/// Does what the words say; the first one is the name of the program.
pub async fn run(words: impl IntoIterator<Item = OsString>, environment: Environment) -> Report {
    let matches = match cli::command().try_get_matches_from(words) {
        Ok(matches) => matches,
        Err(error) => return form(&error),
    };
    let invocation = match Invocation::new(&matches, &environment) {
        Ok(invocation) => invocation,
        Err(error) => return Report::failure(Exit::Usage, format!("error: {error}\n")),
    };
    match invocation.action {
        Action::Ask(request) => ask(&request, invocation.output).await,
        Action::Check { file, kind } => check(&file, kind),
        Action::Complete(shell) => complete(shell),
    }
}

/// Reports a command line of the wrong form, or the help that was asked for.
fn form(error: &clap::Error) -> Report {
    let text = error.to_string();
    match error.use_stderr() {
        true => Report::failure(Exit::Usage, text),
        false => Report::success(text),
    }
}

async fn ask(request: &Request, output: Output) -> Report {
    let answer = match Client::new() {
        Ok(client) => client.ask(request).await,
        Err(failure) => Err(failure),
    };
    match answer {
        Ok(table) => Report::success(answered(&table, output)),
        Err(failure) => failed(&failure, request.command.is_change(), output),
    }
}

fn answered(table: &Table, output: Output) -> String {
    match output {
        Output::Table => render::table(table),
        Output::Json => json(table),
    }
}

fn failed(failure: &Failure, is_change: bool, output: Output) -> Report {
    let exit = exit(failure, is_change);
    let mut report = match failure {
        Failure::Refused(problem) => Report::failure(exit, render::problem(problem)),
        other => Report::failure(exit, format!("error: {other}\n")),
    };
    if exit == Exit::Unknown && !matches!(failure, Failure::Refused(_)) {
        let known = "outcome: it may have taken effect; `show config` tells\n";
        report.stderr.push_str(known);
    }
    if let (Failure::Refused(problem), Output::Json) = (failure, output) {
        report.stdout = json(problem);
        report.stderr.clear();
    }
    report
}

fn exit(failure: &Failure, is_change: bool) -> Exit {
    match failure {
        Failure::NoAnswer { .. } | Failure::Foreign { .. } if !is_change => Exit::Unreachable,
        Failure::Client(_) | Failure::Unreachable { .. } => Exit::Unreachable,
        Failure::NoAnswer { .. } | Failure::Foreign { .. } => Exit::Unknown,
        Failure::Refused(problem) if problem.outcome != Outcome::NotRun => Exit::Unknown,
        Failure::Refused(problem) if problem.reason == Reason::Unconfirmed => Exit::Unconfirmed,
        Failure::Refused(_) => Exit::Refused,
    }
}

fn check(file: &Path, kind: Kind) -> Report {
    let name = file.display();
    match settings::check(file, kind) {
        Ok(()) => Report::success(format!("{name}: valid\n")),
        Err(error @ settings::Error::Read { .. }) => {
            Report::failure(Exit::Invalid, format!("error: {error}\n"))
        }
        Err(error) => {
            let mut text = format!("error: {name} is not valid\n");
            for line in error.to_string().lines() {
                text.push_str(&format!("  {line}\n"));
            }
            Report::failure(Exit::Invalid, text)
        }
    }
}

fn complete(shell: Shell) -> Report {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut cli::command(), cli::NAME, &mut script);
    Report::success(String::from_utf8_lossy(&script))
}

fn json(value: &impl Serialize) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    format!("{text}\n")
}
