//! Gauges of the owner.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_node::Meter;
use fulmarpier_state::unit::Millicores;
use slog::{
    Drain,
    Logger, //
};
use tokio::time::sleep;

use crate::{
    platform::{
        Fake,
        Mode, //
    },
    support::{
        Lines,
        SECOND,
        sleep_between_requests,
        start_node,
        start_node_with_log,
        start_node_with_meter,
        wait_until_ready, //
    },
};

/// The time since the store last confirmed the owner's claim.
const UNCONFIRMED: &str = "fulmarpier_owner_unconfirmed_seconds";
/// Shorter than the time after which an owner that no node answers gives the cell up.
const OUTAGE: Duration = Duration::from_millis(900);
/// The answers of other nodes to the owner's question whether the store answers them.
const PEER_ANSWERS: &str = "fulmarpier_peer_store_answers_total";

/// Returns the values of a gauge by one of its labels.
fn values(meter: &Meter, gauge: &str, label: &str) -> BTreeMap<String, String> {
    let text = meter.render().unwrap();
    let lines = text.lines();
    let lines = lines.filter(|line| line.starts_with(&format!("{gauge}{{")));
    let values = lines.filter_map(|line| {
        let (_, rest) = line.split_once(&format!("{label}=\""))?;
        let (name, _) = rest.split_once('"')?;
        let (_, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), value.to_owned()))
    });
    values.collect()
}

/// Returns the value of a gauge that has no labels.
fn value(meter: &Meter, gauge: &str) -> f64 {
    let text = meter.render().unwrap();
    let line = text.lines().find(|line| line.starts_with(gauge));
    let (_, value) = line.and_then(|line| line.rsplit_once(' ')).unwrap();
    value.parse().unwrap()
}

/// Guards against workers that no class counts, or several do.
#[tokio::test(start_paused = true)]
async fn each_worker_is_counted_in_the_class_of_its_speed() {
    let platform = Fake::with_workers(3);
    let meter = Meter::new().unwrap();
    let one = start_node_with_meter("one", &platform, Millicores(250), meter.clone());
    wait_until_ready(&one).await;
    sleep(5 * SECOND).await;
    let expected = [("fast", "0"), ("slow", "0"), ("typical", "3")];
    let expected = expected.map(|(class, count)| (class.to_owned(), count.to_owned()));
    assert_eq!(
        values(&meter, "fulmarpier_worker_speed", "class"),
        BTreeMap::from(expected)
    );
}

/// Guards against an owner whose time without the store, and what it bases its decision on, can't be seen.
#[tokio::test(start_paused = true)]
async fn an_owner_without_the_store_shows_for_how_long_and_what_others_answer() {
    let platform = Fake::new();
    let (meter, lines) = (Meter::new().unwrap(), Lines::default());
    let log = Logger::root(lines.clone().fuse(), slog::o!());
    let one = start_node_with_log("one", &platform, Millicores(250), meter.clone(), log);
    wait_until_ready(&one).await;
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    let nodes = [&one, &two];
    sleep_between_requests(&nodes, 2 * SECOND).await;
    assert!(value(&meter, UNCONFIRMED) < 1.0);
    assert_eq!(lines.count("owner-without-store"), 0);

    platform.set_mode(Mode::Refusing);
    sleep_between_requests(&nodes, OUTAGE).await;
    let unconfirmed = value(&meter, UNCONFIRMED);
    assert!((0.6..1.4).contains(&unconfirmed), "{unconfirmed} s");
    let answers = values(&meter, PEER_ANSWERS, "outcome");
    let failing: u64 = answers["fails-too"].parse().unwrap();
    assert!(failing > 0, "{answers:?}");
    assert_eq!(answers["answers"], "0");
    let written = lines.count("owner-without-store");
    assert!((1..=2).contains(&written), "{written} lines");

    platform.set_mode(Mode::Healthy);
    sleep_between_requests(&nodes, 2 * SECOND).await;
    assert!(value(&meter, UNCONFIRMED) < 0.6);
}
