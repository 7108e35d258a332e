//! What a journal asks for, one call or all calls at a time.

use fulmarpier_coordination::{
    journal::{
        Effect,
        Journal,
        Token, //
    },
    platform::log, //
};
use fulmarpier_state::clock::Timestamp;

use crate::stream::Stream;

/// Carries out everything that is due now and returns the tokens committed.
pub(crate) fn serve(journal: &mut Journal, log: &mut Stream, now: Timestamp) -> Vec<Token> {
    let mut committed = Vec::new();
    while let Some(effect) = journal.poll(now) {
        match effect {
            Effect::Append(append) => journal.appended(log.append(&append.records), now),
            Effect::Read(read) => match log.read(&read, log.end()) {
                Ok(page) => journal.on_page(&page, now),
                Err(error) => journal.failed(&error, now),
            },
            Effect::Commit(tokens) => committed.extend(tokens),
            other => panic!("unexpected: {other:?}"),
        }
    }
    committed
}

/// Returns the append that is due now.
pub(crate) fn append(journal: &mut Journal, now: Timestamp) -> log::Append {
    match journal.poll(now) {
        Some(Effect::Append(append)) => append,
        other => panic!("expected an append, found {other:?}"),
    }
}

/// Returns the read that is due now.
pub(crate) fn read(journal: &mut Journal, now: Timestamp) -> log::Read {
    match journal.poll(now) {
        Some(Effect::Read(read)) => read,
        other => panic!("expected a read, found {other:?}"),
    }
}
