//! Whether the store answers this node.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::port::Error;

/// A store that has not answered for this long counts as away. Slow days take up to 0.7 s for an
/// append, and a lost answer alone says nothing.
const AWAY: Duration = Duration::from_millis(1_200);

/// An answer is overdue after so many times of what calls usually take.
const OVERDUE: u32 = 4;
/// No answer is overdue before this: the usual one takes 8 ms, a busy processor some tens more.
const LEAST_PATIENCE: Duration = Duration::from_millis(100);

/// A call of the store that is on its way.
#[derive(Debug)]
pub(crate) struct Call {
    id: u64,
    began: Instant,
}

impl Call {
    /// Returns how long ago the call was made.
    pub(crate) fn took(&self) -> Duration {
        self.began.elapsed()
    }
}

/// A change of what is believed of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// It fails now.
    Fails,
    /// It answers again, after this time.
    Answers(Duration),
}

/// Whether the store answers this node, judged by finished calls and by those without an answer.
#[derive(Debug)]
pub(crate) struct StoreHealth(Mutex<State>);

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
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self(Mutex::new(State {
            next: 0,
            waiting: BTreeMap::new(),
            answered: Instant::now(),
            failing: None,
            typical: Duration::ZERO,
        }))
    }
}

impl StoreHealth {
    /// Notes that a call is made that may take `wait` until something happens.
    pub(crate) fn begin(&self, wait: Duration) -> Call {
        let began = Instant::now();
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.next += 1;
        let id = state.next;
        state.waiting.insert(id, began + wait);
        Call { id, began }
    }

    /// Notes what came of a call; returns the change, if there is one.
    pub(crate) fn end<T>(&self, call: Call, result: &Result<T, Error>) -> Option<Change> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let due = state.waiting.remove(&call.id);
        let is_failure = matches!(result, Err(Error::Refused(_) | Error::Unanswered));
        if !is_failure {
            state.answered = Instant::now();
            if let Some(due) = due {
                let took = state.answered.saturating_duration_since(due);
                state.typical = (state.typical * 3 + took) / 4;
            }
            let since = state.failing.take()?;
            return Some(Change::Answers(since.elapsed()));
        }
        if state.failing.is_some() || state.answered > call.began {
            // Others were answered since, so this answer was lost on its way.
            return None;
        }
        let due = due.unwrap_or(call.began).max(state.answered);
        state.failing = Some(due.min(Instant::now()));
        Some(Change::Fails)
    }

    /// Returns for how long the store has owed an answer without giving any.
    pub(crate) fn failing_for(&self) -> Duration {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = state.waiting.values().min();
        let silent = oldest.map(|due| (*due).max(state.answered));
        let since = [state.failing, silent].into_iter().flatten().min();
        since.map_or(Duration::ZERO, |since| {
            Instant::now().saturating_duration_since(since)
        })
    }

    /// Returns whether calls have failed without a success in between.
    pub(crate) fn is_failing(&self) -> bool {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.failing.is_some()
    }

    /// Returns how long an answered call takes, of late.
    pub(crate) fn usual(&self) -> Duration {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.typical
    }

    /// Returns how long an answer may take before it is overdue.
    pub(crate) fn patience(&self) -> Duration {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (state.typical * OVERDUE).max(LEAST_PATIENCE)
    }

    /// Returns whether the store counts as away for this node.
    pub(crate) fn is_away(&self) -> bool {
        self.failing_for() >= AWAY
    }
}
