//! Takes, shows and cancels jobs at any node.
//!
//! `owner` is how a node asks and tells the owner, `kept` how jobs stand on record.

mod kept;
mod owner;

pub(crate) use self::kept::{
    JobRecord,
    Key,
    cancellation, //
};

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
    config::{
        Config,
        Ingress, //
    },
    engine::State,
    id::{
        JobId,
        QueueName, //
    },
    job::{
        Invalid,
        Spec, //
    },
    record::{
        self,
        Accepted,
        Cancellation,
        Cancelled, //
    },
    workspace::{
        KeyDigest,
        Workspace,
        WorkspaceName, //
    },
};
use tokio::time::Instant;

use crate::{
    comeback::Refusals,
    intake::{
        self,
        Intake,
        Kept, //
    },
    message::{
        Absent,
        Question,
        Reply, //
    },
    port::{
        Platform,
        Record, //
    },
    report::millis,
    shared::Shared,
};

/// For so long after the store last told of it a configuration is taken for the newest. A new one has to be in
/// force within 2 s; a quiet store tells each 1 s that there is none, and a slow one 1.4 s later.
const CONFIG_FRESH: Duration = Duration::from_millis(2_500);

/// Why a call did not get what it asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The node doesn't know the configuration, or not of late. Nothing was done.
    #[error("the node does not know the present configuration")]
    NotReady,
    /// The call shows no key of a workspace, or one that is not in force. Nothing was done.
    #[error("the call shows no key that is in force")]
    Unauthorized,
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
            Self::Unauthorized => "unauthorized",
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
    /// The workspace of the callers that it serves, where they have one.
    workspace: Option<Arc<Workspace>>,
}

impl<P: Platform> Clone for Front<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            intake: self.intake.clone(),
            refusals: self.refusals.clone(),
            workspace: self.workspace.clone(),
        }
    }
}

impl<P: Platform> Front<P> {
    pub(crate) fn new(shared: Arc<Shared<P>>, intake: Intake) -> Self {
        Self {
            shared,
            intake,
            refusals: Arc::default(),
            workspace: None,
        }
    }

    /// Returns what serves the callers of a workspace.
    pub fn of(&self, workspace: Option<Arc<Workspace>>) -> Self {
        Self {
            workspace,
            ..self.clone()
        }
    }

    /// Returns what serves the callers who show a key, or none, at an ingress.
    ///
    /// # Errors
    ///
    /// Fails where the call shows no key that is in force and needs one, and where this node can't tell.
    pub fn authenticate(
        &self,
        config: &Config,
        ingress: &Ingress,
        key: Option<&KeyDigest>,
    ) -> Result<Self, Refusal> {
        if config.directory.is_some() && self.is_outdated() {
            self.report_key("not-ready", config, key);
            return Err(Refusal::NotReady);
        }
        match config.authenticate(ingress, key) {
            Ok(workspace) => Ok(self.of(workspace)),
            Err(_) => {
                let refusal = self.unless_stale(Refusal::Unauthorized);
                self.report_key(refusal.word(), config, key);
                Err(refusal)
            }
        }
    }

    /// Returns whether this node's configuration may be older than what others have in force: the store left this node
    /// alone some time ago. While it is away for all there is no newer one.
    fn is_outdated(&self) -> bool {
        let is_alone = self.shared.is_alone.load(Ordering::Relaxed);
        let age = self.shared.config_read.borrow().elapsed();
        (is_alone && age >= CONFIG_FRESH) || self.shared.revocation.forbids(age)
    }

    fn report_key(&self, outcome: &'static str, config: &Config, key: Option<&KeyDigest>) {
        self.shared.meter.request("authenticate", outcome);
        if !self.shared.meter.may_log("key") {
            return;
        }
        slog::info!(self.shared.log, "key"; "key" => key.map(KeyDigest::to_string).unwrap_or_default(),
            "config" => config.version,
            "config_ms" => millis(self.shared.config_read.borrow().elapsed()),
            "outcome" => outcome);
    }

    fn viewer(&self) -> Option<&WorkspaceName> {
        self.workspace.as_ref().map(|workspace| &workspace.name)
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

    /// Returns what to tell a caller whose queue the configuration in force here doesn't have.
    ///
    /// Out of an old configuration it says nothing of the queue, which may have come since.
    pub fn missing_queue(&self) -> Refusal {
        self.unless_stale(Refusal::NoQueue)
    }

    /// Returns what to tell a caller by a configuration, unless there may be a newer one.
    fn unless_stale(&self, refusal: Refusal) -> Refusal {
        match self.shared.config_read.borrow().elapsed() < CONFIG_FRESH {
            true => refusal,
            false => Refusal::NotReady,
        }
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
        let queue = config.queues.get(queue);
        let queue = queue.ok_or_else(|| self.missing_queue())?;
        spec.check()?;
        if let Some(workspace) = &self.workspace {
            spec.check_limit(&workspace.limit)?;
        }
        let mut accepted = Accepted {
            workspace: self.workspace.clone(),
            job,
            queue: queue.clone(),
            spec: Arc::new(spec),
            received: self.shared.clock.now(),
            partition: intake::partition(&self.shared.name, self.shared.spread()),
        };
        let Ok(value) = record::encode(&accepted) else {
            return Err(Refusal::NotKept);
        };
        let record = Record {
            key: Key::acceptance(job, self.viewer().cloned()).to_string(),
            value: Some(value.into()),
        };
        let began = Instant::now();
        let is_announced = self.announce(&accepted);
        let kept = self.intake.keep(&self.shared, record, deadline).await;
        if !matches!(kept, Kept::In(_)) && is_announced {
            self.tell_once(Question::Withdrawn(job));
        }
        match kept {
            // Its own partition may have refused it.
            Kept::In(partition) => accepted.partition = partition,
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
        let reply = self.ask_owner(|asked| self.question(job, asked));
        match reply.await? {
            Reply::State(state) => Ok(state),
            Reply::Absent(absent) => {
                self.report_absent(job, absent);
                Err(Refusal::NoJob)
            }
            _ => Err(Refusal::NoOwner),
        }
    }

    fn question(&self, job: JobId, asked: Duration) -> Question {
        Question::Look {
            job,
            viewer: self.viewer().cloned(),
            asked,
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
            return Err(self.missing_queue());
        }
        let viewer = self.viewer().cloned();
        let reply = self.ask_owner(|_| Question::Pending(queue.clone(), viewer.clone()));
        match reply.await? {
            Reply::Pending(count) => Ok(count),
            _ => Err(Refusal::NoOwner),
        }
    }

    /// Cancels a job.
    ///
    /// That is on record when this returns, whether anybody knows the job or not: it may turn up later, and must not
    /// start then.
    ///
    /// # Errors
    ///
    /// Fails where there is no such job, or where the cancellation could not be kept.
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
        let found = self.ask_once(&self.question(job, Duration::ZERO)).await;
        let cancellation = match &found {
            Some(Reply::State(state)) if state.is_final() => return Ok(()),
            Some(Reply::State(_)) => Cancellation::Seen,
            _ => Cancellation::Unseen,
        };
        let cancelled = Cancelled {
            job,
            workspace: self.viewer().cloned(),
            cancellation,
        };
        let record = kept::cancellation(&cancelled);
        match self.intake.keep(&self.shared, record, deadline).await {
            Kept::In(_) => {}
            Kept::No => return Err(Refusal::NotKept),
            Kept::Unknown => return Err(Refusal::Unknown),
        }
        self.tell(Question::Cancelled(cancelled));
        match found {
            Some(Reply::Absent(absent)) => {
                self.report_absent(job, absent);
                Err(Refusal::NoJob)
            }
            _ => Ok(()),
        }
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

    fn report_absent(&self, job: JobId, absent: Absent) {
        if self.shared.meter.may_log("no-job") {
            slog::info!(self.shared.log, "no-job"; "job" => %job, "epoch" => %absent.epoch,
                "view_ms" => millis(absent.view));
        }
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
            "workspace" => self.viewer().map_or("", WorkspaceName::as_str),
            "store_failing_ms" => millis(self.shared.store.failing_for()),
            "store_usual_ms" => millis(self.shared.store.usual()),
            "took_ms" => millis(took), "outcome" => outcome);
    }
}
