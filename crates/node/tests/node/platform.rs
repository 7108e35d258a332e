//! An in-memory platform for tests of whole nodes: a store that can fail, and workers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use fulmarpier_cell::{
    config::{
        Config,
        Queue, //
    },
    effect::{
        Heartbeat,
        Start,
        Stop,
        Throttle, //
    },
    evacuation::Change,
    event::{
        Ended,
        ExitReason,
        Grant,
        HeartbeatAnswer,
        Inventory,
        Registration,
        Running,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        DataCentre,
        Fence,
        JobId,
        PoolName,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    record::{
        self,
        Accepted,
        Claim, //
    },
    workspace::{
        Directory,
        KeyDigest,
        Workspace, //
    },
};
use fulmarpier_node::platform::{
    Append,
    Condition,
    Error,
    Fault,
    MAX_KEY_BYTES,
    Page,
    Platform,
    Record,
    Rejected,
    StoreLimits,
    Topic, //
};
use fulmarpier_node::work;
use fulmarpier_state::{
    quota::Limit,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    support::queue,
    writer::{
        Admission,
        Writer, //
    }, //
};

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// It answers every call.
    #[default]
    Healthy,
    /// It answers late.
    Slow,
    /// It refuses every call.
    Refusing,
    /// It carries out appends and answers no call.
    AnswersLost,
    /// It carries out appends and loses the answer to every second one of each topic.
    HalfAnswersLost,
    /// It carries out nothing, and calls fail only after a long timeout.
    Unresponsive,
}

#[derive(Default)]
struct State {
    mode: Mode,
    /// Topics whose appends are refused.
    refused_topics: Vec<String>,
    /// Until when reads of each topic get no answer.
    blocked_until: BTreeMap<String, Instant>,
    /// How many reads of each topic's newest records get no answer before one succeeds.
    lost_newest_reads: u32,
    /// How often the newest records of each topic were read.
    newest_reads: BTreeMap<String, u32>,
    /// How long each read of a topic is delayed.
    read_delays: BTreeMap<String, Duration>,
    topics: BTreeMap<String, Vec<Record>>,
    /// The first offset of each topic that is still kept, if it is not zero.
    first_offsets: BTreeMap<String, u64>,
    /// How much the store takes at once, if not as much as usual.
    limits: Option<StoreLimits>,
    /// How many appends were refused for their size.
    oversized_appends: usize,
    /// The owner's writer of records.
    writer: Writer,
    workers: BTreeMap<WorkerId, Worker>,
    starts: Vec<(TaskId, Instant)>,
    /// The maximum number of records in the answer to a read, if there is one.
    max_records_per_read: Option<usize>,
    /// The maximum number of records in the answer to a read of the newest ones, if there is one.
    max_newest_per_read: Option<usize>,
    /// How many appends were carried out or refused by their condition.
    appends: usize,
    /// How often a partition of the jobs was read from an offset.
    job_reads: usize,
    /// How many appends to each topic there were while every second answer is lost.
    appends_with_losses: BTreeMap<String, u32>,
    /// When the workers last wrote their entries.
    last_report: Option<Instant>,
}

impl State {
    /// Repeats the newest valid entry of each worker if the report interval has passed.
    fn report_workers(&mut self) {
        let is_due = self
            .last_report
            .is_none_or(|at| at.elapsed() >= REPORT_INTERVAL);
        let entries = self.topics.get_mut(&topic_name(Topic::Workers));
        let Some(entries) = entries.filter(|_| is_due) else {
            return;
        };
        self.last_report = Some(Instant::now());
        let newest: BTreeMap<String, Record> = entries
            .iter()
            .map(|record| (record.key.clone(), record.clone()))
            .collect();
        // Workers do not repeat entries of other writers.
        let own = newest.into_values();
        let own = own.filter(|record| record.value.as_deref() == Some(b"here".as_slice()));
        entries.extend(own);
    }
}

/// The runs of a worker.
#[derive(Default)]
struct Worker {
    /// The highest fence of an order so far.
    fence: Option<Fence>,
    running: BTreeMap<TaskId, (Run, Instant)>,
    ended: Vec<Ended>,
    /// The serial number of the last ended run.
    serial: u64,
}

impl Worker {
    /// Notes the fence of an order; returns false if the worker has seen a higher one and refuses the order.
    fn admit(&mut self, fence: Fence) -> bool {
        let is_admitted = self.fence <= Some(fence);
        self.fence = self.fence.max(Some(fence));
        is_admitted
    }
}

/// The platform as seen from one machine. Cloning is cheap, and clones share their state.
#[derive(Clone, Default)]
pub(crate) struct Fake {
    state: Arc<Mutex<State>>,
    /// How the store behaves towards this machine, if not as towards the others.
    own_mode: Arc<Mutex<Option<Mode>>>,
    /// How many calls of this machine timed out because the store was unresponsive.
    timed_out_calls: Arc<AtomicUsize>,
    /// How many orders to start a run this machine has sent.
    start_orders: Arc<AtomicUsize>,
    /// Each topic that this machine read, with the time.
    reads: Arc<Mutex<Vec<(String, Instant)>>>,
    /// For how long this machine was suspended.
    suspended: Arc<Mutex<Duration>>,
    /// How long a scheduling pass on this machine takes.
    pass_time: Arc<Mutex<Duration>>,
}

/// A value that is rejected before it is decoded.
pub(crate) const REJECTED_VALUE: &[u8] = b"lost";
/// The data centre of all workers.
const DATA_CENTRE: &str = "north";
/// The prefix of a configuration that names workspaces with their keys, as in `keys: a=key b=other`. Its version grows
/// with its length.
const KEYS_PREFIX: &[u8] = b"keys:";

/// Returns the version of a configuration that names workspaces.
pub(crate) fn version(value: &[u8]) -> u64 {
    3 + value.len() as u64
}

fn parse_directory(text: &[u8]) -> Directory {
    let text = std::str::from_utf8(text).unwrap();
    let mut directory = Directory::default();
    for entry in text.split_whitespace() {
        let (name, keys) = entry.split_once('=').unwrap();
        let workspace = Workspace {
            name: name.parse().unwrap(),
            limit: Limit::default(),
        };
        let keys = keys.split(',').map(KeyDigest::of);
        directory.add(workspace, keys);
    }
    directory
}

/// How much the store takes at once.
const USUAL_STORE_LIMITS: StoreLimits = StoreLimits {
    record: 262_144,
    call: 2_097_152,
};
/// How many ends a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;
/// How often the workers write their entries.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long tasks run.
const TASK_DURATION: Duration = Duration::from_millis(40);
/// How long a call of a healthy store, or of a worker, takes.
const CALL_LATENCY: Duration = Duration::from_millis(2);
/// How long a call of a slow store takes.
const SLOW_CALL_LATENCY: Duration = Duration::from_millis(90);
/// How long a call takes to fail while every second answer is lost: longer than callers in the tests wait.
const HALF_ANSWERS_LOST_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a call takes to fail while all answers are lost.
const ANSWERS_LOST_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a call takes to fail if the store is unresponsive: longer than anything that waits for it may take.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(30);

impl Fake {
    /// Returns a platform with one worker.
    pub(crate) fn new() -> Self {
        Self::with_workers(1)
    }

    pub(crate) fn with_workers(count: usize) -> Self {
        let fake = Self::default();
        let config = vec![Record {
            key: "config".to_owned(),
            value: Some("1".into()),
        }];
        let workers = (0..count).map(|nth| Record {
            key: format!("w{nth}"),
            value: Some("here".into()),
        });
        let workers = workers.collect();
        let mut state = fake.state();
        state
            .topics
            .insert(topic_name(Topic::Configuration), config);
        state.topics.insert(topic_name(Topic::Workers), workers);
        drop(state);
        fake
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Returns the same platform as seen from another machine.
    pub(crate) fn another_machine(&self) -> Self {
        Self {
            state: self.state.clone(),
            ..Self::default()
        }
    }

    /// Suspends this machine: from the outside `span` passes while the runtime's clock does not advance.
    pub(crate) fn suspend(&self, span: Duration) {
        *self.suspended.lock().unwrap() += span;
    }

    /// Sets how long a scheduling pass on this machine takes.
    pub(crate) fn set_pass_time(&self, time: Duration) {
        *self.pass_time.lock().unwrap() = time;
    }

    /// Sets how the store behaves towards this machine alone.
    pub(crate) fn set_own_mode(&self, mode: Mode) {
        *self.own_mode.lock().unwrap() = Some(mode);
    }

    fn log_read(&self, topic: Topic) {
        let read = (topic_name(topic), Instant::now());
        self.reads.lock().unwrap().push(read);
    }

    /// Returns the times at which this machine read a topic, in order.
    pub(crate) fn reads(&self, topic: Topic) -> Vec<Instant> {
        let reads = self.reads.lock().unwrap();
        let own = reads.iter().filter(|(read, _)| *read == topic_name(topic));
        own.map(|(_, at)| *at).collect()
    }

    /// Returns how many calls of this machine timed out because the store was unresponsive.
    pub(crate) fn timed_out_calls(&self) -> usize {
        self.timed_out_calls.load(Ordering::Relaxed)
    }

    /// Records a job as a node does, without notifying the owner.
    pub(crate) fn record_job(&self, partition: u16, accepted: &Accepted) {
        let record = Record {
            key: accepted.job.to_string(),
            value: Some(record::encode(accepted).unwrap().into()),
        };
        let topic = topic_name(Topic::Jobs(partition));
        let mut state = self.state();
        state.topics.entry(topic).or_default().push(record);
    }

    /// Writes a record with the given raw value, valid or not, into a partition of the jobs.
    pub(crate) fn put_in_partition(&self, partition: u16, key: &str, value: Vec<u8>) {
        let record = Record {
            key: key.to_owned(),
            value: Some(value.into()),
        };
        let topic = topic_name(Topic::Jobs(partition));
        let mut state = self.state();
        state.topics.entry(topic).or_default().push(record);
    }

    /// Records a job's cancellation as a node does, without notifying the owner.
    pub(crate) fn record_cancellation(&self, partition: u16, job: u64) {
        let record = Record {
            key: format!("{}/x", JobId(job)),
            value: Some(vec![1].into()),
        };
        let topic = topic_name(Topic::Jobs(partition));
        let mut state = self.state();
        state.topics.entry(topic).or_default().push(record);
    }

    /// Writes a record as a writer other than the nodes does.
    pub(crate) fn write(&self, topic: Topic, key: &str, value: &[u8]) {
        let record = Record {
            key: key.to_owned(),
            value: Some(value.to_vec().into()),
        };
        let mut state = self.state();
        state
            .topics
            .entry(topic_name(topic))
            .or_default()
            .push(record);
    }

    /// Appends a record that removes a key.
    pub(crate) fn remove(&self, topic: Topic, key: &str) {
        let record = Record {
            key: key.to_owned(),
            value: None,
        };
        let mut state = self.state();
        state
            .topics
            .entry(topic_name(topic))
            .or_default()
            .push(record);
    }

    /// Removes all records under a key without a removal record that readers see, and truncates the topic's history.
    pub(crate) fn drop_key(&self, topic: Topic, key: &str) {
        let mut state = self.state();
        let records = state.topics.entry(topic_name(topic)).or_default();
        // The offsets of the other records stay.
        for record in records.iter_mut().filter(|record| record.key == key) {
            record.value = None;
        }
        let end = records.len() as u64;
        // Readers that continue from an earlier offset are told that the history is gone.
        records.push(Record {
            key: "another".to_owned(),
            value: Some(b"{}".to_vec().into()),
        });
        state.first_offsets.insert(topic_name(topic), end + 1);
    }

    /// Truncates the history of every topic to some records at its end. The newest record of each key stays readable.
    pub(crate) fn truncate_history(&self, kept: usize) {
        let mut state = self.state();
        let topics = state.topics.iter();
        let first = topics.map(|(topic, records)| {
            let first = records.len().saturating_sub(kept);
            (topic.clone(), first as u64)
        });
        state.first_offsets = first.collect();
    }

    /// Returns a page in which the records that cannot be read are reported as rejected.
    fn page(records: Vec<Record>, next: u64, end: u64) -> Page {
        let is_rejected = |record: &Record| record.value.as_deref() == Some(REJECTED_VALUE);
        let (unreadable, records): (Vec<Record>, Vec<Record>) =
            records.into_iter().partition(is_rejected);
        let rejected = unreadable
            .iter()
            .map(|record| Rejected::new(record, Fault::Value));
        Page {
            records,
            rejected: rejected.collect(),
            next,
            end,
        }
    }

    /// Makes the store refuse appends to a partition of the jobs.
    pub(crate) fn refuse_appends(&self, partition: u16) {
        self.state()
            .refused_topics
            .push(topic_name(Topic::Jobs(partition)));
    }

    /// Makes the store give no answer to reads of a topic for some time.
    pub(crate) fn block_reads(&self, topic: Topic, time: Duration) {
        let until = Instant::now() + time;
        self.state().blocked_until.insert(topic_name(topic), until);
    }

    /// Makes the store delay each read of a topic.
    pub(crate) fn delay_reads(&self, topic: Topic, time: Duration) {
        self.state().read_delays.insert(topic_name(topic), time);
    }

    async fn wait_read_delay(&self, topic: Topic) {
        let time = self.state().read_delays.get(&topic_name(topic)).copied();
        sleep(time.unwrap_or_default()).await;
    }

    /// Returns the newest record under a key of a partition of the jobs.
    pub(crate) fn newest_job(&self, partition: u16, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        let records = state.topics.get(&topic_name(Topic::Jobs(partition)));
        let mut own = records.into_iter().flatten().rev();
        own.find(|record| record.key == key)?
            .value
            .as_ref()
            .map(|value| value.to_vec())
    }

    /// Returns how many orders to start a run this machine has sent.
    pub(crate) fn start_orders(&self) -> usize {
        self.start_orders.load(Ordering::Relaxed)
    }

    fn mode(&self) -> Mode {
        let own = *self.own_mode.lock().unwrap();
        own.unwrap_or_else(|| self.state().mode)
    }

    /// Returns how many runs of a job's tasks were started.
    pub(crate) fn starts(&self, job: u64) -> usize {
        let state = self.state();
        let starts = state.starts.iter();
        starts.filter(|(task, _)| task.step.job.0 == job).count()
    }

    /// Returns when a task of a job was last started.
    pub(crate) fn last_start(&self, job: u64) -> Option<Instant> {
        let state = self.state();
        let starts = state.starts.iter();
        let own = starts.filter(|(task, _)| task.step.job.0 == job);
        own.map(|(_, at)| *at).max()
    }

    /// Bounds the number of records in the answer to a read from an offset.
    pub(crate) fn limit_reads(&self, count: usize) {
        self.state().max_records_per_read = Some(count);
    }

    /// Bounds the number of records in the answer to a read of the newest ones.
    pub(crate) fn limit_newest_reads(&self, count: usize) {
        self.state().max_newest_per_read = Some(count);
    }

    /// Returns how much the store takes at once.
    pub(crate) fn store_limits(&self) -> StoreLimits {
        self.state().limits.unwrap_or(USUAL_STORE_LIMITS)
    }

    /// Sets how much the store takes at once.
    pub(crate) fn limit_appends(&self, limits: StoreLimits) {
        self.state().limits = Some(limits);
    }

    /// Returns how many appends were refused for their size.
    pub(crate) fn oversized_appends(&self) -> usize {
        self.state().oversized_appends
    }

    /// Returns how many keys of a topic have a record.
    pub(crate) fn key_count(&self, topic: Topic) -> usize {
        let state = self.state();
        let records = state.topics.get(&topic_name(topic)).into_iter().flatten();
        let newest: BTreeMap<&str, bool> = records
            .map(|record| (record.key.as_str(), record.value.is_some()))
            .collect();
        newest.into_values().filter(|has_value| *has_value).count()
    }

    /// Returns the epochs under which owners have taken over, in order.
    pub(crate) fn takeovers(&self) -> Vec<u32> {
        self.state().writer.takeovers()
    }

    pub(crate) fn appends(&self) -> usize {
        self.state().appends
    }

    /// Returns how often a partition of the jobs was read from an offset.
    pub(crate) fn job_reads(&self) -> usize {
        self.state().job_reads
    }

    /// Returns the node that owns the cell according to the newest claim.
    pub(crate) fn owner(&self) -> Option<String> {
        let state = self.state();
        let claims = state.topics.get(&topic_name(Topic::Claims))?.iter().rev();
        let mut claims = claims.filter_map(|record| record.value.as_ref());
        // In some tests there are records of other writers among them.
        let claim: Claim = claims.find_map(|value| record::decode(value).ok())?;
        (!claim.released).then(|| claim.node.to_string())
    }

    /// Writes a claim that no node of the test has made.
    pub(crate) fn write_claim(&self, claim: &Claim) {
        let value = record::encode(claim).unwrap();
        self.write(Topic::Claims, "owner", &value);
    }

    /// Returns all claims in order. Panics if any record of their topic is not a claim.
    pub(crate) fn claims(&self) -> Vec<Claim> {
        let state = self.state();
        let records = state
            .topics
            .get(&topic_name(Topic::Claims))
            .into_iter()
            .flatten();
        let values = records.filter_map(|record| record.value.as_ref());
        values.map(|value| record::decode(value).unwrap()).collect()
    }

    /// Returns all claims in order, skipping records of their topic that cannot be decoded.
    pub(crate) fn valid_claims(&self) -> Vec<Claim> {
        let state = self.state();
        let records = state
            .topics
            .get(&topic_name(Topic::Claims))
            .into_iter()
            .flatten();
        let values = records.filter_map(|record| record.value.as_ref());
        values
            .filter_map(|value| record::decode(value).ok())
            .collect()
    }

    /// Returns whether any topic has a record under a key.
    pub(crate) fn has_record(&self, key: &str) -> bool {
        let state = self.state();
        let mut records = state.topics.values().flatten();
        records.any(|record| record.key == key)
    }

    /// Makes the store lose the answers to the next reads of the newest records of each topic.
    pub(crate) fn lose_newest_reads(&self, count: u32) {
        let mut state = self.state();
        state.lost_newest_reads = count;
        state.newest_reads.clear();
    }

    /// Counts a read of a topic's newest records, and fails it with a timeout if its answer is to be lost.
    async fn fail_if_lost(&self, topic: Topic) -> Result<(), Error> {
        let is_lost = {
            let mut state = self.state();
            let lost = state.lost_newest_reads;
            let count = state.newest_reads.entry(topic_name(topic)).or_default();
            *count += 1;
            *count <= lost
        };
        if !is_lost {
            return Ok(());
        }
        sleep(UNRESPONSIVE_TIMEOUT).await;
        Err(Error::Unanswered)
    }

    /// Fails a read with a timeout while reads of its topic are blocked.
    async fn fail_if_blocked(&self, topic: Topic) -> Result<(), Error> {
        let until = self.state().blocked_until.get(&topic_name(topic)).copied();
        if until.is_none_or(|until| Instant::now() >= until) {
            return Ok(());
        }
        sleep(UNRESPONSIVE_TIMEOUT).await;
        Err(Error::Unanswered)
    }

    /// Waits as long as a call takes in the current mode, and fails if the mode says so.
    async fn simulate_call(&self) -> Result<(), Error> {
        let mode = self.mode();
        match mode {
            Mode::Healthy | Mode::HalfAnswersLost => {
                sleep(CALL_LATENCY).await;
                Ok(())
            }
            Mode::Slow => {
                sleep(SLOW_CALL_LATENCY).await;
                Ok(())
            }
            Mode::Refusing => Err(Error::Refused("unavailable")),
            Mode::AnswersLost => {
                sleep(ANSWERS_LOST_TIMEOUT).await;
                Err(Error::Unanswered)
            }
            Mode::Unresponsive => {
                sleep(UNRESPONSIVE_TIMEOUT).await;
                self.timed_out_calls.fetch_add(1, Ordering::Relaxed);
                Err(Error::Unanswered)
            }
        }
    }

    fn apply_append(&self, append: Append) -> Result<u64, Error> {
        let limits = self.store_limits();
        let is_large = append
            .records
            .iter()
            .any(|record| record.stored_len() > limits.record || record.key.len() > MAX_KEY_BYTES);
        let size: usize = append.records.iter().map(Record::framed_len).sum();
        if is_large || size > limits.call {
            self.state().oversized_appends += 1;
            return Err(Error::Rejected(400));
        }
        let mut state = self.state();
        state.appends += 1;
        let name = topic_name(append.topic);
        let end = state.topics.entry(name.clone()).or_default().len() as u64;
        match append.condition {
            Condition::None => {}
            Condition::EndsAt(at) if at == end => {}
            Condition::EndsAt(_) => return Err(Error::WrongEnd { end }),
            Condition::Writer { epoch, sequence } => {
                let count = append.records.len();
                let new_end = end + count as u64;
                match state.writer.admit(epoch.0, sequence, count, new_end)? {
                    Admission::New => {}
                    Admission::Repeat(first) => return Ok(first),
                }
            }
        }
        let topic = state.topics.entry(name).or_default();
        topic.extend(append.records);
        Ok(topic.len() as u64)
    }
}

fn topic_name(topic: Topic) -> String {
    format!("{topic:?}")
}

impl Platform for Fake {
    async fn append(&self, append: Append) -> Result<u64, Error> {
        if self
            .state()
            .refused_topics
            .contains(&topic_name(append.topic))
        {
            return Err(Error::Refused("unavailable"));
        }
        let mode = self.mode();
        match mode {
            Mode::Refusing | Mode::Unresponsive => self.simulate_call().await.map(|()| 0),
            Mode::AnswersLost => {
                // The result is lost with the answer.
                let _ = self.apply_append(append);
                self.simulate_call().await.map(|()| 0)
            }
            Mode::Healthy | Mode::Slow => {
                self.simulate_call().await?;
                self.apply_append(append)
            }
            Mode::HalfAnswersLost => {
                self.simulate_call().await?;
                let topic = topic_name(append.topic);
                let result = self.apply_append(append);
                let count = {
                    let mut state = self.state();
                    let count = state.appends_with_losses.entry(topic).or_default();
                    *count += 1;
                    *count
                };
                if count.is_multiple_of(2) {
                    return result;
                }
                sleep(HALF_ANSWERS_LOST_TIMEOUT).await;
                Err(Error::Unanswered)
            }
        }
    }

    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, Error> {
        let until = Instant::now() + wait;
        self.log_read(topic);
        self.fail_if_blocked(topic).await?;
        if matches!(topic, Topic::Jobs(_)) {
            self.state().job_reads += 1;
        }
        if matches!(topic, Topic::Workers) {
            self.state().report_workers();
        }
        loop {
            self.wait_read_delay(topic).await;
            self.simulate_call().await?;
            let (records, end): (Vec<Record>, u64) = {
                let state = self.state();
                let first = state
                    .first_offsets
                    .get(&topic_name(topic))
                    .copied()
                    .unwrap_or(0);
                if from < first {
                    return Err(Error::Truncated { first });
                }
                let records = state.topics.get(&topic_name(topic));
                let end = records.map_or(0, |records| records.len() as u64);
                let skipped = usize::try_from(from).unwrap();
                let rest = records.into_iter().flatten().skip(skipped);
                let most = state.max_records_per_read.unwrap_or(usize::MAX);
                (rest.take(most).cloned().collect(), end)
            };
            if !records.is_empty() || Instant::now() >= until {
                let next = from + records.len() as u64;
                return Ok(Self::page(records, next, end));
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Reads the newest records in pages, which are no snapshot.
    async fn newest(&self, topic: Topic) -> Result<Page, Error> {
        let (mut page, mut after) = self.newest_after(topic, None).await?;
        while let Some(key) = after {
            let (more, last) = self.newest_after(topic, Some(&key)).await?;
            page.records.extend(more.records);
            page.rejected.extend(more.rejected);
            after = last;
        }
        Ok(page)
    }

    async fn newest_after(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<(Page, Option<String>), Error> {
        self.log_read(topic);
        self.fail_if_lost(topic).await?;
        self.fail_if_blocked(topic).await?;
        self.wait_read_delay(topic).await;
        self.simulate_call().await?;
        let state = self.state();
        let records = state
            .topics
            .get(&topic_name(topic))
            .cloned()
            .unwrap_or_default();
        let end = records.len() as u64;
        let newest: BTreeMap<String, Record> = records
            .into_iter()
            .map(|record| (record.key.clone(), record))
            .collect();
        let newest = newest.into_values();
        let mut rest: Vec<Record> = newest
            .filter(|record| record.value.is_some())
            .filter(|record| after.is_none_or(|after| record.key.as_str() > after))
            .collect();
        let most = state.max_newest_per_read.unwrap_or(usize::MAX);
        let has_more = rest.len() > most;
        rest.truncate(most);
        let last = rest.last().map(|record| record.key.clone());
        let page = Self::page(rest, end, end);
        Ok((page, last.filter(|_| has_more)))
    }

    fn reconnect(&self) {}

    async fn start(&self, order: Start) -> StartAnswer {
        sleep(CALL_LATENCY).await;
        self.start_orders.fetch_add(1, Ordering::Relaxed);
        let mut state = self.state();
        let worker = state.workers.entry(order.to.worker).or_default();
        if !worker.admit(order.to.fence) {
            return StartAnswer::Fenced;
        }
        let ends = Instant::now() + TASK_DURATION;
        worker.running.insert(order.task, (order.run, ends));
        state.starts.push((order.task, Instant::now()));
        StartAnswer::Started
    }

    async fn stop(&self, order: Stop) -> StopAnswer {
        sleep(CALL_LATENCY).await;
        let mut state = self.state();
        let worker = state.workers.entry(order.to.worker).or_default();
        if !worker.admit(order.to.fence) {
            return StopAnswer::Fenced;
        }
        worker.running.remove(&order.task);
        StopAnswer::Confirmed
    }

    async fn throttle(&self, order: Throttle) -> StopAnswer {
        let mut state = self.state();
        let worker = state.workers.entry(order.to.worker).or_default();
        match worker.admit(order.to.fence) {
            true => StopAnswer::Confirmed,
            false => StopAnswer::Fenced,
        }
    }

    async fn heartbeat(&self, order: Heartbeat) -> HeartbeatAnswer {
        let until = Instant::now() + order.wait;
        let mut is_admitted = false;
        loop {
            sleep(CALL_LATENCY).await;
            let now = Instant::now();
            let mut state = self.state();
            let worker = state.workers.entry(order.to.worker.clone()).or_default();
            // A call that is waiting already goes on when a later owner makes one.
            is_admitted = is_admitted || worker.admit(order.to.fence);
            if !is_admitted {
                return HeartbeatAnswer::Fenced;
            }
            worker.ended.retain(|end| end.serial > order.acknowledged);
            let finished = worker.running.iter().filter(|(_, (_, ends))| *ends <= now);
            let finished: Vec<(TaskId, Run)> =
                finished.map(|(task, (run, _))| (*task, *run)).collect();
            for (task, run) in finished {
                worker.running.remove(&task);
                worker.serial += 1;
                let serial = worker.serial;
                worker.ended.push(Ended {
                    serial,
                    task,
                    run,
                    reason: ExitReason::Done,
                    checkpoint: None,
                });
            }
            if !worker.ended.is_empty() || now >= until {
                let running = worker.running.iter().map(|(task, (run, _))| Running {
                    task: *task,
                    run: *run,
                    checkpoint: None,
                    load: 0,
                    progress: None,
                });
                return HeartbeatAnswer::Inventory(Inventory {
                    omits_ends: worker.ended.len() >= MAX_LISTED_ENDS,
                    incarnation: None,
                    clock: 1,
                    running: running.collect(),
                    ended: worker.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
                });
            }
        }
    }

    async fn advise(&self, _: StepId, _: Vec<WorkerId>, _: Duration) -> Option<Vec<Grant>> {
        None
    }

    async fn work(&self, kind: work::Kind, _: usize) {
        if kind == work::Kind::Pass {
            let time = *self.pass_time.lock().unwrap();
            sleep(time).await;
        }
    }

    fn total_suspension(&self) -> Duration {
        *self.suspended.lock().unwrap()
    }

    /// Decodes a configuration: `1` is version 1, in which the queue uses pool `p`; `2` is version 2, in which it uses
    /// pool `elsewhere`; for a text that names workspaces, see [`KEYS_PREFIX`].
    fn configuration(&self, record: &Record) -> Result<Option<Config>, Fault> {
        let (version, pool) = match (record.key.as_str(), record.value.as_deref()) {
            ("config", Some(b"1")) => (1, "p"),
            ("config", Some(b"2")) => (2, "elsewhere"),
            ("config", Some(value)) if value.starts_with(KEYS_PREFIX) => (version(value), "p"),
            ("config", _) => return Err(Fault::Structure),
            _ => return Ok(None),
        };
        let mut config = Config {
            version,
            ..Config::default()
        };
        let queue = Queue {
            pool: PoolName::from(pool),
            ..queue()
        };
        config.queues.insert(queue.name.clone(), Arc::new(queue));
        let value = record.value.as_deref().unwrap_or_default();
        config.directory = value.strip_prefix(KEYS_PREFIX).map(parse_directory);
        Ok(Some(config))
    }

    fn evacuation(&self, record: &Record) -> Result<Option<Change>, Fault> {
        let Some(name) = record.key.strip_prefix("evacuate/") else {
            return Ok(None);
        };
        if name != DATA_CENTRE {
            return Err(Fault::DataCentre);
        }
        match record.value.as_deref() {
            None | Some(b"{}") => Ok(Some(Change {
                data_centre: DataCentre::from(name),
                is_evacuated: record.value.is_some(),
            })),
            Some(_) => Err(Fault::Structure),
        }
    }

    /// Decodes a worker's entry: `here` registers the worker in pool `p`, and `elsewhere` in pool `elsewhere`.
    fn registration(
        &self,
        record: &Record,
        pools: &BTreeSet<PoolName>,
    ) -> Result<Registration, Fault> {
        let pool = match record.value.as_deref() {
            Some(b"here") => PoolName::from("p"),
            Some(b"elsewhere") => PoolName::from("elsewhere"),
            _ => return Err(Fault::Structure),
        };
        if !pools.contains(&pool) {
            return Err(Fault::Pool);
        }
        Ok(Registration {
            incarnation: None,
            id: WorkerId::from(record.key.as_str()),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            pool,
            capacity: Resources::new(Millicores::from_cores(4), Bytes::from_gib(4), 0),
            labels: Vec::new(),
            data_centre: Some(DataCentre::from(DATA_CENTRE)),
            leaving: None,
        })
    }
}
