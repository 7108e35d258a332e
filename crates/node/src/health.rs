//! Whether the store answers this node.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use slog::Logger;
use tokio::time::Instant;

use crate::{
    port::Error,
    report::millis, //
};

/// A store that has not answered for so many times of what its calls usually take counts as away, within the
/// two bounds below.
const AWAY_TIMES: u32 = 8;
/// The least such time. Each node has several calls a second and a lost answer is asked for again after 0.1 s,
/// so half a second of silence is no chance; callers of a node that is cut off come back elsewhere 1.1 s
/// sooner than with the longest.
const AWAY_LEAST: Duration = Duration::from_millis(500);
/// The longest. A store that is slow takes up to 1.4 s, and what it takes late is worth more than a refusal.
const AWAY_MOST: Duration = Duration::from_millis(1_600);

/// A store whose calls usually take longer is slow; they take 9 ms, and 0.35 s on slow days.
const SLOW: Duration = Duration::from_millis(40);

/// An answer is overdue after so many times of what calls usually take.
const OVERDUE: u32 = 4;
/// No answer is overdue before this: the usual one takes 8 ms, a busy processor some tens more.
const LEAST_PATIENCE: Duration = Duration::from_millis(100);

/// A call of the store that is on its way; dropped, it counts as given up.
#[derive(Debug)]
pub(crate) struct Call {
    id: u64,
    purpose: &'static str,
    began: Instant,
    health: StoreHealth,
}

impl Call {
    /// Returns how long ago the call was made.
    pub(crate) fn took(&self) -> Duration {
        self.began.elapsed()
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.health.give_up(self);
    }
}

/// Whether the store answers this node, judged by finished calls and by those without an answer; cheap
/// to clone.
#[derive(Clone, Debug)]
pub(crate) struct StoreHealth {
    state: Arc<Mutex<State>>,
    log: Logger,
}

#[derive(Debug)]
struct State {
    next: u64,
    /// From when on an answer to each call is due.
    waiting: BTreeMap<u64, Instant>,
    answered: Instant,
    /// Since when calls have failed without a success in between.
    failing: Option<Instant>,
    /// How long an answered call takes, of late.
    typical: Duration,
    /// When the store answered again after it had been away.
    regained: Instant,
}

impl State {
    /// Returns how long an answer may take before it is overdue.
    fn patience(&self) -> Duration {
        (self.typical * OVERDUE).max(LEAST_PATIENCE)
    }
}

impl StoreHealth {
    /// Takes the store for well; `log` is told of each change.
    pub(crate) fn new(log: Logger) -> Self {
        let state = State {
            next: 0,
            waiting: BTreeMap::new(),
            answered: Instant::now(),
            failing: None,
            typical: Duration::ZERO,
            regained: Instant::now(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            log,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a call is made that may take `wait` until something happens.
    pub(crate) fn begin(&self, purpose: &'static str, wait: Duration) -> Call {
        let began = Instant::now();
        let mut state = self.state();
        state.next += 1;
        let id = state.next;
        state.waiting.insert(id, began + wait);
        Call {
            id,
            purpose,
            began,
            health: self.clone(),
        }
    }

    /// Notes that a call is not waited for any more; one whose answer is overdue has failed.
    fn give_up(&self, call: &Call) {
        let mut state = self.state();
        // A call that has ended is not among them.
        let Some(due) = state.waiting.remove(&call.id) else {
            return;
        };
        let is_overdue = due + state.patience() <= Instant::now();
        if is_overdue && state.failing.is_none() && state.answered <= call.began {
            state.failing = Some(due.max(state.answered));
            self.log_failure(call, "given-up");
        }
    }

    fn log_failure(&self, call: &Call, why: &'static str) {
        slog::warn!(self.log, "store-failing"; "why" => why, "purpose" => call.purpose);
    }

    /// Notes what came of a call.
    pub(crate) fn end<T>(&self, call: &Call, result: &Result<T, Error>) {
        let mut state = self.state();
        let due = state.waiting.remove(&call.id);
        let Err(error @ (Error::Refused(_) | Error::Unanswered)) = result else {
            state.answered = Instant::now();
            if let Some(due) = due {
                let took = state.answered.saturating_duration_since(due);
                state.typical = (state.typical * 3 + took) / 4;
            }
            if let Some(since) = state.failing.take() {
                if since.elapsed() >= AWAY_LEAST {
                    state.regained = state.answered;
                }
                slog::info!(self.log, "store-answers"; "after_ms" => millis(since.elapsed()));
            }
            return;
        };
        if state.failing.is_some() || state.answered > call.began {
            // Others were answered since, so this answer was lost on its way.
            return;
        }
        let due = due.unwrap_or(call.began).max(state.answered);
        state.failing = Some(due.min(Instant::now()));
        self.log_failure(call, error.word());
    }

    /// Returns for how long the store has owed an answer without giving any.
    pub(crate) fn failing_for(&self) -> Duration {
        let state = self.state();
        let oldest = state.waiting.values().min();
        let silent = oldest.map(|due| (*due).max(state.answered));
        let since = [state.failing, silent].into_iter().flatten().min();
        since.map_or(Duration::ZERO, |since| {
            Instant::now().saturating_duration_since(since)
        })
    }

    /// Returns whether the store has answered within some time, and owes nothing since.
    pub(crate) fn has_answered_within(&self, time: Duration) -> bool {
        let state = self.state();
        state.failing.is_none() && state.answered.elapsed() <= time
    }

    /// Returns whether calls have failed without a success in between.
    pub(crate) fn is_failing(&self) -> bool {
        self.state().failing.is_some()
    }

    /// Returns how long an answered call takes, of late.
    pub(crate) fn usual(&self) -> Duration {
        self.state().typical
    }

    /// Returns when the store answered this node again after it had last been away.
    pub(crate) fn regained(&self) -> Instant {
        self.state().regained
    }

    /// Returns whether the store answers this node, but takes its time.
    pub(crate) fn is_slow(&self) -> bool {
        self.usual() >= SLOW && !self.is_failing()
    }

    /// Returns how long an answer may take before it is overdue.
    pub(crate) fn patience(&self) -> Duration {
        self.state().patience()
    }

    /// Returns whether the store counts as away for this node.
    pub(crate) fn is_away(&self) -> bool {
        let away = (self.usual() * AWAY_TIMES).clamp(AWAY_LEAST, AWAY_MOST);
        self.failing_for() >= away
    }
}
