//! By what evidence a shard counts as having no owner any more.

use std::collections::BTreeMap;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
};

use super::{
    Holder,
    Machine,
    Owner,
    SocketAddr, //
};

/// What is known of a shard that this node does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Its owner is not to be disturbed.
    Owned,
    /// Its owner is silent, or not known; the evidence is not complete.
    Suspect(Option<Holder>),
    /// The same, and the evidence is complete for as long as the answers last.
    Silent(Option<Holder>),
    /// Its owner can start nothing there any more, or it never had one.
    Vacant,
}

impl Machine {
    /// Judges a shard that this node does not hold.
    pub(super) fn verdict(&self, shard: ShardId, now: Timestamp) -> Verdict {
        match self.register.owner(shard) {
            // With the whole stream read, no owner means that there never was one.
            None if self.register.is_whole() => Verdict::Vacant,
            None if self.is_silent(shard, now) => self.silent(shard, None, now),
            None => Verdict::Owned,
            Some(owner) => self.verdict_on(shard, owner, now),
        }
    }

    fn verdict_on(&self, shard: ShardId, owner: &Owner, now: Timestamp) -> Verdict {
        let silence = now.since(self.watch.last_seen(shard));
        if let Some(successor) = owner.released {
            let named = successor.is_some_and(|node| node != self.me.node);
            let reserved = named && silence < self.timing.foreign_lease();
            return if reserved {
                Verdict::Owned
            } else {
                Verdict::Vacant
            };
        }
        if self.has_ended(shard, owner) {
            return Verdict::Vacant;
        }
        if silence < self.timing.get_suspicion() {
            return Verdict::Owned;
        }
        let unlisted = self.watch.unlisted_at(owner.holder.node).is_some();
        if unlisted && self.map.node(owner.holder.node).is_none() {
            return Verdict::Vacant;
        }
        self.silent(shard, Some(owner.holder), now)
    }

    /// Returns whether the owner itself shows that it starts nothing any more.
    fn has_ended(&self, shard: ShardId, owner: &Owner) -> bool {
        let holder = &owner.holder;
        let later = self.register.presence(holder.node);
        // A tenure of this very process that it no longer has was given up by it.
        *holder == self.me
            || self.watch.has_ended(holder)
            || self.watch.has_lapsed(shard, owner.epoch)
            || later.is_some_and(|presence| presence.holder.succeeds(holder))
    }

    /// Judges a silent or unknown owner by what the peers answered.
    fn silent(&self, shard: ShardId, owner: Option<Holder>, now: Timestamp) -> Verdict {
        let node = owner.map(|holder| holder.node);
        let peers: Vec<_> = self
            .witnesses(node, now)
            .into_iter()
            .map(|(node, _)| node)
            .collect();
        let complete = self.inquiries.get(&owner).is_some_and(|inquiry| {
            inquiry.covers(shard) && inquiry.complete(&peers, now, &self.timing)
        });
        if complete && self.is_silent(shard, now) && !self.vouches.lasts(node, now) {
            Verdict::Silent(owner)
        } else {
            Verdict::Suspect(owner)
        }
    }

    /// Returns whether renewals were missed for a lease plus drift while the log worked.
    pub(super) fn is_silent(&self, shard: ShardId, now: Timestamp) -> bool {
        let Some(up) = self.health.up_since(now, &self.timing) else {
            return false;
        };
        let since = up.max(self.watch.last_seen(shard));
        now.since(since) >= self.timing.foreign_lease()
    }

    /// Lists the nodes that could have vouched for `owner`, with where they listen.
    pub(super) fn witnesses(
        &self,
        owner: Option<NodeId>,
        now: Timestamp,
    ) -> Vec<(NodeId, SocketAddr)> {
        let mut nodes = self.peers();
        nodes.retain(|node, _| Some(*node) != owner && !self.is_past(*node, now));
        nodes.into_iter().collect()
    }

    /// Lists all other nodes that the VM list or the log has or had, with where they listen.
    ///
    /// One that was listed at this node's own address has been replaced by this node.
    fn peers(&self) -> BTreeMap<NodeId, SocketAddr> {
        let logged = self
            .register
            .nodes()
            .map(|p| (p.holder.node, p.holder.address));
        let listed = self.map.nodes().map(|node| (node.id, node.address));
        let known = logged.chain(self.watch.all_unlisted()).chain(listed);
        let mut nodes: BTreeMap<_, _> = known.collect();
        nodes.remove(&self.me.node);
        nodes.retain(|_, address| *address != self.me.address);
        nodes
    }

    /// Returns whether `node` is gone for so long that no vouch of it can last.
    fn is_past(&self, node: NodeId, now: Timestamp) -> bool {
        if self.map.node(node).is_some() {
            return false;
        }
        let unlisted = self.watch.unlisted_at(node);
        let left = unlisted.is_some_and(|at| now.since(at) >= self.timing.foreign_lease());
        let seen = self.watch.node(node).unwrap_or(self.started);
        left || now.since(seen) >= self.timing.get_list_lag() + self.timing.foreign_lease()
    }
}
