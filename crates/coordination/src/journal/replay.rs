//! Reading a stream back into an image.

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        Offset, //
    },
};

use crate::{
    platform::log,
    recovery::Image, //
};

use super::{
    CodecError,
    Envelope,
    Fold,
    Header,
    Record,
    Standing,
    fold::standing,
    snapshot::{
        Assembly,
        Whole, //
    }, //
};

/// A record that could not be read, which a replay can't step over without losing something.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the record at {offset} can't be read: {cause}")]
pub struct ReplayError {
    /// Where the record is.
    pub offset: Offset,
    /// What is wrong with it.
    #[source]
    pub cause: CodecError,
}

/// A replay from the beginning of the stream, or from a base and the snapshot taken there.
///
/// A base is the offset at which a whole snapshot was taken; its parts stand behind it, among
/// other records. The replay keeps what it reads until the snapshot is whole and then applies what
/// came after the base.
#[derive(Clone, Debug)]
pub struct Replay {
    origin: Origin,
    next: Offset,
    records: u64,
}

/// What the replay starts from.
#[derive(Clone, Debug)]
enum Origin {
    /// Everything before is known.
    Known {
        fold: Fold,
        base: Option<(Offset, Timestamp)>,
    },
    /// The snapshot has not been found yet.
    Search(Search),
}

#[derive(Clone, Debug)]
struct Search {
    from: Offset,
    epoch: Epoch,
    sequence: Option<u64>,
    assembly: Assembly,
    tail: Vec<(Offset, Envelope)>,
}

/// What a replay came to.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) fold: Fold,
    /// The base to start the next replay from, and when its snapshot was taken.
    pub(super) base: Option<(Offset, Timestamp)>,
    /// Whether nothing that was ever kept is missing.
    pub(super) complete: bool,
}

impl Replay {
    /// Starts at the beginning of a stream that still has its first record, or has none.
    pub fn from_beginning() -> Self {
        let origin = Origin::Known {
            fold: Fold::default(),
            base: None,
        };
        Self::new(origin, Offset(0))
    }

    /// Starts at a base, or at the earliest offset that is still kept.
    pub fn from_base(base: Offset) -> Self {
        let search = Search {
            from: base,
            epoch: Epoch(0),
            sequence: None,
            assembly: Assembly::default(),
            tail: Vec::new(),
        };
        Self::new(Origin::Search(search), base)
    }

    const fn new(origin: Origin, next: Offset) -> Self {
        Self {
            origin,
            next,
            records: 0,
        }
    }

    /// Returns the offset to read next.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns how many records were read.
    pub const fn records(&self) -> u64 {
        self.records
    }

    /// Returns what the records add up to so far, once the snapshot is whole.
    pub const fn image(&self) -> Option<&Image> {
        match &self.origin {
            Origin::Known { fold, .. } => Some(fold.image()),
            Origin::Search(_) => None,
        }
    }

    /// Takes in the next record of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be read; the replay must not go on.
    pub fn on_record(&mut self, record: &log::Record) -> Result<(Header, Standing), ReplayError> {
        let wrong = |cause| ReplayError {
            offset: record.offset,
            cause,
        };
        let envelope = Envelope::decode(&record.data).map_err(wrong)?;
        let header = envelope.header;
        let standing = match &mut self.origin {
            Origin::Known { fold, .. } => fold.apply(&envelope),
            Origin::Search(search) => {
                let (standing, found) = search.push(record.offset, envelope).map_err(wrong)?;
                if let Some(whole) = found {
                    self.origin = search.settle(whole);
                }
                standing
            }
        };
        self.next = record.offset.next();
        self.records += 1;
        Ok((header, standing))
    }

    /// Notes that everything in front of `next` was read.
    pub(super) fn skip_to(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Ends the replay.
    pub(super) fn finish(self) -> Outcome {
        match self.origin {
            Origin::Known { fold, base } => Outcome {
                fold,
                base,
                complete: true,
            },
            Origin::Search(search) => Outcome {
                fold: search.without_snapshot(),
                base: None,
                complete: false,
            },
        }
    }
}

impl Search {
    fn push(
        &mut self,
        offset: Offset,
        envelope: Envelope,
    ) -> Result<(Standing, Option<Whole>), CodecError> {
        let standing = standing(self.epoch, self.sequence, &envelope.header);
        let mut found = None;
        if standing == Standing::Counted {
            self.epoch = envelope.header.epoch;
            self.sequence = Some(envelope.header.sequence);
            if let Record::Snapshot(part) = &envelope.record {
                found = self.assembly.push(part)?;
            }
        }
        self.tail.push((offset, envelope));
        Ok((standing, found.filter(|whole| whole.at >= self.from)))
    }

    /// Applies what came behind the snapshot's offset to its image.
    fn settle(&mut self, whole: Whole) -> Origin {
        let mut fold = Fold::new(whole.image);
        for (offset, envelope) in self.tail.drain(..) {
            if offset >= whole.at {
                fold.apply(&envelope);
            }
        }
        Origin::Known {
            fold,
            base: Some((whole.at, whole.taken)),
        }
    }

    /// Makes what can be made of a stream whose snapshot is no longer kept.
    fn without_snapshot(self) -> Fold {
        let mut fold = Fold::default();
        for (_, envelope) in &self.tail {
            fold.apply(envelope);
        }
        fold
    }
}
