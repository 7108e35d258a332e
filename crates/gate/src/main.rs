//! `fulmarpier-gate`: faces callers and operators.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};
use fulmarpier_gate::{
    End,
    Gate, //
};
use fulmarpier_protocol::settings::{
    self,
    gate::Gate as Settings,
    value::Level as SettingsLevel, //
};
use fulmarpier_transport::{
    log::{
        Level,
        Log, //
    },
    signal,
};
use tokio::runtime::Builder;

/// The ways in which the program can fail.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The gate failed.
    #[error(transparent)]
    Gate(#[from] fulmarpier_gate::Error),
    /// The system refused a runtime or a signal handler.
    #[error("the system refused")]
    System(#[from] std::io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("fulmarpier-gate: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode, Error> {
    let matches = command().get_matches();
    let path = matches.get_one::<PathBuf>("settings");
    let path = path.expect("the option is required");
    let settings: Settings = settings::load(path)?;
    if matches.get_flag("check") {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<ExitCode, Error> {
    let log = Log::open("gate", level(settings.log_level));
    let gate = Gate::start(settings, log.logger().clone()).await?;
    println!("listening on {}", gate.address());
    let signal = signal::next().await?;
    slog::info!(log.logger(), "signal"; "signal" => signal.word());
    Ok(match gate.stop().await? {
        End::Whole => ExitCode::SUCCESS,
        End::Cut => ExitCode::FAILURE,
    })
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("The settings, as JSON")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let check = Arg::new("check")
        .long("check")
        .help("Checks the settings and exits")
        .action(ArgAction::SetTrue);
    Command::new("fulmarpier-gate")
        .about("Faces callers and operators of a fulmarpier cluster")
        .version(env!("CARGO_PKG_VERSION"))
        .args([settings, check])
}

const fn level(level: SettingsLevel) -> Level {
    match level {
        SettingsLevel::Error => Level::Error,
        SettingsLevel::Warning => Level::Warning,
        SettingsLevel::Info => Level::Info,
        SettingsLevel::Debug | SettingsLevel::Trace => Level::Debug,
    }
}
