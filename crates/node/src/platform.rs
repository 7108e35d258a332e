//! The interface between a node and its platform: the store, the workers and the advice service.

use std::{
    collections::BTreeSet,
    future::Future,
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_cell::{
    config::Config,
    effect::{
        Heartbeat,
        Start,
        Stop,
        Throttle, //
    },
    evacuation,
    event::{
        Grant,
        HeartbeatAnswer,
        Registration,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        Epoch,
        PoolName,
        StepId,
        WorkerId, //
    },
};

use crate::work;

/// The timeout of an order to a worker. Workers answer within milliseconds or not at all, and the most urgent jobs
/// have only 650 ms of slack.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// The time that a worker may take for its inventory beyond the wait requested of it.
pub const INVENTORY_MARGIN: Duration = Duration::from_millis(800);

/// The number of partitions that job records are spread over. Each node writes to one of them.
///
/// A partition executes one append at a time and refuses appends that would wait for 2 s. An append usually takes 3 ms
/// but can take 0.3 s, so nodes that share a partition would delay each other.
pub const JOB_PARTITIONS: u16 = 48;
/// The number of partitions that the job records of a small cell are spread over.
pub const SMALL_CELL_JOB_PARTITIONS: u16 = 16;

/// The topics of the store. Each topic keeps at least the newest record of every key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Accepted and cancelled jobs; carries the number of the partition.
    Jobs(u16),
    /// The progress of jobs and the workers that were used; written only by the owner.
    Progress,
    /// The claims, which say who owns the cell.
    Claims,
    /// The operator's configuration and the evacuated data centres; read-only.
    Configuration,
    /// The registrations of the workers; read-only.
    Workers,
}

/// A keyed record. A record without a value removes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Bytes>,
}

impl Record {
    /// Returns a record that removes a key.
    pub const fn removal(key: String) -> Self {
        Self { key, value: None }
    }

    /// Returns its size in the store, which [`StoreLimits::record`] limits: the length of the key in one byte, the key
    /// and the value.
    pub fn stored_len(&self) -> usize {
        1 + self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }

    /// Returns its size in an append, where its length precedes it.
    pub fn framed_len(&self) -> usize {
        LENGTH_BYTES as usize + self.stored_len()
    }
}

/// The greatest length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// How much the store takes at once, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// The greatest size of a record.
    pub record: usize,
    /// The greatest size of all records of an append together.
    pub call: usize,
}

impl StoreLimits {
    /// Returns the limits of a store. A record is limited by what fits into a call, too.
    pub fn new(record: u32, call: u32) -> Self {
        let to_usize = |bytes| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            record: to_usize(record.min(call.saturating_sub(LENGTH_BYTES))),
            call: to_usize(call),
        }
    }
}

/// The size of the length that precedes each record in an append, in bytes.
const LENGTH_BYTES: u32 = 4;

/// The precondition of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    None,
    /// The topic ends at this offset.
    EndsAt(u64),
    /// No writer with a higher epoch has appended, and this is the writer's next append in sequence. An append
    /// that is sent again takes effect only once.
    Writer {
        /// The writer's epoch.
        epoch: Epoch,
        /// The sequence number of the append among those of the writer.
        sequence: u64,
    },
}

/// Records to append atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// The topic to append to.
    pub topic: Topic,
    /// The records; an append without records only raises the writer's epoch.
    pub records: Vec<Record>,
    /// The precondition.
    pub condition: Condition,
}

/// The ways in which a call of the store can fail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call was not executed and will not be.
    #[error("the store refused: {0}")]
    Refused(&'static str),
    /// The store doesn't take this call, now or later; carries the status. Nothing was executed.
    #[error("the store doesn't take the call: status {0}")]
    Rejected(u16),
    /// No answer arrived: the call may have been executed or may still be.
    #[error("the store gave no answer; the effect is unknown")]
    Unanswered,
    /// The topic doesn't end at the expected offset; nothing was appended.
    #[error("the topic ends at offset {end}")]
    WrongEnd {
        /// The offset at which the topic ends.
        end: u64,
    },
    /// A writer with a higher epoch has appended.
    #[error("a later writer has taken over")]
    Fenced,
    /// The sequence number of the append was not the next one; nothing was appended.
    #[error("the store expects the append with sequence number {expected}")]
    Sequence {
        /// The sequence number that the store expects.
        expected: u64,
    },
    /// The requested records are no longer stored.
    #[error("the store keeps records only from offset {first} on")]
    Truncated {
        /// The offset of the first stored record.
        first: u64,
    },
    /// The answer can't be decoded.
    #[error("the store's answer can't be decoded: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns the name of the error, as logs and metric labels have it.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Refused(why) => why,
            Self::Rejected(_) => "rejected",
            Self::Unanswered => "unanswered",
            Self::WrongEnd { .. } => "moved",
            Self::Fenced => "fenced",
            Self::Sequence { .. } => "sequence",
            Self::Truncated { .. } => "forgotten",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// The reason for which a record of another writer is invalid. Nothing in an invalid record is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Fault {
    /// The key can't be decoded.
    #[error("its key can't be read")]
    Key,
    /// The value can't be decoded.
    #[error("its value can't be read")]
    Value,
    /// The value doesn't have the expected structure.
    #[error("its value is not of the expected form")]
    Structure,
    /// The id differs from that in the key, or can't be used in an order to a worker.
    #[error("its id is not that of its key, or can't be used")]
    Id,
    /// The record has no usable address.
    #[error("it has no address that can be used")]
    Address,
    /// The record has no known state.
    #[error("it has no state that is known")]
    State,
    /// The record names no configured pool.
    #[error("it has no pool that is configured")]
    Pool,
    /// The record has no capacity that is valid for a worker.
    #[error("it has no capacity that a worker may have")]
    Capacity,
    /// The record has no labels.
    #[error("it has no labels")]
    Labels,
    /// The record names no data centre.
    #[error("it names no data centre")]
    DataCentre,
}

impl Fault {
    /// Returns the name of the fault, as logs and metric labels have it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Key => "key",
            Self::Value => "value",
            Self::Structure => "form",
            Self::Id => "id",
            Self::Address => "address",
            Self::State => "state",
            Self::Pool => "pool",
            Self::Capacity => "capacity",
            Self::Labels => "labels",
            Self::DataCentre => "data-centre",
        }
    }
}

/// A record that is ignored as invalid. The other records of the page stay valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// The key, if it can be decoded.
    pub key: Option<String>,
    /// The offset, if it is known.
    pub offset: Option<u64>,
    /// The reason for which the record is invalid.
    pub fault: Fault,
}

impl Rejected {
    /// Returns the rejection of a record of a page.
    pub fn new(record: &Record, fault: Fault) -> Self {
        Self {
            key: Some(record.key.clone()),
            offset: None,
            fault,
        }
    }
}

/// Records of a topic, with the offset to continue from and the end of the topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The valid records, in order.
    pub records: Vec<Record>,
    /// The records between them that can't be decoded.
    pub rejected: Vec<Rejected>,
    /// The offset from which to continue reading.
    pub next: u64,
    /// The end of the topic when the page was made. A call returns only a part of a long topic.
    pub end: u64,
}

impl Page {
    /// Returns whether the page reaches the end of the topic.
    pub const fn is_last(&self) -> bool {
        self.next >= self.end
    }
}

/// The platform as a node uses it. No method retries, and each has its own timeout.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Appends records and returns the end offset of the topic after them.
    fn append(&self, append: Append) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads records from an offset on. Waits up to `wait` for a record if there is none.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Reads the newest record of each key.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Reads a part of the newest records, starting after a key. Returns the key after which to continue, if there
    /// are more.
    fn newest_after(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<(Page, Option<String>), Error>> + Send;

    /// Makes further calls of the store use new connections. Used when an answer is overdue, because the existing
    /// connections may be dead.
    fn reconnect(&self);

    /// Returns a platform that makes its calls over connections of its own, so that their answers don't wait behind
    /// those of this one.
    fn with_own_connections(&self) -> Self {
        self.clone()
    }

    /// Orders a worker to start a run of a task.
    fn start(&self, order: Start) -> impl Future<Output = StartAnswer> + Send;

    /// Orders a worker to stop a run of a task.
    fn stop(&self, order: Stop) -> impl Future<Output = StopAnswer> + Send;

    /// Orders a worker to run a best-effort task at a share of its processor.
    fn throttle(&self, order: Throttle) -> impl Future<Output = StopAnswer> + Send;

    /// Extends a worker's lease and asks for its inventory.
    fn heartbeat(&self, order: Heartbeat) -> impl Future<Output = HeartbeatAnswer> + Send;

    /// Asks the advice service which of the given workers may run a step; `None` if there was no answer.
    fn advise(
        &self,
        step: StepId,
        workers: Vec<WorkerId>,
        timeout: Duration,
    ) -> impl Future<Output = Option<Vec<Grant>>> + Send;

    /// Takes the processor for a piece of work of some amount, such as the number of records that it handles.
    ///
    /// Returns when a simulated processor has done the piece. A real processor does it by itself, so there this returns
    /// at once.
    fn work(&self, _kind: work::Kind, _amount: usize) -> impl Future<Output = ()> + Send {
        std::future::ready(())
    }

    /// Returns the total time for which the machine was suspended since the process started.
    fn total_suspension(&self) -> Duration;

    /// Decodes a configuration from its record; `None` if the record holds something else.
    ///
    /// # Errors
    ///
    /// Fails if the configuration can't be decoded.
    fn configuration(&self, record: &Record) -> Result<Option<Config>, Fault>;

    /// Decodes a change of the evacuation of a data centre from a record of the configuration topic; `None` if the
    /// record holds something else.
    ///
    /// # Errors
    ///
    /// Fails if the change can't be decoded or names no data centre.
    fn evacuation(&self, record: &Record) -> Result<Option<evacuation::Change>, Fault>;

    /// Decodes the registration of a worker, given the configured pools.
    ///
    /// # Errors
    ///
    /// Fails if the record is no valid registration.
    fn registration(
        &self,
        record: &Record,
        pools: &BTreeSet<PoolName>,
    ) -> Result<Registration, Fault>;
}
