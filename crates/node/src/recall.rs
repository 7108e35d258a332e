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

/// Which records of a topic are of use to this program, and how they are read.
pub(crate) struct Own<'a, T> {
    /// Whether they stand under a key.
    pub(crate) key: fn(&str) -> bool,
    /// Reads a record under such a key; `None` where the key is removed.
    pub(crate) read: &'a (dyn Fn(&Record) -> Result<Option<T>, Fault> + Sync),
}

/// The records of a page that are of use, each read once: at a takeover a weak node has thousands of them before it.
pub(crate) struct Settled<T> {
    /// What they say.
    pub(crate) found: Vec<T>,
    /// The others, for which no earlier record could be found either.
    pub(crate) rejected: Vec<Rejected>,
    /// Whether nothing was left to read when the page was made.
    pub(crate) is_last: bool,
}

/// Reads the records of a page, and turns away those that can't be read.
pub(crate) fn read<P: Platform, T>(
    shared: &Shared<P>,
    purpose: &'static str,
    page: Page,
    read: impl Fn(&Record) -> Result<Option<T>, Fault>,
) -> Settled<T> {
    let is_last = page.is_last();
    let mut rejected = page.rejected;
    let mut found = Vec::with_capacity(page.records.len());
    for record in &page.records {
        match read(record) {
            Ok(read) => found.extend(read),
            Err(fault) => {
                let turned_away = Rejected::record(record, fault);
                shared.turn_away(purpose, &turned_away);
                rejected.push(turned_away);
            }
        }
    }
    Settled {
        found,
        rejected,
        is_last,
    }
}

/// Reads the newest records of a topic. Those that are of no use are turned away, and the last ones under the same keys
/// that the store still keeps and that are take their place.
///
/// # Errors
///
/// Fails where the store doesn't give its history.
pub(crate) async fn settle<P: Platform, T: Send>(
    shared: &Shared<P>,
    topic: Topic,
    purpose: &'static str,
    page: Page,
    own: Own<'_, T>,
) -> Result<Settled<T>, Error> {
    let mut settled = read(shared, purpose, page, |record| {
        match (own.key)(&record.key) {
            true => (own.read)(record),
            false => Err(Fault::Key),
        }
    });
    let keys = settled.rejected.iter();
    let keys = keys.filter_map(|rejected| rejected.key.clone());
    // What stands under other keys has never been of use, and a long history takes seconds to read.
    let wanted: BTreeSet<String> = keys.filter(|key| (own.key)(key)).collect();
    if wanted.is_empty() {
        return Ok(settled);
    }
    let last = last_own(shared, topic, purpose, &wanted, own).await?;
    settled.rejected.retain(|rejected| {
        let key = rejected.key.as_ref();
        key.is_none_or(|key| !last.contains_key(key))
    });
    settled.found.extend(last.into_values().flatten());
    Ok(settled)
}

/// Reads all that the store still keeps of a topic, for the last records of use under some keys.
async fn last_own<P: Platform, T: Send>(
    shared: &Shared<P>,
    topic: Topic,
    purpose: &'static str,
    wanted: &BTreeSet<String>,
    own: Own<'_, T>,
) -> Result<BTreeMap<String, Option<T>>, Error> {
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
        last.extend(records.filter_map(|record| {
            let read = (own.read)(&record).ok()?;
            Some((record.key, read))
        }));
    }
}
