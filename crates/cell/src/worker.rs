//! One incarnation of a worker: its free capacity, its lease and the runs that it may hold.

use std::{
    cmp::Ordering,
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddr,
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
    engine::Throttling,
    event::{
        Registration,
        Running, //
    },
    id::{
        Fence,
        Incarnation,
        Run,
        StepId,
        TaskId, //
    },
    speed::{
        Class,
        Estimate,
        Progress,
        Track, //
    },
};

/// For how long a newer inventory may have overtaken an older one: heartbeats wait 1 s for an end and time out 0.8 s
/// later.
const MAX_INVENTORY_DELAY: Duration = Duration::from_secs(2);

/// How long the engine remembers a worker that is not listed and runs nothing.
const UNLISTED_RETENTION: Duration = Duration::from_secs(10);

/// The state of a run on its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The run was placed; its order waits until the placement is recorded.
    Recording,
    /// The order to start it is in flight.
    Starting,
    /// The worker has confirmed or listed it.
    Running {
        /// When it was confirmed; inventories requested earlier may not list it yet.
        since: Timestamp,
        /// Its progress.
        track: Track,
    },
    /// It has to end, or must not begin.
    Stopping {
        /// When the worker confirmed the stop.
        confirmed: Option<Timestamp>,
    },
}

impl Phase {
    /// Returns the name of the phase, as logs and metric labels have it.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Recording => "recording",
            Self::Starting => "starting",
            Self::Running { .. } => "running",
            Self::Stopping { .. } => "stopping",
        }
    }
}

/// What a run counts against the limit of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The account of the workspace.
    pub account: quota::Slot,
    /// The resources.
    pub size: Resources,
}

/// A run that may use a worker's capacity, from its placement to the proof that it is gone.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    /// The resources that it takes.
    pub size: Resources,
    /// What it counts against a limit, if its job belongs to a workspace.
    pub charge: Option<Charge>,
    /// Its state.
    pub phase: Phase,
    /// When it was placed or adopted.
    pub since: Timestamp,
    /// The fence of its last order, or the one under which the worker listed it.
    pub fence: Fence,
    /// The number of orders to start it without a known answer; each may still be carried out.
    pub unanswered_starts: u8,
    /// Whether its order is sent again once the worker, which has stopped answering, answers.
    pub resend_when_heard: bool,
    /// Whether only tasks of the same step may be started on its worker.
    pub is_exclusive: bool,
    /// When the worker was first known to have it; the worker may have started it earlier.
    pub first_confirmed: Option<Timestamp>,
    /// Whether the worker has answered this owner without listing it, while it was only known from the record.
    pub is_unlisted: bool,
    /// Its progress when the worker last listed it.
    pub progress: Option<Progress>,
    /// Whether the worker is known to have run it for longer than a crash at its start takes.
    pub outlived_crash_window: bool,
}

impl Allocation {
    /// Notes the progress with which the worker lists the run; returns whether that shows that the run is at work.
    ///
    /// A run that resumes from a checkpoint is listed with the progress of the checkpoint before it works.
    pub fn note_progress(&mut self, running: &Running) -> bool {
        let before = self.progress;
        self.progress = running.progress.or(before);
        running.progress.is_some_and(|progress| match before {
            Some(before) => progress > before,
            None => running.checkpoint.is_none() && progress.percent() > 0.0,
        })
    }

    /// Notes that the worker has the run.
    pub fn confirm(&mut self, now: Timestamp) {
        self.first_confirmed.get_or_insert(now);
        self.is_unlisted = false;
        self.resend_when_heard = false;
        if self.phase == Phase::Starting {
            self.phase = Phase::Running {
                since: now,
                track: Track::default(),
            };
        }
    }
}

/// The delay before a call that takes the place of one in flight to another address: answers are matched to calls by
/// the time of the call.
const CALL_SEPARATION: Duration = Duration::from_millis(1);

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockReading {
    millis: u64,
    at: Timestamp,
}

/// The state of a worker's heartbeats or of its probes; at most one of each is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The next call is due at this time.
    Due(Timestamp),
    /// A call has been in flight since this time.
    InFlight(Timestamp),
}

impl CallState {
    /// Returns whether the call is in flight.
    pub const fn is_in_flight(self) -> bool {
        matches!(self, Self::InFlight(_))
    }

    /// Returns whether the call is due.
    pub fn is_due(self, now: Timestamp) -> bool {
        matches!(self, Self::Due(at) if at <= now)
    }
}

/// The incarnation of a worker that an answer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The last known one, or one that can't be distinguished from it.
    Current,
    /// An earlier one.
    Former,
    /// A later one.
    Later,
}

/// How a worker stopped answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Its connections broke at this time, as they do when its process ends.
    Broken(Timestamp),
    /// A call timed out: the worker may have crashed at any time since its last answer, or may be cut off.
    Missed,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its latest registration.
    pub registration: Registration,
    /// When it last registered.
    pub registered: Timestamp,
    /// Since when it is known under the address of its registration.
    pub address_since: Timestamp,
    /// An entry with another address, until the worker or another one answers there.
    pub contradiction: Option<Registration>,
    /// The incarnation that answered last, if the platform reports it.
    pub incarnation: Option<Incarnation>,
    /// Whether its registration was changed by an incarnation that has not answered yet.
    pub is_superseded: bool,
    /// The fence that its orders carry.
    pub fence: Fence,
    /// When the fence was raised in this epoch. Once the worker has answered a call made after that, no earlier order
    /// is carried out any more.
    pub fence_raised: Option<Timestamp>,
    /// The number of runs in its last inventory.
    pub listed_runs: usize,
    /// The capacity that is not allocated.
    pub free: Resources,
    /// The runs that may use its capacity.
    pub allocations: BTreeMap<(TaskId, Run), Allocation>,
    /// The call that renews its lease and requests its inventory.
    pub heartbeat: CallState,
    /// A second call for its inventory, which neither renews the lease nor waits for an end. It shows at once whether a
    /// start without an answer has succeeded; the heartbeat may take up to a second longer.
    pub probe: Option<CallState>,
    /// When it last sent an inventory in this epoch.
    pub heard: Option<Timestamp>,
    /// When its heartbeats began to fail.
    pub silent_since: Option<Timestamp>,
    /// How it stopped answering, if it has.
    pub silence: Option<Silence>,
    /// When the store stopped listing it.
    pub unlisted_since: Option<Timestamp>,
    /// Whether the store is known to have no entry for it. A worker that is only known from the records of a former
    /// owner counts as unlisted before that is known.
    pub is_known_unlisted: bool,
    /// When its entry in the store became unusable.
    pub distrusted_since: Option<Timestamp>,
    /// Whether it is in a data centre that is evacuated, as far as known.
    pub is_evacuated: bool,
    /// The serial number of the last end that was processed.
    pub last_processed_end: u64,
    /// The serial number of the last end that is recorded, so that the worker may forget it.
    pub last_recorded_end: u64,
    /// The runs that were released when its leases had expired while it was still listed, since it last answered.
    pub lapsed_runs: Vec<(TaskId, Run)>,
    /// Runs that are over and when the engine learnt that; an older inventory that arrives late still lists them.
    ended_runs: VecDeque<(Timestamp, TaskId, Run)>,
    /// The time until which it gets no new tasks, after it refused tasks or failed those that it started.
    pub backoff_until: Timestamp,
    /// The number of consecutive failures of tasks that it started.
    pub failures: u32,
    /// The share of the processor time that its best-effort tasks may use.
    pub throttling: Throttling,
    /// Its speed according to the runs that are counted; `None` if it is unknown.
    pub settled_speed: Option<Estimate>,
    /// The same with what the runs under way have shown so far.
    pub speed: Option<Estimate>,
    /// How its speed compares with its pool.
    pub speed_class: Class,
    clock_reading: Option<ClockReading>,
    /// `None` while a former owner may still extend its leases.
    leases_end: Option<Timestamp>,
}

impl Worker {
    /// Creates a worker of which only the registration is known.
    ///
    /// Until `leases_end` it may run tasks under a lease that a former owner granted; `None` as long as such an owner
    /// may extend it.
    pub fn new(
        registration: Registration,
        fence: Fence,
        now: Timestamp,
        leases_end: Option<Timestamp>,
    ) -> Self {
        Self {
            free: registration.capacity,
            registered: now,
            address_since: now,
            contradiction: None,
            incarnation: None,
            is_superseded: false,
            fence,
            fence_raised: None,
            listed_runs: 0,
            registration,
            allocations: BTreeMap::new(),
            heartbeat: CallState::Due(now),
            probe: None,
            heard: None,
            silent_since: None,
            silence: None,
            unlisted_since: None,
            is_known_unlisted: false,
            distrusted_since: None,
            is_evacuated: false,
            last_processed_end: 0,
            last_recorded_end: 0,
            lapsed_runs: Vec::new(),
            ended_runs: VecDeque::new(),
            backoff_until: Timestamp::ZERO,
            failures: 0,
            throttling: Throttling::default(),
            settled_speed: None,
            speed: None,
            speed_class: Class::default(),
            clock_reading: None,
            leases_end,
        }
    }

    /// Returns whether an entry names another address than the one at which it has answered, or at which a former owner
    /// has started its runs.
    ///
    /// Another writer may have written the entry. What answers at the other address proves nothing about this worker
    /// unless it is this worker.
    pub fn is_contradicted_by(&self, entry: &Registration) -> bool {
        let is_known = self.heard.is_some() || !self.allocations.is_empty();
        is_known && entry.address != self.registration.address
    }

    /// Changes its address. Answers to calls in flight come from the former one, so the calls are made again.
    pub fn move_to(&mut self, address: SocketAddr, now: Timestamp) {
        let next = CallState::Due(now + CALL_SEPARATION);
        self.registration.address = address;
        self.address_since = now;
        self.heartbeat = next;
        self.probe = self.probe.map(|_| next);
    }

    /// Sets the entry that contradicts its address, or none. A probe in flight is on its way to another address, so a
    /// new one is made.
    pub fn set_contradiction(&mut self, entry: Option<Registration>, now: Timestamp) {
        self.contradiction = entry;
        self.probe = Some(CallState::Due(now + CALL_SEPARATION));
    }

    /// Returns the destination for its probes: the address of a contradicting entry, if there is one.
    pub fn probe_destination(&self) -> Destination {
        let entry = self.contradiction.as_ref();
        let address = entry.map_or(self.registration.address, |entry| entry.address);
        Destination {
            address,
            ..self.destination()
        }
    }

    /// Returns the destination for its orders.
    pub fn destination(&self) -> Destination {
        Destination {
            worker: self.registration.id.clone(),
            address: self.registration.address,
            fence: self.fence,
        }
    }

    /// Notes the worker's clock at the time of its answer.
    pub fn read_clock(&mut self, millis: u64, now: Timestamp) {
        self.clock_reading = Some(ClockReading { millis, at: now });
    }

    /// Returns the end of the longest possible lease on the worker's clock, and notes that it is granted.
    pub fn extend_lease(&mut self, bounds: &Bounds, now: Timestamp) -> Option<u64> {
        let reading = self.clock_reading?;
        let elapsed = now.since(reading.at) + bounds.lease;
        self.note_lease_end(now + bounds.lease_expiry_time());
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Some(reading.millis.saturating_add(elapsed))
    }

    /// Notes its first answer to this owner: from now on it refuses the orders of former ones.
    ///
    /// Until then such an owner may have extended its leases, and may have stopped runs. A run that is being stopped
    /// may be missing from an inventory.
    pub fn begin_contact(&mut self, bounds: &Bounds, now: Timestamp) {
        self.leases_end
            .get_or_insert(now + bounds.lease_expiry_time());
        for allocation in self.allocations.values_mut() {
            if let Phase::Running { since, .. } = &mut allocation.phase {
                *since = (*since).max(now + bounds.stop_settle_time());
            }
        }
    }

    /// Notes that no former owner extends its leases any more, so that they end by a time. Returns whether it was
    /// unknown when they end.
    pub fn end_former_leases(&mut self, by: Timestamp) -> bool {
        let was_unknown = self.leases_end.is_none();
        self.leases_end.get_or_insert(by);
        was_unknown
    }

    fn note_lease_end(&mut self, end: Timestamp) {
        self.leases_end = self.leases_end.map(|known| known.max(end));
    }

    /// Returns when all leases that were granted have expired for certain; `None` if that is not known.
    pub const fn leases_end(&self) -> Option<Timestamp> {
        self.leases_end
    }

    fn have_leases_ended(&self, now: Timestamp) -> bool {
        self.leases_end.is_some_and(|end| end <= now)
    }

    /// Returns whether the store lists it with a usable entry.
    pub const fn is_listed(&self) -> bool {
        self.unlisted_since.is_none() && self.distrusted_since.is_none()
    }

    /// Returns whether its registration is that of the incarnation that answered last. Another incarnation may have
    /// less capacity or be of another kind.
    pub fn is_current(&self) -> bool {
        let registered = self.registration.incarnation;
        registered
            .zip(self.incarnation)
            .is_none_or(|(registered, heard)| registered == heard)
    }

    /// Returns which incarnation sent an answer to a call made at `sent_at`.
    ///
    /// The clocks that number incarnations may jump back. A call that was made after an incarnation had answered, to
    /// this owner or a former one, can't have reached an earlier incarnation.
    pub fn identify(&self, reported: Option<Incarnation>, sent_at: Timestamp) -> Sender {
        let Some((reported, known)) = reported.zip(self.incarnation) else {
            return Sender::Current;
        };
        let is_after = self.heard.is_none_or(|heard| heard <= sent_at);
        match reported.cmp(&known) {
            Ordering::Equal => Sender::Current,
            Ordering::Less if !is_after => Sender::Former,
            Ordering::Less | Ordering::Greater => Sender::Later,
        }
    }

    /// Begins another incarnation that has reported nothing yet; runs whose orders may still reach it stay allocated.
    pub fn begin_incarnation(
        &mut self,
        incarnation: Option<Incarnation>,
        fence: Fence,
        now: Timestamp,
    ) {
        self.incarnation = incarnation;
        self.is_superseded = false;
        self.fence = fence;
        self.fence_raised = Some(now);
        self.last_processed_end = 0;
        self.last_recorded_end = 0;
        self.clock_reading = None;
        self.ended_runs.clear();
        self.failures = 0;
        self.throttling = Throttling::default();
        self.forget_speed();
    }

    /// Returns whether an inventory requested at `sent_at` proves that no order to start a run can be carried out any
    /// more, because all of these orders were for a former incarnation.
    pub fn are_orders_obsolete(&self, allocation: &Allocation, sent_at: Timestamp) -> bool {
        allocation.fence < self.fence && self.fence_raised.is_some_and(|raised| raised <= sent_at)
    }

    /// Returns the serial number of the last end that it may forget. It is zero while the next answer may come from
    /// another incarnation, which numbers its own ends from one.
    pub fn acknowledged(&self) -> u64 {
        match self.silent_since.is_some() || self.is_superseded {
            true => 0,
            false => self.last_recorded_end,
        }
    }

    /// Returns whether new tasks may be placed on it, apart from its backoff.
    pub fn accepts_tasks(&self) -> bool {
        self.heard.is_some()
            && self.silent_since.is_none()
            && self.is_current()
            && self.is_listed()
            && self.registration.leaving.is_none()
            && !self.is_evacuated
    }

    /// Returns whether new tasks may be placed on it now.
    pub fn is_available(&self, now: Timestamp) -> bool {
        self.accepts_tasks() && self.backoff_until <= now
    }

    /// Returns whether its allocations exceed its capacity.
    pub fn is_overcommitted(&self) -> bool {
        self.used()
            .is_none_or(|used| !used.fits(&self.registration.capacity))
    }

    /// Returns the resources that are free once the runs that are being stopped have ended.
    pub fn free_after_stops(&self) -> Resources {
        let stopping = self.allocations.values();
        let stopping =
            stopping.filter(|allocation| matches!(allocation.phase, Phase::Stopping { .. }));
        stopping.fold(self.free, |free, allocation| {
            free.checked_add(allocation.size).unwrap_or(free)
        })
    }

    /// Reserves capacity for a run; returns `false` if there is not enough.
    pub fn allocate(&mut self, task: TaskId, run: Run, allocation: Allocation) -> bool {
        let available = match allocation.is_exclusive {
            true => self.exclusive_capacity(task.step),
            false => self.free,
        };
        let Some(free) = available.checked_sub(allocation.size) else {
            return false;
        };
        self.free = if allocation.is_exclusive {
            Resources::ZERO
        } else {
            free
        };
        self.allocations.insert((task, run), allocation);
        true
    }

    /// Returns the capacity for tasks of a step that may not share a worker with other steps; zero if the worker has
    /// other allocations.
    pub fn exclusive_capacity(&self, step: StepId) -> Resources {
        let mut allocations = self.allocations.iter();
        match allocations
            .all(|((task, _), allocation)| task.step == step && allocation.is_exclusive)
        {
            true => self.unallocated(),
            false => Resources::ZERO,
        }
    }

    /// Allows tasks of other steps on the worker of a run.
    pub fn end_exclusive(&mut self, task: TaskId, run: Run) {
        if let Some(allocation) = self.allocations.get_mut(&(task, run)) {
            allocation.is_exclusive = false;
            self.update_free();
        }
    }

    /// Adds a run that is already there, even if it exceeds the capacity.
    pub fn adopt(&mut self, task: TaskId, run: Run, allocation: Allocation) {
        self.allocations.insert((task, run), allocation);
        self.update_free();
    }

    /// Frees the capacity of a run that is certainly gone.
    pub fn release(&mut self, task: TaskId, run: Run) -> Option<Allocation> {
        let allocation = self.allocations.remove(&(task, run))?;
        self.update_free();
        Some(allocation)
    }

    /// Updates the free capacity after a change of the worker's registered capacity.
    pub fn update_capacity(&mut self) {
        self.update_free();
    }

    /// Recomputes the free capacity: zero if the allocations exceed the capacity or a run may not share the worker.
    fn update_free(&mut self) {
        self.free = match self
            .allocations
            .values()
            .any(|allocation| allocation.is_exclusive)
        {
            true => Resources::ZERO,
            false => self.unallocated(),
        };
    }

    fn unallocated(&self) -> Resources {
        let capacity = self.registration.capacity;
        let left = self.used().and_then(|used| capacity.checked_sub(used));
        left.unwrap_or(Resources::ZERO)
    }

    /// Returns the sum of all allocations; `None` if it overflows.
    fn used(&self) -> Option<Resources> {
        let mut sizes = self.allocations.values().map(|allocation| allocation.size);
        sizes.try_fold(Resources::ZERO, |sum, size| sum.checked_add(size))
    }

    /// Notes that a run is over.
    pub fn note_end(&mut self, task: TaskId, run: Run, now: Timestamp) {
        while let Some((at, ..)) = self.ended_runs.front()
            && now.since(*at) > MAX_INVENTORY_DELAY
        {
            self.ended_runs.pop_front();
        }
        self.ended_runs.push_back((now, task, run));
    }

    /// Returns whether a run is known to be over.
    pub fn is_over(&self, task: TaskId, run: Run) -> bool {
        let mut ended = self.ended_runs.iter();
        ended.any(|(_, ended_task, ended_run)| (*ended_task, *ended_run) == (task, run))
    }

    /// Returns whether the worker has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.registration.labels.iter().any(|own| &**own == label)
    }

    /// Returns whether a newer registration changes which steps can run on the worker.
    pub fn capabilities_differ(&self, newer: &Registration) -> bool {
        let own = &self.registration;
        (&own.pool, own.capacity, &own.labels) != (&newer.pool, newer.capacity, &newer.labels)
    }

    /// Schedules a heartbeat or probe again whose answer could not be used.
    pub fn retry_call(&mut self, is_probe: bool, now: Timestamp) {
        let call = CallState::Due(now);
        match is_probe {
            true => self.probe = Some(call),
            false if self.heartbeat.is_in_flight() => self.heartbeat = call,
            false => {}
        }
    }

    /// Returns when the next heartbeat or probe is due; `None` while all of them are in flight.
    pub fn next_call(&self) -> Option<Timestamp> {
        let calls = [self.probe, Some(self.heartbeat)].into_iter().flatten();
        let due = calls.filter_map(|call| match call {
            CallState::Due(at) => Some(at),
            CallState::InFlight(_) => None,
        });
        due.min()
    }

    /// Returns whether the worker has stopped answering and all of its leases have expired, so that its runs count as
    /// lost.
    pub fn has_expired(&self, now: Timestamp) -> bool {
        self.awaits_lease_expiry() && self.have_leases_ended(now)
    }

    /// Returns whether it has stopped answering and either has allocations or is not listed.
    fn awaits_lease_expiry(&self) -> bool {
        self.silent_since.is_some() && (!self.allocations.is_empty() || !self.is_listed())
    }

    /// Returns whether it can be forgotten: it runs nothing, and has not been listed for a while.
    pub fn is_forgettable(&self, now: Timestamp) -> bool {
        let is_unlisted = self
            .unlisted_since
            .is_some_and(|at| now.since(at) >= UNLISTED_RETENTION);
        is_unlisted && self.allocations.is_empty() && self.have_leases_ended(now)
    }

    /// Returns when it may count as expired or forgettable if it does not answer before.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let leases_end = self.leases_end?;
        let expiry = self.awaits_lease_expiry().then_some(leases_end);
        let forgettable_at = self.unlisted_since.filter(|_| self.allocations.is_empty());
        let forgettable_at = forgettable_at.map(|at| leases_end.max(at + UNLISTED_RETENTION));
        [expiry, forgettable_at].into_iter().flatten().min()
    }

    /// Returns the time since its last inventory.
    pub fn time_since_heard(&self, now: Timestamp) -> Duration {
        self.heard.map_or(Duration::MAX, |heard| now.since(heard))
    }
}
