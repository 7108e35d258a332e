//! Non-idempotent requests: at most once, with outcomes that are true.

mod support;

use fulmarpier_coordination::request::{
    Answer as Kept,
    Ticket, //
};
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    begin,
    finish, //
};
use fulmarpier_state::refusal::{
    Outcome,
    Reason,
    Refusal, //
};
use reqwest::RequestBuilder;
use rstest::rstest;
use support::{
    NODES,
    Sched,
    Targets,
    dead,
    document,
    gate,
    header,
    holds,
    post,
    problem,
    ready,
    retries,
    until, //
};

const DESK: &str = "/v1/services/desk/requests/orders";
const KEY: &str = "order-17";

fn order(gate: &fulmarpier_gate::Gate) -> RequestBuilder {
    post(gate, DESK)
        .header("Idempotency-Key", KEY)
        .body("two radiators")
}

fn grant(ticket: u64) -> Answer {
    Answer::Begin(begin::Reply::Grant {
        ticket: Ticket(ticket),
    })
}

fn finished() -> Answer {
    Answer::Finish(finish::Reply { known: true })
}

/// Returns the reports of ends that a sched got.
fn reports(sched: &Sched) -> Vec<finish::Request> {
    let calls = sched.calls().into_iter();
    calls
        .filter_map(|call| match call {
            Call::Finish(request) => Some(request),
            _ => None,
        })
        .collect()
}

#[tokio::test]
async fn a_granted_request_is_sent_once_and_its_end_reported() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let sched = Sched::start(NODES[0], document(), &[(target, 1)]);
    sched.answers(grant(5));
    sched.answers(finished());
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate)
        .header("Content-Type", "text/plain")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "fulmarpier-outcome"), "ran");
    assert_eq!(header(&answer, "fulmarpier-replayed"), "");
    assert_eq!(answer.text().await.unwrap(), "two radiators");
    until(|| !reports(&sched).is_empty()).await;
    let report = reports(&sched).remove(0);
    assert_eq!(report.ticket, Ticket(5));
    assert_eq!(report.outcome, Outcome::Ran);
    let kept = Kept {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: "two radiators".into(),
    };
    assert_eq!(report.answer, Some(kept));
    assert_eq!(targets.runs(), 1);
}

#[tokio::test]
async fn a_kept_answer_is_given_again_without_a_run() {
    let targets = Targets::new();
    let sched = Sched::start(NODES[0], document(), &[]);
    let kept = Kept {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: "order 17".into(),
    };
    sched.answers(Answer::Begin(begin::Reply::Replay(kept)));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate).send().await.unwrap();
    assert_eq!(answer.status(), 201);
    assert_eq!(header(&answer, "fulmarpier-replayed"), "true");
    assert_eq!(header(&answer, "fulmarpier-outcome"), "ran");
    assert_eq!(header(&answer, "content-type"), "text/plain");
    assert_eq!(answer.text().await.unwrap(), "order 17");
    assert_eq!(targets.runs(), 0);
}

#[rstest]
#[case::reused(Reason::KeyReused, Outcome::NotRun, "422 key-reused not_run final")]
#[case::aged(Reason::KeyAged, Outcome::Unknown, "409 key-aged unknown final")]
#[case::ran(Reason::AlreadyRan, Outcome::Ran, "409 already-ran ran final")]
#[tokio::test]
async fn the_home_shard_has_the_last_word(
    #[case] reason: Reason,
    #[case] outcome: Outcome,
    #[case] expected: &str,
) {
    let sched = Sched::start(NODES[0], document(), &[]);
    let refusal = Refusal::new(reason, "as the ledger has it").outcome(outcome);
    sched.answers(Answer::Begin(begin::Reply::Refused(refusal)));
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate).send().await.unwrap();
    assert_eq!(problem(answer).await, expected);
}

#[tokio::test]
async fn grants_that_are_lost_again_and_again_send_nothing_and_claim_nothing() {
    let targets = Targets::new();
    let sched = Sched::start(NODES[0], document(), &[]);
    for _ in 0..3 {
        sched.answers(None);
    }
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate).send().await.unwrap();
    // The key may have run before, through another gate, so "not run" might be untrue.
    assert_eq!(problem(answer).await, "500 internal unknown later");
    assert_eq!(sched.calls().len(), 3);
    assert_eq!(targets.runs(), 0);
}

#[tokio::test]
async fn a_lost_grant_is_asked_for_again_by_the_same_flow() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let sched = Sched::start(NODES[0], document(), &[(target, 1)]);
    sched.answers(None);
    sched.answers(grant(4));
    sched.answers(finished());
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(targets.runs(), 1);
    let nonces: Vec<u64> = sched
        .calls()
        .into_iter()
        .filter_map(|call| match call {
            Call::Begin(request) => Some(request.nonce),
            _ => None,
        })
        .collect();
    assert_eq!(nonces.len(), 2);
    assert_eq!(nonces[0], nonces[1]);
}

#[tokio::test]
async fn without_an_owner_nothing_is_sent() {
    let sched = Sched::start(NODES[0], document(), &[]);
    sched.disown();
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate)
        .header("Fulmarpier-Deadline", "150ms")
        .send()
        .await
        .unwrap();
    assert_eq!(problem(answer).await, "503 no-owner unknown later");
    assert_eq!(sched.calls(), []);
    assert!(retries(&gate, "no-owner").await > 0);
}

#[tokio::test]
async fn an_owner_that_is_not_ready_is_asked_again() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let sched = Sched::start(NODES[0], document(), &[(target, 1)]);
    let refusal = Refusal::new(Reason::NoOwner, "the shard is not active yet");
    sched.answers(Answer::Begin(begin::Reply::Refused(refusal)));
    sched.answers(grant(6));
    sched.answers(finished());
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(targets.runs(), 1);
    assert_eq!(retries(&gate, "no-owner").await, 1);
}

#[tokio::test]
async fn a_moved_shard_is_followed() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let old = Sched::start(NODES[0], document(), &[(target, 1)]);
    let new = Sched::start(NODES[1], document(), &[]);
    new.disown();
    old.answers(Answer::Begin(begin::Reply::Elsewhere(NODES[1])));
    new.answers(grant(6));
    old.answers(finished());
    let gate = gate(&[&old, &new]).await;
    ready(&gate).await;
    let answer = order(&gate).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(targets.runs(), 1);
    assert_eq!(retries(&gate, "moved").await, 1);
}

#[tokio::test]
async fn a_dead_target_leads_to_another_grant() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let sched = Sched::start(NODES[0], document(), &[(dead(), 1)]);
    sched.answers(grant(7));
    sched.answers(finished());
    sched.answers(grant(8));
    sched.answers(finished());
    sched.hold_after(2);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = tokio::spawn(order(&gate).send());
    until(|| !reports(&sched).is_empty()).await;
    // The second grant comes when there is a good target for it.
    sched.offer(target, 1);
    holds(&gate, 2).await;
    sched.hold_after(usize::MAX);
    assert_eq!(answer.await.unwrap().unwrap().status(), 200);
    until(|| reports(&sched).len() == 2).await;
    let ends: Vec<_> = reports(&sched)
        .into_iter()
        .map(|report| (report.ticket.0, report.outcome))
        .collect();
    assert_eq!(ends, [(7, Outcome::NotRun), (8, Outcome::Ran)]);
    assert_eq!(targets.runs(), 1);
}

#[rstest]
#[case::cut("cut")]
#[case::an_answer_to_another_request("other-request")]
#[tokio::test]
async fn a_failed_target_is_unknown_and_never_asked_again(#[case] fault: &str) {
    let mut targets = Targets::new();
    let target = targets.open(8);
    let sched = Sched::start(NODES[0], document(), &[(target, 8)]);
    sched.answers(grant(9));
    sched.answers(finished());
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate)
        .header("Standin-Fault", fault)
        .send()
        .await
        .unwrap();
    assert_eq!(problem(answer).await, "502 target-failed unknown final");
    until(|| !reports(&sched).is_empty()).await;
    assert_eq!(reports(&sched)[0].outcome, Outcome::Unknown);
    assert_eq!(targets.runs(), 1);
}

#[tokio::test]
async fn a_lost_report_is_sent_again() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let sched = Sched::start(NODES[0], document(), &[(target, 1)]);
    sched.answers(grant(10));
    sched.answers(None);
    sched.answers(finished());
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    until(|| reports(&sched).len() == 2).await;
    let reports = reports(&sched);
    assert_eq!(reports[0], reports[1]);
    assert_eq!(targets.runs(), 1);
}

#[tokio::test]
async fn a_caller_that_leaves_does_not_stop_its_request() {
    let mut targets = Targets::new();
    let target = targets.open(1);
    let sched = Sched::start(NODES[0], document(), &[(target, 1)]);
    sched.answers(grant(11));
    sched.answers(finished());
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let call = order(&gate).header("Standin-Work", "200ms").send();
    let call = tokio::spawn(call);
    targets.began(1).await;
    call.abort();
    until(|| !reports(&sched).is_empty()).await;
    assert_eq!(reports(&sched)[0].outcome, Outcome::Ran);
}

#[tokio::test]
async fn a_key_with_an_idempotent_request_is_not_kept() {
    let mut targets = Targets::new();
    let target = targets.open(2);
    let sched = Sched::start(NODES[0], document(), &[(target, 2)]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = order(&gate)
        .header("Fulmarpier-Idempotent", "true")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(sched.calls(), []);
}

#[rstest]
#[case::no_time("desk", "0s", "504 deadline unknown final")]
#[case::service_gone("kitchen", "1s", "404 unknown-service unknown final")]
#[tokio::test]
async fn a_key_that_was_not_looked_up_is_not_said_not_to_have_run(
    #[case] service: &str,
    #[case] deadline: &str,
    #[case] expected: &str,
) {
    let sched = Sched::start(NODES[0], document(), &[]);
    let gate = gate(&[&sched]).await;
    ready(&gate).await;
    let answer = post(&gate, &format!("/v1/services/{service}/requests"))
        .header("Idempotency-Key", KEY)
        .header("Fulmarpier-Deadline", deadline)
        .send()
        .await
        .unwrap();
    assert_eq!(problem(answer).await, expected);
    assert_eq!(sched.calls(), []);
}
