//! Snapshots: an image in parts that fit the log's records.

use bytes::Bytes;
use fulmarpier_state::{
    clock::Timestamp,
    id::Offset, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::recovery::Image;

use super::CodecError;

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The image holds every record in front of this offset; it also names the snapshot.
    pub at: Offset,
    /// When the image was taken, by its writer's clock.
    pub taken: Timestamp,
    /// The place of this part, from zero.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The bytes of this part.
    pub data: Bytes,
}

/// Cuts an encoded image into parts of at most `size` bytes.
pub(super) fn cut(
    image: &Image,
    at: Offset,
    taken: Timestamp,
    size: usize,
) -> Result<Vec<Part>, CodecError> {
    let data = Bytes::from(postcard::to_stdvec(image)?);
    let parts = u32::try_from(data.len().div_ceil(size)).unwrap_or(u32::MAX);
    let part = |part: u32| {
        let start = size * part as usize;
        let end = data.len().min(start + size);
        let data = data.slice(start..end);
        Part {
            at,
            taken,
            part,
            parts,
            data,
        }
    };
    Ok((0..parts).map(part).collect())
}

/// Collects the parts of one snapshot until it is whole.
#[derive(Clone, Debug, Default)]
pub(super) struct Assembly {
    at: Option<Offset>,
    next: u32,
    data: Vec<u8>,
}

/// A snapshot that is whole.
#[derive(Clone, Debug)]
pub(super) struct Whole {
    pub(super) at: Offset,
    pub(super) taken: Timestamp,
    pub(super) image: Image,
}

impl Assembly {
    /// Takes in a part; returns the snapshot once it is whole.
    ///
    /// Parts come in order; one out of order belongs to a snapshot whose writer was replaced, and
    /// the collection starts anew.
    pub(super) fn push(&mut self, part: &Part) -> Result<Option<Whole>, CodecError> {
        if part.part == 0 {
            self.at = Some(part.at);
            self.next = 0;
            self.data.clear();
        }
        if self.at != Some(part.at) || part.part != self.next {
            self.at = None;
            return Ok(None);
        }
        self.data.extend_from_slice(&part.data);
        self.next += 1;
        if self.next < part.parts {
            return Ok(None);
        }
        self.at = None;
        let image = postcard::from_bytes(&self.data)?;
        self.data = Vec::new();
        Ok(Some(Whole {
            at: part.at,
            taken: part.taken,
            image,
        }))
    }
}
