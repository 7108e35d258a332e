//! What the store knows of a writer that numbers its appends to one topic.

use std::collections::VecDeque;

use fulmarpier_node::platform::Error;

/// How many of its last appends a writer may repeat.
const MAX_REPEATS: usize = 5;

/// The epoch and the last appends of a writer.
#[derive(Default)]
pub(crate) struct Writer {
    epoch: u32,
    /// The sequence number of the last append in this epoch.
    last: Option<u64>,
    /// The sequence numbers of the last appends, with their answers.
    answers: VecDeque<(u64, u64)>,
    /// The epochs that were set by appends without records, in order.
    fences: Vec<u32>,
}

/// What to do with an append.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Store its records.
    New,
    /// Store nothing, and answer as to the append that it repeats.
    Repeat(u64),
}

impl Writer {
    /// Checks an append that would end at an offset. An append without records sets the epoch, and has no sequence
    /// number.
    pub(crate) fn admit(
        &mut self,
        epoch: u32,
        sequence: u64,
        records: usize,
        end: u64,
    ) -> Result<Admission, Error> {
        if epoch < self.epoch {
            return Err(Error::Fenced);
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.last = None;
            self.answers.clear();
        }
        if records == 0 {
            self.fences.push(epoch);
            return Ok(Admission::New);
        }
        if let Some((_, first)) = self.answers.iter().find(|(known, _)| *known == sequence) {
            return Ok(Admission::Repeat(*first));
        }
        if let Some(last) = self.last.filter(|last| sequence != last + 1) {
            return Err(Error::Sequence { expected: last + 1 });
        }
        self.last = Some(sequence);
        self.answers.push_back((sequence, end));
        if self.answers.len() > MAX_REPEATS {
            self.answers.pop_front();
        }
        Ok(Admission::New)
    }

    /// Returns the epochs that takeovers have set, in order and without repeats of a call.
    pub(crate) fn takeovers(&self) -> Vec<u32> {
        self.fences.clone()
    }
}
