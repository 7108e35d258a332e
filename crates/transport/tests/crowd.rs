//! What clients can make a server hold, and what it tells those that it refuses.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use axum::{
    Router,
    body::Body,
    extract::State,
    http::StatusCode,
    response::{
        IntoResponse,
        Response, //
    },
    routing::{
        get,
        post, //
    },
};
use fulmarpier_state::unit::Bytes;
use fulmarpier_transport::{
    crowd::{
        Crowd,
        Limit, //
    },
    http::{
        Cut,
        Limits,
        Listener,
        Patience,
        Refusal,
        Server,
        receive, //
    },
};
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

const MAX_BODY: usize = 1 << 20;
/// A day of virtual time, in which everything that is bounded has ended.
const DAY: Duration = Duration::from_secs(86_400);

async fn upload(State(()): State<()>, body: Body) -> Response {
    match receive(body, MAX_BODY).await {
        Ok(body) => body.len().to_string().into_response(),
        Err(refusal) => {
            let status = match refusal {
                Refusal::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
                Refusal::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
                Refusal::Late => StatusCode::REQUEST_TIMEOUT,
                Refusal::Broken => StatusCode::BAD_REQUEST,
            };
            (status, refusal.to_string()).into_response()
        }
    }
}

/// An answer that is never held whole.
fn streamed() -> Body {
    let pieces = (0..100).map(|_| Ok::<_, std::convert::Infallible>("a".repeat(1_000)));
    Body::from_stream(futures::stream::iter(pieces))
}

async fn server(connections: usize, crowd: &Crowd) -> SocketAddr {
    let router = Router::new()
        .route("/upload", post(upload))
        .route("/quick", get(async || "quick"))
        .route("/large", get(async || "a".repeat(100_000)))
        .route("/streamed", get(async || streamed()))
        .with_state(());
    let limits = Limits {
        connections,
        crowd: crowd.clone(),
        patience: Patience::default(),
        ..Limits::default()
    };
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, limits).await.unwrap();
    let address = server.address();
    tokio::spawn(server.serve(router, std::future::pending()));
    address
}

fn crowd() -> Crowd {
    Crowd::new(Bytes::from_mib(4))
}

async fn connect(server: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(server).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads the status line of an answer; empty where the connection ends without one.
async fn status(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    while !answer.contains(&b'\r') {
        match timeout(DAY, stream.read_buf(&mut answer)).await.unwrap() {
            Ok(1..) => {}
            Ok(0) | Err(_) => return String::new(),
        }
    }
    let line = answer.split(|byte| *byte == b'\r').next();
    String::from_utf8(line.unwrap().to_vec()).unwrap()
}

fn post_of(length: usize) -> String {
    format!("POST /upload HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n")
}

async fn assert_serves(server: SocketAddr) {
    let mut stream = connect(server, &(post_of(2) + "ab")).await;
    assert_eq!(status(&mut stream).await, "HTTP/1.1 200 OK");
}

/// The limits of the HTTP library that are relied on.
#[rstest]
#[case::a_long_header(format!("GET /quick HTTP/1.1\r\na: {}", "b".repeat(9_000)), "431")]
#[case::a_long_path(format!("GET /{}", "b".repeat(9_000)), "431")]
#[case::many_headers(format!("GET /quick HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(101)), "431")]
#[case::a_usual_head(format!("GET /quick HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(90)), "200")]
#[tokio::test]
async fn heads_are_bounded(#[case] head: String, #[case] expected: &str) {
    let server = server(10, &crowd()).await;
    let mut stream = connect(server, &head).await;
    let status = status(&mut stream).await;
    assert!(status.contains(expected), "{status}");
}

#[rstest]
#[case::a_few(2, true)]
#[case::many(100, false)]
#[tokio::test]
async fn empty_lines_before_a_request_are_bounded(#[case] count: usize, #[case] is_served: bool) {
    let crowd = crowd();
    let server = server(10, &crowd).await;
    let lines = "\r\n".repeat(count);
    let mut stream = connect(server, &(lines + "GET /quick HTTP/1.1\r\n\r\n")).await;
    assert_eq!(status(&mut stream).await.contains("200"), is_served);
    assert_eq!(crowd.count(Limit::EmptyLines), u64::from(!is_served));
}

#[tokio::test]
async fn empty_lines_in_a_body_are_not_counted() {
    let server = server(10, &crowd()).await;
    let body = "\n".repeat(100_000);
    let mut stream = connect(server, &(post_of(body.len()) + &body)).await;
    assert_eq!(status(&mut stream).await, "HTTP/1.1 200 OK");
}

#[tokio::test]
async fn a_caller_that_declares_too_much_reads_the_refusal_though_it_sends_on() {
    let server = server(10, &crowd()).await;
    let mut stream = connect(server, &post_of(64 << 20)).await;
    for _ in 0..100 {
        stream.write_all(&[0; 10_000]).await.unwrap();
    }
    assert!(status(&mut stream).await.contains("413"));
}

#[tokio::test(start_paused = true)]
async fn a_drip_does_not_renew_the_time_for_a_body() {
    let crowd = crowd();
    let server = server(10, &crowd).await;
    let mut stream = connect(server, &post_of(1_000)).await;
    let (mut answer, mut drip) = stream.split();
    let dripping = async {
        loop {
            sleep(Duration::from_secs(1)).await;
            if drip.write_all(b"a").await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    let mut line = [0; 12];
    tokio::select! {
        read = answer.read_exact(&mut line) => drop(read.unwrap()),
        () = dripping => {}
    }
    assert_eq!(&line, b"HTTP/1.1 408");
    assert_eq!(crowd.count(Limit::Time), 1);
}

#[tokio::test]
async fn those_that_hold_the_most_go_and_a_small_request_finds_room() {
    let crowd = crowd();
    let server = server(100, &crowd).await;
    let body = "a".repeat(MAX_BODY - 1);
    let mut stalled = Vec::new();
    for _ in 0..12 {
        stalled.push(connect(server, &(post_of(MAX_BODY) + &body)).await);
        assert_serves(server).await;
    }
    assert!(crowd.held() <= Bytes::from_mib(4), "{}", crowd.held());
    assert!(crowd.count(Limit::Memory) > 0);
    let mut refused = 0;
    for stream in &mut stalled {
        if let Ok(status) = timeout(Duration::from_millis(100), status(stream)).await {
            assert!(status.contains("503"), "{status}");
            refused += 1;
        }
    }
    assert!(refused >= 10, "{refused}");
}

#[tokio::test]
async fn what_a_request_held_is_given_back_with_its_answer() {
    let crowd = crowd();
    let server = server(10, &crowd).await;
    let body = "a".repeat(MAX_BODY);
    let mut stream = connect(server, &(post_of(MAX_BODY) + &body)).await;
    assert_eq!(status(&mut stream).await, "HTTP/1.1 200 OK");
    assert!(crowd.held() <= Bytes(100), "{}", crowd.held());
}

#[rstest]
#[case::small("quick", "HTTP/1.1 200 OK")]
#[case::large("large", "")]
#[case::streamed("streamed", "HTTP/1.1 200 OK")]
#[tokio::test]
async fn no_answer_to_a_request_that_ran_says_that_it_did_not(
    #[case] path: &str,
    #[case] expected: &str,
) {
    let server = server(10, &Crowd::new(Bytes(0))).await;
    let mut stream = connect(server, &format!("GET /{path} HTTP/1.1\r\n\r\n")).await;
    assert_eq!(status(&mut stream).await, expected);
}

/// An idle connection ends at once where its server does, though its caller doesn't close it.
#[tokio::test(start_paused = true)]
async fn a_caller_with_nothing_on_its_way_holds_up_no_end() {
    let router = Router::new().route("/quick", get(async || "quick"));
    let limits = Limits {
        linger: Duration::ZERO,
        ..Limits::default()
    };
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, limits).await.unwrap();
    let address = server.address();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let ended = tokio::spawn(server.serve(router, async { drop(stopped.await) }));
    let mut stream = connect(address, "GET /quick HTTP/1.1\r\n\r\n").await;
    assert_eq!(status(&mut stream).await, "HTTP/1.1 200 OK");
    let began = tokio::time::Instant::now();
    stop.send(()).unwrap();
    ended.await.unwrap();
    assert!(began.elapsed() < Duration::from_secs(1));
}

#[tokio::test]
async fn a_further_connection_takes_the_place_of_the_one_that_stalled_for_longest() {
    let crowd = crowd();
    let server = server(3, &crowd).await;
    let mut silent = Vec::new();
    for _ in 0..10 {
        silent.push(connect(server, "").await);
        assert_serves(server).await;
    }
    assert!(crowd.connections() <= 3);
    assert!(crowd.count(Limit::Connections) >= 8);
    assert_eq!(status(&mut silent[0]).await, "");
}

#[tokio::test]
async fn of_several_large_bodies_that_do_not_fit_together_one_is_served() {
    let server = server(10, &crowd()).await;
    let calls = (0..4).map(|_| {
        tokio::spawn(async move {
            let body = "a".repeat(MAX_BODY);
            let mut stream = TcpStream::connect(server).await.unwrap();
            // One that is refused may not take it all.
            let _ = stream
                .write_all((post_of(MAX_BODY) + &body).as_bytes())
                .await;
            status(&mut stream).await
        })
    });
    let answers = futures::future::join_all(calls).await;
    let answers: Vec<_> = answers.into_iter().map(Result::unwrap).collect();
    assert!(
        answers.iter().any(|line| line.contains("200")),
        "{answers:?}"
    );
}

#[tokio::test]
async fn a_plain_listener_cuts_no_request_for_a_further_connection() {
    let (go, gone) = tokio::sync::watch::channel(false);
    let held = move || {
        let mut gone = gone.clone();
        async move {
            drop(gone.wait_for(|gone| *gone).await);
            "held"
        }
    };
    let tcp = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = tcp.local_addr().unwrap();
    let listener = Listener::new(tcp, 1, CancellationToken::new());
    let service = Router::new()
        .route("/held", get(held))
        .into_make_service_with_connect_info::<Cut>();
    tokio::spawn(async { axum::serve(listener, service).await });
    let request = "GET /held HTTP/1.1\r\nconnection: close\r\n\r\n";
    let mut first = connect(address, request).await;
    let mut second = connect(address, request).await;
    let early = timeout(Duration::from_millis(200), status(&mut first)).await;
    assert!(early.is_err(), "{early:?}");
    go.send(true).unwrap();
    for stream in [&mut first, &mut second] {
        assert_eq!(status(stream).await, "HTTP/1.1 200 OK");
    }
}
