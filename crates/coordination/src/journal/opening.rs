//! Taking a stream: announce the epoch, then replay everything in front of the announcement.

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
    retry::Backoff, //
};

use super::{
    Effect,
    Envelope,
    Fence,
    Header,
    Journal,
    Record,
    Replay,
    ReplayError,
    Settings,
    writer::Start, //
};

/// The most records of one page of a replay.
const PAGE: u32 = 5_000;

/// How far an opening has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Asking for the ends of the stream.
    Locate {
        /// The earliest offset that may still be kept.
        earliest: Offset,
    },
    /// Reading the last record, which names the base.
    Peek {
        /// The earliest offset that is still kept.
        earliest: Offset,
        /// The offset of the last record.
        last: Offset,
    },
    /// Appending the announcement of the epoch.
    Announce,
    /// Reading from the base up to the announcement.
    Replay {
        /// The offset of the announcement.
        opened: Offset,
    },
    /// Done.
    Ready,
    /// Another owner has taken the stream, or a record can't be read.
    Closed,
}

/// A journal that is being taken over.
///
/// Once the announcement is kept, no record of an earlier owner counts any more, so a replay up to
/// it is final. An announcement may be repeated without harm; a lost answer needs no reading back.
#[derive(Clone, Debug)]
pub struct Opening {
    stream: log::Stream,
    node: NodeId,
    epoch: Epoch,
    settings: Settings,
    seed: u64,
    stage: Stage,
    flying: bool,
    wake: Timestamp,
    base: Option<Offset>,
    replay: Replay,
    backoff: Backoff,
    effects: VecDeque<Effect>,
    error: Option<ReplayError>,
}

/// What an opening came to.
#[derive(Clone, Debug)]
pub struct Opened {
    /// The writer; its image holds everything that counts.
    pub journal: Journal,
    /// Whether nothing that was ever kept is missing from the image.
    pub complete: bool,
    /// How many records were replayed.
    pub records: u64,
}

impl Opening {
    /// Starts to take a stream at an epoch; `seed` spreads the retries of several nodes.
    pub fn new(
        stream: log::Stream,
        node: NodeId,
        epoch: Epoch,
        settings: Settings,
        seed: u64,
    ) -> Self {
        Self {
            stream,
            node,
            epoch,
            backoff: settings.backoff(seed),
            settings,
            seed,
            stage: Stage::Locate {
                earliest: Offset(0),
            },
            flying: false,
            wake: Timestamp::ZERO,
            base: None,
            replay: Replay::from_beginning(),
            effects: VecDeque::new(),
            error: None,
        }
    }

    /// Returns how far the opening has come.
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the record that could not be read, where that closed the opening.
    pub const fn error(&self) -> Option<&ReplayError> {
        self.error.as_ref()
    }

    /// Returns the next thing to do, if there is one now.
    pub fn poll(&mut self, now: Timestamp) -> Option<Effect> {
        if let Some(effect) = self.effects.pop_front() {
            return Some(effect);
        }
        if self.flying || self.wake > now {
            return None;
        }
        let effect = match self.stage {
            Stage::Locate { earliest } => self.read(earliest, 1),
            Stage::Peek { last, .. } => self.read(last, 1),
            Stage::Announce => self.announce(now)?,
            Stage::Replay { .. } => self.read(self.replay.next(), PAGE),
            Stage::Ready | Stage::Closed => return None,
        };
        self.flying = true;
        Some(effect)
    }

    /// Returns when [`Self::poll`] next has something to do, if no answer comes before.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.effects.is_empty() {
            return Some(now);
        }
        match self.stage {
            Stage::Ready | Stage::Closed => None,
            _ => (!self.flying).then_some(self.wake),
        }
    }

    /// Takes the answer to the announcement: its offset.
    pub fn appended(&mut self, first: Offset, _now: Timestamp) {
        self.flying = false;
        self.backoff.reset();
        if self.stage == Stage::Announce {
            self.stage = Stage::Replay { opened: first };
        }
    }

    /// Takes a page that was read.
    pub fn on_page(&mut self, page: &log::Page, now: Timestamp) {
        self.flying = false;
        self.backoff.reset();
        match self.stage {
            Stage::Locate { earliest } => self.located(earliest, page),
            Stage::Peek { earliest, .. } => self.peeked(earliest, page),
            Stage::Replay { opened } => self.replayed(opened, page, now),
            Stage::Announce | Stage::Ready | Stage::Closed => {}
        }
    }

    /// Takes the failure of the call in flight.
    pub fn failed(&mut self, error: &log::Error, now: Timestamp) {
        self.flying = false;
        if let log::Error::Truncated { earliest } = error {
            self.truncated(*earliest);
        } else {
            self.wake = now + self.backoff.wait();
        }
    }

    /// Returns the journal once the opening is done, or the opening itself before that.
    ///
    /// # Errors
    ///
    /// Gives the opening back while it is not done.
    pub fn finish(self, now: Timestamp) -> Result<Opened, Box<Self>> {
        let Stage::Ready = self.stage else {
            return Err(Box::new(self));
        };
        let expected = self.replay.next();
        let records = self.replay.records();
        let outcome = self.replay.finish();
        let (base, base_taken) = match outcome.base {
            Some((base, taken)) => (Some(base), taken),
            None if records <= 1 => (None, now),
            None => (None, Timestamp::ZERO),
        };
        let journal = Journal::new(Start {
            stream: self.stream,
            node: self.node,
            epoch: self.epoch,
            settings: self.settings,
            fold: outcome.fold,
            expected,
            base,
            base_taken,
            now,
            seed: self.seed,
        });
        Ok(Opened {
            journal,
            complete: outcome.complete,
            records,
        })
    }

    fn located(&mut self, earliest: Offset, page: &log::Page) {
        if page.end > earliest {
            let last = Offset(page.end.0 - 1);
            self.stage = Stage::Peek { earliest, last };
            return;
        }
        if earliest > Offset(0) {
            self.replay = Replay::from_base(earliest);
        }
        self.stage = Stage::Announce;
    }

    /// Learns the base from the last record.
    fn peeked(&mut self, earliest: Offset, page: &log::Page) {
        let base = page
            .records
            .first()
            .and_then(|record| Header::decode(&record.data).ok())
            .and_then(|header| header.base);
        self.base = base;
        self.replay = match base {
            Some(base) => Replay::from_base(base.max(earliest)),
            None if earliest == Offset(0) => Replay::from_beginning(),
            None => Replay::from_base(earliest),
        };
        self.stage = Stage::Announce;
    }

    fn truncated(&mut self, earliest: Offset) {
        match self.stage {
            // The announcement itself is gone, and what stood behind it may name another owner.
            Stage::Replay { opened } if opened < earliest => self.close(Fence::default()),
            Stage::Replay { .. } => self.replay = Replay::from_base(earliest),
            Stage::Locate { .. } | Stage::Peek { .. } => self.stage = Stage::Locate { earliest },
            Stage::Announce | Stage::Ready | Stage::Closed => {}
        }
    }

    fn replayed(&mut self, opened: Offset, page: &log::Page, now: Timestamp) {
        for record in &page.records {
            if record.offset > opened {
                break;
            }
            let header = match self.replay.on_record(record) {
                Ok((header, _)) => header,
                Err(error) => return self.unreadable(error),
            };
            if header.epoch > self.epoch {
                return self.fenced(header.epoch);
            }
        }
        self.replay.skip_to(page.next.min(opened.next()));
        if self.replay.next() > opened {
            self.stage = Stage::Ready;
        } else if page.records.is_empty() {
            self.wake = now + self.backoff.wait();
        }
    }

    fn unreadable(&mut self, error: ReplayError) {
        let cause = Some(error.cause.clone());
        self.error = Some(error);
        self.close(Fence {
            cause,
            ..Fence::default()
        });
    }

    fn fenced(&mut self, epoch: Epoch) {
        self.close(Fence {
            epoch: Some(epoch),
            ..Fence::default()
        });
    }

    fn close(&mut self, fence: Fence) {
        self.stage = Stage::Closed;
        self.effects.push_back(Effect::Fenced(fence));
    }

    fn announce(&self, now: Timestamp) -> Option<Effect> {
        let envelope = Envelope {
            header: Header {
                node: self.node,
                epoch: self.epoch,
                sequence: 0,
                base: self.base,
                at: now,
            },
            record: Record::Opened {
                blind: self.settings.blind,
            },
        };
        let records = vec![envelope.encode().ok()?];
        Some(Effect::Append(log::Append {
            stream: self.stream.clone(),
            records,
        }))
    }

    fn read(&self, from: Offset, max: u32) -> Effect {
        Effect::Read(log::Read {
            stream: self.stream.clone(),
            from,
            max,
            wait: Duration::ZERO,
        })
    }
}
