//! What a process holds for its clients, bounded in sum over all connections of all its listeners.
//!
//! Each connection is a [`Member`] that accounts for the bytes it makes the process hold. When the sum comes near its
//! bound, the members that hold the most and whose request is not whole have to go; when a listener has as many
//! connections as it may have, the one that came no further for longest has to go. A member whose request is being
//! served stays.

use std::{
    cmp::Reverse,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};

use fulmarpier_state::{
    alias::HashMap,
    unit::Bytes, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};
use tokio_util::sync::CancellationToken;

use crate::bound::{
    Bound,
    Share, //
};

/// A member that holds no more than this is small: a part of the bound is kept for such.
const SMALL: u64 = 32 << 10;
/// One in this many bytes of the bound is kept for small members.
const RESERVE_DIVISOR: u64 = 4;

/// How often each limit acted.
#[derive(Debug, Default)]
struct Counters {
    connections: AtomicU64,
    memory: AtomicU64,
    time: AtomicU64,
    empty_lines: AtomicU64,
}

/// A limit on what clients can make the process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The connections of a listener: one was closed for another.
    Connections,
    /// The bytes held for all clients: a request was refused, or a connection closed.
    Memory,
    /// The time in which the body of a request must have come.
    Time,
    /// The empty lines before a request.
    EmptyLines,
}

impl Limit {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::Connections,
        Self::Memory,
        Self::Time,
        Self::EmptyLines,
    ];

    /// Returns the label in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Time => "time",
            Self::EmptyLines => "empty-lines",
        }
    }
}

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It is being closed, and what still comes is thrown away.
    Closing,
    /// It has no request, or the head of one is not whole yet.
    Waiting,
    /// The head of a request is whole, its body is not.
    Receiving,
    /// A request is being served.
    Serving,
}

/// The members of one process; cheap to clone.
#[derive(Clone, Debug)]
pub struct Crowd(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    bound: Bound,
    members: Mutex<HashMap<u64, Arc<Member>>>,
    next: AtomicU64,
    counters: Counters,
    /// Notified when a limit has acted.
    acted: Notify,
}

/// One connection.
#[derive(Debug)]
pub(crate) struct Member {
    crowd: Arc<Inner>,
    number: u64,
    /// The listener that accepted the connection.
    listener: u64,
    /// Cancelled when the connection has to go at once.
    end: CancellationToken,
    /// Cancelled when its present request is refused.
    refusal: CancellationToken,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// How many requests it has made.
    requests: u64,
    /// Whether a part of the present request's body is still to come.
    is_partial: bool,
    /// When it last came further.
    since: Instant,
    share: Share,
}

/// Keeps a member in the crowd.
#[derive(Debug)]
pub(crate) struct Membership(Arc<Member>);

impl Crowd {
    /// Makes a crowd for which nothing is held.
    pub fn new(most: Bytes) -> Self {
        Self(Arc::new(Inner {
            bound: Bound::new(most.get()),
            members: Mutex::default(),
            next: AtomicU64::new(0),
            counters: Counters::default(),
            acted: Notify::new(),
        }))
    }

    /// Makes a crowd that may hold anything.
    pub fn unbounded() -> Self {
        Self::new(Bytes(u64::MAX))
    }

    /// Returns how often a limit acted so far.
    pub fn count(&self, limit: Limit) -> u64 {
        self.0.counter(limit).load(Ordering::Relaxed)
    }

    /// Waits until a limit acts, or has acted since the last wait.
    pub async fn acted(&self) {
        self.0.acted.notified().await;
    }

    /// Returns how many bytes are held.
    pub fn held(&self) -> Bytes {
        Bytes(self.0.bound.used())
    }

    /// Returns how many connections there are.
    pub fn connections(&self) -> usize {
        self.0.members().len()
    }

    /// Returns a number for a listener.
    pub(crate) fn listener(&self) -> u64 {
        self.0.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds a connection of a listener; `end` is cancelled when it has to go.
    pub(crate) fn join(&self, listener: u64, end: CancellationToken) -> Membership {
        let number = self.0.next.fetch_add(1, Ordering::Relaxed);
        let member = Arc::new(Member {
            crowd: self.0.clone(),
            number,
            listener,
            refusal: end.child_token(),
            end,
            state: Mutex::new(State {
                phase: Phase::Waiting,
                requests: 0,
                is_partial: false,
                since: Instant::now(),
                share: self.0.bound.nothing(),
            }),
        });
        self.0.members().insert(number, member.clone());
        Membership(member)
    }

    /// Closes the connection of a listener that came no further for longest, of those that are not being served.
    pub(crate) fn evict_stalled(&self, listener: u64) {
        let members = self.0.members();
        let stalled = members
            .values()
            .filter(|member| member.listener == listener && !member.end.is_cancelled())
            .filter_map(|member| {
                let state = member.state();
                (state.phase != Phase::Serving)
                    .then_some(((state.phase != Phase::Closing, state.since), member))
            })
            .min_by_key(|(order, _)| *order);
        if let Some((_, member)) = stalled {
            self.0.acted(Limit::Connections);
            member.end.cancel();
        }
    }
}

impl Inner {
    fn members(&self) -> MutexGuard<'_, HashMap<u64, Arc<Member>>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counter(&self, limit: Limit) -> &AtomicU64 {
        match limit {
            Limit::Connections => &self.counters.connections,
            Limit::Memory => &self.counters.memory,
            Limit::Time => &self.counters.time,
            Limit::EmptyLines => &self.counters.empty_lines,
        }
    }

    fn acted(&self, limit: Limit) {
        self.counter(limit).fetch_add(1, Ordering::Relaxed);
        self.acted.notify_one();
    }

    /// Refuses members that are not being served, those that hold the most first, until what stays is within `most`.
    /// Returns how much those hold that are refused and still there.
    fn make_room(&self, most: u64) -> u64 {
        let members = self.members();
        let leaving = members.values().filter(|member| member.is_refused());
        let mut leaving: u64 = leaving.map(|member| member.state().share.amount()).sum();
        let mut excess = self.bound.used().saturating_sub(leaving + most);
        if excess == 0 {
            return leaving;
        }
        let mut holders: Vec<_> = members
            .values()
            .filter(|member| !member.is_refused())
            .filter_map(|member| Some((member.removable()?, member)))
            .collect();
        holders.sort_by_key(|(order, _)| *order);
        for ((Reverse(held), _), member) in holders {
            if excess == 0 {
                break;
            }
            self.acted(Limit::Memory);
            member.refuse();
            leaving += held;
            excess = excess.saturating_sub(held);
        }
        leaving
    }
}

impl Member {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how far the connection has come.
    pub(crate) fn enter(&self, phase: Phase) {
        let mut state = self.state();
        state.phase = phase;
        state.since = Instant::now();
    }

    /// Notes that the head of a request is whole; what an earlier one made the process hold is gone.
    pub(crate) fn begin(&self) {
        let mut state = self.state();
        state.requests += 1;
        state.is_partial = false;
        state.phase = Phase::Serving;
        state.since = Instant::now();
        state.share.shrink(0);
    }

    /// Returns how many requests it has made.
    pub(crate) fn requests(&self) -> u64 {
        self.state().requests
    }

    /// Notes whether a part of the present request's body is still to come.
    pub(crate) fn set_partial(&self, is_partial: bool) {
        self.state().is_partial = is_partial;
    }

    /// Notes that the present request was answered. If it isn't whole by then, the connection ends with it.
    pub(crate) fn leave(&self) {
        let is_partial = self.state().is_partial;
        self.enter(if is_partial {
            Phase::Closing
        } else {
            Phase::Waiting
        });
    }

    /// Notes that bytes came.
    pub(crate) fn progress(&self) {
        self.state().since = Instant::now();
    }

    pub(crate) fn phase(&self) -> Phase {
        self.state().phase
    }

    /// Accounts for more bytes; returns whether they may be held.
    ///
    /// Where the sum comes near its bound, others that hold more have to go.
    pub(crate) fn hold(&self, bytes: u64) -> bool {
        let bound = &self.crowd.bound;
        let shared = bound.most() - bound.most() / RESERVE_DIVISOR;
        let mut leaving = 0;
        if bound.used().saturating_add(bytes) > shared {
            leaving = self.crowd.make_room(shared.saturating_sub(bytes));
            if self.is_refused() {
                return false;
            }
        }
        let mut state = self.state();
        let most = match state.share.amount() + bytes <= SMALL {
            true => bound.most(),
            // What is about to be given back may be taken already.
            false => shared.saturating_add(leaving),
        };
        let is_held = state.share.grow_below(bytes, most);
        if !is_held {
            self.crowd.acted(Limit::Memory);
        }
        is_held
    }

    /// Holds no more than this from now on.
    pub(crate) fn release(&self, bytes: u64) {
        self.state().share.shrink(bytes);
    }

    /// Notes that a limit acted on it.
    pub(crate) fn acted(&self, limit: Limit) {
        self.crowd.acted(limit);
    }

    /// Returns what it holds and since when it came no further, where it holds something and is not being served.
    fn removable(&self) -> Option<(Reverse<u64>, Instant)> {
        let state = self.state();
        let held = state.share.amount();
        (held > 0 && state.phase != Phase::Serving).then_some((Reverse(held), state.since))
    }

    /// Refuses the present request; where there is none to refuse, the connection has to go.
    fn refuse(&self) {
        match self.phase() {
            Phase::Receiving => self.refusal.cancel(),
            _ => self.end.cancel(),
        }
    }

    /// Returns whether its request was refused or it has to go.
    pub(crate) fn is_refused(&self) -> bool {
        self.refusal.is_cancelled()
    }

    /// Returns the token that is cancelled when the connection has to go.
    pub(crate) const fn end(&self) -> &CancellationToken {
        &self.end
    }

    /// Returns the token that is cancelled when its request is refused.
    pub(crate) const fn refusal(&self) -> &CancellationToken {
        &self.refusal
    }
}

impl Membership {
    /// Returns the member.
    pub(crate) const fn member(&self) -> &Arc<Member> {
        &self.0
    }
}

impl Drop for Membership {
    fn drop(&mut self) {
        self.0.crowd.members().remove(&self.0.number);
        self.0.release(0);
    }
}
