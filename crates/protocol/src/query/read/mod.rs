//! The second and third phase: from tokens to a checked command.

mod change;
mod cursor;
mod mark;
mod pairs;
mod show;
mod submit;

use fulmarpier_state::id::JobId;

use self::cursor::Cursor;
use super::{
    Command,
    Error,
    lexer, //
};

const VERBS: &[&str] = &[
    "show",
    "explain",
    "set",
    "remove",
    "submit",
    "cancel",
    "drain",
    "undrain",
    "quarantine",
    "release",
];

/// Reads one line.
pub(super) fn command(line: &str) -> Result<Command, Error> {
    let tokens = lexer::split(line)?;
    let mut cursor = Cursor::new(line, &tokens);
    let command = match cursor.word_of(VERBS)? {
        "show" => show::read(&mut cursor).map(Command::Show),
        "explain" => job(&mut cursor).map(Command::Explain),
        "set" => change::set(&mut cursor).map(Command::Change),
        "remove" => change::remove(&mut cursor).map(Command::Change),
        "submit" => submit::read(&mut cursor).map(Command::Submit),
        "cancel" => job(&mut cursor).map(Command::Cancel),
        verb => mark::read(&mut cursor, verb).map(Command::Change),
    }?;
    cursor.finish()?;
    Ok(command)
}

fn job(cursor: &mut Cursor<'_>) -> Result<JobId, Error> {
    cursor.word_of(&["job"])?;
    cursor.value("the id of a job")
}
