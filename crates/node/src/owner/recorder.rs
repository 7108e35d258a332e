//! Writes the owner's records, one append at a time, in order.

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
    Control,
    Event, //
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
    watch::pause,
};

/// Raises the writer's epoch, so that no former owner's record follows.
///
/// # Errors
///
/// Fails with [`Error::Fenced`] where a later owner has done so, and otherwise where the store fails.
pub(super) async fn fence<P: Platform>(shared: &Shared<P>, epoch: Epoch) -> Result<(), Error> {
    let append = Append {
        topic: Topic::Progress,
        records: Vec::new(),
        condition: Condition::Writer { epoch, sequence: 0 },
    };
    shared.append("fence", append).await.map(drop)
}

/// Writes records for as long as the actor lives, each until the store has it.
pub(super) async fn run<P: Platform>(
    shared: Arc<Shared<P>>,
    epoch: Epoch,
    mut records: mpsc::UnboundedReceiver<Vec<Entry>>,
    control: WeakActorRef<Control<P>>,
) {
    let mut sequence = 0;
    while let Some(entries) = records.recv().await {
        sequence += 1;
        let is_kept = keep(&shared, epoch, &mut sequence, &entries).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        let event = match is_kept {
            true => Event::Recorded,
            false => Event::Deposed,
        };
        // The actor may be ending.
        let _ = control.tell(event).await;
        if !is_kept {
            shared.acting.send_replace(None);
            return;
        }
    }
}

/// Writes one group until it is kept; false where a later owner has fenced this one.
async fn keep<P: Platform>(
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
            Err(_) => pause().await,
        }
    }
}
