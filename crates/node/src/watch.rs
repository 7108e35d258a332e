//! Follows what the operator writes, and on the owner the list of workers and the jobs.

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
    operator,
    port::{
        Error,
        Fault,
        Page,
        Platform,
        Record,
        Topic, //
    },
    recall::{
        self,
        Own, //
    },
    shared::Shared,
};

/// The pause after a failed call, half to whole; refused calls are priced like others.
const PAUSE: Duration = Duration::from_millis(250);

/// Reads a topic on, from its newest records or from where it was read last.
pub(crate) struct Reader {
    topic: Topic,
    purpose: &'static str,
    next: Option<u64>,
}

/// What a read brought.
pub(crate) enum Batch {
    /// The newest record of every key; what isn't among them is gone.
    Whole(Page),
    /// The records since the last read.
    More(Page),
}

impl Reader {
    /// Makes a reader that begins with the newest records.
    pub(crate) const fn new(topic: Topic, purpose: &'static str) -> Self {
        Self {
            topic,
            purpose,
            next: None,
        }
    }

    /// Reads on from an offset, unless one before it was named already.
    pub(crate) fn begin_at(&mut self, next: u64) {
        self.next.get_or_insert(next);
    }

    /// Reads once. After a gap in the history it begins with the newest records again.
    pub(crate) async fn read<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let result = match self.next {
            None => {
                let page = shared.newest(self.purpose, self.topic).await;
                page.map(Batch::Whole)
            }
            Some(from) => {
                let page = shared.read(self.purpose, self.topic, from, wait).await;
                page.map(Batch::More)
            }
        };
        match &result {
            Ok(Batch::Whole(page) | Batch::More(page)) => self.next = Some(page.next),
            Err(Error::Forgotten { first }) => {
                slog::warn!(shared.log, "history-gone"; "topic" => self.purpose, "first" => first);
                self.next = None;
            }
            Err(_) => {}
        }
        result
    }
}

/// Waits between half of the pause and the whole, so that nodes don't call together.
pub(crate) async fn pause() {
    sleep(PAUSE.mul_f64(random_range(0.5..=1.0))).await;
}

/// What a record of the operator's says.
enum Told {
    /// The configuration, with what the operator has written for nodes that can't read it themselves.
    Config(Config, Record),
    /// Whether a data centre is evacuated.
    Evacuation(Change),
}

/// Follows what the operator writes for as long as the process runs.
pub(crate) async fn follow_operator<P: Platform>(shared: Arc<Shared<P>>) {
    let mut reader = Reader::new(Topic::Configuration, "configuration");
    let mut wait = Duration::ZERO;
    loop {
        let batch = {
            let read = pin!(reader.read(&shared, wait));
            match select(read, pin!(operator::overdue(&shared, wait))).await {
                Either::Left((batch, _)) => batch,
                Either::Right(_) => {
                    wait = Duration::ZERO;
                    continue;
                }
            }
        };
        let read = match batch {
            Ok(Batch::Whole(page)) => {
                let settled = settle(&shared, page).await;
                if settled.is_err() {
                    reader = Reader::new(Topic::Configuration, "configuration");
                }
                settled.map(|told| (Scope::Whole, told))
            }
            // The last one that could be read stays in force where another can't.
            Ok(Batch::More(page)) => {
                let read = |record: &Record| read(&shared, record);
                let read = recall::read(&shared, "configuration", page, read);
                Ok((Scope::More, read.found))
            }
            Err(error) => Err(error),
        };
        wait = match read {
            // A store that comes back answers such a call at once, and one that waits only after its wait: whoever asks
            // for a queue meanwhile is told that this node doesn't know.
            Err(_) => Duration::ZERO,
            Ok(_) if shared.store.is_failing() => Duration::ZERO,
            Ok(_) => operator::wait(&shared),
        };
        match read {
            Ok((scope, told)) => {
                take(&shared, scope, told);
                operator::note(&shared, reader.next);
            }
            Err(_) => pause().await,
        }
    }
}

/// Puts the last record that can be read in the place of one that can't: a node that starts must not wait for the next
/// one.
async fn settle<P: Platform>(shared: &Shared<P>, page: Page) -> Result<Vec<Told>, Error> {
    let own = Own {
        key: |_| true,
        read: &|record| read(shared, record),
    };
    let topic = Topic::Configuration;
    let settled = recall::settle(shared, topic, "configuration", page, own).await;
    settled.map(|settled| settled.found)
}

fn read<P: Platform>(shared: &Shared<P>, record: &Record) -> Result<Option<Told>, Fault> {
    if let Some(config) = shared.platform.configuration(record)? {
        return Ok(Some(Told::Config(config, record.clone())));
    }
    let change = shared.platform.evacuation(record)?;
    Ok(change.map(Told::Evacuation))
}

/// Takes in what was read just now; a call that waits for a change tells at its end that there was none.
fn take<P: Platform>(shared: &Shared<P>, scope: Scope, told: Vec<Told>) {
    shared.config_read.send_replace(Instant::now());
    let mut changes = Vec::new();
    for told in told {
        match told {
            Told::Config(config, record) => take_config(shared, config, record),
            Told::Evacuation(change) => changes.push(change),
        }
    }
    evacuation::take(shared, scope, changes);
}

/// Puts a configuration in force here; an older one than the present changes nothing.
pub(crate) fn take_config<P: Platform>(shared: &Shared<P>, config: Config, record: Record) {
    let present = shared.config.borrow().as_ref().map(|config| config.version);
    if present.is_some_and(|present| present >= config.version) {
        return;
    }
    slog::info!(shared.log, "configuration"; "version" => config.version,
        "before" => present.unwrap_or(0), "queues" => config.queues.len(),
        "pools" => config.pools.len());
    shared.config_record.send_replace(Some(record));
    shared.config.send_replace(Some(Arc::new(config)));
}
