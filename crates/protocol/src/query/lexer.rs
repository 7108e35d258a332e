//! The first phase: from raw text to tokens.

use std::ops::Range;

use winnow::{
    LocatingSlice,
    ModalResult,
    Parser,
    ascii::multispace0,
    combinator::{
        alt,
        delimited,
        preceded,
        repeat, //
    },
    token::{
        any,
        none_of,
        take_while, //
    }, //
};

use super::{
    Error,
    Mistake,
    Operator,
    token::{
        Kind,
        Token,
        is_bare, //
    }, //
};

/// The longest line that is accepted, in bytes.
pub(super) const MAX_LINE: usize = 16 << 10;

type Input<'a> = LocatingSlice<&'a str>;

/// Splits a line into tokens.
pub(super) fn split(line: &str) -> Result<Vec<Token>, Error> {
    if line.len() > MAX_LINE {
        let mistake = Mistake::Long {
            len: line.len(),
            most: MAX_LINE,
        };
        return Err(Error::new("", 0..0, mistake));
    }
    let mut input = LocatingSlice::new(line);
    let parsed: ModalResult<Vec<Token>> =
        repeat(0.., preceded(multispace0, token)).parse_next(&mut input);
    let rest = input.trim_ascii();
    if let (Ok(tokens), true) = (parsed, rest.is_empty()) {
        return Ok(tokens);
    }
    let start = line.len() - input.trim_ascii_start().len();
    Err(stray(line, start))
}

/// Says why no token begins at a place.
fn stray(line: &str, start: usize) -> Error {
    let rest = &line[start..];
    let found = rest.chars().next().unwrap_or_default();
    if found == '"' {
        return Error::new(line, start..line.len(), Mistake::Unclosed);
    }
    let place = start..start + found.len_utf8().min(rest.len());
    Error::new(line, place, Mistake::Character { found })
}

fn token(input: &mut Input<'_>) -> ModalResult<Token> {
    alt((quoted, bare, operator))
        .with_span()
        .map(|(kind, place): (Kind, Range<usize>)| Token { kind, place })
        .parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> ModalResult<Kind> {
    let escaped = preceded('\\', any);
    let character = alt((escaped, none_of(['"', '\\'])));
    delimited('"', repeat(0.., character), '"')
        .map(Kind::Word)
        .parse_next(input)
}

fn bare(input: &mut Input<'_>) -> ModalResult<Kind> {
    take_while(1.., is_bare)
        .map(|word: &str| Kind::Word(word.to_owned()))
        .parse_next(input)
}

fn operator(input: &mut Input<'_>) -> ModalResult<Kind> {
    alt((
        "!=".value(Operator::NotEqual),
        "<=".value(Operator::AtMost),
        ">=".value(Operator::AtLeast),
        "=".value(Operator::Equal),
        "<".value(Operator::Below),
        ">".value(Operator::Above),
        "~".value(Operator::Contains),
    ))
    .map(Kind::Operator)
    .parse_next(input)
}
