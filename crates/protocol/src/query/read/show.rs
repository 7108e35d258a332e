//! Reads `show`.

use super::cursor::Cursor;
use crate::query::{
    Cause,
    Condition,
    Error,
    Filter,
    Operator,
    Show,
    Subject, //
};

pub(super) fn read(cursor: &mut Cursor<'_>) -> Result<Show, Error> {
    let word = cursor.word_of(Subject::WORDS)?;
    let place = Subject::ALL.into_iter().find(|known| known.word() == word);
    let subject = place.ok_or_else(|| cursor.missing("a subject"))?;
    let filter = filter(cursor)?;
    let limit = limit(cursor)?;
    Ok(Show {
        subject,
        filter,
        limit,
    })
}

fn filter(cursor: &mut Cursor<'_>) -> Result<Filter, Error> {
    let mut conditions = Vec::new();
    check_clause(cursor, &["where", "limit"])?;
    if cursor.skip("where") {
        conditions.push(condition(cursor)?);
        while cursor.skip("and") {
            conditions.push(condition(cursor)?);
        }
        check_clause(cursor, &["and", "limit"])?;
    }
    Ok(Filter { conditions })
}

fn condition(cursor: &mut Cursor<'_>) -> Result<Condition, Error> {
    let field = cursor.word("the name of a field")?;
    let operator = operator(cursor)?;
    let value = cursor.word("a value to compare with")?;
    Ok(Condition {
        field: field.text.to_owned(),
        operator,
        value: value.text.to_owned(),
    })
}

/// Reads a sign or the word for it.
fn operator(cursor: &mut Cursor<'_>) -> Result<Operator, Error> {
    if cursor.peek().is_none() {
        return cursor.operator("`=`, `!=`, `<`, `>`, `<=`, `>=`, `~` or the word for one");
    }
    let word = cursor.word_of(Operator::WORDS)?;
    let pairs = Operator::WORDS.iter().zip(Operator::ALL);
    let found = pairs.into_iter().find(|(known, _)| **known == word);
    found
        .map(|(_, operator)| operator)
        .ok_or_else(|| cursor.missing("an operator"))
}

fn limit(cursor: &mut Cursor<'_>) -> Result<Option<u32>, Error> {
    if !cursor.skip("limit") {
        return Ok(None);
    }
    let word = cursor.word("a count of rows")?;
    let number = word.text.parse().ok().filter(|count| *count > 0);
    let number = number.ok_or_else(|| Cause::Number {
        found: word.text.to_owned(),
    });
    cursor.check(&word, number).map(Some)
}

/// Refuses a word that begins no clause, so that a likely one can be suggested.
fn check_clause(cursor: &Cursor<'_>, known: &'static [&'static str]) -> Result<(), Error> {
    match cursor.peek() {
        Some(word) => cursor.known(&word, known).map(drop),
        None => Ok(()),
    }
}
