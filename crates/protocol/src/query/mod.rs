//! The operators' query and command language; docs/GRAMMAR.md is its grammar.
//!
//! A line goes through three phases. The lexer splits the raw text into tokens, the reader matches
//! them against the shapes of the grammar, and the values are then checked into a [`Command`]. Each
//! mistake carries its place in the line and, where one is likely, the word that was meant.

mod command;
mod error;
mod filter;
mod lexer;
mod read;
mod token;

pub use self::{
    command::{
        Command,
        Show,
        Subject, //
    },
    error::{
        Cause,
        Error,
        Mistake, //
    },
    filter::{
        Condition,
        Filter,
        Operator,
        UnknownField, //
    },
    token::quote,
};
