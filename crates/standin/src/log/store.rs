//! Streams of records in memory, with retention.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use bytes::Bytes;
use fulmarpier_coordination::platform::log::{
    Page,
    Record, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::Offset, //
};
use serde::Serialize;

use crate::settings::Retention;

/// The cap on the bytes of one append.
const MAX_APPEND: usize = 1 << 20;
/// The cap on the bytes of one record.
const MAX_RECORD: usize = 256 << 10;
/// The most bytes in one page.
const MAX_PAGE: usize = 4 << 20;
/// The offset of the first record of a stream; none is zero, so that no epoch is.
const FIRST: u64 = 1;

/// The ways in which the store refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body holds no whole records.
    #[error("the body holds no whole records")]
    Malformed,
    /// The append or one of its records is too large.
    #[error("the append or one of its records is too large")]
    TooLarge,
    /// The offset is no longer kept.
    #[error("nothing is kept before {earliest}")]
    Truncated {
        /// The earliest offset kept.
        earliest: Offset,
    },
}

/// What one caller appended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Calls that took effect.
    pub appends: u64,
    /// Records in them.
    pub records: u64,
    /// Bytes of the records.
    pub bytes: u64,
}

/// All streams, and what each caller appended.
#[derive(Debug)]
pub struct Store {
    retention: Retention,
    streams: BTreeMap<String, Stream>,
    counts: BTreeMap<String, Count>,
}

#[derive(Debug)]
struct Stream {
    first: u64,
    records: VecDeque<(Timestamp, Bytes)>,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            first: FIRST,
            records: VecDeque::new(),
        }
    }
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_first(&mut self) {
        if self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    fn expire(&mut self, now: Timestamp, retention: Retention) {
        let oldest = now.saturating_sub(retention.age);
        while self.records.len() > retention.records
            || self.records.front().is_some_and(|(at, _)| *at < oldest)
        {
            self.drop_first();
        }
    }
}

impl Store {
    /// Makes an empty store.
    pub const fn new(retention: Retention) -> Self {
        Self {
            retention,
            streams: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Appends records and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Refuses an append or a record over the caps; nothing is appended then.
    pub fn append(
        &mut self,
        now: Timestamp,
        caller: &str,
        stream: &str,
        records: Vec<Bytes>,
    ) -> Result<Offset, Error> {
        let size: usize = records.iter().map(Bytes::len).sum();
        if size > MAX_APPEND || records.iter().any(|record| record.len() > MAX_RECORD) {
            return Err(Error::TooLarge);
        }
        let count = self.counts.entry(caller.to_owned()).or_default();
        count.appends += 1;
        count.records += records.len() as u64;
        count.bytes += size as u64;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let first = stream.end();
        stream
            .records
            .extend(records.into_iter().map(|record| (now, record)));
        stream.expire(now, self.retention);
        Ok(Offset(first))
    }

    /// Reads records from an offset on; from before the very first, it reads from the first.
    ///
    /// # Errors
    ///
    /// Names the earliest offset kept where records from the asked one on were dropped.
    pub fn read(
        &mut self,
        now: Timestamp,
        stream: &str,
        from: Offset,
        max: u32,
    ) -> Result<Page, Error> {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.expire(now, self.retention);
        let from = from.0.max(FIRST);
        if from < stream.first {
            return Err(Error::Truncated {
                earliest: Offset(stream.first),
            });
        }
        let skip = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records: Vec<Record> = (from..)
            .zip(stream.records.iter().skip(skip))
            .take(max as usize)
            .take_while(|(_, (_, data))| {
                bytes += data.len();
                bytes <= MAX_PAGE
            })
            .map(|(offset, (_, data))| Record {
                offset: Offset(offset),
                data: data.clone(),
            })
            .collect();
        Ok(Page {
            next: Offset(from + records.len() as u64),
            end: Offset(stream.end()),
            records,
        })
    }

    /// Drops the records before an offset.
    pub fn truncate(&mut self, stream: &str, before: Offset) {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        while stream.first < before.0 && !stream.records.is_empty() {
            stream.drop_first();
        }
    }

    /// Returns what each caller appended, by the name it gave.
    pub const fn counts(&self) -> &BTreeMap<String, Count> {
        &self.counts
    }
}
