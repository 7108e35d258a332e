//! The log and its faults.

use std::collections::BTreeMap;

use bytes::Bytes;
use fulmarpier_coordination::{
    claim::Holder,
    member::{
        Event,
        Token, //
    },
    platform::log::{
        Error,
        Page,
        Record, //
    },
};
use fulmarpier_state::id::{
    NodeId,
    Offset, //
};

use super::{
    Cell,
    Due,
    MS,
    SECOND, //
};

/// After this long without an answer a call has failed.
const LIMIT: u64 = 500 * MS;

/// How the log treats a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    #[default]
    Up,
    /// It refuses at once, without effect.
    Denied,
    /// It never answers; half of the appends take effect, up to eight seconds later.
    Hung,
    /// It takes five seconds.
    Slow,
}

#[derive(Default)]
pub(super) struct Log {
    records: Vec<Bytes>,
    pub(super) earliest: u64,
    polls: Vec<Due>,
    pub(super) modes: BTreeMap<NodeId, Mode>,
    /// Of a hundred answers to appends, how many are lost.
    pub(super) lost: u64,
}

impl Log {
    pub(super) fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn mode(&self, node: NodeId) -> Mode {
        self.modes.get(&node).copied().unwrap_or_default()
    }

    fn page(&self, from: u64) -> Page {
        let skip = usize::try_from(from).expect("a short log");
        let kept = (from..self.end()).zip(&self.records[skip..]);
        let record = |(at, data): (u64, &Bytes)| Record {
            offset: Offset(at),
            data: data.clone(),
        };
        Page {
            records: kept.map(record).collect(),
            next: Offset(self.end()),
            end: Offset(self.end()),
        }
    }
}

impl Cell {
    pub(super) fn append(&mut self, holder: Holder, token: Token, records: Vec<Bytes>) {
        let delay = self.latency();
        let (delay, answered) = match self.log.mode(holder.node) {
            Mode::Denied => {
                let error = down();
                return self.later(delay, holder, Event::AppendFailed { token, error });
            }
            Mode::Hung => (self.random(8 * SECOND), false),
            Mode::Slow => (5 * SECOND, true),
            Mode::Up => (delay, self.random(100) >= self.log.lost),
        };
        if !answered {
            let error = Error::Unknown;
            self.later(
                delay.min(LIMIT),
                holder,
                Event::AppendFailed { token, error },
            );
        }
        let dropped = self.log.mode(holder.node) == Mode::Hung && self.random(2) == 0;
        if !dropped {
            self.push(
                self.now + delay,
                Due::Append(holder, token, records, answered),
            );
        }
    }

    pub(super) fn take_effect(
        &mut self,
        holder: Holder,
        token: Token,
        records: Vec<Bytes>,
        answered: bool,
    ) {
        let offset = Offset(self.log.end());
        self.log.records.extend(records);
        for poll in std::mem::take(&mut self.log.polls) {
            self.push(self.now, poll);
        }
        if answered {
            let delay = self.latency();
            self.later(delay, holder, Event::Appended { token, offset });
        }
    }

    pub(super) fn read(&mut self, holder: Holder, token: Token, from: u64) {
        let delay = match self.log.mode(holder.node) {
            Mode::Hung => LIMIT,
            Mode::Slow => 5 * SECOND,
            Mode::Up | Mode::Denied => self.latency(),
        };
        let end = self.now + delay + SECOND;
        self.push(self.now + delay, Due::Poll(holder, token, from, end));
        self.push(end, Due::Poll(holder, token, from, end));
    }

    pub(super) fn poll(&mut self, holder: Holder, token: Token, from: u64, end: u64) {
        let earliest = self.log.earliest;
        let error = match self.log.mode(holder.node) {
            Mode::Denied => Some(down()),
            Mode::Hung => Some(Error::Unknown),
            _ if from < earliest => Some(Error::Truncated {
                earliest: Offset(earliest),
            }),
            _ => None,
        };
        let event = match error {
            Some(error) => Event::ReadFailed { token, error },
            None if from < self.log.end() || self.now >= end => Event::Page {
                token,
                page: self.log.page(from),
            },
            None => return self.log.polls.push(Due::Poll(holder, token, from, end)),
        };
        let delay = self.latency();
        self.later(delay, holder, event);
    }
}

fn down() -> Error {
    Error::Unavailable {
        reason: "down".to_owned(),
    }
}
