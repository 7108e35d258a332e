//! The options and words of the command line.

use std::path::PathBuf;

use clap::{
    Arg,
    ArgAction,
    Command,
    builder::EnumValueParser,
    value_parser, //
};
use clap_complete::Shell;
use fulmarpier_protocol::settings;

pub(crate) const NAME: &str = "fulmarpier-ctl";

const AFTER_HELP: &str = "\
Exit codes:
  0  answered or carried out
  1  refused; it had no effect
  2  the words or options can't be understood; nothing was sent
  3  no gate could be reached, or a question got no answer; nothing was changed
  4  the settings file is not valid
  5  the change needs the token that a dry run gives; it had no effect
  6  a change was sent, but no answer came; it may have taken effect

docs/GRAMMAR.md describes the whole language.";

/// A verb of the operators' language.
struct Verb {
    name: &'static str,
    about: &'static str,
    /// The forms of the words behind it.
    forms: &'static [&'static str],
}

const VERBS: [Verb; 10] = [
    Verb {
        name: "show",
        about: "Lists what is running, waiting or refused",
        forms: &[
            "jobs|tasks|workers|nodes|shards|services|teams|refusals|config|queue \
             [where FIELD eq|ne|lt|gt|le|ge|contains VALUE [and ...]] [limit N]",
        ],
    },
    Verb {
        name: "explain",
        about: "Says why a job waits or how it ended",
        forms: &["[job] ID"],
    },
    Verb {
        name: "set",
        about: "Makes or changes a team, a service, the weights, the policy or the limits",
        forms: &[
            "team NAME [cpu=64] [memory=128GiB] [accelerators=2] [weight=3] [queue=10000]",
            "service NAME [slots=8] [queue=200] [deadline=2s] [team=NAME]",
            "weight [waiting=0.6] [packing=0.3] [control=0.1]",
            "policy [preemption=on|off] [backfill=on|off] [spread=any|racks|data-centres] [unknown_teams=on|off]",
            "limit [body=8MiB] [tasks=10000] [queue=100000]",
        ],
    },
    Verb {
        name: "remove",
        about: "Removes a team or a service",
        forms: &["team NAME", "service NAME"],
    },
    Verb {
        name: "submit",
        about: "Submits a job",
        forms: &[
            "batch|gang team=NAME cpu=2 memory=1GiB program=NAME [tasks=3] [deadline=10m] ...",
            "service name=NAME team=NAME cpu=2 memory=1GiB program=NAME [slots=8] ...",
        ],
    },
    Verb {
        name: "cancel",
        about: "Cancels a job",
        forms: &["job ID"],
    },
    Verb {
        name: "drain",
        about: "Lets a worker or node run dry",
        forms: &["worker w17", "node n2"],
    },
    Verb {
        name: "undrain",
        about: "Takes a worker or node back into service",
        forms: &["worker w17", "node n2"],
    },
    Verb {
        name: "quarantine",
        about: "Keeps a suspect worker from new work",
        forms: &["worker w17"],
    },
    Verb {
        name: "release",
        about: "Ends a quarantine",
        forms: &["worker w17"],
    },
];

/// Returns the description of the command line.
pub fn command() -> Command {
    let base = Command::new(NAME)
        .about("Asks a fulmarpier cell what runs, waits or was refused, and commands it")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .disable_help_subcommand(true)
        .args(connection())
        .args(manner());
    base.subcommands(VERBS.iter().map(verb))
        .subcommand(check())
        .subcommand(completions())
}

fn connection() -> [Arg; 3] {
    [
        Arg::new("gate")
            .long("gate")
            .value_name("URL")
            .help("The gates to ask, in this order [env: FULMARPIER_GATE]")
            .action(ArgAction::Append)
            .value_delimiter(',')
            .global(true),
        Arg::new("token")
            .long("token")
            .value_name("TOKEN")
            .help("The operator's token; better given by the environment [env: FULMARPIER_TOKEN]")
            .global(true),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SPAN")
            .help("How long to wait for the answer")
            .default_value("30s")
            .global(true),
    ]
}

fn manner() -> [Arg; 3] {
    [
        Arg::new("output")
            .long("output")
            .short('o')
            .value_name("FORM")
            .help("The form of the answer")
            .value_parser(["table", "json"])
            .default_value("table")
            .global(true),
        Arg::new("dry-run")
            .long("dry-run")
            .short('n')
            .help("Says what a change would do, and does nothing")
            .action(ArgAction::SetTrue)
            .global(true),
        Arg::new("confirm")
            .long("confirm")
            .value_name("TOKEN")
            .help("The token of the dry run that is to be carried out")
            .conflicts_with("dry-run")
            .global(true),
    ]
}

fn verb(verb: &Verb) -> Command {
    let form = |words: &&str| format!("{NAME} {} {words}", verb.name);
    let usage: Vec<_> = verb.forms.iter().map(form).collect();
    let words = Arg::new("words")
        .value_name("WORDS")
        .help("The words of the command")
        .num_args(0..);
    Command::new(verb.name)
        .about(verb.about)
        .override_usage(usage.join("\n       "))
        .arg(words)
}

fn check() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .help("The settings file")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let kind = Arg::new("kind")
        .long("kind")
        .value_name("PROGRAM")
        .help("The program that the file is for; without it, the name of the file says so")
        .value_parser(settings::Kind::WORDS);
    Command::new("check")
        .about("Checks a settings file and lists all its mistakes")
        .arg(file)
        .arg(kind)
}

fn completions() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .help("The shell")
        .required(true)
        .value_parser(EnumValueParser::<Shell>::new());
    Command::new("completions")
        .about("Prints the completions for a shell")
        .arg(shell)
}
