//! The records of one append.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{
    Header,
    Record,
    Token, //
};

/// A record that waits or is being appended.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) token: Option<Token>,
    pub(super) record: Record,
    pub(super) body: Bytes,
}

/// A record with the header that it keeps through all retries.
#[derive(Clone, Debug)]
pub(super) struct Framed {
    pub(super) item: Item,
    pub(super) header: Header,
    pub(super) frame: Bytes,
}

/// The records of one append, with rising sequences.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    pub(super) records: VecDeque<Framed>,
    /// Whether an answer about these records was lost, so that a copy may land at any time.
    pub(super) doubt: bool,
}

impl Batch {
    /// Returns the sequence of the last record.
    pub(super) fn last(&self) -> Option<u64> {
        self.records.back().map(|framed| framed.header.sequence)
    }

    /// Returns the frames to append.
    pub(super) fn frames(&self) -> Vec<Bytes> {
        self.records.iter().map(|r| r.frame.clone()).collect()
    }

    /// Returns the tokens that wait, in order.
    pub(super) fn tokens(&self) -> Vec<Token> {
        self.records.iter().filter_map(|r| r.item.token).collect()
    }

    /// Returns whether the record behind `token` is in the batch.
    pub(super) fn holds(&self, token: Token) -> bool {
        self.records.iter().any(|r| r.item.token == Some(token))
    }

    /// Takes the record behind `token` out; its sequence stays unused.
    pub(super) fn remove(&mut self, token: Token) {
        self.records.retain(|r| r.item.token != Some(token));
    }

    /// Returns the number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Splits the second half off.
    pub(super) fn halve(&mut self) -> Self {
        Self {
            records: self.records.split_off(self.records.len() / 2),
            doubt: self.doubt,
        }
    }
}
