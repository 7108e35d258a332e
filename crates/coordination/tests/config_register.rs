//! Every node reaches the same verdicts, and what is in force never goes back.

#[path = "support/cases.rs"]
mod cases;

use std::sync::Arc;

use fulmarpier_coordination::{
    config::{
        Change,
        Conflict,
        Event,
        Fault,
        Key,
        Proposal,
        Record,
        Register,
        Rejection,
        Snapshot,
        Verdict,
        Version,
        team, //
    },
    platform::log, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Offset,
        WorkerId, //
    },
    refusal::Reason, //
};
use proptest::prelude::*;
use rstest::rstest;
use uuid::Uuid;

fn proposal(id: u128, base: u64, operator: &str, changes: Vec<Change>) -> Proposal {
    Proposal {
        id: Uuid::from_u128(id),
        base: Version::from_raw(base),
        operator: operator.to_owned(),
        at: Timestamp::from_millis(5),
        changes,
    }
}

fn set_weight(team: &str, weight: u32) -> Change {
    Change::SetTeam {
        name: team.parse().expect("the name is accepted"),
        patch: team::Patch {
            weight: Some(weight),
            ..team::Patch::default()
        },
    }
}

fn drain(worker: u32) -> Change {
    Change::DrainWorker {
        worker: WorkerId(worker),
    }
}

fn record(offset: u64, record: &Record) -> log::Record {
    log::Record {
        offset: Offset(offset),
        data: record.encode(),
    }
}

/// Folds one proposal and returns the verdict.
fn judge(register: &mut Register, offset: u64, proposal: Proposal) -> Verdict {
    let record = record(offset, &Record::Proposal(proposal));
    match register.apply(&record) {
        Ok(Event::Judged { verdict, .. }) => verdict,
        other => panic!("expected a verdict, found {other:?}"),
    }
}

fn accepted(version: u64) -> Verdict {
    let version = Version::from_raw(version);
    Verdict::Accepted { version }
}

#[test]
fn unrelated_changes_of_racing_operators_both_win() {
    let mut register = Register::new();
    let first = judge(
        &mut register,
        0,
        proposal(1, 0, "anna", vec![set_weight("a", 2)]),
    );
    let second = judge(
        &mut register,
        1,
        proposal(2, 0, "beta", vec![set_weight("b", 3)]),
    );
    assert_eq!((first, second), (accepted(1), accepted(2)));
    assert_eq!(register.document().teams.len(), 2);
}

#[test]
fn the_later_of_conflicting_changes_loses_and_learns_who_won() {
    let mut register = Register::new();
    judge(
        &mut register,
        0,
        proposal(1, 0, "anna", vec![set_weight("a", 2)]),
    );
    let verdict = judge(
        &mut register,
        1,
        proposal(2, 0, "beta", vec![set_weight("a", 3)]),
    );
    let Verdict::Rejected { reason } = verdict else {
        panic!("expected a rejection, found {verdict:?}");
    };
    insta::assert_snapshot!(
        reason,
        @"team a was changed by `anna` (v1, at 0.005000) after v0, on which this change was based"
    );
    assert_eq!(reason.refusal().reason, Reason::Conflict);
    assert_eq!(register.version(), Version::from_raw(1));
    let again = judge(
        &mut register,
        2,
        proposal(3, 1, "beta", vec![set_weight("a", 3)]),
    );
    assert_eq!(again, accepted(3));
}

#[test]
fn two_changes_that_each_take_capacity_away_see_each_other() {
    let mut register = Register::new();
    judge(&mut register, 0, proposal(1, 0, "anna", vec![drain(1)]));
    let verdict = judge(&mut register, 1, proposal(2, 0, "beta", vec![drain(2)]));
    let key = Key::Capacity;
    assert!(matches!(
        verdict,
        Verdict::Rejected { reason: Rejection::Conflict(Conflict { key: found, .. }) } if found == key
    ));
}

#[test]
fn a_second_copy_of_a_record_changes_nothing() {
    let mut register = Register::new();
    let first = proposal(1, 0, "anna", vec![set_weight("a", 2)]);
    judge(&mut register, 0, first.clone());
    judge(
        &mut register,
        1,
        proposal(2, 1, "beta", vec![set_weight("a", 9)]),
    );
    let verdict = judge(&mut register, 2, first);
    let expected = Verdict::Repeated {
        first: Offset(0),
        accepted: true,
    };
    assert_eq!(verdict, expected);
    assert_eq!(register.version(), Version::from_raw(2));
    assert_eq!(register.outcome(Uuid::from_u128(1)), Some(expected));
    assert_eq!(register.outcome(Uuid::from_u128(3)), None);
}

#[rstest]
#[case::nothing(vec![], "the proposal changes nothing")]
#[case::zero(vec![set_weight("a", 0)], "`teams.a.weight` must not be zero; to stop work, drain the workers or remove the entry")]
#[case::unknown(vec![Change::RemoveTeam { name: "b".parse().expect("accepted") }], "there is no team `b`")]
#[case::not_drained(vec![Change::UndrainWorker { worker: WorkerId(4) }], "worker w4 is not drained")]
#[case::half_good(vec![set_weight("a", 4), set_weight("b", 0)], "`teams.b.weight` must not be zero; to stop work, drain the workers or remove the entry")]
fn an_invalid_change_is_rejected_as_a_whole(#[case] changes: Vec<Change>, #[case] text: &str) {
    let mut register = Register::new();
    judge(
        &mut register,
        0,
        proposal(1, 0, "anna", vec![set_weight("a", 2)]),
    );
    let before = register.document().clone();
    match judge(&mut register, 1, proposal(2, 1, "anna", changes)) {
        Verdict::Rejected { reason } => assert_eq!(reason.to_string(), text),
        other => panic!("expected a rejection, found {other:?}"),
    }
    assert_eq!(*register.document(), before);
}

#[test]
fn a_base_ahead_of_the_log_is_rejected() {
    let mut register = Register::new();
    let verdict = judge(
        &mut register,
        0,
        proposal(1, 7, "anna", vec![set_weight("a", 2)]),
    );
    let base = Version::from_raw(7);
    let reason = Rejection::Ahead { base };
    assert_eq!(verdict, Verdict::Rejected { reason });
}

#[test]
fn a_malformed_record_is_skipped_and_a_newer_one_stops_the_fold() {
    let mut register = Register::new();
    let malformed = log::Record {
        offset: Offset(0),
        data: "{\"format\":1,\"record\":3}".into(),
    };
    assert!(matches!(
        register.apply(&malformed),
        Ok(Event::Skipped { .. })
    ));
    let newer = log::Record {
        offset: Offset(1),
        data: "{\"format\":2,\"record\":{}}".into(),
    };
    assert!(matches!(register.apply(&newer), Err(Fault::Newer { .. })));
    assert_eq!(register.next(), Offset(1));
}

/// A register with three proposals, and its snapshot.
fn grown() -> (Register, Snapshot) {
    let mut register = Register::new();
    for offset in 0..3 {
        let change = set_weight(&format!("t{offset}"), 2);
        judge(
            &mut register,
            offset,
            proposal(offset.into(), offset, "anna", vec![change]),
        );
    }
    let snapshot = register.snapshot();
    (register, snapshot)
}

#[test]
fn a_snapshot_carries_a_node_over_a_truncation() {
    let (mut old, snapshot) = grown();
    let late = proposal(9, 0, "beta", vec![set_weight("t1", 5)]);
    let mut tail = vec![
        record(3, &Record::Proposal(late)),
        record(4, &Record::Snapshot(Box::new(snapshot))),
        record(
            5,
            &Record::Proposal(proposal(10, 3, "anna", vec![set_weight("x", 5)])),
        ),
    ];
    let expected: Vec<_> = tail.iter().map(|record| old.apply(record)).collect();
    assert_eq!(expected[1], Ok(Event::Refreshed));

    let mut fresh = Register::new();
    fresh.truncate(Offset(3));
    assert!(fresh.is_searching());
    assert_eq!(fresh.apply(&tail[0]), Ok(Event::Passed));
    let version = Version::from_raw(3);
    assert_eq!(fresh.apply(&tail[1]), Ok(Event::Adopted { version }));
    assert_eq!(
        fresh.next(),
        Offset(3),
        "the record before the snapshot is read again"
    );
    let found: Vec<_> = tail.drain(..).map(|record| fresh.apply(&record)).collect();
    assert_eq!(found, expected);
    assert_eq!(fresh.snapshot(), old.snapshot());
}

#[test]
fn a_snapshot_from_before_the_truncation_is_not_enough() {
    let (_, snapshot) = grown();
    let mut fresh = Register::new();
    fresh.truncate(Offset(4));
    let record = record(4, &Record::Snapshot(Box::new(snapshot)));
    assert_eq!(fresh.apply(&record), Ok(Event::Passed));
    assert!(fresh.is_searching());
    assert_eq!(fresh.version(), Version::NONE);
}

#[test]
fn a_node_that_boots_in_an_outage_takes_a_peers_document_and_catches_up_later() {
    let (_, snapshot) = grown();
    let mut booted = Register::new();
    assert_eq!(booted.adopt(snapshot.clone()), Ok(true));
    assert_eq!(
        (booted.version(), booted.next()),
        (Version::from_raw(3), Offset(3))
    );
    assert_eq!(booted.adopt(snapshot.clone()), Ok(false));
    let verdict = judge(
        &mut booted,
        3,
        proposal(8, 3, "anna", vec![set_weight("t0", 4)]),
    );
    assert_eq!(verdict, accepted(4));
    assert_eq!(
        booted.adopt(snapshot),
        Ok(false),
        "an older one is not taken"
    );
    assert_eq!(booted.version(), Version::from_raw(4));
}

#[test]
fn what_would_go_back_or_differ_is_a_fault_and_changes_nothing() {
    let (mut register, mut other) = grown();
    other.through = Offset(9);
    other.version = Version::from_raw(1);
    let regressed = Fault::Regressed {
        offered: Version::from_raw(1),
        in_force: Version::from_raw(3),
    };
    assert_eq!(register.adopt(other.clone()), Err(regressed));
    other.version = Version::from_raw(3);
    Arc::make_mut(&mut other.document).teams.clear();
    let version = other.version;
    assert_eq!(register.adopt(other), Err(Fault::Diverged { version }));
    let shortened = register.has_caught_up(Offset(1));
    assert!(matches!(shortened, Err(Fault::Shortened { .. })));
    assert_eq!(register.snapshot(), grown().1);
}

#[test]
fn bases_from_before_what_is_remembered_are_refused() {
    let mut register = Register::new();
    for offset in 0..600 {
        let change = set_weight(&format!("t{offset}"), 2);
        judge(
            &mut register,
            offset,
            proposal(offset.into(), offset, "anna", vec![change]),
        );
    }
    let verdict = judge(
        &mut register,
        600,
        proposal(1_000, 5, "beta", vec![set_weight("t0", 3)]),
    );
    let reason = Rejection::Stale {
        base: Version::from_raw(5),
        floor: Version::from_raw(88),
    };
    assert_eq!(verdict, Verdict::Rejected { reason });
    let size = Record::Snapshot(Box::new(register.snapshot()))
        .encode()
        .len();
    assert!(
        size < 256 << 10,
        "a snapshot of {size} bytes is over the log's bound on a record"
    );
}

/// What a node may do while it reads the stream.
#[derive(Clone, Copy, Debug)]
enum Step {
    Read(u8),
    Restart,
    Peer,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..4_u8, 0..4_u32).prop_map(|(team, weight)| set_weight(&format!("t{team}"), weight)),
        (0..4_u8).prop_map(|team| Change::RemoveTeam {
            name: format!("t{team}").parse().expect("the name is accepted"),
        }),
        (0..4_u32).prop_map(drain),
        (0..4_u32).prop_map(|worker| Change::UndrainWorker {
            worker: WorkerId(worker),
        }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..6_u8).prop_map(Step::Read),
        1 => Just(Step::Restart),
        1 => Just(Step::Peer),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases::config().cases.max(256), ..cases::config() })]

    /// One node reads everything and appends snapshots now and then; another reads as it can, starts
    /// anew, takes the first one's state and meets truncations. They never disagree, and the version
    /// in force on a running node never falls.
    #[test]
    fn all_nodes_agree_and_none_goes_back(
        proposals in prop::collection::vec(
            (prop::collection::vec(change(), 1..3), 0..6_u64, prop::bool::weighted(0.15)), 1..40),
        steps in prop::collection::vec((step(), 0..10_u64), 1..40),
    ) {
        let mut reader = Register::new();
        let mut log = Vec::new();
        let mut states = vec![reader.snapshot()];
        for (index, (changes, lag, repeat)) in proposals.into_iter().enumerate() {
            let base = reader.version().get().saturating_sub(lag);
            let id = if repeat { 0 } else { index as u128 };
            let proposal = proposal(id, base, "anna", changes);
            let offset = log.len() as u64;
            log.push(record(offset, &Record::Proposal(proposal)));
            prop_assert!(reader.apply(&log[log.len() - 1]).is_ok());
            states.push(reader.snapshot());
            if index % 5 == 4 {
                let snapshot = Record::Snapshot(Box::new(reader.snapshot()));
                log.push(record(offset + 1, &snapshot));
                prop_assert_eq!(reader.apply(&log[log.len() - 1]), Ok(Event::Refreshed));
                states.push(reader.snapshot());
            }
        }
        let mut node = Register::new();
        let mut in_force = node.version();
        let mut earliest = 0;
        for (step, truncate) in steps {
            match step {
                Step::Restart => {
                    node = Register::new();
                    in_force = node.version();
                }
                Step::Peer => {
                    prop_assert!(node.adopt(reader.snapshot()).is_ok());
                }
                Step::Read(count) => for _ in 0..count {
                    if node.next() < Offset(earliest) {
                        node.truncate(Offset(earliest));
                    }
                    let next = usize::try_from(node.next().0).expect("a small offset");
                    let Some(record) = log.get(next) else { break };
                    prop_assert!(node.apply(record).is_ok());
                    prop_assert!(node.version() >= in_force);
                    in_force = node.version();
                    if !node.is_searching() {
                        let through = usize::try_from(node.next().0).expect("a small offset");
                        prop_assert_eq!(&node.snapshot(), &states[through]);
                    }
                },
            }
            earliest = (earliest + truncate / 8).min(log.len() as u64);
        }
    }
}
