//! Jobs, request heads, problems and tables as they go over HTTP.

use std::time::Duration;

use fulmarpier_protocol::{
    http::{
        invalid::Invalid,
        job::{
            Raw,
            Received,
            Submission, //
        },
        request::{
            self,
            Head, //
        },
        table::{
            Cell,
            Table, //
        },
    },
    problem::Problem,
};
use fulmarpier_state::{
    clock::Timestamp,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
const BATCH: &str = r#"{"team": "manifest", "kind": "batch", "tasks": 3,
    "size": {"cpu": "500m", "memory": "512MiB"}, "runtime": "30s", "deadline": "10m",
    "program": "build"}"#;

fn submit(json: &str) -> Result<Submission, Invalid> {
    let raw = Raw::parse(json.as_bytes())?;
    Received { raw, at: NOW }.try_into()
}

#[test]
fn job_takes_its_defaults_and_its_deadline_counts_from_receipt() {
    let submission = submit(BATCH).expect("the job is valid");
    insta::assert_debug_snapshot!(submission, @r#"
    Submission {
        id: None,
        spec: Spec {
            team: Name(
                "manifest",
            ),
            kind: Batch,
            size: Resources {
                cpu: Millicores(
                    500,
                ),
                memory: Bytes(
                    536870912,
                ),
                accelerators: 0,
            },
            tasks: 3,
            priority: Normal,
            runtime: Some(
                30s,
            ),
            deadline: Some(
                Timestamp(
                    1600000000,
                ),
            ),
            idempotent: true,
            checkpoint: false,
            spread: Any,
            payload: Payload {
                program: "build",
                args: [],
            },
        },
    }
    "#);
}

#[test]
fn every_mistake_of_a_job_is_listed_with_its_path() {
    let job = r#"{"id": "17", "team": "Port Liaison", "kind": "bach", "tasks": 100001,
        "size": {"cpu": "half", "memory": "1GB", "accelerators": 70000}, "priority": "high",
        "runtime": "30", "deadline": "soon", "spread": "all", "program": ""}"#;
    let refusal = Refusal::from(submit(job).expect_err("the job is malformed"));
    assert_eq!(refusal.reason, Reason::Malformed);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    insta::assert_snapshot!(refusal.detail.replace("; ", "\n"), @r"
    id: expected a UUID (for a task: `uuid/index`), found `17`
    team: a name holds only a-z, 0-9, `-`, `_` and `.`, found `P` in `Port Liaison`
    kind: expected `batch`, `gang` or `service`, found `bach`
    tasks: expected 1 to 100000, found 100001
    size.cpu: expected a number with a unit, found `half`
    size.memory: unknown unit `GB`
    known are B, KiB, MiB, GiB, TiB
    size.accelerators: expected 0 to 65535, found 70000
    priority: expected `low`, `normal` or `urgent`, found `high`
    runtime: unknown unit ``
    known are us, ms, s, m, h, d
    deadline: expected a number with a unit, found `soon`
    spread: expected `any`, `racks` or `data-centres`, found `all`
    program: is missing
    ");
}

#[rstest]
#[case::not_json("{", "EOF while parsing an object at line 1 column 1")]
#[case::unknown_field(r#"{"tema": "a"}"#, "unknown field `tema`")]
#[case::wrong_type(&BATCH.replace("3", "\"3\""), "tasks: invalid type")]
#[case::more_behind(&format!("{BATCH} x"), "trailing characters")]
fn job_of_the_wrong_shape_names_the_field(#[case] json: &str, #[case] expected: &str) {
    let refusal = Refusal::from(submit(json).expect_err("the job is malformed"));
    assert_eq!(refusal.reason, Reason::Malformed);
    assert!(refusal.detail.contains(expected), "{}", refusal.detail);
}

#[test]
fn service_needs_its_part_and_others_must_not_have_it() {
    let bare = BATCH.replace("batch", "service");
    let error = submit(&bare).expect_err("the service has no name");
    insta::assert_snapshot!(error, @"service: is missing");
    let part = r#""service": {"name": "desk", "slots": 0, "port": 70000}, "program""#;
    let error = submit(&BATCH.replace("\"program\"", part)).expect_err("a batch is no service");
    insta::assert_snapshot!(error, @"service: stands only with kind `service`");
    let error = submit(&bare.replace("\"program\"", part)).expect_err("slots and port are wrong");
    insta::assert_snapshot!(error, @"service.slots: expected 1 to 65535, found 0; service.port: expected 0 to 65535, found 70000");
}

#[rstest]
#[case::no_header(None, None, true)]
#[case::key_alone(Some("k1"), None, false)]
#[case::key_and_true(Some("k1"), Some("true"), true)]
#[case::key_and_false(Some("k1"), Some("false"), false)]
fn request_is_idempotent_unless_a_key_or_a_mark_says_otherwise(
    #[case] key: Option<&str>,
    #[case] mark: Option<&str>,
    #[case] expected: bool,
) {
    let raw = request::Raw {
        service: "desk",
        key,
        idempotent: mark,
        ..request::Raw::default()
    };
    let head = Head::try_from(raw).expect("the head is valid");
    assert_eq!(head.idempotent, expected);
}

#[test]
fn non_idempotent_request_without_a_key_has_its_own_reason() {
    let raw = request::Raw {
        service: "desk",
        idempotent: Some("false"),
        ..request::Raw::default()
    };
    let refusal = Refusal::from(Head::try_from(raw).expect_err("the key is missing"));
    assert_eq!(refusal.reason, Reason::KeyMissing);
}

#[test]
fn every_mistake_of_a_head_is_listed() {
    let raw = request::Raw {
        service: "",
        key: Some("a b"),
        idempotent: Some("no"),
        deadline: Some("2 seconds"),
        team: Some("A"),
    };
    let refusal = Refusal::from(Head::try_from(raw).expect_err("the head is malformed"));
    assert_eq!(refusal.reason, Reason::Malformed);
    insta::assert_snapshot!(refusal.detail.replace("; ", "\n"), @r"
    service: a name must not be empty
    idempotency-key: an idempotency key holds only visible ASCII characters, found ' '
    fulmarpier-deadline: unknown unit `seconds`
    known are us, ms, s, m, h, d
    fulmarpier-team: a name holds only a-z, 0-9, `-`, `_` and `.`, found `A` in `A`
    fulmarpier-idempotent: expected `true` or `false`, found `no`
    ");
}

#[test]
fn refusal_becomes_problem_details_with_a_hint() {
    let refusal = Refusal::new(Reason::QueueFull, "200 requests wait for desk")
        .retry_after(Duration::from_millis(1_250));
    let problem = Problem::from(&refusal).hint("come back later");
    assert_eq!(problem.retry_after_secs(), Some(2));
    let json = String::from_utf8(problem.to_json()).expect("JSON is UTF-8");
    insta::assert_snapshot!(json, @r#"{"type":"urn:fulmarpier:refusal:queue-full","title":"The queue is full","status":503,"detail":"200 requests wait for desk","reason":"queue-full","outcome":"not_run","retry_after":"1250ms","hint":"come back later"}"#);
}

#[rstest]
fn every_reason_survives_the_way_through_a_problem() {
    for reason in Reason::ALL {
        let refusal = Refusal::new(*reason, "why").outcome(Outcome::Unknown);
        let json = Problem::from(&refusal).to_json();
        let problem = Problem::parse(&json).expect("the problem is valid");
        assert_eq!(problem.status, reason.status());
        assert_eq!(Refusal::from(problem), refusal);
    }
}

#[test]
fn text_that_is_no_problem_is_an_error() {
    assert!(Problem::parse(b"<html>").is_err());
    assert!(Problem::parse(b"{}").is_err());
}

#[test]
fn table_keeps_the_types_of_its_cells() {
    let table = Table::new(["worker", "free", "load", "leaving", "rack"])
        .row([
            "w1".into(),
            7_u32.into(),
            0.5.into(),
            false.into(),
            Cell::Empty,
        ])
        .note("one worker of fifty")
        .confirm("c1");
    let json = String::from_utf8(table.to_json()).expect("JSON is UTF-8");
    insta::assert_snapshot!(json, @r#"{"columns":["worker","free","load","leaving","rack"],"rows":[["w1",7,0.5,false,null]],"notes":["one worker of fifty"],"confirm":"c1"}"#);
    let back: Table = serde_json::from_str(&json).expect("the table is valid");
    assert_eq!(back, table);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn arbitrary_bytes_never_break_the_parser_of_jobs(bytes: Vec<u8>) {
        let _ = Raw::parse(&bytes);
    }

    #[test]
    fn arbitrary_headers_are_refused_or_accepted_whole(
        service in ".{0,70}", key in ".{0,140}", span in ".{0,12}", team in ".{0,70}",
    ) {
        let raw = request::Raw {
            service: &service,
            key: Some(&key),
            idempotent: None,
            deadline: Some(&span),
            team: Some(&team),
        };
        if let Ok(head) = Head::try_from(raw) {
            prop_assert_eq!(head.service.as_str(), service);
            prop_assert!(head.key.is_some_and(|found| found.as_str() == key));
            prop_assert!(head.deadline.is_some() && head.team.is_some());
        }
    }
}
