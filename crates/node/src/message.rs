//! The requests and replies that nodes exchange, carried by the peer call of the wire protocol.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    engine::State,
    event::Grant,
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
    admission::Load,
    dispatch::{
        Orders,
        Reports, //
    },
    network,
    succession::Hello,
    supplement,
    work, //
};

/// A request of one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Request {
    /// The periodic message of a node to the owner, which also asks the owner whether it still owns the cell.
    Hello(Hello),
    /// A job was submitted; its record is being written.
    Announced(Box<Accepted>),
    /// The record of an announced job was not stored.
    Withdrawn(JobId),
    /// A job was accepted; its record is stored.
    Accepted(Box<Accepted>),
    /// A job was cancelled; the cancellation is stored.
    Cancelled(Cancelled),
    /// Asks for the state of a job.
    JobState {
        /// The job.
        job: JobId,
        /// The workspace of the caller.
        workspace: Option<WorkspaceName>,
        /// The time since the caller's request arrived.
        elapsed: Duration,
    },
    /// Asks how many jobs of a queue have not started any task, as visible to callers of a workspace.
    Pending(QueueName, Option<WorkspaceName>),
    /// Asks the advice service, through the other node, which workers may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The workers to ask about.
        workers: Vec<WorkerId>,
        /// The time limit for the advice call.
        timeout: Duration,
    },
    /// Asks whether the store answers the other node.
    ProbeStore,
    /// Asks for the configuration that the other node uses, if its version is later than this one.
    Configuration(u64),
    /// Asks the other node to send these orders to workers.
    Orders(Orders),
    /// The results of orders that this node sent on behalf of the owner.
    Reports(Reports),
    /// The owner released the cell; carries the epoch of the ownership that ended.
    Released(Epoch),
    /// The owner handed the cell over under this claim, which is stored.
    HandedOver(Claim),
    /// Asks the other node, as a voter, to confirm that it has not been told of an owner of a later epoch.
    ConfirmOwner(Epoch),
    /// Tells the other node of the owner of this epoch. It ends an earlier ownership of its own, and from then on
    /// confirms no owner of an earlier epoch.
    Fence(Epoch),
    /// Asks whether a job with this id was accepted before.
    IsAccepted(JobId),
}

impl Request {
    /// Returns the name of the request, as metric labels have it.
    pub(crate) const fn as_str(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Announced(_) => "announced",
            Self::Withdrawn(_) => "withdrawn",
            Self::Accepted(_) => "accepted",
            Self::Cancelled(_) => "cancelled",
            Self::JobState { .. } => "look",
            Self::Pending(..) => "pending",
            Self::Advise { .. } => "advise",
            Self::ProbeStore => "store",
            Self::Configuration(_) => "configuration",
            Self::ConfirmOwner(_) => "confirm-owner",
            Self::Fence(_) => "fence",
            Self::IsAccepted(_) => "is-accepted",
            Self::Orders(_) => "orders",
            Self::Reports(_) => "reports",
            Self::Released(_) => "vacant",
            Self::HandedOver(_) => "handed",
        }
    }
}

impl Request {
    /// Returns which kind of work it is to serve the request.
    pub(crate) const fn kind_of_work(&self) -> work::Kind {
        match self {
            Self::Hello(_)
            | Self::ProbeStore
            | Self::Released(_)
            | Self::HandedOver(_)
            | Self::ConfirmOwner(_)
            | Self::Fence(_) => work::Kind::Membership,
            _ => work::Kind::Peer,
        }
    }
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// This node owns the cell under this claim, has read the operator's records up to this position, and has this
    /// load, if that is known.
    Owner(Claim, Option<ReadPosition>, Option<Load>),
    /// This node doesn't own the cell.
    NotOwner {
        /// The newest claim known to the node.
        claim: Option<Claim>,
        /// The incarnation of the node that replies.
        incarnation: u64,
    },
    /// The request was processed; there is nothing to return.
    Ack,
    /// The state of a job.
    State(State),
    /// The owner doesn't know the job.
    UnknownJob(UnknownJob),
    /// The number of jobs that have not started any task.
    Pending(u32),
    /// The workers that may run a step; `None` if the advice service did not answer.
    Advised(Option<Vec<Grant>>),
    /// The latency of the store as just measured by this node; `None` if the store did not answer.
    StoreLatency(Option<Duration>),
    /// The configuration as this node knows it.
    Configuration(ConfigState),
    /// Whether this node confirms an owner.
    Vote(Vote),
    /// No job with the id was accepted before the question.
    NotAccepted,
}

/// The answer of a voter that was asked to confirm an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Vote {
    /// The voter has not been told of a later owner.
    Confirmed,
    /// The voter has been told of an owner of this epoch.
    Refused(Epoch),
    /// The voter was started so recently that it may have forgotten a later owner.
    Abstained,
}

impl Vote {
    /// Returns the name of the answer, as metric labels have it.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Refused(_) => "refused",
            Self::Abstained => "abstained",
        }
    }
}

/// The position up to which a node has read the operator's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReadPosition {
    /// The offset of the next record to read.
    pub(crate) next: u64,
    /// The time since the store last confirmed that there is no record at that offset.
    pub(crate) age: Duration,
}

/// A configuration as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigState {
    /// The version; zero if the node has no configuration.
    pub(crate) version: u64,
    /// The time since the store last confirmed that this version is the newest.
    pub(crate) age: Duration,
    /// The operator's record as key and value; present only if the requesting node has an earlier version.
    pub(crate) record: Option<(String, Vec<u8>)>,
}

/// How reliable an owner's reply is that it doesn't know a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UnknownJob {
    /// The epoch of the ownership under which the owner replies.
    pub(crate) epoch: Epoch,
    /// The longest time for which a job may have been stored without the owner having read its record.
    pub(crate) max_staleness: Duration,
}

/// Sends a request to a node and waits for the reply.
pub(crate) async fn send(
    client: &Arc<dyn network::Client>,
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Result<Reply, rpc::Error> {
    let malformed = |error: postcard::Error| rpc::Error::Malformed {
        reason: error.to_string(),
    };
    let message = encode_request(request).map_err(malformed)?;
    let call = Call::Peer(peer::Request {
        message: message.into(),
    });
    match client.call(address, call, timeout).await? {
        Answer::Peer(reply) => postcard::from_bytes(&reply.message).map_err(malformed),
        _ => Err(rpc::Error::Malformed {
            reason: "the answer belongs to a call of another kind".to_owned(),
        }),
    }
}

fn encode_request(request: &Request) -> Result<Vec<u8>, postcard::Error> {
    let message = postcard::to_stdvec(request)?;
    match request {
        Request::Reports(reports) => supplement::append(message, reports.inventories()),
        _ => Ok(message),
    }
}

/// Decodes a request from a call; returns `None` if the call carries no valid request.
pub(crate) fn decode_request(call: &Call) -> Option<Request> {
    match call {
        Call::Peer(request) => {
            let (mut decoded, following) = postcard::take_from_bytes(&request.message).ok()?;
            if let Request::Reports(reports) = &mut decoded {
                supplement::restore(following, reports.inventories_mut());
            }
            Some(decoded)
        }
        _ => None,
    }
}

/// Encodes a reply as the answer to a call.
pub(crate) fn encode_reply(reply: &Reply) -> Option<Answer> {
    let message = postcard::to_stdvec(reply).ok()?;
    let message = message.into();
    Some(Answer::Peer(peer::Reply { message }))
}
