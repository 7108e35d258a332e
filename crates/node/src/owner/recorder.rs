//! Writes the owner's records to the store, in order and one append at a time.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    id::Epoch,
    record::Entry, //
};
use kameo::actor::WeakActorRef;
use tokio::{
    sync::mpsc,
    time::sleep, //
};

use super::{
    EngineActor,
    Event,
    engine_actor::tell,
    split::Splitter, //
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

/// The delay before records are sent again that the store doesn't take. Only a change of the store's limits can make that
/// succeed, and another owner would have to write the same records.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(5);

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
    /// An entry can't be encoded.
    Unstorable,
}

impl Ending {
    const fn as_str(self) -> &'static str {
        match self {
            Self::OwnershipEnded => "ownership-ended",
            Self::ActorEnded => "actor-ended",
            Self::Fenced => "fenced",
            Self::SharedEpoch => "shared-epoch",
            Self::Unstorable => "unstorable",
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
    splitter: Splitter,
    groups: mpsc::UnboundedReceiver<Vec<Entry>>,
    actor: WeakActorRef<EngineActor<P>>,
) {
    let mut writer = Writer {
        shared: &shared,
        epoch,
        splitter,
        sequence: 0,
    };
    let ending = tokio::select! {
        ending = writer.write_groups(groups, &actor) => ending,
        () = shared.wait_until_ended(epoch) => Ending::OwnershipEnded,
    };
    slog::info!(shared.log, "recorder-ends"; "epoch" => %epoch, "why" => ending.as_str(),
        "appends" => writer.sequence);
    if !matches!(ending, Ending::OwnershipEnded | Ending::ActorEnded) {
        shared.end_ownership(epoch);
        tell(&actor, Event::OwnershipLost).await;
    }
}

/// The writer of the records of one ownership.
struct Writer<'a, P: Platform> {
    shared: &'a Shared<P>,
    epoch: Epoch,
    splitter: Splitter,
    /// The number of the last append.
    sequence: u64,
}

impl<P: Platform> Writer<'_, P> {
    /// Writes groups of entries one after the other.
    async fn write_groups(
        &mut self,
        mut groups: mpsc::UnboundedReceiver<Vec<Entry>>,
        actor: &WeakActorRef<EngineActor<P>>,
    ) -> Ending {
        while let Some(entries) = groups.recv().await {
            if let Err(ending) = self.write_group(&entries).await {
                return ending;
            }
            tell(actor, Event::Recorded).await;
        }
        Ending::ActorEnded
    }

    /// Writes a group of entries. Nothing is done on the strength of a part of it, so it may take several appends.
    async fn write_group(&mut self, entries: &[Entry]) -> Result<(), Ending> {
        let calls = self.splitter.calls(entries).map_err(|error| {
            slog::error!(self.shared.log, "unstorable"; "epoch" => %self.epoch, "why" => %error);
            Ending::Unstorable
        })?;
        for records in calls {
            self.append(records).await?;
        }
        Ok(())
    }

    /// Appends records, retrying until they are stored.
    ///
    /// # Errors
    ///
    /// Fails if the store has another writer under this epoch or a later one.
    async fn append(&mut self, records: Vec<Record>) -> Result<(), Ending> {
        self.sequence += 1;
        let (shared, epoch, sequence) = (self.shared, self.epoch, self.sequence);
        let append = Append {
            topic: Topic::Progress,
            records,
            condition: Condition::Writer { epoch, sequence },
        };
        loop {
            match shared.append("progress", append.clone()).await {
                Ok(_) => return Ok(()),
                Err(Error::Fenced) => {
                    slog::warn!(shared.log, "fenced"; "epoch" => %epoch, "by" => "store");
                    return Err(Ending::Fenced);
                }
                // This writer numbers its appends without gaps, so the other numbers are another writer's. With the
                // expected number it would overwrite that writer's records, or take the answer to one of its appends
                // for its own.
                Err(Error::Sequence { expected }) => {
                    slog::warn!(shared.log, "sequence"; "epoch" => %epoch, "sent" => sequence,
                        "expected" => expected);
                    return Err(Ending::SharedEpoch);
                }
                Err(Error::Rejected(status)) => {
                    let sizes = append.records.iter().map(Record::stored_len);
                    slog::error!(shared.log, "unstorable"; "epoch" => %epoch, "status" => status,
                        "records" => append.records.len(), "largest" => sizes.max().unwrap_or(0));
                    sleep(REJECTED_RETRY_DELAY).await;
                }
                Err(_) => wait_to_retry().await,
            }
        }
    }
}
