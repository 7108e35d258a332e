//! Questions of peers, and peers' answers to this node's questions.

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId,
        ShardId, //
    },
};

use super::{
    Asked,
    Holder,
    Holding,
    Machine,
    Purpose,
    Token,
    Unreachable,
    ownership::{
        Answer,
        Question, //
    },
    peer, //
};
use crate::member::inquiry::Stance;

impl Machine {
    /// Answers a peer's question about ownership.
    pub fn answer(&mut self, from: &Holder, question: &Question, now: Timestamp) -> Answer {
        match question {
            Question::Vouch { holdings } => self.vouch(from, holdings, now),
            Question::Takeover { owner, shards } => self.consent(owner.as_ref(), shards, now),
        }
    }

    fn vouch(&mut self, from: &Holder, holdings: &[Holding], now: Timestamp) -> Answer {
        if let Some(age) = self.health.fresh(now, &self.timing) {
            return Answer::Up { age };
        }
        let own = from.node == self.me.node;
        if own || !self.may_vouch(now) || self.vouches.forbidden(from.node, now) {
            return Answer::Unsure;
        }
        let known = |holding: &&Holding| self.may_own(from, **holding);
        let shards: Vec<_> = holdings.iter().filter(known).map(|h| h.shard).collect();
        if shards.is_empty() {
            return Answer::Unsure;
        }
        let until = now + self.timing.foreign_lease();
        self.vouches.give(from.node, until);
        Answer::Down { shards }
    }

    /// Returns whether every node that may ask for evidence knows this one.
    ///
    /// A node that has just started may have vouched in its earlier life, and one that neither the
    /// log nor the list shows would not be asked.
    fn may_vouch(&self, now: Timestamp) -> bool {
        let lease = self.timing.foreign_lease();
        let passed = |since: Option<Timestamp>, span| since.is_some_and(|t| now.since(t) >= span);
        let aged = now.since(self.started) >= lease;
        let logged = passed(self.health.first(), lease);
        let listed = passed(self.listed_since, self.timing.get_list_lag());
        aged && (logged || listed)
    }

    /// Returns whether, as far as this node has read, `from` owns `holding` and keeps it.
    fn may_own(&self, from: &Holder, holding: Holding) -> bool {
        if self.bids.contains_key(&holding.shard) {
            return false;
        }
        self.register.owner(holding.shard).is_none_or(|owner| {
            let same = owner.epoch == holding.epoch && owner.holder == *from;
            let newer = owner.epoch < holding.epoch;
            newer || (same && owner.released.is_none())
        })
    }

    fn consent(&mut self, owner: Option<&Holder>, shards: &[ShardId], now: Timestamp) -> Answer {
        let used = |shard: &&ShardId| {
            let held = self.tenures.get(*shard);
            held.is_some_and(|held| held.until() > now)
        };
        let used: Vec<_> = shards.iter().filter(used).copied().collect();
        if owner == Some(&self.me) {
            self.disown(shards, now);
        }
        if !used.is_empty() {
            return Answer::Holding { shards: used };
        }
        if owner == Some(&self.me) {
            return Answer::Clear;
        }
        if now.since(self.started) < self.timing.foreign_lease() {
            return Answer::Unsure;
        }
        let node = owner.map(|holder| holder.node);
        if self.vouches.lasts(node, now) {
            return Answer::Vouched;
        }
        self.vouches.bind(node, now + self.timing.promise());
        Answer::Clear
    }

    /// Binds this node to its answer that the lease on some of `shards` has lapsed.
    ///
    /// From here on only a renewal that leaves later brings the lease back; the asker reads that
    /// renewal before it claims, or it voids the claim.
    fn disown(&mut self, shards: &[ShardId], now: Timestamp) {
        for shard in shards {
            match self.tenures.get_mut(shard) {
                Some(held) if held.until() <= now => held.disown(now),
                Some(_) => {}
                // The claim that made this node the owner has not been read back here yet.
                None => {
                    self.bids.remove(shard);
                }
            }
        }
    }

    /// Takes the answer to a question.
    pub(super) fn answered(&mut self, token: Token, reply: &peer::Reply, now: Timestamp) {
        let Some(asked) = self.asked.remove(&token) else {
            return;
        };
        let peer::Answer::Ownership(answer) = &reply.answer else {
            return;
        };
        let Asked { to, sent, purpose } = asked;
        match purpose {
            Purpose::Vouch(holdings) => self.plea_answered(&holdings, answer, sent, now),
            Purpose::Probe(holder, shards) => {
                if reply.from == holder {
                    self.owner_answered(&shards, answer, sent);
                } else {
                    self.watch.ended(&holder);
                }
            }
            Purpose::Inquire(owner) => {
                let stance = if reply.from.node == to {
                    stance(answer, sent)
                } else {
                    ended(sent, now)
                };
                self.note(owner, to, stance);
            }
        }
    }

    /// Takes the failure of a question.
    pub(super) fn unreachable(&mut self, token: Token, how: Unreachable, now: Timestamp) {
        let Some(asked) = self.asked.remove(&token) else {
            return;
        };
        let Asked { to, sent, purpose } = asked;
        match (purpose, how) {
            (Purpose::Probe(holder, _), Unreachable::Refused) => self.watch.ended(&holder),
            (Purpose::Inquire(owner), Unreachable::Refused) => {
                self.note(owner, to, ended(sent, now));
            }
            // A missing answer proves nothing, and takes nothing back either.
            _ => {}
        }
    }

    fn plea_answered(
        &mut self,
        holdings: &[Holding],
        answer: &Answer,
        sent: Timestamp,
        now: Timestamp,
    ) {
        match answer {
            Answer::Down { shards } => {
                let named = |holding: &&Holding| shards.contains(&holding.shard);
                let vouched: Vec<_> = holdings.iter().filter(named).copied().collect();
                self.vouched(&vouched, sent, now);
            }
            Answer::Up { age } => self.cut_off(now.saturating_sub(*age), now),
            _ => {}
        }
    }

    fn owner_answered(&mut self, shards: &[(ShardId, Epoch)], answer: &Answer, sent: Timestamp) {
        let held: &[ShardId] = match answer {
            Answer::Holding { shards } => shards,
            Answer::Clear => &[],
            _ => return,
        };
        let unused = shards.iter().filter(|(shard, _)| !held.contains(shard));
        for (shard, epoch) in unused {
            // A renewal that was read since the question may have left after the answer.
            if self.watch.last_seen(*shard) < sent {
                self.watch.owner_lapsed(*shard, *epoch);
            }
        }
    }

    fn note(&mut self, owner: Option<Holder>, peer: NodeId, stance: Stance) {
        if let Some(inquiry) = self.inquiries.get_mut(&owner) {
            inquiry.note(peer, stance);
        }
    }
}

fn stance(answer: &Answer, asked: Timestamp) -> Stance {
    match answer {
        Answer::Clear => Stance::Clear { asked },
        _ => Stance::Blocking,
    }
}

fn ended(asked: Timestamp, now: Timestamp) -> Stance {
    Stance::Ended { first: now, asked }
}
