//! Takes the acceptances of jobs that are over off the record.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use fulmarpier_cell::id::JobId;

use crate::{
    port::{
        Append,
        Condition,
        Platform,
        Record,
        Topic, //
    },
    shared::Shared,
};

/// Removes acceptances, one append a partition; what fails is left to the next owner, and all is while the store
/// has better to do.
///
/// How each of these jobs ended is on record, so it does no harm whenever it is carried out.
pub(super) fn forget<P: Platform>(shared: &Arc<Shared<P>>, jobs: Vec<(u16, JobId)>) {
    if shared.store.is_slow() || shared.store.is_failing() {
        return;
    }
    let mut partitions: BTreeMap<u16, Vec<Record>> = BTreeMap::new();
    for (partition, job) in jobs {
        partitions.entry(partition).or_default().push(Record {
            key: job.to_string(),
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
            // A failure is counted with the store's calls.
            let _ = shared.append("forget", append).await;
        });
    }
}
