//! The invariants: each kind of violation is found, and a sound run has none.

use std::time::Duration;

use fulmarpier_load::{
    Call,
    End,
    Kind,
    Record,
    Report,
    TaskRun,
    Timing,
    Violations, //
};
use fulmarpier_protocol::settings::{
    self,
    load::Load as Settings, //
};
use fulmarpier_state::refusal::Outcome;
use rstest::rstest;
use uuid::Uuid;

const NOT_RUN: End = End::Answered(Outcome::NotRun);
const RAN: End = End::Answered(Outcome::Ran);
const UNKNOWN: End = End::Answered(Outcome::Unknown);

fn call(kind: Kind, end: End) -> Call {
    Call {
        id: Uuid::from_u128(1),
        kind,
        scheduled: Duration::from_secs(100),
        latency: Duration::from_millis(3),
        is_repeatable: kind == Kind::Ordinary,
        end,
        reason: (end == NOT_RUN).then(|| "queue-full".to_owned()),
        timing: Timing::parse("decision;dur=0.05, waiting;dur=1.5"),
    }
}

fn run(from: u64, until: u64) -> TaskRun {
    TaskRun {
        job: Uuid::from_u128(1),
        index: 0,
        from: Duration::from_secs(from),
        until: Duration::from_secs(until),
        succeeded: true,
    }
}

/// A record in which the one request ran so often, with the given runs of tasks.
fn record(requests: u32, tasks: &[TaskRun]) -> Record {
    let mut record = Record {
        tasks: tasks.to_vec(),
        ..Record::default()
    };
    if requests > 0 {
        record.requests.insert(Uuid::from_u128(1), requests);
    }
    record
}

/// Counts as doubled, lost, overfilled, wrongly not run, foreign.
fn counts(found: &Violations) -> [u64; 5] {
    [
        found.doubled,
        found.lost,
        found.overfilled,
        found.wrongly_not_run,
        found.foreign,
    ]
}

#[rstest]
#[case::sound(call(Kind::Ordinary, RAN), record(1, &[]), [0, 0, 0, 0, 0])]
#[case::retried(call(Kind::Ordinary, RAN), record(2, &[]), [0, 0, 0, 0, 0])]
#[case::refused(call(Kind::Once, NOT_RUN), record(0, &[]), [0, 0, 0, 0, 0])]
#[case::untold(call(Kind::Once, UNKNOWN), record(1, &[]), [0, 0, 0, 0, 0])]
#[case::broken(call(Kind::Once, End::Broken), record(0, &[]), [0, 0, 0, 0, 0])]
#[case::lost(call(Kind::Ordinary, RAN), record(0, &[]), [0, 1, 0, 0, 0])]
#[case::replay_of_nothing(call(Kind::Once, End::Replayed), record(0, &[]), [0, 1, 0, 0, 0])]
#[case::untrue(call(Kind::Ordinary, NOT_RUN), record(1, &[]), [0, 0, 0, 1, 0])]
#[case::foreign(call(Kind::Ordinary, End::Foreign), record(1, &[]), [0, 0, 0, 0, 1])]
#[case::sound_job(call(Kind::Batch, End::Succeeded), record(0, &[run(1, 2)]), [0, 0, 0, 0, 0])]
#[case::repeated_job(call(Kind::Batch, End::Succeeded), record(0, &[run(1, 2), run(3, 4)]), [1, 0, 0, 0, 0])]
#[case::vanished_job(call(Kind::Gang, End::Vanished), record(0, &[run(1, 2)]), [0, 1, 0, 0, 0])]
#[case::job_without_a_run(call(Kind::Gang, End::Succeeded), record(0, &[]), [0, 1, 0, 0, 0])]
#[case::untrue_job(call(Kind::Batch, NOT_RUN), record(0, &[run(1, 2)]), [0, 0, 0, 1, 0])]
fn each_violation_is_found(#[case] call: Call, #[case] record: Record, #[case] expected: [u64; 5]) {
    let found = Violations::check(&[call], &record);
    assert_eq!(counts(&found), expected);
    assert_eq!(found.total(), expected.iter().sum::<u64>());
}

#[test]
fn what_the_stand_ins_count_themselves_is_taken_over() {
    let record = Record {
        overfilled: 2,
        doubled_tasks: 3,
        doubled_keys: 4,
        ..Record::default()
    };
    let found = Violations::check(&[], &record);
    assert_eq!(counts(&found), [7, 0, 2, 0, 0]);
}

#[test]
fn a_job_that_may_repeat_is_not_doubled_by_a_second_run() {
    let mut job = call(Kind::Batch, End::Succeeded);
    job.is_repeatable = true;
    let found = Violations::check(&[job], &record(0, &[run(1, 2), run(3, 4)]));
    assert_eq!(found.total(), 0);
}

#[rstest]
#[case::whole("decision;dur=0.051, waiting;dur=3.2", Some(51), Some(3_200))]
#[case::turned("waiting;dur=1,decision;dur=2", Some(2_000), Some(1_000))]
#[case::foreign("cache;desc=hit, decision", None, None)]
#[case::malformed("decision;dur=x", None, None)]
fn timings_are_read(
    #[case] header: &str,
    #[case] decision: Option<u64>,
    #[case] waiting: Option<u64>,
) {
    let timing = Timing::parse(header);
    assert_eq!(timing.decision, decision.map(Duration::from_micros));
    assert_eq!(timing.waiting, waiting.map(Duration::from_micros));
}

fn settings() -> Settings {
    let text = r#"{"gates": ["http://127.0.0.1:1"], "standin": "http://127.0.0.1:2",
        "token": "0123456789abcdef", "rate": 2, "duration": "2s",
        "request": {"service": "desk"}, "job": {"teams": ["a"]}}"#;
    settings::parse(text).expect("the settings are valid")
}

fn report(unrecorded: u64) -> Report {
    let calls = [
        call(Kind::Ordinary, RAN),
        call(Kind::Ordinary, NOT_RUN),
        call(Kind::Batch, End::Succeeded),
    ];
    let mut record = record(0, &[run(101, 102)]);
    record.dropped = unrecorded;
    Report::new(&settings(), &calls, &record, 600)
}

#[test]
fn a_report_reads_well() {
    insta::assert_snapshot!(report(0), @r"
    offered    2/s for 2.0 s, seed 1
    placements 2 (1/s)
    kind            offered      ran  not run  unknown  failed  unfin.  unsent
    ordinary              2        1        1        0       0       0       0
    batch                 1        1        0        0       0       0       0
    time in ms                    p50       p99     p99.9       max
    decision                    0.050     0.050     0.050     0.050
    ordinary       latency      3.001     3.001     3.001     3.001
    ordinary       waiting      1.500     1.500     1.500     1.500
    batch          latency      3.001     3.001     3.001     3.001
    batch          waiting      1.500     1.500     1.500     1.500
    refused    queue-full: 1
    control    600 bytes, 200 a call
    violations doubled 0, lost 1, overfilled 0, wrongly not run 0, foreign 0
      lost ordinary 00000000-0000-0000-0000-000000000001
    ");
}

#[test]
fn a_report_fails_where_something_went_unrecorded() {
    let mut sound = report(0);
    sound.violations = Violations::default();
    assert!(sound.holds());
    sound.unrecorded = 1;
    assert!(!sound.holds());
    assert!(!report(0).holds());
}

#[test]
fn a_report_has_a_json_form() {
    let json = serde_json::to_value(report(0)).expect("the report has a JSON form");
    insta::assert_snapshot!(json["kinds"][0], @r#"{"failed":0,"kind":"ordinary","latency":{"count":2,"max_micros":3001,"p50_micros":3001,"p999_micros":3001,"p99_micros":3001},"not_run":1,"offered":2,"ran":1,"unfinished":0,"unknown":0,"unsent":0,"waiting":{"count":2,"max_micros":1500,"p50_micros":1500,"p999_micros":1500,"p99_micros":1500}}"#);
    assert_eq!(json["violations"]["lost"], 1);
}
