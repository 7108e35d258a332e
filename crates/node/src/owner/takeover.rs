//! Taking the cell over: what is on record is read, former owners are fenced, the actor starts.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    engine::{
        Engine,
        Inheritance, //
    },
    record::{
        self,
        Accepted,
        Claim,
        Entry, //
    },
};
use futures::future::join_all;
use kameo::{
    actor::{
        ActorRef,
        Spawn,
        WeakActorRef, //
    },
    mailbox, //
};
use tokio::{
    sync::mpsc,
    time::{
        Instant,
        MissedTickBehavior,
        interval, //
    },
};

use super::{
    Control,
    Event,
    control::Measure,
    recorder,
    tail, //
};
use crate::{
    front::JobRecord,
    intake::PARTITIONS,
    port::{
        Error,
        Page,
        Platform,
        Topic, //
    },
    report::millis,
    shared::{
        Acting,
        Seat,
        Shared, //
    },
    watch::{
        Batch,
        Reader,
        pause, //
    },
};

/// How often the engine looks at what is due; the shortest wait that it has is 100 ms.
const TICK: Duration = Duration::from_millis(25);
/// How often the gauges of what is believed are set.
const MEASURE: Duration = Duration::from_secs(2);
/// How many events may wait for the actor; a busy second has some thousands.
const MAILBOX: usize = 16_384;

/// Takes the cell over under a claim that was won; the actor ends when the ownership does.
///
/// # Errors
///
/// Fails with [`Error::Fenced`] where a later owner came in between.
pub(crate) async fn take_over<P: Platform>(
    shared: &Arc<Shared<P>>,
    claim: &Claim,
) -> Result<ActorRef<Control<P>>, Error> {
    let began = Instant::now();
    loop {
        match recorder::fence(shared, claim.epoch).await {
            Ok(()) => break,
            Err(Error::Fenced) => return Err(Error::Fenced),
            Err(_) => pause().await,
        }
    }
    let progress = newest(shared, Topic::Progress, "progress");
    let jobs = join_all((0..PARTITIONS).map(|p| newest(shared, Topic::Jobs(p), "jobs")));
    let (progress, jobs) = futures::join!(progress, jobs);
    let mut inheritance = Inheritance::default();
    for record in progress.page.records {
        let entry = record.value.as_ref().map(|value| record::decode(value));
        match entry {
            Some(Ok(Entry::Job(job, progress))) => inheritance.progress.push((job, progress)),
            Some(Ok(Entry::Worker(id, usage))) => inheritance.workers.push((id, usage)),
            Some(Ok(Entry::Gone(_))) | None => {}
            Some(Err(error)) => {
                slog::error!(shared.log, "record-unreadable"; "key" => record.key, "why" => %error);
            }
        }
    }
    let starts: Vec<tail::Start> = jobs.iter().map(tail::Start::from).collect();
    let records = (0..PARTITIONS).zip(jobs);
    let records = records.flat_map(|(p, read)| read.page.records.into_iter().map(move |r| (p, r)));
    for (partition, record) in records {
        match JobRecord::read(&record) {
            Some(JobRecord::Accepted(accepted)) => inheritance.accepted.push(Accepted {
                // Its own partition may have refused it.
                partition,
                ..*accepted
            }),
            Some(JobRecord::Cancelled(job)) => inheritance.cancelled.push(job),
            None => slog::error!(shared.log, "record-unreadable"; "key" => record.key),
        }
    }
    slog::info!(shared.log, "takeover"; "epoch" => %claim.epoch,
        "jobs" => inheritance.accepted.len(), "workers" => inheritance.workers.len(),
        "view_ms" => millis(tail::view(&starts).age()),
        "took_ms" => millis(began.elapsed()));
    let now = shared.clock.now();
    let engine = Engine::new(claim.epoch, shared.bounds, inheritance, now);
    Ok(start(shared, claim, engine, starts))
}

/// The newest records of a topic.
struct Newest {
    page: Page,
    /// All that was on record then is among them.
    read: Instant,
}

impl From<&Newest> for tail::Start {
    fn from(newest: &Newest) -> Self {
        Self {
            offset: newest.page.next,
            read: newest.read,
        }
    }
}

/// Reads the newest records of a topic, until the store gives them.
async fn newest<P: Platform>(shared: &Shared<P>, topic: Topic, purpose: &'static str) -> Newest {
    let mut reader = Reader::new(topic, purpose);
    loop {
        let read = Instant::now();
        match reader.read(shared, Duration::ZERO).await {
            Ok(Batch::Whole(page) | Batch::More(page)) => return Newest { page, read },
            Err(_) => pause().await,
        }
    }
}

fn start<P: Platform>(
    shared: &Arc<Shared<P>>,
    claim: &Claim,
    engine: Engine,
    starts: Vec<tail::Start>,
) -> ActorRef<Control<P>> {
    let (records, queue) = mpsc::unbounded_channel();
    let view = tail::view(&starts);
    let control = Control::new(engine, shared.clone(), records, view.clone());
    let control = Control::spawn_with_mailbox(control, mailbox::bounded(MAILBOX));
    let weak = control.downgrade();
    tokio::spawn(recorder::run(
        shared.clone(),
        claim.epoch,
        queue,
        weak.clone(),
    ));
    tokio::spawn(tail::workers(shared.clone(), weak.clone()));
    tokio::spawn(tail::jobs(
        shared.clone(),
        starts,
        view.clone(),
        weak.clone(),
    ));
    tokio::spawn(tick(weak.clone()));
    tokio::spawn(follow_config(shared.clone(), weak));
    shared.acting.send_replace(Some(Acting {
        claim: claim.clone(),
        seat: Some(Seat {
            control: control.clone(),
            view,
        }),
    }));
    control
}

async fn tick<P: Platform>(control: WeakActorRef<Control<P>>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut measured = Instant::now();
    loop {
        let due = ticks.tick().await;
        let Some(control) = control.upgrade() else {
            return;
        };
        if control.tell(Event::Tick(due)).await.is_err() {
            return;
        }
        if measured.elapsed() >= MEASURE {
            measured = Instant::now();
            let _ = control.tell(Measure).await;
        }
    }
}

async fn follow_config<P: Platform>(shared: Arc<Shared<P>>, control: WeakActorRef<Control<P>>) {
    let mut configs = shared.config.subscribe();
    loop {
        let config = configs.borrow_and_update().clone();
        let Some(control) = control.upgrade() else {
            return;
        };
        if let Some(config) = config
            && control.tell(Event::Configured(config)).await.is_err()
        {
            return;
        }
        drop(control);
        if configs.changed().await.is_err() {
            return;
        }
    }
}
