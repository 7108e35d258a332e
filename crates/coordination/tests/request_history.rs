//! Random histories of owners, gates, callers and log outages: no key is sent twice, and what is
//! said to be not run was not run.

#[path = "support/cases.rs"]
mod cases;
#[path = "support/keys.rs"]
mod keys;
#[path = "support/owner.rs"]
mod owner;
#[path = "support/stream.rs"]
mod stream;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_coordination::{
    journal::{
        self,
        Effect,
        Journal,
        Record,
        Token,
        Urgency,
        Withdrawn, //
    },
    platform::log,
    request::{
        Ask,
        Claim,
        Digest,
        Granted,
        Key,
        Ledger,
        Outage,
        Settings,
        Ticket,
        Verdict, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::Epoch,
    refusal::Outcome, //
};
use proptest::prelude::*;

use cases::config;
use owner::open;
use stream::Stream;

const START: Timestamp = Timestamp::from_millis(10_000_000);
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
enum Op {
    /// A caller makes a key, by its own clock, and asks.
    New {
        ahead: i64,
        timed: bool,
    },
    /// A caller asks again.
    Again(usize),
    /// A gate sends what it was granted.
    Send(usize),
    /// A gate reports on a grant: whether it ran, or that nothing was sent.
    Report(usize, bool),
    Log(Log),
    Wait(u64),
    /// The owner dies and another takes over once the log allows it.
    Die {
        clock: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Log {
    Up,
    Down,
    /// The next append takes effect, but its answer is lost.
    Lossy,
}

struct Grant {
    key: Key,
    ticket: Ticket,
    deadline: Timestamp,
    sent: bool,
}

struct Owner {
    journal: Journal,
    ledger: Ledger,
    waiting: BTreeMap<Token, (Key, Ticket)>,
    tokens: u64,
    /// How far its clock is ahead of true time.
    clock: Duration,
}

struct World {
    now: Timestamp,
    settings: Settings,
    log: Log,
    stream: Stream,
    owner: Option<Owner>,
    epoch: u64,
    keys: Vec<Key>,
    grants: Vec<Grant>,
    sent: BTreeMap<Key, u32>,
    ran: BTreeMap<Key, bool>,
}

impl World {
    fn new(outage: Outage) -> Self {
        let settings = Settings {
            count: 12,
            age: Duration::from_secs(900),
            ..Settings::default()
        };
        let mut world = Self {
            now: START,
            settings: settings.outage(outage),
            log: Log::Up,
            stream: Stream::default(),
            owner: None,
            epoch: 10,
            keys: Vec::new(),
            grants: Vec::new(),
            sent: BTreeMap::new(),
            ran: BTreeMap::new(),
        };
        world.take_over(0);
        world
    }

    fn take_over(&mut self, clock: u64) {
        let clock = Duration::from_millis(clock);
        let now = self.now + clock;
        self.epoch += 1;
        let settings = journal::Settings {
            blind: self.settings.outage == Outage::Fresh,
            ..journal::Settings::default()
        };
        let opened = open(&mut self.stream, self.epoch, &settings, now);
        let claim = Claim {
            epoch: Epoch(self.epoch),
            at: now,
            complete: opened.complete,
        };
        let image = opened.journal.image();
        let (ledger, records) = Ledger::new(self.settings.clone(), image, claim, now);
        let mut owner = Owner {
            journal: opened.journal,
            ledger,
            waiting: BTreeMap::new(),
            tokens: 0,
            clock,
        };
        for record in records {
            owner.keep(record, now);
        }
        self.owner = Some(owner);
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::New { ahead, timed } => self.ask_new(ahead, timed),
            Op::Again(i) if !self.keys.is_empty() => {
                let key = self.keys[i % self.keys.len()].clone();
                self.ask(&key);
            }
            Op::Again(_) => {}
            Op::Send(i) => self.send(i),
            Op::Report(i, ran) => self.report(i, ran),
            Op::Log(log) => self.log = log,
            Op::Wait(millis) => self.now = self.now + Duration::from_millis(millis),
            Op::Die { clock } => self.die(clock),
        }
        self.run();
    }

    /// The owner dies; nobody can claim the shard before the log is up.
    fn die(&mut self, clock: u64) {
        self.owner = None;
        self.now = self.now + Duration::from_secs(3);
        if self.log == Log::Down {
            self.now = self.now + Duration::from_secs(60);
            self.log = Log::Up;
        }
        self.take_over(clock);
    }

    fn ask_new(&mut self, ahead: i64, timed: bool) {
        let number = self.keys.len() as u64;
        let span = Duration::from_secs(ahead.unsigned_abs());
        let at = match ahead >= 0 {
            true => self.now + span,
            false => self.now.saturating_sub(span),
        };
        let key = match timed {
            true => keys::timed(number, at),
            false => keys::opaque(number),
        };
        self.keys.push(key.clone());
        self.ask(&key);
    }

    fn ask(&mut self, key: &Key) {
        let now = self.now;
        let Some(owner) = &mut self.owner else {
            return;
        };
        let own = now + owner.clock;
        let ask = Ask {
            key: key.clone(),
            digest: Digest([7; 32]),
            nonce: 7,
            target: None,
            service: "desk".parse().expect("a name"),
            deadline: own + PATIENCE,
        };
        let verdict = owner.ledger.begin(&ask, owner.journal.down_since(), own);
        match verdict {
            Verdict::Journal(ticket) => {
                let intent = owner.ledger.intent(key).expect("an intent");
                if !owner.intend(intent, key, ticket, own) {
                    owner.ledger.cancel(key, ticket, own);
                    self.told(key, Outcome::NotRun);
                }
            }
            Verdict::Send(ticket) => {
                let intent = owner.ledger.intent(key).expect("an intent");
                owner.keep(intent, own);
                self.grant(key, ticket);
            }
            Verdict::Replay(_) => self.told(key, Outcome::Ran),
            Verdict::Refuse(refusal) => self.told(key, refusal.outcome),
        }
    }

    fn grant(&mut self, key: &Key, ticket: Ticket) {
        self.grants.push(Grant {
            key: key.clone(),
            ticket,
            deadline: self.now + PATIENCE,
            sent: false,
        });
    }

    /// A caller is told an outcome, which must be true of its key.
    fn told(&self, key: &Key, outcome: Outcome) {
        let sent = self.sent.contains_key(key);
        let may_leave = |g: &Grant| g.key == *key && !g.sent && g.deadline > self.now;
        let may_leave = self.grants.iter().any(may_leave);
        match outcome {
            Outcome::NotRun => assert!(!sent && !may_leave, "{key} was or may be sent"),
            Outcome::Ran => assert!(self.ran.get(key) == Some(&true), "{key} has not run"),
            Outcome::Unknown => {}
        }
    }

    fn send(&mut self, i: usize) {
        let now = self.now;
        let Some(place) = i.checked_rem(self.grants.len()) else {
            return;
        };
        let grant = &mut self.grants[place];
        if grant.sent || grant.deadline <= now {
            return;
        }
        grant.sent = true;
        let count = self.sent.entry(grant.key.clone()).or_default();
        *count += 1;
        assert_eq!(*count, 1, "{} was sent twice", grant.key);
    }

    fn report(&mut self, i: usize, ran: bool) {
        let Some(place) = i.checked_rem(self.grants.len()) else {
            return;
        };
        let grant = self.grants.remove(place);
        let outcome = match (grant.sent, ran) {
            (false, _) => Outcome::NotRun,
            (true, true) => Outcome::Ran,
            (true, false) => Outcome::Unknown,
        };
        if outcome == Outcome::Ran {
            self.ran.insert(grant.key.clone(), true);
        }
        let Some(owner) = &mut self.owner else {
            return;
        };
        let own = self.now + owner.clock;
        let record = owner
            .ledger
            .finish(&grant.key, grant.ticket, outcome, None, own);
        if let Some(record) = record {
            owner.keep(record, own);
        }
    }

    /// Lets the owner do what is due.
    fn run(&mut self) {
        let Some(mut owner) = self.owner.take() else {
            return;
        };
        let own = self.now + owner.clock;
        let due = owner.ledger.expire(own);
        for record in due.records {
            owner.keep(record, own);
        }
        for (key, ticket) in due.late {
            owner.give_up(&key, ticket, own);
            self.told(&key, Outcome::NotRun);
        }
        while let Some(effect) = owner.journal.poll(own) {
            match effect {
                Effect::Append(append) => {
                    let result = self.append(&append);
                    match result {
                        Ok(first) => owner.journal.appended(first, own),
                        Err(error) => owner.journal.failed(&error, own),
                    }
                }
                Effect::Read(read) => match self.log {
                    Log::Down => owner.journal.failed(&down(), own),
                    _ => {
                        let page = self.stream.read(&read, self.stream.end());
                        owner.journal.on_page(&page.expect("a page"), own);
                    }
                },
                Effect::Commit(tokens) => self.committed(&mut owner, &tokens, own),
                other => panic!("unexpected: {other:?}"),
            }
        }
        self.owner = Some(owner);
    }

    fn append(&mut self, append: &log::Append) -> Result<fulmarpier_state::id::Offset, log::Error> {
        match self.log {
            Log::Up => Ok(self.stream.append(&append.records)),
            Log::Down => Err(down()),
            Log::Lossy => {
                self.log = Log::Up;
                self.stream.append(&append.records);
                Err(log::Error::Unknown)
            }
        }
    }

    fn committed(&mut self, owner: &mut Owner, tokens: &[Token], own: Timestamp) {
        for token in tokens {
            let Some((key, ticket)) = owner.waiting.remove(token) else {
                continue;
            };
            match owner.ledger.committed(&key, ticket, own) {
                Granted::Send => self.grant(&key, ticket),
                Granted::Late(record) => {
                    owner.keep(record, own);
                    self.told(&key, Outcome::NotRun);
                }
                Granted::Absent => {}
            }
        }
    }
}

impl Owner {
    fn keep(&mut self, record: Record, now: Timestamp) {
        // A full journal drops it, as the runtime does.
        let _ = self.journal.push(record, None, Urgency::Lazy, now);
    }

    fn intend(&mut self, record: Record, key: &Key, ticket: Ticket, now: Timestamp) -> bool {
        let token = Token(self.tokens);
        self.tokens += 1;
        let pushed = self
            .journal
            .push(record, Some(token), Urgency::Urgent, now)
            .is_ok();
        if pushed {
            self.waiting.insert(token, (key.clone(), ticket));
        }
        pushed
    }

    /// Gives up an intent that is not kept in time.
    fn give_up(&mut self, key: &Key, ticket: Ticket, now: Timestamp) {
        let same = |(_, waiting): &(&Token, &(Key, Ticket))| waiting.1 == ticket;
        let found = self.waiting.iter().find(same);
        let token = found.map(|(token, _)| *token).expect("an intent");
        self.waiting.remove(&token);
        let withdrawn = self.journal.withdraw(token);
        let record = self.ledger.cancel(key, ticket, now).expect("a record");
        if withdrawn != Withdrawn::Removed {
            self.keep(record, now);
        }
    }
}

fn down() -> log::Error {
    log::Error::Unavailable {
        reason: "down".to_owned(),
    }
}

fn op() -> impl Strategy<Value = Op> {
    let ahead = prop_oneof![
        6 => Just(0i64),
        2 => -5..5i64,
        1 => -600..600i64,
    ];
    prop_oneof![
        6 => (ahead, prop::bool::weighted(0.8)).prop_map(|(ahead, timed)| Op::New { ahead, timed }),
        6 => any::<usize>().prop_map(Op::Again),
        5 => any::<usize>().prop_map(Op::Send),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(i, ran)| Op::Report(i, ran)),
        1 => Just(Op::Log(Log::Up)),
        2 => Just(Op::Log(Log::Down)),
        1 => Just(Op::Log(Log::Lossy)),
        8 => (10..400u64).prop_map(Op::Wait),
        4 => (1_000..40_000u64).prop_map(Op::Wait),
        1 => (0..=1_000u64).prop_map(|clock| Op::Die { clock }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_key_is_sent_once_and_outcomes_are_true(
        ops in proptest::collection::vec(op(), 1..150),
        fresh in any::<bool>(),
    ) {
        let outage = if fresh { Outage::Fresh } else { Outage::Wait };
        let mut world = World::new(outage);
        for op in &ops {
            world.apply(op);
        }
    }
}
