//! The command line: words, options, answers, refusals and exit codes.

mod answers;
mod fake;
mod settings;
mod words;

use std::ffi::OsString;

use fulmarpier_ctl::{
    Environment,
    Report,
    run, //
};

const TOKEN: &str = "0123456789abcdef";

/// Runs the program with words that hold no white space.
async fn ctl(gate: &str, line: &str) -> Report {
    let words = line.split(' ').filter(|word| !word.is_empty());
    let words: Vec<_> = words.map(str::to_owned).collect();
    ctl_words(gate, &words).await
}

/// Runs the program with words as a shell gives them.
async fn ctl_words(gate: &str, words: &[String]) -> Report {
    let environment = Environment {
        gate: Some(gate.to_owned()),
        token: Some(TOKEN.to_owned()),
    };
    let words = words.iter().map(OsString::from);
    let words = std::iter::once("fulmarpier-ctl".into()).chain(words);
    run(words, environment).await
}

/// Lays out a report for a snapshot.
fn text(report: &Report) -> String {
    format!(
        "exit {}\n--- stdout\n{}--- stderr\n{}",
        report.exit.code(),
        report.stdout,
        report.stderr
    )
}
