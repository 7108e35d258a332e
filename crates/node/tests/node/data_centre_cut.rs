//! A data centre that is cut off with its workers and the owner.

use std::time::Duration;

use tokio::time::sleep;

use crate::{
    support::SECOND,
    world::{
        USUAL_SIZES,
        World, //
    },
};

/// Longer than all leases.
const CUT: Duration = Duration::from_secs(25);

/// Cuts the first data centre off and heals all links later; checks the runs, and that all jobs complete.
async fn cut_first_data_centre(world: &World) {
    sleep(3 * SECOND).await;
    assert_eq!(world.store.owner().as_deref(), Some("a-0"));
    let mut group = world.nodes_of(0);
    group.extend(world.workers_of(0));
    world.isolate(&group, CUT);
    sleep(CUT).await;
    let open = world.wait_for_jobs(120 * SECOND).await;
    let violations = world.violations();
    assert!(
        violations.is_empty(),
        "{}: {violations:#?}",
        violations.len()
    );
    assert!(open.is_empty(), "jobs that are not completed: {open:?}");
}

/// Guards against an owner that goes on for as long as nodes that are cut off with it answer.
#[tokio::test(start_paused = true)]
async fn a_task_of_a_data_centre_that_is_cut_off_runs_once() {
    let mut world = World::start(&USUAL_SIZES).await;
    for _ in 0..4 {
        world.submit(6, CUT + 10 * SECOND);
    }
    cut_first_data_centre(&world).await;
}

/// Guards against another run of a task whose end only the former owner has seen.
#[tokio::test(start_paused = true)]
async fn a_task_that_ends_in_a_data_centre_that_is_cut_off_is_not_run_again() {
    let mut world = World::start(&USUAL_SIZES).await;
    for _ in 0..2 {
        world.submit(6, CUT + 10 * SECOND);
        world.submit(6, 5 * SECOND);
    }
    cut_first_data_centre(&world).await;
}
