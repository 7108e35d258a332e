//! Sending appends, reads and questions.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
};

use super::{
    Asked,
    Effect,
    Machine,
    Purpose,
    Record,
    Sent,
    SocketAddr,
    Token,
    claim,
    log,
    ownership,
    peer,
    topology, //
};

/// The most records asked for in one read.
const PAGE: u32 = 512;

/// The most questions whose answer is awaited.
const MOST_ASKED: usize = 1_024;

impl Machine {
    /// Sends a read where none is on its way.
    pub(super) fn read(&mut self, now: Timestamp) {
        if self.reader.sent.is_some() || now < self.reader.retry_at {
            return;
        }
        let token = self.token();
        self.reader.sent = Some((token, now));
        let read = log::Read {
            stream: claim::stream(self.map.region()),
            from: self.register.next(),
            max: PAGE,
            wait: self.timing.get_renewal(),
        };
        self.effects.push(Effect::Read { token, read });
    }

    pub(super) fn append(&mut self, record: &Record, sent: Sent) {
        let token = self.token();
        self.sent.insert(token, sent);
        self.effects.push(Effect::Append {
            token,
            append: log::Append {
                stream: claim::stream(self.map.region()),
                records: vec![record.encode()],
            },
        });
    }

    pub(super) fn ask(
        &mut self,
        to: NodeId,
        address: SocketAddr,
        question: ownership::Question,
        purpose: Purpose,
        now: Timestamp,
    ) {
        let token = self.token();
        let sent = now;
        self.asked.insert(token, Asked { to, sent, purpose });
        while self.asked.len() > MOST_ASKED {
            self.asked.pop_first();
        }
        self.effects.push(Effect::Ask {
            token,
            address,
            message: peer::Message {
                from: self.me,
                to,
                question: peer::Question::Ownership(question),
            },
        });
    }

    pub(super) fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns a span below `most` that differs from node to node and from call to call.
    pub(super) fn jitter(&self, shard: ShardId, most: Duration) -> Duration {
        let draw = topology::score(self.seed ^ self.next_token, u64::from(shard.0));
        let share = u32::try_from(draw % 1_000).unwrap_or(0);
        most * share / 1_000
    }
}
