//! A shard whose journal is being taken over.

use fulmarpier_coordination::{
    journal::{
        self,
        Effect,
        Opened, //
    },
    platform::log::Stream, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId,
        ShardId, //
    },
};

use crate::node::{
    Outbox,
    Purpose, //
};

/// What became of an opening.
pub(crate) enum Progress {
    /// It goes on.
    Pending(Box<Opening>),
    /// The journal is replayed.
    Done(Box<Opened>),
    /// Another owner has the journal, or it can't be read.
    Fenced,
}

/// A shard whose journal is being taken over.
pub(crate) struct Opening {
    pub(crate) shard: ShardId,
    pub(crate) epoch: Epoch,
    /// When the claim was won, by this node's clock.
    pub(crate) won: Timestamp,
    journal: journal::Opening,
    fenced: bool,
}

impl Opening {
    /// Starts to take over the journal of a shard.
    pub(crate) fn new(
        shard: ShardId,
        epoch: Epoch,
        node: NodeId,
        settings: journal::Settings,
        now: Timestamp,
    ) -> Self {
        let stream = Stream(format!("journal.{shard}"));
        let seed = u64::from(node.0) << 32 | u64::from(shard.0);
        Self {
            shard,
            epoch,
            won: now,
            journal: journal::Opening::new(stream, node, epoch, settings, seed),
            fenced: false,
        }
    }

    /// Returns the journal, to report answers to it.
    pub(crate) const fn journal(&mut self) -> &mut journal::Opening {
        &mut self.journal
    }

    /// Does what is due.
    pub(crate) fn pump(mut self: Box<Self>, out: &mut Outbox, now: Timestamp) -> Progress {
        let purpose = Purpose::Journal {
            shard: self.shard,
            epoch: self.epoch,
        };
        while let Some(effect) = self.journal.poll(now) {
            match effect {
                Effect::Append(append) => out.append(purpose, append),
                Effect::Read(read) => out.read(purpose, read),
                Effect::Fenced(_) => self.fenced = true,
                Effect::Commit(_) | Effect::Rejected(_) => {}
            }
        }
        if self.fenced {
            return Progress::Fenced;
        }
        match self.journal.finish(now) {
            Ok(opened) => Progress::Done(Box::new(opened)),
            Err(journal) => {
                self.journal = *journal;
                Progress::Pending(self)
            }
        }
    }

    /// Returns when [`Self::pump`] next has something to do.
    pub(crate) fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        self.journal.next_wake(now)
    }
}
