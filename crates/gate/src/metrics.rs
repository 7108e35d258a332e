//! The gate's instruments.

use std::time::Duration;

use fulmarpier_state::refusal::{
    Outcome,
    Reason, //
};
use fulmarpier_transport::metrics::{
    Error,
    Registry, //
};
use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Gauge,
        Histogram,
        UpDownCounter, //
    },
};

/// Why something was tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The lease of the slot ended before the request was sent.
    SlotLapsed,
    /// The target refused the connection.
    TargetRefused,
    /// The target had no free slot.
    TargetBusy,
    /// The target gave no whole answer to an idempotent request.
    TargetUnknown,
    /// The shard has no known owner yet.
    NoOwner,
    /// The shard's owner is another sched.
    Moved,
    /// The sched could not be reached; nothing was sent.
    SchedUnreachable,
    /// The sched's answer was lost.
    AnswerLost,
}

impl Retry {
    /// All reasons, so that each has a counter from the start.
    pub const ALL: [Self; 8] = [
        Self::SlotLapsed,
        Self::TargetRefused,
        Self::TargetBusy,
        Self::TargetUnknown,
        Self::NoOwner,
        Self::Moved,
        Self::SchedUnreachable,
        Self::AnswerLost,
    ];

    /// Returns the stable word.
    pub const fn word(self) -> &'static str {
        match self {
            Self::SlotLapsed => "slot-lapsed",
            Self::TargetRefused => "target-refused",
            Self::TargetBusy => "target-busy",
            Self::TargetUnknown => "target-unknown",
            Self::NoOwner => "no-owner",
            Self::Moved => "moved",
            Self::SchedUnreachable => "sched-unreachable",
            Self::AnswerLost => "answer-lost",
        }
    }
}

/// The instruments of one gate; cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    placements: Counter<u64>,
    syncs: Counter<u64>,
    in_flight: UpDownCounter<i64>,
    decision: Histogram<f64>,
    waiting: Histogram<f64>,
    total: Histogram<f64>,
    /// The slots held, the slots in use and the requests that wait.
    levels: Levels,
    control_bytes: Gauge<u64>,
}

/// The gauges of the slots and the queues.
#[derive(Clone, Debug)]
struct Levels {
    held: Gauge<u64>,
    used: Gauge<u64>,
    waiting: Gauge<u64>,
}

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    ///
    /// Fails where the exporter can't be built.
    pub fn new() -> Result<Self, Error> {
        let words = Retry::ALL.map(Retry::word);
        let registry = Registry::new("gate", &words)?;
        Ok(Self {
            requests: registry.counter("fulmarpier_gate_requests", "Answers by outcome."),
            placements: registry.counter(
                "fulmarpier_gate_placements",
                "Ordinary requests for which a slot was chosen in memory.",
            ),
            syncs: registry.counter("fulmarpier_gate_syncs", "Exchanges with scheds."),
            in_flight: registry.level("fulmarpier_gate_in_flight", "Calls in progress."),
            decision: registry.histogram(
                "fulmarpier_gate_decision_seconds",
                "From arrival to the chosen slot, without reading the body and waiting.",
            ),
            waiting: registry.histogram(
                "fulmarpier_gate_waiting_seconds",
                "The time requests wait for a slot.",
            ),
            total: registry.histogram(
                "fulmarpier_gate_request_seconds",
                "From arrival to the head of the answer.",
            ),
            levels: Levels {
                held: registry.gauge("fulmarpier_gate_slots_held", "Slots granted."),
                used: registry.gauge("fulmarpier_gate_slots_used", "Slots in use."),
                waiting: registry.gauge("fulmarpier_gate_waiting", "Requests that wait."),
            },
            control_bytes: registry.gauge(
                "fulmarpier_gate_control_bytes",
                "Bytes exchanged with scheds so far.",
            ),
            registry,
        })
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.registry.refused(reason);
    }

    /// Counts a retry.
    pub fn retried(&self, why: Retry) {
        self.registry.retried(why.word());
    }

    /// Counts an answer and the time until its head.
    pub fn answered(&self, outcome: Outcome, total: Duration) {
        let label = KeyValue::new("outcome", outcome.to_string());
        self.requests.add(1, &[label]);
        self.total.record(total.as_secs_f64(), &[]);
    }

    /// Counts a chosen slot, how long the choice took and how long the request waited for it.
    pub fn placed(&self, decision: Duration, waited: Duration) {
        self.placements.add(1, &[]);
        self.decision.record(decision.as_secs_f64(), &[]);
        self.waiting.record(waited.as_secs_f64(), &[]);
    }

    /// Counts an exchange with a sched and notes the bytes so far.
    pub fn synced(&self, bytes: u64) {
        self.syncs.add(1, &[]);
        self.control_bytes.record(bytes, &[]);
    }

    /// Notes the slots held, the slots in use and the requests that wait.
    pub fn levels(&self, held: u64, used: u64, waiting: u64) {
        self.levels.held.record(held, &[]);
        self.levels.used.record(used, &[]);
        self.levels.waiting.record(waiting, &[]);
    }

    /// Counts a call as in progress until the guard is dropped.
    pub fn enter(&self) -> InFlight {
        self.in_flight.add(1, &[]);
        InFlight(self.in_flight.clone())
    }

    /// Returns all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails where an instrument can't be encoded.
    pub fn render(&self) -> Result<String, Error> {
        self.registry.render()
    }
}

/// Counts one call in progress for as long as it lives.
#[derive(Debug)]
pub struct InFlight(UpDownCounter<i64>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.add(-1, &[]);
    }
}
