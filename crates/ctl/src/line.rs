//! The line that the words of a shell make.

use fulmarpier_protocol::query;

/// Joins the words of a shell to a line, and quotes again what the shell has unquoted.
///
/// A word with white space is the value of a pair or a word by itself. One that holds quotes is
/// taken to be quoted already.
pub(crate) fn join<'a>(verb: &str, words: impl Iterator<Item = &'a str>) -> String {
    let mut line = verb.to_owned();
    for word in words {
        line.push(' ');
        line.push_str(&requote(word));
    }
    line
}

fn requote(word: &str) -> String {
    let is_plain = !word.is_empty() && !word.contains(char::is_whitespace);
    if is_plain || word.contains('"') {
        return word.to_owned();
    }
    match word.split_once('=') {
        Some((key, value)) if !key.contains(char::is_whitespace) => {
            format!("{key}={}", query::quote(value))
        }
        _ => query::quote(word),
    }
}
