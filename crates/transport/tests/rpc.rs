//! Calls between processes: what each failure proves, and a graceful end.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    finish,
    peer, //
};
use fulmarpier_transport::{
    http::Drained,
    rpc::{
        Client,
        ClientLimits,
        Error,
        Incoming,
        Server,
        ServerLimits, //
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
        TcpSocket,
        TcpStream, //
    },
    sync::mpsc,
};

/// Longer than any test takes; no verdict depends on it.
const LONG: Duration = Duration::from_secs(60);
/// Passes while the other side does not answer; a later end changes no verdict.
const SHORT: Duration = Duration::from_millis(50);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn call(text: &'static str) -> Call {
    Call::Peer(peer::Request {
        message: Bytes::from_static(text.as_bytes()),
    })
}

fn answer(message: Bytes) -> Answer {
    Answer::Peer(peer::Reply { message })
}

fn client() -> Client {
    Client::start(ClientLimits::default()).expect("a client")
}

fn server(limits: ServerLimits) -> (Server, mpsc::Receiver<Incoming>) {
    Server::start(any_port(), limits).expect("a server")
}

fn echo(incoming: Incoming) {
    let Call::Peer(request) = incoming.call else {
        panic!("only peer calls are made here");
    };
    let _ = incoming.answer.send(answer(request.message));
}

#[tokio::test]
async fn many_calls_get_each_its_own_answer() {
    let (server, mut calls) = server(ServerLimits::default());
    let client = client();
    tokio::spawn(async move {
        // Answers leave in the reverse of the order of the calls.
        let mut held = Vec::new();
        while let Some(incoming) = calls.recv().await {
            held.push(incoming);
            if held.len() == 100 {
                held.drain(..).rev().for_each(echo);
            }
        }
    });
    let calls = (0..100_u32).map(|n| {
        let client = client.clone();
        let address = server.address();
        async move {
            let message = Bytes::from(n.to_string());
            let request = peer::Request {
                message: message.clone(),
            };
            let got = client.call(address, Call::Peer(request), LONG).await;
            assert_eq!(got, Ok(answer(message)));
        }
    });
    futures::future::join_all(calls).await;
    assert_eq!(client.traffic().calls, 100);
    // The last acknowledgements may still be on their way.
    while client.traffic().sent != server.traffic().received {
        tokio::task::yield_now().await;
    }
    assert_eq!(client.traffic().received, server.traffic().sent);
}

#[tokio::test]
async fn a_closed_port_refuses_and_nothing_is_sent() {
    // Bound and never listening: it refuses, and no other test gets the port meanwhile.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(any_port()).expect("a port");
    let address = socket.local_addr().expect("an address");
    let error = client().call(address, call("x"), LONG).await;
    assert_eq!(error, Err(Error::Refused { address }));
}

#[tokio::test]
async fn a_silent_peer_times_out_with_the_effect_unknown() {
    let (server, _calls) = server(ServerLimits::default());
    let error = client()
        .call(server.address(), call("x"), SHORT)
        .await
        .expect_err("no answer");
    assert_eq!(error, Error::Timeout);
    assert!(!error.not_run());
}

#[tokio::test]
async fn a_connection_lost_after_the_call_leaves_the_effect_unknown() {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut some = [0; 64];
        let _ = stream.read(&mut some).await;
    });
    let error = client().call(address, call("x"), LONG).await;
    assert_eq!(error, Err(Error::Disconnected));
}

/// The system's time-out of a stalled connection was reported as "overloaded", which proves that the call was not run.
#[tokio::test]
async fn a_connection_that_times_out_leaves_the_effect_unknown() {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stalled = tokio::spawn(async move {
        // The connection stays open, and nothing is read from it.
        let _connection = listener.accept().await.expect("a connection");
        std::future::pending::<()>().await;
    });
    // More than the system buffers.
    let message = Bytes::from(vec![0; 64 << 20]);
    let call = Call::Peer(peer::Request { message });
    let error = client().call(address, call, LONG).await;
    assert_eq!(error, Err(Error::Disconnected));
    stalled.abort();
}

#[tokio::test]
async fn the_client_connects_again_after_a_loss() {
    let (first, mut calls) = server(ServerLimits::default());
    let address = first.address();
    let client = client();
    tokio::spawn(async move {
        while let Some(incoming) = calls.recv().await {
            echo(incoming);
        }
    });
    assert!(client.call(address, call("a"), LONG).await.is_ok());
    let closed = first.close(LONG).await;
    assert_eq!(closed.drained, Drained::Whole);
    drop(closed);
    let (_second, mut calls) = Server::start(address, ServerLimits::default()).expect("a server");
    tokio::spawn(async move {
        while let Some(incoming) = calls.recv().await {
            echo(incoming);
        }
    });
    // A call may meet the lost connection or the backoff; the client recovers on its own.
    let mut got = client.call(address, call("b"), LONG).await;
    while got.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
        got = client.call(address, call("b"), LONG).await;
    }
    assert_eq!(got, Ok(answer(Bytes::from_static(b"b"))));
}

#[rstest]
#[case::noise(b"GET / HTTP/1.1\r\n\r\n")]
#[case::huge_segment_table(b"\xff\xff\xff\xff\xff\xff\xff\xff")]
#[case::cut_message(b"\x00\x00\x00\x00\x10\x00\x00\x00\x01")]
#[tokio::test]
async fn nonsense_ends_only_its_own_connection(#[case] nonsense: &'static [u8]) {
    let (server, mut calls) = server(ServerLimits::default());
    let mut stream = TcpStream::connect(server.address())
        .await
        .expect("a stream");
    stream.write_all(nonsense).await.expect("sent");
    stream.shutdown().await.expect("shut down");
    // The server's side ends too; what it may say before is of no interest.
    let _ = stream.read_to_end(&mut Vec::new()).await;
    tokio::spawn(async move {
        while let Some(incoming) = calls.recv().await {
            echo(incoming);
        }
    });
    let got = client().call(server.address(), call("x"), LONG).await;
    assert_eq!(got, Ok(answer(Bytes::from_static(b"x"))));
}

#[tokio::test]
async fn an_answer_to_another_call_is_a_failure() {
    let (server, mut calls) = server(ServerLimits::default());
    tokio::spawn(async move {
        let incoming = calls.recv().await.expect("a call");
        let _ = incoming
            .answer
            .send(Answer::Finish(finish::Reply { known: true }));
    });
    let error = client().call(server.address(), call("x"), LONG).await;
    assert!(matches!(error, Err(Error::Failed { .. })), "{error:?}");
}

/// Tests in virtual time rely on it: they would let time pass while a call is on its way.
#[tokio::test]
async fn a_call_is_pending_until_its_caller_has_the_answer() {
    let (server, mut calls) = server(ServerLimits::default());
    let client = client();
    let pending = async {
        let incoming = calls.recv().await.expect("a call");
        let pending = client.pending();
        echo(incoming);
        pending
    };
    let answered = client.call(server.address(), call("x"), LONG);
    let (pending, answered) = tokio::join!(pending, answered);
    assert!(answered.is_ok());
    assert_eq!((pending, client.pending()), (1, 0));
}

#[tokio::test]
async fn a_full_queue_answers_overloaded_and_nothing_is_run() {
    let (server, mut calls) = server(ServerLimits {
        queue: 1,
        ..ServerLimits::default()
    });
    let client = client();
    let address = server.address();
    let first = tokio::spawn({
        let client = client.clone();
        async move { client.call(address, call("first"), LONG).await }
    });
    while server.traffic().received == 0 || calls.is_empty() {
        tokio::task::yield_now().await;
    }
    let second = client.call(address, call("second"), LONG).await;
    assert_eq!(second, Err(Error::Overloaded));
    echo(calls.recv().await.expect("the first call"));
    assert_eq!(
        first.await.expect("joined"),
        Ok(answer(Bytes::from_static(b"first")))
    );
    assert!(calls.is_empty());
}

#[tokio::test]
async fn a_graceful_close_finishes_the_calls_in_progress_and_runs_no_new_one() {
    let (server, mut calls) = server(ServerLimits::default());
    let client = client();
    let address = server.address();
    let pending: Vec<_> = (0..10)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { client.call(address, call("held"), LONG).await })
        })
        .collect();
    let mut held = Vec::new();
    while held.len() < 10 {
        held.push(calls.recv().await.expect("a call"));
    }
    let closing = tokio::spawn(server.close(LONG));
    // Calls that come before the close takes effect are held too.
    let mut early = Vec::new();
    loop {
        let late = self::client().call(address, call("held"), SHORT).await;
        while let Ok(incoming) = calls.try_recv() {
            early.push(incoming);
        }
        match late {
            Err(Error::Timeout) => {}
            late => break assert_eq!(late, Err(Error::Overloaded)),
        }
    }
    assert!(calls.try_recv().is_err());
    held.into_iter().chain(early).for_each(echo);
    for call in pending {
        let got = call.await.expect("joined");
        assert_eq!(got, Ok(answer(Bytes::from_static(b"held"))));
    }
    assert_eq!(closing.await.expect("joined").drained, Drained::Whole);
}

#[tokio::test]
async fn connections_are_refused_only_once_the_closed_server_is_dropped() {
    let (server, _calls) = server(ServerLimits::default());
    let address = server.address();
    let closed = server.close(LONG).await;
    let error = client().call(address, call("x"), SHORT).await;
    assert_ne!(error, Err(Error::Refused { address }));
    drop(closed);
    let error = client().call(address, call("x"), LONG).await;
    assert_eq!(error, Err(Error::Refused { address }));
}

#[tokio::test]
async fn a_close_that_runs_out_of_time_says_what_it_cut() {
    let (server, mut calls) = server(ServerLimits::default());
    let client = client();
    let address = server.address();
    let pending = tokio::spawn(async move { client.call(address, call("held"), LONG).await });
    let _held = calls.recv().await.expect("a call");
    let closed = server.close(Duration::ZERO).await;
    assert_eq!(closed.drained, Drained::Cut { connections: 1 });
    let error = pending.await.expect("joined").expect_err("cut off");
    assert!(!error.not_run());
}

/// Peers keep their connections, so those that come last must get the place of one that is idle.
#[tokio::test]
async fn more_peers_than_connections_are_all_answered_in_turn() {
    let (server, mut calls) = server(ServerLimits {
        connections: 3,
        ..ServerLimits::default()
    });
    tokio::spawn(async move {
        while let Some(incoming) = calls.recv().await {
            echo(incoming);
        }
    });
    let clients: Vec<Client> = (0..7).map(|_| client()).collect();
    for _ in 0..3 {
        for client in &clients {
            let got = client.call(server.address(), call("x"), LONG).await;
            assert_eq!(got, Ok(answer(Bytes::from_static(b"x"))));
        }
    }
}

/// A call in progress is not broken off for another peer's connection.
#[tokio::test]
async fn a_connection_with_a_call_in_progress_keeps_its_place() {
    let (server, mut calls) = server(ServerLimits {
        connections: 2,
        ..ServerLimits::default()
    });
    let address = server.address();
    let busy = client();
    let pending = tokio::spawn(async move { busy.call(address, call("busy"), LONG).await });
    let held = calls.recv().await.expect("a call");
    tokio::spawn(async move {
        while let Some(incoming) = calls.recv().await {
            echo(incoming);
        }
    });
    for _ in 0..4 {
        let got = client().call(address, call("x"), LONG).await;
        assert_eq!(got, Ok(answer(Bytes::from_static(b"x"))));
    }
    echo(held);
    let got = pending.await.expect("the call ends");
    assert_eq!(got, Ok(answer(Bytes::from_static(b"busy"))));
}
