//! The log's adapter: what each failure proves about an append.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_coordination::platform::log::{
    Append,
    Error,
    Page,
    Read,
    Stream, //
};
use fulmarpier_standin::{
    Handle, Platform, Settings,
    fault::{
        self,
        Change,
        Truncate, //
    },
};
use fulmarpier_state::id::{
    NodeId,
    Offset, //
};
use fulmarpier_transport::platform::{
    Timeouts,
    log::Client, //
};
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
};

async fn platform() -> Handle {
    Platform::start(Settings::new(0)).await.expect("started")
}

fn client(address: SocketAddr) -> Client {
    // Far longer than any answer takes, so that only a lost one runs into it.
    let timeouts = Timeouts {
        connect: Duration::from_secs(30),
        answer: Duration::from_secs(30),
    };
    Client::new(address, NodeId(1), timeouts).expect("a client")
}

fn stream() -> Stream {
    Stream("journal.s1".to_owned())
}

fn append(records: &[&'static str]) -> Append {
    Append {
        stream: stream(),
        records: records
            .iter()
            .map(|text| Bytes::from_static(text.as_bytes()))
            .collect(),
    }
}

fn read(from: u64) -> Read {
    Read {
        stream: stream(),
        from: Offset(from),
        max: 100,
        wait: Duration::ZERO,
    }
}

async fn contents(client: &Client) -> Vec<Bytes> {
    let page = client.read(&read(0)).await.expect("a page");
    page.records.into_iter().map(|record| record.data).collect()
}

#[tokio::test]
async fn records_come_back_in_order_with_their_offsets() {
    let platform = platform().await;
    let client = client(platform.control());
    assert_eq!(client.append(&append(&["a", ""])).await, Ok(Offset(1)));
    assert_eq!(client.append(&append(&["c"])).await, Ok(Offset(3)));
    let page = client.read(&read(2)).await.expect("a page");
    let found: Vec<_> = page
        .records
        .iter()
        .map(|r| (r.offset.0, &r.data[..]))
        .collect();
    assert_eq!(found, [(2, &b""[..]), (3, &b"c"[..])]);
    assert_eq!((page.next, page.end), (Offset(4), Offset(4)));
    assert_eq!(platform.summary().appends["n1"].records, 3);
}

#[tokio::test]
async fn a_long_poll_returns_what_is_appended_meanwhile() {
    let platform = platform().await;
    let client = client(platform.control());
    let poll = Read {
        wait: Duration::from_secs(20),
        ..read(1)
    };
    let late = append(&["late"]);
    let (page, first) = tokio::join!(client.read(&poll), client.append(&late));
    assert_eq!(first, Ok(Offset(1)));
    assert_eq!(page.expect("a page").records.len(), 1);
}

#[tokio::test]
async fn an_empty_stream_has_an_empty_page() {
    let platform = platform().await;
    let page = client(platform.control()).read(&read(0)).await;
    let empty = Page {
        records: Vec::new(),
        next: Offset(1),
        end: Offset(1),
    };
    assert_eq!(page, Ok(empty));
}

#[tokio::test]
async fn a_log_that_is_down_took_nothing() {
    let platform = platform().await;
    let client = client(platform.control());
    let mut change = Change {
        log: Some(fault::Log::Down),
        ..Change::default()
    };
    platform.fault(&change).await.expect("a fault");
    let appended = client.append(&append(&["lost"])).await;
    assert!(
        matches!(appended, Err(Error::Unavailable { .. })),
        "{appended:?}"
    );
    let page = client.read(&read(0)).await;
    assert!(matches!(page, Err(Error::Unavailable { .. })), "{page:?}");
    change.log = Some(fault::Log::Up);
    platform.fault(&change).await.expect("no fault");
    assert!(contents(&client).await.is_empty());
}

#[tokio::test]
async fn a_log_that_is_gone_took_nothing() {
    let platform = platform().await;
    let client = client(platform.control());
    drop(platform);
    let mut appended = client.append(&append(&["lost"])).await;
    while appended.is_ok() || appended == Err(Error::Unknown) {
        // The listener closes soon after the drop.
        tokio::task::yield_now().await;
        appended = client.append(&append(&["lost"])).await;
    }
    assert!(
        matches!(appended, Err(Error::Unavailable { .. })),
        "{appended:?}"
    );
}

#[rstest]
#[case::after_the_effect(Change { lose_answers: Some(1.0), ..Change::default() }, 1)]
#[case::before_the_effect(Change { lose_requests: Some(1.0), ..Change::default() }, 0)]
#[tokio::test]
async fn a_lost_answer_is_unknown_and_reading_back_settles_it(
    #[case] lose: Change,
    #[case] kept: usize,
) {
    let platform = platform().await;
    let client = client(platform.control());
    platform.fault(&lose).await.expect("a fault");
    assert_eq!(client.append(&append(&["x"])).await, Err(Error::Unknown));
    let whole = Change {
        lose_answers: Some(0.0),
        lose_requests: Some(0.0),
        ..Change::default()
    };
    platform.fault(&whole).await.expect("no fault");
    assert_eq!(contents(&client).await.len(), kept);
}

#[tokio::test]
async fn one_node_is_cut_off_while_another_goes_on() {
    let platform = platform().await;
    let cut = client(platform.control());
    let other = Client::new(platform.control(), NodeId(2), Timeouts::default()).expect("a client");
    let deny = Change {
        deny: Some(vec!["n1".to_owned()]),
        ..Change::default()
    };
    platform.fault(&deny).await.expect("a fault");
    assert_eq!(cut.append(&append(&["x"])).await, Err(Error::Unknown));
    let page = cut.read(&read(0)).await;
    assert!(matches!(page, Err(Error::Unavailable { .. })), "{page:?}");
    assert_eq!(other.append(&append(&["y"])).await, Ok(Offset(1)));
}

#[tokio::test]
async fn a_truncated_stream_names_its_earliest_offset() {
    let platform = platform().await;
    let client = client(platform.control());
    client
        .append(&append(&["a", "b", "c"]))
        .await
        .expect("an offset");
    let truncate = Change {
        truncate: Some(Truncate {
            stream: stream().0,
            before: Offset(3),
        }),
        ..Change::default()
    };
    platform.fault(&truncate).await.expect("a fault");
    let earliest = Offset(3);
    assert_eq!(
        client.read(&read(2)).await,
        Err(Error::Truncated { earliest })
    );
    assert_eq!(
        client.read(&read(3)).await.expect("a page").records.len(),
        1
    );
}

#[rstest]
#[case::no_records(0, 0)]
#[case::one_record_too_large(1, (256 << 10) + 1)]
#[case::append_too_large(5, 256 << 10)]
#[tokio::test]
async fn what_the_log_refuses_is_not_kept(#[case] count: usize, #[case] size: usize) {
    let platform = platform().await;
    let client = client(platform.control());
    let too_large = Append {
        stream: stream(),
        records: vec![Bytes::from(vec![0; size]); count],
    };
    let appended = client.append(&too_large).await;
    assert!(
        matches!(appended, Err(Error::Refused { .. })),
        "{appended:?}"
    );
    assert!(contents(&client).await.is_empty());
}

#[rstest]
#[case::cut("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"first\":")]
#[case::not_json("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::gateway_timeout("HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 0\r\n\r\n")]
#[case::silence("")]
#[tokio::test]
async fn an_answer_that_proves_nothing_leaves_the_append_unknown(#[case] answer: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut some = [0; 4096];
        let _ = stream.read(&mut some).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    let appended = client(address).append(&append(&["x"])).await;
    assert_eq!(appended, Err(Error::Unknown));
}
