//! The platform's store: a log with keyed topics.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Answer, Request};

/// How long an append takes.
const APPEND_TIME: Duration = Duration::from_millis(3);
/// The most records in one answer of `log-newest`.
const NEWEST_PAGE: usize = 500;
/// The most bytes in one answer of `log-read` and `log-newest`.
const PAGE_BYTES: usize = 1 << 20;
/// The largest record and the largest call, in bytes.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// How many of its last appends a producer may repeat.
const REPEATS: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// The offset of the newest record of each key that has a value.
    newest: BTreeMap<Vec<u8>, usize>,
    producers: BTreeMap<String, Producer>,
}

type Partitions = BTreeMap<(String, u64), Partition>;

#[derive(Default)]
struct State {
    partitions: Mutex<Partitions>,
    changed: Condvar,
    is_silent: AtomicBool,
}

/// A store that serves on a loopback port; cheap to clone.
#[derive(Clone)]
pub struct Store {
    state: Arc<State>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(State::default());
        let served = state.clone();
        let address = http::serve(10_000, move |request| served.answer(&request))?;
        Ok(Self { state, address })
    }

    /// Makes the store silent, or ends that. A channel on which an answer is lost returns nothing further; calls that
    /// arrive meanwhile are not carried out.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Appends a keyed record as another writer does: the operator, a worker.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut partitions = self.state.lock();
        let partition = partitions.entry((topic.to_owned(), 0)).or_default();
        partition.add(vec![record], true);
        self.state.changed.notify_all();
    }
}

impl Partition {
    fn add(&mut self, records: Vec<Vec<u8>>, is_keyed: bool) {
        for record in records {
            let offset = self.records.len();
            if is_keyed && let Some((key, value)) = split_key(&record) {
                match value.is_empty() {
                    true => self.newest.remove(key),
                    false => self.newest.insert(key.to_vec(), offset),
                };
            }
            self.records.push(record);
        }
    }
}

/// Splits a keyed record into its key and its value.
fn split_key(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(*length))
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Partitions> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, request: &Request) -> Answer {
        self.park_if_silent();
        let answer = self.carry_out(request);
        self.park_if_silent();
        answer
    }

    /// Never returns if the store is silent: the channel stays open and nothing further comes.
    fn park_if_silent(&self) {
        if !self.is_silent.load(Ordering::SeqCst) {
            return;
        }
        loop {
            thread::park();
        }
    }

    fn carry_out(&self, request: &Request) -> Answer {
        let (Some(topic), Some(part)) = (request.param("Topic"), request.number("part")) else {
            return Answer::json(400, "{}".to_owned());
        };
        let name = (topic.to_owned(), part);
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/fulmarpier/log-append") => self.append(name, request),
            ("GET", "/fulmarpier/log-read") => self.read(name, request),
            ("GET", "/fulmarpier/log-newest") => self.newest(name, request),
            _ => Answer::json(404, "{}".to_owned()),
        }
    }

    fn append(&self, name: (String, u64), request: &Request) -> Answer {
        if name.0 == "keyed.op" || name.0 == "keyed.servers" {
            return Answer::json(403, "{}".to_owned());
        }
        let Some(records) = split_records(&request.body) else {
            return Answer::json(400, "{}".to_owned());
        };
        let is_large = records.iter().any(|record| record.len() > RECORD_BYTES);
        if is_large || request.body.len() > CALL_BYTES {
            return Answer::json(400, "{}".to_owned());
        }
        thread::sleep(APPEND_TIME);
        let is_keyed = name.0.starts_with("keyed.");
        let mut partitions = self.lock();
        let partition = partitions.entry(name).or_default();
        let end = partition.records.len() as u64;
        if request.number("At").is_some_and(|at| at != end) {
            return Answer::json(412, format!("{{\"EndOffset\":{end}}}"));
        }
        let answer = format!(
            "{{\"Offset\":{end},\"EndOffset\":{}}}",
            end + records.len() as u64
        );
        let epoch = request.number("epoch").unwrap_or(0);
        let seq = request.number("Seq").unwrap_or(0);
        if let Some(producer) = request.param("Producer") {
            let producer = partition.producers.entry(producer.to_owned()).or_default();
            if epoch < producer.epoch {
                return Answer::json(409, "{\"Reason\":\"fenced\"}".to_owned());
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if records.is_empty() {
                return Answer::json(200, answer);
            }
            let repeated = producer.answers.iter().find(|(known, _)| *known == seq);
            if let Some((_, first)) = repeated {
                return Answer::json(200, first.clone());
            }
            if let Some(last) = producer.last.filter(|last| seq != *last + 1) {
                let expected = last + 1;
                return Answer::json(409, format!("{{\"Reason\":\"seq\",\"Seq\":{expected}}}"));
            }
            producer.last = Some(seq);
            producer.answers.push_back((seq, answer.clone()));
            if producer.answers.len() > REPEATS {
                producer.answers.pop_front();
            }
        }
        partition.add(records, is_keyed);
        self.changed.notify_all();
        Answer::json(200, answer)
    }

    fn read(&self, name: (String, u64), request: &Request) -> Answer {
        let from = request.number("From").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("WaitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut partitions = self.lock();
        loop {
            let partition = partitions.entry(name.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if partition.records.len() > from || left.is_zero() {
                let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for record in partition.records.iter().skip(from) {
                    if body.len() + record.len() > PAGE_BYTES {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Answer::Body(200, body);
            }
            let waited = self.changed.wait_timeout(partitions, left);
            partitions = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, name: (String, u64), request: &Request) -> Answer {
        let after = request.param("After").unwrap_or("").as_bytes().to_vec();
        let mut partitions = self.lock();
        let partition = partitions.entry(name).or_default();
        let mut items = Vec::new();
        let mut size = 0;
        let mut has_more = false;
        for (key, offset) in &partition.newest {
            if *key <= after {
                continue;
            }
            let record = &partition.records[*offset];
            if items.len() == NEWEST_PAGE || size + record.len() > PAGE_BYTES {
                has_more = true;
                break;
            }
            size += record.len();
            let value = split_key(record).map_or(&[][..], |(_, value)| value);
            items.push(format!(
                "{{\"Key\":{},\"Value\":\"{}\",\"Offset\":{offset}}}",
                crate::json::quote(&String::from_utf8_lossy(key)),
                base64(value)
            ));
        }
        let end = partition.records.len();
        let items = items.join(",");
        Answer::json(
            200,
            format!("{{\"items\":[{items}],\"HasMore\":{has_more},\"EndOffset\":{end}}}"),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) & 63;
            match digit <= chunk.len() {
                true => text.push(DIGITS[index as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
