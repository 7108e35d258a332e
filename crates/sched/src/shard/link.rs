//! What the owner of a shard has to say to one worker, and what it knows of it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_coordination::platform::worker::{
    Act,
    Answer,
    Error,
    Start,
    Sync,
    View, //
};
use fulmarpier_state::{
    alias::HashSet,
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        TaskId,
        WorkerId, //
    },
};

use super::{
    Settings,
    checks::Checks, //
};

/// How soon a worker that did not answer is asked again, at most.
const RETRY: Duration = Duration::from_secs(1);
/// The share of the interval by which messages are sent earlier, so that they spread.
const SPREAD: u32 = 8;
/// Spreads the bits of a number, by the golden ratio.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
/// Messages without orders leave at multiples of this, so that one pass serves many workers.
const GRID: Duration = Duration::from_millis(200);

/// One start of one task.
pub(super) type Key = (TaskId, Attempt);

/// The message that is on its way.
#[derive(Debug)]
struct Flight {
    number: u64,
    sent: Timestamp,
    starts: Vec<Key>,
    start_by: Timestamp,
    /// Whether something ran that was not renewed.
    starved: bool,
}

/// What came of the starts of one message.
#[derive(Debug, Default)]
pub(super) struct Landed {
    /// When the message was sent, by this node's clock.
    pub(super) sent: Timestamp,
    /// What the worker answered to each start.
    pub(super) answers: Vec<(Key, Answer)>,
}

/// A message that failed.
#[derive(Debug)]
pub(super) enum Failed {
    /// It had no effect; these starts did not run.
    Void(Vec<Key>),
    /// It may have had its effect; these starts may run.
    Doubt(Vec<Key>),
    /// It had no effect, since another owner has taken the worker.
    Fenced(Epoch, Vec<Key>),
}

/// The owner's end of the line to one worker.
///
/// At most one message is on its way, so that an inventory is never older than an order that was
/// acted on before.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) worker: WorkerId,
    pub(super) address: SocketAddr,
    starts: Vec<Start>,
    acts: Vec<(TaskId, Attempt, Act)>,
    acknowledge: Vec<Key>,
    /// What runs there, to be renewed.
    pub(super) running: BTreeMap<TaskId, Attempt>,
    /// What the worker has shown of itself.
    pub(super) view: View,
    /// When the ends of running tasks are looked for.
    pub(super) checks: Checks,
    /// Starts whose answer was lost, with their start-by time on the worker's clock.
    pub(super) suspects: BTreeMap<Key, Timestamp>,
    /// Which life of the worker the last inventory that was taken in came from.
    pub(super) life: Option<Incarnation>,
    /// Ends that are being journalled or wait to be forgotten by the worker.
    pub(super) reported: HashSet<Key>,
    flight: Option<Flight>,
    due: Timestamp,
    number: u64,
    heard: Option<Timestamp>,
    renewed: Timestamp,
    clock: Option<(Timestamp, Timestamp)>,
    /// Whether the owner has given the worker up until it answers again.
    pub(super) lost: bool,
}

impl Link {
    pub(super) fn new(worker: WorkerId, address: SocketAddr, now: Timestamp) -> Self {
        Self {
            worker,
            address,
            starts: Vec::new(),
            acts: Vec::new(),
            acknowledge: Vec::new(),
            running: BTreeMap::new(),
            view: View::default(),
            checks: Checks::default(),
            suspects: BTreeMap::new(),
            life: None,
            reported: HashSet::default(),
            flight: None,
            due: now,
            number: 0,
            heard: None,
            renewed: now,
            clock: None,
            lost: false,
        }
    }

    /// Adds a task to start with the next message.
    pub(super) fn start(&mut self, start: Start) {
        self.starts.push(start);
    }

    /// Adds an order for a running task.
    ///
    /// A start that has not left yet is taken back instead; then it certainly did not run.
    pub(super) fn act(&mut self, key: Key, act: Act) -> bool {
        let same = |start: &Start| (start.task, start.attempt) == key;
        if let Some(place) = self.starts.iter().position(same) {
            self.starts.remove(place);
            return true;
        }
        self.acts.push((key.0, key.1, act));
        false
    }

    /// Lets the worker forget an end whose record is kept.
    pub(super) fn acknowledge(&mut self, key: Key) {
        self.acknowledge.push(key);
    }

    /// Asks for a message at once, without orders if there are none.
    pub(super) fn hurry(&mut self, now: Timestamp) {
        self.due = self.due.min(now);
    }

    /// Takes every start that has not left.
    pub(super) fn take_starts(&mut self) -> Vec<Start> {
        std::mem::take(&mut self.starts)
    }

    /// Returns when the worker last answered, by the time at which the question was sent.
    pub(super) const fn heard(&self) -> Option<Timestamp> {
        self.heard
    }

    /// Returns from when on nothing that this owner started or renewed can run on a silent worker.
    pub(super) fn lapses(&self, settings: &Settings) -> Timestamp {
        self.renewed + settings.lapse()
    }

    /// Returns when there is next something to send.
    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        if self.flight.is_some() {
            return None;
        }
        let check = self.checks.next().unwrap_or(self.due);
        Some(self.due.min(check))
    }

    /// Makes the next message if one is due.
    pub(super) fn poll(
        &mut self,
        epoch: Epoch,
        settings: &Settings,
        now: Timestamp,
    ) -> Option<(u64, Sync)> {
        let urgent = !self.starts.is_empty() || !self.acts.is_empty();
        let due = self.next_wake().is_some_and(|due| due <= now);
        if self.flight.is_some() || !(due || urgent) {
            return None;
        }
        let start_by = self.start_by(settings, now);
        let start = std::mem::take(&mut self.starts);
        let starts: Vec<Key> = start.iter().map(|s| (s.task, s.attempt)).collect();
        let (renew, renew_known) = if self.is_silent(settings, now) {
            (Vec::new(), false)
        } else {
            self.renewals()
        };
        let renews = renew_known || !renew.is_empty();
        if renews || !starts.is_empty() {
            self.renewed = now;
        }
        self.number += 1;
        self.due = self.next_due(settings, now);
        self.checks.asked(now, settings.worker_sync);
        self.flight = Some(Flight {
            number: self.number,
            sent: now,
            starts,
            start_by,
            starved: !renews && !self.running.is_empty(),
        });
        let sync = Sync {
            epoch,
            start_by,
            lease: settings.worker_lease,
            renew,
            known: self.view.known(),
            renew_known,
            start,
            act: std::mem::take(&mut self.acts),
            grace: settings.grace,
            acknowledge: std::mem::take(&mut self.acknowledge),
        };
        Some((self.number, sync))
    }

    /// Takes the answer to a message; `None` where it is not the one on its way.
    pub(super) fn landed(
        &mut self,
        number: u64,
        answers: &[Answer],
        clock: Timestamp,
    ) -> Option<Landed> {
        let flight = self.flight.take_if(|flight| flight.number == number)?;
        self.heard = Some(flight.sent);
        self.clock = Some((clock, flight.sent));
        self.lost = false;
        if flight.starved {
            self.due = Timestamp::ZERO;
        }
        let mut landed = Landed {
            sent: flight.sent,
            answers: Vec::with_capacity(flight.starts.len()),
        };
        for (index, key) in flight.starts.into_iter().enumerate() {
            match answers.get(index) {
                Some(answer) => landed.answers.push((key, *answer)),
                // A worker that leaves an answer out has said nothing of that start.
                None => drop(self.suspects.insert(key, flight.start_by)),
            }
        }
        Some(landed)
    }

    /// Takes the failure of a message; `None` where it is not the one on its way.
    pub(super) fn failed(
        &mut self,
        number: u64,
        error: &Error,
        settings: &Settings,
        now: Timestamp,
    ) -> Option<Failed> {
        let flight = self.flight.take_if(|flight| flight.number == number)?;
        self.due = now + settings.worker_sync.min(RETRY);
        Some(match error {
            Error::Refused => Failed::Void(flight.starts),
            Error::Fenced { epoch } => Failed::Fenced(*epoch, flight.starts),
            Error::Unknown | Error::Malformed { .. } => {
                for key in &flight.starts {
                    self.suspects.insert(*key, flight.start_by);
                }
                Failed::Doubt(flight.starts)
            }
        })
    }

    /// Returns whether the worker has been silent for so long that its leases must run down.
    ///
    /// Renewing a worker whose answers are lost would keep its tasks alive for ever.
    fn is_silent(&self, settings: &Settings, now: Timestamp) -> bool {
        self.heard
            .is_none_or(|heard| now.since(heard) > settings.worker_lease / 2)
    }

    /// Returns the starts to be renewed by name, and whether all that the worker has shown are.
    fn renewals(&self) -> (Vec<Key>, bool) {
        let running = self.running.iter().map(|(task, attempt)| (*task, *attempt));
        let wanted = running.chain(self.suspects.keys().copied());
        let shown: Vec<Key> = self.view.running().collect();
        let whole = !shown.is_empty() && shown.iter().all(|key| self.wants(key));
        if !whole || self.view.known().is_none() {
            return (wanted.collect(), false);
        }
        let unshown = |key: &Key| !self.view.holds(key.0, key.1);
        (wanted.filter(unshown).collect(), true)
    }

    fn wants(&self, key: &Key) -> bool {
        self.running.get(&key.0) == Some(&key.1) || self.suspects.contains_key(key)
    }

    /// Returns when the next message is due: somewhat before the interval is over, each time by
    /// another part of it.
    fn next_due(&self, settings: &Settings, now: Timestamp) -> Timestamp {
        let interval = settings.worker_sync;
        let mixed = u64::from(self.worker.0)
            .wrapping_add(self.number << 32)
            .wrapping_mul(MIX);
        let part = u32::try_from(mixed >> 48).unwrap_or(0);
        let due = now + (interval - interval / SPREAD * part / (1 << 16));
        let grid = GRID.min(interval / SPREAD).max(Duration::from_micros(1));
        let over = due.since(Timestamp::ZERO).as_micros() % grid.as_micros();
        due.saturating_sub(Duration::from_micros(u64::try_from(over).unwrap_or(0)))
    }

    /// Returns the latest time, on the worker's clock, at which a start of now may be taken.
    ///
    /// The worker's clock was read between the sending of a message and its answer, so counting
    /// from the sending errs by at most a round trip.
    fn start_by(&self, settings: &Settings, now: Timestamp) -> Timestamp {
        match self.clock {
            Some((clock, sent)) => clock + now.since(sent) + settings.start_by,
            None => Timestamp::ZERO,
        }
    }
}

/// How much longer than the lease a stopped task may hold on, and a message may be under way.
pub(super) fn lapse(lease: Duration, start_by: Duration, drift: Duration) -> Duration {
    lease + start_by + drift
}
