//! What all calls of a gate share.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use fulmarpier_coordination::{
    config::Document,
    retry::Budget, //
};
use fulmarpier_protocol::settings::gate::Gate as Settings;
use fulmarpier_state::{
    clock::Timestamp,
    name::{
        Service,
        Team, //
    },
    refusal::{
        Reason,
        Refusal, //
    },
    unit::Bytes,
};
use fulmarpier_transport::{
    clock::Clock,
    platform::target,
    rpc, //
};
use slog::Logger;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::{
    control::{
        Control,
        View, //
    },
    load::Load,
    metrics::Metrics,
    phase::Gauge,
    slot::Pool, //
};

/// The most bytes of bodies that are held in memory at once.
const MEMORY: Bytes = Bytes::from_mib(128);
/// The share of a retry that each request pays for, in thousandths of one.
const THOUSANDTHS: f64 = 1_000.0;

/// What all calls of a gate share.
#[derive(Debug)]
pub struct App {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The instruments.
    pub metrics: Metrics,
    /// The phase of the gate.
    pub phase: Gauge,
    /// The control thread.
    pub control: Control,
    /// What is known of the scheds.
    pub view: watch::Receiver<Arc<View>>,
    /// The slots.
    pub pool: Arc<Pool>,
    /// The client of the scheds.
    pub rpc: rpc::Client,
    /// The client of the targets.
    pub targets: target::Client,
    /// What is taken on at once.
    pub load: Load,
    /// Work that goes on behind an answer, and that a drain waits for.
    pub tasks: TaskTracker,
    budget: Mutex<Budget>,
}

/// The parts of an [`App`] that are made outside of it.
#[derive(Debug)]
pub struct Parts {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The instruments.
    pub metrics: Metrics,
    /// The phase of the gate.
    pub phase: Gauge,
    /// The control thread.
    pub control: Control,
    /// The slots.
    pub pool: Arc<Pool>,
    /// The client of the scheds.
    pub rpc: rpc::Client,
    /// The client of the targets.
    pub targets: target::Client,
}

impl App {
    /// Puts the parts together.
    pub fn new(parts: Parts) -> Self {
        let budget = budget(&parts.settings, parts.clock.now());
        Self {
            view: parts.control.view(),
            load: Load::new(parts.settings.limits.in_flight, MEMORY),
            settings: parts.settings,
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            phase: parts.phase,
            control: parts.control,
            pool: parts.pool,
            rpc: parts.rpc,
            targets: parts.targets,
            tasks: TaskTracker::new(),
            budget: Mutex::new(budget),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Document> {
        self.view.borrow().config.clone()
    }

    /// Returns the retry budget, shared by all requests.
    pub fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a refusal and logs it.
    pub fn refused(&self, refusal: &Refusal) {
        self.metrics.refused(refusal.reason);
        slog::debug!(self.log, "refused";
            "reason" => refusal.reason.word(),
            "outcome" => %refusal.outcome,
            "detail" => &refusal.detail);
    }

    /// Makes the refusal of new work while the gate is leaving.
    pub fn leaving(&self) -> Refusal {
        let detail = "this gate is leaving; another one takes the work";
        let refusal = Refusal::new(Reason::Draining, detail);
        refusal.retry_after(self.settings.sync_interval.get())
    }

    /// Makes the refusal of what can't be judged before the configuration is known.
    pub fn uninformed(&self) -> Refusal {
        let detail = "this gate has started and has no configuration yet";
        let refusal = Refusal::new(Reason::NoOwner, detail);
        refusal.retry_after(self.settings.sync_interval.get())
    }

    /// Returns the services that are configured.
    pub fn services(&self) -> Vec<Service> {
        self.config().services.keys().cloned().collect()
    }

    /// Notes the slots and queues of the configured services.
    pub fn note_levels(&self) {
        let usage = self.pool.usage(self.services().iter());
        self.metrics.levels(usage.held, usage.used, usage.waiting);
    }

    /// Checks that a team is configured, and returns its weight.
    ///
    /// # Errors
    ///
    /// Refuses a team that is not configured.
    pub fn weight(config: &Document, team: &Team) -> Result<u32, Refusal> {
        let known = config.teams.get(team);
        known
            .map(|team| team.weight)
            .ok_or_else(|| Refusal::new(Reason::UnknownTeam, format!("no team is called {team}")))
    }
}

fn budget(settings: &Settings, now: Timestamp) -> Budget {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the settings keep the ratio between zero and one"
    )]
    let ratio = (settings.retry.ratio * THOUSANDTHS) as u16;
    Budget::new(ratio, settings.retry.minimum, now)
}
