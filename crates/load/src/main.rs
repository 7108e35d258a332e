//! `fulmarpier-load`: offers load at a fixed rate, measures it and checks the invariants.

use std::{
    fs,
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};
use fulmarpier_protocol::settings::{
    self,
    load::Load as Settings, //
};
use fulmarpier_state::unit::Span;
use tokio::runtime::Builder;

/// The ways in which the program can fail.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The run failed.
    #[error(transparent)]
    Run(#[from] fulmarpier_load::Error),
    /// The system refused a runtime or a file.
    #[error("the system refused")]
    System(#[from] std::io::Error),
    /// The report has no JSON form.
    #[error("the report can't be written as JSON")]
    Json(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("fulmarpier-load: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<ExitCode, Error> {
    let matches = command().get_matches();
    let path = matches.get_one::<PathBuf>("settings");
    let mut settings: Settings = settings::load(path.expect("the option is required"))?;
    if matches.get_flag("check") {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    apply(&matches, &mut settings);
    let file = settings.report.clone();
    let runtime = Builder::new_multi_thread()
        .worker_threads(usize::from(settings.traffic_threads))
        .enable_all()
        .build()?;
    let report = runtime.block_on(fulmarpier_load::run(settings, |line| eprintln!("{line}")))?;
    fs::write(file, serde_json::to_vec_pretty(&report)?)?;
    println!("{report}");
    Ok(match report.holds() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Puts what the command line says over the settings.
fn apply(matches: &ArgMatches, settings: &mut Settings) {
    if let Some(rate) = matches.get_one("rate") {
        settings.rate = *rate;
    }
    if let Some(duration) = matches.get_one("duration") {
        settings.duration = *duration;
    }
    if let Some(seed) = matches.get_one("seed") {
        settings.seed = *seed;
    }
    if let Some(report) = matches.get_one::<PathBuf>("report") {
        settings.report.clone_from(report);
    }
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
    let rate = Arg::new("rate")
        .long("rate")
        .value_name("N")
        .help("Calls a second, in place of the settings'")
        .value_parser(|text: &str| positive(text));
    let duration = Arg::new("duration")
        .long("duration")
        .value_name("SPAN")
        .help("How long calls are sent, in place of the settings'")
        .value_parser(|text: &str| text.parse::<Span>());
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .help("The seed, in place of the settings'")
        .value_parser(value_parser!(u64));
    let report = Arg::new("report")
        .long("report")
        .value_name("FILE")
        .help("Where the JSON report goes, in place of the settings'")
        .value_parser(value_parser!(PathBuf));
    Command::new("fulmarpier-load")
        .about("Offers load at a fixed rate, measures it and checks the invariants")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("The exit code is 1 where an invariant was violated, 2 where the run failed.")
        .args([settings, check, rate, duration, seed, report])
}

/// The text is not a positive number.
#[derive(Debug, thiserror::Error)]
#[error("expected a number above zero")]
struct RateError;

fn positive(text: &str) -> Result<f64, RateError> {
    let rate: f64 = text.parse().map_err(|_| RateError)?;
    if rate.is_finite() && rate > 0.0 {
        Ok(rate)
    } else {
        Err(RateError)
    }
}
