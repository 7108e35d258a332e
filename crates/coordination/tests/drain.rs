//! Nothing new for what is leaving, and nothing in flight is cut off.

use std::time::Duration;

use fulmarpier_coordination::{
    config::{
        Change,
        Document, //
    },
    drain::{
        Cause,
        Departure,
        Drain,
        Progress,
        Roster,
        Work, //
    },
    platform::vm::{
        Entry,
        List,
        Role,
        State, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        RackId,
        RegionId,
        WorkerId, //
    },
    refusal::{
        Outcome,
        Reason, //
    },
    resource::Resources,
};

const W1: WorkerId = WorkerId(1);
const GRACE: Duration = Duration::from_secs(30);

fn at(secs: u64) -> Timestamp {
    Timestamp::from_millis(secs * 1_000)
}

fn list(as_of: u64, workers: &[(WorkerId, State)]) -> List {
    let entry = |(worker, state): &(WorkerId, State)| Entry {
        role: Role::Worker(*worker),
        address: ([127, 0, 0, 1], 1).into(),
        region: RegionId(1),
        data_centre: DataCentreId(1),
        rack: RackId(1),
        capacity: Resources::ZERO,
        state: *state,
    };
    List {
        as_of: at(as_of),
        entries: workers.iter().map(entry).collect(),
    }
}

fn drained() -> Document {
    let change = Change::DrainWorker { worker: W1 };
    Document::default()
        .with(&[change])
        .expect("the change is valid")
}

#[test]
fn a_drain_waits_for_everything_in_flight() {
    let mut serving = Drain::new();
    serving.enter(Work::Request);
    serving.enter(Work::Shard);
    let mut draining = serving.drain(at(0), GRACE);
    let refusal = draining.refusal();
    assert_eq!(
        (refusal.reason, refusal.outcome),
        (Reason::Draining, Outcome::NotRun)
    );
    assert!(refusal.retry_after.is_some());
    draining.leave(Work::Request);
    draining.follow_up(Work::Append);
    let Progress::Waiting(mut draining) = draining.check(at(1)) else {
        panic!("a shard and an append are in flight");
    };
    insta::assert_snapshot!(draining.load(), @"appends=1 shards=1");
    draining.leave(Work::Append);
    draining.leave(Work::Shard);
    let Progress::Empty(empty) = draining.check(at(4)) else {
        panic!("nothing is in flight");
    };
    assert_eq!(empty.took(), Duration::from_secs(4));
}

#[test]
fn a_drain_that_takes_too_long_says_what_is_left() {
    let mut serving = Drain::new();
    serving.enter(Work::Request);
    let draining = serving.drain(at(0), GRACE);
    let Progress::Expired(expired) = draining.check(at(30)) else {
        panic!("the grace is over");
    };
    assert_eq!(expired.load().of(Work::Request), 1);
}

#[test]
fn the_first_of_list_and_command_takes_a_worker_out() {
    let leaves = |cause| vec![Departure::Leaves { worker: W1, cause }];
    let mut by_list = Roster::new();
    assert_eq!(
        by_list.list(&list(1, &[(W1, State::Leaving)])),
        leaves(Cause::Listed)
    );
    assert_eq!(by_list.configure(&drained()), []);
    let mut by_command = Roster::new();
    assert_eq!(by_command.configure(&drained()), leaves(Cause::Drained));
    assert_eq!(by_command.list(&list(1, &[(W1, State::Leaving)])), []);
    assert!(by_command.is_leaving(W1));
}

#[test]
fn a_worker_returns_only_when_no_cause_is_left() {
    let mut roster = Roster::new();
    roster.list(&list(1, &[(W1, State::Leaving)]));
    roster.configure(&drained());
    assert_eq!(roster.configure(&Document::default()), []);
    assert!(roster.is_leaving(W1));
    assert_eq!(
        roster.list(&list(0, &[(W1, State::Live)])),
        [],
        "an older list is passed over"
    );
    let returns = Departure::Returns { worker: W1 };
    assert_eq!(roster.list(&list(2, &[(W1, State::Live)])), [returns]);
}

#[test]
fn a_worker_that_is_gone_from_the_list_does_not_return() {
    let mut roster = Roster::new();
    roster.list(&list(1, &[(W1, State::Leaving)]));
    assert_eq!(roster.list(&list(2, &[])), []);
}
