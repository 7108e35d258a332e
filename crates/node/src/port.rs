//! What a node needs of its platform: a store, workers and an advice service.

use std::{
    collections::BTreeSet,
    future::Future,
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_cell::{
    config::Config,
    effect::{
        Hold,
        Pace,
        Start,
        Stop, //
    },
    evacuation,
    event::{
        Advised,
        HoldAnswer,
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

/// How long a worker may take to answer an order: it answers within milliseconds or not at all, and the most
/// urgent jobs have 650 ms to spare.
pub const ORDER: Duration = Duration::from_millis(250);
/// How much longer than it was told to wait a worker may take for its inventory.
pub const INVENTORY: Duration = Duration::from_millis(800);

/// Into how many partitions jobs fall. Each node writes to one of them. A partition carries out one append at a time, in 3 ms
/// and on slow days in 0.3 s, which nodes should not wait for one by one; it refuses what would wait for 2 s.
pub const JOB_PARTITIONS: u16 = 48;
/// Into how many of them the jobs of a small cell fall.
pub const FIRST_PARTITIONS: u16 = 16;

/// What the store keeps, each with the newest record of every key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Jobs that were accepted or cancelled, in partitions by job.
    Jobs(u16),
    /// How far jobs have come, and the workers that were used; written by the owner alone.
    Progress,
    /// Who owns the cell.
    Claims,
    /// The operator's configuration, and which data centres are evacuated; read only.
    Configuration,
    /// What workers report of themselves; read only.
    Workers,
}

/// A record under its key; without a value the key is removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Bytes>,
}

/// What must hold for an append to be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    None,
    /// The topic ends at this offset.
    EndsAt(u64),
    /// No writer of a higher epoch has written, and this is the writer's next append; the same
    /// append sent again is carried out once.
    Writer {
        /// The writer's epoch.
        epoch: Epoch,
        /// The place of the append in the writer's own order.
        sequence: u64,
    },
}

/// Records to append, all or none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Where.
    pub topic: Topic,
    /// What; nothing only raises the writer's epoch.
    pub records: Vec<Record>,
    /// What must hold.
    pub condition: Condition,
}

/// The ways in which a call of the store can fail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It was not carried out, and will not be.
    #[error("the store refused: {0}")]
    Refused(&'static str),
    /// No answer came: it may have been carried out, or may be later.
    #[error("the store gave no answer; the effect is unknown")]
    Unanswered,
    /// The topic ends elsewhere; nothing was appended.
    #[error("the topic ends at {end}")]
    Moved {
        /// Where it ends.
        end: u64,
    },
    /// A writer of a higher epoch has written.
    #[error("a later writer has taken over")]
    Fenced,
    /// The writer's order was broken; nothing was appended.
    #[error("the store expects append {expected}")]
    Sequence {
        /// The place that it expects.
        expected: u64,
    },
    /// The records asked for are no longer kept.
    #[error("the store keeps records only from {first} on")]
    Forgotten {
        /// The first record that is kept.
        first: u64,
    },
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns the bare word, for logs and counters.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::Refused(why) => why,
            Self::Unanswered => "unanswered",
            Self::Moved { .. } => "moved",
            Self::Fenced => "fenced",
            Self::Sequence { .. } => "sequence",
            Self::Forgotten { .. } => "forgotten",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// What is wrong with a record of another writer: nothing that it says is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Fault {
    /// Its key can't be read.
    #[error("its key can't be read")]
    Key,
    /// Its value can't be read.
    #[error("its value can't be read")]
    Value,
    /// Its value is not of the expected form.
    #[error("its value is not of the expected form")]
    Form,
    /// Its id is not that of its key, or none that an order could carry.
    #[error("its id is not that of its key, or can't be used")]
    Id,
    /// It has no address that can be used.
    #[error("it has no address that can be used")]
    Address,
    /// It has no state that is known.
    #[error("it has no state that is known")]
    State,
    /// It has no pool that is configured.
    #[error("it has no pool that is configured")]
    Pool,
    /// It has no capacity that a worker may have.
    #[error("it has no capacity that a worker may have")]
    Capacity,
    /// It has no labels.
    #[error("it has no labels")]
    Labels,
    /// It names no data centre.
    #[error("it names no data centre")]
    DataCentre,
}

impl Fault {
    /// Returns the bare word, for logs and counters.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Key => "key",
            Self::Value => "value",
            Self::Form => "form",
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

/// A record that is turned away; its neighbours hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Its key, where one can be read.
    pub key: Option<String>,
    /// Where it stands, where that is known.
    pub offset: Option<u64>,
    /// What is wrong with it.
    pub fault: Fault,
}

impl Rejected {
    /// Turns a record away that was read from a page.
    pub fn record(record: &Record, fault: Fault) -> Self {
        Self {
            key: Some(record.key.clone()),
            offset: None,
            fault,
        }
    }
}

/// Records, from where to read on, and where the topic ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records, in order.
    pub records: Vec<Record>,
    /// The records between them that can't be read.
    pub rejected: Vec<Rejected>,
    /// The offset to read on from.
    pub next: u64,
    /// Where the topic ended; a call gives a part of what there is where that is much.
    pub end: u64,
}

impl Page {
    /// Returns whether nothing was left to read when the page was made.
    pub const fn is_last(&self) -> bool {
        self.next >= self.end
    }
}

/// The platform as a node uses it. No method retries; each gives up after a time of its own.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Appends records; returns where the topic ends behind them.
    fn append(&self, append: Append) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads on from an offset; waits up to `wait` for a record.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Reads the newest record of each key.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Reads a part of the newest records, behind a key; returns the key to read on behind, where there are more.
    fn newest_after(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<(Page, Option<String>), Error>> + Send;

    /// Has further calls of the store connect anew: an answer is overdue, and connections may have fallen
    /// silent.
    fn reconnect(&self);

    /// Orders a start.
    fn start(&self, order: Start) -> impl Future<Output = StartAnswer> + Send;

    /// Orders a stop.
    fn stop(&self, order: Stop) -> impl Future<Output = StopAnswer> + Send;

    /// Orders a pace.
    fn pace(&self, order: Pace) -> impl Future<Output = StopAnswer> + Send;

    /// Extends a worker's lease and asks for its inventory.
    fn hold(&self, order: Hold) -> impl Future<Output = HoldAnswer> + Send;

    /// Asks which of some workers may run a step; `None` where no answer came.
    fn advise(
        &self,
        step: StepId,
        workers: Vec<WorkerId>,
        patience: Duration,
    ) -> impl Future<Output = Option<Vec<Advised>>> + Send;

    /// Returns for how long the machine was suspended since the process began.
    fn suspended(&self) -> Duration;

    /// Reads a configuration out of its record; `None` where the record is another one.
    ///
    /// # Errors
    ///
    /// Fails where it can't be read.
    fn configuration(&self, record: &Record) -> Result<Option<Config>, Fault>;

    /// Reads what the operator says of a data centre out of a record among those of the configuration; `None` where the
    /// record is another one.
    ///
    /// # Errors
    ///
    /// Fails where it can't be read, or names no data centre.
    fn evacuation(&self, record: &Record) -> Result<Option<evacuation::Change>, Fault>;

    /// Reads what a worker reports of itself, given the pools that are configured.
    ///
    /// # Errors
    ///
    /// Fails where it names no worker to use.
    fn registration(
        &self,
        record: &Record,
        pools: &BTreeSet<PoolName>,
    ) -> Result<Registration, Fault>;
}
