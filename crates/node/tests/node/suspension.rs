//! Suspended machines: the clock of a node's runtime stops, while its leases continue to run out for the other nodes.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use fulmarpier_cell::id::Epoch;

use crate::{
    platform::Fake,
    support::{
        SECOND,
        start_node,
        submit,
        wait_until,
        wait_until_completed,
        wait_until_ready, //
    },
};

const SUSPENSION: Duration = Duration::from_secs(5);

#[tokio::test]
async fn an_owner_whose_machine_was_suspended_gives_the_cell_up() {
    let platform = Fake::new();
    let machine = platform.another_machine();
    let one = start_node("one", &machine);
    wait_until_ready(&one).await;
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    let first = platform.claims().last().map(|claim| claim.epoch);
    machine.suspend(SUSPENSION);
    // Once there is another claim, the next owner reads all records from the store again.
    wait_until(|| async { platform.claims().last().map(|claim| claim.epoch) > first }).await;
    wait_until_ready(&two).await;
    submit(&two, 1).await.unwrap();
    wait_until_completed(&two, 1).await;
    assert_eq!(platform.starts(1), 4);
}

/// A suspension that a node noticed before it owned the cell does not end its ownership.
#[tokio::test]
async fn a_node_that_was_suspended_keeps_the_cell_that_it_claims_later() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let machine = platform.another_machine();
    let two = start_node("two", &machine);
    wait_until_ready(&two).await;
    machine.suspend(SUSPENSION);
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(one);
    wait_until(|| async { platform.owner().as_deref() == Some("two") }).await;
    tokio::time::sleep(SECOND).await;
    let claims = platform.claims();
    let own = claims.iter().filter(|claim| claim.node.as_str() == "two");
    let epochs: BTreeSet<Epoch> = own.map(|claim| claim.epoch).collect();
    assert_eq!(epochs.len(), 1, "it claims the cell once: {epochs:?}");
    assert!(claims.last().is_some_and(|claim| !claim.released));
}
