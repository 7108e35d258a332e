//! Orders about parts, and reports of what is so.
//!
//! An order says what the home of a job wants of a part, and may be sent, lost and doubled at will.

use fulmarpier_state::{
    clock::Timestamp,
    engine::Counts,
    id::{
        JobId,
        ShardId, //
    },
    job::Spec,
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::part::{
    Origin,
    Room, //
};

/// What the home wants of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// Take it, and run it.
    Run,
    /// Give it back if none of its tasks runs or may run.
    Return,
    /// Cancel it.
    Cancel,
    /// Forget its end, which the home has kept.
    Forget,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The part.
    pub part: JobId,
    /// The shard that has it.
    pub shard: ShardId,
    /// Whose part it is.
    pub of: Origin,
    /// What is wanted.
    pub wish: Wish,
    /// When it was sent, by the home's clock; an old one starts nothing.
    pub at: Timestamp,
    /// The declaration with the part's own number of tasks, until the part is known to be taken.
    pub spec: Option<Box<Spec>>,
}

/// What is so of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It is not known, and no record of it is on the way.
    Absent,
    /// Its record is on the way, or the shard is being recovered.
    Unsettled,
    /// It is kept and has not ended.
    Open {
        /// Tasks that wait.
        waiting: u32,
        /// Tasks that run or may run.
        running: u32,
        /// Tasks that have ended.
        ended: Counts,
    },
    /// All of its tasks have ended, or never start.
    Ended(Counts),
}

/// The report on one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The part.
    pub part: JobId,
    /// Whose part it is.
    pub of: Origin,
    /// What is so.
    pub state: State,
}

/// Orders for the shards of one owner; none at all asks only what they have left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The orders.
    pub orders: Vec<Order>,
}

/// The reports on the parts whose shards the answerer owns; others are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The reports.
    pub reports: Vec<Report>,
    /// What the shards of the answerer have left.
    pub rooms: Vec<Room>,
}
