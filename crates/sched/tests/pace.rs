//! How rarely workers are asked, and how soon what matters is seen all the same, in virtual time.

mod support;

use std::time::Duration;

use fulmarpier_state::id::{
    NodeId,
    WorkerId, //
};
use rstest::rstest;
use support::{
    World,
    jobs::{
        batch,
        id as job, //
    },
};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

/// Starts three nodes that ask workers every 5 s under leases of 15 s.
fn slow(workers: u32, seed: u64) -> World {
    let mut world = World::new(0, workers, seed);
    world.settings.shard.worker_sync = 5 * SECOND;
    world.settings.shard.worker_lease = 15 * SECOND;
    for number in 1..=3 {
        world.start(NodeId(number));
    }
    assert!(world.run_until(MINUTE, |world| world.owners().len() == 3));
    // Until every worker was taken.
    world.run(10 * SECOND);
    world
}

#[test]
fn idle_workers_are_asked_once_an_interval_and_not_all_at_once() {
    let mut world = slow(12, 1);
    world.run(MINUTE);
    let before = world.syncs;
    world.run(5 * MINUTE);
    let asked = world.syncs - before;
    assert!((12 * 60..=12 * 70).contains(&asked), "{asked}");
    let mut most = 0;
    for _ in 0..100 {
        let before = world.syncs;
        world.run(SECOND / 10);
        most = most.max(world.syncs - before);
    }
    assert!(most <= 4, "{most} of 12 workers in a tenth of a second");
}

#[rstest]
#[case::declared(Some(SECOND), Duration::from_millis(150))]
#[case::unknown(None, Duration::from_millis(650))]
fn an_end_is_seen_soon_although_the_worker_is_rarely_asked(
    #[case] declared: Option<Duration>,
    #[case] late: Duration,
) {
    let mut world = slow(12, 2);
    let owner = world.owner().unwrap();
    let mut spec = batch(1, SECOND);
    spec.runtime = declared;
    world.accept(owner, job(1), spec);
    // Normal work is gathered for a while before it is placed.
    assert!(world.run_until(5 * SECOND, |world| !world.seen.starts.is_empty()));
    if declared.is_none() {
        world.run(SECOND);
        world.end_all();
    }
    let limit = if declared.is_some() {
        SECOND + late
    } else {
        late
    };
    let began = world.now;
    assert!(world.run_until(MINUTE, |world| world.has_succeeded(job(1))));
    let span = world.now.since(began);
    assert!(span <= limit, "{span:?}");
    world.check();
}

#[test]
fn tasks_outlive_lost_answers_and_a_killed_owner_under_slow_renewals() {
    let mut world = slow(12, 3);
    let owner = world.owner().unwrap();
    for number in 0..10 {
        world.accept(owner, job(number), batch(2, 2 * MINUTE));
    }
    world.lost = 10;
    world.run(MINUTE);
    world.kill(owner.0);
    let done = |world: &World| (0..10).all(|number| world.has_succeeded(job(number)));
    assert!(world.run_until(10 * MINUTE, done));
    world.check();
    let starts = world.seen.starts.values().copied().max();
    assert_eq!(starts, Some(1), "no lease lapsed");
}

#[test]
fn a_worker_that_lost_everything_is_believed() {
    let mut world = slow(3, 4);
    let owner = world.owner().unwrap();
    world.accept(owner, job(1), batch(4, MINUTE));
    world.run(10 * SECOND);
    for worker in 1..=3 {
        let worker = world.workers.get_mut(&WorkerId(worker)).unwrap();
        worker.die(&mut world.seen);
        worker.dead = false;
    }
    assert!(world.run_until(5 * MINUTE, |world| world.has_succeeded(job(1))));
    world.check();
    assert!(world.seen.starts.values().all(|starts| *starts == 2));
}

#[test]
fn a_long_list_of_machines_is_read_less_often() {
    let mut world = World::new(3, 120, 5);
    world.run(MINUTE);
    // Thirty machines a second, so once in 4.1 s and at the start, by each of three nodes.
    assert!(world.lists <= 3 * 16, "{}", world.lists);
}
