//! Replaces the newest record of a key by the last valid one if another writer has put an invalid record there.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use crate::{
    platform::{
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

/// How the records of a topic that belong to this program are recognised and decoded.
pub(crate) struct Decoder<'a, T> {
    /// Returns whether records under a key belong to this program.
    pub(crate) is_own: fn(&str) -> bool,
    /// Decodes a record under such a key; `None` if the record removes the key.
    pub(crate) decode: &'a (dyn Fn(&Record) -> Result<Option<T>, Fault> + Sync),
}

/// The decoded records of a page. Each record is decoded only once, because a weak node has to decode thousands of them
/// during a takeover.
pub(crate) struct Decoded<T> {
    /// The decoded values.
    pub(crate) values: Vec<T>,
    /// The invalid records that no earlier valid record replaces.
    pub(crate) rejected: Vec<Rejected>,
    /// Whether the page reaches the end of the topic.
    pub(crate) is_last: bool,
}

/// Decodes the records of a page and rejects those that can't be decoded.
pub(crate) fn decode_page<P: Platform, T>(
    shared: &Shared<P>,
    purpose: &'static str,
    page: Page,
    decode: impl Fn(&Record) -> Result<Option<T>, Fault>,
) -> Decoded<T> {
    let is_last = page.is_last();
    let mut rejected = page.rejected;
    let mut found = Vec::with_capacity(page.records.len());
    for record in &page.records {
        match decode(record) {
            Ok(value) => found.extend(value),
            Err(fault) => {
                let invalid = Rejected::new(record, fault);
                shared.record_rejected(purpose, &invalid);
                rejected.push(invalid);
            }
        }
    }
    Decoded {
        values: found,
        rejected,
        is_last,
    }
}

/// Decodes the newest records of a topic. Invalid records are rejected and replaced by the last valid records under the
/// same keys that the store still has.
///
/// # Errors
///
/// Fails if the history of the topic can't be read.
pub(crate) async fn decode_with_fallback<P: Platform, T: Send>(
    shared: &Shared<P>,
    topic: Topic,
    purpose: &'static str,
    page: Page,
    decoder: Decoder<'_, T>,
) -> Result<Decoded<T>, Error> {
    let mut decoded = decode_page(shared, purpose, page, |record| {
        match (decoder.is_own)(&record.key) {
            true => (decoder.decode)(record),
            false => Err(Fault::Key),
        }
    });
    let keys = decoded.rejected.iter();
    let keys = keys.filter_map(|rejected| rejected.key.clone());
    // Records under other keys never belong to this program, and a long history takes seconds to read.
    let wanted: BTreeSet<String> = keys.filter(|key| (decoder.is_own)(key)).collect();
    if wanted.is_empty() {
        return Ok(decoded);
    }
    let last = last_valid(shared, topic, purpose, &wanted, decoder).await?;
    decoded.rejected.retain(|rejected| {
        let key = rejected.key.as_ref();
        key.is_none_or(|key| !last.contains_key(key))
    });
    decoded.values.extend(last.into_values().flatten());
    Ok(decoded)
}

/// Reads the whole history that the store still has of a topic, and returns the last valid record under each of the
/// wanted keys.
async fn last_valid<P: Platform, T: Send>(
    shared: &Shared<P>,
    topic: Topic,
    purpose: &'static str,
    wanted: &BTreeSet<String>,
    decoder: Decoder<'_, T>,
) -> Result<BTreeMap<String, Option<T>>, Error> {
    let mut last = BTreeMap::new();
    let mut from = 0;
    loop {
        let page = match shared.read(purpose, topic, from, Duration::ZERO).await {
            Err(Error::Truncated { first }) if first > from => {
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
            let value = (decoder.decode)(&record).ok()?;
            Some((record.key, value))
        }));
    }
}
