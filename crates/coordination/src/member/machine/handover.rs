//! Giving shards up by consent: to leave, and to even out the loads.

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
};

use super::{
    Effect,
    Held,
    Machine,
    Offer,
    Record,
    Sent, //
};
use crate::member::Cause;

impl Machine {
    /// Releases what is to be released.
    pub(super) fn hand_over(&mut self, now: Timestamp) {
        self.repeat_offers(now);
        if self.leaving() {
            self.leave(now);
        } else {
            self.even_out(now);
        }
        let over = self.draining && self.tenures.is_empty() && self.bids.is_empty();
        if over && !self.drained {
            self.drained = true;
            self.effects.push(Effect::Drained);
        }
    }

    /// Sends releases again whose fate was not read within a lease.
    fn repeat_offers(&mut self, now: Timestamp) {
        let lease = self.timing.get_lease();
        let late = self
            .offers
            .iter()
            .filter(|(_, offer)| now.since(offer.sent) >= lease);
        for shard in late.map(|(shard, _)| *shard).collect::<Vec<_>>() {
            self.offer(shard, None, now);
        }
    }

    /// Hands every shard over, each to the node that should have it next.
    fn leave(&mut self, now: Timestamp) {
        if !self.is_current(now) {
            return;
        }
        let mut fleet = self.fleet(&[], now);
        for shard in self.releasable() {
            let successor = fleet.order(shard).first().copied();
            if let Some(node) = successor {
                fleet.load(node);
            }
            self.offer(shard, successor, now);
        }
    }

    /// Hands over one shard where this node has the most and another at least two fewer.
    ///
    /// One move at a time in the whole region: the loads are those of the log, and no other release
    /// may be open.
    fn even_out(&mut self, now: Timestamp) {
        if now < self.next_move || !self.is_current(now) {
            return;
        }
        let open = self
            .register
            .owners()
            .any(|(_, owner)| owner.released.is_some());
        if open || !self.bids.is_empty() || !self.offers.is_empty() {
            return;
        }
        let fleet = self.fleet(&[], now);
        let Some(step) = fleet.uneven().filter(|step| step.from == self.me.node) else {
            return;
        };
        let mine = self.releasable().into_iter();
        if let Some(shard) = fleet.fittest(step.to, mine) {
            self.next_move = now + self.timing.get_rebalance();
            self.offer(shard, Some(step.to), now);
        }
    }

    /// Keeps a shard whose release certainly had no effect.
    ///
    /// Where it may have had one, this release or an earlier one, the shard stays suspended until
    /// the log shows it, and the release is sent again.
    pub(super) fn release_failed(&mut self, shard: ShardId, unknown: bool) {
        let Some(offer) = self.offers.get_mut(&shard) else {
            return;
        };
        offer.uncertain |= unknown;
        if !offer.uncertain {
            self.keep(shard);
        }
    }

    /// Lists the shards whose recovery has ended and that are not on offer.
    fn releasable(&self) -> Vec<ShardId> {
        let ready = |(shard, held): &(&ShardId, &Held)| {
            held.is_recovered() && !self.offers.contains_key(*shard)
        };
        self.tenures
            .iter()
            .filter(ready)
            .map(|(shard, _)| *shard)
            .collect()
    }

    /// Suspends a shard, then releases it; nothing may be started once the release has left.
    fn offer(&mut self, shard: ShardId, to: Option<NodeId>, now: Timestamp) {
        self.suspend(shard, Cause::Handover);
        let Some(held) = self.tenures.get(&shard) else {
            return;
        };
        let record = Record::Release {
            holder: self.me,
            holding: held.holding(),
            to,
        };
        let uncertain = self.offers.contains_key(&shard);
        let sent = now;
        self.offers.insert(shard, Offer { sent, uncertain });
        self.append(&record, Sent::Release(shard));
    }
}
