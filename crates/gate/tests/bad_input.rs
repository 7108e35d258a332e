//! Bad input: each kind has its typed error and its count, and nothing is run.

mod support;

use axum::http::Method;
use bytes::Bytes;
use fulmarpier_protocol::wire::{
    Answer,
    command, //
};
use fulmarpier_state::refusal::Reason;
use reqwest::Client;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use support::{
    NODES,
    Sched,
    TOKEN,
    Targets,
    document,
    gate,
    header,
    post,
    problem,
    ready,
    refusals,
    url, //
};

const DESK: &str = "/v1/services/desk/requests";

/// A call to send, as method, path, headers and body.
struct Bad {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: Vec<u8>,
}

impl Bad {
    fn new(path: &'static str) -> Self {
        Self {
            method: Method::POST,
            path,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    fn with(mut self, name: &'static str, value: &'static str) -> Self {
        self.headers.push((name, value));
        self
    }

    fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    fn job(change: Value) -> Self {
        let mut job = json!({"team": "repair", "kind": "batch", "tasks": 2, "program": "survey",
                             "size": {"cpu": "500m", "memory": "64MiB"}});
        for (key, value) in change.as_object().unwrap() {
            job[key] = value.clone();
        }
        Self::new("/v1/jobs").body(job.to_string())
    }
}

#[rstest]
#[case::unknown_service(
    Bad::new("/v1/services/dsek/requests"),
    "404 unknown-service not_run final"
)]
#[case::malformed_service(Bad::new("/v1/services/D%20k/requests"), "400 malformed not_run final")]
#[case::not_utf8(Bad::new("/v1/services/%FF/requests"), "400 malformed not_run final")]
#[case::unknown_path(Bad::new("/v2/services"), "404 malformed not_run final")]
#[case::wrong_method(Bad::new("/v1/jobs").method(Method::PUT), "405 malformed not_run final")]
#[case::unknown_team(Bad::new(DESK).with("Fulmarpier-Team", "nobody"), "422 unknown-team not_run final")]
#[case::malformed_flag(Bad::new(DESK).with("Fulmarpier-Idempotent", "yes"), "400 malformed not_run final")]
#[case::malformed_deadline(Bad::new(DESK).with("Fulmarpier-Deadline", "soon"), "400 malformed not_run final")]
#[case::deadline_past(Bad::new(DESK).with("Fulmarpier-Deadline", "0s"), "504 deadline not_run final")]
#[case::two_keys(Bad::new(DESK).with("Idempotency-Key", "a").with("Idempotency-Key", "b"), "400 malformed not_run final")]
#[case::long_key(Bad::new(DESK).with("Idempotency-Key", LONG), "400 malformed not_run final")]
#[case::missing_key(Bad::new(DESK).with("Fulmarpier-Idempotent", "false"), "400 key-missing not_run final")]
#[case::oversize(Bad::new(DESK).body(vec![0; (1 << 20) + 1]), "413 body-too-large not_run final")]
#[case::oversize_with_key(Bad::new(DESK).with("Idempotency-Key", "a").body(vec![0; (1 << 20) + 1]), "413 body-too-large not_run final")]
#[case::job_not_json(Bad::new("/v1/jobs").body("{\"team\""), "400 malformed not_run final")]
#[case::job_unknown_field(Bad::job(json!({"cpus": 3})), "400 malformed not_run final")]
#[case::job_unknown_kind(Bad::job(json!({"kind": "btach"})), "400 malformed not_run final")]
#[case::empty_gang(Bad::job(json!({"kind": "gang", "tasks": 0})), "422 empty not_run final")]
#[case::too_many_tasks(Bad::job(json!({"tasks": 101})), "400 malformed not_run final")]
#[case::job_deadline_past(Bad::job(json!({})).with("Fulmarpier-Deadline", "0s"), "504 deadline unknown final")]
#[case::job_oversize(Bad::new("/v1/jobs").body(vec![b' '; 300_000]), "413 body-too-large not_run final")]
#[case::job_id(Bad::new("/v1/jobs/17").method(Method::GET), "400 malformed not_run final")]
#[case::job_wait(Bad::new("/v1/jobs/0190a6b2-0000-7000-8000-000000000001?wait=x").method(Method::GET), "400 malformed not_run final")]
#[case::job_query(Bad::new("/v1/jobs/0190a6b2-0000-7000-8000-000000000001?wiat=1s").method(Method::GET), "400 malformed not_run final")]
#[case::no_token(Bad::new("/v1/command").body("show jobs"), "401 unauthorized not_run final")]
#[case::wrong_token(Bad::new("/v1/command").with("Authorization", "Bearer 0123456789abcdeX").body("show jobs"), "401 unauthorized not_run final")]
#[case::wrong_scheme(Bad::new("/v1/command").with("Authorization", "Basic 0123456789abcdef"), "401 unauthorized not_run final")]
#[case::command_query(Bad::new("/v1/command?dry_run=maybe").with("Authorization", "Bearer 0123456789abcdef"), "400 malformed not_run final")]
#[case::command_not_utf8(Bad::new("/v1/command").with("Authorization", "Bearer 0123456789abcdef").body([0xff]), "400 malformed not_run final")]
#[tokio::test]
async fn bad_input_has_a_typed_error_and_a_count(#[case] bad: Bad, #[case] expected: &str) {
    let mut targets = Targets::new();
    let target = targets.open(8);
    let sched = Sched::start(NODES[0], document(), &[(target, 8)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let word = expected.split(' ').nth(1).unwrap();
    let reason = Reason::ALL
        .iter()
        .find(|reason| reason.word() == word)
        .unwrap();
    let before = refusals(&gate, *reason).await;
    let mut call = Client::new().request(bad.method, url(&gate, bad.path));
    for (name, value) in bad.headers {
        call = call.header(name, value);
    }
    let answer = call.body(bad.body).send().await.unwrap();
    assert_eq!(problem(answer).await, expected);
    assert_eq!(refusals(&gate, *reason).await, before + 1);
    assert_eq!(sched.calls(), []);
    assert_eq!(targets.runs(), 0);
}

const LONG: &str = "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk";

#[tokio::test]
async fn a_body_that_grows_over_the_limit_is_cut_off() {
    let mut targets = Targets::new();
    let target = targets.open(8);
    let sched = Sched::start(NODES[0], document(), &[(target, 8)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let piece = || Ok::<_, std::io::Error>(Bytes::from(vec![0; 64 << 10]));
    let pieces = futures::stream::iter(std::iter::repeat_with(piece).take(20));
    let body = reqwest::Body::wrap_stream(pieces);
    let answer = post(&gate, DESK).body(body).send().await.unwrap();
    assert_eq!(problem(answer).await, "413 body-too-large unknown final");
    // The target never saw a whole body.
    assert_eq!(targets.runs(), 0);
}

#[tokio::test]
async fn a_typo_in_a_command_comes_back_with_its_hint() {
    let sched = Sched::start(NODES[0], document(), &[]);
    let text = json!({"type": "urn:fulmarpier:refusal:command", "title": "", "status": 400,
                      "detail": "unknown word `shwo`", "reason": "command", "outcome": "not_run",
                      "hint": "did you mean `show`?"});
    let reply = command::Reply {
        status: 400,
        json: text.to_string().into(),
    };
    sched.answers(Answer::Command(reply));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let call = post(&gate, "/v1/command")
        .bearer_auth(TOKEN)
        .body("shwo jobs");
    let answer = call.send().await.unwrap();
    assert_eq!(answer.status(), 400);
    assert_eq!(header(&answer, "content-type"), "application/problem+json");
    let body: Value = answer.json().await.unwrap();
    assert_eq!(body["hint"], "did you mean `show`?");
    assert_eq!(refusals(&gate, Reason::Command).await, 1);
}

#[rstest]
#[case::asked(Some(200), "200")]
#[case::lost(None, "500")]
#[tokio::test]
async fn a_command_is_given_once(#[case] status: Option<u16>, #[case] expected: &str) {
    let sched = Sched::start(NODES[0], document(), &[]);
    let reply = |status| {
        let json = "{\"columns\":[],\"rows\":[]}".into();
        Answer::Command(command::Reply { status, json })
    };
    sched.answers(status.map(reply));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let call = post(&gate, "/v1/command?dry_run=true&confirm=abc").bearer_auth(TOKEN);
    let answer = call.body("drain node n2").send().await.unwrap();
    assert_eq!(answer.status().as_str(), expected);
    let asked = command::Request {
        operator: "duty".to_owned(),
        text: "drain node n2".to_owned(),
        dry_run: true,
        confirm: "abc".to_owned(),
        local: false,
    };
    assert_eq!(
        sched.calls(),
        [fulmarpier_protocol::wire::Call::Command(asked)]
    );
}
