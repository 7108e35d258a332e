//! A log in memory, with faults.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use bytes::Bytes;
use fulmarpier_coordination::platform::log::{
    Append,
    Error,
    Page,
    Read,
    Record, //
};
use fulmarpier_state::id::{
    NodeId,
    Offset, //
};

/// The streams, and what is wrong with the log at the moment.
#[derive(Default)]
pub(crate) struct Log {
    streams: BTreeMap<String, Vec<Bytes>>,
    earliest: BTreeMap<String, u64>,
    pub(crate) down: bool,
    pub(crate) denied: BTreeSet<NodeId>,
    pub(crate) appends: BTreeMap<NodeId, u64>,
}

impl Log {
    fn check(&self, node: NodeId) -> Result<(), Error> {
        if self.down || self.denied.contains(&node) {
            let reason = "the fault is on".to_owned();
            return Err(Error::Unavailable { reason });
        }
        Ok(())
    }

    pub(crate) fn append(&mut self, node: NodeId, append: Append) -> Result<Offset, Error> {
        self.check(node)?;
        *self.appends.entry(node).or_default() += 1;
        let stream = self.streams.entry(append.stream.0).or_default();
        let first = Offset(stream.len() as u64);
        stream.extend(append.records);
        Ok(first)
    }

    pub(crate) fn read(&self, node: NodeId, read: &Read) -> Result<Page, Error> {
        self.check(node)?;
        let earliest = self.earliest.get(&read.stream.0).copied().unwrap_or(0);
        if read.from.0 < earliest {
            let earliest = Offset(earliest);
            return Err(Error::Truncated { earliest });
        }
        let empty = Vec::new();
        let stream = self.streams.get(&read.stream.0).unwrap_or(&empty);
        let numbered = (0..).map(Offset).zip(stream);
        let wanted = numbered.skip(size(read.from.0)).take(size(read.max.into()));
        let records: Vec<Record> = wanted
            .map(|(offset, data)| Record {
                offset,
                data: data.clone(),
            })
            .collect();
        let next = records.last().map_or(read.from, |last| last.offset.next());
        let end = Offset(stream.len() as u64);
        Ok(Page { records, next, end })
    }

    /// Drops all records of a stream before its last `kept`.
    pub(crate) fn truncate(&mut self, stream: &str, kept: u64) {
        let end = self.streams.get(stream).map_or(0, |s| s.len() as u64);
        self.earliest
            .insert(stream.to_owned(), end.saturating_sub(kept));
    }
}

fn size(count: u64) -> usize {
    usize::try_from(count).unwrap()
}
