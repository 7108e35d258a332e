//! The owner: renews its claim, asks its voters, fences former owners, and gives the cell up.

use std::time::Duration;

use fulmarpier_cell::{
    ownership::{
        FENCING_TIMEOUT,
        Response, //
    },
    record::Claim, //
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
        Duty,
        Purpose,
        Tenure, //
    },
    store::Operation,
};

const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
const RENEWAL_TIMEOUT: u64 = millis(500);
const HAND_OVER_TIMEOUT: u64 = millis(1_200);
const VOTE_THRESHOLD: Duration = Duration::from_millis(400);
const VOTE_INTERVAL: Duration = Duration::from_millis(150);
const VOTE_TIMEOUT: u64 = millis(250);
const FENCING_PAUSE: Duration = Duration::from_millis(250);
/// The age from which a hello doesn't count.
const MAX_HELLO_AGE: Duration = Duration::from_millis(1_500);

impl World {
    /// Returns the ownership of a node that has one.
    fn tenure(&mut self, index: usize) -> &mut Tenure {
        self.nodes[index].tenure.as_mut().unwrap()
    }

    pub(super) fn act_as_owner(&mut self, index: usize) {
        let now = self.nodes[index].clock.at(self.now);
        if self.tenure(index).lease.has_expired(now) {
            self.end_tenure(index, "expired");
            return;
        }
        if self.tenure(index).is_handing_over {
            return;
        }
        if self.has_whims && self.rng.random_bool(0.004 * self.whims) {
            self.give_cell_up(index);
            return;
        }
        self.ask_voters(index, now);
        self.tell_electorates(index, now);
        self.renew(index, now);
    }

    fn end_tenure(&mut self, index: usize, why: &str) {
        let now = self.nodes[index].clock.at(self.now);
        let node = &mut self.nodes[index];
        let tenure = node.tenure.take();
        node.next_read = now;
        if let Some(tenure) = tenure {
            self.note(|| format!("node {index} ends epoch {}: {why}", tenure.claim.epoch));
        }
    }

    fn call_as_owner(&mut self, index: usize, operation: Operation, duty: Duty, timeout: u64) {
        let epoch = self.tenure(index).claim.epoch;
        self.call_store(index, operation, Purpose::Owner(epoch, duty), timeout);
    }

    fn has_call(&self, index: usize, is_such: fn(&Duty) -> bool) -> bool {
        let node = &self.nodes[index];
        let epoch = node.tenure.as_ref().map(|tenure| tenure.claim.epoch);
        node.calls.values().any(|sent| match &sent.purpose {
            Purpose::Owner(of, duty) => Some(*of) == epoch && is_such(duty),
            _ => false,
        })
    }

    fn ask_voters(&mut self, index: usize, now: Timestamp) {
        let tenure = self.tenure(index);
        if tenure.next_votes > now {
            return;
        }
        tenure.next_votes = now + VOTE_INTERVAL;
        if tenure.lease.unconfirmed_for(now) < VOTE_THRESHOLD {
            return;
        }
        let epoch = tenure.claim.epoch;
        for voter in tenure.lease.voters() {
            let purpose = Purpose::Owner(epoch, Duty::Vote(voter));
            self.call(
                index,
                node::index(voter),
                Request::Confirm(epoch),
                purpose,
                VOTE_TIMEOUT,
            );
        }
    }

    fn tell_electorates(&mut self, index: usize, now: Timestamp) {
        let is_telling = self.has_call(index, |duty| matches!(duty, Duty::Fence(_)));
        let tenure = self.tenure(index);
        if tenure.is_fencing_complete || is_telling || tenure.next_fencing > now {
            return;
        }
        tenure.next_fencing = now + FENCING_PAUSE;
        let epoch = tenure.claim.epoch;
        let own = self.nodes[index].address;
        for address in self.tenure(index).fencing.addresses() {
            if address == own {
                let fencing = &mut self.tenure(index).fencing;
                fencing.note(own, Response::Told, now, now);
                self.note_fencing(index, epoch);
                continue;
            }
            let purpose = Purpose::Owner(epoch, Duty::Fence(address));
            let timeout = u64::try_from(FENCING_TIMEOUT.as_micros()).unwrap();
            self.call(
                index,
                node::index(address),
                Request::Fence(epoch),
                purpose,
                timeout,
            );
        }
    }

    fn renew(&mut self, index: usize, now: Timestamp) {
        let is_busy = self.has_call(index, |duty| matches!(duty, Duty::Renew(_) | Duty::Reread));
        if is_busy || self.tenure(index).next_renewal > now {
            return;
        }
        self.tenure(index).next_renewal = now + RENEWAL_INTERVAL;
        if !self.tenure(index).is_certain {
            self.call_as_owner(index, Operation::Read, Duty::Reread, RENEWAL_TIMEOUT);
            return;
        }
        self.update_voters(index, now);
        let tenure = self.tenure(index);
        tenure.claim.renewal += 1;
        if tenure.is_fencing_complete {
            tenure.claim.former.clear();
        }
        tenure.lease.begin_renewal(tenure.claim.electorate());
        let (claim, end) = (tenure.claim.clone(), tenure.end);
        let append = Operation::Append(claim.clone(), end);
        self.call_as_owner(index, append, Duty::Renew(claim), RENEWAL_TIMEOUT);
    }

    /// Makes the nodes that were heard, or at times some of them, the voters.
    fn update_voters(&mut self, index: usize, now: Timestamp) {
        let heard = &self.nodes[index].heard;
        let fresh = heard
            .iter()
            .filter(|(_, at)| now.since(**at) < MAX_HELLO_AGE);
        let mut nodes: Vec<usize> = fresh.map(|(node, _)| *node).collect();
        nodes.sort_unstable();
        if self.has_whims && self.rng.random_bool(self.changed_share) {
            let share = self.rng.random_range(0.0..=1.0);
            nodes.retain(|_| self.rng.random_bool(share));
        }
        let nodes: Vec<_> = nodes
            .into_iter()
            .map(|node| self.nodes[node].address)
            .collect();
        let tenure = self.tenure(index);
        let mut electorate = tenure.claim.electorate();
        electorate.voters.retain(|voter| nodes.contains(voter));
        electorate.add_voters(&nodes);
        tenure.claim.voters = electorate.voters;
    }

    /// Hands the cell over to another node, or releases it.
    fn give_cell_up(&mut self, index: usize) {
        let mut heard: Vec<usize> = self.nodes[index].heard.keys().copied().collect();
        heard.retain(|node| *node != index);
        heard.sort_unstable();
        if heard.is_empty() || self.rng.random_bool(0.3) {
            self.release(index);
            return;
        }
        let next = &self.nodes[heard[self.rng.random_range(0..heard.len())]];
        let (name, address, process) = (next.name.clone(), next.address, next.process);
        let tenure = self.tenure(index);
        tenure.is_handing_over = true;
        let successor = Claim {
            epoch: tenure.claim.epoch.next(),
            node: name,
            address,
            incarnation: process,
            renewal: 0,
            voters: tenure.claim.next_voters(address),
            ..tenure.claim.clone()
        };
        let append = Operation::Append(successor.clone(), tenure.end);
        self.call_as_owner(index, append, Duty::HandOver(successor), HAND_OVER_TIMEOUT);
    }

    /// Ends the ownership and then writes that it has ended.
    fn release(&mut self, index: usize) {
        let tenure = self.tenure(index);
        let claim = Claim {
            released: true,
            ..tenure.claim.clone()
        };
        let append = Operation::Append(claim, tenure.end);
        self.end_tenure(index, "released");
        self.call_store(index, append, Purpose::Told, RENEWAL_TIMEOUT);
    }

    pub(super) fn receive_for_owner(
        &mut self,
        index: usize,
        duty: Duty,
        reply: Reply,
        sent_at: Timestamp,
    ) {
        let now = self.nodes[index].clock.at(self.now);
        let is_handing_over = self.tenure(index).is_handing_over;
        match duty {
            Duty::HandOver(successor) => self.end_hand_over(index, successor, &reply),
            _ if is_handing_over => {}
            Duty::Vote(voter) => match reply {
                Reply::Confirmed => {
                    self.counts.votes += 1;
                    self.tenure(index).lease.vote(voter, sent_at, now);
                }
                Reply::Later => self.end_tenure(index, "refused"),
                Reply::Refused => self.remember_refusal(index, node::index(voter)),
                _ => {}
            },
            Duty::Fence(address) => {
                let mut response = Response::Told;
                if matches!(reply, Reply::Refused) {
                    response = Response::Gone;
                    self.remember_refusal(index, node::index(address));
                }
                let tenure = self.tenure(index);
                let epoch = tenure.claim.epoch;
                tenure.fencing.note(address, response, sent_at, now);
                self.note(|| format!("epoch {epoch} hears {reply:?} of {address}"));
                self.note_fencing(index, epoch);
            }
            Duty::Renew(claim) => match reply {
                Reply::Appended(Some(end)) => {
                    let tenure = self.tenure(index);
                    tenure.end = end;
                    tenure.lease.confirm(sent_at, now);
                    tenure.lease.settle(claim.electorate());
                }
                _ => self.tenure(index).is_certain = false,
            },
            Duty::Reread => self.receive_reread(index, reply, sent_at, now),
        }
    }

    fn receive_reread(&mut self, index: usize, reply: Reply, sent_at: Timestamp, now: Timestamp) {
        let Reply::Newest(Some(stored), end) = reply else {
            return;
        };
        let node = &mut self.nodes[index];
        let epoch = node.tenure.as_ref().map(|tenure| tenure.claim.epoch);
        let is_own = node.is_own(&stored) && Some(stored.epoch) == epoch;
        node.record(stored.clone());
        if !is_own {
            self.end_tenure(index, "replaced");
            return;
        }
        let tenure = self.tenure(index);
        tenure.lease.confirm(sent_at, now);
        if end != tenure.end {
            tenure.lease.settle(stored.electorate());
        }
        tenure.end = end;
        tenure.is_certain = true;
        tenure.next_renewal = now;
    }

    fn end_hand_over(&mut self, index: usize, successor: Claim, reply: &Reply) {
        if !matches!(reply, Reply::Appended(Some(_))) {
            self.release(index);
            return;
        }
        self.end_tenure(index, "handed over");
        let next = node::index(successor.address);
        self.nodes[index].record(successor.clone());
        self.call(
            index,
            next,
            Request::HandedOver(successor),
            Purpose::Told,
            RENEWAL_TIMEOUT,
        );
    }

    /// Handles that a call was not answered in time.
    pub(super) fn give_up_as_owner(&mut self, index: usize, duty: &Duty) {
        match duty {
            Duty::HandOver(_) => self.release(index),
            Duty::Renew(_) => self.tenure(index).is_certain = false,
            Duty::Vote(_) | Duty::Fence(_) | Duty::Reread => {}
        }
    }
}
