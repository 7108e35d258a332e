//! The log's streams without their socket, in virtual time.

use std::time::Duration;

use bytes::Bytes;
use fulmarpier_standin::{
    log::{
        Error,
        Store, //
    },
    settings::Retention,
};
use fulmarpier_state::{
    clock::Timestamp,
    id::Offset, //
};
use rstest::rstest;

fn store() -> Store {
    Store::new(Retention {
        age: Duration::from_secs(60),
        records: 3,
    })
}

const fn at(secs: u64) -> Timestamp {
    Timestamp::from_millis(secs * 1_000)
}

fn append(store: &mut Store, now: Timestamp, count: usize) -> Result<Offset, Error> {
    store.append(now, "n1", "config", vec![Bytes::from_static(b"x"); count])
}

#[test]
fn offsets_rise_over_what_was_dropped() {
    let mut store = store();
    assert_eq!(append(&mut store, at(100), 2), Ok(Offset(1)));
    assert_eq!(append(&mut store, at(100), 2), Ok(Offset(3)));
    assert_eq!(append(&mut store, at(900), 1), Ok(Offset(5)));
}

#[rstest]
#[case::by_count(at(100), 5, Offset(3))]
#[case::by_age(at(161), 2, Offset(3))]
fn what_is_past_retention_is_gone(
    #[case] now: Timestamp,
    #[case] count: usize,
    #[case] earliest: Offset,
) {
    let mut store = store();
    append(&mut store, at(100), count).expect("an offset");
    let read = store.read(now, "config", Offset(1), 10);
    assert_eq!(read, Err(Error::Truncated { earliest }));
    let page = store.read(now, "config", earliest, 10).expect("a page");
    assert_eq!(page.end.0, count as u64 + 1);
}

#[test]
fn a_page_ends_where_it_was_bounded() {
    let mut store = store();
    append(&mut store, at(100), 3).expect("an offset");
    let page = store.read(at(100), "config", Offset(0), 2).expect("a page");
    assert_eq!(page.records.len(), 2);
    assert_eq!((page.next, page.end), (Offset(3), Offset(4)));
}

#[test]
fn reading_past_the_end_gives_nothing_and_moves_nothing() {
    let mut store = store();
    let page = store.read(at(100), "config", Offset(9), 2).expect("a page");
    assert!(page.records.is_empty());
    assert_eq!((page.next, page.end), (Offset(9), Offset(1)));
}

#[test]
fn streams_are_apart_and_callers_are_counted() {
    let mut store = store();
    append(&mut store, at(100), 2).expect("an offset");
    let other = store.append(
        at(100),
        "n2",
        "claims.reg1",
        vec![Bytes::from_static(b"yy")],
    );
    assert_eq!(other, Ok(Offset(1)));
    let counts = store.counts();
    assert_eq!((counts["n1"].appends, counts["n1"].records), (1, 2));
    assert_eq!((counts["n2"].records, counts["n2"].bytes), (1, 2));
}
