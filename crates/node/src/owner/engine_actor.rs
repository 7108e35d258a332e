//! The actor that runs the scheduling engine on the owner.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    config::{
        AdviceTiming,
        Config, //
    },
    effect::{
        Effect,
        LogRecord,
        Loss, //
    },
    engine::{
        Engine,
        State, //
    },
    event::Grant,
    id::{
        Epoch,
        JobId,
        NodeName,
        QueueName,
        StepId,
        WorkerId, //
    },
    record::{
        Accepted,
        Cancelled,
        Entry, //
    },
    workspace::WorkspaceName,
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};
use kameo::{
    Actor,
    actor::{
        ActorRef,
        WeakActorRef, //
    },
    message::{
        Context,
        Message, //
    },
};
use tokio::{
    sync::mpsc,
    time::{
        Instant,
        sleep_until, //
    },
};

use super::{
    delegated::DelegatedOrders, listing, orders::Failure, read_progress::ReadProgress, removal,
};
use crate::{
    admission::Load,
    assignment::{
        Assignment,
        Peer, //
    },
    dispatch::Reports,
    evacuation, lag,
    member::Tenure,
    message::{
        self,
        Reply,
        Request, //
    },
    order::{
        Order,
        Report, //
    },
    platform::Platform,
    shared::Shared,
    telemetry::{
        OptionalField,
        millis, //
    },
    work,
};

/// Added to twice the expected duration of an advice call to give its timeout. The duration counts
/// twice because the service may still be busy with an earlier call of the same node whose answer
/// was lost. A round trip takes some 10 ms, and ten times that on a slow node. With 1.5 s here, the
/// most urgent jobs were late whenever connections to nodes stopped delivering data without
/// closing.
const ADVICE_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);

/// If no event arrives for this long, the process was not running: the actor gets a tick every
/// 25 ms. A claim expires after 0.7 s, so another node may own the cell by then.
const STALL_THRESHOLD: Duration = Duration::from_millis(900);

/// The actor that holds the engine. Nothing else issues orders.
#[derive(Actor)]
pub(crate) struct EngineActor<P: Platform> {
    pub(super) engine: Engine,
    pub(super) shared: Arc<Shared<P>>,
    records: mpsc::UnboundedSender<Vec<Entry>>,
    read_progress: ReadProgress,
    /// Until when this node may act as the owner.
    tenure: Arc<Tenure>,
    /// When the event that is being handled began to be handled. Orders are dated by it, so a pause before they leave
    /// doesn't extend a lease.
    pub(super) now: Timestamp,
    /// When the actor started.
    started_at: Instant,
    /// Whether a timer is already set for the engine's next pass.
    is_pass_scheduled: bool,
    /// Set once another node may own the cell; from then on no orders are sent.
    has_lost_ownership: bool,
    /// When the last event was handled. `suspended_total` is the time that the machine had spent
    /// suspended by then.
    last_event_at: Instant,
    suspended_total: Duration,
    pub(super) assignment: Assignment,
    pub(super) delegated: DelegatedOrders,
    /// Batches of orders for other nodes to send to workers, by the address of the node.
    pub(super) batches: HashMap<SocketAddr, Vec<(u64, Order)>>,
    /// Whether a timer is already set for sending the batches.
    pub(super) is_batch_scheduled: bool,
}

/// An input to the actor.
#[derive(Debug)]
pub(crate) enum Event {
    /// A job's acceptance is being written to the store.
    Announced(Box<Accepted>),
    /// The acceptance of an announced job is not stored, as far as the announcing node can tell.
    Withdrawn(JobId),
    /// A job's acceptance is stored.
    Accepted(Box<Accepted>),
    /// A job's cancellation is stored.
    Cancelled(Cancelled),
    /// An order that this node sent was answered, or the node gave up on it.
    Reported(Report),
    /// Results of orders that other nodes sent.
    Reports(Reports),
    /// A node did not accept a batch of orders; carries the numbers of the orders.
    DelegationFailed(SocketAddr, Failure, Vec<u64>),
    /// A call to the advice service ended; `None` if there was no answer.
    Advised(NodeName, StepId, Option<Vec<Grant>>),
    /// The entries of an [`Effect::Record`] are stored.
    Recorded,
    /// The list of workers was read; carries what changed.
    WorkersChanged(Vec<listing::Change>),
    /// Another configuration is in force.
    Configured(Arc<Config>),
    /// The set of evacuated data centres was read.
    Evacuation(evacuation::Snapshot),
    /// The owners before this one were fenced at this time.
    FormerOwnersFenced(Timestamp),
    /// The nodes of the cell other than the owner.
    Peers(Vec<Peer>),
    /// The delay for batching orders has passed.
    BatchDue,
    /// The periodic tick; carries the time at which it was due, and its wait for the actor.
    Tick(Instant, work::Wait),
    /// A pass over the open steps is due.
    Pass,
    /// Another node owns the cell, or may own it.
    OwnershipLost,
}

impl Event {
    /// Returns how much work it is to handle the event.
    fn amount_of_work(&self) -> usize {
        match self {
            Self::Reports(reports) => reports.reports.len(),
            Self::WorkersChanged(changes) => changes.len(),
            _ => 1,
        }
    }

    /// Returns which kind of work it is to handle the event.
    const fn kind_of_work(&self) -> work::Kind {
        match self {
            Self::Announced(_) | Self::Withdrawn(_) | Self::Accepted(_) | Self::Cancelled(_) => {
                work::Kind::Job
            }
            Self::Reported(_) | Self::Reports(_) | Self::DelegationFailed(..) => work::Kind::Report,
            Self::Advised(..) => work::Kind::Advice,
            Self::WorkersChanged(_) => work::Kind::Registration,
            Self::Recorded
            | Self::Configured(_)
            | Self::Evacuation(_)
            | Self::FormerOwnersFenced(_)
            | Self::Peers(_)
            | Self::BatchDue
            | Self::Tick(..)
            | Self::Pass
            | Self::OwnershipLost => work::Kind::Event,
        }
    }
}

/// Queries the state of a job, as callers of a workspace see it.
#[derive(Clone)]
pub(super) struct JobQuery {
    pub(super) job: JobId,
    pub(super) workspace: Option<WorkspaceName>,
}

/// The answer to a [`JobQuery`].
#[derive(kameo::Reply)]
pub(crate) struct JobAnswer {
    /// `None` if the owner doesn't know the job.
    pub(super) state: Option<State>,
    pub(super) epoch: Epoch,
}

/// Queries how many jobs of a queue have not started any task, as callers of a workspace see it.
pub(super) struct PendingQuery {
    pub(super) queue: QueueName,
    pub(super) workspace: Option<WorkspaceName>,
}

impl<P: Platform> EngineActor<P> {
    pub(super) fn new(
        engine: Engine,
        shared: Arc<Shared<P>>,
        tenure: Arc<Tenure>,
        records: mpsc::UnboundedSender<Vec<Entry>>,
        read_progress: ReadProgress,
    ) -> Self {
        let suspended = tenure.suspended();
        Self {
            engine,
            tenure,
            now: shared.clock.now(),
            shared,
            records,
            read_progress,
            started_at: Instant::now(),
            is_pass_scheduled: false,
            has_lost_ownership: false,
            last_event_at: Instant::now(),
            suspended_total: suspended,
            assignment: Assignment::default(),
            delegated: DelegatedOrders::default(),
            batches: HashMap::default(),
            is_batch_scheduled: false,
        }
    }

    /// Stops issuing orders if the process was not running for so long that another node may own
    /// the cell: that owner wouldn't know of a lease that this one extends.
    ///
    /// The runtime's clock stops while the machine is suspended, but the leases that other machines
    /// count go on, so suspension is checked separately.
    fn check_stall(&mut self) {
        let idle = std::mem::replace(&mut self.last_event_at, Instant::now()).elapsed();
        let suspended = lag::take_suspension(&self.shared.platform, &mut self.suspended_total);
        if (idle < STALL_THRESHOLD && suspended.is_none()) || self.has_lost_ownership {
            return;
        }
        slog::warn!(self.shared.log, "stalled"; "epoch" => %self.engine.epoch(),
            "stood_ms" => millis(idle), "slept_ms" => millis(suspended.unwrap_or_default()));
        self.has_lost_ownership = true;
        self.shared.stalled.notify_one();
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        let now = self.now;
        let engine = &mut self.engine;
        match event {
            Event::Announced(accepted) => {
                engine.announce(*accepted, now);
            }
            Event::Withdrawn(job) => engine.withdraw(job, now),
            Event::Accepted(accepted) => {
                engine.submit(*accepted, now);
            }
            Event::Cancelled(cancelled) => {
                engine.cancel(&cancelled, now);
            }
            Event::Reported(report) => self.handle_report(report),
            Event::Reports(reports) => self.handle_reports(reports),
            Event::DelegationFailed(node, failure, numbers) => {
                self.handle_delegation_failure(node, failure, &numbers);
            }
            Event::Advised(node, step, answer) => engine.handle_advice(&node, step, answer, now),
            Event::Recorded => engine.handle_recorded(now),
            Event::WorkersChanged(changes) => {
                changes
                    .into_iter()
                    .for_each(|change| change.apply_to(engine, now));
            }
            Event::Configured(config) => engine.configure(config.as_ref().clone()),
            Event::Evacuation(snapshot) => snapshot.apply(engine, now),
            Event::FormerOwnersFenced(at) => engine.note_former_owners_fenced(at),
            Event::Peers(peers) => {
                let own_peer = self.shared.as_peer();
                let names = peers.iter().map(|peer| peer.node.clone());
                let names: Vec<NodeName> = names.chain([own_peer.node.clone()]).collect();
                engine.set_advice_nodes(&names, now);
                self.assignment.update_nodes(own_peer, peers);
            }
            Event::Tick(due, wait) => {
                self.shared.lag.record_event_wait(due.elapsed());
                self.shared.log_wait("event", &wait);
                self.measure_load();
                for report in self.delegated.overdue() {
                    self.handle_report(report);
                }
            }
            // `handle` sends the batches once the orders that result from this event are in them.
            Event::BatchDue => {}
            Event::Pass => self.is_pass_scheduled = false,
            Event::OwnershipLost => self.has_lost_ownership = true,
        }
    }

    /// Publishes how long new work waits for this owner.
    fn measure_load(&self) {
        let mut load = Load::new(self.shared.lag.owner_lag(), self.engine.backlog());
        load.backlogged = match load.may_refuse() {
            true => self.engine.backlogged_workspaces(),
            false => None,
        };
        self.shared.owner_load.record(load, Instant::now());
    }

    fn apply_effects(&mut self, effects: Vec<Effect>, actor_ref: &ActorRef<Self>) {
        let mut orders = Vec::new();
        for effect in effects {
            if self.has_lost_ownership {
                return;
            }
            match effect {
                Effect::Start(order) => orders.push(Order::Start(order)),
                Effect::Stop(order) => orders.push(Order::Stop(order)),
                Effect::Throttle(order) => orders.push(Order::Throttle(order)),
                Effect::Heartbeat(order) => orders.push(Order::Heartbeat(order)),
                Effect::Advise {
                    node,
                    step,
                    workers,
                } => self.advise(node, step, workers, actor_ref.downgrade()),
                Effect::Record(entries) => {
                    // The recorder runs until the actor ends, so the channel is open.
                    let _ = self.records.send(entries);
                }
                Effect::Remove(jobs) => removal::remove_acceptances(&self.shared, jobs),
                Effect::Log(record) => self.log_record(&record),
                Effect::OwnershipLost(loss) => {
                    self.log_loss(&loss);
                    self.has_lost_ownership = true;
                    self.shared.end_ownership(self.engine.epoch());
                }
            }
        }
        if !self.has_lost_ownership {
            self.dispatch(orders, actor_ref);
        }
    }

    /// Schedules an [`Event::Pass`] for when the engine next has a scheduling pass or a record to make, unless one is
    /// already scheduled.
    fn schedule_pass(&mut self, actor_ref: &ActorRef<Self>) {
        let Some(at) = self.engine.next_pass().filter(|_| !self.is_pass_scheduled) else {
            return;
        };
        self.is_pass_scheduled = true;
        let at = self.shared.clock.instant(at);
        let actor_ref = actor_ref.downgrade();
        tokio::spawn(async move {
            sleep_until(at).await;
            tell(&actor_ref, Event::Pass).await;
        });
    }

    fn log_record(&self, record: &LogRecord) {
        self.shared.meter.decision(&self.shared.log, record);
    }

    /// Logs why the engine can't go on.
    fn log_loss(&self, loss: &Loss) {
        let refusal = match loss {
            Loss::Fenced(refusal) => Some(refusal),
            Loss::RunsUsedUp => None,
        };
        let heard = refusal.and_then(|refusal| refusal.heard);
        slog::warn!(self.shared.log, "fenced"; "epoch" => %self.engine.epoch(),
            "by" => loss.as_str(),
            "worker" => refusal.map_or("", |refusal| refusal.worker.as_str()),
            "call" => refusal.map_or("", |refusal| refusal.call),
            "owned_ms" => millis(self.started_at.elapsed()),
            OptionalField("heard_ms", heard.map(millis)));
    }

    /// Calls the advice service from this node, or has another node call it.
    fn advise(
        &self,
        node: NodeName,
        step: StepId,
        workers: Vec<WorkerId>,
        actor_ref: WeakActorRef<Self>,
    ) {
        let shared = self.shared.clone();
        let timing = self.engine.advice_timing(step);
        let expected = timing.map(|timing: AdviceTiming| timing.call_duration(workers.len()));
        let time_limit = 2 * expected.unwrap_or_default() + ADVICE_TIMEOUT_MARGIN;
        tokio::spawn(async move {
            let answer = ask_for_advice(&shared, &node, step, workers, time_limit).await;
            tell(&actor_ref, Event::Advised(node, step, answer)).await;
        });
    }
}

async fn ask_for_advice<P: Platform>(
    shared: &Shared<P>,
    node: &NodeName,
    step: StepId,
    workers: Vec<WorkerId>,
    time_limit: Duration,
) -> Option<Vec<Grant>> {
    if *node == shared.name {
        return shared.platform.advise(step, workers, time_limit).await;
    }
    let address = shared
        .peers
        .lock()
        .await
        .iter()
        .find(|peer| peer.node == *node)
        .map(|peer| peer.address)?;
    let request = Request::Advise {
        step,
        workers,
        timeout: time_limit,
    };
    match message::send(&shared.rpc, address, &request, time_limit).await {
        Ok(Reply::Advised(answer)) => answer,
        Ok(_) | Err(_) => None,
    }
}

/// Sends the actor an event, unless the actor has ended.
pub(super) async fn tell<P: Platform>(actor: &WeakActorRef<EngineActor<P>>, event: Event) {
    if let Some(actor) = actor.upgrade() {
        // The actor may be stopping.
        let _ = actor.tell(event).await;
    }
}

impl<P: Platform> Message<Event> for EngineActor<P> {
    type Reply = ();

    async fn handle(&mut self, event: Event, context: &mut Context<Self, ()>) {
        let shared = self.shared.clone();
        let kind = event.kind_of_work();
        let mut piece = shared.work.begin(kind);
        let is_batch_due = matches!(event, Event::BatchDue);
        let amount = event.amount_of_work();
        self.now = self.shared.clock.now();
        // Events that were sent before the ownership ended may still be queued.
        self.has_lost_ownership |= !self.shared.owns(self.engine.epoch());
        self.has_lost_ownership |= !self.tenure.is_valid(self.shared.steady_now());
        self.check_stall();
        self.handle_event(event);
        if self.has_lost_ownership {
            context.actor_ref().kill();
            return;
        }
        shared.platform.work(kind, amount).await;
        let is_pass_due = self.engine.is_pass_due(self.now);
        piece.switch(match is_pass_due {
            true => work::Kind::Pass,
            false => work::Kind::Due,
        });
        let effects = self.engine.advance(self.now);
        if is_pass_due {
            let cost = self.engine.pass_cost();
            shared.platform.work(work::Kind::Pass, cost).await;
        }
        piece.switch(work::Kind::Effect);
        let actor_ref = context.actor_ref().clone();
        self.apply_effects(effects, &actor_ref);
        if is_batch_due {
            self.send_batches(&actor_ref);
        }
        self.schedule_pass(&actor_ref);
    }
}

impl<P: Platform> Message<JobQuery> for EngineActor<P> {
    type Reply = JobAnswer;

    async fn handle(&mut self, query: JobQuery, _: &mut Context<Self, JobAnswer>) -> JobAnswer {
        let _piece = self.shared.work.begin(work::Kind::Query);
        self.shared.platform.work(work::Kind::Query, 1).await;
        JobAnswer {
            state: self.engine.state_for(query.job, query.workspace.as_ref()),
            epoch: self.engine.epoch(),
        }
    }
}

impl<P: Platform> Message<PendingQuery> for EngineActor<P> {
    type Reply = u32;

    async fn handle(&mut self, query: PendingQuery, _: &mut Context<Self, u32>) -> u32 {
        let _piece = self.shared.work.begin(work::Kind::Query);
        self.shared.platform.work(work::Kind::Query, 1).await;
        self.engine
            .pending_for(&query.queue, query.workspace.as_ref())
    }
}

/// Requests an update of the gauges that show the engine's state.
pub(super) struct UpdateGauges;

impl<P: Platform> Message<UpdateGauges> for EngineActor<P> {
    type Reply = ();

    async fn handle(&mut self, _: UpdateGauges, _: &mut Context<Self, ()>) {
        let shared = self.shared.clone();
        let _piece = shared.work.begin(work::Kind::Gauge);
        let counts = self.engine.counts();
        let epoch = u64::from(self.engine.epoch().0);
        let staleness = self.read_progress.age();
        self.shared.meter.engine_counts(&counts, epoch, staleness);
        let loads = self.engine.advice_load(self.shared.clock.now());
        self.shared.meter.advice_load(&self.shared.log, &loads);
        self.shared.meter.workspaces(self.engine.usage());
        if let Some(load) = self.shared.owner_load.get() {
            self.shared.meter.owner_load(&load);
        }
        if self.shared.meter.may_log("believed", "") {
            slog::info!(self.shared.log, "believed"; "epoch" => epoch, "jobs" => counts.jobs,
                "waiting" => counts.pending_jobs,
                "open_steps" => counts.open_steps, "claims" => counts.allocations,
                "listed" => counts.listed_runs,
                "lag_ms" => millis(self.shared.lag.take_longest_wait()),
                "owned_ms" => millis(self.started_at.elapsed()),
                "view_ms" => millis(staleness),
                "workers_heard" => counts.workers_heard,
                "workers_silent" => counts.workers_silent,
                "workers_unheard" => counts.workers_not_yet_heard,
                "workers_evacuated" => counts.workers_evacuated,
                "workers_held" => counts.workers_held);
        }
    }
}
