//! What a cell of nodes does when something fails, in virtual time.

mod support;

use std::time::Duration;

use fulmarpier_protocol::http::job::State;
use fulmarpier_state::{
    engine,
    id::{
        NodeId,
        WorkerId, //
    },
    refusal,
};
use support::{
    World,
    jobs::{
        batch,
        id as job,
        once, //
    },
};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
/// Every data centre has one shard here.
const SHARDS: usize = 3;

/// Starts three nodes over twelve workers and waits until every shard places work.
fn cell(seed: u64) -> World {
    let mut world = World::new(3, 12, seed);
    assert!(world.run_until(MINUTE, |world| world.owners().len() == SHARDS));
    world
}

#[test]
fn a_cell_comes_up_and_runs_a_job() {
    let mut world = cell(1);
    let owner = world.owner().unwrap();
    world.accept(owner, job(1), batch(10, SECOND));
    assert!(world.run_until(MINUTE, |world| world.has_succeeded(job(1))));
    world.check();
}

#[test]
fn a_killed_node_loses_no_job_and_runs_none_twice() {
    let mut world = cell(2);
    let owner = world.owner().unwrap();
    for number in 0..20 {
        world.accept(owner, job(number), batch(2, 3 * SECOND));
    }
    // Some run, some are about to be started, some wait.
    world.submit(owner, job(99), batch(4, SECOND));
    world.run(Duration::from_millis(3));
    world.kill(owner.0);
    let died = world.now;
    let taken = |world: &World| world.owners().iter().any(|(_, shard)| *shard == owner.1);
    assert!(world.run_until(MINUTE, taken));
    let span = world.now.since(died);
    assert!(span <= 5 * SECOND, "placing again after {span:?}");
    let done = |world: &World| (0..20).all(|number| world.has_succeeded(job(number)));
    assert!(world.run_until(5 * MINUTE, done));
    world.check();
}

#[test]
fn a_task_that_must_run_at_most_once_is_not_started_again() {
    let mut world = cell(3);
    let owner = world.owner().unwrap();
    for number in 0..10 {
        world.accept(owner, job(number), once(3, 5 * SECOND));
    }
    world.run(Duration::from_millis(2));
    world.kill(owner.0);
    let ended = |world: &World| {
        (0..10).all(|number| matches!(world.state(job(number)), Some(engine::State::Ended(_))))
    };
    assert!(world.run_until(5 * MINUTE, ended));
    assert!(world.seen.starts.values().all(|starts| *starts == 1));
    world.check();
}

#[test]
fn a_node_paused_past_its_lease_starts_nothing_when_it_goes_on() {
    let mut world = cell(4);
    let owner = world.owner().unwrap();
    world.accept(owner, job(1), batch(8, 20 * SECOND));
    world.run(SECOND);
    world.submit(owner, job(2), batch(8, SECOND));
    world.pause(owner.0);
    let elsewhere = |world: &World| {
        let mut owners = world.owners().into_iter();
        owners.any(|(node, shard)| node != owner.0 && shard == owner.1)
    };
    assert!(world.run_until(MINUTE, elsewhere));
    world.resume(owner.0);
    let done = |world: &World| world.has_succeeded(job(1));
    assert!(world.run_until(3 * MINUTE, done));
    world.check();
}

#[test]
fn a_log_outage_of_half_an_hour_stops_nothing_that_was_accepted() {
    let mut world = cell(5);
    let owners = world.owners();
    let owner = owners[0];
    for number in 0..40 {
        world.accept(owner, job(number), batch(4, 10 * SECOND));
    }
    world.log.down = true;
    let call = world.submit(owner, job(50), batch(1, SECOND));
    world.run(30 * MINUTE);
    // The caller was told the truth, and what was accepted has run meanwhile.
    assert_eq!(world.submitted(call), Some(Err(refusal::Outcome::NotRun)));
    assert_eq!(world.owners(), owners);
    assert!((0..40).all(|number| world.has_succeeded(job(number))));
    world.log.down = false;
    world.run(10 * SECOND);
    assert_eq!(world.state(job(50)), None);
    world.accept(owner, job(51), batch(1, SECOND));
    world.check();
}

#[test]
fn a_job_whose_record_may_be_kept_is_never_said_not_to_have_run() {
    let mut world = cell(10);
    let owner = world.owner().unwrap();
    world.lost = 100;
    let first = world.submit(owner, job(1), batch(1, SECOND));
    world.run(Duration::from_millis(5));
    world.log.down = true;
    world.run(3 * SECOND);
    let again = world.submit(owner, job(1), batch(1, SECOND));
    let cancelled = world.cancel(owner, job(1));
    world.run(10 * SECOND);
    assert_eq!(world.submitted(first), Some(Err(refusal::Outcome::Unknown)));
    world.lost = 0;
    world.log.down = false;
    assert!(world.run_until(MINUTE, |world| world.has_succeeded(job(1))));
    assert_ne!(world.submitted(again), Some(Err(refusal::Outcome::NotRun)));
    // The job ran, so nobody may have been told that it had ended.
    assert_eq!(
        world.cancelled(cancelled),
        Some(Err(refusal::Outcome::NotRun))
    );
    world.check();
}

#[test]
fn a_node_that_alone_can_not_reach_the_log_hands_its_shards_to_others() {
    let mut world = cell(6);
    let owner = world.owner().unwrap();
    world.accept(owner, job(1), batch(4, 30 * SECOND));
    world.run(SECOND);
    world.log.denied.insert(owner.0);
    let elsewhere = |world: &World| {
        let mut owners = world.owners().into_iter();
        owners.any(|(node, shard)| node != owner.0 && shard == owner.1)
    };
    assert!(world.run_until(MINUTE, elsewhere));
    assert!(world.run_until(3 * MINUTE, |world| world.has_succeeded(job(1))));
    let starts: u32 = world.seen.starts.values().sum();
    assert_eq!(starts, 4, "what ran went on running");
    world.check();
}

#[test]
fn lost_answers_of_log_and_workers_lose_and_double_nothing() {
    let mut world = cell(7);
    world.lost = 20;
    let mut calls = Vec::new();
    for number in 0..30 {
        let Some(owner) = world.owner() else {
            world.run(SECOND);
            continue;
        };
        calls.push((number, world.submit(owner, job(number), batch(2, SECOND))));
        world.run(Duration::from_millis(300));
    }
    world.run(MINUTE);
    world.lost = 0;
    world.run(5 * MINUTE);
    for (number, call) in calls {
        match world.submitted(call) {
            Some(Ok(())) => assert!(world.has_succeeded(job(number)), "job {number}"),
            Some(Err(refusal::Outcome::NotRun)) => assert_eq!(world.state(job(number)), None),
            Some(Err(_)) | None => {}
        }
    }
    world.check();
}

#[test]
fn a_journal_truncated_under_its_owner_is_carried_on() {
    let mut world = cell(8);
    let owner = world.owner().unwrap();
    world.accept(owner, job(1), batch(4, 20 * SECOND));
    world.log.truncate("config", 0);
    world.log.truncate("claims.reg1", 3);
    world.run(5 * SECOND);
    world.kill(NodeId(1));
    world.run(5 * SECOND);
    world.start(NodeId(1));
    assert!(world.run_until(3 * MINUTE, |world| world.has_succeeded(job(1))));
    assert!(world.run_until(MINUTE, |world| world.owners().len() == SHARDS));
    world.check();
}

#[test]
fn a_dead_worker_leads_to_a_second_start_only_after_its_lease() {
    let mut world = cell(9);
    let owner = world.owner().unwrap();
    world.accept(owner, job(1), batch(16, 15 * SECOND));
    world.run(2 * SECOND);
    let worker = world
        .workers
        .keys()
        .copied()
        .find(|id| id.0 % 3 + 1 == u32::from(owner.1.0 / 100))
        .unwrap();
    let (seen, workers) = (&mut world.seen, &mut world.workers);
    workers.get_mut(&worker).unwrap().die(seen);
    assert!(world.run_until(3 * MINUTE, |world| world.has_succeeded(job(1))));
    world.check();
}

#[test]
fn a_worker_paused_past_its_leases_runs_nothing_a_second_time() {
    let mut world = cell(10);
    let owner = world.owner().unwrap();
    world.accept(owner, job(1), batch(16, 15 * SECOND));
    world.run(2 * SECOND);
    let paused: Vec<WorkerId> = world
        .workers
        .keys()
        .copied()
        .filter(|id| id.0 % 3 + 1 == u32::from(owner.1.0 / 100))
        .take(2)
        .collect();
    for id in &paused {
        world.workers.get_mut(id).unwrap().paused = true;
    }
    world.run(20 * SECOND);
    for id in &paused {
        world.workers.get_mut(id).unwrap().paused = false;
    }
    assert!(world.run_until(3 * MINUTE, |world| world.has_succeeded(job(1))));
    world.check();
}

#[test]
fn every_node_restarts_in_turn_under_load() {
    let mut world = cell(11);
    let mut accepted = Vec::new();
    for node in world.nodes() {
        for number in 0..10 {
            let owner = world.owner().unwrap();
            let id = job(node.0 * 100 + number);
            let call = world.submit(owner, id, batch(3, 2 * SECOND));
            accepted.push((id, call));
            world.run(Duration::from_millis(200));
        }
        world.kill(node);
        world.run(3 * SECOND);
        world.start(node);
        assert!(world.run_until(MINUTE, |world| world.owners().len() == SHARDS));
    }
    world.run(2 * MINUTE);
    let mut count = 0;
    for (id, call) in accepted {
        if world.submitted(call) == Some(Ok(())) {
            count += 1;
            assert_eq!(world.look(id), Some(State::Succeeded), "{id}");
        }
    }
    assert!(count >= 20, "{count} jobs accepted");
    world.check();
}
