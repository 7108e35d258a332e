//! The sched process.

use std::{
    error::Error,
    path::PathBuf,
    process::ExitCode, //
};

use fulmarpier_protocol::settings;
use fulmarpier_sched::{
    cli,
    process::Sched, //
};
use fulmarpier_transport::{
    log::{
        Log, //
    },
    signal, //
};

/// The exit code for settings that are refused.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(BAD_SETTINGS);
    };
    let file: settings::sched::Sched = match settings::load(path) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    match run(&file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(file: &settings::sched::Sched) -> Result<(), Box<dyn Error>> {
    let log = Log::open("sched", file.log_level);
    let sched = Sched::start(file, log.logger())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        signal::next().await?;
        sched.leave().await;
        Ok(())
    })
}
