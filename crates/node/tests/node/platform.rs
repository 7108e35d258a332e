//! A platform in memory, with faults, for whole nodes on loopback.

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
        Hold,
        Pace,
        Start,
        Stop, //
    },
    evacuation::Change,
    event::{
        Advised,
        Ended,
        HoldAnswer,
        How,
        Inventory,
        Registration,
        Running,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        DataCentre,
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
use fulmarpier_node::port::{
    Append,
    Condition,
    Error,
    Fault,
    Page,
    Platform,
    Record,
    Rejected,
    Topic, //
};
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

use crate::support::queue;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// It answers.
    #[default]
    Well,
    /// It answers late.
    Slow,
    /// It refuses every call.
    Refusing,
    /// It carries appends out and gives no answer.
    Mute,
    /// It carries appends out and loses the answer to every second one of each topic.
    Losing,
    /// It does nothing and gives no answer for very long.
    Silent,
}

#[derive(Default)]
struct State {
    mode: Mode,
    /// Topics whose appends are refused.
    refused: Vec<String>,
    /// Topics that nobody can read until then.
    held_back: BTreeMap<String, Instant>,
    /// How many answers to readings of the newest records of each topic are lost, before one arrives.
    lost_readings: u32,
    /// How many readings of the newest records of each topic there were.
    readings: BTreeMap<String, u32>,
    /// Topics whose records nobody gets sooner than after this time.
    delayed: BTreeMap<String, Duration>,
    topics: BTreeMap<String, Vec<Record>>,
    /// The first offset of each topic that is still kept, where that is not zero.
    first: BTreeMap<String, u64>,
    fence: u32,
    /// The writer's last append, to answer a repeat of it.
    written: Option<(u32, u64, u64)>,
    workers: BTreeMap<WorkerId, Host>,
    starts: Vec<(TaskId, Instant)>,
    /// How many records it gives at a call, where that is bounded.
    most_given: Option<usize>,
    /// How many of the newest records it gives at a call, where that is bounded.
    most_newest: Option<usize>,
    appends: usize,
    /// How often the jobs' partitions were read on.
    job_reads: usize,
    /// How many appends of each topic there were while answers were lost.
    lost: BTreeMap<String, u32>,
    /// When the workers last reported themselves.
    reported: Option<Instant>,
}

impl State {
    /// Has the workers report themselves again, as they do from time to time.
    fn report_workers(&mut self) {
        let is_due = self.reported.is_none_or(|at| at.elapsed() >= REPORTS);
        let entries = self.topics.get_mut(&name(Topic::Workers));
        let Some(entries) = entries.filter(|_| is_due) else {
            return;
        };
        self.reported = Some(Instant::now());
        let newest: BTreeMap<String, Record> = entries
            .iter()
            .map(|record| (record.key.clone(), record.clone()))
            .collect();
        // What another writer has written is no report.
        let own = newest.into_values();
        let own = own.filter(|record| record.value.as_deref() == Some(b"here".as_slice()));
        entries.extend(own);
    }
}

/// What a worker holds.
#[derive(Default)]
struct Host {
    running: BTreeMap<TaskId, (Run, Instant)>,
    ended: Vec<Ended>,
    /// The place of the last end.
    serial: u64,
}

/// The platform as one machine sees it; cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct Fake {
    state: Arc<Mutex<State>>,
    /// How the store behaves towards this machine, where that differs.
    own: Arc<Mutex<Option<Mode>>>,
    /// How many calls of this machine the silent store has let run out.
    run_out: Arc<AtomicUsize>,
    /// How many orders to start this machine has given.
    ordered: Arc<AtomicUsize>,
    /// When this machine read which topic.
    reads: Arc<Mutex<Vec<(String, Instant)>>>,
    /// For how long this machine was suspended.
    suspended: Arc<Mutex<Duration>>,
}

/// A value that is rejected before it is decoded.
pub(crate) const LOST_VALUE: &[u8] = b"lost";
/// Where all workers stand.
const DATA_CENTRE: &str = "north";
/// What a configuration begins with that names workspaces with their keys, as in `keys: a=key b=other`. The longer one is
/// the later version.
const KEYS: &[u8] = b"keys:";

/// Returns the version of such a configuration.
pub(crate) fn version(value: &[u8]) -> u64 {
    3 + value.len() as u64
}

fn directory(text: &[u8]) -> Directory {
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

/// How often its workers report themselves.
const REPORTS: Duration = Duration::from_millis(1_000);
/// How long its tasks run.
const RUNS: Duration = Duration::from_millis(40);
/// How long a call takes.
const CALL: Duration = Duration::from_millis(2);
/// How long a call of a slow store takes.
const SLOW: Duration = Duration::from_millis(90);
/// Longer than any caller of the tests waits.
const NEVER: Duration = Duration::from_secs(4);
/// How long a call without an answer takes to fail.
const LOST: Duration = Duration::from_millis(100);
/// How long a call of a silent store takes to fail: longer than anything that should wait for it.
const RUNS_OUT: Duration = Duration::from_secs(30);

impl Fake {
    /// Makes a platform with one worker.
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
        state.topics.insert(name(Topic::Configuration), config);
        state.topics.insert(name(Topic::Workers), workers);
        drop(state);
        fake
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Returns the same platform for another machine.
    pub(crate) fn machine(&self) -> Self {
        Self {
            state: self.state.clone(),
            ..Self::default()
        }
    }

    /// Suspends this machine for a while, during which the runtime's clock stands still.
    pub(crate) fn suspend(&self, span: Duration) {
        *self.suspended.lock().unwrap() += span;
    }

    /// Has the store behave differently towards this machine alone.
    pub(crate) fn set_here(&self, mode: Mode) {
        *self.own.lock().unwrap() = Some(mode);
    }

    fn note_read(&self, topic: Topic) {
        let read = (name(topic), Instant::now());
        self.reads.lock().unwrap().push(read);
    }

    /// Returns when this machine read a topic, in order.
    pub(crate) fn reads(&self, topic: Topic) -> Vec<Instant> {
        let reads = self.reads.lock().unwrap();
        let own = reads.iter().filter(|(read, _)| *read == name(topic));
        own.map(|(_, at)| *at).collect()
    }

    /// Returns how many calls of this machine a silent store has let run out.
    pub(crate) fn run_out(&self) -> usize {
        self.run_out.load(Ordering::Relaxed)
    }

    /// Keeps a job that a node took which tells nobody of it.
    pub(crate) fn accept(&self, partition: u16, accepted: &Accepted) {
        let record = Record {
            key: accepted.job.to_string(),
            value: Some(record::encode(accepted).unwrap().into()),
        };
        let place = name(Topic::Jobs(partition));
        let mut state = self.state();
        state.topics.entry(place).or_default().push(record);
    }

    /// Keeps a record in a partition of the jobs.
    pub(crate) fn put(&self, partition: u16, key: &str, value: Vec<u8>) {
        let record = Record {
            key: key.to_owned(),
            value: Some(value.into()),
        };
        let place = name(Topic::Jobs(partition));
        let mut state = self.state();
        state.topics.entry(place).or_default().push(record);
    }

    /// Keeps a job's cancellation of which nobody tells the owner.
    pub(crate) fn cancel(&self, partition: u16, job: u64) {
        let record = Record {
            key: format!("{}/x", JobId(job)),
            value: Some(vec![1].into()),
        };
        let place = name(Topic::Jobs(partition));
        let mut state = self.state();
        state.topics.entry(place).or_default().push(record);
    }

    /// Writes a record as another writer does.
    pub(crate) fn write(&self, topic: Topic, key: &str, value: &[u8]) {
        let record = Record {
            key: key.to_owned(),
            value: Some(value.to_vec().into()),
        };
        let mut state = self.state();
        state.topics.entry(name(topic)).or_default().push(record);
    }

    /// Removes the record under a key.
    pub(crate) fn remove(&self, topic: Topic, key: &str) {
        let record = Record {
            key: key.to_owned(),
            value: None,
        };
        let mut state = self.state();
        state.topics.entry(name(topic)).or_default().push(record);
    }

    /// Drops all records under a key, as if there had never been any, and the history with them.
    pub(crate) fn drop_key(&self, topic: Topic, key: &str) {
        let mut state = self.state();
        let records = state.topics.entry(name(topic)).or_default();
        // The offsets of the others stay.
        for record in records.iter_mut().filter(|record| record.key == key) {
            record.value = None;
        }
        let end = records.len() as u64;
        // Whoever reads on is told that the history is gone.
        records.push(Record {
            key: "another".to_owned(),
            value: Some(b"{}".to_vec().into()),
        });
        state.first.insert(name(topic), end + 1);
    }

    /// Forgets the history of every topic, but for some records at its end; the newest of each key stays.
    pub(crate) fn forget(&self, but: usize) {
        let mut state = self.state();
        let topics = state.topics.iter();
        let first = topics.map(|(topic, records)| {
            let first = records.len().saturating_sub(but);
            (topic.clone(), first as u64)
        });
        state.first = first.collect();
    }

    /// Returns a page without the records that no store's answer could carry.
    fn page(records: Vec<Record>, next: u64, end: u64) -> Page {
        let is_lost = |record: &Record| record.value.as_deref() == Some(LOST_VALUE);
        let (lost, records): (Vec<Record>, Vec<Record>) = records.into_iter().partition(is_lost);
        let rejected = lost
            .iter()
            .map(|record| Rejected::record(record, Fault::Value));
        Page {
            records,
            rejected: rejected.collect(),
            next,
            end,
        }
    }

    /// Has the store refuse appends to one partition of the jobs.
    pub(crate) fn refuse(&self, partition: u16) {
        self.state().refused.push(name(Topic::Jobs(partition)));
    }

    /// Has the store give no answer to who reads a topic, for some time.
    pub(crate) fn hold_back(&self, topic: Topic, time: Duration) {
        let until = Instant::now() + time;
        self.state().held_back.insert(name(topic), until);
    }

    /// Has the store take a time for each reading of a topic.
    pub(crate) fn delay(&self, topic: Topic, time: Duration) {
        self.state().delayed.insert(name(topic), time);
    }

    async fn wait_for(&self, topic: Topic) {
        let time = self.state().delayed.get(&name(topic)).copied();
        sleep(time.unwrap_or_default()).await;
    }

    /// Returns the newest record under a key of a partition of the jobs.
    pub(crate) fn newest_job(&self, partition: u16, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        let records = state.topics.get(&name(Topic::Jobs(partition)));
        let mut own = records.into_iter().flatten().rev();
        own.find(|record| record.key == key)?
            .value
            .as_ref()
            .map(|value| value.to_vec())
    }

    /// Returns how many orders to start this machine has given.
    pub(crate) fn ordered(&self) -> usize {
        self.ordered.load(Ordering::Relaxed)
    }

    fn mode(&self) -> Mode {
        let own = *self.own.lock().unwrap();
        own.unwrap_or_else(|| self.state().mode)
    }

    /// Returns how often each task was started.
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

    /// Has the store give so many records at a call that reads on.
    pub(crate) fn give_at_most(&self, count: usize) {
        self.state().most_given = Some(count);
    }

    /// Has the store give so many of the newest records at a call.
    pub(crate) fn give_newest_by(&self, count: usize) {
        self.state().most_newest = Some(count);
    }

    pub(crate) fn appends(&self) -> usize {
        self.state().appends
    }

    /// Returns how often the jobs' partitions were read on.
    pub(crate) fn job_reads(&self) -> usize {
        self.state().job_reads
    }

    /// Returns the node that owns the cell by the newest claim.
    pub(crate) fn owner(&self) -> Option<String> {
        let state = self.state();
        let claims = state.topics.get(&name(Topic::Claims))?.iter().rev();
        let mut claims = claims.filter_map(|record| record.value.as_ref());
        // Other writers' records are among them in some tests.
        let claim: Claim = claims.find_map(|value| record::decode(value).ok())?;
        (!claim.released).then(|| claim.node.to_string())
    }

    /// Puts a claim on record that no node of the test has made.
    pub(crate) fn claim(&self, claim: &Claim) {
        let value = record::encode(claim).unwrap();
        self.write(Topic::Claims, "owner", &value);
    }

    /// Returns all claims on record, in order.
    pub(crate) fn claims(&self) -> Vec<Claim> {
        let state = self.state();
        let records = state.topics.get(&name(Topic::Claims)).into_iter().flatten();
        let values = records.filter_map(|record| record.value.as_ref());
        values.map(|value| record::decode(value).unwrap()).collect()
    }

    /// Returns the claims among the records of their topic, in order.
    pub(crate) fn owned(&self) -> Vec<Claim> {
        let state = self.state();
        let records = state.topics.get(&name(Topic::Claims)).into_iter().flatten();
        let values = records.filter_map(|record| record.value.as_ref());
        values
            .filter_map(|value| record::decode(value).ok())
            .collect()
    }

    /// Returns whether the store keeps a record under a key in any topic.
    pub(crate) fn keeps(&self, key: &str) -> bool {
        let state = self.state();
        let mut records = state.topics.values().flatten();
        records.any(|record| record.key == key)
    }

    /// Has the store lose the next answers to readings of the newest records of each topic.
    pub(crate) fn lose_readings(&self, count: u32) {
        let mut state = self.state();
        state.lost_readings = count;
        state.readings.clear();
    }

    /// Gives no answer to the first readings of a topic, where these are to be lost.
    async fn check_lost(&self, topic: Topic) -> Result<(), Error> {
        let is_lost = {
            let mut state = self.state();
            let lost = state.lost_readings;
            let count = state.readings.entry(name(topic)).or_default();
            *count += 1;
            *count <= lost
        };
        if !is_lost {
            return Ok(());
        }
        sleep(RUNS_OUT).await;
        Err(Error::Unanswered)
    }

    /// Gives no answer about a topic that is held back.
    async fn check_held_back(&self, topic: Topic) -> Result<(), Error> {
        let until = self.state().held_back.get(&name(topic)).copied();
        if until.is_none_or(|until| Instant::now() >= until) {
            return Ok(());
        }
        sleep(RUNS_OUT).await;
        Err(Error::Unanswered)
    }

    async fn answer(&self) -> Result<(), Error> {
        let mode = self.mode();
        match mode {
            Mode::Well | Mode::Losing => {
                sleep(CALL).await;
                Ok(())
            }
            Mode::Slow => {
                sleep(SLOW).await;
                Ok(())
            }
            Mode::Refusing => Err(Error::Refused("unavailable")),
            Mode::Mute => {
                sleep(LOST).await;
                Err(Error::Unanswered)
            }
            Mode::Silent => {
                sleep(RUNS_OUT).await;
                self.run_out.fetch_add(1, Ordering::Relaxed);
                Err(Error::Unanswered)
            }
        }
    }

    fn carry_out(&self, append: Append) -> Result<u64, Error> {
        let mut state = self.state();
        state.appends += 1;
        let place = name(append.topic);
        let end = state.topics.entry(place.clone()).or_default().len() as u64;
        match append.condition {
            Condition::None => {}
            Condition::EndsAt(at) if at == end => {}
            Condition::EndsAt(_) => return Err(Error::Moved { end }),
            Condition::Writer { epoch, sequence } => {
                if epoch.0 < state.fence {
                    return Err(Error::Fenced);
                }
                state.fence = epoch.0;
                if let Some((writer, last, at)) = state.written
                    && (writer, last) == (epoch.0, sequence)
                {
                    return Ok(at);
                }
                state.written = Some((epoch.0, sequence, end + append.records.len() as u64));
            }
        }
        let topic = state.topics.entry(place).or_default();
        topic.extend(append.records);
        Ok(topic.len() as u64)
    }
}

fn name(topic: Topic) -> String {
    format!("{topic:?}")
}

impl Platform for Fake {
    async fn append(&self, append: Append) -> Result<u64, Error> {
        if self.state().refused.contains(&name(append.topic)) {
            return Err(Error::Refused("unavailable"));
        }
        let mode = self.mode();
        match mode {
            Mode::Refusing | Mode::Silent => self.answer().await.map(|()| 0),
            Mode::Mute => {
                // What it gives back is lost with the answer.
                let _ = self.carry_out(append);
                self.answer().await.map(|()| 0)
            }
            Mode::Well | Mode::Slow => {
                self.answer().await?;
                self.carry_out(append)
            }
            Mode::Losing => {
                self.answer().await?;
                let topic = name(append.topic);
                let result = self.carry_out(append);
                let count = {
                    let mut state = self.state();
                    let count = state.lost.entry(topic).or_default();
                    *count += 1;
                    *count
                };
                if count.is_multiple_of(2) {
                    return result;
                }
                sleep(NEVER).await;
                Err(Error::Unanswered)
            }
        }
    }

    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, Error> {
        let until = Instant::now() + wait;
        self.note_read(topic);
        self.check_held_back(topic).await?;
        if matches!(topic, Topic::Jobs(_)) {
            self.state().job_reads += 1;
        }
        if matches!(topic, Topic::Workers) {
            self.state().report_workers();
        }
        loop {
            self.wait_for(topic).await;
            self.answer().await?;
            let (records, end): (Vec<Record>, u64) = {
                let state = self.state();
                let first = state.first.get(&name(topic)).copied().unwrap_or(0);
                if from < first {
                    return Err(Error::Forgotten { first });
                }
                let records = state.topics.get(&name(topic));
                let end = records.map_or(0, |records| records.len() as u64);
                let skipped = usize::try_from(from).unwrap();
                let rest = records.into_iter().flatten().skip(skipped);
                let most = state.most_given.unwrap_or(usize::MAX);
                (rest.take(most).cloned().collect(), end)
            };
            if !records.is_empty() || Instant::now() >= until {
                let next = from + records.len() as u64;
                return Ok(Self::page(records, next, end));
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn newest(&self, topic: Topic) -> Result<Page, Error> {
        self.note_read(topic);
        self.check_lost(topic).await?;
        self.check_held_back(topic).await?;
        self.wait_for(topic).await;
        self.answer().await?;
        let state = self.state();
        let records = state.topics.get(&name(topic)).cloned().unwrap_or_default();
        let next = records.len() as u64;
        let newest: BTreeMap<String, Record> = records
            .into_iter()
            .map(|record| (record.key.clone(), record))
            .collect();
        let records = newest.into_values();
        let records = records.filter(|record| record.value.is_some());
        Ok(Self::page(records.collect(), next, next))
    }

    async fn newest_after(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<(Page, Option<String>), Error> {
        let mut page = self.newest(topic).await?;
        page.records
            .retain(|record| after.is_none_or(|after| record.key.as_str() > after));
        let most = self.state().most_newest.unwrap_or(usize::MAX);
        let has_more = page.records.len() > most;
        page.records.truncate(most);
        let last = page.records.last().map(|record| record.key.clone());
        Ok((page, last.filter(|_| has_more)))
    }

    fn reconnect(&self) {}

    async fn start(&self, order: Start) -> StartAnswer {
        sleep(CALL).await;
        self.ordered.fetch_add(1, Ordering::Relaxed);
        let mut state = self.state();
        state.starts.push((order.task, Instant::now()));
        let host = state.workers.entry(order.to.worker).or_default();
        let ends = Instant::now() + RUNS;
        host.running.insert(order.task, (order.run, ends));
        StartAnswer::Started
    }

    async fn stop(&self, order: Stop) -> StopAnswer {
        sleep(CALL).await;
        let mut state = self.state();
        let host = state.workers.entry(order.to.worker).or_default();
        host.running.remove(&order.task);
        StopAnswer::Confirmed
    }

    async fn pace(&self, _: Pace) -> StopAnswer {
        StopAnswer::Confirmed
    }

    async fn hold(&self, order: Hold) -> HoldAnswer {
        let until = Instant::now() + order.wait;
        loop {
            sleep(CALL).await;
            let now = Instant::now();
            let mut state = self.state();
            let host = state.workers.entry(order.to.worker.clone()).or_default();
            host.ended.retain(|end| end.serial > order.acknowledged);
            let over = host.running.iter().filter(|(_, (_, ends))| *ends <= now);
            let over: Vec<(TaskId, Run)> = over.map(|(task, (run, _))| (*task, *run)).collect();
            for (task, run) in over {
                host.running.remove(&task);
                host.serial += 1;
                let serial = host.serial;
                host.ended.push(Ended {
                    serial,
                    task,
                    run,
                    how: How::Done,
                    checkpoint: None,
                });
            }
            if !host.ended.is_empty() || now >= until {
                let running = host.running.iter().map(|(task, (run, _))| Running {
                    task: *task,
                    run: *run,
                    checkpoint: None,
                    load: 0,
                });
                return HoldAnswer::Listed(Inventory {
                    incarnation: None,
                    clock: 1,
                    running: running.collect(),
                    ended: host.ended.clone(),
                });
            }
        }
    }

    async fn advise(&self, _: StepId, _: Vec<WorkerId>, _: Duration) -> Option<Vec<Advised>> {
        None
    }

    fn suspended(&self) -> Duration {
        *self.suspended.lock().unwrap()
    }

    fn configuration(&self, record: &Record) -> Result<Option<Config>, Fault> {
        let (version, pool) = match (record.key.as_str(), record.value.as_deref()) {
            ("config", Some(b"1")) => (1, "p"),
            ("config", Some(b"2")) => (2, "elsewhere"),
            ("config", Some(value)) if value.starts_with(KEYS) => (version(value), "p"),
            ("config", _) => return Err(Fault::Form),
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
        config.directory = value.strip_prefix(KEYS).map(directory);
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
            Some(_) => Err(Fault::Form),
        }
    }

    fn registration(
        &self,
        record: &Record,
        pools: &BTreeSet<PoolName>,
    ) -> Result<Registration, Fault> {
        let pool = match record.value.as_deref() {
            Some(b"here") => PoolName::from("p"),
            Some(b"elsewhere") => PoolName::from("elsewhere"),
            _ => return Err(Fault::Form),
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
