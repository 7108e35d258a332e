//! What nodes ask each other, carried by the call between peers.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_cell::{
    engine::State,
    event::Advised,
    id::{
        Epoch,
        JobId,
        QueueName,
        StepId,
        WorkerId, //
    },
    record::{
        Accepted,
        Cancelled,
        Claim, //
    },
    workspace::WorkspaceName,
};
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    peer, //
};
use fulmarpier_transport::rpc;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    hand::{
        Orders,
        Reports, //
    },
    succession::Greeting, //
};

/// A question of one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Question {
    /// A node is there and asks the owner whether it still owns the cell.
    Hello(Greeting),
    /// A job was handed in; its record is on its way.
    Announced(Box<Accepted>),
    /// A job that was announced is not on record.
    Withdrawn(JobId),
    /// A job was accepted; its record is kept.
    Accepted(Box<Accepted>),
    /// A job was cancelled; that is on record.
    Cancelled(Cancelled),
    /// What is the state of a job?
    Look {
        /// The job.
        job: JobId,
        /// The workspace of the caller.
        viewer: Option<WorkspaceName>,
        /// How long ago the caller asked.
        asked: Duration,
    },
    /// How many jobs of a queue have begun nothing, as callers of a workspace see it?
    Pending(QueueName, Option<WorkspaceName>),
    /// Which workers may run a step?
    Advise {
        /// The step.
        step: StepId,
        /// The workers to ask about.
        workers: Vec<WorkerId>,
        /// How long the asking may take.
        patience: Duration,
    },
    /// Does the store answer this node?
    Store,
    /// Which configuration is in force there, where it is a later version than this one?
    Configuration(u64),
    /// Give these orders to workers.
    Orders(Orders),
    /// What came of orders that the owner had this node give.
    Reports(Reports),
    /// The owner has given the cell up.
    Vacant(Epoch),
    /// The owner has handed the cell over under this claim, which is on record.
    Handed(Claim),
}

impl Question {
    /// Returns the bare word, for counters.
    pub(crate) const fn word(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Announced(_) => "announced",
            Self::Withdrawn(_) => "withdrawn",
            Self::Accepted(_) => "accepted",
            Self::Cancelled(_) => "cancelled",
            Self::Look { .. } => "look",
            Self::Pending(..) => "pending",
            Self::Advise { .. } => "advise",
            Self::Store => "store",
            Self::Configuration(_) => "configuration",
            Self::Orders(_) => "orders",
            Self::Reports(_) => "reports",
            Self::Vacant(_) => "vacant",
            Self::Handed(_) => "handed",
        }
    }
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// This node owns the cell under this claim, and has read so much of what the operator writes.
    Owner(Claim, Option<Extent>),
    /// This node doesn't own the cell.
    NotOwner {
        /// The newest claim that it knows of.
        claim: Option<Claim>,
        /// Which life of the node answers.
        incarnation: u64,
    },
    /// It is taken in.
    Noted,
    /// The state of a job.
    State(State),
    /// The owner knows no such job.
    Absent(Absent),
    /// A count of jobs.
    Pending(u32),
    /// The workers that may run a step; `None` where the service gave no answer.
    Advised(Option<Vec<Advised>>),
    /// How long the store took to answer this node just now, if it did.
    Store(Option<Duration>),
    /// What is known there of the configuration.
    Configuration(Edition),
}

/// How far a node has read what the operator writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Extent {
    /// The offset of the next record.
    pub(crate) next: u64,
    /// How long ago the store last told that there is none.
    pub(crate) age: Duration,
}

/// A configuration as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Edition {
    /// Its version; zero where there is none.
    pub(crate) version: u64,
    /// How long ago the store last told that it is the newest.
    pub(crate) age: Duration,
    /// What the operator has written, as key and value, where whoever asks has an earlier version.
    pub(crate) record: Option<(String, Vec<u8>)>,
}

/// What an owner's word that it knows no such job rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Absent {
    /// Under which claim it answers.
    pub(crate) epoch: Epoch,
    /// For how long a job may have been on record that it has not read.
    pub(crate) view: Duration,
}

/// Asks a node and waits for its answer.
pub(crate) async fn ask(
    client: &rpc::Client,
    address: SocketAddr,
    question: &Question,
    timeout: Duration,
) -> Result<Reply, rpc::Error> {
    let malformed = |error: postcard::Error| rpc::Error::Malformed {
        reason: error.to_string(),
    };
    let message = postcard::to_stdvec(question).map_err(malformed)?;
    let call = Call::Peer(peer::Request {
        message: message.into(),
    });
    match client.call(address, call, timeout).await? {
        Answer::Peer(reply) => postcard::from_bytes(&reply.message).map_err(malformed),
        _ => Err(rpc::Error::Malformed {
            reason: "an answer to another call".to_owned(),
        }),
    }
}

/// Reads a question out of a call; `None` where it is none.
pub(crate) fn question(call: &Call) -> Option<Question> {
    match call {
        Call::Peer(request) => postcard::from_bytes(&request.message).ok(),
        _ => None,
    }
}

/// Writes a reply into an answer.
pub(crate) fn answer(reply: &Reply) -> Option<Answer> {
    let message = postcard::to_stdvec(reply).ok()?;
    let message = message.into();
    Some(Answer::Peer(peer::Reply { message }))
}
