//! Readers that follow topics of the store. Every node follows the operator's records; the owner also follows the list
//! of workers and the jobs.

use std::{
    pin::pin,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    config::Config,
    evacuation::Change, //
};
use futures::future::{
    Either,
    select, //
};
use rand::random_range;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    evacuation::{
        self,
        Scope, //
    },
    fallback::{
        self,
        Decoder, //
    },
    operator,
    platform::{
        Error,
        Fault,
        Page,
        Platform,
        Record,
        Topic, //
    },
    shared::Shared,
};

/// The maximum delay before a failed call is retried. Refused calls cost as much as others, so retries must not be
/// frequent.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A reader of a topic that starts with the newest record of each key and then continues from the last offset read.
pub(crate) struct Reader {
    topic: Topic,
    purpose: &'static str,
    next: Option<u64>,
}

/// The result of a read.
pub(crate) enum Batch {
    /// The newest record of every key; keys that are not among them were removed.
    Full(Page),
    /// The records since the last read.
    Incremental(Page),
}

impl Reader {
    /// Creates a reader that starts with the newest records.
    pub(crate) const fn new(topic: Topic, purpose: &'static str) -> Self {
        Self {
            topic,
            purpose,
            next: None,
        }
    }

    /// Starts the reader at an offset, unless it already has one.
    pub(crate) fn begin_at(&mut self, next: u64) {
        self.next.get_or_insert(next);
    }

    /// Reads once. If the store no longer has the records from the offset on, the next read starts with the newest
    /// records again.
    pub(crate) async fn read<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let result = match self.next {
            None => {
                let page = shared.newest(self.purpose, self.topic).await;
                page.map(Batch::Full)
            }
            Some(from) => {
                let page = shared.read(self.purpose, self.topic, from, wait).await;
                page.map(Batch::Incremental)
            }
        };
        match &result {
            Ok(Batch::Full(page) | Batch::Incremental(page)) => self.next = Some(page.next),
            Err(Error::Truncated { first }) => {
                slog::warn!(shared.log, "history-gone"; "topic" => self.purpose, "first" => first);
                self.next = None;
            }
            Err(_) => {}
        }
        result
    }
}

/// Waits for between half of the maximum delay and all of it, so that nodes don't retry at the same time.
pub(crate) async fn wait_to_retry() {
    sleep(MAX_RETRY_DELAY.mul_f64(random_range(0.5..=1.0))).await;
}

/// The content of a record of the operator.
enum Update {
    /// The configuration, with the record itself for nodes that can't read the store.
    Config(Config, Record),
    /// The start or end of the evacuation of a data centre.
    Evacuation(Change),
}

/// Follows the operator's records for as long as the process runs.
pub(crate) async fn follow_operator<P: Platform>(shared: Arc<Shared<P>>) {
    let mut reader = Reader::new(Topic::Configuration, "configuration");
    let mut wait = Duration::ZERO;
    loop {
        let batch = {
            let read = pin!(reader.read(&shared, wait));
            match select(read, pin!(operator::wait_until_stale(&shared, wait))).await {
                Either::Left((batch, _)) => batch,
                Either::Right(_) => {
                    wait = Duration::ZERO;
                    continue;
                }
            }
        };
        let read = match batch {
            Ok(Batch::Full(page)) => {
                let decoded = replace_invalid(&shared, page).await;
                if decoded.is_err() {
                    reader = Reader::new(Topic::Configuration, "configuration");
                }
                decoded.map(|updates| (Scope::Full, updates))
            }
            // If a record can't be decoded, the last one that could be stays in force.
            Ok(Batch::Incremental(page)) => {
                let decode = |record: &Record| decode(&shared, record);
                let read = fallback::decode_page(&shared, "configuration", page, decode);
                Ok((Scope::Incremental, read.values))
            }
            Err(error) => Err(error),
        };
        wait = match read {
            // After an outage the store answers a call with no wait at once, but a waiting call only at the end of its
            // wait. Until then callers that name a queue would be told that this node doesn't know the queues.
            Err(_) => Duration::ZERO,
            Ok(_) if shared.store.is_failing() => Duration::ZERO,
            Ok(_) => operator::read_wait(&shared),
        };
        match read {
            Ok((scope, updates)) => {
                apply(&shared, scope, updates);
                operator::record_read(&shared, reader.next);
            }
            Err(_) => wait_to_retry().await,
        }
    }
}

/// Replaces each record that can't be decoded by the last one under its key that can, so that a starting node doesn't
/// have to wait for the next valid record.
async fn replace_invalid<P: Platform>(
    shared: &Shared<P>,
    page: Page,
) -> Result<Vec<Update>, Error> {
    let decoder = Decoder {
        is_own: |_| true,
        decode: &|record| decode(shared, record),
    };
    let topic = Topic::Configuration;
    let decoded =
        fallback::decode_with_fallback(shared, topic, "configuration", page, decoder).await;
    decoded.map(|decoded| decoded.values)
}

/// Decodes a record of the operator; `None` if it removes its key or holds something else.
fn decode<P: Platform>(shared: &Shared<P>, record: &Record) -> Result<Option<Update>, Fault> {
    if let Some(config) = shared.platform.configuration(record)? {
        return Ok(Some(Update::Config(config, record.clone())));
    }
    let change = shared.platform.evacuation(record)?;
    Ok(change.map(Update::Evacuation))
}

/// Applies the records of a read that has just ended. The end of a waiting call without records confirms that nothing
/// changed.
fn apply<P: Platform>(shared: &Shared<P>, scope: Scope, updates: Vec<Update>) {
    shared.config_confirmed_at.send_replace(Instant::now());
    let mut changes = Vec::new();
    for update in updates {
        match update {
            Update::Config(config, record) => apply_config(shared, config, record),
            Update::Evacuation(change) => changes.push(change),
        }
    }
    evacuation::update(shared, scope, changes);
}

/// Puts a configuration in force on this node, unless its version is no later than the current one.
pub(crate) fn apply_config<P: Platform>(shared: &Shared<P>, config: Config, record: Record) {
    let current = shared.config.borrow().as_ref().map(|config| config.version);
    if current.is_some_and(|current| current >= config.version) {
        return;
    }
    slog::info!(shared.log, "configuration"; "version" => config.version,
        "before" => current.unwrap_or(0), "queues" => config.queues.len(),
        "pools" => config.pools.len());
    shared.config_record.send_replace(Some(record));
    shared.config.send_replace(Some(Arc::new(config)));
}
