//! The adapter of targets: whole answers, and what each failure proves about a request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use fulmarpier_coordination::platform::{
    target::Error,
    worker::{
        Act,
        Start,
        Sync, //
    },
};
use fulmarpier_standin::{
    Handle,
    Platform,
    Settings, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        TaskId,
        WorkerId, //
    },
    job::Payload,
    resource::Resources,
};
use fulmarpier_transport::platform::{
    Timeouts,
    target::{
        Body,
        Client,
        HeaderMap,
        Limits,
        Method,
        Request,
        StatusCode, //
    },
    worker,
};
use futures::{
    StreamExt,
    stream, //
};
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpSocket, //
    },
};
use uuid::Uuid;

const LONG: Duration = Duration::from_secs(60);

fn client() -> Client {
    Client::new(Limits::default()).expect("a client")
}

async fn control(platform: &Handle, sync: Sync) -> SocketAddr {
    let workers = worker::Client::new(Timeouts::default()).expect("a client");
    let address = platform.worker(WorkerId(1)).expect("the worker");
    let reply = workers.sync(address, &sync).await.expect("a reply");
    reply.inventory.running[0].target.expect("a target")
}

/// Starts a platform with one target.
async fn target(slots: u16) -> (Handle, SocketAddr) {
    let platform = Platform::start(Settings::new(1)).await.expect("started");
    let start = Start {
        task: TaskId::default(),
        attempt: Attempt(1),
        size: Resources::ZERO,
        payload: Payload::default(),
        slots: Some(slots),
        port: 0,
        runtime: None,
    };
    let sync = Sync {
        epoch: Epoch(1),
        start_by: Timestamp::MAX,
        lease: LONG,
        start: vec![start],
        ..Sync::default()
    };
    let address = control(&platform, sync).await;
    (platform, address)
}

fn request(headers: &[(&'static str, &'static str)], body: impl Into<Body>) -> Request {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().expect("a value"));
    }
    Request {
        id: Uuid::now_v7(),
        method: Method::POST,
        path: "/repairs?kind=leak".to_owned(),
        headers: map,
        body: body.into(),
        deadline: LONG,
    }
}

/// Serves one connection with fixed bytes, then closes it.
async fn rogue(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    address
}

#[tokio::test]
async fn a_streamed_body_comes_back_whole() {
    let (platform, address) = target(8).await;
    let pieces: Vec<_> = (0..64_u8).map(|n| Bytes::from(vec![n; 10_000])).collect();
    let sent = pieces.concat();
    let body = Body::wrap_stream(stream::iter(pieces.into_iter().map(Ok::<_, Error>)));
    let request = request(&[("idempotency-key", "order-1")], body);
    let id = request.id.to_string();
    let answer = client().send(address, request).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["fulmarpier-request"], id);
    assert_eq!(answer.collect().await.expect("a body"), sent);
    let seen = &platform.record().requests(0, 10)[0];
    assert_eq!(seen.request, Some(id));
    assert_eq!(seen.key.as_deref(), Some("order-1"));
    assert!(!seen.idempotent && seen.end.is_some());
}

#[tokio::test]
async fn a_target_is_told_the_deadline_and_the_id_and_nothing_of_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let head = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = vec![0; 4096];
        let len = stream.read(&mut head).await.expect("a head");
        head.truncate(len);
        String::from_utf8(head).expect("text")
    });
    let headers = [
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("x-end", "1"),
        ("fulmarpier-request", "forged"),
    ];
    let request = request(&headers, "");
    let id = request.id;
    let _ = client().send(address, request).await;
    let head = head.await.expect("joined");
    assert!(
        head.starts_with("POST /repairs?kind=leak HTTP/1.1\r\n"),
        "{head}"
    );
    assert!(
        head.contains(&format!("fulmarpier-request: {id}\r\n")),
        "{head}"
    );
    assert!(
        head.contains("fulmarpier-deadline: ") && head.contains("x-end: 1"),
        "{head}"
    );
    for gone in ["x-hop", "keep-alive", "forged"] {
        assert!(!head.contains(gone), "{head}");
    }
}

#[tokio::test]
async fn many_requests_get_each_its_own_answer() {
    let (platform, address) = target(100).await;
    let client = client();
    let requests = (0..200_u32).map(|n| {
        let client = client.clone();
        async move {
            let answer = client.send(address, request(&[], n.to_string())).await;
            let body = answer.expect("an answer").collect().await;
            assert_eq!(body.expect("a body"), n.to_string());
        }
    });
    futures::future::join_all(requests).await;
    assert_eq!(platform.summary().answered, 200);
}

#[tokio::test]
async fn a_target_without_a_free_slot_ran_nothing() {
    let (platform, address) = target(0).await;
    let answer = client().send(address, request(&[], "x")).await;
    assert_eq!(answer.expect_err("busy"), Error::Busy);
    let summary = platform.summary();
    assert_eq!((summary.requests, summary.turned_away), (0, 1));
}

#[tokio::test]
async fn a_closed_port_ran_nothing() {
    // Bound and never listening: it refuses, and no other test gets the port meanwhile.
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a port");
    let address = socket.local_addr().expect("an address");
    let answer = client().send(address, request(&[], "x")).await;
    assert_eq!(answer.expect_err("refused"), Error::Refused);
}

#[rstest]
#[case::cut_before_the_answer("cut")]
#[case::answer_to_another_request("other-request")]
#[tokio::test]
async fn a_request_that_ran_without_its_answer_is_unknown(#[case] fault: &'static str) {
    let (platform, address) = target(8).await;
    let request = request(&[("standin-fault", fault)], "x");
    let answer = client().send(address, request).await;
    assert_eq!(answer.expect_err("no answer"), Error::Unknown);
    assert_eq!(platform.summary().requests, 1);
}

#[tokio::test]
async fn a_truncated_answer_ends_with_an_error() {
    let (_platform, address) = target(8).await;
    let request = request(&[("standin-fault", "truncate")], vec![7; 100_000]);
    let answer = client().send(address, request).await.expect("a head");
    let pieces: Vec<_> = answer.body.collect().await;
    assert_eq!(pieces.last(), Some(&Err(Error::Unknown)));
    assert_eq!(pieces.iter().filter(|piece| piece.is_err()).count(), 1);
}

#[rstest]
#[case::shorter_than_promised("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf")]
#[case::last_chunk_missing("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")]
#[case::end_by_closing("HTTP/1.1 200 OK\r\n\r\nperhaps whole")]
#[case::head_cut("HTTP/1.1 200 OK\r\ncontent-le")]
#[case::nothing("")]
#[tokio::test]
async fn an_answer_that_may_be_cut_is_never_taken_for_whole(#[case] bytes: &'static str) {
    let address = rogue(bytes).await;
    let body = match client().send(address, request(&[], "x")).await {
        Ok(answer) => answer.collect().await,
        Err(error) => Err(error),
    };
    assert_eq!(body, Err(Error::Unknown));
}

#[tokio::test]
async fn a_request_that_was_read_but_not_answered_is_never_sent_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let seen = Arc::new(AtomicU32::new(0));
    tokio::spawn(answer_every_other(listener, seen.clone()));
    let client = client();
    for round in 1..=20 {
        // The first makes a connection that the second finds in the pool.
        let first = client.send(address, request(&[], "")).await;
        assert!(first.expect("an answer").collect().await.is_ok());
        let second = client.send(address, request(&[], "")).await;
        assert_eq!(second.expect_err("no answer"), Error::Unknown);
        assert_eq!(seen.load(Ordering::SeqCst), 2 * round);
    }
}

/// Answers the first request on each connection, reads the second and closes without an answer.
async fn answer_every_other(listener: TcpListener, seen: Arc<AtomicU32>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let seen = seen.clone();
        tokio::spawn(async move {
            let _ = stream.read(&mut [0; 4096]).await;
            seen.fetch_add(1, Ordering::SeqCst);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(answer).await;
            if stream.read(&mut [0; 4096]).await.is_ok_and(|len| len > 0) {
                seen.fetch_add(1, Ordering::SeqCst);
            }
        });
    }
}

#[tokio::test]
async fn a_request_past_its_deadline_is_unknown() {
    let (_platform, address) = target(8).await;
    let request = Request {
        deadline: Duration::from_millis(20),
        ..request(&[("standin-work", "1h")], "x")
    };
    let answer = client().send(address, request).await;
    assert_eq!(answer.expect_err("too late"), Error::Unknown);
}

#[tokio::test]
async fn the_bound_on_connections_holds_back_and_nothing_is_sent() {
    let (platform, address) = target(8).await;
    let client = Client::new(Limits {
        connections: 1,
        ..Limits::default()
    })
    .expect("a client");
    let held = client
        .send(address, request(&[], "first"))
        .await
        .expect("a head");
    let second = Request {
        deadline: Duration::from_millis(20),
        ..request(&[], "second")
    };
    let answer = client.send(address, second).await;
    assert_eq!(answer.expect_err("held back"), Error::Busy);
    assert_eq!(platform.summary().requests, 1);
    assert_eq!(held.collect().await, Ok(Bytes::from_static(b"first")));
}

#[tokio::test]
async fn a_target_that_is_stopped_finishes_what_it_runs_and_takes_nothing_new() {
    let (platform, address) = target(8).await;
    let client = client();
    let running = tokio::spawn({
        let client = client.clone();
        let request = request(&[("standin-work", "200ms")], "old");
        async move { client.send(address, request).await?.collect().await }
    });
    while platform.summary().requests == 0 {
        tokio::task::yield_now().await;
    }
    let stop = Sync {
        epoch: Epoch(1),
        act: vec![(TaskId::default(), Attempt(1), Act::Stop)],
        grace: LONG,
        ..Sync::default()
    };
    control(&platform, stop).await;
    let refused = client.send(address, request(&[], "new")).await;
    let refused = refused.expect_err("leaving");
    // Refused, where the old request has ended meanwhile and the listener with it.
    assert!(
        matches!(refused, Error::Busy | Error::Refused),
        "{refused:?}"
    );
    assert_eq!(
        running.await.expect("joined"),
        Ok(Bytes::from_static(b"old"))
    );
}
