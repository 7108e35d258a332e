//! The platform as a process of a node sees it over its links.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    config::Config,
    effect::{
        Destination,
        Heartbeat,
        Start,
        Stop,
        Throttle, //
    },
    evacuation::Change,
    event::{
        Grant,
        HeartbeatAnswer,
        Registration,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        DataCentre,
        PoolName,
        StepId,
        WorkerId, //
    },
};
use fulmarpier_node::{
    platform::{
        Append,
        Error,
        Fault,
        INVENTORY_MARGIN,
        ORDER_TIMEOUT,
        Page,
        Platform,
        Record,
        Topic, //
    },
    work, //
};
use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    network::{
        Port,
        Site, //
    },
    processor::Processor,
    workers::{
        self,
        Workers, //
    },
};
use crate::platform::Fake;

/// How long a call of the store may take, beyond the wait that was asked for.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a read that waits for a record looks for one.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// The platform as a process of a node sees it; cheap to clone.
#[derive(Clone)]
pub(crate) struct Machine {
    pub(super) port: Port,
    /// The store; it also knows for how long this machine was suspended.
    pub(super) store: Fake,
    pub(super) workers: Workers,
    /// The processor; work takes no time without one.
    pub(super) processor: Option<Processor>,
    /// The data centre of each worker.
    pub(super) data_centres: Arc<[DataCentre]>,
}

impl Machine {
    async fn call_store<T: Send + 'static>(
        &self,
        wait: Duration,
        action: impl Future<Output = Result<T, Error>> + Send + 'static,
    ) -> Result<T, Error> {
        let action = async move { Some(action.await) };
        let answer = self
            .port
            .call(Site::Store, wait + STORE_TIMEOUT, action)
            .await;
        answer.unwrap_or(Err(Error::Unanswered))
    }

    /// Has a worker carry out an order.
    async fn order<T: Send + 'static, F>(
        &self,
        to: &Destination,
        limit: Duration,
        action: impl FnOnce(Workers, usize) -> F,
    ) -> Option<T>
    where
        F: Future<Output = T> + Send + 'static,
    {
        let worker = workers::index(&to.worker);
        let action = action(self.workers.clone(), worker);
        let action = async move { Some(action.await) };
        self.port.call(Site::Worker(worker), limit, action).await
    }
}

/// Reads from the store, and waits for a record there.
async fn read(store: Fake, topic: Topic, from: u64, wait: Duration) -> Result<Page, Error> {
    let until = Instant::now() + wait;
    loop {
        let page = store.read(topic, from, Duration::ZERO).await?;
        if !page.records.is_empty() || !page.rejected.is_empty() || Instant::now() >= until {
            return Ok(page);
        }
        sleep(READ_INTERVAL.min(until - Instant::now())).await;
    }
}

impl Platform for Machine {
    async fn append(&self, append: Append) -> Result<u64, Error> {
        let store = self.store.clone();
        let action = async move { store.append(append).await };
        self.call_store(Duration::ZERO, action).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, Error> {
        let action = read(self.store.clone(), topic, from, wait);
        self.call_store(wait, action).await
    }

    async fn newest(&self, topic: Topic) -> Result<Page, Error> {
        let store = self.store.clone();
        let action = async move { store.newest(topic).await };
        self.call_store(Duration::ZERO, action).await
    }

    async fn newest_after(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<(Page, Option<String>), Error> {
        let store = self.store.clone();
        let after = after.map(str::to_owned);
        let action = async move { store.newest_after(topic, after.as_deref()).await };
        self.call_store(Duration::ZERO, action).await
    }

    fn reconnect(&self) {}

    async fn start(&self, order: Start) -> StartAnswer {
        let to = order.to.clone();
        let action = |workers: Workers, worker| async move { workers.start(worker, &order) };
        let answer = self.order(&to, ORDER_TIMEOUT, action).await;
        answer.unwrap_or(StartAnswer::NoAnswer)
    }

    async fn stop(&self, order: Stop) -> StopAnswer {
        let to = order.to.clone();
        let action = |workers: Workers, worker| async move { workers.stop(worker, &order) };
        let answer = self.order(&to, ORDER_TIMEOUT, action).await;
        answer.unwrap_or(StopAnswer::NoAnswer)
    }

    async fn throttle(&self, _: Throttle) -> StopAnswer {
        StopAnswer::Confirmed
    }

    async fn heartbeat(&self, order: Heartbeat) -> HeartbeatAnswer {
        let (to, limit) = (order.to.clone(), order.wait + INVENTORY_MARGIN);
        let action =
            |workers: Workers, worker| async move { workers.heartbeat(worker, order).await };
        let answer = self.order(&to, limit, action).await;
        answer.unwrap_or(HeartbeatAnswer::NoAnswer)
    }

    async fn advise(&self, _: StepId, _: Vec<WorkerId>, _: Duration) -> Option<Vec<Grant>> {
        None
    }

    async fn work(&self, kind: work::Kind, amount: usize) {
        if let Some(processor) = &self.processor {
            processor.work(kind, amount).await;
        }
    }

    fn total_suspension(&self) -> Duration {
        self.store.total_suspension()
    }

    fn configuration(&self, record: &Record) -> Result<Option<Config>, Fault> {
        self.store.configuration(record)
    }

    fn evacuation(&self, record: &Record) -> Result<Option<Change>, Fault> {
        self.store.evacuation(record)
    }

    fn registration(
        &self,
        record: &Record,
        pools: &BTreeSet<PoolName>,
    ) -> Result<Registration, Fault> {
        let registration = self.store.registration(record, pools)?;
        let worker = workers::index(&registration.id);
        Ok(Registration {
            address: workers::address(worker),
            data_centre: Some(self.data_centres[worker].clone()),
            ..registration
        })
    }
}
