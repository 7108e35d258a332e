//! The actor that holds the engine.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    config::{
        AdviceTerms,
        Config, //
    },
    effect::{
        Effect,
        Note, //
    },
    engine::{
        Engine,
        State, //
    },
    event::Advised,
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
use fulmarpier_state::alias::HashMap;
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

use super::{forget, given::Given, listing, orders::Failure, view::View};
use crate::{
    evacuation,
    hand::Reports,
    message::{
        self,
        Question,
        Reply, //
    },
    order::{
        Order,
        Report, //
    },
    port::Platform,
    pulse,
    report::millis,
    share::{
        Peer,
        Share, //
    },
    shared::Shared,
};

/// How much longer than twice its time a call for advice may take. Twice, since the service may still be
/// at a call of the same node whose answer was lost; a way there and back takes some 10 ms, on a slow node
/// ten times that. At 1.5 s the most urgent jobs were late whenever connections to nodes fell silent.
const ADVICE_SLACK: Duration = Duration::from_millis(300);

/// The actor is told each 25 ms that time has passed; without any event for this long its process stood
/// still. A claim lapses after 0.7 s, so another owner may be at work.
const STALLED: Duration = Duration::from_millis(900);

/// The actor that holds the engine; the only one that gives orders.
#[derive(Actor)]
pub(crate) struct Control<P: Platform> {
    pub(super) engine: Engine,
    pub(super) shared: Arc<Shared<P>>,
    records: mpsc::UnboundedSender<Vec<Entry>>,
    view: View,
    /// When the actor began.
    since: Instant,
    /// Whether the actor will be told that time has passed when a pass is due.
    is_timed: bool,
    /// Set once another node may own the cell: no order leaves any more.
    is_deposed: bool,
    /// When the last event was taken, and for how long the machine had been suspended by then.
    last: Instant,
    suspended: Duration,
    pub(super) share: Share,
    pub(super) given: Given,
    /// Orders that other nodes give, until they are sent together.
    pub(super) gathered: HashMap<SocketAddr, Vec<(u64, Order)>>,
    /// Whether the actor will be told to send them.
    pub(super) is_gathering: bool,
}

/// What happened.
#[derive(Debug)]
pub(crate) enum Event {
    /// A job's acceptance is on its way to the record.
    Announced(Box<Accepted>),
    /// An announced job is not on record, as far as anybody can tell.
    Withdrawn(JobId),
    /// A job's acceptance is on record.
    Accepted(Box<Accepted>),
    /// A job's cancellation is on record.
    Cancelled(Cancelled),
    /// An order that this node gave was answered, or given up.
    Reported(Report),
    /// Other nodes tell what came of orders that they gave.
    Reports(Reports),
    /// A node did not take orders.
    NotGiven(SocketAddr, Failure, Vec<u64>),
    /// A call for advice was answered.
    Advised(NodeName, StepId, Option<Vec<Advised>>),
    /// The record on its way is kept.
    Recorded,
    /// The list of workers was read on.
    Listed(Vec<listing::Change>),
    /// Another configuration is in force.
    Configured(Arc<Config>),
    /// Which data centres are evacuated was read.
    Evacuation(evacuation::Reading),
    /// These nodes are there beside the owner.
    Peers(Vec<Peer>),
    /// Orders were gathered for long enough.
    Gathered,
    /// Time has passed; this was due then.
    Tick(Instant),
    /// A pass over the open steps is due.
    Pass,
    /// Another node owns the cell, or may.
    Deposed,
}

/// Asks for the state of a job, as callers of a workspace see it.
#[derive(Clone)]
pub(super) struct Look {
    pub(super) job: JobId,
    pub(super) viewer: Option<WorkspaceName>,
}

/// The state of a job.
#[derive(kameo::Reply)]
pub(crate) struct Found {
    /// `None` where the owner doesn't know the job.
    pub(super) state: Option<State>,
    pub(super) epoch: Epoch,
}

/// Asks how many jobs of a queue have begun nothing, as callers of a workspace see it.
pub(super) struct Pending {
    pub(super) queue: QueueName,
    pub(super) viewer: Option<WorkspaceName>,
}

impl<P: Platform> Control<P> {
    pub(super) fn new(
        engine: Engine,
        shared: Arc<Shared<P>>,
        records: mpsc::UnboundedSender<Vec<Entry>>,
        view: View,
    ) -> Self {
        let suspended = shared.platform.suspended();
        Self {
            engine,
            shared,
            records,
            view,
            since: Instant::now(),
            is_timed: false,
            is_deposed: false,
            last: Instant::now(),
            suspended,
            share: Share::default(),
            given: Given::default(),
            gathered: HashMap::default(),
            is_gathering: false,
        }
    }

    /// Gives no order any more where the process stood still for so long that another node may own the
    /// cell: a lease that it would extend is one that the other doesn't know of.
    ///
    /// While the machine is suspended the runtime's clock stands still as well, and the leases that others count run on.
    fn check_stall(&mut self) {
        let stood = std::mem::replace(&mut self.last, Instant::now()).elapsed();
        let slept = pulse::slept(&self.shared.platform, &mut self.suspended);
        if (stood < STALLED && slept.is_none()) || self.is_deposed {
            return;
        }
        slog::warn!(self.shared.log, "stalled"; "epoch" => %self.engine.epoch(),
            "stood_ms" => millis(stood), "slept_ms" => millis(slept.unwrap_or_default()));
        self.is_deposed = true;
        self.shared.stalled.notify_one();
    }

    pub(super) fn take(&mut self, event: Event) {
        let now = self.shared.clock.now();
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
            Event::Reported(report) => self.take_report(report),
            Event::Reports(reports) => self.take_reports(reports),
            Event::NotGiven(node, failure, numbers) => {
                self.take_not_given(node, failure, &numbers);
            }
            Event::Advised(node, step, answer) => engine.advised(&node, step, answer, now),
            Event::Recorded => engine.recorded(now),
            Event::Listed(changes) => {
                changes
                    .into_iter()
                    .for_each(|change| change.tell(engine, now));
            }
            Event::Configured(config) => engine.configure(config.as_ref().clone()),
            Event::Evacuation(reading) => reading.tell(engine, now),
            Event::Peers(peers) => {
                let own = self.shared.peer();
                let names = peers.iter().map(|peer| peer.node.clone());
                let names: Vec<NodeName> = names.chain([own.node.clone()]).collect();
                engine.set_hands(&names, now);
                self.share.renew(own, peers);
            }
            Event::Tick(due) => {
                self.shared.pulse.note_event(due.elapsed());
                for report in self.given.overdue() {
                    self.take_report(report);
                }
            }
            // They are sent once the event's own orders are among them.
            Event::Gathered => {}
            Event::Pass => self.is_timed = false,
            Event::Deposed => self.is_deposed = true,
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>, own: &ActorRef<Self>) {
        let mut orders = Vec::new();
        for effect in effects {
            if self.is_deposed {
                return;
            }
            match effect {
                Effect::Start(order) => orders.push(Order::Start(order)),
                Effect::Stop(order) => orders.push(Order::Stop(order)),
                Effect::Pace(order) => orders.push(Order::Pace(order)),
                Effect::Hold(order) => orders.push(Order::Hold(order)),
                Effect::Advise {
                    node,
                    step,
                    workers,
                } => self.advise(node, step, workers, own.downgrade()),
                Effect::Record(entries) => {
                    // The recorder ends only with the actor.
                    let _ = self.records.send(entries);
                }
                Effect::Forget(jobs) => forget::forget(&self.shared, jobs),
                Effect::Note(note) => self.note(&note),
                Effect::Deposed => {
                    slog::warn!(self.shared.log, "fenced"; "epoch" => %self.engine.epoch());
                    self.is_deposed = true;
                    self.shared.acting.send_replace(None);
                }
            }
        }
        if !self.is_deposed {
            self.order(orders, own);
        }
    }

    /// Comes back when the next pass is due, if that is before the next tick.
    fn set_timer(&mut self, own: &ActorRef<Self>) {
        let Some(at) = self.engine.next_pass().filter(|_| !self.is_timed) else {
            return;
        };
        self.is_timed = true;
        let at = self.shared.clock.instant(at);
        let own = own.downgrade();
        tokio::spawn(async move {
            sleep_until(at).await;
            tell(&own, Event::Pass).await;
        });
    }

    fn note(&self, note: &Note) {
        self.shared.meter.note(&self.shared.log, note);
    }

    /// Asks for advice here, or has another node ask.
    fn advise(
        &self,
        node: NodeName,
        step: StepId,
        workers: Vec<WorkerId>,
        own: WeakActorRef<Self>,
    ) {
        let shared = self.shared.clone();
        let terms = self.engine.advice_terms(step);
        let takes = terms.map(|terms: AdviceTerms| terms.duration(workers.len()));
        let patience = 2 * takes.unwrap_or_default() + ADVICE_SLACK;
        tokio::spawn(async move {
            let answer = ask_for_advice(&shared, &node, step, workers, patience).await;
            tell(&own, Event::Advised(node, step, answer)).await;
        });
    }
}

async fn ask_for_advice<P: Platform>(
    shared: &Shared<P>,
    node: &NodeName,
    step: StepId,
    workers: Vec<WorkerId>,
    patience: Duration,
) -> Option<Vec<Advised>> {
    if *node == shared.name {
        return shared.platform.advise(step, workers, patience).await;
    }
    let address = shared
        .peers
        .lock()
        .await
        .iter()
        .find(|peer| peer.node == *node)
        .map(|peer| peer.address)?;
    let question = Question::Advise {
        step,
        workers,
        patience,
    };
    match message::ask(&shared.rpc, address, &question, patience).await {
        Ok(Reply::Advised(answer)) => answer,
        Ok(_) | Err(_) => None,
    }
}

/// Tells the actor, unless it has ended.
pub(super) async fn tell<P: Platform>(control: &WeakActorRef<Control<P>>, event: Event) {
    if let Some(control) = control.upgrade() {
        // It may be ending.
        let _ = control.tell(event).await;
    }
}

impl<P: Platform> Message<Event> for Control<P> {
    type Reply = ();

    async fn handle(&mut self, event: Event, context: &mut Context<Self, ()>) {
        let is_gathered = matches!(event, Event::Gathered);
        self.check_stall();
        self.take(event);
        if self.is_deposed {
            context.actor_ref().kill();
            return;
        }
        let effects = self.engine.advance(self.shared.clock.now());
        let own = context.actor_ref().clone();
        self.carry_out(effects, &own);
        if is_gathered {
            self.send_gathered(&own);
        }
        self.set_timer(&own);
    }
}

impl<P: Platform> Message<Look> for Control<P> {
    type Reply = Found;

    async fn handle(&mut self, look: Look, _: &mut Context<Self, Found>) -> Found {
        Found {
            state: self.engine.state_for(look.job, look.viewer.as_ref()),
            epoch: self.engine.epoch(),
        }
    }
}

impl<P: Platform> Message<Pending> for Control<P> {
    type Reply = u32;

    async fn handle(&mut self, pending: Pending, _: &mut Context<Self, u32>) -> u32 {
        self.engine
            .pending_for(&pending.queue, pending.viewer.as_ref())
    }
}

/// Asks for the gauges of what is believed to be set.
pub(super) struct Measure;

impl<P: Platform> Message<Measure> for Control<P> {
    type Reply = ();

    async fn handle(&mut self, _: Measure, _: &mut Context<Self, ()>) {
        let counts = self.engine.counts();
        let epoch = u64::from(self.engine.epoch().0);
        let view = self.view.age();
        self.shared.meter.believed(&counts, epoch, view);
        self.shared.meter.workspaces(self.engine.usage());
        if self.shared.meter.may_log("believed") {
            slog::info!(self.shared.log, "believed"; "epoch" => epoch, "jobs" => counts.jobs,
                "waiting" => counts.waiting,
                "open_steps" => counts.open_steps, "claims" => counts.claims,
                "listed" => counts.listed,
                "lag_ms" => millis(self.shared.pulse.take_worst()),
                "owned_ms" => millis(self.since.elapsed()),
                "view_ms" => millis(view),
                "workers_heard" => counts.workers_heard,
                "workers_silent" => counts.workers_silent,
                "workers_unheard" => counts.workers_unheard,
                "workers_evacuated" => counts.workers_evacuated);
        }
    }
}
