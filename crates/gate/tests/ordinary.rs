//! Ordinary requests: whole answers, safe retries, early refusals and a drain that cuts nothing.

mod support;

use fulmarpier_gate::End;
use fulmarpier_state::refusal::Reason;
use futures::future::join_all;
use reqwest::Client;
use rstest::rstest;
use support::{
    NODES,
    PATIENCE,
    Sched,
    Targets,
    dead,
    document,
    gate,
    get,
    header,
    lonely_gate,
    post,
    problem,
    ready,
    refusals,
    retries,
    until,
    url, //
};

use tokio::time::timeout;

const DESK: &str = "/v1/services/desk/requests";

#[tokio::test]
async fn an_answer_comes_whole_with_its_identity() {
    let mut targets = Targets::new();
    let target = targets.open(8);
    let sched = Sched::start(NODES[0], document(), &[(target, 8)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, &format!("{DESK}/surveys/7?floor=2"))
        .body("damp wall")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "fulmarpier-outcome"), "ran");
    assert_eq!(header(&answer, "fulmarpier-target"), target.id.to_string());
    let id = header(&answer, "fulmarpier-request").to_owned();
    assert_eq!(answer.text().await.unwrap(), "damp wall");
    let ran = targets.record().requests(0, 10);
    let ids: Vec<_> = ran.iter().map(|request| request.request.clone()).collect();
    assert_eq!(ids, [Some(id)]);
}

#[tokio::test]
async fn callers_that_wait_for_one_slot_each_get_their_own_answer() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let sched = Sched::start(NODES[0], document(), &[(target, 1)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let client = Client::new();
    let calls = (0..20).map(|number| {
        let call = client
            .post(url(&gate, DESK))
            .body(format!("tenant {number}"));
        async move { call.send().await.unwrap().text().await.unwrap() }
    });
    let answers = join_all(calls).await;
    let expected: Vec<_> = (0..20).map(|number| format!("tenant {number}")).collect();
    assert_eq!(answers, expected);
    assert_eq!(targets.record().summary().turned_away, 0);
}

#[tokio::test]
async fn a_long_answer_is_streamed_whole() {
    let mut targets = Targets::new();
    let target = targets.open(2);
    let sched = Sched::start(NODES[0], document(), &[(target, 2)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let body = vec![7_u8; 700_000];
    let answer = post(&gate, DESK).body(body.clone()).send().await.unwrap();
    assert!(answer.bytes().await.unwrap() == body);
    until(|| sched.held(target) > 0).await;
}

#[tokio::test]
async fn a_cut_answer_is_never_a_shorter_success() {
    let mut targets = Targets::new();
    let target = targets.open(8);
    let sched = Sched::start(NODES[0], document(), &[(target, 8)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, DESK)
        .header("Standin-Fault", "truncate")
        .body("x".repeat(2_000))
        .send()
        .await;
    let body = answer.unwrap().bytes().await;
    assert!(body.is_err(), "{body:?}");
}

#[rstest]
#[case::cut_before_the_head("cut")]
#[case::an_answer_to_another_request("other-request")]
#[tokio::test]
async fn a_target_that_fails_every_attempt_gives_a_problem(#[case] fault: &str) {
    let mut targets = Targets::new();
    let target = targets.open(8);
    let sched = Sched::start(NODES[0], document(), &[(target, 8)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, DESK)
        .header("Standin-Fault", fault)
        .body("leak")
        .send()
        .await
        .unwrap();
    assert_eq!(problem(answer).await, "502 target-failed unknown later");
    assert_eq!(targets.runs(), 3);
    assert_eq!(retries(&gate, "target-unknown").await, 2);
    assert_eq!(refusals(&gate, Reason::TargetFailed).await, 1);
}

#[tokio::test]
async fn a_dead_target_and_a_full_one_are_passed_over() {
    let mut targets = Targets::new();
    let (good, small) = (targets.open(8), targets.open(1));
    // The sched believes in a target that is gone, and in more slots than the small one has.
    let sched = Sched::start(NODES[0], document(), &[(dead(), 2), (small, 2), (good, 8)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let client = Client::new();
    let calls = (0..30).map(|_| {
        let call = client.post(url(&gate, DESK)).header("Standin-Work", "5ms");
        async move { call.send().await.unwrap().status().as_u16() }
    });
    let statuses = join_all(calls).await;
    assert_eq!(statuses, [200; 30]);
    assert_eq!(targets.runs(), 30);
}

#[tokio::test]
async fn what_cannot_start_in_time_is_refused_and_not_run() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let sched = Sched::start(NODES[0], document(), &[(target, 1)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let slow = post(&gate, DESK).header("Standin-Work", "1s").body("slow");
    let slow = tokio::spawn(slow.send());
    targets.began(1).await;
    let late = post(&gate, DESK).header("Fulmarpier-Deadline", "50ms");
    let answer = late.send().await.unwrap();
    assert_eq!(problem(answer).await, "504 deadline not_run later");
    assert_eq!(slow.await.unwrap().unwrap().status(), 200);
    assert_eq!(targets.runs(), 1);
}

#[tokio::test]
async fn without_a_target_the_refusal_is_final_and_true() {
    let sched = Sched::start(NODES[0], document(), &[]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, DESK).body("leak").send().await.unwrap();
    assert_eq!(problem(answer).await, "503 no-target not_run later");
    assert_eq!(refusals(&gate, Reason::NoTarget).await, 1);
}

#[tokio::test]
async fn a_gate_without_scheds_is_not_ready() {
    let gate = lonely_gate().await;
    let ready = get(&gate, "/readyz").send().await.unwrap();
    assert_eq!(problem(ready).await, "503 no-owner not_run later");
    let live = get(&gate, "/healthz").send().await.unwrap();
    assert_eq!(live.status(), 200);
}

#[tokio::test]
async fn a_drain_cuts_nothing_and_gives_the_slots_back() {
    let mut targets = Targets::new();
    let target = targets.open(4);
    let sched = Sched::start(NODES[0], document(), &[(target, 4)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let call = post(&gate, DESK).header("Standin-Work", "300ms");
            let call = call.body(format!("survey {number}")).send();
            tokio::spawn(async move { call.await?.text().await })
        })
        .collect();
    targets.began(4).await;
    let end = gate.stop().await.unwrap();
    assert_eq!(end, End::Whole);
    for (number, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.unwrap().unwrap(), format!("survey {number}"));
    }
    assert_eq!(sched.held(target), 0);
}

#[tokio::test]
async fn a_drain_by_command_is_refused_and_taken_back() {
    let mut targets = Targets::new();
    let target = targets.open(4);
    let sched = Sched::start(NODES[0], document(), &[(target, 4)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let mut drained = document();
    drained.drained.nodes.insert(NODES[0]);
    sched.publish(drained);
    let refused = timeout(PATIENCE, async {
        loop {
            let answer = post(&gate, DESK).send().await.unwrap();
            if answer.status() != 200 {
                return answer;
            }
        }
    });
    let refused = problem(refused.await.unwrap()).await;
    assert_eq!(refused, "503 draining not_run later");
    let answer = get(&gate, "/readyz").send().await.unwrap();
    assert_eq!(problem(answer).await, "503 draining not_run later");
    sched.publish(document());
    ready(&gate).await;
    let answer = post(&gate, DESK).send().await.unwrap();
    assert_eq!(answer.status(), 200);
}
