//! The journal's behaviour, one failure at a time, in virtual time.

#[path = "support/accepted.rs"]
mod accepted;
#[path = "support/history.rs"]
mod history;
#[path = "support/job.rs"]
mod job;
#[path = "support/owner.rs"]
mod owner;
#[path = "support/serve.rs"]
mod serve;
#[path = "support/stream.rs"]
mod stream;

use std::time::Duration;

use fulmarpier_coordination::{
    journal::{
        CodecError,
        Effect,
        Fence,
        Journal,
        Opening,
        Refused,
        Settings,
        Token,
        Urgency,
        Withdrawn, //
    },
    platform::log, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId,
        Offset, //
    },
};
use rstest::rstest;

use accepted::accepted;
use owner::open;
use serve::{
    append,
    read,
    serve, //
};
use stream::Stream;

const START: Timestamp = Timestamp::from_millis(1_000);
const DOWN: log::Error = log::Error::Unavailable {
    reason: String::new(),
};

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

/// An open journal on a fresh stream.
fn fresh(settings: &Settings) -> (Journal, Stream) {
    let mut log = Stream::default();
    let opened = open(&mut log, 5, settings, START);
    (opened.journal, log)
}

fn push(journal: &mut Journal, token: u64, now: Timestamp) {
    let record = accepted(token, now);
    let token = Some(Token(token));
    journal
        .push(record, token, Urgency::Urgent, now)
        .expect("room");
}

fn tokens(range: std::ops::Range<u64>) -> Vec<Token> {
    range.map(Token).collect()
}

#[test]
fn records_of_one_span_share_an_append() {
    let (mut journal, mut log) = fresh(&Settings::default());
    for token in 0..10 {
        push(&mut journal, token, at(token));
    }
    assert_eq!(journal.poll(at(14)), None);
    assert_eq!(journal.next_wake(at(14)), Some(at(15)));
    assert_eq!(serve(&mut journal, &mut log, at(15)), tokens(0..10));
    assert_eq!(journal.appends(), 1);
}

#[test]
fn a_lazy_record_waits_longer() {
    let (mut journal, _) = fresh(&Settings::default());
    let record = accepted(1, START);
    journal
        .push(record, None, Urgency::Lazy, START)
        .expect("room");
    assert_eq!(journal.next_wake(START), Some(at(100)));
}

#[test]
fn an_append_holds_no_more_than_the_cap() {
    let (mut journal, mut log) = fresh(&Settings::default());
    for token in 0..20_000 {
        push(&mut journal, token, START);
    }
    let records = append(&mut journal, at(15)).records;
    let size: usize = records.iter().map(bytes::Bytes::len).sum();
    assert!(size <= 1 << 20, "{size} bytes");
    journal.appended(log.append(&records), at(15));
    let rest = serve(&mut journal, &mut log, at(500));
    assert_eq!(rest.len(), 20_000);
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let (mut journal, mut log) = fresh(&Settings::default());
    push(&mut journal, 1, START);
    log.append(&append(&mut journal, at(15)).records);
    journal.failed(&log::Error::Unknown, at(15));
    assert_eq!(journal.withdraw(Token(1)), Withdrawn::Sent);
    assert_eq!(serve(&mut journal, &mut log, at(5_000)), tokens(1..2));
    assert_eq!(log.end(), 2, "the announcement and one record");
}

#[test]
fn an_append_that_never_arrived_is_repeated_as_it_was() {
    let (mut journal, mut log) = fresh(&Settings::default());
    push(&mut journal, 1, START);
    let first = append(&mut journal, at(15));
    journal.failed(&log::Error::Unknown, at(15));
    let page = log.read(&read(&mut journal, at(5_000)), log.end());
    journal.on_page(&page.expect("a page"), at(5_000));
    assert_eq!(append(&mut journal, at(5_000)), first);
    journal.appended(log.append(&first.records), at(5_000));
    assert_eq!(journal.poll(at(5_000)), Some(Effect::Commit(tokens(1..2))));
}

#[test]
fn a_replaced_owner_commits_nothing_behind_its_successor() {
    let (mut journal, mut log) = fresh(&Settings::default());
    push(&mut journal, 1, START);
    push(&mut journal, 2, START);
    let batch = append(&mut journal, at(15));
    push(&mut journal, 3, at(15));
    let successor = open(&mut log, 9, &Settings::default(), at(15));
    journal.appended(log.append(&batch.records), at(16));
    let page = log.read(&read(&mut journal, at(16)), log.end());
    journal.on_page(&page.expect("a page"), at(16));
    let Some(Effect::Fenced(fence)) = journal.poll(at(16)) else {
        panic!("not fenced");
    };
    assert_eq!(fence.epoch, Some(Epoch(9)));
    assert_eq!(fence.dropped, tokens(1..4));
    assert_eq!(fence.kept, []);
    let refused = journal.push(accepted(4, at(16)), None, Urgency::Urgent, at(16));
    assert_eq!(refused, Err(Refused::Closed));
    assert!(successor.journal.image().jobs.is_empty());
}

#[test]
fn what_landed_in_front_of_a_successor_is_kept() {
    let (mut journal, mut log) = fresh(&Settings::default());
    push(&mut journal, 1, START);
    log.append(&append(&mut journal, at(15)).records);
    let successor = open(&mut log, 9, &Settings::default(), at(15));
    journal.failed(&log::Error::Unknown, at(15));
    let page = log.read(&read(&mut journal, at(5_000)), log.end());
    journal.on_page(&page.expect("a page"), at(5_000));
    let Some(Effect::Fenced(fence)) = journal.poll(at(5_000)) else {
        panic!("not fenced");
    };
    assert_eq!(fence.kept, tokens(1..2));
    assert_eq!(successor.journal.image().jobs.len(), 1);
}

#[test]
fn memory_is_bounded_while_the_log_is_down() {
    let settings = Settings {
        pending: 1 << 20,
        ..Settings::default()
    };
    let (mut journal, mut log) = fresh(&settings);
    let mut taken = 0;
    let mut refused = 0;
    for tenth in 0..18_000 {
        let now = at(tenth * 100);
        let record = accepted(taken, now);
        match journal.push(record, Some(Token(taken)), Urgency::Urgent, now) {
            Ok(()) => taken += 1,
            Err(Refused::Full { .. }) => refused += 1,
            Err(other) => panic!("unexpected: {other}"),
        }
        assert!(journal.pending() <= settings.pending);
        if let Some(Effect::Append(_)) = journal.poll(now) {
            journal.failed(&DOWN, now);
        }
    }
    assert!(refused > 0 && taken + refused == 18_000);
    let first = journal.withdraw(Token(0));
    let last = journal.withdraw(Token(taken - 1));
    assert_eq!((first, last), (Withdrawn::Removed, Withdrawn::Removed));
    let mut committed = serve(&mut journal, &mut log, at(1_900_000));
    committed.extend(serve(&mut journal, &mut log, at(1_901_000)));
    assert!(committed == tokens(1..taken - 1), "lost or out of order");
}

/// Pushes `rate` records a second and answers each append after `delay`.
fn load(journal: &mut Journal, log: &mut Stream, rate: u64, delay: u64, seconds: u64) -> u64 {
    let mut flying: Option<(u64, Vec<bytes::Bytes>)> = None;
    let mut token = 0;
    for millis in 0..seconds * 1_000 {
        while token < rate * millis / 1_000 {
            push(journal, token, at(millis));
            token += 1;
        }
        if let Some((_, records)) = flying.take_if(|(due, _)| *due <= millis) {
            journal.appended(log.append(&records), at(millis));
        }
        while let Some(effect) = journal.poll(at(millis)) {
            if let Effect::Append(append) = effect {
                let before = flying.replace((millis + delay, append.records));
                assert_eq!(before, None, "two appends in flight");
            }
        }
    }
    token
}

#[test]
fn a_slow_log_gets_few_large_appends() {
    let (mut journal, mut log) = fresh(&Settings::default());
    load(&mut journal, &mut log, 1_000, 5_000, 60);
    assert_eq!(journal.appends(), 12);
}

/// Two records a start, as a task that starts and ends leaves behind; a node has one budget for all
/// its shards.
#[rstest]
fn appends_stay_few_at_any_rate(#[values(1_000, 3_000)] starts: u64, #[values(1, 3)] shards: u32) {
    const SECONDS: u64 = 15;
    let settings = Settings::default();
    let pace = settings.pace * shards;
    let (mut journal, mut log) = fresh(&settings.pace(pace));
    let rate = 2 * starts / u64::from(shards);
    let pushed = load(&mut journal, &mut log, rate, 5, SECONDS);
    let a_second = (journal.appends() * u64::from(shards)).div_ceil(SECONDS);
    println!("{starts} starts a second, {shards} shards: {a_second} appends a second");
    assert!(a_second <= 40, "{a_second} appends a second");
    let waiting = pushed - journal.image().jobs.len() as u64;
    let span = 25 + 25 * u64::from(shards);
    assert!(waiting <= rate * span / 1_000, "{waiting} records wait");
}

#[test]
fn what_a_replay_needs_stays_younger_than_a_third_of_the_retention() {
    let settings = Settings::default().retention(Duration::from_secs(3_600));
    let (mut journal, mut log) = fresh(&settings);
    let mut written = vec![START];
    for token in 0..1_000 {
        let now = at(token * 10_000);
        push(&mut journal, token, now);
        serve(&mut journal, &mut log, now + Duration::from_millis(100));
        serve(&mut journal, &mut log, now + Duration::from_millis(200));
        written.resize(usize::try_from(log.end()).expect("small"), now);
        if token % 20 > 0 {
            continue;
        }
        let needed = log.base().map_or(0, |base| base.0);
        let needed = usize::try_from(needed).expect("small");
        let age = written
            .get(needed)
            .map_or(Duration::ZERO, |at| now.since(*at));
        assert!(age < settings.retention / 3, "{age:?} at record {token}");
    }
    let opened = open(&mut log, 9, &settings, at(10_000_000));
    assert!(opened.complete);
    assert_eq!(opened.journal.image().jobs.len(), 1_000);
    assert!(opened.records < 200, "{} records replayed", opened.records);
}

#[test]
fn a_snapshot_whose_part_is_refused_is_begun_anew() {
    let settings = Settings {
        snapshot_records: 1,
        ..Settings::default()
    };
    let (mut journal, mut log) = fresh(&settings);
    push(&mut journal, 1, START);
    serve(&mut journal, &mut log, at(15));
    // The next append holds nothing but the snapshot.
    append(&mut journal, at(100));
    let refused = log::Error::Refused {
        reason: "too large".to_owned(),
    };
    journal.failed(&refused, at(100));
    serve(&mut journal, &mut log, at(200));
    assert_eq!(log.base(), None);
    serve(&mut journal, &mut log, at(10_000));
    push(&mut journal, 2, at(10_000));
    serve(&mut journal, &mut log, at(10_100));
    assert!(log.base().is_some());
    log.check_replay();
}

#[test]
fn a_half_that_landed_with_its_whole_is_kept() {
    let (mut journal, mut log) = fresh(&Settings::default());
    push(&mut journal, 1, START);
    push(&mut journal, 2, START);
    let late = append(&mut journal, at(15)).records;
    journal.failed(&log::Error::Unknown, at(15));
    let page = log.read(&read(&mut journal, at(5_000)), log.end());
    journal.on_page(&page.expect("a page"), at(5_000));
    append(&mut journal, at(5_000));
    let refused = log::Error::Refused {
        reason: "too large".to_owned(),
    };
    journal.failed(&refused, at(5_000));
    // The first try lands at last, then the first half of it once more.
    log.append(&late);
    let half = append(&mut journal, at(9_000)).records;
    journal.appended(log.append(&half), at(9_000));
    let page = log.read(&read(&mut journal, at(9_000)), log.end());
    journal.on_page(&page.expect("a page"), at(9_000));
    open(&mut log, 9, &Settings::default(), at(9_000));
    let mut effects = Vec::new();
    while let Some(effect) = journal.poll(at(9_500)) {
        match effect {
            Effect::Append(append) => journal.appended(log.append(&append.records), at(9_500)),
            Effect::Read(read) => {
                let page = log.read(&read, log.end());
                journal.on_page(&page.expect("a page"), at(9_500));
            }
            other => effects.push(other),
        }
    }
    let Some(Effect::Fenced(fence)) = effects.pop() else {
        panic!("not fenced");
    };
    assert_eq!(effects, [Effect::Commit(tokens(1..2))]);
    assert_eq!((fence.kept, fence.dropped), (tokens(2..3), vec![]));
}

#[test]
fn a_stream_whose_snapshot_is_gone_is_known_to_be_incomplete() {
    let (mut journal, mut log) = fresh(&Settings::default());
    for token in 0..3 {
        push(&mut journal, token, at(token * 100));
        serve(&mut journal, &mut log, at(token * 100 + 50));
    }
    log.truncate_to(2);
    let opened = open(&mut log, 9, &Settings::default(), at(1_000));
    assert!(!opened.complete);
    assert_eq!(opened.journal.image().jobs.len(), 2);
}

#[test]
fn an_opening_that_was_paused_past_the_retention_is_closed() {
    let mut log = Stream::default();
    let settings = Settings::default();
    let mut opening = Opening::new(Stream::name(), NodeId(1), Epoch(5), settings, 0);
    while let Some(effect) = opening.poll(START) {
        match effect {
            Effect::Append(append) => opening.appended(log.append(&append.records), START),
            Effect::Read(read) if log.end() == 0 => {
                let page = log.read(&read, 0).expect("a page");
                opening.on_page(&page, START);
            }
            _ => break,
        }
    }
    // Its last read is under way while another owner comes, and the log drops both announcements.
    open(&mut log, 9, &Settings::default(), START);
    log.truncate_to(2);
    let earliest = Offset(2);
    opening.failed(&log::Error::Truncated { earliest }, START);
    assert_eq!(opening.poll(START), Some(Effect::Fenced(Fence::default())));
    assert!(opening.finish(START).is_err());
}

#[test]
fn a_record_of_a_later_version_closes_the_opening() {
    let mut log = Stream::default();
    open(&mut log, 5, &Settings::default(), START);
    log.append(&[bytes::Bytes::from_static(&[99, 0, 0])]);
    let mut opening = Opening::new(Stream::name(), NodeId(1), Epoch(9), Settings::default(), 0);
    let fence = loop {
        match opening.poll(START).expect("an effect") {
            Effect::Append(append) => opening.appended(log.append(&append.records), START),
            Effect::Read(read) => {
                let page = log.read(&read, log.end()).expect("a page");
                opening.on_page(&page, START);
            }
            Effect::Fenced(fence) => break fence,
            other => panic!("unexpected: {other:?}"),
        }
    };
    assert_eq!(fence.cause, Some(CodecError::Version { found: 99 }));
}
