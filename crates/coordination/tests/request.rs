//! The ledger's verdicts, one at a time, and what a log outage refuses.

#[path = "support/keys.rs"]
mod keys;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_coordination::{
    journal::Record,
    recovery::{
        Gap,
        Image, //
    },
    request::{
        Answer,
        Ask,
        Claim,
        Digest,
        Granted,
        Key,
        KeyError,
        Ledger,
        Outage,
        Settings,
        Ticket,
        Verdict,
        shard_of, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        ShardId, //
    },
    refusal::{
        Outcome,
        Reason, //
    },
};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(100_000_000);

fn at(seconds: u64) -> Timestamp {
    START + Duration::from_secs(seconds)
}

fn claim(complete: bool) -> Claim {
    Claim {
        epoch: Epoch(9),
        at: START,
        complete,
    }
}

fn ledger(settings: Settings) -> Ledger {
    Ledger::new(settings, &Image::default(), claim(true), START).0
}

fn ask(key: &Key, now: Timestamp) -> Ask {
    Ask {
        key: key.clone(),
        digest: Digest([1; 32]),
        nonce: 1,
        target: None,
        service: "desk".parse().expect("a name"),
        deadline: now + Duration::from_secs(5),
    }
}

/// Begins a request with the log up and returns its ticket.
fn begin(ledger: &mut Ledger, key: &Key, now: Timestamp) -> Ticket {
    match ledger.begin(&ask(key, now), None, now) {
        Verdict::Journal(ticket) => ticket,
        other => panic!("unexpected: {other:?}"),
    }
}

fn refused(verdict: &Verdict) -> (Reason, Outcome) {
    match verdict {
        Verdict::Refuse(refusal) => (refusal.reason, refusal.outcome),
        other => panic!("unexpected: {other:?}"),
    }
}

fn answer(size: usize) -> Answer {
    Answer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: vec![b'x'; size].into(),
    }
}

#[test]
fn a_repeated_request_gets_the_kept_answer() {
    let mut ledger = ledger(Settings::default());
    let key = keys::timed(1, START);
    let ticket = begin(&mut ledger, &key, START);
    assert_eq!(ledger.committed(&key, ticket, START), Granted::Send);
    let kept = Some(answer(100));
    let record = ledger.finish(&key, ticket, Outcome::Ran, kept, START);
    assert!(record.is_some());
    let verdict = ledger.begin(&ask(&key, START), None, START);
    assert_eq!(verdict, Verdict::Replay(answer(100)));
}

#[test]
fn an_answer_that_is_too_large_is_not_kept() {
    let settings = Settings::default();
    let large = answer(settings.answer + 1);
    let mut ledger = ledger(settings);
    let key = keys::timed(1, START);
    let ticket = begin(&mut ledger, &key, START);
    ledger.committed(&key, ticket, START);
    ledger.finish(&key, ticket, Outcome::Ran, Some(large), START);
    let verdict = ledger.begin(&ask(&key, START), None, START);
    assert_eq!(refused(&verdict), (Reason::AlreadyRan, Outcome::Ran));
}

#[test]
fn a_key_in_progress_is_busy_and_another_body_is_told_apart() {
    let mut ledger = ledger(Settings::default());
    let key = keys::timed(1, START);
    begin(&mut ledger, &key, START);
    let mut again = ask(&key, START);
    let verdict = ledger.begin(&again, None, START);
    assert_eq!(refused(&verdict), (Reason::KeyBusy, Outcome::Unknown));
    again.digest = Digest([2; 32]);
    let verdict = ledger.begin(&again, None, START);
    assert_eq!(refused(&verdict), (Reason::KeyReused, Outcome::NotRun));
}

#[test]
fn a_request_that_was_not_sent_frees_its_key() {
    let mut ledger = ledger(Settings::default());
    let key = keys::timed(1, START);
    let first = begin(&mut ledger, &key, START);
    ledger.committed(&key, first, START);
    ledger.finish(&key, first, Outcome::NotRun, None, START);
    let second = begin(&mut ledger, &key, START);
    assert_ne!(first, second);
    let late = ledger.finish(&key, first, Outcome::Ran, None, START);
    assert_eq!(late, None, "the first ticket is void");
}

#[test]
fn an_intent_that_is_kept_too_late_is_not_sent() {
    let mut ledger = ledger(Settings::default());
    let key = keys::timed(1, START);
    let ticket = begin(&mut ledger, &key, START);
    let granted = ledger.committed(&key, ticket, at(5));
    assert!(matches!(granted, Granted::Late(_)));
    let report = ledger.finish(&key, ticket, Outcome::Ran, None, at(5));
    assert_eq!(report, None, "it had no leave to send");
}

#[test]
fn a_grant_without_a_report_becomes_unknown_until_one_comes() {
    let settings = Settings::default();
    let end = START + Duration::from_secs(5) + settings.grace;
    let mut ledger = ledger(settings);
    let key = keys::timed(1, START);
    let ticket = begin(&mut ledger, &key, START);
    ledger.committed(&key, ticket, START);
    assert_eq!(ledger.expire(at(14)).records, []);
    assert_eq!(ledger.expire(end).records.len(), 1);
    let verdict = ledger.begin(&ask(&key, end), None, end);
    assert_eq!(refused(&verdict), (Reason::KeyUnknown, Outcome::Unknown));
    ledger.finish(&key, ticket, Outcome::Ran, None, end);
    let verdict = ledger.begin(&ask(&key, end), None, end);
    assert_eq!(refused(&verdict), (Reason::AlreadyRan, Outcome::Ran));
}

#[test]
fn a_full_ledger_refuses_old_keys_rather_than_forgetting_them() {
    let mut ledger = ledger(Settings::default().count(100));
    for number in 0..1_000 {
        let now = at(number);
        let key = keys::timed(number, now);
        let ticket = begin(&mut ledger, &key, now);
        ledger.committed(&key, ticket, now);
        ledger.finish(&key, ticket, Outcome::Ran, None, now);
        ledger.expire(now);
        assert!(ledger.len() <= 100);
    }
    let first = keys::timed(0, at(0));
    let verdict = ledger.begin(&ask(&first, at(1_000)), None, at(1_000));
    assert_eq!(refused(&verdict), (Reason::KeyAged, Outcome::Unknown));
}

#[test]
fn an_opaque_key_is_remembered_for_its_span_even_when_the_ledger_is_full() {
    let mut ledger = ledger(Settings::default().count(10));
    for number in 0..10 {
        let key = keys::opaque(number);
        let ticket = begin(&mut ledger, &key, START);
        ledger.committed(&key, ticket, START);
        ledger.finish(&key, ticket, Outcome::Ran, None, START);
        ledger.expire(START);
    }
    let verdict = ledger.begin(&ask(&keys::opaque(10), START), None, START);
    assert_eq!(refused(&verdict), (Reason::QueueFull, Outcome::NotRun));
    let verdict = ledger.begin(&ask(&keys::opaque(0), START), None, START);
    assert_eq!(refused(&verdict), (Reason::AlreadyRan, Outcome::Ran));
    ledger.expire(at(24 * 3_600));
    assert_eq!(ledger.len(), 10);
    ledger.expire(at(26 * 3_600));
    assert!(ledger.is_empty());
}

#[test]
fn old_keys_are_dropped_many_at_once() {
    let settings = Settings {
        age: Duration::from_secs(160),
        ..Settings::default()
    };
    let mut ledger = ledger(settings);
    let mut records = 0;
    for number in 0..1_600 {
        let now = at(number);
        let key = keys::timed(number, now);
        let ticket = begin(&mut ledger, &key, now);
        ledger.committed(&key, ticket, now);
        ledger.finish(&key, ticket, Outcome::Ran, None, now);
        records += ledger.expire(now).records.len();
        assert!(ledger.len() <= 171, "{} remembered", ledger.len());
    }
    assert!(records <= 160, "{records} records");
}

#[test]
fn a_successor_refuses_what_was_made_in_an_outage_and_nothing_else() {
    let mut image = Image::default();
    image.gaps.push(Gap {
        from: START.saturating_sub(Duration::from_secs(600)),
        to: START,
    });
    let (mut ledger, _) = Ledger::new(Settings::default(), &image, claim(true), START);
    let made = |before: u64| keys::timed(before, START.saturating_sub(Duration::from_secs(before)));
    let verdict = |ledger: &mut Ledger, key: &Key| ledger.begin(&ask(key, START), None, START);
    for inside in [1, 300, 570] {
        let verdict = verdict(&mut ledger, &made(inside));
        assert_eq!(refused(&verdict), (Reason::KeyAged, Outcome::Unknown));
    }
    for outside in [571, 900] {
        let verdict = verdict(&mut ledger, &made(outside));
        assert!(matches!(verdict, Verdict::Journal(_)), "{outside}");
    }
}

#[test]
fn a_successor_without_the_whole_journal_refuses_every_key_that_may_be_old() {
    let (mut ledger, _) = Ledger::new(Settings::default(), &Image::default(), claim(false), START);
    for key in [keys::timed(1, START), keys::opaque(1)] {
        let verdict = ledger.begin(&ask(&key, at(60)), None, at(60));
        assert_eq!(refused(&verdict), (Reason::KeyAged, Outcome::Unknown));
    }
    begin(&mut ledger, &keys::timed(2, at(60)), at(60));
}

/// One request a second through 30 minutes without the log, one in five with an opaque key. The
/// owner lives on; after the outage its successor is asked once more for every key.
fn outage(outage: Outage) -> String {
    const SECONDS: u64 = 1_800;
    let settings = Settings::default().outage(outage);
    let mut owner = ledger(settings.clone());
    let mut keys = Vec::new();
    let mut during: BTreeMap<String, u32> = BTreeMap::new();
    for second in 10..SECONDS {
        let now = at(second);
        let (kind, key) = match second % 5 {
            0 => ("opaque", keys::opaque(second)),
            _ => ("timed", keys::timed(second, now)),
        };
        let what = match owner.begin(&ask(&key, now), Some(at(10)), now) {
            Verdict::Journal(ticket) => {
                owner.cancel(&key, ticket, at(second + 5));
                "not_run".to_owned()
            }
            Verdict::Send(_) => "sent".to_owned(),
            Verdict::Refuse(refusal) => refusal.outcome.to_string(),
            Verdict::Replay(_) => "replayed".to_owned(),
        };
        *during.entry(format!("{kind} {what}")).or_default() += 1;
        keys.push((kind, key));
    }
    let mut image = Image::default();
    if outage == Outage::Fresh {
        image.gaps.push(Gap {
            from: at(10),
            to: at(SECONDS),
        });
    }
    let claim = Claim {
        at: at(SECONDS),
        ..claim(true)
    };
    let (mut successor, _) = Ledger::new(settings, &image, claim, at(SECONDS));
    let mut after: BTreeMap<String, u32> = BTreeMap::new();
    for (kind, key) in keys {
        let now = at(SECONDS + 10);
        let what = match successor.begin(&ask(&key, now), None, now) {
            Verdict::Refuse(refusal) => refusal.outcome.to_string(),
            _ => "begun".to_owned(),
        };
        *after.entry(format!("{kind} {what}")).or_default() += 1;
    }
    format!("during: {during:?}\nafter: {after:?}")
}

#[test]
fn what_thirty_minutes_without_the_log_refuse() {
    insta::assert_snapshot!(outage(Outage::Wait), @r#"
    during: {"opaque not_run": 358, "timed not_run": 1432}
    after: {"opaque begun": 358, "timed begun": 1432}
    "#);
    insta::assert_snapshot!(outage(Outage::Fresh), @r#"
    during: {"opaque not_run": 358, "timed not_run": 24, "timed sent": 1408}
    after: {"opaque begun": 358, "timed begun": 24, "timed unknown": 1408}
    "#);
}

#[rstest]
#[case::empty("", KeyError::Empty)]
#[case::blank("a b", KeyError::Character { found: ' ' })]
#[case::not_ascii("pöntun", KeyError::Character { found: 'ö' })]
fn a_malformed_key_says_what_is_wrong(#[case] text: &str, #[case] error: KeyError) {
    assert_eq!(text.parse::<Key>(), Err(error));
}

#[test]
fn a_key_has_at_most_128_bytes() {
    assert!("x".repeat(128).parse::<Key>().is_ok());
    let long = "x".repeat(129).parse::<Key>();
    assert_eq!(long, Err(KeyError::Long { len: 129 }));
}

#[test]
fn only_the_seventh_version_has_a_time() {
    assert_eq!(keys::timed(1, START).time(), Some(START));
    let fourth = "f47ac10b-58cc-4372-a567-0e02b2c3d479";
    assert_eq!(fourth.parse::<Key>().expect("a key").time(), None);
}

#[test]
fn homes_are_even_and_a_new_shard_takes_only_its_share() {
    let shards: Vec<ShardId> = (0..8).map(ShardId).collect();
    let fewer = &shards[..7];
    let mut load = [0_u32; 8];
    let mut moved = 0;
    for number in 0..8_000 {
        let key = keys::timed(number, START);
        let home = shard_of(&key, &shards).expect("a home");
        load[usize::from(home.0)] += 1;
        let before = shard_of(&key, fewer).expect("a home");
        let stays = before == home || home == ShardId(7);
        assert!(stays, "{key} moved between old shards");
        moved += u32::from(before != home);
    }
    assert_eq!(moved, load[7]);
    assert!(load.iter().all(|n| (900..1_100).contains(n)), "{load:?}");
    assert_eq!(shard_of(&keys::opaque(1), &[]), None);
    let fixed = shard_of(&keys::opaque(1), &shards);
    assert_eq!(fixed, Some(ShardId(4)), "a home must never move");
}

#[test]
fn the_flow_that_missed_its_grant_gets_another() {
    let mut ledger = ledger(Settings::default());
    let key: Key = "order-1".parse().expect("a key");
    let now = START;
    let first = begin(&mut ledger, &key, now);
    assert_eq!(ledger.committed(&key, first, now), Granted::Send);
    // Another flow, as when the caller asks a second gate, gets nothing.
    let other = Ask {
        nonce: 2,
        ..ask(&key, now)
    };
    assert_eq!(ledger.retake(&other, now), None);
    let verdict = ledger.begin(&other, None, now);
    assert_eq!(refused(&verdict).0, Reason::KeyBusy);
    // The flow itself has sent nothing, since the answer with the grant was lost.
    let record = ledger.retake(&ask(&key, now), now);
    let freed = |record: &Record| match record {
        Record::Outcome {
            ticket, outcome, ..
        } => (*ticket, *outcome) == (first, Outcome::NotRun),
        _ => false,
    };
    assert!(record.as_ref().is_some_and(freed));
    let second = begin(&mut ledger, &key, now);
    assert_ne!(first, second);
    // The first ticket is void.
    assert_eq!(ledger.finish(&key, first, Outcome::Ran, None, now), None);
    assert_eq!(ledger.committed(&key, second, now), Granted::Send);
}

#[test]
fn a_request_that_ran_is_not_begun_again_by_its_own_flow() {
    let mut ledger = ledger(Settings::default());
    let key: Key = "order-1".parse().expect("a key");
    let now = START;
    let ticket = begin(&mut ledger, &key, now);
    assert_eq!(ledger.committed(&key, ticket, now), Granted::Send);
    assert!(
        ledger
            .finish(&key, ticket, Outcome::Ran, None, now)
            .is_some()
    );
    assert_eq!(ledger.retake(&ask(&key, now), now), None);
}
