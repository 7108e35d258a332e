//! Writes the owner's records to the store, in order and one append at a time.

use std::sync::Arc;

use fulmarpier_cell::{
    id::Epoch,
    record::{
        self,
        Entry, //
    },
};
use kameo::actor::WeakActorRef;
use tokio::sync::mpsc;

use super::{
    EngineActor,
    Event, //
};
use crate::{
    platform::{
        Append,
        Condition,
        Error,
        Platform,
        Record,
        Topic, //
    },
    shared::Shared,
    watch::wait_to_retry,
};

/// Raises the writer's epoch in the store, so that it refuses later records of former owners.
///
/// # Errors
///
/// Returns [`Error::Fenced`] if a later owner has raised it further, and another error if the store
/// fails.
pub(super) async fn fence<P: Platform>(shared: &Shared<P>, epoch: Epoch) -> Result<(), Error> {
    let append = Append {
        topic: Topic::Progress,
        records: Vec::new(),
        condition: Condition::Writer { epoch, sequence: 0 },
    };
    shared.append("fence", append).await.map(drop)
}

/// Writes records until the actor ends, retrying each group until the store has it.
pub(super) async fn run<P: Platform>(
    shared: Arc<Shared<P>>,
    epoch: Epoch,
    mut records: mpsc::UnboundedReceiver<Vec<Entry>>,
    actor: WeakActorRef<EngineActor<P>>,
) {
    let mut sequence = 0;
    while let Some(entries) = records.recv().await {
        sequence += 1;
        let is_stored = write_group(&shared, epoch, &mut sequence, &entries).await;
        let Some(actor) = actor.upgrade() else {
            slog::info!(shared.log, "recorder-ends"; "epoch" => %epoch, "why" => "actor-ended",
                "appends" => sequence);
            return;
        };
        let event = match is_stored {
            true => Event::Recorded,
            false => Event::OwnershipLost,
        };
        // The actor may be stopping.
        let _ = actor.tell(event).await;
        if !is_stored {
            slog::info!(shared.log, "recorder-ends"; "epoch" => %epoch, "why" => "fenced",
                "appends" => sequence);
            shared.ownership.send_replace(None);
            return;
        }
    }
}

/// Writes a group of entries, retrying until it is stored; returns false if a later owner has
/// fenced this one.
async fn write_group<P: Platform>(
    shared: &Shared<P>,
    epoch: Epoch,
    sequence: &mut u64,
    entries: &[Entry],
) -> bool {
    let records: Vec<Record> = entries
        .iter()
        .filter_map(|entry| {
            let value = match entry.is_removal() {
                true => None,
                false => Some(record::encode(entry).ok()?.into()),
            };
            Some(Record {
                key: entry.key(),
                value,
            })
        })
        .collect();
    loop {
        let append = Append {
            topic: Topic::Progress,
            records: records.clone(),
            condition: Condition::Writer {
                epoch,
                sequence: *sequence,
            },
        };
        match shared.append("progress", append).await {
            Ok(_) => return true,
            Err(Error::Fenced) => {
                slog::warn!(shared.log, "fenced"; "epoch" => %epoch, "by" => "store");
                return false;
            }
            Err(Error::Sequence { expected }) => {
                slog::warn!(shared.log, "sequence"; "sent" => *sequence, "expected" => expected);
                *sequence = expected;
            }
            Err(_) => wait_to_retry().await,
        }
    }
}
