//! What goes into the next append, and when.

use fulmarpier_state::clock::Timestamp;

use super::{
    super::{
        Header, Part, Record,
        batch::{
            Framed,
            Item, //
        },
        envelope::{
            HEADER_MAX,
            encode_record, //
        },
        snapshot,
    },
    Journal,
    Progress, //
};

impl Journal {
    /// Returns when the batch that waits may leave.
    pub(super) fn ready_at(&self, now: Timestamp) -> Option<Timestamp> {
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
    pub(super) fn snapshot_at(&self, now: Timestamp) -> Timestamp {
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
    pub(super) fn fill(&mut self, now: Timestamp) {
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
    pub(super) fn enclose(&mut self, item: Item, now: Timestamp) {
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

    pub(super) fn begin_snapshot(&mut self, now: Timestamp) {
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
    pub(super) fn add_part(&mut self, size: usize, now: Timestamp) {
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
    pub(super) fn add(&mut self, record: Record, now: Timestamp) {
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
}
