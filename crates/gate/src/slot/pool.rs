//! All slots that the gate holds, and who waits for one.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use fulmarpier_coordination::{
    credit::{
        Balance,
        End,
        Reply,
        Statement,
        Ticket, //
    },
    platform::target,
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    id::{
        Incarnation,
        NodeId, //
    },
    name::{
        Service,
        Team, //
    },
    refusal::{
        Reason,
        Refusal, //
    },
};
use fulmarpier_transport::clock::Clock;
use tokio::sync::{
    Notify,
    oneshot, //
};

use super::{
    held::Held,
    lane::{
        Lane,
        Verdict, //
    },
    state::State,
    waiting::Waiting,
};
use crate::wait::{
    Limits,
    Ticket as Place, //
};

/// A request for one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The service.
    pub service: Service,
    /// The team on whose account the request runs.
    pub team: Team,
    /// The team's weight against others that wait.
    pub weight: u32,
    /// When the request is of no more use.
    pub deadline: Timestamp,
    /// How long to wait while the gate holds no slot of the service at all.
    pub patience: Duration,
    /// How many requests of the service may wait.
    pub limits: Limits,
    /// The targets that took nothing of the request on. It waits for another one where there is one: its attempts may
    /// outlast the time for which such a target is avoided by all.
    pub refused: Vec<target::Id>,
}

/// How many slots are held and used, and how many requests wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slots that the gate may fill.
    pub held: u64,
    /// Slots that are filled.
    pub used: u64,
    /// Requests that wait.
    pub waiting: u64,
}

/// All slots of one gate; shared by its traffic threads under one short lock.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    state: Mutex<State>,
    hungry: Notify,
}

/// Where a request stands after it came.
enum Entered {
    /// It has a slot.
    At(Ticket),
    /// It waits for one.
    Behind(Place, oneshot::Receiver<Verdict>),
}

impl Pool {
    /// Makes a pool without slots; `seed` decides the order in which targets are picked.
    pub fn new(clock: Clock, gate: NodeId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                balance: Balance::new(gate, incarnation, seed),
                lanes: HashMap::default(),
            }),
            hungry: Notify::new(),
        }
    }

    /// Takes a slot, at once where one is free, else after waiting for it.
    ///
    /// Dropping the future gives the place in the queue back.
    ///
    /// # Errors
    ///
    /// Refuses as soon as it is known that no slot comes in time; nothing was sent then.
    pub async fn acquire(self: &Arc<Self>, ask: &Ask) -> Result<Held, Refusal> {
        let came = self.now();
        let (place, verdict) = match self.enter(ask, came)? {
            Entered::At(ticket) => {
                return Ok(Held::new(self.clone(), ticket, came, Duration::ZERO));
            }
            Entered::Behind(place, verdict) => (place, verdict),
        };
        self.hungry.notify_one();
        let ticket = Waiting::new(self, ask, place, verdict).wait().await?;
        let now = self.now();
        Ok(Held::new(self.clone(), ticket, now, now.since(came)))
    }

    /// Waits until a request has found no slot.
    pub async fn hungry(&self) {
        self.hungry.notified().await;
    }

    /// Makes services known, so that a few slots are held before their first request.
    pub fn expect<'a>(&self, services: impl Iterator<Item = &'a Service>) {
        let mut state = self.lock();
        for service in services {
            state.balance.expect(service);
        }
    }

    /// Makes the statement for a sched; it must be sent right away.
    pub fn state(&self, owner: NodeId, draining: bool) -> Statement {
        let now = self.now();
        self.lock().balance.state(owner, draining, now)
    }

    /// Applies a sched's reply and serves who waits; returns whether it was the reply waited for.
    pub fn apply(&self, owner: NodeId, reply: &Reply) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let applied = state.balance.apply(owner, reply, now);
        state.serve_all(now);
        applied
    }

    /// Tells whether the gate holds a slot of the service.
    pub fn holds(&self, service: &Service) -> bool {
        let now = self.now();
        self.lock().balance.usage(service, now).0 > 0
    }

    /// Returns the sums over some services.
    pub fn usage<'a>(&self, services: impl Iterator<Item = &'a Service>) -> Usage {
        let now = self.now();
        let state = self.lock();
        let mut sum = Usage::default();
        for service in services {
            let (held, used) = state.balance.usage(service, now);
            let waiting = state.lanes.get(service).map_or(0, Lane::len);
            sum.held += u64::from(held);
            sum.used += u64::from(used);
            sum.waiting += u64::try_from(waiting).unwrap_or(u64::MAX);
        }
        sum
    }

    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(super) const fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Puts a slot back and serves who waits for it.
    pub(super) fn put_back(&self, ticket: Ticket, end: End, span: Duration) {
        let now = self.now();
        let service = ticket.service.clone();
        let mut state = self.lock();
        if end == End::Answered
            && let Some(lane) = state.lanes.get_mut(&service)
        {
            lane.record(span);
        }
        state.balance.put_back(ticket, end, now);
        state.serve(&service, now);
    }

    /// Takes a request out of its queue; `false` where it had its verdict already.
    pub(super) fn leave(&self, service: &Service, place: &Place) -> bool {
        let mut state = self.lock();
        let lane = state.lanes.get_mut(service);
        let left = lane.is_some_and(|lane| lane.leave(place));
        if left {
            state.note_waiting(service);
        }
        left
    }

    fn enter(&self, ask: &Ask, now: Timestamp) -> Result<Entered, Refusal> {
        if now >= ask.deadline {
            return Err(past());
        }
        let mut state = self.lock();
        let first = state.lane(ask).is_empty();
        if first
            && let Ok(ticket) = state
                .balance
                .take_elsewhere(&ask.service, &ask.refused, now)
        {
            return Ok(Entered::At(ticket));
        }
        let held = state.balance.usage(&ask.service, now).0;
        let slots = usize::try_from(held).unwrap_or(usize::MAX);
        let (place, verdict) = state.lane(ask).join(ask, slots, now)?;
        state.note_waiting(&ask.service);
        Ok(Entered::Behind(place, verdict))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes the refusal of a request whose deadline was over when it came.
fn past() -> Refusal {
    Refusal::new(Reason::Deadline, "the deadline had passed on arrival")
}
