//! A node that doesn't own the cell: learns of owners, and claims the cell.

use std::time::Duration;

use fulmarpier_cell::{
    id::Epoch,
    ownership::{
        Fencing,
        Lease, //
    },
    record::Claim,
};
use fulmarpier_state::clock::Timestamp;
use rand::RngExt;

use super::{
    World, millis,
    network::{
        Reply,
        Request, //
    },
    node::{
        self,
        Purpose,
        Tenure, //
    },
    store::Operation,
};

const HELLO_INTERVAL: Duration = Duration::from_millis(250);
const HELLO_TIMEOUT: u64 = millis(250);
const STORE_TIMEOUT: u64 = millis(500);
/// An owner that has not answered for this long is replaced.
const SILENCE: Duration = Duration::from_millis(700);

impl World {
    pub(super) fn act_as_follower(&mut self, index: usize) {
        let now = self.nodes[index].clock.at(self.now);
        if self.nodes[index].next_hello <= now {
            self.nodes[index].next_hello = now + HELLO_INTERVAL;
            for to in self.hello_targets(index) {
                let purpose = Purpose::Hello(to);
                self.call(index, to, Request::Hello, purpose, HELLO_TIMEOUT);
            }
        }
        let calls = &self.nodes[index].calls;
        let is_busy = calls
            .values()
            .any(|sent| matches!(sent.purpose, Purpose::Read | Purpose::Claim(_)));
        if !is_busy && self.nodes[index].next_read <= now {
            let pause = Duration::from_micros(self.rng.random_range(millis(200)..millis(1_500)));
            self.nodes[index].next_read = now + pause;
            self.call_store(index, Operation::Read, Purpose::Read, STORE_TIMEOUT);
        }
    }

    /// Returns the owner, and now and then any node.
    fn hello_targets(&mut self, index: usize) -> Vec<usize> {
        let claim = self.nodes[index].claim.as_ref();
        let owner = claim.map(|claim| node::index(claim.address));
        let other = self.rng.random_range(0..self.nodes.len());
        let is_curious = self.rng.random_bool(0.2);
        let targets = owner.into_iter().chain(is_curious.then_some(other));
        targets.filter(|to| *to != index).collect()
    }

    pub(super) fn receive_hello_answer(&mut self, index: usize, to: usize, reply: Reply) {
        let now = self.nodes[index].clock.at(self.now);
        let owner = self.nodes[index]
            .claim
            .as_ref()
            .map(|claim| node::index(claim.address));
        match reply {
            Reply::Known(known) => {
                if owner == Some(to) {
                    self.nodes[index].answered_at = now;
                }
                if let Some(claim) = known {
                    self.learn(index, claim);
                }
            }
            Reply::Refused => {
                self.remember_refusal(index, to);
                if owner == Some(to) {
                    self.nodes[index].next_read = now;
                }
            }
            _ => {}
        }
    }

    /// Learns of a claim from another node.
    pub(super) fn learn(&mut self, index: usize, claim: Claim) {
        let node = &mut self.nodes[index];
        if claim.epoch <= node.known_epoch() {
            return;
        }
        node.answered_at = node.clock.at(self.now);
        node.record(claim.clone());
        if node.tenure.is_none() && node.is_own(&claim) && claim.epoch > node.last_owned {
            self.begin_tenure(index, claim, 0, None);
        }
    }

    pub(super) fn receive_claim(&mut self, index: usize, reply: Reply, sent_at: Timestamp) {
        let Reply::Newest(stored, end) = reply else {
            return;
        };
        let before = self.nodes[index].known_epoch();
        let newest = stored.as_ref().map(|claim| claim.epoch);
        let ballot = &mut self.nodes[index].ballot;
        ballot.recover(newest.unwrap_or_default());
        if let Some(claim) = &stored {
            let node = &mut self.nodes[index];
            if claim.epoch > before {
                node.answered_at = node.clock.at(self.now);
            }
            node.record(claim.clone());
            if node.tenure.is_some() {
                return;
            }
            if node.is_own(claim) && claim.epoch > node.last_owned {
                self.begin_tenure(index, claim.clone(), end, Some(sent_at));
                return;
            }
        }
        if self.nodes[index].tenure.is_none() && self.wants_cell(index, stored.as_ref()) {
            let claim = self.nodes[index].claim_after(stored.as_ref());
            let append = Operation::Append(claim.clone(), end);
            self.call_store(index, append, Purpose::Claim(claim), STORE_TIMEOUT);
        }
    }

    fn wants_cell(&mut self, index: usize, stored: Option<&Claim>) -> bool {
        let node = &self.nodes[index];
        let Some(claim) = stored else {
            return true;
        };
        let now = node.clock.at(self.now);
        let refuses = node.refusals.get(&node::index(claim.address));
        let is_lost = claim.released
            || claim.node == node.name
            || now.since(node.answered_at) >= SILENCE
            || refuses.is_some_and(|until| *until > self.now);
        is_lost || (self.has_whims && self.rng.random_bool(0.1 * self.whims))
    }

    pub(super) fn receive_claim_outcome(
        &mut self,
        index: usize,
        claim: Claim,
        reply: Reply,
        sent_at: Timestamp,
    ) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        match reply {
            Reply::Appended(Some(end)) => {
                node.record(claim.clone());
                if node.tenure.is_none() && claim.epoch > node.last_owned {
                    self.begin_tenure(index, claim, end, Some(sent_at));
                }
            }
            _ => node.next_read = now,
        }
    }

    fn begin_tenure(
        &mut self,
        index: usize,
        claim: Claim,
        end: u64,
        confirmed_at: Option<Timestamp>,
    ) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        let epoch = claim.epoch;
        node.last_owned = epoch;
        if node.ballot.highest() > epoch {
            return;
        }
        node.tenure = Some(Tenure {
            began: self.now,
            lease: Lease::new(claim.electorate(), confirmed_at, now),
            fencing: Fencing::new(claim.former.clone(), now),
            claim,
            end,
            is_fencing_complete: false,
            is_certain: confirmed_at.is_some(),
            is_handing_over: false,
            was_expired: false,
            next_renewal: now,
            next_votes: now,
            next_fencing: now,
        });
        self.counts.owned += 1;
        self.note(|| {
            format!(
                "node {index} owns epoch {epoch}, confirmed: {}",
                confirmed_at.is_some()
            )
        });
        self.note_fencing(index, epoch);
    }

    /// Notes whether all owners before this one are fenced.
    pub(super) fn note_fencing(&mut self, index: usize, epoch: Epoch) {
        let Some(tenure) = &mut self.nodes[index].tenure else {
            return;
        };
        if tenure.fencing.is_complete() && !tenure.is_fencing_complete {
            tenure.is_fencing_complete = true;
            let owned_at = tenure.began;
            self.fenced.push(super::Fenced {
                owned_at,
                by: epoch,
                at: self.now,
            });
            self.counts.fenced += 1;
            self.note(|| format!("epoch {epoch} has fenced all before it"));
        }
    }
}
