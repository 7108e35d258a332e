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
    Event,
    engine_actor::tell, //
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

/// Why a recorder stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The ownership has ended.
    OwnershipEnded,
    /// The actor has ended.
    ActorEnded,
    /// A later owner has fenced this one.
    Fenced,
    /// Another writer has appended under the epoch, so the answers to appends can't be told apart any more.
    SharedEpoch,
}

impl Ending {
    const fn as_str(self) -> &'static str {
        match self {
            Self::OwnershipEnded => "ownership-ended",
            Self::ActorEnded => "actor-ended",
            Self::Fenced => "fenced",
            Self::SharedEpoch => "shared-epoch",
        }
    }
}

/// Writes records until the ownership ends, retrying each group until the store has it.
///
/// A group that is being written when the ownership ends is not sent again: nothing was done on the strength of it, and
/// the workers list its ends to the next owner.
pub(super) async fn run<P: Platform>(
    shared: Arc<Shared<P>>,
    epoch: Epoch,
    records: mpsc::UnboundedReceiver<Vec<Entry>>,
    actor: WeakActorRef<EngineActor<P>>,
) {
    let mut sequence = 0;
    let ending = tokio::select! {
        ending = write_groups(&shared, epoch, records, &actor, &mut sequence) => ending,
        () = shared.wait_until_ended(epoch) => Ending::OwnershipEnded,
    };
    slog::info!(shared.log, "recorder-ends"; "epoch" => %epoch, "why" => ending.as_str(),
        "appends" => sequence);
    if matches!(ending, Ending::Fenced | Ending::SharedEpoch) {
        tell(&actor, Event::OwnershipLost).await;
        shared.end_ownership(epoch);
    }
}

/// Writes the groups of entries one after the other; `sequence` is the number of the last append.
async fn write_groups<P: Platform>(
    shared: &Shared<P>,
    epoch: Epoch,
    mut groups: mpsc::UnboundedReceiver<Vec<Entry>>,
    actor: &WeakActorRef<EngineActor<P>>,
    sequence: &mut u64,
) -> Ending {
    while let Some(entries) = groups.recv().await {
        *sequence += 1;
        if let Err(ending) = write_group(shared, epoch, *sequence, &entries).await {
            return ending;
        }
        tell(actor, Event::Recorded).await;
    }
    Ending::ActorEnded
}

/// Writes a group of entries, retrying until it is stored.
///
/// # Errors
///
/// Fails if the store has another writer under this epoch or a later one.
async fn write_group<P: Platform>(
    shared: &Shared<P>,
    epoch: Epoch,
    sequence: u64,
    entries: &[Entry],
) -> Result<(), Ending> {
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
            condition: Condition::Writer { epoch, sequence },
        };
        match shared.append("progress", append).await {
            Ok(_) => return Ok(()),
            Err(Error::Fenced) => {
                slog::warn!(shared.log, "fenced"; "epoch" => %epoch, "by" => "store");
                return Err(Ending::Fenced);
            }
            // This writer numbers its appends without gaps, so the other numbers are another writer's. With the
            // expected number it would overwrite that writer's records, or take the answer to one of its appends for
            // its own.
            Err(Error::Sequence { expected }) => {
                slog::warn!(shared.log, "sequence"; "epoch" => %epoch, "sent" => sequence,
                    "expected" => expected);
                return Err(Ending::SharedEpoch);
            }
            Err(_) => wait_to_retry().await,
        }
    }
}
