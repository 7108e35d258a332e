//! The configuration by word of the owner, while the store tells this node nothing.
//!
//! The store may turn single machines away for seconds. An operator's change is in force on them as well then: a key that
//! was taken away is refused there, and a new queue is known.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    message::{
        self,
        Edition,
        Question,
        Reply, //
    },
    port::{
        Platform,
        Record, //
    },
    shared::Shared,
    watch::take_config,
};

/// After so long without a word of the store the owner is asked: a quiet store tells each 1 s that nothing has changed.
const ASK_AFTER: Duration = Duration::from_millis(1_500);
/// How often it is asked then.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// How long it may take to answer; a configuration with a thousand queues takes 0.2 s over a link of 10 Mbit/s.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// Returns what this node knows of the configuration, to one that knows some version.
pub(crate) fn tell<P: Platform>(shared: &Shared<P>, known: u64) -> Edition {
    let version = version(shared);
    let record = shared.config_record.borrow().clone();
    let record = record.filter(|_| version > known);
    Edition {
        version,
        age: shared.config_read.borrow().elapsed(),
        record: record.and_then(|record| Some((record.key, record.value?.to_vec()))),
    }
}

/// Asks the owner while the store tells this node nothing, for as long as the process runs.
pub(crate) async fn hear<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        sleep(ASK_EVERY).await;
        if shared.config_read.borrow().elapsed() < ASK_AFTER {
            continue;
        }
        let owner = shared.claim.borrow().as_ref().map(|claim| claim.address);
        let Some(owner) = owner.filter(|address| *address != shared.address) else {
            continue;
        };
        let asked = Instant::now();
        let question = Question::Configuration(version(&shared));
        let answer = message::ask(&shared.rpc, owner, &question, PATIENCE).await;
        if let Ok(Reply::Configuration(edition)) = answer {
            take(&shared, edition, asked);
        }
    }
}

/// Takes in what the owner knows, which was asked at a moment.
fn take<P: Platform>(shared: &Shared<P>, edition: Edition, asked: Instant) {
    if let Some((key, value)) = edition.record {
        let record = Record {
            key,
            value: Some(value.into()),
        };
        match shared.platform.configuration(&record) {
            Ok(Some(config)) => take_config(shared, config, record),
            Ok(None) => {}
            Err(fault) => slog::warn!(shared.log, "configuration"; "by" => "owner",
                "outcome" => "refused", "why" => %fault),
        }
    }
    if version(shared) != edition.version || edition.version == 0 {
        return;
    }
    let Some(told) = asked.checked_sub(edition.age) else {
        return;
    };
    shared.config_read.send_if_modified(|read| {
        let is_news = told > *read;
        *read = told.max(*read);
        is_news
    });
}

/// Returns the version that is in force here; zero where there is none.
fn version<P: Platform>(shared: &Shared<P>) -> u64 {
    let config = shared.config.borrow();
    config.as_ref().map_or(0, |config| config.version)
}
