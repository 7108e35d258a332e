//! The life of a node that is told to stop.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    refusal::{
        Reason,
        Refusal, //
    },
};

use super::{
    Load,
    Work, //
};

/// When a caller that was turned away may try again; the balancer then finds another node.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The node takes new work.
#[derive(Debug)]
pub struct Serving(());

/// The node takes nothing new and finishes what is in flight.
#[derive(Debug)]
pub struct Draining {
    since: Timestamp,
    deadline: Timestamp,
}

/// Nothing is in flight; the process may exit.
#[derive(Debug)]
pub struct Empty {
    took: Duration,
}

/// The grace is over with work still in flight.
#[derive(Debug)]
pub struct Expired(());

/// The life of a node that is told to stop, by state.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use fulmarpier_coordination::drain::{Drain, Progress, Work};
/// use fulmarpier_state::clock::Timestamp;
///
/// let mut serving = Drain::new();
/// serving.enter(Work::Request);
/// let mut draining = serving.drain(Timestamp::ZERO, Duration::from_secs(30));
/// draining.leave(Work::Request);
/// assert!(matches!(draining.check(Timestamp::ZERO), Progress::Empty(_)));
/// ```
#[derive(Debug)]
pub struct Drain<S> {
    state: S,
    load: Load,
}

/// Where a drain stands.
#[derive(Debug)]
pub enum Progress {
    /// Work is in flight and there is time.
    Waiting(Drain<Draining>),
    /// Nothing is in flight.
    Empty(Drain<Empty>),
    /// Work is in flight and the grace is over.
    Expired(Drain<Expired>),
}

impl<S> Drain<S> {
    /// Returns what is in flight.
    pub const fn load(&self) -> Load {
        self.load
    }
}

impl Default for Drain<Serving> {
    fn default() -> Self {
        Self::new()
    }
}

impl Drain<Serving> {
    /// Makes the life of a node that has just started.
    pub fn new() -> Self {
        Self {
            state: Serving(()),
            load: Load::default(),
        }
    }

    /// Notes new work.
    pub const fn enter(&mut self, work: Work) {
        self.load.enter(work);
    }

    /// Notes that work is over.
    pub const fn leave(&mut self, work: Work) {
        self.load.leave(work);
    }

    /// Stops taking new work; what is in flight has `grace` to finish.
    pub fn drain(self, now: Timestamp, grace: Duration) -> Drain<Draining> {
        Drain {
            state: Draining {
                since: now,
                deadline: now + grace,
            },
            load: self.load,
        }
    }
}

impl Drain<Draining> {
    /// Notes that work is over.
    pub const fn leave(&mut self, work: Work) {
        self.load.leave(work);
    }

    /// Notes work that finishing other work makes necessary, such as the append of a result.
    pub const fn follow_up(&mut self, work: Work) {
        self.load.enter(work);
    }

    /// Returns what someone with new work is told.
    pub fn refusal(&self) -> Refusal {
        Refusal::new(
            Reason::Draining,
            "this node is leaving; another one takes the work",
        )
        .retry_after(RETRY_AFTER)
    }

    /// Returns when the grace is over.
    pub const fn deadline(&self) -> Timestamp {
        self.state.deadline
    }

    /// Returns where the drain stands.
    pub fn check(self, now: Timestamp) -> Progress {
        let load = self.load;
        if load.is_empty() {
            let took = now.since(self.state.since);
            let state = Empty { took };
            return Progress::Empty(Drain { state, load });
        }
        if now >= self.state.deadline {
            let state = Expired(());
            return Progress::Expired(Drain { state, load });
        }
        Progress::Waiting(self)
    }
}

impl Drain<Empty> {
    /// Returns how long it took.
    pub const fn took(&self) -> Duration {
        self.state.took
    }
}
