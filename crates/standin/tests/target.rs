//! Requests at targets, as the record sees them.

use std::{
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    time::Duration,
};

use fulmarpier_coordination::platform::target::Id;
use fulmarpier_standin::{
    fault::Faults,
    record::Record,
    target::{
        Host,
        Target, //
    },
};
use fulmarpier_state::id::{
    Attempt,
    TaskId,
    WorkerId, //
};
use fulmarpier_transport::clock::Clock;
use reqwest::{
    Client,
    Response,
    StatusCode, //
};
use rstest::rstest;
use tokio::sync::watch;

fn target(slots: u16) -> (Record, Target) {
    let record = Record::new(100);
    let host = Host {
        worker: WorkerId(1),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        connections: 60,
        work: Duration::ZERO,
        clock: Clock::start(),
        record: record.clone(),
        faults: Faults::new(1, Duration::ZERO),
        paused: watch::channel(false).1,
    };
    let id = Id {
        task: TaskId::default(),
        attempt: Attempt(1),
    };
    let target = host.open(id, slots, 0).expect("open");
    (record, target)
}

async fn send(target: &Target, headers: &[(&str, &str)]) -> Response {
    let mut request = Client::new().post(format!("http://{}/x", target.address()));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body("order").send().await.expect("an answer")
}

#[rstest]
#[case::strict_by_default(&[("idempotency-key", "k")], 1)]
#[case::strict(&[("idempotency-key", "k"), ("fulmarpier-idempotent", "false")], 1)]
#[case::idempotent(&[("idempotency-key", "k"), ("fulmarpier-idempotent", "true")], 0)]
#[case::without_a_key(&[], 0)]
#[tokio::test]
async fn a_key_that_ran_twice_is_a_violation(
    #[case] headers: &[(&str, &str)],
    #[case] doubled: u64,
) {
    let (record, target) = target(8);
    for _ in 0..2 {
        assert_eq!(send(&target, headers).await.status(), StatusCode::OK);
    }
    let summary = record.summary();
    assert_eq!((summary.requests, summary.answered), (2, 2));
    assert_eq!(summary.violations.doubled_keys, doubled);
}

#[tokio::test]
async fn no_more_requests_run_than_there_are_slots() {
    let (record, target) = target(2);
    let work = [("standin-work", "300ms")];
    let answers = futures::future::join_all((0..10).map(|_| send(&target, &work))).await;
    let busy = answers
        .iter()
        .filter(|a| a.headers().contains_key("target-busy"));
    assert_eq!(busy.count() as u64, record.summary().turned_away);
    let mut spans: Vec<_> = record.requests(0, 100);
    assert!(!spans.is_empty());
    spans.sort_by_key(|request| request.start);
    for three in spans.windows(3) {
        assert!(three[0].end.min(three[1].end) <= Some(three[2].start));
    }
}

#[tokio::test]
async fn the_answer_echoes_the_body_with_its_digest_and_the_request() {
    let (_record, target) = target(1);
    let answer = send(
        &target,
        &[("fulmarpier-request", "r1"), ("standin-status", "202")],
    )
    .await;
    assert_eq!(answer.status(), StatusCode::ACCEPTED);
    assert_eq!(answer.headers()["fulmarpier-request"], "r1");
    assert_eq!(answer.headers()["standin-digest"].len(), 16);
    assert_eq!(answer.text().await.expect("a body"), "order");
}
