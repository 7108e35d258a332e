//! Serves callers on any node: submits, looks up and cancels jobs.
//!
//! `owner` sends requests to the cell's owner; `job_record` encodes and decodes the records of jobs and cancellations.

mod job_record;
mod owner;

pub(crate) use self::job_record::{
    JobRecord,
    Key,
    cancellation_record, //
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
        Ingress,
        Queue, //
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
use tokio::time::{
    Instant,
    timeout, //
};

use crate::{
    admission,
    intake::{
        self,
        Intake,
        Outcome, //
    },
    message::{
        Reply,
        Request,
        UnknownJob, //
    },
    platform::{
        Platform,
        Record, //
    },
    retry_delay::RefusedJobs,
    shared::Shared,
    telemetry::millis,
    work,
};

/// The age, since the store last confirmed it, up to which a configuration counts as the newest.
///
/// A new configuration must be in force within 2 s. An idle store confirms every 1 s that there is none, and a slow
/// store does so up to 1.4 s later.
const MAX_FRESH_CONFIG_AGE: Duration = Duration::from_millis(2_500);

/// The reason why a caller's request failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The node has no configuration, or none that was confirmed recently. The request had no effect.
    #[error("the node does not know the present configuration")]
    NotReady,
    /// The request carries no workspace key, or one that isn't valid. The request had no effect.
    #[error("the call shows no key that is in force")]
    Unauthorized,
    /// The queue doesn't exist. The request had no effect.
    #[error("there is no such queue")]
    NoQueue,
    /// The job specification is invalid. The request had no effect.
    #[error("the job is not valid: {0}")]
    Invalid(#[from] Invalid),
    /// The owner can't consider the job before its result is worth nothing. The job wasn't stored and never runs.
    #[error("the cell has too much to do; the job was not taken")]
    Overloaded {
        /// How long the caller should wait before it comes again.
        retry_after: Duration,
    },
    /// The store is unavailable. The job wasn't stored and never runs.
    #[error("the store is away; the job was not taken")]
    NotStored,
    /// The outcome isn't known before the deadline: the job may or may not be stored.
    #[error("whether it was taken can't be told in time")]
    Unknown,
    /// The owner of the cell can't be reached. The request had no effect.
    #[error("the owner of the cell can't be reached")]
    NoOwner,
    /// The job doesn't exist.
    #[error("there is no such job")]
    NoJob,
}

impl Refusal {
    /// Returns the label of this reason in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::Unauthorized => "unauthorized",
            Self::NoQueue => "no-queue",
            Self::Invalid(_) => "invalid",
            Self::Overloaded { .. } => "overloaded",
            Self::NotStored => "not-kept",
            Self::Unknown => "unknown",
            Self::NoOwner => "no-owner",
            Self::NoJob => "no-job",
        }
    }
}

/// Submits, looks up and cancels jobs for callers; cheap to clone.
pub struct Frontend<P: Platform> {
    shared: Arc<Shared<P>>,
    intake: Intake,
    refused_jobs: Arc<Mutex<RefusedJobs>>,
    /// The workspace of the served callers, if they have one.
    workspace: Option<Arc<Workspace>>,
}

impl<P: Platform> Clone for Frontend<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            intake: self.intake.clone(),
            refused_jobs: self.refused_jobs.clone(),
            workspace: self.workspace.clone(),
        }
    }
}

impl<P: Platform> Frontend<P> {
    pub(crate) fn new(shared: Arc<Shared<P>>, intake: Intake) -> Self {
        Self {
            shared,
            intake,
            refused_jobs: Arc::default(),
            workspace: None,
        }
    }

    /// Returns a handle that serves the callers of a workspace.
    pub fn for_workspace(&self, workspace: Option<Arc<Workspace>>) -> Self {
        Self {
            workspace,
            ..self.clone()
        }
    }

    /// Authenticates a request at an ingress, with or without a key, and returns a handle that serves its caller.
    ///
    /// # Errors
    ///
    /// Fails if the request needs a valid key and has none, or if this node's configuration is too old to decide.
    pub fn authenticate(
        &self,
        config: &Config,
        ingress: &Ingress,
        key: Option<&KeyDigest>,
    ) -> Result<Self, Refusal> {
        if config.directory.is_some() && self.is_config_outdated() {
            self.log_authentication("not-ready", config, key);
            return Err(Refusal::NotReady);
        }
        match config.authenticate(ingress, key) {
            Ok(workspace) => Ok(self.for_workspace(workspace)),
            Err(_) => {
                let refusal = self.not_ready_if_stale(Refusal::Unauthorized);
                self.log_authentication(refusal.as_str(), config, key);
                Err(refusal)
            }
        }
    }

    /// Returns whether this node's configuration may be older than the one in force on other nodes.
    ///
    /// This is the case if the store has been unreachable for this node alone for some time. While the store is
    /// unavailable for all nodes, there is no newer configuration, and only the revocation limit applies.
    fn is_config_outdated(&self) -> bool {
        let is_isolated = self.shared.is_isolated.load(Ordering::Relaxed);
        let age = self.shared.config_confirmed_at.borrow().elapsed();
        (is_isolated && age >= MAX_FRESH_CONFIG_AGE)
            || self.shared.revocation_limit.is_exceeded_by(age)
    }

    fn log_authentication(&self, outcome: &'static str, config: &Config, key: Option<&KeyDigest>) {
        self.shared.meter.request("authenticate", outcome);
        if !self.shared.meter.may_log("key", outcome) {
            return;
        }
        slog::info!(self.shared.log, "key"; "key" => key.map(KeyDigest::to_string).unwrap_or_default(),
            "config" => config.version,
            "config_ms" => millis(self.shared.config_confirmed_at.borrow().elapsed()),
            "outcome" => outcome);
    }

    fn workspace_name(&self) -> Option<&WorkspaceName> {
        self.workspace.as_ref().map(|workspace| &workspace.name)
    }

    /// Returns the configuration in force on this node, once there is one.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.shared.config.borrow().clone()
    }

    /// Returns whether the load balancer should send callers to this node.
    pub fn is_ready(&self) -> bool {
        self.config().is_some()
            && !self.shared.is_leaving()
            && !self.shared.store.is_unavailable()
            && self.shared.claim.borrow().is_some()
    }

    /// Returns the refusal for a caller whose queue isn't in this node's configuration.
    ///
    /// This is [`Refusal::NotReady`] if the configuration is stale, because the queue may have been added since.
    pub fn missing_queue(&self) -> Refusal {
        self.not_ready_if_stale(Refusal::NoQueue)
    }

    /// Returns `refusal`, which follows from the configuration, or [`Refusal::NotReady`] if the configuration is stale.
    fn not_ready_if_stale(&self, refusal: Refusal) -> Refusal {
        match self.shared.config_confirmed_at.borrow().elapsed() < MAX_FRESH_CONFIG_AGE {
            true => refusal,
            false => Refusal::NotReady,
        }
    }

    /// Submits a job; on success, its record is stored.
    ///
    /// # Errors
    ///
    /// Fails if the job wasn't stored, or if the outcome isn't known by `deadline`.
    pub async fn submit(
        &self,
        queue: &QueueName,
        job: JobId,
        spec: Spec,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let began = Instant::now();
        let submission = self.try_submit(queue, job, spec, deadline);
        let result = self.track(submission).await;
        self.log_request("submit", job, queue, began.elapsed(), &result);
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
        self.check_load(queue, job, &spec, deadline).await?;
        let mut accepted = Accepted {
            workspace: self.workspace.clone(),
            job,
            queue: queue.clone(),
            spec: Arc::new(spec),
            received: self.shared.clock.now(),
            partition: intake::partition(&self.shared.name, self.shared.spread()),
        };
        let Ok(value) = record::encode(&accepted) else {
            return Err(Refusal::NotStored);
        };
        let record = Record {
            key: Key::acceptance(job, self.workspace_name().cloned()).to_string(),
            value: Some(value.into()),
        };
        self.check_size(&record)?;
        let began = Instant::now();
        let is_announced = self.announce(&accepted);
        let outcome = self.intake.write(&self.shared, record, deadline).await;
        if !matches!(outcome, Outcome::Stored(_)) && is_announced {
            self.notify_owner_once(Request::Withdrawn(job));
        }
        match outcome {
            // If the store refused this node's own partition, the record is in another one.
            Outcome::Stored(partition) => accepted.partition = partition,
            Outcome::NotStored => return Err(Refusal::NotStored),
            Outcome::Unknown => return Err(Refusal::Unknown),
        }
        self.shared.meter.accepted(began.elapsed());
        self.notify_owner(Request::Accepted(Box::new(accepted)));
        Ok(())
    }

    /// Refuses a job that the owner can't consider in time, unless the job may have been accepted before.
    async fn check_load(
        &self,
        queue: &Queue,
        job: JobId,
        spec: &Spec,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let Some(load) = self.shared.owner_load.get() else {
            return Ok(());
        };
        let workspace = self.workspace_name();
        let delay = admission::retry_delay(&load, queue, workspace, job, spec);
        let Some(retry_after) = delay else {
            return Ok(());
        };
        match self.is_known_not_accepted(job, deadline).await {
            true => Err(Refusal::Overloaded { retry_after }),
            false => Ok(()),
        }
    }

    /// Returns whether the owner confirms, in half of the time until `deadline`, that no job with this id was accepted.
    /// The other half is left for accepting it.
    async fn is_known_not_accepted(&self, job: JobId, deadline: Instant) -> bool {
        let time_limit = deadline.saturating_duration_since(Instant::now()) / 2;
        let request = Request::IsAccepted(job);
        let reply = timeout(time_limit, self.ask_owner_within(&request, time_limit)).await;
        matches!(reply, Ok(Some(Reply::NotAccepted)))
    }

    /// Handles a request of a caller, and counts its pieces of work.
    async fn track<T>(&self, request: impl Future<Output = T>) -> T {
        self.shared.platform.work(work::Kind::Caller, 1).await;
        self.shared.work.track(work::Kind::Caller, request).await
    }

    /// Checks that the store takes the record of a job.
    fn check_size(&self, record: &Record) -> Result<(), Invalid> {
        let (bytes, most) = (record.stored_len(), self.shared.store_limits.record);
        match bytes <= most {
            true => Ok(()),
            false => Err(Invalid::TooLarge { bytes, most }),
        }
    }

    /// Returns how long the caller of a refused job should wait before it retries.
    pub fn retry_after(&self, job: JobId) -> Duration {
        let is_isolated = self.shared.is_isolated.load(Ordering::Relaxed);
        let mut refused_jobs = self
            .refused_jobs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        refused_jobs.retry_delay(job, is_isolated)
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    ///
    /// Fails if the owner doesn't know the job, or if the owner can't be reached.
    pub async fn job_state(&self, job: JobId) -> Result<State, Refusal> {
        let reply = self.ask_owner(|elapsed| self.state_request(job, elapsed));
        match self.track(reply).await? {
            Reply::State(state) => Ok(state),
            Reply::UnknownJob(unknown) => {
                self.log_unknown_job(job, unknown);
                Err(Refusal::NoJob)
            }
            _ => Err(Refusal::NoOwner),
        }
    }

    fn state_request(&self, job: JobId, elapsed: Duration) -> Request {
        Request::JobState {
            job,
            workspace: self.workspace_name().cloned(),
            elapsed,
        }
    }

    /// Returns the number of jobs in a queue of which no step has started.
    ///
    /// # Errors
    ///
    /// Fails if the queue doesn't exist or the owner can't be reached.
    pub async fn pending(&self, queue: &QueueName) -> Result<u32, Refusal> {
        let config = self.config().ok_or(Refusal::NotReady)?;
        if !config.queues.contains_key(queue) {
            return Err(self.missing_queue());
        }
        let workspace = self.workspace_name().cloned();
        let reply = self.ask_owner(|_| Request::Pending(queue.clone(), workspace.clone()));
        match self.track(reply).await? {
            Reply::Pending(count) => Ok(count),
            _ => Err(Refusal::NoOwner),
        }
    }

    /// Cancels a job.
    ///
    /// When this returns, the cancellation is stored even if the job is unknown: its record may become visible later,
    /// and the job must not start then.
    ///
    /// # Errors
    ///
    /// Fails if the job doesn't exist or the cancellation couldn't be stored.
    pub async fn cancel(
        &self,
        queue: &QueueName,
        job: JobId,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let began = Instant::now();
        let result = self.track(self.try_cancel(job, deadline)).await;
        self.log_request("cancel", job, queue, began.elapsed(), &result);
        result
    }

    async fn try_cancel(&self, job: JobId, deadline: Instant) -> Result<(), Refusal> {
        let found = self
            .ask_owner_once(&self.state_request(job, Duration::ZERO))
            .await;
        let cancellation = match &found {
            Some(Reply::State(state)) if state.is_final() => return Ok(()),
            Some(Reply::State(_)) => Cancellation::KnownJob,
            _ => Cancellation::UnknownJob,
        };
        let cancelled = Cancelled {
            job,
            workspace: self.workspace_name().cloned(),
            cancellation,
        };
        let record = job_record::cancellation_record(&cancelled);
        match self.intake.write(&self.shared, record, deadline).await {
            Outcome::Stored(_) => {}
            Outcome::NotStored => return Err(Refusal::NotStored),
            Outcome::Unknown => return Err(Refusal::Unknown),
        }
        self.notify_owner(Request::Cancelled(cancelled));
        match found {
            Some(Reply::UnknownJob(unknown)) => {
                self.log_unknown_job(job, unknown);
                Err(Refusal::NoJob)
            }
            _ => Ok(()),
        }
    }

    /// Announces a job to the owner before its record is stored, if the store is slow.
    ///
    /// Returns whether the job was announced.
    fn announce(&self, accepted: &Accepted) -> bool {
        if !self.shared.store.is_slow() {
            return false;
        }
        self.notify_owner_once(Request::Announced(Box::new(accepted.clone())));
        true
    }

    fn log_unknown_job(&self, job: JobId, unknown: UnknownJob) {
        if self.shared.meter.may_log("no-job", "") {
            slog::info!(self.shared.log, "no-job"; "job" => %job, "epoch" => %unknown.epoch,
                "view_ms" => millis(unknown.max_staleness));
        }
    }

    fn log_request(
        &self,
        call: &'static str,
        job: JobId,
        queue: &QueueName,
        took: Duration,
        result: &Result<(), Refusal>,
    ) {
        let outcome = match result {
            Ok(()) => "accepted",
            Err(refusal) => refusal.as_str(),
        };
        self.shared.meter.request(call, outcome);
        if !self.shared.meter.may_log("request", outcome) {
            return;
        }
        let version = self.config().map_or(0, |config| config.version);
        slog::info!(self.shared.log, "request"; "call" => call, "job" => %job,
            "queue" => queue.as_str(), "config" => version,
            "workspace" => self.workspace_name().map_or("", WorkspaceName::as_str),
            "store_failing_ms" => millis(self.shared.store.failing_for()),
            "store_usual_ms" => millis(self.shared.store.typical_latency()),
            "took_ms" => millis(took), "outcome" => outcome);
    }
}
