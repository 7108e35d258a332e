//! Groups acceptances and cancellations into appends.
//!
//! Each partition has one append on its way; what comes meanwhile goes into the next one. An append
//! without an answer is sent again as it was: the records stand under keys, so a second copy changes
//! nothing. Only a record that was never on its way can be refused as not kept.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::id::JobId;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    port::{
        Append,
        Condition,
        Error,
        Platform,
        Record,
        Topic, //
    },
    shared::Shared,
};

/// Into how many partitions jobs fall; an append takes its partition 3 ms on the platform, and one
/// node has one append on its way in each.
pub(crate) const PARTITIONS: u16 = 4;
/// How many records wait for one partition at most.
const QUEUE: usize = 1_024;
/// How many records go into one append at most; jobs have some kilobytes, calls take two megabytes.
const MOST_GROUPED: usize = 128;
/// The pause before an append without an answer is sent again.
const AGAIN: Duration = Duration::from_millis(50);
/// How long an append without an answer is tried: the platform carries it out up to 6 s late.
const MOST_TRIED: Duration = Duration::from_secs(6);

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kept {
    /// The store keeps it.
    Yes,
    /// It was never sent, or the store said that it did nothing.
    No,
    /// Nobody can tell.
    Unknown,
}

/// A record on its way in.
struct Entry {
    record: Record,
    done: oneshot::Sender<Kept>,
}

/// The way into the store for jobs and cancellations.
#[derive(Clone)]
pub(crate) struct Intake {
    partitions: Arc<Vec<mpsc::Sender<Entry>>>,
}

/// Returns the partition of a job.
pub(crate) fn partition(job: JobId) -> u16 {
    // The caller's digits are random, so the lowest bits spread evenly.
    u16::try_from(job.0 % u64::from(PARTITIONS)).unwrap_or(0)
}

impl Intake {
    /// Starts one task for each partition.
    pub(crate) fn start<P: Platform>(shared: &Arc<Shared<P>>) -> Self {
        let partitions = (0..PARTITIONS).map(|partition| {
            let (sender, receiver) = mpsc::channel(QUEUE);
            tokio::spawn(run(shared.clone(), partition, receiver));
            sender
        });
        Self {
            partitions: Arc::new(partitions.collect()),
        }
    }

    /// Keeps a record and tells what became of it, at the latest when `deadline` comes.
    pub(crate) async fn keep(&self, job: JobId, record: Record, deadline: Instant) -> Kept {
        let (done, answer) = oneshot::channel();
        let sender = &self.partitions[usize::from(partition(job))];
        if sender.try_send(Entry { record, done }).is_err() {
            return Kept::No;
        }
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(Ok(kept)) => kept,
            Ok(Err(_)) | Err(_) => Kept::Unknown,
        }
    }
}

async fn run<P: Platform>(
    shared: Arc<Shared<P>>,
    partition: u16,
    mut queue: mpsc::Receiver<Entry>,
) {
    let mut group = Vec::new();
    while queue.recv_many(&mut group, MOST_GROUPED).await > 0 {
        // One whose caller has gone without an answer was promised nothing.
        group.retain(|entry: &Entry| !entry.done.is_closed());
        if group.is_empty() {
            continue;
        }
        let records = group.iter().map(|entry| entry.record.clone()).collect();
        let kept = append(&shared, partition, records).await;
        for entry in group.drain(..) {
            // The caller may have stopped waiting.
            let _ = entry.done.send(kept);
        }
    }
}

async fn append<P: Platform>(shared: &Shared<P>, partition: u16, records: Vec<Record>) -> Kept {
    let append = Append {
        topic: Topic::Jobs(partition),
        records,
        condition: Condition::None,
    };
    let until = Instant::now() + MOST_TRIED;
    let mut refused = Kept::No;
    loop {
        let began = Instant::now();
        let result = shared.platform.append(append.clone()).await;
        shared.store.note(&result, &shared.log);
        shared.meter.store_call("accept", began.elapsed(), &result);
        match result {
            Ok(_) => return Kept::Yes,
            Err(Error::Refused(_)) if refused == Kept::No => return Kept::No,
            // An earlier copy may still be carried out.
            Err(_) => refused = Kept::Unknown,
        }
        if Instant::now() >= until {
            return refused;
        }
        sleep(AGAIN).await;
    }
}
