//! Looking for shards without an owner, and asking about silent owners.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::ShardId, //
};

use super::{
    Holder,
    Machine,
    Purpose,
    evidence::Verdict,
    ownership, //
};

impl Machine {
    /// Looks for shards without an owner, gathers evidence and claims.
    pub(super) fn take_over(&mut self, now: Timestamp) {
        let mut vacant = Vec::new();
        let mut suspects: BTreeMap<Option<Holder>, BTreeSet<ShardId>> = BTreeMap::new();
        if !self.leaving() && self.is_current(now) {
            for shard in self.foreign_shards() {
                match self.verdict(shard, now) {
                    Verdict::Owned => {}
                    Verdict::Suspect(owner) => {
                        suspects.entry(owner).or_default().insert(shard);
                    }
                    Verdict::Silent(owner) => {
                        suspects.entry(owner).or_default().insert(shard);
                        vacant.push(shard);
                    }
                    Verdict::Vacant => vacant.push(shard),
                }
            }
        }
        self.inquire(&suspects, now);
        self.due.retain(|shard, _| vacant.contains(shard));
        self.claim(&vacant, now);
    }

    /// Lists the shards of the map and of the log that this node does not hold.
    pub(super) fn foreign_shards(&self) -> BTreeSet<ShardId> {
        let named = self.register.owners().map(|(shard, _)| shard);
        let all = self.map.shards().chain(named);
        all.filter(|shard| !self.tenures.contains_key(shard))
            .collect()
    }

    /// Asks the silent owners, and once a lease has passed all that may have vouched for them.
    fn inquire(&mut self, suspects: &BTreeMap<Option<Holder>, BTreeSet<ShardId>>, now: Timestamp) {
        self.inquiries
            .retain(|owner, _| suspects.contains_key(owner));
        for (owner, shards) in suspects {
            let mut inquiry = self.inquiries.remove(owner).unwrap_or_default();
            inquiry.cover(shards);
            let shards = inquiry.shards();
            let due = shards.iter().any(|shard| self.is_silent(*shard, now));
            if let Some(holder) = owner
                && inquiry.ask(holder.node, now, &self.timing)
            {
                self.probe(holder, &shards, now);
            }
            let witnesses = self.witnesses(owner.map(|holder| holder.node), now);
            for (node, address) in witnesses.into_iter().filter(|_| due) {
                if inquiry.ask(node, now, &self.timing) {
                    let question = ownership::Question::Takeover {
                        owner: *owner,
                        shards: shards.clone(),
                    };
                    self.ask(node, address, question, Purpose::Inquire(*owner), now);
                }
            }
            self.inquiries.insert(*owner, inquiry);
        }
    }

    fn probe(&mut self, holder: &Holder, shards: &[ShardId], now: Timestamp) {
        let epoch = |shard: &ShardId| self.register.owner(*shard).map(|owner| owner.epoch);
        let epochs = shards
            .iter()
            .filter_map(|shard| Some((*shard, epoch(shard)?)));
        let purpose = Purpose::Probe(*holder, epochs.collect());
        let question = ownership::Question::Takeover {
            owner: Some(*holder),
            shards: shards.to_vec(),
        };
        self.ask(holder.node, holder.address, question, purpose, now);
    }
}
