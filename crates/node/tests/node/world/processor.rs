//! The processor of a node: work takes virtual time, and pieces of work wait for each other.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_node::work::{
    Kind,
    Thread, //
};
use tokio::{
    select,
    sync::{
        Mutex,
        watch, //
    },
    time::{
        Instant,
        sleep, //
    },
};

/// The resolution of the runtime's timer.
const TICK: Duration = Duration::from_millis(1);

/// How many times as fast as a whole core a processor is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Speed(pub(crate) f64);

impl Speed {
    /// Returns how long some work takes alone.
    pub(crate) fn time_for(self, kind: Kind, amount: usize) -> Duration {
        (unit_cost(kind) * u32::try_from(amount).unwrap()).div_f64(self.0)
    }
}

/// Returns the time of one unit of work on a whole core.
const fn unit_cost(kind: Kind) -> Duration {
    match kind {
        Kind::Report => Duration::from_micros(200),
        Kind::Takeover
        | Kind::Caller
        | Kind::Peer
        | Kind::JobRecords
        | Kind::WorkerList
        | Kind::Recording
        | Kind::Job
        | Kind::Advice
        | Kind::Effect
        | Kind::Query
        | Kind::Gauge => Duration::from_micros(100),
        Kind::Membership => Duration::from_micros(50),
        Kind::Event | Kind::Due => Duration::from_micros(20),
        // A worker whose registration is as before, mostly.
        Kind::Registration => Duration::from_micros(5),
        // A worker check.
        Kind::Pass => Duration::from_nanos(400),
    }
}

struct Inner {
    speed: Speed,
    /// The queue of each thread, with the work that is done but shorter than the resolution of the timer.
    queues: [Mutex<Duration>; 2],
    /// How many threads have work.
    busy: watch::Sender<u32>,
}

/// A processor; cheap to clone.
///
/// The pieces of a thread are done in the order in which they come. Threads with work have equal shares.
#[derive(Clone)]
pub(super) struct Processor(Arc<Inner>);

impl Processor {
    pub(super) fn new(speed: Speed) -> Self {
        Self(Arc::new(Inner {
            speed,
            queues: Default::default(),
            busy: watch::Sender::new(0),
        }))
    }

    /// Does a piece of work.
    pub(super) async fn work(&self, kind: Kind, amount: usize) {
        let queue = match kind.thread() {
            Thread::Main => &self.0.queues[0],
            Thread::Membership => &self.0.queues[1],
        };
        let mut owed = queue.lock().await;
        *owed += self.0.speed.time_for(kind, amount);
        if *owed < TICK {
            return;
        }
        let _share = Share::take(&self.0.busy);
        let mut busy = self.0.busy.subscribe();
        while *owed >= TICK {
            let threads = *busy.borrow_and_update();
            let began = Instant::now();
            select! {
                () = sleep(*owed * threads) => {}
                _ = busy.changed() => {}
            }
            *owed = owed.saturating_sub(began.elapsed() / threads);
        }
    }
}

/// A share of the processor, as long as a thread has work.
struct Share<'a>(&'a watch::Sender<u32>);

impl<'a> Share<'a> {
    fn take(busy: &'a watch::Sender<u32>) -> Self {
        busy.send_modify(|threads| *threads += 1);
        Self(busy)
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|threads| *threads -= 1);
    }
}
