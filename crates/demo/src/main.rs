//! Brings the whole path up in one process and runs the demonstration to its end.

use std::{
    error::Error,
    process::ExitCode, //
};

use clap::{
    Arg,
    Command,
    value_parser, //
};
use fulmarpier_demo::{
    Cluster,
    Size,
    script, //
};
use fulmarpier_transport::log::{
    Level,
    Log, //
};

fn command() -> Command {
    Command::new("fulmarpier-demo")
        .about("Runs the whole path on the embedded stand-ins")
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .help("Nodes, each with a gate and a sched")
                .value_parser(value_parser!(u16).range(2..=9))
                .default_value("3"),
        )
        .arg(
            Arg::new("workers")
                .long("workers")
                .help("Workers, eight to a rack")
                .value_parser(value_parser!(u32).range(24..=400))
                .default_value("24"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .help("The least level of the log lines on standard error")
                .value_parser(["error", "warning", "info", "debug"])
                .default_value("warning"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let size = Size {
        nodes: matches.get_one("nodes").copied().unwrap_or(3),
        workers: matches.get_one("workers").copied().unwrap_or(24),
    };
    let level = match matches.get_one::<String>("log").map(String::as_str) {
        Some("error") => Level::Error,
        Some("info") => Level::Info,
        Some("debug") => Level::Debug,
        _ => Level::Warning,
    };
    match run(size, level) {
        Ok(()) => {
            println!("\nThe demonstration came to its end.");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("failed: {error}");
            let mut cause = error.source();
            while let Some(inner) = cause {
                eprintln!("  because: {inner}");
                cause = inner.source();
            }
            ExitCode::FAILURE
        }
    }
}

fn run(size: Size, level: Level) -> Result<(), Box<dyn Error>> {
    let log = Log::open("demo", level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let cluster = Cluster::start(size, log.logger()).await?;
        script::run(cluster).await?;
        Ok(())
    })
}
