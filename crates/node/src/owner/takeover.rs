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
    id::JobId,
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
        Fault,
        Page,
        Platform,
        Topic, //
    },
    recall::{
        self,
        Own, //
    },
    shared::{
        Acting,
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

/// Which records are the owner's.
const ENTRIES: Own<'static> = Own {
    key: |key| key.starts_with("w/") || key.parse::<JobId>().is_ok(),
    record: &|record| {
        let Some(value) = &record.value else {
            return Ok(());
        };
        let entry: Entry = record::decode(value).map_err(|_| Fault::Form)?;
        let is_own = entry.key() == record.key;
        is_own.then_some(()).ok_or(Fault::Id)
    },
};

/// Takes the cell over under a claim that was won; the actor ends when the ownership does.
///
/// # Errors
///
/// Fails with [`Error::Fenced`] where a later owner came in between.
pub(crate) async fn take_over<P: Platform>(
    shared: &Arc<Shared<P>>,
    claim: &Claim,
) -> Result<ActorRef<Control<P>>, Error> {
    let began = tokio::time::Instant::now();
    loop {
        match recorder::fence(shared, claim.epoch).await {
            Ok(()) => break,
            Err(Error::Fenced) => return Err(Error::Fenced),
            Err(_) => pause().await,
        }
    }
    let progress = newest(shared, Topic::Progress, "progress", ENTRIES);
    let jobs = (0..PARTITIONS).map(|p| newest(shared, Topic::Jobs(p), "jobs", JobRecord::OWN));
    let jobs = join_all(jobs);
    let (progress, jobs) = futures::join!(progress, jobs);
    let mut inheritance = Inheritance::default();
    for record in progress.records {
        let entry = record.value.as_ref().map(|value| record::decode(value));
        match entry {
            Some(Ok(Entry::Job(job, progress))) => inheritance.progress.push((job, progress)),
            Some(Ok(Entry::Worker(id, usage))) => inheritance.workers.push((id, usage)),
            Some(Ok(Entry::Gone(_))) | None => {}
            // It has been turned away.
            Some(Err(_)) => {}
        }
    }
    let ends: Vec<u64> = jobs.iter().map(|page| page.next).collect();
    let records = (0..PARTITIONS).zip(jobs);
    let records = records.flat_map(|(p, page)| page.records.into_iter().map(move |r| (p, r)));
    for (partition, record) in records {
        match JobRecord::read(&record).ok().flatten() {
            Some(JobRecord::Accepted(accepted)) => inheritance.accepted.push(Accepted {
                // Its own partition may have refused it.
                partition,
                ..*accepted
            }),
            Some(JobRecord::Cancelled(job)) => inheritance.cancelled.push(job),
            // It has been turned away.
            None => {}
        }
    }
    slog::info!(shared.log, "takeover"; "epoch" => %claim.epoch,
        "jobs" => inheritance.accepted.len(), "workers" => inheritance.workers.len(),
        "took_ms" => u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX));
    let now = shared.clock.now();
    let engine = Engine::new(claim.epoch, shared.bounds, inheritance, now);
    Ok(start(shared, claim, engine, ends))
}

/// Reads the newest records of a topic that are this program's, until the store gives them.
async fn newest<P: Platform>(
    shared: &Shared<P>,
    topic: Topic,
    purpose: &'static str,
    own: Own<'_>,
) -> Page {
    let mut reader = Reader::new(topic, purpose);
    loop {
        let page = match reader.read(shared, Duration::ZERO).await {
            Ok(Batch::Whole(page) | Batch::More(page)) => {
                recall::settle(shared, topic, purpose, page, own).await
            }
            Err(error) => Err(error),
        };
        match page {
            Ok(page) => return page,
            Err(_) => {
                reader = Reader::new(topic, purpose);
                pause().await;
            }
        }
    }
}

fn start<P: Platform>(
    shared: &Arc<Shared<P>>,
    claim: &Claim,
    engine: Engine,
    ends: Vec<u64>,
) -> ActorRef<Control<P>> {
    let (records, queue) = mpsc::unbounded_channel();
    let control = Control::new(engine, shared.clone(), records);
    let control = Control::spawn_with_mailbox(control, mailbox::bounded(MAILBOX));
    let weak = control.downgrade();
    tokio::spawn(recorder::run(
        shared.clone(),
        claim.epoch,
        queue,
        weak.clone(),
    ));
    tokio::spawn(tail::workers(shared.clone(), weak.clone()));
    tokio::spawn(tail::jobs(shared.clone(), ends, weak.clone()));
    tokio::spawn(tick(weak.clone()));
    tokio::spawn(follow_config(shared.clone(), weak));
    shared.acting.send_replace(Some(Acting {
        claim: claim.clone(),
        control: Some(control.clone()),
    }));
    control
}

async fn tick<P: Platform>(control: WeakActorRef<Control<P>>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut measured = tokio::time::Instant::now();
    loop {
        let due = ticks.tick().await;
        let Some(control) = control.upgrade() else {
            return;
        };
        if control.tell(Event::Tick(due)).await.is_err() {
            return;
        }
        if measured.elapsed() >= MEASURE {
            measured = tokio::time::Instant::now();
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
