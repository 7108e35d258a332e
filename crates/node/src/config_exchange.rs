//! Reads the configuration from the owner while the store doesn't answer this node.
//!
//! The store may refuse single machines for seconds. With the owner's copy, an operator's change takes effect on them
//! too: a revoked key is refused there, and a new queue is known.

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
        ConfigState,
        Reply,
        Request, //
    },
    platform::{
        Platform,
        Record, //
    },
    shared::Shared,
    watch::apply_config,
};

/// How long the store may be silent before the owner is asked. An idle store confirms every 1 s that nothing changed.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_500);
/// The interval between requests to the owner.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout of a request to the owner. A configuration with a thousand queues takes 0.2 s over a 10 Mbit/s link.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns this node's configuration for a peer that has version `known`; the record is left out if it isn't newer.
pub(crate) fn current<P: Platform>(shared: &Shared<P>, known: u64) -> ConfigState {
    let version = version(shared);
    let record = shared.config_record.borrow().clone();
    let record = record.filter(|_| version > known);
    ConfigState {
        version,
        age: shared.config_confirmed_at.borrow().elapsed(),
        record: record.and_then(|record| Some((record.key, record.value?.to_vec()))),
    }
}

/// Asks the owner for the configuration whenever this node's configuration has not been confirmed for
/// [`MAX_STORE_SILENCE`]; runs until the process ends.
pub(crate) async fn poll_owner<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        sleep(POLL_INTERVAL).await;
        if shared.config_confirmed_at.borrow().elapsed() < MAX_STORE_SILENCE {
            continue;
        }
        let owner = shared.claim.borrow().as_ref().map(|claim| claim.address);
        let Some(owner) = owner.filter(|address| *address != shared.address) else {
            continue;
        };
        let requested_at = Instant::now();
        let request = Request::Configuration(version(&shared));
        let answer = message::send(&shared.rpc, owner, &request, CALL_TIMEOUT).await;
        if let Ok(Reply::Configuration(state)) = answer {
            apply(&shared, state, requested_at);
        }
    }
}

/// Applies the owner's configuration, which was requested at `requested_at`.
fn apply<P: Platform>(shared: &Shared<P>, state: ConfigState, requested_at: Instant) {
    if let Some((key, value)) = state.record {
        let record = Record {
            key,
            value: Some(value.into()),
        };
        match shared.platform.configuration(&record) {
            Ok(Some(config)) => apply_config(shared, config, record),
            Ok(None) => {}
            Err(fault) => slog::warn!(shared.log, "configuration"; "by" => "owner",
                "outcome" => "refused", "why" => %fault),
        }
    }
    if version(shared) != state.version || state.version == 0 {
        return;
    }
    let Some(confirmed_at) = requested_at.checked_sub(state.age) else {
        return;
    };
    shared.config_confirmed_at.send_if_modified(|read| {
        let is_newer = confirmed_at > *read;
        *read = confirmed_at.max(*read);
        is_newer
    });
}

/// Returns the version of the configuration in force on this node; zero if there is none.
fn version<P: Platform>(shared: &Shared<P>) -> u64 {
    let config = shared.config.borrow();
    config.as_ref().map_or(0, |config| config.version)
}
