//! A place among the tokens of a line.

use std::{
    ops::Range,
    str::FromStr, //
};

use crate::{
    query::{
        Cause,
        Error,
        Mistake,
        Operator,
        error,
        token::{
            Kind,
            Token, //
        }, //
    },
    suggest, //
};

/// A word and its place in the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    pub(super) place: Range<usize>,
}

/// A place among the tokens of a line.
pub(super) struct Cursor<'a> {
    line: &'a str,
    rest: &'a [Token],
}

impl<'a> Cursor<'a> {
    pub(super) const fn new(line: &'a str, rest: &'a [Token]) -> Self {
        Self { line, rest }
    }

    /// Takes a word out of a closed set.
    pub(super) fn word_of(
        &mut self,
        known: &'static [&'static str],
    ) -> Result<&'static str, Error> {
        let word = self.word(&error::one_of(known))?;
        self.known(&word, known)
    }

    /// Finds a word in a closed set.
    pub(super) fn known(
        &self,
        word: &Word<'_>,
        known: &'static [&'static str],
    ) -> Result<&'static str, Error> {
        let found = known.iter().copied().find(|known| *known == word.text);
        found.ok_or_else(|| {
            let mistake = Mistake::Word {
                found: word.text.to_owned(),
                known,
                suggestion: suggest::nearest(word.text, known.iter().copied()),
            };
            self.error(word.place.clone(), mistake)
        })
    }

    /// Takes any word.
    pub(super) fn word(&mut self, expected: &str) -> Result<Word<'a>, Error> {
        if let Some((first, rest)) = self.rest.split_first()
            && let Kind::Word(text) = &first.kind
        {
            self.rest = rest;
            let place = first.place.clone();
            return Ok(Word { text, place });
        }
        Err(self.missing(expected))
    }

    /// Takes a word and checks it as a value.
    pub(super) fn value<T>(&mut self, expected: &str) -> Result<T, Error>
    where
        T: FromStr,
        T::Err: Into<Cause>,
    {
        let word = self.word(expected)?;
        self.check(&word, word.text.parse())
    }

    /// Gives the result, or its failure with the place of the word.
    pub(super) fn check<T, E: Into<Cause>>(
        &self,
        word: &Word<'_>,
        result: Result<T, E>,
    ) -> Result<T, Error> {
        result.map_err(|cause| self.error(word.place.clone(), Mistake::Value(cause.into())))
    }

    /// Takes an operator.
    pub(super) fn operator(&mut self, expected: &str) -> Result<Operator, Error> {
        if let Some((first, rest)) = self.rest.split_first()
            && let Kind::Operator(operator) = first.kind
        {
            self.rest = rest;
            return Ok(operator);
        }
        Err(self.missing(expected))
    }

    /// Returns the word that comes next, if one does, without taking it.
    pub(super) fn peek(&self) -> Option<Word<'a>> {
        let token = self.rest.first()?;
        let Kind::Word(text) = &token.kind else {
            return None;
        };
        let place = token.place.clone();
        Some(Word { text, place })
    }

    /// Takes a given word if it comes next.
    pub(super) fn skip(&mut self, text: &str) -> bool {
        let found = self.peek().is_some_and(|word| word.text == text);
        if found {
            self.rest = &self.rest[1..];
        }
        found
    }

    /// Checks that nothing is left.
    pub(super) fn finish(&self) -> Result<(), Error> {
        match self.rest.first() {
            Some(token) => Err(self.error(token.place.clone(), Mistake::Extra)),
            None => Ok(()),
        }
    }

    pub(super) const fn is_at_end(&self) -> bool {
        self.rest.is_empty()
    }

    /// Makes the error for something that is missing here.
    pub(super) fn missing(&self, expected: &str) -> Error {
        let expected = expected.to_owned();
        let end = self.line.trim_end().len();
        let next = self.rest.first().map(|token| token.place.clone());
        let place = next.unwrap_or_else(|| match end {
            0 => 0..0,
            _ => end + 1..end + 1,
        });
        self.error(place, Mistake::Missing { expected })
    }

    pub(super) fn error(&self, place: Range<usize>, mistake: Mistake) -> Error {
        Error::new(self.line, place, mistake)
    }
}
