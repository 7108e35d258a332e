//! Jobs through the gate: one shard an id, safe repeats, and questions that find their job.

mod support;

use std::time::Duration;

use fulmarpier_gate::job::{
    fresh,
    home, //
};
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    cancel,
    job,
    submit, //
};
use fulmarpier_state::{
    id::{
        JobId,
        ShardId, //
    },
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};
use reqwest::Client;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use support::{
    NODES,
    Sched,
    document,
    gate,
    get,
    header,
    post,
    problem,
    ready,
    retries,
    sched::SHARD,
    url, //
};

const ID: &str = "0190a6b2-0000-7000-8000-000000000001";

fn batch() -> Value {
    json!({"team": "repair", "kind": "batch", "tasks": 2, "program": "survey",
           "size": {"cpu": "500m", "memory": "64MiB"}})
}

/// How often an answer is given; the gate asks again while it can't be told.
const TRIES: usize = 50;

fn unknown(settled: &[ShardId]) -> job::Reply {
    let settled = settled.to_vec();
    job::Reply::Unknown { settled }
}

fn accepted() -> Answer {
    Answer::Submit(submit::Reply::Accepted)
}

fn submissions(sched: &Sched) -> Vec<submit::Request> {
    let calls = sched.calls().into_iter();
    calls
        .filter_map(|call| match call {
            Call::Submit(request) => Some(request),
            _ => None,
        })
        .collect()
}

#[tokio::test]
async fn a_job_is_accepted_with_an_id_that_names_its_shard() {
    let sched = Sched::start(NODES[0], document(), &[]);
    sched.answers(accepted());
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, "/v1/jobs").json(&batch()).send().await.unwrap();
    assert_eq!(answer.status(), 202);
    let body: Value = answer.json().await.unwrap();
    assert_eq!(body["state"], "waiting");
    let sent = submissions(&sched).remove(0);
    assert_eq!(body["job"], sent.id.to_string());
    assert_eq!(
        home(sent.id, &[ShardId(7), sent.shard, ShardId(9)]),
        Some(sent.shard)
    );
}

#[tokio::test]
async fn a_lost_answer_is_settled_with_the_same_id() {
    let sched = Sched::start(NODES[0], document(), &[]);
    sched.answers(None);
    sched.answers(Answer::Submit(submit::Reply::Known));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, "/v1/jobs").json(&batch()).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let sent = submissions(&sched);
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[0], sent[1]);
    assert_eq!(retries(&gate, "answer-lost").await, 1);
}

#[tokio::test]
async fn a_refusal_after_a_lost_answer_does_not_say_not_run() {
    let sched = Sched::start(NODES[0], document(), &[]);
    sched.answers(None);
    let refusal = Refusal::new(Reason::LogUnavailable, "the log is away");
    sched.answers(Answer::Submit(submit::Reply::Refused(refusal)));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, "/v1/jobs").json(&batch()).send().await.unwrap();
    assert_eq!(problem(answer).await, "503 log-unavailable unknown final");
}

#[rstest]
#[case::own_id(None, "503 no-owner not_run later")]
#[case::callers_id(Some(ID), "503 no-owner unknown later")]
#[tokio::test]
async fn without_an_owner_only_a_fresh_id_is_known_not_to_run(
    #[case] id: Option<&str>,
    #[case] expected: &str,
) {
    let sched = Sched::start(NODES[0], document(), &[]);
    sched.disown();
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let mut body = batch();
    if let Some(id) = id {
        body["id"] = id.into();
    }
    let call = post(&gate, "/v1/jobs")
        .json(&body)
        .header("Fulmarpier-Deadline", "150ms");
    assert_eq!(problem(call.send().await.unwrap()).await, expected);
    assert_eq!(sched.calls(), []);
}

#[tokio::test]
async fn a_refusal_of_the_owner_is_passed_on() {
    let sched = Sched::start(NODES[0], document(), &[]);
    let refusal = Refusal::new(Reason::TooLarge, "no worker has 500m");
    sched.answers(Answer::Submit(submit::Reply::Refused(refusal)));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, "/v1/jobs").json(&batch()).send().await.unwrap();
    assert_eq!(problem(answer).await, "422 too-large not_run final");
}

#[tokio::test]
async fn a_question_goes_on_to_the_scheds_that_may_know() {
    let owner = Sched::start(NODES[0], document(), &[]);
    let other = Sched::start(NODES[1], document(), &[]);
    other.disown();
    owner.answers(Answer::Job(unknown(&[])));
    other.answers(Answer::Job(job::Reply::Found("{\"job\":1}".into())));
    let gate = gate(&[&owner, &other]).await;
    ready(&gate).await;
    let path = format!("/v1/jobs/{ID}?wait=3s");
    let answer = get(&gate, &path).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "content-type"), "application/json");
    assert_eq!(answer.text().await.unwrap(), "{\"job\":1}");
    let wait = other.calls().iter().any(|call| match call {
        Call::Job(request) => request.wait == Duration::from_secs(3),
        _ => false,
    });
    assert!(wait);
}

#[rstest]
#[case::nobody_knows(
    Some(Answer::Job(unknown(&[SHARD]))),
    "404 unknown-job unknown final"
)]
#[case::nobody_tells(None, "503 no-owner unknown later")]
#[case::a_shard_is_between_two_owners(
    Some(Answer::Job(unknown(&[]))),
    "503 no-owner unknown later"
)]
#[tokio::test]
async fn a_job_is_unknown_only_where_all_were_asked(
    #[case] answer: Option<Answer>,
    #[case] expected: &str,
) {
    let sched = Sched::start(NODES[0], document(), &[]);
    for _ in 0..TRIES {
        sched.answers(answer.clone());
    }
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = get(&gate, &format!("/v1/jobs/{ID}")).send().await.unwrap();
    assert_eq!(problem(answer).await, expected);
}

#[tokio::test]
async fn a_cancellation_reaches_the_owner() {
    let sched = Sched::start(NODES[0], document(), &[]);
    sched.answers(Answer::Cancel(cancel::Reply::Found(
        submit::Reply::Accepted,
    )));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let call = Client::new().delete(url(&gate, &format!("/v1/jobs/{ID}")));
    let answer = call.send().await.unwrap();
    assert_eq!(answer.status(), 202);
    let id: JobId = ID.parse().unwrap();
    assert_eq!(sched.calls(), [Call::Cancel(cancel::Request { id })]);
}

#[test]
fn a_callers_id_is_at_home_in_one_shard_whatever_the_order() {
    let id: JobId = ID.parse().unwrap();
    let shards = [ShardId(100), ShardId(101), ShardId(200), ShardId(201)];
    let mut turned = shards;
    turned.reverse();
    let at = home(id, &shards);
    assert!(at.is_some());
    assert_eq!(at, home(id, &turned));
    assert_eq!(home(id, &[]), None);
}

#[test]
fn a_fresh_id_is_ordered_by_time_and_names_its_shard() {
    let at = |millis| fresh(ShardId(302), Duration::from_millis(millis), [0xff; 8]);
    insta::assert_snapshot!(at(1_700_000_000_000), @"018bcfe5-6800-8fff-bfff-ffffffff012e");
    assert!(at(1) < at(2));
    assert_eq!(home(at(1), &[ShardId(1), ShardId(302)]), Some(ShardId(302)));
}

#[tokio::test]
async fn a_submission_whose_fate_the_owner_cannot_tell_is_sent_again() {
    let sched = Sched::start(NODES[0], document(), &[]);
    let refusal = Refusal::new(Reason::LogUnavailable, "the append is not settled");
    let refusal = refusal.outcome(Outcome::Unknown);
    sched.answers(Answer::Submit(submit::Reply::Refused(refusal)));
    sched.answers(Answer::Submit(submit::Reply::Known));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, "/v1/jobs").json(&batch()).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let sent = submissions(&sched);
    assert_eq!(sent[0], sent[1]);
}

#[tokio::test]
async fn a_shard_between_two_owners_is_asked_again() {
    let sched = Sched::start(NODES[0], document(), &[]);
    let refusal = Refusal::new(Reason::NoOwner, "the shard is being handed over");
    sched.answers(Answer::Submit(submit::Reply::Refused(refusal)));
    sched.answers(accepted());
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, "/v1/jobs").json(&batch()).send().await.unwrap();
    assert_eq!(answer.status(), 202);
    assert_eq!(submissions(&sched).len(), 2);
}
