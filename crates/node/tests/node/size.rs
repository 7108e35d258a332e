//! How the load on the store and the delays depend on the number of nodes and workers.

use std::time::Duration;

use fulmarpier_node::{
    Node,
    platform::Topic, //
};
use fulmarpier_state::unit::Millicores;
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    platform::{
        Fake,
        Mode, //
    },
    support::{
        SECOND,
        sleep_between_requests,
        start_node,
        start_node_with_processor,
        submit,
        wait_until,
        wait_until_completed,
        wait_until_ready, //
    },
};

/// Starts an owner, and weaker nodes each on a machine of its own.
async fn start_cell(platform: &Fake, others: usize) -> (Node<Fake>, Vec<(Node<Fake>, Fake)>) {
    let owner = start_node_with_processor("owner", platform, Millicores(1_000));
    wait_until_ready(&owner).await;
    let others = (0..others).map(|nth| {
        let machine = platform.another_machine();
        let node = start_node_with_processor(&format!("n{nth}"), &machine, Millicores(250));
        (node, machine)
    });
    let others: Vec<_> = others.collect();
    for (node, _) in &others {
        wait_until_ready(node).await;
    }
    (owner, others)
}

/// While the store refuses many nodes, each of them asks the owner whether the outage affects all nodes.
#[rstest]
#[tokio::test(start_paused = true)]
async fn an_owner_doesn_t_probe_the_store_for_each_node_that_asks(
    #[values(2, 6, 12)] others: usize,
) {
    let platform = Fake::new();
    let (_owner, others) = start_cell(&platform, others).await;
    sleep(2 * SECOND).await;
    let before = platform.reads(Topic::Claims).len();
    for (_, machine) in &others {
        machine.set_own_mode(Mode::Refusing);
    }
    sleep(3 * SECOND).await;
    let probes = platform.reads(Topic::Claims).len() - before;
    // At most one probe per 0.1 s, however many nodes ask.
    assert!(probes <= 30, "{probes} reads of the claims");
}

/// A node does not read the store while the owner tells it that there is nothing newer.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_node_reads_what_the_operator_writes_each_four_seconds(#[values(2, 12)] others: usize) {
    let platform = Fake::new();
    let (owner, others) = start_cell(&platform, others).await;
    let mut nodes = vec![&owner];
    nodes.extend(others.iter().map(|(node, _)| node));
    sleep_between_requests(&nodes, 5 * SECOND).await;
    let from = Instant::now();
    sleep_between_requests(&nodes, 20 * SECOND).await;
    for (_, machine) in &others {
        let reads = machine.reads(Topic::Configuration);
        let reads = reads.iter().filter(|at| **at >= from).count();
        assert!(reads <= 6, "{reads} reads in 20 s");
    }
}

/// The store gives no answer to a node's call that waits for a change, while the owner reads the change.
#[tokio::test(start_paused = true)]
async fn a_node_applies_a_change_in_time_when_the_answer_with_it_is_lost() {
    let platform = Fake::new();
    let (_owner, others) = start_cell(&platform, 2).await;
    sleep(5 * SECOND).await;
    let (node, machine) = &others[0];
    machine.set_own_mode(Mode::Unresponsive);
    sleep(Duration::from_millis(50)).await;
    machine.set_own_mode(Mode::Healthy);
    platform.write(Topic::Configuration, "config", b"2");
    let from = Instant::now();
    wait_until(|| async {
        node.frontend()
            .config()
            .is_some_and(|config| config.version == 2)
    })
    .await;
    assert!(from.elapsed() < 2 * SECOND, "{:?}", from.elapsed());
}

/// Reading the list of workers takes as long as reading the records of the former owner.
#[tokio::test(start_paused = true)]
async fn a_new_owner_reads_workers_and_progress_concurrently() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    one.stop(Duration::ZERO).await;
    let machine = platform.another_machine();
    platform.delay_reads(Topic::Progress, SECOND);
    platform.delay_reads(Topic::Workers, SECOND);
    let two = start_node("two", &machine);
    wait_until_ready(&two).await;
    let progress = machine.reads(Topic::Progress)[0];
    let workers = machine.reads(Topic::Workers)[0];
    assert!(workers < progress + SECOND / 2, "{:?}", workers - progress);
    platform.delay_reads(Topic::Workers, Duration::ZERO);
    submit(&two, 2).await.unwrap();
    wait_until_completed(&two, 2).await;
}

/// A worker in the first page of the list is used before the last page is read.
#[tokio::test(start_paused = true)]
async fn a_new_owner_uses_the_first_page_of_workers_before_it_has_read_the_rest() {
    let platform = Fake::with_workers(40);
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    one.stop(Duration::ZERO).await;
    platform.limit_newest_reads(4);
    platform.delay_reads(Topic::Workers, SECOND);
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    let from = Instant::now();
    submit(&two, 1).await.unwrap();
    wait_until_completed(&two, 1).await;
    let took = from.elapsed();
    assert!(took < 4 * SECOND, "{took:?}");
}
