//! Work goes on while the store is silent for all nodes, or while nodes are slow or gone.

use std::time::Duration;

use fulmarpier_cell::event::ExitReason;
use rstest::rstest;
use tokio::time::sleep;

use crate::{
    support::SECOND,
    world::{
        Effect,
        Site,
        USUAL_SIZES,
        World, //
    },
};

/// Longer than all leases.
const OUTAGE: Duration = Duration::from_secs(25);
const TASKS_PER_JOB: u16 = 6;
const JOBS: usize = 4;

/// Starts a world with tasks that outlast an outage.
async fn start_with_work() -> World {
    let mut world = World::start(&USUAL_SIZES).await;
    for _ in 0..JOBS {
        world.submit(TASKS_PER_JOB, OUTAGE + 10 * SECOND);
    }
    sleep(3 * SECOND).await;
    assert_eq!(world.store.owner().as_deref(), Some("a-0"));
    world
}

fn begin_outage(world: &World) {
    world.cut(&world.nodes(), &[Site::Store], OUTAGE);
}

/// Checks that all tasks are done after one run each.
async fn check_single_runs(world: &World) {
    let open = world.wait_for_jobs(60 * SECOND).await;
    assert!(open.is_empty(), "jobs that are not completed: {open:?}");
    let violations = world.violations();
    assert!(violations.is_empty(), "{violations:#?}");
    let runs = world.runs();
    let ends = runs.iter().map(|run| run.end.map(|(_, reason)| reason));
    let ends: Vec<Option<ExitReason>> = ends.collect();
    let expected = vec![Some(ExitReason::Done); JOBS * usize::from(TASKS_PER_JOB)];
    assert_eq!(ends, expected);
}

/// Checks that only the first node has ever owned the cell.
fn check_owner(world: &World) {
    assert_eq!(world.store.owner().as_deref(), Some("a-0"));
    assert_eq!(world.store.takeovers().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn tasks_go_on_while_the_store_is_silent() {
    let world = start_with_work().await;
    begin_outage(&world);
    sleep(OUTAGE).await;
    check_owner(&world);
    check_single_runs(&world).await;
    check_owner(&world);
}

#[tokio::test(start_paused = true)]
async fn tasks_go_on_while_the_store_is_silent_and_another_node_loses_power() {
    let mut world = start_with_work().await;
    begin_outage(&world);
    sleep(OUTAGE / 2).await;
    world.end_node(4, true);
    sleep(OUTAGE / 2).await;
    check_owner(&world);
    check_single_runs(&world).await;
    check_owner(&world);
}

#[tokio::test(start_paused = true)]
async fn tasks_go_on_while_the_store_is_silent_and_the_other_nodes_are_restarted() {
    let mut world = start_with_work().await;
    begin_outage(&world);
    sleep(2 * SECOND).await;
    for node in 1..world.nodes().len() {
        world.end_node(node, false);
        sleep(SECOND / 2).await;
        world.start_node(node);
        sleep(5 * SECOND / 2).await;
    }
    check_owner(&world);
    check_single_runs(&world).await;
    check_owner(&world);
}

/// Slow links don't end an ownership, whether or not the store is silent.
#[rstest]
#[case::two_nodes(&[Site::Node(2), Site::Node(5)])]
#[case::the_owner(&[Site::Node(0)])]
#[case::a_data_centre_without_the_owner(&[Site::Node(3), Site::Node(4)])]
#[tokio::test(start_paused = true)]
async fn tasks_go_on_while_links_are_slow(#[case] slow: &[Site]) {
    let world = start_with_work().await;
    let delay = Effect::Delay(Duration::from_millis(60));
    let all = world.sites();
    world.disturb(slow, &all, delay, 2 * OUTAGE);
    world.disturb(&all, slow, delay, 2 * OUTAGE);
    sleep(2 * SECOND).await;
    begin_outage(&world);
    sleep(OUTAGE).await;
    check_owner(&world);
    check_single_runs(&world).await;
}

#[tokio::test(start_paused = true)]
async fn tasks_go_on_after_their_owner_has_lost_power() {
    let mut world = start_with_work().await;
    world.end_node(0, true);
    sleep(5 * SECOND).await;
    assert_ne!(world.store.owner().as_deref(), Some("a-0"));
    check_single_runs(&world).await;
}
