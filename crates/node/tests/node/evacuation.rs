//! Data centres that the operator evacuates and puts back into use.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::JobId, //
};
use fulmarpier_node::platform::Topic;
use rstest::rstest;
use tokio::time::sleep;

use crate::{
    platform::{
        Fake,
        REJECTED_VALUE, //
    },
    support::{
        SECOND,
        start_node,
        submit,
        wait_until_completed,
        wait_until_ready, //
    },
};

/// The configuration key that evacuates the data centre of all workers.
const EVACUATION_KEY: &str = "evacuate/north";

const TOPIC: Topic = Topic::Configuration;

#[rstest]
#[case::removed(|platform: &Fake| platform.remove(TOPIC, EVACUATION_KEY))]
#[case::compacted(|platform: &Fake| platform.drop_key(TOPIC, EVACUATION_KEY))]
#[tokio::test(start_paused = true)]
async fn nothing_starts_between_an_evacuation_and_its_end(#[case] end_evacuation: fn(&Fake)) {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.write(TOPIC, EVACUATION_KEY, b"{}");
    sleep(SECOND).await;
    submit(&one, 1).await.unwrap();
    sleep(30 * SECOND).await;
    assert_eq!(one.frontend().job_state(JobId(1)).await, Ok(State::Queued));
    assert_eq!(platform.starts(1), 0);
    end_evacuation(&platform);
    wait_until_completed(&one, 1).await;
    assert_eq!(platform.starts(1), 4);
}

#[tokio::test(start_paused = true)]
async fn an_evacuation_stays_in_force_under_the_next_owner() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.write(TOPIC, EVACUATION_KEY, b"{}");
    sleep(SECOND).await;
    one.stop(Duration::ZERO).await;
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    submit(&two, 1).await.unwrap();
    sleep(10 * SECOND).await;
    assert_eq!(platform.starts(1), 0);
    platform.remove(TOPIC, EVACUATION_KEY);
    wait_until_completed(&two, 1).await;
}

/// An invalid record, as other writers may leave in the topic, neither evacuates a data centre nor ends an evacuation.
#[rstest]
#[case::unknown_data_centre("evacuate/nowhere", b"{}")]
#[case::malformed(EVACUATION_KEY, b"foreign")]
#[case::rejected_value(EVACUATION_KEY, REJECTED_VALUE)]
#[tokio::test(start_paused = true)]
async fn an_invalid_evacuation_record_changes_nothing(#[case] key: &str, #[case] value: &[u8]) {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.write(TOPIC, key, value);
    sleep(SECOND).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    platform.write(TOPIC, EVACUATION_KEY, b"{}");
    platform.write(TOPIC, key, value);
    sleep(SECOND).await;
    submit(&one, 2).await.unwrap();
    sleep(10 * SECOND).await;
    assert_eq!(platform.starts(2), 0);
    // A node that starts with the newest record of each key finds the last valid one.
    one.stop(Duration::ZERO).await;
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    sleep(10 * SECOND).await;
    assert_eq!(platform.starts(2), 0);
    platform.remove(TOPIC, EVACUATION_KEY);
    wait_until_completed(&two, 2).await;
}

#[tokio::test(start_paused = true)]
async fn the_last_of_several_evacuation_changes_within_a_second_holds() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.write(TOPIC, EVACUATION_KEY, b"{}");
    sleep(SECOND / 5).await;
    platform.remove(TOPIC, EVACUATION_KEY);
    sleep(SECOND / 5).await;
    platform.write(TOPIC, EVACUATION_KEY, b"{}");
    sleep(SECOND / 5).await;
    submit(&one, 1).await.unwrap();
    sleep(5 * SECOND).await;
    assert_eq!(platform.starts(1), 0);
    platform.remove(TOPIC, EVACUATION_KEY);
    wait_until_completed(&one, 1).await;
}
