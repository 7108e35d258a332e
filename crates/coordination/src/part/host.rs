//! What the owner of a shard does about an order.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    engine::Counts, //
};

use crate::peer::part::{
    Order,
    State,
    Wish, //
};

/// After how long an order starts nothing any more.
///
/// A home lets a part's end be forgotten only half a minute after it has kept it, so that no order
/// can arrive later and start the part again. The two clocks may differ by what lies between.
const VALID: Duration = Duration::from_secs(5);

/// What a shard knows of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Local {
    /// Nothing.
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
        /// Whether it is to be cancelled.
        cancelled: bool,
    },
    /// It has ended.
    Ended(Counts),
}

/// What is to be done about an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Keep [`Record::Hosted`](crate::journal::Record::Hosted), then run it.
    Take,
    /// Keep that it has ended with these counts, without having been taken.
    Close(Counts),
    /// Cancel it.
    Cancel,
    /// Take it out of the queue if none of its tasks runs, and keep that it has ended.
    Withdraw,
    /// Drop its end.
    Forget,
    /// Nothing.
    Rest,
}

/// Returns what is to be done about an order; it is the same however often the order comes.
pub fn step(local: &Local, order: &Order, now: Timestamp) -> Step {
    match (local, order.wish, &order.spec) {
        (Local::Absent, _, _) if now.since(order.at) >= VALID => Step::Rest,
        (Local::Absent, Wish::Run, Some(_)) => Step::Take,
        (Local::Absent, Wish::Return | Wish::Cancel, Some(spec)) => Step::Close(Counts {
            cancelled: spec.tasks,
            ..Counts::default()
        }),
        (
            Local::Open {
                cancelled: false, ..
            },
            Wish::Cancel,
            _,
        ) => Step::Cancel,
        (
            Local::Open {
                cancelled: false,
                running: 0,
                ended,
                ..
            },
            Wish::Return,
            _,
        ) if ended.total() == 0 => Step::Withdraw,
        (Local::Ended(_), Wish::Forget, _) => Step::Forget,
        _ => Step::Rest,
    }
}

impl From<Local> for State {
    fn from(local: Local) -> Self {
        match local {
            Local::Absent => Self::Absent,
            Local::Unsettled => Self::Unsettled,
            Local::Open {
                waiting,
                running,
                ended,
                ..
            } => Self::Open {
                waiting,
                running,
                ended,
            },
            Local::Ended(counts) => Self::Ended(counts),
        }
    }
}
