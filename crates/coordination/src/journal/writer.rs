//! The writer of one shard's journal.

use std::{
    collections::VecDeque,
    fmt,
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
    recovery::Image, //
};

use super::{
    CodecError, Effect, Fence, Fold, Header, Part, Record, Settings,
    backoff::Backoff,
    batch::{
        Batch,
        Framed,
        Item, //
    },
    envelope::{
        HEADER_MAX,
        encode_record, //
    },
    snapshot,
};

/// The most records of one page that is read back.
const PAGE: u32 = 1_000;

/// A handle that the runtime chooses, given back once the record is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How long a record may wait for company.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Something waits for the record to be kept.
    Urgent,
    /// Nothing waits for it.
    Lazy,
}

/// Why a record was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Too much waits for the log already.
    #[error("the journal holds {pending} bytes that wait for the log, at most {limit}")]
    Full {
        /// What waits, in bytes.
        pending: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The record is over the log's cap.
    #[error("a record of {size} bytes, at most {limit}")]
    Large {
        /// The size of the record, in bytes.
        size: usize,
        /// The cap, in bytes.
        limit: usize,
    },
    /// The record can't be encoded.
    #[error("the record can't be encoded")]
    Malformed,
    /// Another owner has taken the stream.
    #[error("the journal is closed")]
    Closed,
}

/// What came of taking a record back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// It never left; it will not be kept.
    Removed,
    /// It may be kept already; the commit or the fence will tell.
    Sent,
    /// No record with this token waits.
    Absent,
}

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
            backoff: Backoff::new(start.seed),
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

    fn after_page(&mut self, goal: Goal, whole: bool, page: &log::Page, now: Timestamp) {
        if whole {
            return self.commit(now);
        }
        let wait = if page.records.is_empty() {
            self.backoff.next(&self.settings)
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
        let retry = now + self.backoff.next(&self.settings);
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

    /// Closes the journal because the node no longer owns the shard.
    ///
    /// The tokens come back with [`Effect::Fenced`].
    pub fn shut(&mut self) {
        if !self.is_closed() {
            self.close(None, None);
        }
    }

    /// Returns when the batch that waits may leave.
    fn ready_at(&self, now: Timestamp) -> Option<Timestamp> {
        let pace = self.last_append.map_or(now, |at| at + self.settings.pace);
        if self.queued >= self.cap || !self.held.is_empty() {
            return Some(now);
        }
        let snapshot = match &self.progress {
            Some(progress) => (!progress.parts.is_empty()).then_some(pace),
            None => Some(self.snapshot_at(now)),
        };
        let queue = self.due.filter(|_| !self.queue.is_empty());
        let alive = Some(self.last_commit + self.settings.heartbeat);
        let first = [queue, snapshot, alive].into_iter().flatten().min();
        first.map(|at| at.max(pace))
    }

    /// Returns when the next snapshot is due.
    fn snapshot_at(&self, now: Timestamp) -> Timestamp {
        let large = self.bytes_behind >= self.settings.snapshot_bytes;
        let many = self.records_behind >= self.settings.snapshot_records;
        let at = if large || many {
            now
        } else {
            self.base_taken + self.settings.snapshot_age()
        };
        at.max(self.no_snapshot_before)
    }

    /// Returns whether a snapshot should be begun.
    pub fn due(&self, now: Timestamp) -> bool {
        self.progress.is_none() && self.snapshot_at(now) <= now
    }

    /// Moves records from the queue into the batch, and a part of the snapshot behind them.
    fn fill(&mut self, now: Timestamp) {
        if let Some(batch) = self.held.pop() {
            self.batch = batch;
            return;
        }
        if self.due(now) {
            self.begin_snapshot(now);
        }
        let mut size = 0;
        while let Some(item) = self.queue.front() {
            let more = item.body.len() + HEADER_MAX;
            if size > 0 && size + more > self.cap {
                break;
            }
            let Some(item) = self.queue.pop_front() else {
                break;
            };
            self.queued -= more;
            size += more;
            self.enclose(item, now);
        }
        self.due = (!self.queue.is_empty()).then_some(now);
        self.add_part(size, now);
        if self.batch.len() == 0 && self.last_commit + self.settings.heartbeat <= now {
            self.add(Record::Alive, now);
        }
    }

    /// Gives a record its place in the sequence; it keeps this through all retries.
    fn enclose(&mut self, item: Item, now: Timestamp) {
        let header = Header {
            node: self.node,
            epoch: self.epoch,
            sequence: self.sequence,
            base: self.base,
            at: self.down_since.unwrap_or(now),
        };
        match header.frame(&item.body) {
            Ok(frame) => {
                self.sequence += 1;
                self.batch.records.push_back(Framed {
                    item,
                    header,
                    frame,
                });
            }
            // A header always encodes; were it otherwise, the record is refused and not lost.
            Err(_) => self.reject(&item, now),
        }
    }

    fn begin_snapshot(&mut self, now: Timestamp) {
        let size = self.settings.record / 2;
        let parts = match snapshot::cut(self.fold.image(), self.expected, now, size) {
            Ok(parts) => parts.into(),
            Err(cause) => return self.close(None, Some(cause)),
        };
        self.progress = Some(Progress {
            at: self.expected,
            taken: now,
            parts,
            last_sequence: None,
        });
    }

    /// Adds one part of the snapshot where the append has room for it.
    fn add_part(&mut self, size: usize, now: Timestamp) {
        let room = self.cap.saturating_sub(size);
        let Some(progress) = &mut self.progress else {
            return;
        };
        let fits = |part: &Part| size == 0 || part.data.len() + 2 * HEADER_MAX <= room;
        let Some(part) = progress.parts.pop_front_if(|part| fits(part)) else {
            return;
        };
        if progress.parts.is_empty() {
            progress.last_sequence = Some(self.sequence);
        }
        self.add(Record::Snapshot(part), now);
    }

    /// Adds a record of the journal's own to the batch.
    fn add(&mut self, record: Record, now: Timestamp) {
        let Ok(body) = encode_record(&record) else {
            return;
        };
        let item = Item {
            token: None,
            record,
            body,
        };
        self.enclose(item, now);
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

    /// The batch is kept and counts: folds it and gives its tokens back.
    fn commit(&mut self, now: Timestamp) {
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
    fn end_snapshot(&mut self, sequence: Option<u64>) {
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
    fn split(&mut self, retry: Timestamp) {
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
    fn reject(&mut self, item: &Item, retry: Timestamp) {
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
    fn fence(&mut self, epoch: Epoch) {
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
    fn sent(&mut self) -> Vec<Framed> {
        let first = std::mem::take(&mut self.batch);
        let rest = std::mem::take(&mut self.held);
        std::iter::once(first)
            .chain(rest.into_iter().rev())
            .flat_map(|batch| batch.records)
            .collect()
    }

    /// Closes without knowing what became of the batch.
    fn close(&mut self, epoch: Option<Epoch>, cause: Option<CodecError>) {
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

    fn closed(&mut self, fence: Fence) {
        self.state = State::Closed;
        self.effects.push_back(Effect::Fenced(fence));
    }

    fn drain(&mut self) -> Vec<super::Token> {
        self.queued = 0;
        self.due = None;
        self.queue.drain(..).filter_map(|item| item.token).collect()
    }
}
