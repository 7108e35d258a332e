//! Which records count, and what they add up to.

use fulmarpier_state::id::Epoch;

use crate::recovery::Image;

use super::{
    Envelope,
    Header,
    Record, //
};

/// Whether a record counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It counts.
    Counted,
    /// Its writer had been replaced before; it never counts.
    Replaced,
    /// A record of the same epoch and sequence came before; it counts once.
    Duplicate,
}

/// The fold over a stream: an image, and the position of the writer that it follows.
///
/// Two folds that saw the same records in the same order are equal, whoever made them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fold {
    image: Image,
}

impl Fold {
    /// Makes a fold that goes on from an image.
    pub const fn new(image: Image) -> Self {
        Self { image }
    }

    /// Returns what the records add up to so far.
    pub const fn image(&self) -> &Image {
        &self.image
    }

    /// Returns the image and drops the fold.
    pub fn into_image(self) -> Image {
        self.image
    }

    /// Returns whether a record with this header would count now.
    pub fn standing(&self, header: &Header) -> Standing {
        standing(self.image.epoch, self.image.sequence, header)
    }

    /// Takes in the next record of the stream.
    pub fn apply(&mut self, envelope: &Envelope) -> Standing {
        self.apply_parts(&envelope.header, &envelope.record)
    }

    /// Takes in the next record of the stream, given as header and record.
    pub fn apply_parts(&mut self, header: &Header, record: &Record) -> Standing {
        let standing = self.standing(header);
        if standing == Standing::Counted {
            self.image.epoch = header.epoch;
            self.image.sequence = Some(header.sequence);
            self.image.apply(header, record);
        }
        standing
    }
}

/// Judges a header by the highest epoch seen and the last sequence counted in it.
pub(super) fn standing(epoch: Epoch, sequence: Option<u64>, header: &Header) -> Standing {
    if header.epoch < epoch {
        return Standing::Replaced;
    }
    let known = header.epoch == epoch && sequence.is_some_and(|last| header.sequence <= last);
    if known {
        Standing::Duplicate
    } else {
        Standing::Counted
    }
}
