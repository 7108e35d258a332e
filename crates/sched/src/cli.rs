//! The command line of `fulmarpier-sched`.

use std::path::PathBuf;

use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};

/// Returns the command line's description.
pub fn command() -> Command {
    Command::new("fulmarpier-sched")
        .about("Owns shards of workers and decides what runs where")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The JSON file with the settings")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        )
}
