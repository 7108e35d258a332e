//! Takes, shows and cancels jobs at any node.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::Ordering, //
    },
    time::Duration, //
};

use fulmarpier_cell::{
    config::Config,
    engine::State,
    id::{
        Epoch,
        JobId,
        QueueName, //
    },
    job::{
        Invalid,
        Spec, //
    },
    record::{
        self,
        Accepted, //
    },
};
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

use crate::{
    comeback::Refusals,
    intake::{
        self,
        Intake,
        Kept, //
    },
    message::{
        self,
        Question,
        Reply, //
    },
    owner::{
        Look,
        Pending, //
    },
    port::{
        Platform,
        Record, //
    },
    report::millis,
    shared::Shared,
};

/// How long a call to the owner may take before it is tried anew.
const OWNER_CALL: Duration = Duration::from_millis(600);
/// The pause before the owner is asked again.
const OWNER_AGAIN: Duration = Duration::from_millis(50);
/// How long a question about a job waits for an owner; callers ask again by themselves.
const OWNER_WAIT: Duration = Duration::from_millis(1_500);
/// How often the owner is told of an acceptance; after that it reads of it in the store.
const TELL_TIMES: u32 = 6;
/// For so long an owner may be replaced without this node knowing: it greets the owner each 0.7 s at most, and
/// a frozen or cut-off one may stay silent for as long again.
const REPLACED: Duration = Duration::from_millis(1_500);

/// Why a call did not get what it asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The node doesn't know the configuration yet. Nothing was done.
    #[error("the node has no configuration yet")]
    NotReady,
    /// There is no such queue. Nothing was done.
    #[error("there is no such queue")]
    NoQueue,
    /// The job can't be run by anybody. Nothing was done.
    #[error("the job is not valid: {0}")]
    Invalid(#[from] Invalid),
    /// The store is away. The job was not taken and never runs.
    #[error("the store is away; the job was not taken")]
    NotKept,
    /// Whether the job was taken can't be told in time.
    #[error("whether it was taken can't be told in time")]
    Unknown,
    /// Nobody who knows the jobs can be reached. Nothing was done.
    #[error("the owner of the cell can't be reached")]
    NoOwner,
    /// There is no such job.
    #[error("there is no such job")]
    NoJob,
}

impl Refusal {
    /// Returns the bare word, for logs and counters.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoQueue => "no-queue",
            Self::Invalid(_) => "invalid",
            Self::NotKept => "not-kept",
            Self::Unknown => "unknown",
            Self::NoOwner => "no-owner",
            Self::NoJob => "no-job",
        }
    }
}

/// Takes, shows and cancels jobs; cheap to clone.
pub struct Front<P: Platform> {
    shared: Arc<Shared<P>>,
    intake: Intake,
    refusals: Arc<Mutex<Refusals>>,
}

impl<P: Platform> Clone for Front<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            intake: self.intake.clone(),
            refusals: self.refusals.clone(),
        }
    }
}

impl<P: Platform> Front<P> {
    pub(crate) fn new(shared: Arc<Shared<P>>, intake: Intake) -> Self {
        Self {
            shared,
            intake,
            refusals: Arc::default(),
        }
    }

    /// Returns the configuration in force here, once there is one.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.shared.config.borrow().clone()
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.config().is_some()
            && !self.shared.is_leaving()
            && !self.shared.store.is_away()
            && self.shared.claim.borrow().is_some()
    }

    /// Takes a job; on success its record is kept.
    ///
    /// # Errors
    ///
    /// Fails where the job was not taken, or where that can't be told by `deadline`.
    pub async fn submit(
        &self,
        queue: &QueueName,
        job: JobId,
        spec: Spec,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let began = Instant::now();
        let result = self.try_submit(queue, job, spec, deadline).await;
        self.report("submit", job, queue, began.elapsed(), &result);
        result
    }

    async fn try_submit(
        &self,
        queue: &QueueName,
        job: JobId,
        spec: Spec,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let config = self.config().ok_or(Refusal::NotReady)?;
        let queue = config.queues.get(queue).ok_or(Refusal::NoQueue)?;
        spec.check()?;
        let accepted = Accepted {
            job,
            queue: queue.clone(),
            spec: Arc::new(spec),
            received: self.shared.clock.now(),
            partition: intake::partition(&self.shared.name),
        };
        let Ok(value) = record::encode(&accepted) else {
            return Err(Refusal::NotKept);
        };
        let record = Record {
            key: job.to_string(),
            value: Some(value.into()),
        };
        let began = Instant::now();
        let is_announced = self.announce(&accepted);
        let kept = self.intake.keep(&self.shared, record, deadline).await;
        if kept != Kept::Yes && is_announced {
            self.tell_once(Question::Withdrawn(job));
        }
        match kept {
            Kept::Yes => {}
            Kept::No => return Err(Refusal::NotKept),
            Kept::Unknown => return Err(Refusal::Unknown),
        }
        self.shared.meter.accepted(began.elapsed());
        self.tell(Question::Accepted(Box::new(accepted)));
        Ok(())
    }

    /// Returns how long the caller of a job that was refused should wait before it comes back.
    pub fn come_back(&self, job: JobId) -> Duration {
        let is_alone = self.shared.is_alone.load(Ordering::Relaxed);
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        refusals.refuse(job, is_alone)
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    ///
    /// Fails where nobody knows the job, or nobody who could know it can be reached.
    pub async fn look(&self, job: JobId) -> Result<State, Refusal> {
        let reply = self.ask_owner(&Question::Look(job)).await?;
        match reply {
            Reply::State(Some(state)) => Ok(state),
            Reply::State(None) => Err(Refusal::NoJob),
            _ => Err(Refusal::NoOwner),
        }
    }

    /// Returns how many jobs of a queue have begun nothing.
    ///
    /// # Errors
    ///
    /// Fails where there is no such queue or the owner can't be reached.
    pub async fn pending(&self, queue: &QueueName) -> Result<u32, Refusal> {
        let config = self.config().ok_or(Refusal::NotReady)?;
        if !config.queues.contains_key(queue) {
            return Err(Refusal::NoQueue);
        }
        match self.ask_owner(&Question::Pending(queue.clone())).await? {
            Reply::Pending(count) => Ok(count),
            _ => Err(Refusal::NoOwner),
        }
    }

    /// Cancels a job; on success that is on record.
    ///
    /// # Errors
    ///
    /// Fails where the job is not known, or where the cancellation could not be kept.
    pub async fn cancel(
        &self,
        queue: &QueueName,
        job: JobId,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let began = Instant::now();
        let result = self.try_cancel(job, deadline).await;
        self.report("cancel", job, queue, began.elapsed(), &result);
        result
    }

    async fn try_cancel(&self, job: JobId, deadline: Instant) -> Result<(), Refusal> {
        self.look(job).await?;
        let record = Record {
            key: cancellation_key(job),
            value: Some(vec![1].into()),
        };
        match self.intake.keep(&self.shared, record, deadline).await {
            Kept::Yes => {}
            Kept::No => return Err(Refusal::NotKept),
            Kept::Unknown => return Err(Refusal::Unknown),
        }
        self.tell(Question::Cancelled(job));
        Ok(())
    }

    /// Asks the owner, again where it can't be reached, for as long as callers should wait.
    async fn ask_owner(&self, question: &Question) -> Result<Reply, Refusal> {
        let until = Instant::now() + OWNER_WAIT;
        loop {
            if let Some(reply) = self.ask_once(question).await {
                return Ok(reply);
            }
            if Instant::now() + OWNER_AGAIN >= until {
                return Err(Refusal::NoOwner);
            }
            sleep(OWNER_AGAIN).await;
        }
    }

    async fn ask_once(&self, question: &Question) -> Option<Reply> {
        if let Some(control) = self.shared.control() {
            return match question {
                Question::Look(job) => {
                    let found = control.ask(Look(*job)).await.ok()?;
                    Some(Reply::State(found.0))
                }
                Question::Pending(queue) => {
                    let count = control.ask(Pending(queue.clone())).await.ok()?;
                    Some(Reply::Pending(count))
                }
                other => crate::owner::accept(&control, other.clone()).await,
            };
        }
        let address = self.shared.claim.borrow().as_ref()?.address;
        if address == self.shared.address {
            return None;
        }
        let reply = message::ask(&self.shared.rpc, address, question, OWNER_CALL).await;
        reply
            .ok()
            .filter(|reply| !matches!(reply, Reply::NotOwner { .. }))
    }

    /// Tells the owner of a job whose record is on its way, where the store takes its time; returns whether it
    /// does.
    fn announce(&self, accepted: &Accepted) -> bool {
        if !self.shared.store.is_slow() {
            return false;
        }
        self.tell_once(Question::Announced(Box::new(accepted.clone())));
        true
    }

    /// Tells the owner something that it can do without.
    fn tell_once(&self, question: Question) {
        let front = self.clone();
        tokio::spawn(async move {
            let _ = front.ask_once(&question).await;
        });
    }

    /// Tells the owner of a record, without holding the caller up; the next owner as well, where the cell
    /// changes hands a moment later.
    ///
    /// A word may reach an owner that was replaced without knowing it yet, after its successor has read what
    /// is on record. The successor would hear of it only when it reads the partition again, up to 2 s later,
    /// and a cancellation has to be in force within 3 s.
    fn tell(&self, question: Question) {
        let front = self.clone();
        tokio::spawn(async move {
            let mut failures = 0;
            while failures < TELL_TIMES {
                let epoch = front.shared.epoch();
                if front.ask_once(&question).await.is_none() {
                    failures += 1;
                    sleep(OWNER_AGAIN * 4).await;
                } else if !front.is_replaced(epoch).await {
                    return;
                }
            }
        });
    }

    /// Waits for a moment whether another owner comes after the one of an epoch.
    async fn is_replaced(&self, epoch: Epoch) -> bool {
        let mut claims = self.shared.claim.subscribe();
        let newer = claims.wait_for(|claim| claim.as_ref().is_some_and(|c| c.epoch > epoch));
        timeout(REPLACED, newer).await.is_ok()
    }

    fn report(
        &self,
        what: &'static str,
        job: JobId,
        queue: &QueueName,
        took: Duration,
        result: &Result<(), Refusal>,
    ) {
        let outcome = match result {
            Ok(()) => "accepted",
            Err(refusal) => refusal.word(),
        };
        self.shared.meter.request(what, outcome);
        if !self.shared.meter.may_log("request") {
            return;
        }
        let version = self.config().map_or(0, |config| config.version);
        slog::info!(self.shared.log, "request"; "call" => what, "job" => %job,
            "queue" => queue.as_str(), "config" => version,
            "store_failing_ms" => millis(self.shared.store.failing_for()),
            "store_usual_ms" => millis(self.shared.store.usual()),
            "took_ms" => millis(took), "outcome" => outcome);
    }
}

/// Returns the key that a cancellation is kept under.
pub(crate) fn cancellation_key(job: JobId) -> String {
    format!("{job}/x")
}

/// Reads a record of the jobs' topic.
pub(crate) enum JobRecord {
    /// A job was accepted.
    Accepted(Box<Accepted>),
    /// A job was cancelled.
    Cancelled(JobId),
}

impl JobRecord {
    /// Reads a record; `None` where it is none of this program's.
    pub(crate) fn read(record: &Record) -> Option<Self> {
        if let Some(job) = record.key.strip_suffix("/x") {
            return job.parse().ok().map(Self::Cancelled);
        }
        let value = record.value.as_ref()?;
        let accepted = record::decode(value).ok()?;
        Some(Self::Accepted(Box::new(accepted)))
    }
}
