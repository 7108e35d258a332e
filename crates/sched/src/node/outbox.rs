//! Where the parts of a node put what is to be done, and what is to be counted.

use std::collections::BTreeMap;

use fulmarpier_coordination::platform::log;
use fulmarpier_protocol::wire;
use fulmarpier_state::{
    alias::HashMap,
    refusal::{
        Reason,
        Refusal, //
    },
};

use super::{
    CallId,
    Note,
    Output,
    Purpose, //
};

/// What happened since the counters were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Refusals by reason.
    pub refused: HashMap<Reason, u64>,
    /// Retries by reason.
    pub retried: HashMap<&'static str, u64>,
    /// Tasks that were ordered to start.
    pub starts: u64,
    /// Appends that left.
    pub appends: u64,
    /// Messages to workers.
    pub syncs: u64,
    /// Decisions on non-idempotent requests that were granted.
    pub grants: u64,
}

/// What is to be done, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    outputs: Vec<Output>,
    counts: Counts,
    refused: BTreeMap<Reason, u64>,
}

impl Outbox {
    /// Adds something to be done.
    pub fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Takes everything that was added.
    pub fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes what was counted.
    pub fn counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Asks for an append.
    pub(crate) fn append(&mut self, purpose: Purpose, append: log::Append) {
        self.counts.appends += 1;
        self.push(Output::Append { purpose, append });
    }

    /// Asks for a read.
    pub(crate) fn read(&mut self, purpose: Purpose, read: log::Read) {
        self.push(Output::Read { purpose, read });
    }

    /// Answers a call.
    pub(crate) fn answer(&mut self, id: CallId, answer: wire::Answer) {
        let answer = Box::new(answer);
        self.push(Output::Answer { id, answer });
    }

    /// Notes an event.
    pub(crate) fn note(&mut self, note: Note) {
        self.push(Output::Note(note));
    }

    /// Counts a refusal and passes it on.
    pub(crate) fn refuse(&mut self, refusal: Refusal) -> Refusal {
        *self.counts.refused.entry(refusal.reason).or_default() += 1;
        *self.refused.entry(refusal.reason).or_default() += 1;
        refusal
    }

    /// Returns all refusals of this life of the process, by reason.
    pub(crate) fn refusals(&self) -> Vec<(Reason, u64)> {
        self.refused
            .iter()
            .map(|(reason, n)| (*reason, *n))
            .collect()
    }

    /// Counts a retry.
    pub(crate) fn retry(&mut self, reason: &'static str) {
        *self.counts.retried.entry(reason).or_default() += 1;
    }

    /// Returns the counters, to add to them.
    pub(crate) const fn counts_mut(&mut self) -> &mut Counts {
        &mut self.counts
    }
}
