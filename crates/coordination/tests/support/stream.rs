//! A small stream of the platform's log in memory.

use bytes::Bytes;
use fulmarpier_coordination::platform::log;
use fulmarpier_state::id::Offset;

/// One stream: its whole history, of which the log may have dropped the beginning.
#[derive(Default)]
pub(crate) struct Stream {
    pub(crate) records: Vec<Bytes>,
    pub(crate) earliest: usize,
}

impl Stream {
    pub(crate) fn name() -> log::Stream {
        log::Stream("journal.s1".to_owned())
    }

    pub(crate) fn append(&mut self, records: &[Bytes]) -> Offset {
        let first = self.end();
        self.records.extend_from_slice(records);
        Offset(first)
    }

    pub(crate) fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Reads as the log would have answered when it ended at `end`, a few records at a time.
    pub(crate) fn read(&self, read: &log::Read, end: u64) -> Result<log::Page, log::Error> {
        let earliest = Offset(self.earliest as u64);
        if read.from < earliest {
            return Err(log::Error::Truncated { earliest });
        }
        let next = end.min(read.from.0 + u64::from(read.max.min(7)));
        Ok(log::Page {
            records: self.records_between(read.from.0, next).collect(),
            next: Offset(next.max(read.from.0)),
            end: Offset(end),
        })
    }

    /// Returns the records from one offset up to another.
    pub(crate) fn records_between(&self, from: u64, to: u64) -> impl Iterator<Item = log::Record> {
        let take = to.saturating_sub(from);
        let records = self.records.iter().zip(0..);
        let within = records.skip_while(move |(_, offset)| *offset < from);
        within
            .take(usize::try_from(take).expect("a small stream"))
            .map(|(data, offset)| log::Record {
                offset: Offset(offset),
                data: data.clone(),
            })
    }
}
