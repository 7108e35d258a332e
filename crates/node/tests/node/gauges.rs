//! Gauges of the owner.

use std::collections::BTreeMap;

use fulmarpier_node::Meter;
use fulmarpier_state::unit::Millicores;
use tokio::time::sleep;

use crate::{
    platform::Fake,
    support::{
        SECOND,
        start_node_with_meter,
        wait_until_ready, //
    },
};

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
