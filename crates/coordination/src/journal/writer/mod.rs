//! The writer of one shard's journal.

mod answer;
mod fill;

use std::{
    collections::VecDeque,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId,
        Offset, //
    },
};

use crate::{
    platform::log,
    recovery::Image,
    retry::Backoff, //
};

use super::{
    Effect,
    Fold,
    Part,
    Record,
    Refused,
    Settings,
    Token,
    Urgency,
    Withdrawn,
    batch::{
        Batch,
        Item, //
    },
    envelope::{
        HEADER_MAX,
        encode_record, //
    }, //
};

/// The most records of one page that is read back.
const PAGE: u32 = 1_000;

/// What the writer waits for.
#[derive(Clone, Debug)]
enum State {
    /// Nothing; a batch may leave.
    Idle,
    /// The batch is to be appended at this time.
    Append(Timestamp),
    /// An append is in flight.
    Appending,
    /// What stands in front of `expected` is to be read at this time.
    Read(Timestamp, Goal),
    /// A read is in flight.
    Reading(Goal),
    /// Another owner has taken the stream.
    Closed,
}

/// Until where to read back.
#[derive(Clone, Copy, Debug)]
enum Goal {
    /// The answer to an append was lost; the batch may be anywhere up to the end, or missing.
    End,
    /// The batch is known to be in front of this offset.
    Before(Offset),
}

/// The snapshot that is being written.
#[derive(Clone, Debug)]
struct Progress {
    at: Offset,
    taken: Timestamp,
    parts: VecDeque<Part>,
    last_sequence: Option<u64>,
}

/// The writer of one shard's journal.
///
/// It groups records, has one append in flight, settles lost answers by reading back, and commits a
/// batch only if no other owner's record stands in front of it. It folds its own records as they
/// are kept, so that a snapshot is exact by construction.
#[derive(Clone, Debug)]
pub struct Journal {
    stream: log::Stream,
    node: NodeId,
    epoch: Epoch,
    settings: Settings,
    fold: Fold,
    state: State,
    expected: Offset,
    sequence: u64,
    /// The last own sequence that is known to be kept and to count.
    landed: Option<u64>,
    queue: VecDeque<Item>,
    queued: usize,
    due: Option<Timestamp>,
    cap: usize,
    batch: Batch,
    held: Vec<Batch>,
    last_append: Option<Timestamp>,
    last_commit: Timestamp,
    down_since: Option<Timestamp>,
    effects: VecDeque<Effect>,
    backoff: Backoff,
    base: Option<Offset>,
    base_taken: Timestamp,
    bytes_behind: usize,
    records_behind: u64,
    progress: Option<Progress>,
    no_snapshot_before: Timestamp,
    appends: u64,
}

/// What a journal starts from, once the stream has been replayed.
#[derive(Clone, Debug)]
pub(super) struct Start {
    pub(super) stream: log::Stream,
    pub(super) node: NodeId,
    pub(super) epoch: Epoch,
    pub(super) settings: Settings,
    pub(super) fold: Fold,
    pub(super) expected: Offset,
    pub(super) base: Option<Offset>,
    pub(super) base_taken: Timestamp,
    pub(super) now: Timestamp,
    pub(super) seed: u64,
}

impl Journal {
    pub(super) fn new(start: Start) -> Self {
        Self {
            cap: start.settings.append,
            backoff: start.settings.backoff(start.seed),
            stream: start.stream,
            node: start.node,
            epoch: start.epoch,
            settings: start.settings,
            fold: start.fold,
            state: State::Idle,
            expected: start.expected,
            sequence: 1,
            landed: None,
            queue: VecDeque::new(),
            queued: 0,
            due: None,
            batch: Batch::default(),
            held: Vec::new(),
            last_append: None,
            last_commit: start.now,
            down_since: None,
            effects: VecDeque::new(),
            base: start.base,
            base_taken: start.base_taken,
            bytes_behind: 0,
            records_behind: 0,
            progress: None,
            no_snapshot_before: Timestamp::ZERO,
            appends: 0,
        }
    }

    /// Returns what the kept records add up to.
    pub const fn image(&self) -> &Image {
        self.fold.image()
    }

    /// Returns the epoch at which the journal writes.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the bytes that wait for the log.
    pub const fn pending(&self) -> usize {
        self.queued
    }

    /// Returns how many appends have left.
    pub const fn appends(&self) -> u64 {
        self.appends
    }

    /// Returns whether another owner has taken the stream.
    pub const fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed)
    }

    /// Returns when the log first failed since the last commit.
    ///
    /// No record that is on the log has a later time in its header.
    pub const fn down_since(&self) -> Option<Timestamp> {
        self.down_since
    }

    /// Sets the shortest span between two appends, when the node owns more or fewer shards.
    pub const fn set_pace(&mut self, pace: Duration) {
        self.settings.pace = pace;
    }

    /// Takes a record; its token comes back with [`Effect::Commit`] once it is kept.
    ///
    /// # Errors
    ///
    /// Refuses the record if too much waits already, if it is over the cap, or if the journal is
    /// closed.
    pub fn push(
        &mut self,
        record: Record,
        token: Option<Token>,
        urgency: Urgency,
        now: Timestamp,
    ) -> Result<(), Refused> {
        if self.is_closed() {
            return Err(Refused::Closed);
        }
        let body = encode_record(&record).map_err(|_| Refused::Malformed)?;
        let size = body.len() + HEADER_MAX;
        if size > self.settings.record {
            let limit = self.settings.record;
            return Err(Refused::Large { size, limit });
        }
        if self.queued + size > self.settings.pending {
            let pending = self.queued;
            let limit = self.settings.pending;
            return Err(Refused::Full { pending, limit });
        }
        self.queued += size;
        self.queue.push_back(Item {
            token,
            record,
            body,
        });
        let wait = match urgency {
            Urgency::Urgent => self.settings.group,
            Urgency::Lazy => self.settings.lazy,
        };
        let due = now + wait;
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
        Ok(())
    }

    /// Takes a record back if it has not left yet.
    ///
    /// A record that was part of an append stays unless each try is known to have had no effect.
    pub fn withdraw(&mut self, token: Token) -> Withdrawn {
        let wanted = Some(token);
        if let Some(place) = self.queue.iter().position(|item| item.token == wanted) {
            if let Some(item) = self.queue.remove(place) {
                self.queued -= item.body.len() + HEADER_MAX;
            }
            return Withdrawn::Removed;
        }
        if self.held.iter().any(|batch| batch.holds(token)) {
            return Withdrawn::Sent;
        }
        if !self.batch.holds(token) {
            return Withdrawn::Absent;
        }
        if self.batch.doubt || !matches!(self.state, State::Append(_)) {
            return Withdrawn::Sent;
        }
        self.batch.remove(token);
        Withdrawn::Removed
    }

    /// Returns the next thing to do, if there is one now.
    pub fn poll(&mut self, now: Timestamp) -> Option<Effect> {
        if let Some(effect) = self.effects.pop_front() {
            return Some(effect);
        }
        match self.state {
            State::Idle if self.ready_at(now).is_some_and(|at| at <= now) => {
                self.fill(now);
                self.send(now)
            }
            State::Append(at) if at <= now => self.send(now),
            State::Read(at, goal) if at <= now => {
                self.state = State::Reading(goal);
                Some(Effect::Read(self.read()))
            }
            _ => None,
        }
    }

    /// Returns when [`Self::poll`] next has something to do, if no answer comes before.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.effects.is_empty() {
            return Some(now);
        }
        match self.state {
            State::Idle => self.ready_at(now),
            State::Append(at) | State::Read(at, _) => Some(at),
            State::Appending | State::Reading(_) | State::Closed => None,
        }
    }

    /// Closes the journal because the node no longer owns the shard.
    ///
    /// The tokens come back with [`Effect::Fenced`].
    pub fn shut(&mut self) {
        if !self.is_closed() {
            self.close(None, None);
        }
    }

    fn send(&mut self, now: Timestamp) -> Option<Effect> {
        if self.is_closed() {
            return self.effects.pop_front();
        }
        if self.batch.len() == 0 {
            self.state = State::Idle;
            return None;
        }
        self.state = State::Appending;
        self.last_append = Some(now);
        self.appends += 1;
        Some(Effect::Append(log::Append {
            stream: self.stream.clone(),
            records: self.batch.frames(),
        }))
    }

    fn read(&self) -> log::Read {
        log::Read {
            stream: self.stream.clone(),
            from: self.expected,
            max: PAGE,
            wait: Duration::ZERO,
        }
    }
}
