//! The stand-ins as a process of their own.

use std::{
    io,
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};
use fulmarpier_protocol::settings::{
    self,
    Standin, //
};
use fulmarpier_standin::{
    Platform,
    Settings, //
};
use fulmarpier_transport::{
    log::Log,
    signal, //
};
use slog::info;
use tokio::runtime::Builder;

/// The ways in which the program can fail.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The settings can't be used.
    #[error("{0}")]
    Settings(#[from] settings::Error),
    /// The system refused something.
    #[error("the stand-ins can't run: {0}")]
    System(#[from] io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fulmarpier-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("fulmarpier-standin")
        .about("Stands in for the platform: log, VM list, workers and targets")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The settings, a JSON file")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Checks the settings and exits")
                .action(ArgAction::SetTrue),
        )
}

fn run() -> Result<(), Error> {
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("settings").expect("the option is required");
    let settings: Standin = settings::load(path)?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let log = Log::open("standin", settings.log_level);
    Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads.into())
        .enable_all()
        .build()?
        .block_on(serve(&settings, &log))?;
    Ok(())
}

async fn serve(settings: &Standin, log: &Log) -> io::Result<()> {
    let handle = Platform::start(Settings::from(settings)).await?;
    info!(log.logger(), "serving";
        "control" => %handle.control(),
        "workers" => settings.workers.count);
    let signal = signal::next().await?;
    let summary = handle.summary();
    info!(log.logger(), "stopping";
        "signal" => signal.word(),
        "started" => summary.started,
        "requests" => summary.requests,
        "violations" => summary.violations.total());
    Ok(())
}
