//! Calls that meet a connection which the server closes for another peer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    peer, //
};
use fulmarpier_state::alias::HashMap;
use fulmarpier_transport::rpc::{
    Client,
    ClientLimits,
    Error,
    Incoming,
    Server,
    ServerLimits, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Notify,
        mpsc, //
    },
    task::JoinHandle,
};

/// Longer than any test takes; no verdict depends on it.
const LONG: Duration = Duration::from_secs(60);

/// The calls that a server carried out, each with how often.
type Runs = HashMap<Bytes, usize>;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn client() -> Client {
    Client::start(ClientLimits::default()).expect("a client")
}

async fn send(client: &Client, address: SocketAddr, message: Bytes) -> Result<Answer, Error> {
    let call = Call::Peer(peer::Request { message });
    client.call(address, call, LONG).await
}

fn answer(message: impl Into<Bytes>) -> Answer {
    Answer::Peer(peer::Reply {
        message: message.into(),
    })
}

/// Starts a server that answers each call with its message and returns what it ran once it is closed.
fn echo_server(connections: usize) -> (Server, JoinHandle<Runs>) {
    let limits = ServerLimits {
        connections,
        ..ServerLimits::default()
    };
    let (server, calls) = Server::start(any_port(), limits).expect("a server");
    (server, tokio::spawn(echo(calls)))
}

async fn echo(mut calls: mpsc::Receiver<Incoming>) -> Runs {
    let mut runs = Runs::default();
    while let Some(incoming) = calls.recv().await {
        let Call::Peer(request) = incoming.call else {
            panic!("only peer calls are made here");
        };
        *runs.entry(request.message.clone()).or_default() += 1;
        let _ = incoming.answer.send(answer(request.message));
    }
    runs
}

/// Passes on one connection, but what the server says after `hold` only once the client has sent something more.
async fn relay(from_client: TcpStream, server: SocketAddr, hold: Arc<Notify>) {
    let to_server = TcpStream::connect(server).await.expect("the server");
    let (mut client_reader, mut client_writer) = from_client.into_split();
    let (mut server_reader, mut server_writer) = to_server.into_split();
    let mut request = vec![0; 4096];
    let mut reply = vec![0; 4096];
    loop {
        tokio::select! {
            biased;
            () = hold.notified() => break,
            length = client_reader.read(&mut request) => {
                let sent = &request[..length.expect("a request")];
                server_writer.write_all(sent).await.expect("sent");
            }
            length = server_reader.read(&mut reply) => {
                let sent = &reply[..length.expect("a reply")];
                client_writer.write_all(sent).await.expect("sent");
            }
        }
    }
    let length = client_reader.read(&mut request).await.expect("a request");
    // The server has closed the connection and may reset it.
    let _ = server_writer.write_all(&request[..length]).await;
    let _ = tokio::io::copy(&mut server_reader, &mut client_writer).await;
}

/// A call was lost that the client had sent before it noticed that the server had closed the idle connection.
#[tokio::test]
async fn a_call_on_a_connection_that_was_just_closed_for_another_peer_is_sent_again() {
    let (server, runs) = echo_server(1);
    let address = server.address();
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let through = listener.local_addr().expect("an address");
    let hold = Arc::new(Notify::new());
    let held = hold.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(relay(stream, address, held.clone()));
        }
    });
    let first = client();
    let got = send(&first, through, Bytes::from_static(b"a")).await;
    assert_eq!(got, Ok(answer("a")));
    hold.notify_one();
    let got = send(&client(), address, Bytes::from_static(b"b")).await;
    assert_eq!(got, Ok(answer("b")));
    let got = send(&first, through, Bytes::from_static(b"c")).await;
    assert_eq!(got, Ok(answer("c")));
    drop(server.close(Duration::ZERO).await);
    let runs = runs.await.expect("the server ends");
    let expected = ["a", "b", "c"].map(|message| (Bytes::from_static(message.as_bytes()), 1));
    assert_eq!(runs, Runs::from_iter(expected));
}

/// A call must not be sent again when it may have been carried out, nor be lost when it was not.
#[tokio::test]
async fn calls_that_compete_for_connections_run_once_or_are_known_not_to_have_run() {
    let (server, runs) = echo_server(2);
    let address = server.address();
    let callers = (0..6).map(|caller| async move {
        let client = client();
        let mut ends = Vec::new();
        for number in 0..40 {
            let message = Bytes::from(format!("{caller} {number}"));
            let got = send(&client, address, message.clone()).await;
            ends.push((message, got));
        }
        ends
    });
    let ends = futures::future::join_all(callers).await;
    drop(server.close(Duration::ZERO).await);
    let runs = runs.await.expect("the server ends");
    for (message, got) in ends.into_iter().flatten() {
        let count = runs.get(&message).copied().unwrap_or_default();
        match got {
            Ok(got) => assert_eq!((got, count), (answer(message), 1)),
            Err(error) => {
                assert!(error.not_run(), "{error:?}");
                assert_eq!(count, 0, "{error:?}");
            }
        }
    }
}
