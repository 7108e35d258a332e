//! What is to be done, checked before anything is sent.

use std::path::{
    Path,
    PathBuf, //
};

use clap::ArgMatches;
use clap_complete::Shell;
use fulmarpier_protocol::{
    query,
    settings::{
        Kind,
        UnknownKind,
        form::Mistake,
        value::{
            Token,
            Url, //
        }, //
    }, //
};
use fulmarpier_state::unit::{
    self,
    Span, //
};

use crate::{
    Environment,
    environment,
    line, //
};

/// The form of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// A table for people.
    Table,
    /// The JSON document as the gate sent it, laid out.
    Json,
}

/// One command for a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The gates to ask, in this order, at least one.
    pub gates: Vec<Url>,
    /// The operator's token.
    pub token: Token,
    /// The checked command.
    pub command: query::Command,
    /// Whether to say only what it would do.
    pub dry_run: bool,
    /// The token of the dry run that is to be carried out.
    pub confirm: Option<String>,
    /// How long to wait for the answer.
    pub timeout: Span,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a command to a gate.
    Ask(Box<Request>),
    /// Check a settings file.
    Check {
        /// The file.
        file: PathBuf,
        /// The program that the file is for.
        kind: Kind,
    },
    /// Print the completions for a shell.
    Complete(Shell),
}

/// A checked command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invocation {
    /// What is to be done.
    pub action: Action,
    /// The form of the answer.
    pub output: Output,
}

/// The ways in which a command line can be wrong beyond its form.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No gate is named.
    #[error("no gate is named; give --gate URL or set {}", environment::GATE)]
    GateMissing,
    /// The address of a gate is not acceptable.
    #[error("--gate: {0}")]
    Gate(Mistake),
    /// There is no token.
    #[error(
        "there is no operator's token; set {} or give --token TOKEN",
        environment::TOKEN
    )]
    TokenMissing,
    /// The token can't be one.
    #[error("--token: {0}")]
    Token(Mistake),
    /// The token of a dry run can't be one.
    #[error("--confirm: expected the token that a dry run gave, found `{found}`")]
    Confirm {
        /// The token as given.
        found: String,
    },
    /// The span is not acceptable.
    #[error("--timeout: {0}")]
    Timeout(unit::ParseError),
    /// A question changes nothing, so it can't be run dry or confirmed.
    #[error("--dry-run and --confirm go only with commands that change something")]
    Question,
    /// The words are no command of the language.
    #[error("{0}")]
    Query(query::Error),
    /// The name of the file does not say which program it is for.
    #[error("--kind: {0}")]
    Kind(UnknownKind),
}

impl Invocation {
    /// Checks a command line whose form is right already.
    ///
    /// # Errors
    ///
    /// Fails at the first option or word that is not acceptable.
    pub fn new(matches: &ArgMatches, environment: &Environment) -> Result<Self, Error> {
        let output = match text(matches, "output") {
            Some("json") => Output::Json,
            _ => Output::Table,
        };
        let action = match matches.subcommand() {
            Some(("check", matches)) => check(matches)?,
            Some(("completions", matches)) => Action::Complete(shell(matches)),
            Some((verb, matches)) => ask(verb, matches, environment)?,
            None => ask("", matches, environment)?,
        };
        Ok(Self { action, output })
    }
}

fn check(matches: &ArgMatches) -> Result<Action, Error> {
    let file = matches.get_one::<PathBuf>("file");
    let file = file.cloned().unwrap_or_default();
    let kind = match text(matches, "kind") {
        Some(word) => word.parse(),
        None => stem(&file).parse(),
    };
    let kind = kind.map_err(Error::Kind)?;
    Ok(Action::Check { file, kind })
}

fn shell(matches: &ArgMatches) -> Shell {
    let shell = matches.get_one::<Shell>("shell");
    shell.copied().unwrap_or(Shell::Bash)
}

fn ask(verb: &str, matches: &ArgMatches, environment: &Environment) -> Result<Action, Error> {
    let command = command(verb, matches)?;
    let dry_run = matches.get_flag("dry-run");
    let confirm = confirm(matches)?;
    if !command.is_change() && (dry_run || confirm.is_some()) {
        return Err(Error::Question);
    }
    let timeout = text(matches, "timeout").unwrap_or_default();
    Ok(Action::Ask(Box::new(Request {
        gates: gates(matches, environment)?,
        token: token(matches, environment)?,
        command,
        dry_run,
        confirm,
        timeout: timeout.parse().map_err(Error::Timeout)?,
    })))
}

fn command(verb: &str, matches: &ArgMatches) -> Result<query::Command, Error> {
    let words = matches.get_many::<String>("words").unwrap_or_default();
    let mut words: Vec<_> = words.map(String::as_str).collect();
    if verb == "explain" && words.len() == 1 && words != ["job"] {
        words.insert(0, "job");
    }
    let line = line::join(verb, words.into_iter());
    line.parse().map_err(Error::Query)
}

fn gates(matches: &ArgMatches, environment: &Environment) -> Result<Vec<Url>, Error> {
    let given = matches.get_many::<String>("gate").unwrap_or_default();
    let mut texts: Vec<_> = given.map(String::as_str).collect();
    if texts.is_empty() {
        let named = environment.gate.as_deref().unwrap_or_default();
        texts = named.split(',').filter(|text| !text.is_empty()).collect();
    }
    if texts.is_empty() {
        return Err(Error::GateMissing);
    }
    let urls = texts.into_iter().map(|text| text.trim().parse());
    urls.collect::<Result<_, _>>().map_err(Error::Gate)
}

fn token(matches: &ArgMatches, environment: &Environment) -> Result<Token, Error> {
    let token = text(matches, "token").or(environment.token.as_deref());
    let token = token.ok_or(Error::TokenMissing)?;
    token.parse().map_err(Error::Token)
}

fn confirm(matches: &ArgMatches) -> Result<Option<String>, Error> {
    let Some(token) = text(matches, "confirm") else {
        return Ok(None);
    };
    let is_accepted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if token.is_empty() || !token.chars().all(is_accepted) {
        let found = token.to_owned();
        return Err(Error::Confirm { found });
    }
    Ok(Some(token.to_owned()))
}

fn text<'a>(matches: &'a ArgMatches, id: &str) -> Option<&'a str> {
    matches.get_one::<String>(id).map(String::as_str)
}

fn stem(file: &Path) -> &str {
    let stem = file.file_stem();
    stem.and_then(|stem| stem.to_str()).unwrap_or_default()
}
