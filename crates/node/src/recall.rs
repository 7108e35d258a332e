//! The last good record of a key whose newest one is another writer's.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use crate::{
    port::{
        Error,
        Fault,
        Page,
        Platform,
        Record,
        Rejected,
        Topic, //
    },
    shared::Shared,
};

/// Which records of a topic are of use to this program.
#[derive(Clone, Copy)]
pub(crate) struct Own<'a> {
    /// Whether they stand under a key.
    pub(crate) key: fn(&str) -> bool,
    /// Whether a record under such a key can be read.
    pub(crate) record: &'a (dyn Fn(&Record) -> Result<(), Fault> + Sync),
}

/// Turns away the newest records that are of no use, and takes in their place the last ones under the same keys
/// that the store still keeps and that are.
///
/// What has no such record any more is left among the rejected ones.
///
/// # Errors
///
/// Fails where the store doesn't give its history.
pub(crate) async fn settle<P: Platform>(
    shared: &Shared<P>,
    topic: Topic,
    purpose: &'static str,
    mut page: Page,
    own: Own<'_>,
) -> Result<Page, Error> {
    let check = |record: &Record| match (own.key)(&record.key) {
        true => (own.record)(record),
        false => Err(Fault::Key),
    };
    page.records.retain(|record| {
        let fault = check(record).err();
        if let Some(fault) = fault {
            let rejected = Rejected::record(record, fault);
            shared.turn_away(purpose, &rejected);
            page.rejected.push(rejected);
        }
        fault.is_none()
    });
    let keys = page
        .rejected
        .iter()
        .filter_map(|rejected| rejected.key.clone());
    // What stands under other keys has never been of use, and a long history takes seconds to read.
    let wanted: BTreeSet<String> = keys.filter(|key| (own.key)(key)).collect();
    if wanted.is_empty() {
        return Ok(page);
    }
    let last = last_own(shared, topic, purpose, &wanted, own).await?;
    page.rejected.retain(|rejected| {
        let key = rejected.key.as_ref();
        key.is_none_or(|key| !last.contains_key(key))
    });
    let present = last.into_values().filter(|record| record.value.is_some());
    page.records.extend(present);
    Ok(page)
}

/// Reads all that the store still keeps of a topic, for the last records of use under some keys.
async fn last_own<P: Platform>(
    shared: &Shared<P>,
    topic: Topic,
    purpose: &'static str,
    wanted: &BTreeSet<String>,
    own: Own<'_>,
) -> Result<BTreeMap<String, Record>, Error> {
    let mut last = BTreeMap::new();
    let mut from = 0;
    loop {
        let page = match shared.read(purpose, topic, from, Duration::ZERO).await {
            Err(Error::Forgotten { first }) if first > from => {
                from = first;
                continue;
            }
            page => page?,
        };
        if page.next == from {
            return Ok(last);
        }
        from = page.next;
        let records = page.records.into_iter();
        let records = records.filter(|record| wanted.contains(&record.key));
        let records = records.filter(|record| (own.record)(record).is_ok());
        last.extend(records.map(|record| (record.key.clone(), record)));
    }
}
