//! The actor that holds the engine.

use std::{
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
    event::{
        Advised,
        HoldAnswer,
        Registration,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        JobId,
        NodeName,
        QueueName,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    record::{
        Accepted,
        Entry, //
    },
};
use fulmarpier_state::clock::Timestamp;
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

use crate::{
    message::{
        self,
        Question,
        Reply, //
    },
    port::Platform,
    shared::Shared,
};

/// How much longer than twice its time a call for advice may take. Twice, since the service may still be
/// at a call of the same node whose answer was lost; a way there and back takes some 10 ms, on a slow node
/// ten times that. At 1.5 s the most urgent jobs were late whenever connections to nodes fell silent.
const ADVICE_SLACK: Duration = Duration::from_millis(300);

/// The actor that holds the engine; the only one that gives orders.
#[derive(Actor)]
pub(crate) struct Control<P: Platform> {
    engine: Engine,
    shared: Arc<Shared<P>>,
    records: mpsc::UnboundedSender<Vec<Entry>>,
    /// Whether the actor will be told that time has passed when a pass is due.
    is_timed: bool,
    /// Set once another node may own the cell: no order leaves any more.
    is_deposed: bool,
}

/// What happened.
#[derive(Debug)]
pub(crate) enum Event {
    /// A job's acceptance is on record.
    Accepted(Box<Accepted>),
    /// A job's cancellation is on record.
    Cancelled(JobId),
    /// An order to start was answered.
    Started(WorkerId, TaskId, Run, StartAnswer),
    /// An order to stop was answered.
    Stopped(WorkerId, TaskId, Run, StopAnswer),
    /// A call for an inventory was answered.
    Held(WorkerId, Timestamp, HoldAnswer),
    /// A call for advice was answered.
    Advised(NodeName, StepId, Option<Vec<Advised>>),
    /// The record on its way is kept.
    Recorded,
    /// A worker reported itself.
    Registered(Registration),
    /// The store doesn't list a worker any more.
    Unregistered(WorkerId),
    /// Another configuration is in force.
    Configured(Arc<Config>),
    /// These nodes are there.
    Hands(Vec<NodeName>),
    /// Time has passed.
    Tick,
    /// A pass over the open steps is due.
    Pass,
    /// Another node owns the cell, or may.
    Deposed,
}

/// Asks for the state of a job.
pub(crate) struct Look(pub(crate) JobId);

/// The state of a job, or `None` where it is not known.
#[derive(kameo::Reply)]
pub(crate) struct Found(pub(crate) Option<State>);

/// Asks how many jobs of a queue have begun nothing.
pub(crate) struct Pending(pub(crate) QueueName);

/// Hands a question of another node to the engine.
pub(crate) async fn accept<P: Platform>(
    control: &ActorRef<Control<P>>,
    question: Question,
) -> Option<Reply> {
    match question {
        Question::Accepted(accepted) => {
            control.tell(Event::Accepted(accepted)).await.ok()?;
            Some(Reply::Noted)
        }
        Question::Cancelled(job) => {
            control.tell(Event::Cancelled(job)).await.ok()?;
            Some(Reply::Noted)
        }
        Question::Look(job) => Some(Reply::State(control.ask(Look(job)).await.ok()?.0)),
        Question::Pending(queue) => Some(Reply::Pending(control.ask(Pending(queue)).await.ok()?)),
        _ => None,
    }
}

impl<P: Platform> Control<P> {
    pub(super) fn new(
        engine: Engine,
        shared: Arc<Shared<P>>,
        records: mpsc::UnboundedSender<Vec<Entry>>,
    ) -> Self {
        Self {
            engine,
            shared,
            records,
            is_timed: false,
            is_deposed: false,
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.shared.clock.now();
        let engine = &mut self.engine;
        match event {
            Event::Accepted(accepted) => {
                engine.submit(*accepted, now);
            }
            Event::Cancelled(job) => {
                engine.cancel(job, now);
            }
            Event::Started(worker, task, run, answer) => {
                engine.started(&worker, task, run, answer, now);
            }
            Event::Stopped(worker, task, run, answer) => {
                engine.stopped(&worker, task, run, answer, now);
            }
            Event::Held(worker, asked, answer) => engine.held(&worker, asked, answer, now),
            Event::Advised(node, step, answer) => engine.advised(&node, step, answer, now),
            Event::Recorded => engine.recorded(now),
            Event::Registered(registration) => engine.register(registration, now),
            Event::Unregistered(worker) => engine.unregister(&worker, now),
            Event::Configured(config) => engine.configure(config.as_ref().clone()),
            Event::Hands(nodes) => engine.set_hands(&nodes, now),
            Event::Tick => {}
            Event::Pass => self.is_timed = false,
            Event::Deposed => self.is_deposed = true,
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>, own: &ActorRef<Self>) {
        for effect in effects {
            if self.is_deposed {
                return;
            }
            let own = own.downgrade();
            match effect {
                Effect::Start(order) => self.start(*order, own),
                Effect::Stop(order) => self.stop(order, own),
                Effect::Hold(order) => self.hold(order, own),
                Effect::Advise {
                    node,
                    step,
                    workers,
                } => self.advise(node, step, workers, own),
                Effect::Record(entries) => {
                    // The recorder ends only with the actor.
                    let _ = self.records.send(entries);
                }
                Effect::Note(note) => self.note(&note),
                Effect::Deposed => {
                    slog::warn!(self.shared.log, "fenced"; "epoch" => %self.engine.epoch());
                    self.is_deposed = true;
                    self.shared.acting.send_replace(None);
                }
            }
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

    fn start(&self, order: fulmarpier_cell::effect::Start, own: WeakActorRef<Self>) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let (worker, task, run) = (order.to.worker.clone(), order.task, order.run);
            let began = Instant::now();
            let answer = shared.platform.start(order).await;
            let took = began.elapsed();
            shared.meter.worker_call("start", took, answer.word());
            tell(&own, Event::Started(worker, task, run, answer)).await;
        });
    }

    fn stop(&self, order: fulmarpier_cell::effect::Stop, own: WeakActorRef<Self>) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let (worker, task, run) = (order.to.worker.clone(), order.task, order.run);
            let began = Instant::now();
            let answer = shared.platform.stop(order).await;
            let outcome = match answer {
                StopAnswer::Confirmed => "confirmed",
                StopAnswer::Fenced => "fenced",
                StopAnswer::Gone => "gone",
                StopAnswer::Silent => "silent",
            };
            shared.meter.worker_call("stop", began.elapsed(), outcome);
            tell(&own, Event::Stopped(worker, task, run, answer)).await;
        });
    }

    fn hold(&self, order: fulmarpier_cell::effect::Hold, own: WeakActorRef<Self>) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let (worker, asked) = (order.to.worker.clone(), order.asked);
            let began = Instant::now();
            let answer = shared.platform.hold(order).await;
            let outcome = match answer {
                HoldAnswer::Listed(_) => "listed",
                HoldAnswer::Fenced => "fenced",
                HoldAnswer::Gone => "gone",
                HoldAnswer::Silent => "silent",
                HoldAnswer::Refused => "refused",
            };
            shared.meter.worker_call("hold", began.elapsed(), outcome);
            tell(&own, Event::Held(worker, asked, answer)).await;
        });
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
        .find(|(name, _)| name == node)
        .map(|(_, address)| *address)?;
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
async fn tell<P: Platform>(control: &WeakActorRef<Control<P>>, event: Event) {
    if let Some(control) = control.upgrade() {
        // It may be ending.
        let _ = control.tell(event).await;
    }
}

impl<P: Platform> Message<Event> for Control<P> {
    type Reply = ();

    async fn handle(&mut self, event: Event, context: &mut Context<Self, ()>) {
        self.take(event);
        if self.is_deposed {
            context.actor_ref().kill();
            return;
        }
        let effects = self.engine.advance(self.shared.clock.now());
        let own = context.actor_ref().clone();
        self.carry_out(effects, &own);
        self.set_timer(&own);
    }
}

impl<P: Platform> Message<Look> for Control<P> {
    type Reply = Found;

    async fn handle(&mut self, look: Look, _: &mut Context<Self, Found>) -> Found {
        Found(self.engine.state(look.0))
    }
}

impl<P: Platform> Message<Pending> for Control<P> {
    type Reply = u32;

    async fn handle(&mut self, pending: Pending, _: &mut Context<Self, u32>) -> u32 {
        self.engine.pending(&pending.0)
    }
}

/// Asks for the gauges of what is believed to be set.
pub(super) struct Measure;

impl<P: Platform> Message<Measure> for Control<P> {
    type Reply = ();

    async fn handle(&mut self, _: Measure, _: &mut Context<Self, ()>) {
        let counts = self.engine.counts();
        let epoch = u64::from(self.engine.epoch().0);
        self.shared.meter.believed(&counts, epoch);
        if self.shared.meter.may_log("believed") {
            slog::info!(self.shared.log, "believed"; "epoch" => epoch, "jobs" => counts.jobs,
                "open_steps" => counts.open_steps, "claims" => counts.claims,
                "workers_heard" => counts.workers_heard,
                "workers_silent" => counts.workers_silent,
                "workers_unheard" => counts.workers_unheard);
        }
    }
}
