//! One incarnation of a worker: its room, its lease and what it is believed to hold.

use std::{
    cmp::Ordering,
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    quota,
    resource::Resources, //
};

use crate::{
    bounds::Bounds,
    effect::Destination,
    engine::Pacing,
    event::Registration,
    id::{
        Fence,
        Incarnation,
        Run,
        StepId,
        TaskId, //
    },
};

/// For this long an inventory may have been overtaken by another: calls wait 1 s for an end and are
/// given up 0.8 s later.
const OVERTAKEN: Duration = Duration::from_secs(2);

/// How long a worker that nobody lists and that runs nothing is remembered.
const FORGET: Duration = Duration::from_secs(10);

/// How far a run has come on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It was decided; its order waits until the decision is on record.
    Recording,
    /// Its order is on its way.
    Starting,
    /// The worker has confirmed or listed it.
    Running {
        /// When it was confirmed; inventories asked for earlier may not list it yet.
        since: Timestamp,
    },
    /// It has to end, or must never begin.
    Stopping {
        /// When the worker confirmed the stop.
        confirmed: Option<Timestamp>,
    },
}

/// What a run counts for against the limit of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The account of the workspace.
    pub account: quota::Slot,
    /// How much.
    pub size: Resources,
}

/// A run that may use a worker's room, from the decision to start it to proof that it is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// What it takes.
    pub size: Resources,
    /// What it counts for, where its job belongs to a workspace.
    pub charge: Option<Charge>,
    /// How far it has come.
    pub phase: Phase,
    /// When it was decided or adopted.
    pub since: Timestamp,
    /// The fence of its last order, or under which the worker listed it.
    pub fence: Fence,
    /// How many orders to start it got no answer that is known here; each may still be carried out.
    pub unanswered: u8,
    /// Whether its order is given again once the worker, which has fallen silent, is heard.
    pub is_held_back: bool,
    /// Whether only tasks of its own step are started beside it.
    pub alone: bool,
    /// When the worker was known to have it first; it may have begun it earlier.
    pub begun: Option<Timestamp>,
    /// Whether the worker is known to have worked on it for longer than a crash at its start takes.
    pub outlasted: bool,
}

impl Claim {
    /// Notes that the worker has it.
    pub fn confirm(&mut self, now: Timestamp) {
        self.begun.get_or_insert(now);
        self.is_held_back = false;
        if self.phase == Phase::Starting {
            self.phase = Phase::Running { since: now };
        }
    }
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reading {
    millis: u64,
    at: Timestamp,
}

/// The call that renews the lease and asks for the inventory; one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The next call is made at this time.
    Due(Timestamp),
    /// A call is on its way since this time.
    Out(Timestamp),
}

impl Contact {
    /// Returns whether the call is on its way.
    pub const fn is_out(self) -> bool {
        matches!(self, Self::Out(_))
    }

    /// Returns whether the call should be made now.
    pub fn is_due(self, now: Timestamp) -> bool {
        matches!(self, Self::Due(at) if at <= now)
    }
}

/// Which incarnation of a worker an answer is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
    /// The one that was heard last, as far as that can be told.
    Present,
    /// One before it.
    Former,
    /// One after it.
    Later,
}

/// How a worker fell silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Its connections broke at this time, as when its process goes down.
    Broken(Timestamp),
    /// No answer came in time: it may have gone down at any moment since it was last heard, or is cut off.
    Missed,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it reports of itself.
    pub registration: Registration,
    /// When it last reported itself.
    pub told: Timestamp,
    /// Which incarnation was last heard, where the platform says so.
    pub incarnation: Option<Incarnation>,
    /// Whether its report was changed by an incarnation that was not heard yet.
    pub is_superseded: bool,
    /// What its orders carry.
    pub fence: Fence,
    /// When the fence was raised under this ownership: nothing that was ordered before is carried out once the worker has
    /// answered a call made from then on.
    pub raised: Option<Timestamp>,
    /// How many runs its last inventory listed.
    pub listed: usize,
    /// What no claim takes.
    pub free: Resources,
    /// What may use it.
    pub claims: BTreeMap<(TaskId, Run), Claim>,
    /// The call for its inventory.
    pub contact: Contact,
    /// A second call, which doesn't wait for an end: whether a start without an answer has come to
    /// anything should be known at once, not when the first call returns up to a second later.
    pub peek: Option<Contact>,
    /// When an inventory last came in under this ownership.
    pub heard: Option<Timestamp>,
    /// Since when its calls stay unanswered.
    pub silent: Option<Timestamp>,
    /// How it fell silent, where it is.
    pub silence: Option<Silence>,
    /// Since when the store doesn't list it.
    pub unlisted: Option<Timestamp>,
    /// Since when what the store lists of it names no worker to use.
    pub distrusted: Option<Timestamp>,
    /// Whether it stands in a data centre that is evacuated, as far as that is known.
    pub is_evacuated: bool,
    /// The last end that was taken in.
    pub seen: u64,
    /// The last end that is on record and may be forgotten by the worker.
    pub kept: u64,
    /// Runs that are over, by when that was learnt: an inventory that was overtaken still lists them.
    over: VecDeque<(Timestamp, TaskId, Run)>,
    /// Until when it gets nothing new, since it turned work away or failed what it started.
    pub rests: Timestamp,
    /// Failures in a row of tasks that it started, without a success between them.
    pub failures: u32,
    /// The share at which its filling tasks work.
    pub pacing: Pacing,
    reading: Option<Reading>,
    lapses: Timestamp,
}

impl Worker {
    /// Makes a worker of which nothing is known but its registration.
    ///
    /// Until `lapses` it may hold tasks under a lease that a former owner granted.
    pub fn new(
        registration: Registration,
        fence: Fence,
        now: Timestamp,
        lapses: Timestamp,
    ) -> Self {
        Self {
            free: registration.capacity,
            told: now,
            incarnation: None,
            is_superseded: false,
            fence,
            raised: None,
            listed: 0,
            registration,
            claims: BTreeMap::new(),
            contact: Contact::Due(now),
            peek: None,
            heard: None,
            silent: None,
            silence: None,
            unlisted: None,
            distrusted: None,
            is_evacuated: false,
            seen: 0,
            kept: 0,
            over: VecDeque::new(),
            rests: Timestamp::ZERO,
            failures: 0,
            pacing: Pacing::default(),
            reading: None,
            lapses,
        }
    }

    /// Returns where its orders go.
    pub fn destination(&self) -> Destination {
        Destination {
            worker: self.registration.id.clone(),
            address: self.registration.address,
            fence: self.fence,
        }
    }

    /// Notes what the worker's clock showed when it answered.
    pub fn read_clock(&mut self, millis: u64, now: Timestamp) {
        self.reading = Some(Reading { millis, at: now });
    }

    /// Returns the end of the longest lease on the worker's clock, and notes that it is granted.
    pub fn extend(&mut self, bounds: &Bounds, now: Timestamp) -> Option<u64> {
        let reading = self.reading?;
        let elapsed = now.since(reading.at) + bounds.lease;
        self.lapses = self.lapses.max(now + bounds.lapse());
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Some(reading.millis.saturating_add(elapsed))
    }

    /// Returns when every lease that was granted has certainly lapsed.
    pub const fn lapses(&self) -> Timestamp {
        self.lapses
    }

    /// Returns whether the store lists it by an entry that can be used.
    pub const fn is_listed(&self) -> bool {
        self.unlisted.is_none() && self.distrusted.is_none()
    }

    /// Returns whether what it reports of itself is of the incarnation that was heard last: another one may have less
    /// room or be of another kind.
    pub fn is_current(&self) -> bool {
        let told = self.registration.incarnation;
        told.zip(self.incarnation)
            .is_none_or(|(told, heard)| told == heard)
    }

    /// Tells which incarnation an answer is from to a call that was made at some moment.
    ///
    /// The clocks by which incarnations begin may jump back. A call that was made when one had answered, to this owner or a
    /// former one, can't have reached one before.
    pub fn identify(&self, told: Option<Incarnation>, asked: Timestamp) -> Teller {
        let Some((told, known)) = told.zip(self.incarnation) else {
            return Teller::Present;
        };
        let is_after = self.heard.is_none_or(|heard| heard <= asked);
        match told.cmp(&known) {
            Ordering::Equal => Teller::Present,
            Ordering::Less if !is_after => Teller::Former,
            Ordering::Less | Ordering::Greater => Teller::Later,
        }
    }

    /// Begins another incarnation, which has told of nothing yet; what may be on its way to it stays claimed.
    pub fn begin(&mut self, incarnation: Option<Incarnation>, fence: Fence, now: Timestamp) {
        self.incarnation = incarnation;
        self.is_superseded = false;
        self.fence = fence;
        self.raised = Some(now);
        self.seen = 0;
        self.kept = 0;
        self.reading = None;
        self.over.clear();
        self.failures = 0;
        self.pacing = Pacing::default();
    }

    /// Returns whether an inventory that was asked for at some moment proves that no order to start a run is carried out
    /// any more: all of them were for a former incarnation.
    pub fn is_void(&self, claim: &Claim, asked: Timestamp) -> bool {
        claim.fence < self.fence && self.raised.is_some_and(|raised| raised <= asked)
    }

    /// Returns the last end that it may forget: none while the next answer may be another incarnation's, which numbers its
    /// own ends from one.
    pub fn acknowledged(&self) -> u64 {
        match self.silent.is_some() || self.is_superseded {
            true => 0,
            false => self.kept,
        }
    }

    /// Returns whether new tasks may be placed on it, unless it rests.
    pub fn is_taking(&self) -> bool {
        self.heard.is_some()
            && self.silent.is_none()
            && self.is_current()
            && self.is_listed()
            && self.registration.leaving.is_none()
            && !self.is_evacuated
    }

    /// Returns whether new tasks may be placed on it now.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.is_taking() && self.rests <= now
    }

    /// Returns whether its claims take more than it has.
    pub fn is_overfull(&self) -> bool {
        self.used()
            .is_none_or(|used| !used.fits(&self.registration.capacity))
    }

    /// Takes room for a run; false where there is not enough.
    pub fn claim(&mut self, task: TaskId, run: Run, claim: Claim) -> bool {
        let room = match claim.alone {
            true => self.room_alone(task.step),
            false => self.free,
        };
        let Some(free) = room.checked_sub(claim.size) else {
            return false;
        };
        self.free = if claim.alone { Resources::ZERO } else { free };
        self.claims.insert((task, run), claim);
        true
    }

    /// Returns the room for tasks of a step that are to be alone: what these leave of a worker without others.
    pub fn room_alone(&self, step: StepId) -> Resources {
        let mut claims = self.claims.iter();
        match claims.all(|((task, _), claim)| task.step == step && claim.alone) {
            true => self.unclaimed(),
            false => Resources::ZERO,
        }
    }

    /// Lets others be started beside a run.
    pub fn end_solitude(&mut self, task: TaskId, run: Run) {
        if let Some(claim) = self.claims.get_mut(&(task, run)) {
            claim.alone = false;
            self.recount();
        }
    }

    /// Takes in a run that is there already, whatever room there is.
    pub fn adopt(&mut self, task: TaskId, run: Run, claim: Claim) {
        self.claims.insert((task, run), claim);
        self.recount();
    }

    /// Gives back the room of a run that is certainly gone.
    pub fn release(&mut self, task: TaskId, run: Run) -> Option<Claim> {
        let claim = self.claims.remove(&(task, run))?;
        self.recount();
        Some(claim)
    }

    /// Takes in a change of the worker's own capacity.
    pub fn adopt_capacity(&mut self) {
        self.recount();
    }

    /// Counts the free room anew; where more is held than fits, or a run is to be alone, nothing is free.
    fn recount(&mut self) {
        self.free = match self.claims.values().any(|claim| claim.alone) {
            true => Resources::ZERO,
            false => self.unclaimed(),
        };
    }

    fn unclaimed(&self) -> Resources {
        let capacity = self.registration.capacity;
        let left = self.used().and_then(|used| capacity.checked_sub(used));
        left.unwrap_or(Resources::ZERO)
    }

    /// Returns what all claims take; `None` where that can't be counted.
    fn used(&self) -> Option<Resources> {
        let mut sizes = self.claims.values().map(|claim| claim.size);
        sizes.try_fold(Resources::ZERO, |sum, size| sum.checked_add(size))
    }

    /// Notes that a run is over.
    pub fn end(&mut self, task: TaskId, run: Run, now: Timestamp) {
        while let Some((at, ..)) = self.over.front()
            && now.since(*at) > OVERTAKEN
        {
            self.over.pop_front();
        }
        self.over.push_back((now, task, run));
    }

    /// Returns whether a run is known to be over.
    pub fn is_over(&self, task: TaskId, run: Run) -> bool {
        let mut over = self.over.iter();
        over.any(|(_, ended, of)| (*ended, *of) == (task, run))
    }

    /// Returns whether a label is among the worker's own.
    pub fn has_label(&self, label: &str) -> bool {
        self.registration.labels.iter().any(|own| &**own == label)
    }

    /// Returns whether a newer report changes which steps could run on it.
    pub fn offers_other(&self, newer: &Registration) -> bool {
        let own = &self.registration;
        (&own.pool, own.capacity, &own.labels) != (&newer.pool, newer.capacity, &newer.labels)
    }

    /// Has a call be made again whose answer was of no use.
    pub fn call_again(&mut self, is_peek: bool, now: Timestamp) {
        let call = Contact::Due(now);
        match is_peek {
            true => self.peek = Some(call),
            false if self.contact.is_out() => self.contact = call,
            false => {}
        }
    }

    /// Returns when it is called next, unless calls are on their way.
    pub fn next_call(&self) -> Option<Timestamp> {
        let calls = [self.peek, Some(self.contact)].into_iter().flatten();
        let due = calls.filter_map(|call| match call {
            Contact::Due(at) => Some(at),
            Contact::Out(_) => None,
        });
        due.min()
    }

    /// Returns whether all leases of one that is silent have lapsed, so that what it held is given up.
    pub fn is_lapsed(&self, now: Timestamp) -> bool {
        self.is_missed() && self.lapses <= now
    }

    /// Returns whether it is silent and holds something, or isn't listed either.
    fn is_missed(&self) -> bool {
        self.silent.is_some() && (!self.claims.is_empty() || !self.is_listed())
    }

    /// Returns whether it can be forgotten: it runs nothing, and nobody has listed it for a while.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        let is_unlisted = self.unlisted.is_some_and(|at| now.since(at) >= FORGET);
        is_unlisted && self.claims.is_empty() && self.lapses <= now
    }

    /// Returns when it may be lapsed or idle, if nothing is heard of it before.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let lapse = self.is_missed().then_some(self.lapses);
        let idle = self.unlisted.filter(|_| self.claims.is_empty());
        let idle = idle.map(|at| self.lapses.max(at + FORGET));
        [lapse, idle].into_iter().flatten().min()
    }

    /// Returns for how long nothing was heard of it.
    pub fn age(&self, now: Timestamp) -> Duration {
        self.heard.map_or(Duration::MAX, |heard| now.since(heard))
    }
}
