//! One node's machine on its own.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    claim::{
        Holder,
        Record, //
    },
    member::{
        Effect,
        Event,
        Machine,
        Timing,
        TimingError,
        Token, //
    },
    peer::{
        Answer,
        DecodeError,
        Message,
        Question,
        Reply,
        ownership, //
    },
    platform::{
        log,
        vm, //
    },
    topology::{
        Count,
        Map, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        Epoch,
        Incarnation,
        NodeId,
        Offset,
        RackId,
        RegionId,
        ShardId,
        WorkerId, //
    },
    resource::Resources, //
};
use rstest::rstest;

const SHARD: ShardId = ShardId(100);

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn holder(node: u32) -> Holder {
    Holder {
        node: NodeId(node),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 7_000).into(),
    }
}

fn map() -> Arc<Map> {
    let worker = vm::Entry {
        role: vm::Role::Worker(WorkerId(1)),
        address: ([127, 0, 0, 1], 9_000).into(),
        region: RegionId(1),
        data_centre: DataCentreId(1),
        rack: RackId(1),
        capacity: Resources::ZERO,
        state: vm::State::Live,
    };
    let list = vm::List {
        as_of: Timestamp::ZERO,
        entries: vec![worker],
    };
    let mut map = Map::new(RegionId(1), Count::ONE);
    map.update(&list).expect("a list with a VM");
    Arc::new(map)
}

/// A machine with a log of its own that works at once.
struct Alone {
    machine: Machine,
    log: Vec<bytes::Bytes>,
    read: Option<(Token, u64)>,
    seen: Vec<Effect>,
}

impl Alone {
    fn new() -> Self {
        let timing = Timing::default();
        let (machine, effects) = Machine::new(holder(1), timing, map(), 1, Timestamp::ZERO);
        let (log, read, seen) = (Vec::new(), None, Vec::new());
        let mut alone = Self {
            machine,
            log,
            read,
            seen,
        };
        alone.carry(effects);
        alone
    }

    fn on(&mut self, event: Event, now: Timestamp) {
        let effects = self.machine.on(event, now);
        self.carry(effects);
        if self
            .read
            .is_some_and(|(_, from)| from < self.log.len() as u64)
        {
            let (token, from) = self.read.take().expect("a read");
            let page = self.page(from);
            self.on(Event::Page { token, page }, now);
        }
    }

    fn page(&self, from: u64) -> log::Page {
        let skip = usize::try_from(from).expect("a short log");
        let records = (from..).zip(&self.log[skip..]);
        let record = |(at, data): (u64, &bytes::Bytes)| log::Record {
            offset: Offset(at),
            data: data.clone(),
        };
        let end = Offset(self.log.len() as u64);
        log::Page {
            records: records.map(record).collect(),
            next: end,
            end,
        }
    }

    fn carry(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Append { append, .. } => self.log.extend(append.records),
                Effect::Read { token, read } => self.read = Some((token, read.from.get())),
                other => self.seen.push(other),
            }
        }
    }

    /// Runs until the shard is won and recovered, and returns its epoch.
    fn settle(&mut self) -> Epoch {
        self.on(Event::Tick, ms(10));
        let won = self.machine.my_shards().next().expect("the shard is won");
        self.on(
            Event::Ready {
                shard: SHARD,
                epoch: won.epoch,
            },
            ms(20),
        );
        won.epoch
    }
}

#[test]
fn a_shard_that_never_had_an_owner_is_won_and_used_at_once() {
    let mut alone = Alone::new();
    let epoch = alone.settle();
    let effects = [
        Effect::Recover {
            shard: SHARD,
            epoch,
        },
        Effect::Activate {
            shard: SHARD,
            epoch,
        },
    ];
    assert_eq!(alone.seen, effects);
    assert_eq!(alone.machine.may_start(SHARD, ms(20)), Some(ms(3_010)));
    assert_eq!(
        alone.machine.may_start(SHARD, ms(3_010)),
        None,
        "the lease is over"
    );
}

#[rstest]
#[case::unknown_epoch(1_000, 1)]
#[case::own_epoch(0, 1)]
fn a_worker_with_an_epoch_that_the_log_does_not_explain_changes_nothing(
    #[case] offset: u64,
    #[case] recoveries: usize,
) {
    let mut alone = Alone::new();
    alone.settle();
    let epoch = Epoch(offset);
    alone.on(
        Event::Fenced {
            shard: SHARD,
            epoch,
        },
        ms(30),
    );
    let recover = |effect: &&Effect| matches!(effect, Effect::Recover { .. });
    assert_eq!(alone.seen.iter().filter(recover).count(), recoveries);
}

#[test]
fn a_worker_from_a_shard_with_a_higher_epoch_makes_the_owner_claim_anew() {
    let mut alone = Alone::new();
    let old = alone.settle();
    for second in 1..4 {
        alone.on(Event::Tick, ms(second * 1_000));
    }
    let higher = Epoch(old.0 + 1);
    alone.on(
        Event::Fenced {
            shard: SHARD,
            epoch: higher,
        },
        ms(3_100),
    );
    let held = alone.machine.my_shards().next().expect("the shard is kept");
    assert!(held.epoch > higher, "{held:?}");
}

#[test]
fn a_record_that_cannot_be_read_is_skipped_and_counted() {
    let mut alone = Alone::new();
    alone.log.push(bytes::Bytes::from_static(&[9, 9]));
    alone.settle();
    assert_eq!(alone.machine.malformed(), 1);
}

#[test]
fn answers_that_come_twice_or_too_late_change_nothing() {
    let mut alone = Alone::new();
    let (token, _) = alone.read.expect("a read");
    alone.settle();
    let before = format!("{:?}", alone.machine);
    let page = alone.page(0);
    assert_eq!(alone.machine.on(Event::Page { token, page }, ms(20)), []);
    let error = log::Error::Truncated {
        earliest: Offset(99),
    };
    assert_eq!(
        alone.machine.on(Event::ReadFailed { token, error }, ms(20)),
        []
    );
    assert_eq!(format!("{:?}", alone.machine), before);
}

#[test]
fn a_node_without_a_log_neither_claims_nor_vouches() {
    let timing = Timing::default();
    let (mut machine, effects) = Machine::new(holder(1), timing, map(), 1, Timestamp::ZERO);
    let read = effects.iter().find_map(|effect| match effect {
        Effect::Read { token, .. } => Some(*token),
        _ => None,
    });
    let token = read.expect("a read");
    let error = log::Error::Unknown;
    let mut effects = machine.on(Event::ReadFailed { token, error }, ms(10));
    effects.extend(machine.on(Event::Tick, ms(60_000)));
    let claims = |effect: &Effect| match effect {
        Effect::Append { append, .. } => {
            matches!(Record::decode(&append.records[0]), Ok(Record::Claim { .. }))
        }
        _ => false,
    };
    assert!(!effects.iter().any(claims));
    let holdings = Vec::new();
    let question = ownership::Question::Vouch { holdings };
    let answer = machine.answer(&holder(2), &question, ms(60_000));
    assert_eq!(
        answer,
        ownership::Answer::Unsure,
        "nobody would know to ask it"
    );
}

#[rstest]
#[case::lease(Timing::default().lease(Duration::ZERO), TimingError::Zero { name: "lease" })]
#[case::retry(Timing::default().retry(Duration::ZERO), TimingError::Zero { name: "retry" })]
#[case::two_renewals(
    Timing::default().lease(Duration::from_millis(2_100)),
    TimingError::Lease {
        lease: Duration::from_millis(2_100),
        least: Duration::from_millis(2_100),
    }
)]
#[case::refusal_age(
    Timing::default().suspicion(Duration::from_secs(4)).refusal_age(Duration::from_secs(3)),
    TimingError::RefusalAge {
        age: Duration::from_secs(3),
        lease: Duration::from_secs(3),
    }
)]
#[case::suspicion(
    Timing::default().suspicion(Duration::from_secs(1)),
    TimingError::Suspicion {
        suspicion: Duration::from_secs(1),
        least: Duration::from_secs(1),
    }
)]
fn spans_that_contradict_each_other_are_refused(
    #[case] timing: Timing,
    #[case] expected: TimingError,
) {
    assert_eq!(timing.check(), Err(expected));
}

#[test]
fn messages_between_nodes_read_back_as_written() {
    let message = Message {
        from: holder(1),
        to: NodeId(2),
        question: Question::Config {
            have: Some(Offset(4)),
        },
    };
    assert_eq!(Message::decode(&message.encode()), Ok(message));
    let reply = Reply {
        from: holder(2),
        answer: Answer::Ownership(ownership::Answer::Vouched),
    };
    assert_eq!(Reply::decode(&reply.encode()), Ok(reply.clone()));
    assert_eq!(Reply::decode(&[]), Err(DecodeError::Empty));
    assert_eq!(Reply::decode(&[7]), Err(DecodeError::Version { found: 7 }));
}
