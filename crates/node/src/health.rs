//! Tracks whether and how fast the store answers this node.

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
    platform::Error,
    telemetry::millis, //
};

/// The store counts as unavailable once it has been failing for this multiple of its typical latency, clamped to
/// [`MIN_UNAVAILABLE_TIME`] and [`MAX_UNAVAILABLE_TIME`].
const UNAVAILABLE_FACTOR: u32 = 8;
/// The shortest failing time after which the store counts as unavailable.
///
/// Each node makes several calls per second, and a call is retried 0.1 s after its answer is lost, so half a second of
/// silence doesn't happen by chance. Callers of a disconnected node retry on another node 1.1 s sooner than with
/// [`MAX_UNAVAILABLE_TIME`].
const MIN_UNAVAILABLE_TIME: Duration = Duration::from_millis(500);
/// The longest failing time after which the store counts as unavailable. A slow store takes up to 1.4 s, and a late
/// success is worth more than a refusal.
const MAX_UNAVAILABLE_TIME: Duration = Duration::from_millis(1_600);

/// The typical latency from which on the store counts as slow. It is 9 ms normally and 0.35 s when the store is slow.
const SLOW_LATENCY: Duration = Duration::from_millis(40);

/// An answer is overdue after this multiple of the typical latency, but not before [`MIN_OVERDUE_TIME`].
const OVERDUE_FACTOR: u32 = 4;
/// The shortest time after which an answer is overdue. The typical latency is 8 ms, and a busy processor adds a few
/// tens of milliseconds.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(100);

/// A store call in flight. Dropping it before it has ended abandons the call.
#[derive(Debug)]
pub(crate) struct Call {
    id: u64,
    purpose: &'static str,
    began: Instant,
    health: StoreHealth,
}

impl Call {
    /// Records the result of the call.
    pub(crate) fn end<T>(&self, result: &Result<T, Error>) {
        self.health.end(self, result);
    }

    /// Returns the time since the call was made.
    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.health.abandon(self);
    }
}

/// The health of the store as seen from this node, from finished and unanswered calls; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct StoreHealth {
    state: Arc<Mutex<State>>,
    log: Logger,
}

#[derive(Debug)]
struct State {
    next_id: u64,
    /// The calls in flight, each with the time from which on its answer is due.
    in_flight: BTreeMap<u64, Instant>,
    last_answer: Instant,
    /// Whether the store has ever answered; `last_answer` is when this node started until then.
    has_answered: bool,
    /// The start of the present series of failures; `None` after a success.
    failing_since: Option<Instant>,
    /// The moving average of the latency of answered calls.
    typical_latency: Duration,
    /// When the store last answered after an outage.
    recovered_at: Instant,
}

impl State {
    /// Returns the time after which an answer is overdue.
    fn overdue_time(&self) -> Duration {
        (self.typical_latency * OVERDUE_FACTOR).max(MIN_OVERDUE_TIME)
    }
}

impl StoreHealth {
    /// Creates the state of a healthy store; each change is written to `log`.
    pub(crate) fn new(log: Logger) -> Self {
        let state = State {
            next_id: 0,
            in_flight: BTreeMap::new(),
            last_answer: Instant::now(),
            has_answered: false,
            failing_since: None,
            typical_latency: Duration::ZERO,
            recovered_at: Instant::now(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            log,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a call that is about to be made, to which the store may delay its answer by `wait`.
    pub(crate) fn begin(&self, purpose: &'static str, wait: Duration) -> Call {
        let began = Instant::now();
        let mut state = self.state();
        state.next_id += 1;
        let id = state.next_id;
        state.in_flight.insert(id, began + wait);
        Call {
            id,
            purpose,
            began,
            health: self.clone(),
        }
    }

    /// Removes a call that nobody waits for any more; it has failed if its answer is overdue.
    fn abandon(&self, call: &Call) {
        let mut state = self.state();
        // A call that has ended is no longer in flight.
        let Some(due) = state.in_flight.remove(&call.id) else {
            return;
        };
        let is_overdue = due + state.overdue_time() <= Instant::now();
        if is_overdue && state.failing_since.is_none() && state.last_answer <= call.began {
            state.failing_since = Some(due.max(state.last_answer));
            self.log_failure(call, "given-up");
        }
    }

    fn log_failure(&self, call: &Call, why: &'static str) {
        slog::warn!(self.log, "store-failing"; "why" => why, "purpose" => call.purpose);
    }

    fn end<T>(&self, call: &Call, result: &Result<T, Error>) {
        let mut state = self.state();
        let due = state.in_flight.remove(&call.id);
        let Err(error @ (Error::Refused(_) | Error::Unanswered)) = result else {
            state.last_answer = Instant::now();
            state.has_answered = true;
            if let Some(due) = due {
                let took = state.last_answer.saturating_duration_since(due);
                state.typical_latency = (state.typical_latency * 3 + took) / 4;
            }
            if let Some(since) = state.failing_since.take() {
                if since.elapsed() >= MIN_UNAVAILABLE_TIME {
                    state.recovered_at = state.last_answer;
                }
                slog::info!(self.log, "store-answers"; "after_ms" => millis(since.elapsed()));
            }
            return;
        };
        if state.failing_since.is_some() || state.last_answer > call.began {
            // Later calls were answered, so only this answer was lost.
            return;
        }
        let due = due.unwrap_or(call.began).max(state.last_answer);
        state.failing_since = Some(due.min(Instant::now()));
        self.log_failure(call, error.as_str());
    }

    /// Returns how long the store has been failing: the time since the first failure or unanswered due call.
    pub(crate) fn failing_for(&self) -> Duration {
        let state = self.state();
        let oldest = state.in_flight.values().min();
        let silent = oldest.map(|due| (*due).max(state.last_answer));
        let since = [state.failing_since, silent].into_iter().flatten().min();
        since.map_or(Duration::ZERO, |since| {
            Instant::now().saturating_duration_since(since)
        })
    }

    /// Returns whether the store has answered within `time` and no call has failed since.
    pub(crate) fn has_answered_within(&self, time: Duration) -> bool {
        let state = self.state();
        state.has_answered && state.failing_since.is_none() && state.last_answer.elapsed() <= time
    }

    /// Returns whether a call has failed since the last success.
    pub(crate) fn is_failing(&self) -> bool {
        self.state().failing_since.is_some()
    }

    /// Returns the moving average of the latency of answered calls.
    pub(crate) fn typical_latency(&self) -> Duration {
        self.state().typical_latency
    }

    /// Returns when the store last answered this node after an outage.
    pub(crate) fn recovered_at(&self) -> Instant {
        self.state().recovered_at
    }

    /// Returns whether the store answers this node slowly.
    pub(crate) fn is_slow(&self) -> bool {
        self.typical_latency() >= SLOW_LATENCY && !self.is_failing()
    }

    /// Returns the time after which an answer is overdue.
    pub(crate) fn overdue_time(&self) -> Duration {
        self.state().overdue_time()
    }

    /// Returns whether the store counts as unavailable for this node.
    pub(crate) fn is_unavailable(&self) -> bool {
        let limit = (self.typical_latency() * UNAVAILABLE_FACTOR)
            .clamp(MIN_UNAVAILABLE_TIME, MAX_UNAVAILABLE_TIME);
        self.failing_for() >= limit
    }
}
