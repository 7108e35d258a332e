//! Renewals, and the peers' vouches while they don't reach the log.

use fulmarpier_state::clock::Timestamp;

use super::{
    Held,
    Machine,
    Purpose,
    Record,
    Sent,
    Token,
    log,
    ownership, //
};
use crate::claim::{
    Holding,
    Standing, //
};

/// The most renewals on their way; more would only pile up in a log that hangs.
const MOST_IN_FLIGHT: usize = 8;

impl Machine {
    /// Appends the renewal that is due.
    pub(super) fn renew(&mut self, now: Timestamp) {
        if now < self.next_renewal {
            return;
        }
        self.next_renewal = now + self.timing.get_renewal();
        let window = self.timing.get_renewal() * 10;
        if self.health.in_flight(now.saturating_sub(window)) >= MOST_IN_FLIGHT {
            return;
        }
        let sequence = self.next_sequence();
        let standing = if self.leaving() {
            Standing::Leaving
        } else {
            Standing::Staying
        };
        let record = Record::Renew {
            holder: self.me,
            sequence,
            standing,
            base: self.register.next(),
            holdings: self.renewable(),
        };
        self.health.sent(sequence, now);
        self.append(&record, Sent::Renewal(sequence));
    }

    /// Lists the holdings that are not being handed over.
    fn renewable(&self) -> Vec<Holding> {
        let kept = |held: &&Held| !self.offers.contains_key(&held.holding().shard);
        let kept = self.tenures.values().filter(kept);
        kept.map(Held::holding).collect()
    }

    /// Extends the leases that the renewal `sequence` was found in the log to cover.
    ///
    /// The lease counts from when the renewal left, so that a slow log shortens it.
    pub(super) fn confirmed(&mut self, sequence: u64, held: &[Holding], now: Timestamp) {
        let Some(sent) = self.health.confirm(sequence, now, &self.timing) else {
            return;
        };
        let until = sent + self.timing.get_lease();
        for holding in held {
            if let Some(tenure) = self.tenures.get_mut(&holding.shard)
                && tenure.epoch() == holding.epoch
            {
                tenure.extend(sent, until);
            }
        }
    }

    /// Asks the peers to vouch while this node's renewals don't reach the log.
    pub(super) fn plead(&mut self, now: Timestamp) {
        let holdings = self.pleading(now);
        if holdings.is_empty() || now < self.next_plea {
            return;
        }
        self.next_plea = now + self.timing.get_retry();
        for (node, address) in self.witnesses(None, now) {
            let question = ownership::Question::Vouch {
                holdings: holdings.clone(),
            };
            self.ask(
                node,
                address,
                question,
                Purpose::Vouch(holdings.clone()),
                now,
            );
        }
    }

    /// Lists the holdings that need a vouch: those whose lease holds, but not for long.
    ///
    /// A lease that has lapsed is not revived by a vouch, since a claim may have won meanwhile that
    /// the voucher has not read either.
    fn pleading(&self, now: Timestamp) -> Vec<Holding> {
        if self.health.fresh(now, &self.timing).is_some() {
            return Vec::new();
        }
        let short = now + self.timing.get_renewal() * 2;
        let wanted = |held: &&Held| now < held.until() && held.until() <= short;
        let wanted = self.tenures.values().filter(wanted);
        wanted.map(Held::holding).collect()
    }

    /// Extends the leases that a peer vouched for, from when it was asked.
    pub(super) fn vouched(&mut self, holdings: &[Holding], sent: Timestamp, now: Timestamp) {
        if now < self.veto_until {
            return;
        }
        let until = sent + self.timing.get_lease();
        for holding in holdings {
            if let Some(tenure) = self.tenures.get_mut(&holding.shard)
                && tenure.epoch() == holding.epoch
                && tenure.until() > now
            {
                tenure.extend(sent, until);
            }
        }
    }

    /// Takes no vouch for a lease, since the log works for a peer and only this node is cut off.
    pub(super) fn cut_off(&mut self, peer_reached: Timestamp, now: Timestamp) {
        let grace = self.timing.get_renewal() * 2;
        let last = self.health.confirmed().unwrap_or(self.started);
        if peer_reached > last + grace {
            self.veto_until = now + self.timing.get_lease();
        }
    }

    /// Notes a failed append.
    pub(super) fn append_failed(&mut self, token: Token, error: &log::Error, now: Timestamp) {
        self.health.failed();
        let Some(sent) = self.sent.remove(&token) else {
            return;
        };
        let unknown = matches!(error, log::Error::Unknown);
        match sent {
            Sent::Release(shard) => self.release_failed(shard, unknown),
            // Reading on will tell.
            _ if unknown => {}
            Sent::Renewal(sequence) => self.health.dropped(sequence),
            Sent::Claim(shard) => self.withdraw(shard, now),
        }
    }
}
