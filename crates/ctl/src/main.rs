//! `fulmarpier-ctl`: asks and commands from a shell.

use std::{
    env,
    io::{
        self,
        Write, //
    },
    process::ExitCode,
};

use fulmarpier_ctl::{
    Environment,
    Report,
    run, //
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let report = run(env::args_os(), Environment::of_process()).await;
    // A reader that has closed the pipe wants no more output, so a failed write is no failure.
    let _ = print(&report);
    report.exit.into()
}

fn print(report: &Report) -> io::Result<()> {
    io::stdout().write_all(report.stdout.as_bytes())?;
    io::stderr().write_all(report.stderr.as_bytes())
}
