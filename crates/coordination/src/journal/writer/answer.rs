//! What the answers of the log lead to.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        Offset, //
    },
};

use crate::platform::log;

use super::{
    super::{
        CodecError, Effect, Fence, Header, Record, Token,
        batch::{
            Framed,
            Item, //
        },
    },
    Goal,
    Journal,
    Progress,
    State, //
};

impl Journal {
    /// Takes the answer to an append: the offset of its first record.
    pub fn appended(&mut self, first: Offset, now: Timestamp) {
        if !matches!(self.state, State::Appending) {
            return;
        }
        self.backoff.reset();
        let behind = first.0.saturating_add(self.batch.len() as u64);
        if first == self.expected {
            self.expected = Offset(behind);
            self.commit(now);
        } else if first > self.expected {
            let goal = Goal::Before(Offset(behind));
            self.state = State::Read(now, goal);
        } else {
            // The stream is shorter than it was: the log broke its promise.
            self.close(None, None);
        }
    }

    /// Takes a page that was read back.
    pub fn on_page(&mut self, page: &log::Page, now: Timestamp) {
        let State::Reading(goal) = self.state else {
            return;
        };
        self.backoff.reset();
        for record in &page.records {
            let header = match Header::decode(&record.data) {
                Ok(header) => header,
                Err(cause) => return self.close(None, Some(cause)),
            };
            if header.epoch > self.epoch {
                return self.fence(header.epoch);
            }
            if header.epoch == self.epoch {
                self.landed = self.landed.max(Some(header.sequence));
            }
        }
        self.expected = self.expected.max(page.next);
        let whole = self.batch.last() <= self.landed;
        self.after_page(goal, whole, page, now);
    }

    pub(super) fn after_page(&mut self, goal: Goal, whole: bool, page: &log::Page, now: Timestamp) {
        if whole {
            return self.commit(now);
        }
        let wait = if page.records.is_empty() {
            self.backoff.wait()
        } else {
            Duration::ZERO
        };
        self.state = match goal {
            Goal::End if page.next >= page.end => State::Append(now),
            Goal::Before(offset) if page.next >= offset => return self.close(None, None),
            Goal::End | Goal::Before(_) => State::Read(now + wait, goal),
        };
    }

    /// Takes the failure of the call in flight.
    pub fn failed(&mut self, error: &log::Error, now: Timestamp) {
        if !matches!(error, log::Error::Refused { .. }) {
            self.down_since.get_or_insert(now);
        }
        let retry = now + self.backoff.wait();
        match (&self.state, error) {
            (State::Appending, log::Error::Unavailable { .. }) => {
                self.state = State::Append(retry);
            }
            (State::Appending, log::Error::Refused { .. }) => self.split(retry),
            (State::Appending, log::Error::Unknown | log::Error::Truncated { .. }) => {
                self.batch.doubt = true;
                self.state = State::Read(retry, Goal::End);
            }
            (State::Reading(_), log::Error::Truncated { .. }) => self.close(None, None),
            (State::Reading(goal), _) => {
                let goal = *goal;
                self.state = State::Read(retry, goal);
            }
            _ => {}
        }
    }

    /// The batch is kept and counts: folds it and gives its tokens back.
    pub(super) fn commit(&mut self, now: Timestamp) {
        self.state = State::Idle;
        self.last_commit = now;
        self.down_since = None;
        let batch = std::mem::take(&mut self.batch);
        for framed in &batch.records {
            self.fold.apply_parts(&framed.header, &framed.item.record);
            self.bytes_behind += framed.frame.len();
        }
        self.records_behind += batch.len() as u64;
        self.end_snapshot(batch.last());
        let tokens = batch.tokens();
        if !tokens.is_empty() {
            self.effects.push_back(Effect::Commit(tokens));
        }
    }

    /// Moves the base once the last part of a snapshot is kept.
    pub(super) fn end_snapshot(&mut self, sequence: Option<u64>) {
        let whole = |p: &mut Progress| p.last_sequence.is_some() && p.last_sequence <= sequence;
        let Some(progress) = self.progress.take_if(whole) else {
            return;
        };
        self.base = Some(progress.at);
        self.base_taken = progress.taken;
        self.bytes_behind = 0;
        self.records_behind = 0;
    }

    /// Halves a batch that the log refused; a single record that it refuses is given up.
    ///
    /// Each record keeps its sequence, because a copy of the whole batch may still land.
    pub(super) fn split(&mut self, retry: Timestamp) {
        if self.batch.len() > 1 {
            let rest = self.batch.halve();
            self.held.push(rest);
            self.state = State::Append(retry);
            return;
        }
        if self.batch.doubt {
            return self.close(None, None);
        }
        if let Some(framed) = self.batch.records.pop_back() {
            self.reject(&framed.item, retry);
        }
        self.state = State::Idle;
    }

    /// Gives up a record; a snapshot that lost a part is begun anew later.
    pub(super) fn reject(&mut self, item: &Item, retry: Timestamp) {
        if matches!(item.record, Record::Snapshot(_)) {
            self.progress = None;
            self.no_snapshot_before = retry + self.settings.retry_max;
        }
        if let Some(token) = item.token {
            self.effects.push_back(Effect::Rejected(token));
        }
    }

    /// Another owner's record was seen; what landed in front of it counts.
    ///
    /// An append that is still on its way can only land behind that record, where it is ignored.
    pub(super) fn fence(&mut self, epoch: Epoch) {
        let mut fence = Fence {
            epoch: Some(epoch),
            ..Fence::default()
        };
        for framed in self.sent() {
            let Some(token) = framed.item.token else {
                continue;
            };
            if Some(framed.header.sequence) <= self.landed {
                fence.kept.push(token);
            } else {
                fence.dropped.push(token);
            }
        }
        fence.dropped.extend(self.drain());
        self.closed(fence);
    }

    /// Takes out every record that was part of an append, in order.
    pub(super) fn sent(&mut self) -> Vec<Framed> {
        let first = std::mem::take(&mut self.batch);
        let rest = std::mem::take(&mut self.held);
        std::iter::once(first)
            .chain(rest.into_iter().rev())
            .flat_map(|batch| batch.records)
            .collect()
    }

    /// Closes without knowing what became of the batch.
    pub(super) fn close(&mut self, epoch: Option<Epoch>, cause: Option<CodecError>) {
        let unsettled = self.sent();
        let unsettled = unsettled.iter().filter_map(|r| r.item.token).collect();
        let dropped = self.drain();
        self.closed(Fence {
            epoch,
            kept: Vec::new(),
            dropped,
            unsettled,
            cause,
        });
    }

    pub(super) fn closed(&mut self, fence: Fence) {
        self.state = State::Closed;
        self.effects.push_back(Effect::Fenced(fence));
    }

    pub(super) fn drain(&mut self) -> Vec<Token> {
        self.queued = 0;
        self.due = None;
        self.queue.drain(..).filter_map(|item| item.token).collect()
    }
}
