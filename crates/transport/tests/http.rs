//! The HTTP server: its limit on connections and its graceful end.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use axum::{
    Router,
    body::Body,
    extract::State,
    routing::{
        get,
        post, //
    },
};
use bytes::Bytes;
use fulmarpier_transport::{
    crowd::Crowd,
    http::{
        Drained,
        Error,
        Limits,
        Patience,
        Server, //
    },
};
use futures::stream;
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::{
        Semaphore,
        oneshot, //
    },
    task::JoinHandle,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

const LONG: Duration = Duration::from_secs(60);
/// A day of virtual time, in which everything that is bounded has ended.
const DAY: Duration = Duration::from_secs(86_400);

struct Running {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: JoinHandle<Drained>,
    /// Lets one request each go on.
    gate: Arc<Semaphore>,
    /// Gets one permit for each request that arrived.
    arrived: Arc<Semaphore>,
}

async fn held(
    State((gate, arrived)): State<(Arc<Semaphore>, Arc<Semaphore>)>,
    body: String,
) -> String {
    arrived.add_permits(1);
    gate.acquire().await.expect("open").forget();
    body
}

/// Answers after much longer than a connection may be idle.
async fn slow() -> &'static str {
    sleep(Duration::from_secs(600)).await;
    "slow"
}

/// Gives an answer without end; its guard is dropped with it.
async fn endless(State((_, ended)): State<(Arc<Semaphore>, Arc<Semaphore>)>) -> Body {
    let guard = Guard(ended);
    let piece = Bytes::from(vec![0; 1 << 20]);
    Body::from_stream(stream::repeat_with(move || {
        let _held = &guard;
        Ok::<_, Infallible>(piece.clone())
    }))
}

/// Adds a permit when dropped.
struct Guard(Arc<Semaphore>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

async fn server(limits: Limits) -> Running {
    let (gate, arrived) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(0)));
    let router = Router::new()
        .route("/held", post(held))
        .route("/slow", get(slow))
        .route("/endless", get(endless))
        .route("/quick", get(async || "quick"))
        .with_state((gate.clone(), arrived.clone()));
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(any, limits).await.expect("bound");
    let address = server.address();
    let (stop, stopped) = oneshot::channel();
    let serving = server.serve(router, async {
        let _ = stopped.await;
    });
    Running {
        address,
        stop,
        ended: tokio::spawn(serving),
        gate,
        arrived,
    }
}

fn limits() -> Limits {
    Limits {
        connections: 100,
        linger: Duration::ZERO,
        drain: LONG,
        patience: Patience {
            idle: Duration::from_secs(60),
            body: Duration::from_secs(30),
            stall: Duration::from_secs(30),
        },
        crowd: Crowd::unbounded(),
    }
}

async fn until_closed(address: SocketAddr) {
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_graceful_end_cuts_off_no_request() {
    let server = server(limits()).await;
    let url = format!("http://{}/held", server.address);
    let requests: Vec<_> = (0..20_u32)
        .map(|n| {
            let request = reqwest::Client::new().post(&url).body(n.to_string());
            tokio::spawn(async move { request.send().await?.text().await })
        })
        .collect();
    let _ = server.arrived.acquire_many(20).await.expect("open");
    server.stop.send(()).expect("running");
    until_closed(server.address).await;
    server.gate.add_permits(20);
    for (n, request) in requests.into_iter().enumerate() {
        let answer = request.await.expect("joined").expect("a whole answer");
        assert_eq!(answer, n.to_string());
    }
    assert_eq!(server.ended.await.expect("joined"), Drained::Whole);
}

#[tokio::test]
async fn a_leaving_server_asks_callers_to_close_and_still_serves_them() {
    let server = server(Limits {
        linger: LONG,
        ..limits()
    })
    .await;
    let client = reqwest::Client::new();
    let url = format!("http://{}/quick", server.address);
    let before = client.get(&url).send().await.expect("an answer");
    assert!(!before.headers().contains_key("connection"));
    server.stop.send(()).expect("running");
    let mut after = client.get(&url).send().await.expect("an answer");
    while !after.headers().contains_key("connection") {
        after = client.get(&url).send().await.expect("an answer");
    }
    assert_eq!(after.headers()["connection"], "close");
    assert_eq!(after.text().await.expect("a body"), "quick");
}

#[tokio::test]
async fn an_end_that_runs_out_of_time_says_what_it_cut() {
    let server = server(Limits {
        drain: Duration::from_millis(10),
        ..limits()
    })
    .await;
    let url = format!("http://{}/held", server.address);
    let request = tokio::spawn(reqwest::Client::new().post(url).body("x").send());
    let _ = server.arrived.acquire().await.expect("open");
    server.stop.send(()).expect("running");
    let drained = server.ended.await.expect("joined");
    assert_eq!(drained, Drained::Cut { connections: 1 });
    assert!(request.await.expect("joined").is_err());
}

#[tokio::test]
async fn connections_over_the_limit_wait_for_their_turn() {
    let server = server(Limits {
        connections: 1,
        ..limits()
    })
    .await;
    let url = format!("http://{}/held", server.address);
    let send = |body: &'static str| {
        let client = reqwest::Client::builder().pool_max_idle_per_host(0).build();
        let request = client.expect("a client").post(&url).body(body);
        tokio::spawn(async move { request.send().await?.text().await })
    };
    let first = send("first");
    server.arrived.acquire().await.expect("open").forget();
    let second = send("second");
    server.gate.add_permits(1);
    assert_eq!(first.await.expect("joined").expect("an answer"), "first");
    server.arrived.acquire().await.expect("open").forget();
    server.gate.add_permits(1);
    assert_eq!(second.await.expect("joined").expect("an answer"), "second");
}

#[rstest]
#[case::silence("")]
#[case::half_a_head("GET /quick HTTP/1.1\r\nhost:")]
#[tokio::test(start_paused = true)]
async fn a_connection_without_a_whole_head_is_closed(#[case] head: &str) {
    let server = server(limits()).await;
    let began = Instant::now();
    let mut stream = TcpStream::connect(server.address).await.expect("a stream");
    stream.write_all(head.as_bytes()).await.expect("sent");
    // Whether it ends or is reset is of no interest.
    let mut rest = Vec::new();
    let _ = timeout(DAY, stream.read_to_end(&mut rest))
        .await
        .expect("an end");
    assert!(began.elapsed() >= Duration::from_secs(60));
}

#[tokio::test(start_paused = true)]
async fn a_request_in_progress_is_not_idle() {
    let server = server(limits()).await;
    let mut stream = TcpStream::connect(server.address).await.expect("a stream");
    for _ in 0..2 {
        let head = b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(head).await.expect("sent");
        let mut answer = vec![0; 4096];
        let len = stream.read(&mut answer).await.expect("an answer");
        assert!(answer[..len].ends_with(b"slow"));
    }
    let mut rest = Vec::new();
    let _ = timeout(DAY, stream.read_to_end(&mut rest))
        .await
        .expect("an end");
    assert!(rest.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_stops_reading_loses_its_connection() {
    let server = server(limits()).await;
    let mut stream = TcpStream::connect(server.address).await.expect("a stream");
    let head = b"GET /endless HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(head).await.expect("sent");
    let ended = timeout(DAY, server.arrived.acquire()).await;
    assert!(ended.is_ok());
}

#[tokio::test]
async fn a_taken_port_is_an_error_with_its_address() {
    let server = server(limits()).await;
    let error = Server::bind(server.address, limits())
        .await
        .expect_err("taken");
    assert!(matches!(error, Error::Bind { address, .. } if address == server.address));
}
