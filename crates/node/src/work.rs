//! Measures where the processor time of a node goes, by kind of work, and what a step waited behind.
//!
//! A thread does its work in pieces that don't wait for anything. The length of a piece is the processor time that it
//! takes, and whatever other threads or machines take of the processor meanwhile.

use std::{
    future::poll_fn,
    pin::pin,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use tokio::time::Instant;

use crate::telemetry::millis;

/// Steps that waited for less than this are not logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(100);

/// A thread of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Thread {
    /// The thread of all work that has none of its own.
    Main,
    /// The thread of what keeps the ownership of the cell.
    Membership,
}

/// A kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Keeping or watching the ownership of the cell.
    Membership,
    /// Reading and restoring the stored state at a takeover.
    Takeover,
    /// Requests of callers.
    Caller,
    /// Requests of other nodes, before the engine gets them.
    Peer,
    /// Reading the records of jobs.
    JobRecords,
    /// Reading the list of workers.
    WorkerList,
    /// Writing records to the store.
    Recording,
    /// Jobs that are submitted or cancelled.
    Job,
    /// Results of orders and inventories of workers.
    Report,
    /// Answers of the advice service.
    Advice,
    /// Changes of the list of workers.
    Registration,
    /// Other events of the engine.
    Event,
    /// Scheduling passes.
    Pass,
    /// What else is due in the engine.
    Due,
    /// Sending orders and writing decisions to the log.
    Effect,
    /// Questions of callers about jobs.
    Query,
    /// Updates of gauges.
    Gauge,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    const ALL: [Self; 17] = [
        Self::Membership,
        Self::Takeover,
        Self::Caller,
        Self::Peer,
        Self::JobRecords,
        Self::WorkerList,
        Self::Recording,
        Self::Job,
        Self::Report,
        Self::Advice,
        Self::Registration,
        Self::Event,
        Self::Pass,
        Self::Due,
        Self::Effect,
        Self::Query,
        Self::Gauge,
    ];

    /// Returns the thread that does the work.
    pub const fn thread(self) -> Thread {
        match self {
            Self::Membership => Thread::Membership,
            _ => Thread::Main,
        }
    }

    /// Returns the name of the kind, as metric labels have it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Takeover => "takeover",
            Self::Caller => "caller",
            Self::Peer => "peer",
            Self::JobRecords => "job_records",
            Self::WorkerList => "worker_list",
            Self::Recording => "recording",
            Self::Job => "job",
            Self::Report => "report",
            Self::Advice => "advice",
            Self::Registration => "registration",
            Self::Event => "event",
            Self::Pass => "pass",
            Self::Due => "due",
            Self::Effect => "effect",
            Self::Query => "query",
            Self::Gauge => "gauge",
        }
    }

    /// Returns the name of the log field with its time in milliseconds.
    const fn field(self) -> &'static str {
        match self {
            Self::Membership => "membership_ms",
            Self::Takeover => "takeover_ms",
            Self::Caller => "caller_ms",
            Self::Peer => "peer_ms",
            Self::JobRecords => "job_records_ms",
            Self::WorkerList => "worker_list_ms",
            Self::Recording => "recording_ms",
            Self::Job => "job_ms",
            Self::Report => "report_ms",
            Self::Advice => "advice_ms",
            Self::Registration => "registration_ms",
            Self::Event => "event_ms",
            Self::Pass => "pass_ms",
            Self::Due => "due_ms",
            Self::Effect => "effect_ms",
            Self::Query => "query_ms",
            Self::Gauge => "gauge_ms",
        }
    }
}

const KINDS: usize = Kind::ALL.len();

#[derive(Debug, Default)]
struct Total {
    nanos: AtomicU64,
    pieces: AtomicU64,
}

/// The time of each kind of work since the process started; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<[Total; KINDS]>);

impl Meter {
    /// Begins a piece of work, which ends when the returned guard is dropped.
    pub fn begin(&self, kind: Kind) -> Piece<'_> {
        Piece {
            meter: self,
            kind,
            began: Instant::now(),
        }
    }

    fn add(&self, kind: Kind, took: Duration) {
        let total = &self.0[kind as usize];
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX);
        total.nanos.fetch_add(nanos, Ordering::Relaxed);
        total.pieces.fetch_add(1, Ordering::Relaxed);
    }

    /// Runs a future and counts each of its pieces as work of a kind.
    pub async fn track<F: Future>(&self, kind: Kind, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|context| {
            let _piece = self.begin(kind);
            future.as_mut().poll(context)
        })
        .await
    }

    /// Returns what was counted so far.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for (total, spent) in self.0.iter().zip(&mut usage.0) {
            *spent = Spent {
                time: Duration::from_nanos(total.nanos.load(Ordering::Relaxed)),
                pieces: total.pieces.load(Ordering::Relaxed),
            };
        }
        usage
    }

    /// Begins to wait for something.
    pub fn begin_wait(&self) -> Wait {
        Wait {
            began: Instant::now(),
            usage: Box::new(self.usage()),
        }
    }
}

/// A piece of work in progress.
#[must_use = "the piece ends when this is dropped"]
#[derive(Debug)]
pub struct Piece<'a> {
    meter: &'a Meter,
    kind: Kind,
    began: Instant,
}

impl Piece<'_> {
    /// Sets the kind of the piece, if it turns out only while it is done.
    pub const fn set_kind(&mut self, kind: Kind) {
        self.kind = kind;
    }

    /// Ends the piece and begins another one at the same moment. Returns what the first one took.
    pub fn switch(&mut self, kind: Kind) -> Duration {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.began);
        self.meter.add(self.kind, took);
        (self.kind, self.began) = (kind, now);
        took
    }
}

impl Drop for Piece<'_> {
    fn drop(&mut self) {
        self.meter.add(self.kind, self.began.elapsed());
    }
}

/// What one kind of work took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spent {
    /// The time.
    pub time: Duration,
    /// The number of pieces.
    pub pieces: u64,
}

/// What each kind of work took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage([Spent; KINDS]);

impl Usage {
    /// Returns what was used since an earlier usage.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut since = *self;
        for (spent, earlier) in since.0.iter_mut().zip(&earlier.0) {
            spent.time = spent.time.saturating_sub(earlier.time);
            spent.pieces = spent.pieces.saturating_sub(earlier.pieces);
        }
        since
    }

    /// Returns each kind of work with what it took.
    pub fn iter(&self) -> impl Iterator<Item = (Kind, Spent)> {
        Kind::ALL.into_iter().zip(self.0)
    }

    /// Returns the number of pieces of a kind.
    pub fn pieces(&self, kind: Kind) -> u64 {
        self.0[kind as usize].pieces
    }

    /// Returns the number of pieces of all kinds that have no thread of their own.
    pub fn other_pieces(&self) -> u64 {
        let others = self
            .iter()
            .filter(|(kind, _)| kind.thread() == Thread::Main);
        others.map(|(_, spent)| spent.pieces).sum()
    }

    /// Returns the time of all work together.
    pub fn total(&self) -> Duration {
        self.0.iter().map(|spent| spent.time).sum()
    }
}

/// Writes the time of each kind that took a millisecond or more as a field of its own.
impl slog::KV for Usage {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        for (kind, spent) in self.iter() {
            if spent.time >= Duration::from_millis(1) {
                serializer.emit_u64(kind.field(), millis(spent.time))?;
            }
        }
        Ok(())
    }
}

/// Something that a step of the node waits for.
#[derive(Clone, Debug)]
pub struct Wait {
    began: Instant,
    usage: Box<Usage>,
}

impl Wait {
    /// Returns for how long it has lasted, and what was done meanwhile, if that is worth a log line.
    pub fn long(&self, meter: &Meter) -> Option<(Duration, Usage)> {
        let waited = self.began.elapsed();
        (waited >= MIN_LOGGED_WAIT).then(|| (waited, meter.usage().since(&self.usage)))
    }
}
