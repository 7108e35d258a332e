//! The `key=value` pairs of a command.

use std::str::FromStr;

use super::cursor::{
    Cursor,
    Word, //
};
use crate::query::{
    Cause,
    Error,
    Mistake,
    Operator, //
};

/// One pair.
struct Pair<'a> {
    key: &'static str,
    value: Word<'a>,
}

/// The pairs of a command, with keys out of a closed set.
pub(super) struct Pairs<'a, 'c> {
    cursor: &'c Cursor<'a>,
    pairs: Vec<Pair<'a>>,
}

impl<'a, 'c> Pairs<'a, 'c> {
    /// Reads pairs up to the end of the line; only the keys in `many` may be repeated.
    pub(super) fn read(
        cursor: &'c mut Cursor<'a>,
        known: &'static [&'static str],
        many: &[&str],
    ) -> Result<Self, Error> {
        let mut pairs: Vec<Pair<'a>> = Vec::new();
        while !cursor.is_at_end() {
            let word = cursor.word("a pair of the form `key=value`")?;
            let key = cursor.known(&word, known)?;
            if !many.contains(&key) && pairs.iter().any(|pair| pair.key == key) {
                let key = key.to_owned();
                return Err(cursor.error(word.place, Mistake::Twice { key }));
            }
            let value = read_value(cursor, key)?;
            pairs.push(Pair { key, value });
        }
        Ok(Self { cursor, pairs })
    }

    /// Reads pairs of which there must be at least one.
    pub(super) fn read_some(
        cursor: &'c mut Cursor<'a>,
        known: &'static [&'static str],
    ) -> Result<Self, Error> {
        if cursor.is_at_end() {
            let keys = known.join("=…, ");
            return Err(cursor.missing(&format!("at least one of {keys}=…")));
        }
        Self::read(cursor, known, &[])
    }

    /// Returns the word of a key.
    pub(super) fn word(&self, key: &str) -> Option<&Word<'a>> {
        let pair = self.pairs.iter().find(|pair| pair.key == key)?;
        Some(&pair.value)
    }

    /// Returns the text of a key that must be there.
    pub(super) fn required(&self, key: &str) -> Result<String, Error> {
        let word = self.word(key);
        let word = word.ok_or_else(|| self.cursor.missing(&format!("{key}=…")))?;
        Ok(word.text.to_owned())
    }

    /// Returns the text of a key.
    pub(super) fn text(&self, key: &str) -> Option<String> {
        self.word(key).map(|word| word.text.to_owned())
    }

    /// Returns all texts of a key that may be repeated.
    pub(super) fn texts(&self, key: &str) -> Vec<String> {
        let of_key = self.pairs.iter().filter(|pair| pair.key == key);
        of_key.map(|pair| pair.value.text.to_owned()).collect()
    }

    /// Returns the checked value of a key.
    pub(super) fn value<T>(&self, key: &str) -> Result<Option<T>, Error>
    where
        T: FromStr,
        T::Err: Into<Cause>,
    {
        self.checked(key, str::parse)
    }

    /// Returns the whole number of a key.
    pub(super) fn number<T: FromStr>(&self, key: &str) -> Result<Option<T>, Error> {
        self.checked(key, |text| {
            text.parse().map_err(|_| Cause::Number {
                found: text.to_owned(),
            })
        })
    }

    /// Returns the value of a key that is one of two words, the first of which stands for yes.
    pub(super) fn switch(
        &self,
        key: &str,
        known: &'static [&'static str; 2],
    ) -> Result<Option<bool>, Error> {
        let Some(word) = self.word(key) else {
            return Ok(None);
        };
        let found = self.cursor.known(word, known)?;
        Ok(Some(found == known[0]))
    }

    /// Returns the value of a key as a function checks it.
    pub(super) fn checked<T, E: Into<Cause>>(
        &self,
        key: &str,
        check: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<Option<T>, Error> {
        let Some(word) = self.word(key) else {
            return Ok(None);
        };
        self.cursor.check(word, check(word.text)).map(Some)
    }

    /// Makes the error for something that is missing at the end of the line.
    pub(super) fn missing(&self, expected: &str) -> Error {
        self.cursor.missing(expected)
    }

    /// Makes the error for the value of a key, or for the end of the line where it has none.
    pub(super) fn error(&self, key: &str, cause: Cause) -> Error {
        match self.word(key) {
            Some(word) => self.cursor.error(word.place.clone(), Mistake::Value(cause)),
            None => self.cursor.missing(&format!("{key}=…: {cause}")),
        }
    }
}

fn read_value<'a>(cursor: &mut Cursor<'a>, key: &str) -> Result<Word<'a>, Error> {
    let expected = format!("`=` and a value behind `{key}`");
    let before = cursor.missing(&expected);
    if cursor.operator(&expected)? != Operator::Equal {
        return Err(before);
    }
    cursor.word(&format!("a value for `{key}`"))
}
