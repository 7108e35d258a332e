//! Reading the claims stream.

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Offset,
        ShardId, //
    },
};

use super::{
    Machine,
    Record,
    Register,
    Token,
    log, //
};
use crate::{
    claim::{
        Outcome,
        Owner, //
    },
    member::Cause,
};

impl Machine {
    /// Folds a page of the stream.
    pub(super) fn page(&mut self, token: Token, page: &log::Page, now: Timestamp) {
        let Some((_, sent)) = self.reader.sent.take_if(|(sent, _)| *sent == token) else {
            return;
        };
        for kept in &page.records {
            if kept.offset < self.register.next() {
                continue;
            }
            match Record::decode(&kept.data) {
                Ok(record) => self.record(kept.offset, &record, now),
                Err(_) => {
                    self.malformed += 1;
                    self.register.skip_to(kept.offset.next());
                }
            }
        }
        if page.next >= page.end && page.next >= self.register.next() {
            self.reader.current = Some(sent);
        }
    }

    /// Plans the next read after a failed one, or begins anew where records were missed.
    pub(super) fn read_failed(&mut self, token: Token, error: &log::Error, now: Timestamp) {
        if self
            .reader
            .sent
            .take_if(|(sent, _)| *sent == token)
            .is_none()
        {
            return;
        }
        match error {
            log::Error::Truncated { earliest } if *earliest > self.register.next() => {
                self.begin_at(*earliest, now);
            }
            _ => {
                self.health.failed();
                self.reader.retry_at = now + self.timing.get_retry();
            }
        }
    }

    /// Begins anew at `earliest`, since the records in front of it were dropped unread.
    ///
    /// A claim of another node may have been among them, so all tenures end.
    fn begin_at(&mut self, earliest: Offset, now: Timestamp) {
        for holding in self.my_shards().collect::<Vec<_>>() {
            self.stop(holding.shard, Cause::Lost);
        }
        self.bids.clear();
        self.due.clear();
        self.inquiries.clear();
        self.register = Register::since(earliest);
        self.reader.current = None;
        self.watch.restart(now);
    }

    fn record(&mut self, offset: Offset, record: &Record, now: Timestamp) {
        let holder = *record.holder();
        let outcome = self.register.fold(offset, record);
        self.watch.node_seen(holder.node, now);
        let mine = holder == self.me;
        if let Record::Claim { shard, .. } = record {
            self.due.remove(shard);
        }
        match (outcome, record) {
            (Outcome::Won { shard, owner, .. }, Record::Claim { sequence, .. }) => {
                self.watch.owner_seen(shard, now);
                if mine {
                    self.claim_won(&owner, *sequence, shard);
                } else {
                    self.stop(shard, Cause::Lost);
                }
            }
            (Outcome::Lost { shard }, Record::Claim { sequence, .. }) if mine => {
                self.claim_lost(*sequence, shard);
            }
            (Outcome::Renewed { held }, Record::Renew { sequence, .. }) => {
                for holding in &held {
                    self.watch.owner_seen(holding.shard, now);
                }
                if mine {
                    self.confirmed(*sequence, &held, now);
                }
            }
            (Outcome::Released { shard }, _) => {
                self.watch.owner_seen(shard, now);
                if mine {
                    self.released(shard);
                }
            }
            _ => {}
        }
    }

    fn claim_won(&mut self, owner: &Owner, sequence: u64, shard: ShardId) {
        let bid = self.bids.remove(&shard);
        let bid = bid.filter(|bid| bid.sequence == sequence);
        // The send time of a claim that was given up is not known; the next renewal gives a lease.
        let until = bid.map_or(Timestamp::ZERO, |bid| bid.sent + self.timing.get_lease());
        self.won(shard, owner.epoch, until);
    }

    fn claim_lost(&mut self, sequence: u64, shard: ShardId) {
        let ours = self
            .bids
            .get(&shard)
            .is_some_and(|bid| bid.sequence == sequence);
        if ours {
            self.bids.remove(&shard);
        }
    }
}
