//! Stores entries of any size as records that the store takes.
//!
//! An entry that is too large for one record is stored as pieces under keys of their own, and as a head under the key
//! of the entry that names the pieces. Keys of pieces are never used again. The pieces come before the head, and those
//! of the head that it replaces are removed after it, so the newest head names pieces that are there, wherever the
//! writer stops.

use std::collections::BTreeMap;

use bytes::Bytes;
use fulmarpier_cell::{
    id::Epoch,
    record::{
        self,
        Entry, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    pack::pack,
    platform::{
        Fault,
        Record,
        Rejected,
        StoreLimits, //
    },
};

/// The first byte of the value of a head. An entry begins with the number of its variant, which is far lower.
const HEAD_MARK: u8 = 0xff;
/// The prefix of the keys of pieces.
const PIECE_PREFIX: &str = "p/";

/// Names the pieces of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// The epoch in which the entry was written.
    epoch: Epoch,
    /// The number of the entry among those of the epoch that were split.
    number: u64,
    /// The number of pieces.
    count: u32,
}

impl Head {
    /// Returns the keys of the pieces, in order.
    fn keys(&self) -> impl Iterator<Item = String> + use<> {
        let (epoch, number) = (self.epoch, self.number);
        (0..self.count).map(move |index| piece_key(epoch, number, index))
    }
}

fn piece_key(epoch: Epoch, number: u64, index: u32) -> String {
    format!("{PIECE_PREFIX}{epoch}.{number}.{index}")
}

/// A record of the owner, decoded by itself.
pub(super) enum Stored {
    /// A whole entry.
    Entry(Entry),
    /// The head of the entry with this key.
    Head(String, Head),
    /// A piece with its key.
    Piece(String, Bytes),
}

impl Stored {
    /// Returns whether a key is one of an owner's records.
    pub(super) fn is_key(key: &str) -> bool {
        Entry::is_key(key) || key.starts_with(PIECE_PREFIX)
    }

    /// Decodes a record; `None` if it removes its key.
    ///
    /// # Errors
    ///
    /// Fails if the owner hasn't written the record.
    pub(super) fn read(record: &Record) -> Result<Option<Self>, Fault> {
        let Some(value) = &record.value else {
            return Ok(None);
        };
        let key = record.key.clone();
        if key.starts_with(PIECE_PREFIX) {
            return Ok(Some(Self::Piece(key, value.clone())));
        }
        if let Some((&HEAD_MARK, head)) = value.split_first() {
            let head = record::decode(head).map_err(|_| Fault::Structure)?;
            return Ok(Some(Self::Head(key, head)));
        }
        read_entry(&key, value).map(Self::Entry).map(Some)
    }
}

fn read_entry(key: &str, value: &[u8]) -> Result<Entry, Fault> {
    let entry: Entry = record::decode(value).map_err(|_| Fault::Structure)?;
    match entry.key() == key {
        true => Ok(entry),
        false => Err(Fault::Id),
    }
}

/// What a new owner has read of the former owners' records.
#[derive(Default)]
pub(super) struct Contents {
    /// The entries.
    pub(super) entries: Vec<Entry>,
    /// Heads whose pieces don't make up their entry.
    pub(super) rejected: Vec<Rejected>,
    /// What is stored in pieces, for the new owner's own records.
    pub(super) pieces: Pieces,
}

impl Contents {
    /// Puts the records of the owner together.
    pub(super) fn assemble(stored: Vec<Stored>) -> Self {
        let mut contents = Self::default();
        let mut heads = Vec::new();
        let mut pieces = BTreeMap::new();
        for record in stored {
            match record {
                Stored::Entry(entry) => contents.entries.push(entry),
                Stored::Head(key, head) => heads.push((key, head)),
                Stored::Piece(key, value) => drop(pieces.insert(key, value)),
            }
        }
        for (key, head) in heads {
            let parts: Option<Vec<Bytes>> = head.keys().map(|key| pieces.remove(&key)).collect();
            let entry = parts.ok_or(Fault::Structure);
            let entry = entry.and_then(|parts| read_entry(&key, &parts.concat()));
            match entry {
                Ok(entry) => contents.entries.push(entry),
                Err(fault) => contents.rejected.push(Rejected {
                    key: Some(key.clone()),
                    offset: None,
                    fault,
                }),
            }
            contents.pieces.heads.insert(key, head);
        }
        // A writer that stopped before the head, or before it removed the former pieces, has left these.
        contents.pieces.orphans = pieces.into_keys().collect();
        contents
    }
}

/// The pieces in the store.
#[derive(Default)]
pub(super) struct Pieces {
    heads: BTreeMap<String, Head>,
    /// The keys of pieces that no head names.
    orphans: Vec<String>,
}

/// Turns entries into records of one epoch.
pub(super) struct Splitter {
    epoch: Epoch,
    limits: StoreLimits,
    pieces: Pieces,
    /// The number of the last entry that was split.
    last_number: u64,
}

impl Splitter {
    /// Creates the splitter of an ownership, which knows what former owners have stored in pieces.
    pub(super) const fn new(epoch: Epoch, limits: StoreLimits, pieces: Pieces) -> Self {
        Self {
            epoch,
            limits,
            pieces,
            last_number: 0,
        }
    }

    /// Returns the records of a group of entries as calls that are to be made in this order. Each call and each of its
    /// records is as small as the store requires.
    ///
    /// # Errors
    ///
    /// Fails if an entry can't be encoded.
    pub(super) fn calls(&mut self, entries: &[Entry]) -> Result<Vec<Vec<Record>>, record::Error> {
        let orphans = std::mem::take(&mut self.pieces.orphans);
        let mut records: Vec<Record> = orphans.into_iter().map(Record::removal).collect();
        for entry in entries {
            self.add_entry(entry, &mut records)?;
        }
        Ok(pack(records, self.limits.call, Record::framed_len))
    }

    fn add_entry(&mut self, entry: &Entry, records: &mut Vec<Record>) -> Result<(), record::Error> {
        let key = entry.key();
        let former = self.pieces.heads.remove(&key);
        let value: Option<Bytes> = match entry.is_removal() {
            true => None,
            false => Some(record::encode(entry)?.into()),
        };
        let whole = Record { key, value };
        match &whole.value {
            Some(value) if whole.stored_len() > self.limits.record => {
                let head = self.add_pieces(value, records);
                records.push(Record {
                    key: whole.key.clone(),
                    value: Some([vec![HEAD_MARK], record::encode(&head)?].concat().into()),
                });
                self.pieces.heads.insert(whole.key, head);
            }
            _ => records.push(whole),
        }
        let former = former.iter().flat_map(Head::keys);
        records.extend(former.map(Record::removal));
        Ok(())
    }

    /// Adds the pieces of a value; returns their head.
    fn add_pieces(&mut self, value: &Bytes, records: &mut Vec<Record>) -> Head {
        self.last_number += 1;
        let longest_key = piece_key(self.epoch, self.last_number, u32::MAX);
        let overhead = Record::removal(longest_key).stored_len();
        let size = self.limits.record.saturating_sub(overhead).max(1);
        let pieces = value.chunks(size);
        let head = Head {
            epoch: self.epoch,
            number: self.last_number,
            count: u32::try_from(pieces.len()).unwrap_or(u32::MAX),
        };
        records.extend(head.keys().zip(pieces).map(|(key, piece)| Record {
            key,
            value: Some(value.slice_ref(piece)),
        }));
        head
    }
}
