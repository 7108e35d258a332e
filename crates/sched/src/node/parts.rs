//! Orders about parts to the owners of their shards, and their reports.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_coordination::{
    member,
    part::Room,
    peer::{
        self,
        part::{
            Answer,
            Order,
            Question,
            Report, //
        },
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
};

use super::{
    Asking,
    Node,
    Output, //
};

/// The most orders of one message.
const ORDERS: usize = 64;
/// How often the peers are asked what they have left, where it matters.
const ROOMS: Duration = Duration::from_secs(1);

impl Node {
    /// Sends the orders that are due, one message to each owner.
    pub(super) fn pump_parts(&mut self, now: Timestamp) {
        self.refresh_rooms(now);
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        let mut by_owner: BTreeMap<NodeId, Vec<Order>> = BTreeMap::new();
        for shard in shards {
            let due = self.with_live(shard, now, |live, scope| live.due_parts(scope));
            for order in due.unwrap_or_default() {
                let owner = self.member.owner_of(order.shard);
                if let Some(node) = owner.map(|owner| owner.holder.node) {
                    by_owner.entry(node).or_default().push(order);
                }
            }
        }
        for (node, orders) in by_owner {
            if node == self.holder.node {
                let reports = self.obey(&orders, now);
                self.hear(&reports, now);
                continue;
            }
            for orders in orders.chunks(ORDERS) {
                let orders = orders.to_vec();
                self.ask_parts(node, Question { orders });
            }
        }
    }

    /// Does what peers want of the parts in this node's shards.
    pub(super) fn answer_parts(&mut self, question: &Question, now: Timestamp) -> Answer {
        Answer {
            reports: self.obey(&question.orders, now),
            rooms: self.own_rooms(now),
        }
    }

    /// Takes in what a peer reports; an answer that was lost is asked for again.
    pub(super) fn parts_answered(
        &mut self,
        result: Result<peer::Reply, member::Unreachable>,
        now: Timestamp,
    ) {
        let Ok(peer::Reply {
            answer: peer::Answer::Part(answer),
            ..
        }) = result
        else {
            return;
        };
        for room in answer.rooms {
            self.rooms.note(room, now);
        }
        self.hear(&answer.reports, now);
    }

    fn obey(&mut self, orders: &[Order], now: Timestamp) -> Vec<Report> {
        let obey =
            |order: &Order| self.with_live(order.shard, now, |live, scope| live.obey(order, scope));
        orders.iter().filter_map(obey).collect()
    }

    fn hear(&mut self, reports: &[Report], now: Timestamp) {
        for report in reports {
            self.with_live(report.of.home, now, |live, scope| {
                live.reported(report, scope);
            });
        }
    }

    fn ask_parts(&mut self, to: NodeId, question: Question) {
        let Some(address) = self.member.address_of(to) else {
            return;
        };
        let message = peer::Message {
            from: self.holder,
            to,
            question: peer::Question::Part(question),
        };
        self.out.push(Output::Ask {
            asking: Asking::Part,
            address,
            message,
        });
    }

    /// Asks everybody what is left, while some job waits for it.
    fn refresh_rooms(&mut self, now: Timestamp) {
        let wanted = self.lives().any(crate::shard::Live::wants_rooms);
        if !wanted || now < self.rooms_at {
            return;
        }
        self.rooms_at = now + ROOMS;
        for room in self.own_rooms(now) {
            self.rooms.note(room, now);
        }
        let me = self.holder.node;
        let nodes = self.map.nodes().map(|node| node.id);
        let peers: Vec<NodeId> = nodes.filter(|node| *node != me).collect();
        for node in peers {
            self.ask_parts(node, Question::default());
        }
    }

    fn own_rooms(&self, now: Timestamp) -> Vec<Room> {
        let placing = self.lives().filter(|live| live.is_placing(now));
        placing.map(crate::shard::Live::room).collect()
    }
}
