//! Removes the acceptance records of jobs that have ended.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use fulmarpier_cell::{
    effect::Removal,
    record::Cancelled, //
};

use crate::{
    frontend::{
        Key,
        cancellation_record, //
    },
    platform::{
        Append,
        Condition,
        Platform,
        Record,
        Topic, //
    },
    shared::Shared,
};

/// Removes acceptance records, with one append per partition. Removals that fail are left to the
/// next owner, and nothing is removed while the store is slow or failing.
///
/// The outcome of each of these jobs is stored already, or is stored in the same step, so the
/// removal is safe at any time.
pub(super) fn remove_acceptances<P: Platform>(shared: &Arc<Shared<P>>, jobs: Vec<Removal>) {
    if shared.store.is_slow() || shared.store.is_failing() {
        return;
    }
    let mut partitions: BTreeMap<u16, Vec<Record>> = BTreeMap::new();
    for removal in jobs {
        let records = partitions.entry(removal.partition).or_default();
        if let Some(recorded) = removal.cancellation {
            records.push(cancellation_record(&Cancelled {
                job: removal.job,
                workspace: removal.workspace.clone(),
                cancellation: recorded,
            }));
        }
        records.push(Record {
            key: Key::acceptance(removal.job, removal.workspace).to_string(),
            value: None,
        });
    }
    for (partition, records) in partitions {
        let shared = shared.clone();
        tokio::spawn(async move {
            let append = Append {
                topic: Topic::Jobs(partition),
                records,
                condition: Condition::None,
            };
            // A failure is counted in the metrics of the store's calls.
            let _ = shared.append("forget", append).await;
        });
    }
}
