//! The takeover of the cell: fences former owners, reads the stored state, and starts the actor.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    engine::{
        Engine,
        StoredState, //
    },
    record::{
        Claim,
        Entry, //
    },
};
use kameo::{
    actor::{
        ActorRef,
        Spawn,
        WeakActorRef, //
    },
    mailbox, //
};
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::{
        Instant,
        MissedTickBehavior,
        interval, //
    },
};

use super::{
    EngineActor,
    Event,
    ReadProgress,
    engine_actor::UpdateGauges,
    jobs::{
        self,
        Partition, //
    },
    recorder,
    split::{
        Contents,
        Pieces,
        Splitter,
        Stored, //
    },
    workers, //
};
use crate::{
    assignment::Peer,
    fallback::{
        self,
        Decoder, //
    },
    frontend::JobRecord,
    member::Tenure,
    platform::{
        Error,
        Platform,
        Topic, //
    },
    shared::{
        EngineHandle,
        Shared, //
    },
    telemetry::millis,
    watch::{
        Batch,
        Reader,
        wait_to_retry, //
    },
    work,
};

/// How often the engine checks what is due; its shortest wait is 100 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// How often the gauges of the engine's state are updated.
const GAUGE_UPDATE_INTERVAL: Duration = Duration::from_secs(2);
/// How many events may wait for the actor; a busy second has some thousands.
const MAILBOX_CAPACITY: usize = 16_384;

/// Which records of the progress topic are the owner's, and how they are decoded.
const OWNER_RECORDS: Decoder<'static, Stored> = Decoder {
    is_own: Stored::is_key,
    decode: &Stored::read,
};

/// Takes over the cell under a claim that this node has won. The actor runs until the ownership
/// ends.
///
/// # Errors
///
/// Returns [`Error::Fenced`] if a later owner has fenced this one.
pub(crate) async fn take_over<P: Platform>(
    shared: &Arc<Shared<P>>,
    claim: &Claim,
    tenure: &Arc<Tenure>,
) -> Result<ActorRef<EngineActor<P>>, Error> {
    let began = Instant::now();
    loop {
        match recorder::fence(shared, claim.epoch).await {
            Ok(()) => break,
            // Under the same epoch, another ownership has numbered its appends.
            Err(Error::Fenced | Error::Sequence { .. }) => return Err(Error::Fenced),
            Err(_) => wait_to_retry().await,
        }
    }
    // The list is read in the background: the takeover doesn't wait for all of it.
    let list = workers::start_initial_read(shared);
    let ((progress, progress_took), ((partitions, found), jobs_took)) =
        futures::join!(timed(read_progress(shared)), timed(jobs::read_all(shared)));
    let read = progress.entries.len() + found.len();
    shared.platform.work(work::Kind::Takeover, read).await;
    let mut stored = StoredState::default();
    for rejected in &progress.rejected {
        shared.record_rejected("progress", rejected);
    }
    for entry in progress.entries {
        match entry {
            Entry::Job(job, progress) => stored.progress.push((job, progress)),
            Entry::PlainJob(job, progress) => stored.progress.push((job, progress.into())),
            Entry::Worker(id, usage) => stored.workers.push((id, usage)),
            Entry::RemovedWorker(_) => {}
        }
    }
    let read_progress = jobs::read_progress(&partitions);
    let known = stored.progress.iter();
    known.for_each(|(job, _)| read_progress.note_accepted(*job));
    for record in found {
        match record {
            JobRecord::Accepted(accepted) => {
                read_progress.note_accepted(accepted.job);
                stored.accepted.push(*accepted);
            }
            JobRecord::Cancelled(cancelled) => stored.cancelled.push(cancelled),
            JobRecord::Unreadable(job) => read_progress.note_unreadable(job),
        }
    }
    let awaited = stored.workers.iter();
    let awaited = awaited.filter(|(_, usage)| !usage.runs.is_empty()).count();
    let runs: usize = stored
        .workers
        .iter()
        .map(|(_, usage)| usage.runs.len())
        .sum();
    slog::info!(shared.log, "takeover"; "epoch" => %claim.epoch,
        "jobs" => stored.accepted.len(), "workers" => stored.workers.len(),
        "workers_awaited" => awaited, "runs_awaited" => runs,
        "view_ms" => millis(read_progress.age()),
        "progress_ms" => millis(progress_took), "jobs_ms" => millis(jobs_took),
        "took_ms" => millis(began.elapsed()));
    let now = shared.clock.now();
    let mut engine = Engine::new(claim.epoch, shared.bounds, stored, now);
    // Configure the engine before it starts anything: jobs carry only the limits that they were
    // accepted under.
    if let Some(config) = shared.config.borrow().as_deref() {
        engine.configure(config.clone());
    }
    if let Some(snapshot) = shared.evacuation.borrow().clone() {
        snapshot.apply(&mut engine, now);
    }
    // The actor starts with the nodes that have sent hellos so far: without nodes that send its
    // orders, the owner would connect to each worker itself.
    let peers = shared.hello_peers().await;
    let prepared = Prepared {
        engine,
        pieces: progress.pieces,
        partitions,
        read_progress,
        list,
        peers,
    };
    tenure.wait_until_valid(shared).await;
    Ok(start_actor(shared, claim, tenure, prepared))
}

/// Returns the output of a future, and how long it took.
async fn timed<T>(future: impl Future<Output = T>) -> (T, Duration) {
    let began = Instant::now();
    (future.await, began.elapsed())
}

/// Reads the newest of the owner's records, retrying until the store answers.
async fn read_progress<P: Platform>(shared: &Shared<P>) -> Contents {
    const TOPIC: Topic = Topic::Progress;
    const PURPOSE: &str = "progress";
    let mut reader = Reader::new(TOPIC, PURPOSE);
    loop {
        let decoded = match reader.read(shared, Duration::ZERO).await {
            Ok(Batch::Full(page) | Batch::Incremental(page)) => {
                fallback::decode_with_fallback(shared, TOPIC, PURPOSE, page, OWNER_RECORDS).await
            }
            Err(error) => Err(error),
        };
        match decoded {
            Ok(decoded) => return Contents::assemble(decoded.values),
            Err(_) => {
                reader = Reader::new(TOPIC, PURPOSE);
                wait_to_retry().await;
            }
        }
    }
}

/// What a takeover has prepared for the actor and its tasks.
struct Prepared {
    engine: Engine,
    pieces: Pieces,
    partitions: Vec<Partition>,
    read_progress: ReadProgress,
    list: workers::InitialRead,
    peers: Vec<Peer>,
}

fn start_actor<P: Platform>(
    shared: &Arc<Shared<P>>,
    claim: &Claim,
    tenure: &Arc<Tenure>,
    prepared: Prepared,
) -> ActorRef<EngineActor<P>> {
    let Prepared {
        engine,
        pieces,
        partitions,
        read_progress,
        list,
        peers,
    } = prepared;
    let (records, queue) = mpsc::unbounded_channel();
    let mut actor = EngineActor::new(
        engine,
        shared.clone(),
        tenure.clone(),
        records,
        read_progress.clone(),
    );
    actor.handle_event(Event::Peers(peers));
    let actor = EngineActor::spawn_with_mailbox(actor, mailbox::bounded(MAILBOX_CAPACITY));
    let weak = actor.downgrade();
    let splitter = Splitter::new(claim.epoch, shared.store_limits, pieces);
    let recorder = recorder::run(shared.clone(), claim.epoch, splitter, queue, weak.clone());
    spawn_tracked(shared, work::Kind::Recording, recorder);
    let list = workers::follow(shared.clone(), list, weak.clone());
    spawn_tracked(shared, work::Kind::WorkerList, list);
    let writers = jobs::Writers::default();
    tokio::spawn(writers.clone().follow(shared.clone(), weak.clone()));
    for partition in partitions {
        let jobs = jobs::follow(
            shared.clone(),
            partition,
            read_progress.clone(),
            writers.clone(),
            weak.clone(),
        );
        spawn_tracked(shared, work::Kind::JobRecords, jobs);
    }
    tokio::spawn(tick(shared.work.clone(), weak.clone()));
    let configs = shared.config.subscribe();
    tokio::spawn(forward_changes(configs, weak.clone(), Event::Configured));
    let evacuations = shared.evacuation.subscribe();
    tokio::spawn(forward_changes(
        evacuations,
        weak.clone(),
        Event::Evacuation,
    ));
    let fenced_at = tenure.fenced_at();
    tokio::spawn(forward_changes(fenced_at, weak, Event::FormerOwnersFenced));
    let engine = EngineHandle {
        actor: actor.clone(),
        read_progress,
    };
    if !shared.publish_engine(claim.epoch, engine) {
        // The ownership ended while the stored state was being read.
        actor.kill();
    }
    actor
}

/// Spawns a task whose pieces count as work of a kind.
fn spawn_tracked<P: Platform>(
    shared: &Shared<P>,
    kind: work::Kind,
    task: impl Future<Output = ()> + Send + 'static,
) {
    let work = shared.work.clone();
    tokio::spawn(async move { work.track(kind, task).await });
}

async fn tick<P: Platform>(work: work::Meter, actor: WeakActorRef<EngineActor<P>>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut gauges_updated_at = Instant::now();
    loop {
        let due = ticks.tick().await;
        let Some(actor) = actor.upgrade() else {
            return;
        };
        if actor
            .tell(Event::Tick(due, work.begin_wait()))
            .await
            .is_err()
        {
            return;
        }
        if gauges_updated_at.elapsed() >= GAUGE_UPDATE_INTERVAL {
            gauges_updated_at = Instant::now();
            let _ = actor.tell(UpdateGauges).await;
        }
    }
}

/// Sends the actor the newest value that this node knows, and again each time it changes.
async fn forward_changes<P: Platform, T: Clone>(
    mut values: watch::Receiver<Option<T>>,
    actor: WeakActorRef<EngineActor<P>>,
    event: fn(T) -> Event,
) {
    loop {
        let value = values.borrow_and_update().clone();
        let Some(actor) = actor.upgrade() else {
            return;
        };
        if let Some(value) = value
            && actor.tell(event(value)).await.is_err()
        {
            return;
        }
        drop(actor);
        if values.changed().await.is_err() {
            return;
        }
    }
}
