//! What can happen to a node, and what a node asks its surroundings to do.

use std::net::SocketAddr;

use fulmarpier_coordination::{
    member, peer,
    platform::{
        log,
        vm,
        worker, //
    },
};
use fulmarpier_protocol::wire;
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId,
        Offset,
        ShardId,
        WorkerId, //
    },
};

/// Names one call from a gate or a sched until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Who asked for an append or a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// The ownership of shards; the token is that of the append.
    Member(member::Token),
    /// The journal of a shard.
    Journal {
        /// The shard.
        shard: ShardId,
        /// The epoch at which this node owns it.
        epoch: Epoch,
    },
    /// The configuration: a read of the stream.
    Config,
    /// The configuration: an append of a proposal or a snapshot.
    Publish,
}

/// Who asked a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Asking {
    /// The ownership of shards.
    Member(member::Token),
    /// The configuration, for want of the log.
    Config,
    /// Parts of jobs.
    Part,
}

/// Names one message to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dispatch {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the message.
    pub epoch: Epoch,
    /// The worker.
    pub worker: WorkerId,
    /// Rises with each message to the worker.
    pub number: u64,
}

/// What can happen to a node.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A gate or a sched calls.
    Call {
        /// The call, for the answer.
        id: CallId,
        /// What is asked.
        call: wire::Call,
    },
    /// An append came to its end.
    Appended {
        /// Who asked for it.
        purpose: Purpose,
        /// The offset of its first record.
        result: Result<Offset, log::Error>,
    },
    /// A read came to its end.
    Page {
        /// Who asked for it.
        purpose: Purpose,
        /// What was read.
        result: Result<log::Page, log::Error>,
    },
    /// A message to a worker came to its end.
    Synced {
        /// Which message.
        dispatch: Dispatch,
        /// What the worker answered.
        result: Result<worker::Reply, worker::Error>,
    },
    /// A question to a peer came to its end.
    Asked {
        /// Who asked.
        asking: Asking,
        /// What the peer answered.
        result: Result<peer::Reply, member::Unreachable>,
    },
    /// A command that was passed to a peer came to its end.
    Forwarded {
        /// The command's own number.
        number: u64,
        /// The peer.
        node: NodeId,
        /// What it answered; `None` where it did not.
        reply: Option<wire::command::Reply>,
    },
    /// The VM list was read; `None` where it could not be.
    Listed(Option<vm::List>),
    /// The node is to leave.
    Drain,
}

/// What a node asks its surroundings to do.
#[derive(Debug)]
pub enum Output {
    /// Append to the log.
    Append {
        /// Comes back with the answer.
        purpose: Purpose,
        /// The append.
        append: log::Append,
    },
    /// Read from the log.
    Read {
        /// Comes back with the answer.
        purpose: Purpose,
        /// The read.
        read: log::Read,
    },
    /// Send a message to a worker.
    Sync {
        /// Comes back with the answer.
        dispatch: Dispatch,
        /// Where the worker listens.
        address: SocketAddr,
        /// The message.
        sync: Box<worker::Sync>,
    },
    /// Ask a peer.
    Ask {
        /// Comes back with the answer.
        asking: Asking,
        /// Where the peer listens.
        address: SocketAddr,
        /// The question.
        message: peer::Message,
    },
    /// Pass a command to a peer.
    Forward {
        /// Comes back with the answer.
        number: u64,
        /// The peer.
        node: NodeId,
        /// Where it listens.
        address: SocketAddr,
        /// The command.
        command: wire::command::Request,
    },
    /// Answer a call.
    Answer {
        /// The call.
        id: CallId,
        /// The answer.
        answer: Box<wire::Answer>,
    },
    /// Read the VM list.
    List,
    /// Write one line to the log file.
    Note(Note),
    /// The node drains and owns nothing any more.
    Drained,
}

/// One event that operators may want to know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A shard changed its phase.
    Shard {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
        /// The phase that it entered.
        phase: &'static str,
        /// When.
        at: Timestamp,
    },
    /// A task was found on two workers; the older start is stopped.
    Twice {
        /// What was found.
        fault: fulmarpier_state::engine::Twice,
    },
    /// The configuration came into force.
    Config {
        /// The version.
        version: u64,
    },
    /// The configuration can't be followed.
    ConfigFault {
        /// Why.
        fault: fulmarpier_coordination::config::Fault,
    },
    /// A job fails on several workers and is held.
    Held {
        /// The job.
        job: fulmarpier_state::id::JobId,
    },
    /// A worker is silent or back.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// Its state in one word.
        state: &'static str,
    },
}
