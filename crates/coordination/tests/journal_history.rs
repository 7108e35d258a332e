//! Random histories of writers, answers and takeovers against the promises of the journal.
//!
//! The log of these tests may lose answers with or without their effect, land appends late and
//! twice, refuse, go down, give stale pages and drop records that no replay needs.

#[path = "support/accepted.rs"]
mod accepted;
#[path = "support/cases.rs"]
mod cases;
#[path = "support/history.rs"]
mod history;
#[path = "support/job.rs"]
mod job;
#[path = "support/stream.rs"]
mod stream;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_coordination::{
    journal::{
        Effect,
        Fold,
        Journal,
        Opening,
        Record,
        Refused,
        Settings,
        Standing,
        Token,
        Urgency,
        Withdrawn, //
    },
    platform::log,
    recovery::Image, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        JobId,
        NodeId,
        Offset, //
    },
};
use proptest::prelude::*;

use accepted::accepted;
use cases::config;
use stream::Stream;

/// How a call to the log ends.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// As it should.
    Whole,
    /// Done, but the answer is lost.
    Lost,
    /// The call itself is lost.
    LostBefore,
    /// The answer is lost and the append lands later.
    Late,
    /// The answer is lost and the append lands later, twice.
    Twice,
    /// The log is down.
    Down,
    /// The log finds the append too large.
    Refused,
    /// A read is answered as of the time when it was asked.
    Stale,
}

#[derive(Clone, Debug)]
enum Op {
    Push(usize),
    Withdraw(usize, usize),
    Answer(usize, Answer),
    Land(usize),
    Takeover,
    Crash(usize),
    Wait(u64),
    Truncate,
}

enum Stage {
    Opening(Box<Opening>),
    Open(Box<Journal>),
    Down,
}

enum Call {
    Append(Vec<Bytes>),
    Read(log::Read, u64),
}

struct Writer {
    stage: Stage,
    call: Option<Call>,
    pushed: Vec<Token>,
    acked: Vec<Token>,
    fenced: bool,
}

impl Writer {
    fn poll(&mut self, now: Timestamp) -> Option<Effect> {
        match &mut self.stage {
            Stage::Opening(opening) => opening.poll(now),
            Stage::Open(journal) => journal.poll(now),
            Stage::Down => None,
        }
    }

    fn appended(&mut self, result: Result<Offset, log::Error>, now: Timestamp) {
        match (&mut self.stage, result) {
            (Stage::Opening(opening), Ok(first)) => opening.appended(first, now),
            (Stage::Open(journal), Ok(first)) => journal.appended(first, now),
            (Stage::Opening(opening), Err(error)) => opening.failed(&error, now),
            (Stage::Open(journal), Err(error)) => journal.failed(&error, now),
            (Stage::Down, _) => {}
        }
    }

    fn on_page(&mut self, result: Result<log::Page, log::Error>, now: Timestamp) {
        match (&mut self.stage, result) {
            (Stage::Opening(opening), Ok(page)) => opening.on_page(&page, now),
            (Stage::Open(journal), Ok(page)) => journal.on_page(&page, now),
            (Stage::Opening(opening), Err(error)) => opening.failed(&error, now),
            (Stage::Open(journal), Err(error)) => journal.failed(&error, now),
            (Stage::Down, _) => {}
        }
    }
}

#[derive(Default)]
struct World {
    now: Timestamp,
    log: Stream,
    late: Vec<Vec<Bytes>>,
    writers: Vec<Writer>,
    tokens: u64,
    acked: BTreeSet<Token>,
    never: BTreeSet<Token>,
}

/// Caps so small that a few records fill an append, a queue or a snapshot.
fn settings() -> Settings {
    Settings {
        record: 700,
        append: 1_500,
        pending: 6_000,
        snapshot_records: 6,
        ..Settings::default()
    }
}

impl World {
    fn takeover(&mut self) {
        let number = u32::try_from(self.writers.len()).expect("few writers");
        let epoch = Epoch(10 + u64::from(number));
        let opening = Opening::new(
            Stream::name(),
            NodeId(number),
            epoch,
            settings(),
            epoch.get(),
        );
        self.writers.push(Writer {
            stage: Stage::Opening(Box::new(opening)),
            call: None,
            pushed: Vec::new(),
            acked: Vec::new(),
            fenced: false,
        });
    }

    /// Carries out what a writer asks for until it waits.
    fn run(&mut self, w: usize) {
        while let Some(effect) = self.writers[w].poll(self.now) {
            self.effect(w, effect);
        }
        if let Stage::Opening(_) = self.writers[w].stage {
            self.finish(w);
        }
    }

    /// Turns an opening that is done into a journal.
    fn finish(&mut self, w: usize) {
        let stage = std::mem::replace(&mut self.writers[w].stage, Stage::Down);
        let Stage::Opening(opening) = stage else {
            return;
        };
        self.writers[w].stage = match opening.finish(self.now) {
            Ok(opened) => {
                assert!(opened.complete, "a replay missed something");
                check_image(&self.log, opened.journal.image());
                Stage::Open(Box::new(opened.journal))
            }
            Err(opening) => Stage::Opening(opening),
        };
    }

    fn effect(&mut self, w: usize, effect: Effect) {
        let end = self.log.end();
        let writer = &mut self.writers[w];
        match effect {
            Effect::Append(append) => {
                let before = writer.call.replace(Call::Append(append.records));
                assert!(before.is_none(), "two calls in flight");
            }
            Effect::Read(read) => {
                let before = writer.call.replace(Call::Read(read, end));
                assert!(before.is_none(), "two calls in flight");
            }
            Effect::Commit(tokens) => self.commit(w, tokens),
            Effect::Rejected(token) => {
                self.never.insert(token);
            }
            Effect::Fenced(fence) => {
                writer.fenced = true;
                self.commit(w, fence.kept);
                self.never.extend(fence.dropped);
            }
        }
    }

    fn commit(&mut self, w: usize, tokens: Vec<Token>) {
        for token in tokens {
            assert!(self.acked.insert(token), "{token} was committed twice");
            self.writers[w].acked.push(token);
        }
    }

    fn push(&mut self, w: usize) {
        let token = Token(self.tokens);
        let Stage::Open(journal) = &mut self.writers[w].stage else {
            return;
        };
        let record = accepted(token.0, self.now);
        match journal.push(record, Some(token), Urgency::Urgent, self.now) {
            Ok(()) => {
                self.tokens += 1;
                self.writers[w].pushed.push(token);
            }
            Err(Refused::Full { .. } | Refused::Closed) => {}
            Err(error) => panic!("unexpected refusal: {error}"),
        }
    }

    fn withdraw(&mut self, w: usize, pick: usize) {
        let writer = &mut self.writers[w];
        let Stage::Open(journal) = &mut writer.stage else {
            return;
        };
        let Some(place) = pick.checked_rem(writer.pushed.len()) else {
            return;
        };
        let token = writer.pushed[place];
        if journal.withdraw(token) == Withdrawn::Removed {
            writer.pushed.remove(place);
            self.never.insert(token);
        }
    }

    fn answer(&mut self, w: usize, answer: Answer) {
        let now = self.now;
        match self.writers[w].call.take() {
            Some(Call::Append(records)) => {
                let result = self.append(records, answer);
                self.writers[w].appended(result, now);
            }
            Some(Call::Read(read, end)) => {
                let result = self.read(&read, end, answer);
                self.writers[w].on_page(result, now);
            }
            None => {}
        }
    }

    fn append(&mut self, records: Vec<Bytes>, answer: Answer) -> Result<Offset, log::Error> {
        match answer {
            Answer::Whole | Answer::Stale => return Ok(self.log.append(&records)),
            Answer::Lost => {
                self.log.append(&records);
            }
            Answer::LostBefore => {}
            Answer::Late => self.late.push(records),
            Answer::Twice => {
                self.late.push(records.clone());
                self.late.push(records);
            }
            Answer::Down => return Err(down()),
            Answer::Refused => {
                let reason = "too large".to_owned();
                return Err(log::Error::Refused { reason });
            }
        }
        Err(log::Error::Unknown)
    }

    fn read(&self, read: &log::Read, end: u64, answer: Answer) -> Result<log::Page, log::Error> {
        match answer {
            Answer::Whole => self.log.read(read, self.log.end()),
            Answer::Stale => self.log.read(read, end),
            Answer::Down | Answer::Refused => Err(down()),
            _ => Err(log::Error::Unknown),
        }
    }

    fn apply(&mut self, op: &Op) {
        let count = self.writers.len();
        match *op {
            Op::Push(w) => self.push(w % count),
            Op::Withdraw(w, pick) => self.withdraw(w % count, pick),
            Op::Answer(w, answer) => self.answer(w % count, answer),
            Op::Land(i) if !self.late.is_empty() => {
                let records = self.late.remove(i % self.late.len());
                self.log.append(&records);
            }
            Op::Land(_) => {}
            Op::Takeover => self.takeover(),
            Op::Crash(w) => {
                self.writers[w % count].stage = Stage::Down;
                self.writers[w % count].call = None;
            }
            Op::Wait(millis) => self.now = self.now + Duration::from_millis(millis),
            Op::Truncate => self.truncate(),
        }
        for w in 0..self.writers.len() {
            self.run(w);
        }
    }

    /// Drops what no replay needs: everything in front of the latest base.
    fn truncate(&mut self) {
        let base = self.log.base().map_or(0, |base| base.0);
        let base = usize::try_from(base).expect("a small stream");
        self.log.truncate_to(base);
    }

    /// Lets everything under way land, then takes the shard over without faults.
    fn calm(&mut self) {
        for records in std::mem::take(&mut self.late) {
            self.log.append(&records);
        }
        self.takeover();
        let last = self.writers.len() - 1;
        for _ in 0..60 {
            self.apply(&Op::Wait(3_000));
            for w in 0..=last {
                self.apply(&Op::Answer(w, Answer::Whole));
            }
            if self.writers[last].pushed.len() < 3 {
                self.push(last);
            }
        }
        let writer = &self.writers[last];
        assert!(!writer.fenced, "the last owner was fenced");
        assert_eq!(writer.acked.len(), 3, "the last owner is stuck");
    }

    /// Checks every promise against a fold over the whole history of the stream.
    fn check(&self) {
        let mut fold = Fold::default();
        let mut counted: BTreeMap<JobId, u32> = BTreeMap::new();
        for envelope in self.log.envelopes() {
            let counts = fold.apply(&envelope) == Standing::Counted;
            if let (true, Record::Accepted { job, .. }) = (counts, &envelope.record) {
                *counted.entry(*job).or_default() += 1;
            }
        }
        let count = |token: &Token| {
            let job = JobId::from_u128(u128::from(token.0));
            counted.get(&job).copied().unwrap_or(0)
        };
        for token in &self.acked {
            assert_eq!(count(token), 1, "{token} was committed");
        }
        for token in &self.never {
            assert_eq!(count(token), 0, "{token} was given up");
        }
        assert!(counted.values().all(|n| *n == 1), "counted twice");
        for writer in &self.writers {
            assert!(writer.acked.is_sorted(), "out of order: {:?}", writer.acked);
        }
    }

    /// Checks that the last owner's own fold and a replay from its base are the whole history's.
    fn check_last(&self) {
        let Some(Stage::Open(journal)) = self.writers.last().map(|writer| &writer.stage) else {
            panic!("the last owner never opened");
        };
        check_image(&self.log, journal.image());
        self.log.check_replay();
    }
}

/// Checks an image against a fold over the whole history up to its own position.
fn check_image(log: &Stream, image: &Image) {
    let mut fold = Fold::default();
    let found = log.envelopes().any(|envelope| {
        fold.apply(&envelope);
        fold.image() == image
    });
    assert!(found, "the image matches no position of the history");
}

fn down() -> log::Error {
    log::Error::Unavailable {
        reason: "down".to_owned(),
    }
}

fn answers() -> impl Strategy<Value = Answer> {
    prop_oneof![
        12 => Just(Answer::Whole),
        2 => Just(Answer::Lost),
        1 => Just(Answer::LostBefore),
        2 => Just(Answer::Late),
        1 => Just(Answer::Twice),
        1 => Just(Answer::Down),
        1 => Just(Answer::Refused),
        1 => Just(Answer::Stale),
    ]
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        6 => (0..3usize).prop_map(Op::Push),
        1 => (0..3usize, any::<usize>()).prop_map(|(w, pick)| Op::Withdraw(w, pick)),
        12 => (0..3usize, answers()).prop_map(|(w, answer)| Op::Answer(w, answer)),
        2 => (0..8usize).prop_map(Op::Land),
        1 => Just(Op::Takeover),
        1 => (0..3usize).prop_map(Op::Crash),
        5 => (10..60u64).prop_map(Op::Wait),
        1 => Just(Op::Wait(3_000)),
        1 => Just(Op::Truncate),
    ];
    proptest::collection::vec(op, 1..150)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn committed_records_count_once_in_every_fold(ops in ops()) {
        let mut world = World::default();
        world.takeover();
        for op in &ops {
            world.apply(op);
        }
        world.check();
        world.calm();
        world.check();
        world.check_last();
    }
}
