//! The whole history of a stream, and replays of it.

use bytes::Bytes;
use fulmarpier_coordination::journal::{
    Envelope,
    Fold,
    Replay, //
};
use fulmarpier_state::id::Offset;

use crate::stream::Stream;

impl Stream {
    /// Drops everything in front of an offset.
    pub(crate) fn truncate_to(&mut self, earliest: usize) {
        self.earliest = earliest;
    }

    /// Checks a replay from the latest base against a fold over the whole history.
    pub(crate) fn check_replay(&self) {
        let Some(base) = self.base() else {
            return;
        };
        let mut replay = Replay::from_base(base);
        for record in self.records_between(base.0, self.end()) {
            replay.on_record(&record).expect("a whole record");
        }
        let mut fold = Fold::default();
        for envelope in self.envelopes() {
            fold.apply(&envelope);
        }
        assert_eq!(replay.image(), Some(fold.image()));
    }

    /// Returns the latest base that a record names.
    pub(crate) fn base(&self) -> Option<Offset> {
        self.envelopes().filter_map(|e| e.header.base).max()
    }

    /// Returns the whole history.
    pub(crate) fn envelopes(&self) -> impl Iterator<Item = Envelope> {
        let decode = |data: &Bytes| Envelope::decode(data).expect("a whole record");
        self.records.iter().map(decode)
    }
}
