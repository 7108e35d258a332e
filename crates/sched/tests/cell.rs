//! Many shards as one cell, in virtual time.

mod support;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_protocol::{
    http::{
        job,
        table::Table, //
    },
    wire,
};
use fulmarpier_sched::node::CallId;
use fulmarpier_state::{
    id::{
        DataCentreId,
        JobId,
        NodeId,
        ShardId,
        WorkerId, //
    },
    job::{
        Kind,
        Spec,
        Spread, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use rstest::rstest;
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
const SHARDS: usize = 3;
const TARGETS: usize = 6;

/// Starts three nodes over twelve workers and waits until every shard places work.
fn cell(seed: u64) -> World {
    let mut world = World::new(3, 12, seed);
    assert!(world.run_until(MINUTE, |world| world.owners().len() == SHARDS));
    world
}

fn service() -> Spec {
    Spec {
        kind: Kind::Service {
            service: "desk".parse().unwrap(),
            slots: 8,
            port: 0,
        },
        runtime: None,
        spread: Spread::DataCentres,
        ..batch(6, SECOND)
    }
}

fn data_centre(worker: WorkerId) -> DataCentreId {
    DataCentreId(u16::try_from(worker.0 % 3).unwrap() + 1)
}

/// Returns how many targets run in each data centre.
fn targets(world: &World) -> BTreeMap<DataCentreId, usize> {
    let mut counts = BTreeMap::new();
    for (worker, _) in world.seen.places.values() {
        *counts.entry(data_centre(*worker)).or_default() += 1;
    }
    counts
}

fn is_even(world: &World) -> bool {
    let counts = targets(world);
    counts.len() == SHARDS && counts.values().all(|count| *count == TARGETS / SHARDS)
}

/// Lets time pass in small steps; no more targets than the service has may ever run.
fn run_checked(world: &mut World, span: Duration, done: impl Fn(&World) -> bool) -> bool {
    let end = world.now + span;
    while world.now < end {
        if done(world) {
            return true;
        }
        world.run(Duration::from_millis(20));
        let running = world.seen.places.len();
        assert!(running <= TARGETS, "{running} targets run");
    }
    done(world)
}

/// Returns what the nodes that are up say of a job.
fn views(world: &mut World, id: JobId) -> Vec<job::View> {
    let wait = Duration::ZERO;
    let call = wire::Call::Job(wire::job::Request { id, wait });
    let nodes: Vec<NodeId> = world.nodes();
    let nodes = nodes.into_iter().filter(|node| world.is_up(*node));
    let nodes: Vec<NodeId> = nodes.collect();
    let calls: Vec<CallId> = nodes.iter().map(|n| world.call(*n, call.clone())).collect();
    world.run(Duration::from_millis(50));
    let view = |call: CallId| match world.answers.get(&call)? {
        wire::Answer::Job(wire::job::Reply::Found(json)) => serde_json::from_slice(json).ok(),
        _ => None,
    };
    calls.into_iter().filter_map(view).collect()
}

/// Runs a line of the operators' language.
fn command(world: &mut World, node: NodeId, text: &str) -> wire::command::Reply {
    let call = wire::Call::Command(wire::command::Request {
        text: text.to_owned(),
        operator: "test".to_owned(),
        dry_run: false,
        confirm: String::new(),
        local: false,
    });
    let call = world.call(node, call);
    assert!(world.run_until(MINUTE, |world| world.answers.contains_key(&call)));
    match &world.answers[&call] {
        wire::Answer::Command(reply) => reply.clone(),
        other => panic!("{other:?} is no answer to a command"),
    }
}

fn owner_of(world: &World, shard: ShardId) -> Option<NodeId> {
    let owners = world.owners();
    let found = owners.iter().find(|(_, owned)| *owned == shard);
    found.map(|(node, _)| *node)
}

#[test]
fn a_service_is_one_job_with_targets_in_every_data_centre() {
    let mut world = cell(1);
    let home = world.owner().unwrap();
    world.accept(home, job(1), service());
    assert!(run_checked(&mut world, MINUTE, is_even));
    // Taking two parts costs two orders each; they are polled every two seconds.
    let before = world.part_messages;
    assert!(before <= 6, "{before} messages to place the parts");
    run_checked(&mut world, MINUTE, |_| false);
    let polls = world.part_messages - before;
    assert!(polls <= 62, "{polls} messages in a minute");
    let views = views(&mut world, job(1));
    assert_eq!(views.len(), 1);
    assert_eq!(views[0].tasks.running, 6);
    let shown = command(&mut world, home.0, "show jobs");
    let table: Table = serde_json::from_slice(&shown.json).unwrap();
    assert_eq!(table.rows.len(), 1, "{:?}", table.rows);
    world.check();
}

#[test]
fn a_cancelled_service_ends_everywhere() {
    let mut world = cell(2);
    let home = world.owner().unwrap();
    world.accept(home, job(1), service());
    assert!(run_checked(&mut world, MINUTE, is_even));
    let other = world.nodes().into_iter().find(|node| *node != home.0);
    let reply = command(
        &mut world,
        other.unwrap(),
        &format!("cancel job {}", job(1)),
    );
    assert_eq!(reply.status, 200);
    let stopped = |world: &World| world.seen.places.is_empty();
    assert!(run_checked(&mut world, MINUTE, stopped));
    run_checked(&mut world, 10 * SECOND, |_| false);
    let views = views(&mut world, job(1));
    assert_eq!(views[0].state, job::State::Cancelled);
    assert_eq!(views[0].tasks.cancelled, 6);
}

/// Kills a node some milliseconds after a service was submitted.
#[rstest]
fn a_killed_owner_neither_loses_nor_doubles_targets(
    #[values(0, 3, 5, 8, 12, 20, 120, 300)] millis: u64,
    #[values(0, 1)] victim: usize,
) {
    let mut world = cell(3);
    let owners = world.owners();
    let home = owners[0];
    world.submit(home, job(1), service());
    world.run(Duration::from_millis(millis));
    world.kill(owners[victim].0);
    // The caller asks again until it has an answer.
    let up = |world: &World| owner_of(world, home.1).is_some();
    assert!(run_checked(&mut world, MINUTE, up));
    let node = owner_of(&world, home.1).unwrap();
    world.accept((node, home.1), job(1), service());
    assert!(
        run_checked(&mut world, 2 * MINUTE, is_even),
        "{:?}",
        targets(&world)
    );
    run_checked(&mut world, 10 * SECOND, |_| false);
    assert!(is_even(&world));
    world.check();
}

#[test]
fn lost_answers_neither_lose_nor_double_targets() {
    let mut world = cell(4);
    let home = world.owner().unwrap();
    world.lost = 20;
    world.submit(home, job(1), service());
    run_checked(&mut world, 10 * SECOND, |_| false);
    if let Some(node) = owner_of(&world, home.1) {
        world.submit((node, home.1), job(1), service());
    }
    run_checked(&mut world, 2 * MINUTE, |_| false);
    world.lost = 0;
    assert!(
        run_checked(&mut world, 2 * MINUTE, is_even),
        "{:?}",
        targets(&world)
    );
}

/// The workers of a data centre stop answering; its share starts elsewhere once it surely ended.
#[rstest]
#[case::of_the_home(true)]
#[case::of_a_part(false)]
fn the_share_of_a_lost_data_centre_starts_elsewhere(#[case] home_lost: bool) {
    let mut world = cell(5);
    let home = world.owner().unwrap();
    world.accept(home, job(1), service());
    assert!(run_checked(&mut world, MINUTE, is_even));
    let centre = |shard: ShardId| DataCentreId(shard.0 / 100);
    let lost = (1..=3)
        .map(DataCentreId)
        .find(|id| (*id == centre(home.1)) == home_lost)
        .unwrap();
    let ids: Vec<WorkerId> = world.workers.keys().copied().collect();
    for id in ids.into_iter().filter(|id| data_centre(*id) == lost) {
        world.workers.get_mut(&id).unwrap().die(&mut world.seen);
    }
    let elsewhere = |world: &World| targets(world).values().sum::<usize>() == TARGETS;
    assert!(
        run_checked(&mut world, 3 * MINUTE, elsewhere),
        "{:?}",
        targets(&world)
    );
    assert!(!targets(&world).contains_key(&lost));
    world.run(5 * SECOND);
    assert_eq!(views(&mut world, job(1))[0].tasks.running, 6);
}

#[rstest]
#[case::idempotent(true)]
#[case::not_idempotent(false)]
fn a_job_that_finds_no_room_moves_to_a_shard_that_has_some(#[case] idempotent: bool) {
    let mut world = cell(6);
    let home = world.owner().unwrap();
    // Four workers of four cores take 32 tasks of half a core.
    world.accept(home, job(1), batch(32, 10 * MINUTE));
    world.run(5 * SECOND);
    let small = match idempotent {
        true => batch(2, SECOND),
        false => once(2, SECOND),
    };
    world.accept(home, job(2), small);
    let done = |world: &World| world.seen.starts.keys().filter(|t| t.job != job(1)).count() == 2;
    assert!(world.run_until(MINUTE, done));
    world.run(10 * SECOND);
    assert_eq!(world.look(job(2)), Some(job::State::Succeeded));
    let starts = world
        .seen
        .starts
        .iter()
        .filter(|(task, _)| task.job != job(1));
    assert!(
        starts
            .clone()
            .all(|(task, n)| *n == 1 && task.job != job(2))
    );
    assert_eq!(starts.count(), 2);
    world.check();
}

/// A shard whose workers are too small passes a job on, and what fits nowhere is refused.
#[rstest]
#[case::batch(Kind::Batch, 2, true)]
#[case::gang(Kind::Gang, 4, true)]
#[case::gang_larger_than_every_shard(Kind::Gang, 60, false)]
fn a_job_goes_to_a_shard_whose_workers_hold_it(
    #[case] kind: Kind,
    #[case] tasks: u32,
    #[case] fits: bool,
) {
    let mut world = World::new(3, 12, 10);
    let small = Resources::new(Millicores(100), Bytes::from_mib(64), 0);
    let lost = world.workers.values_mut();
    for worker in lost.filter(|worker| data_centre(worker.id) == DataCentreId(1)) {
        worker.capacity = small;
    }
    let up = |world: &World| owner_of(world, ShardId(100)).is_some() && world.owners().len() == 3;
    assert!(world.run_until(MINUTE, up));
    let home = (owner_of(&world, ShardId(100)).unwrap(), ShardId(100));
    let spec = Spec {
        kind,
        ..batch(tasks, SECOND)
    };
    let call = world.submit(home, job(1), spec);
    world.run(30 * SECOND);
    assert_eq!(world.submitted(call).unwrap().is_ok(), fits);
    let state = fits.then_some(job::State::Succeeded);
    assert_eq!(world.look(job(1)), state);
    world.check();
}

#[test]
fn a_job_whose_shard_has_no_owner_is_not_said_to_be_unknown() {
    let mut world = cell(7);
    let owners = world.owners();
    world.accept(owners[0], job(1), batch(1, 10 * MINUTE));
    world.kill(owners[0].0);
    let other = owners
        .iter()
        .find(|(node, _)| *node != owners[0].0)
        .unwrap()
        .0;
    let reply = command(&mut world, other, &format!("cancel job {}", job(1)));
    let problem: serde_json::Value = serde_json::from_slice(&reply.json).unwrap();
    assert_eq!(problem["reason"], "no-owner");
    assert_eq!(problem["outcome"], "unknown");
    // Once every shard has an owner again, the job is found, and another is certainly not known.
    assert!(world.run_until(MINUTE, |world| world.owners().len() == SHARDS));
    let reply = command(&mut world, other, &format!("explain job {}", job(1)));
    assert_eq!(reply.status, 200);
}

#[test]
fn a_job_that_nobody_has_is_unknown() {
    let mut world = cell(8);
    let node = world.owner().unwrap().0;
    let reply = command(&mut world, node, &format!("cancel job {}", job(1)));
    let problem: serde_json::Value = serde_json::from_slice(&reply.json).unwrap();
    assert_eq!(problem["reason"], "unknown-job");
}

#[test]
fn operators_may_have_jobs_of_unknown_teams_refused() {
    let mut world = cell(11);
    let home = world.owner().unwrap();
    world.accept(home, job(1), batch(1, SECOND));
    let mut line = |line: &str| {
        let reply = command(&mut world, home.0, line);
        let shown: serde_json::Value = serde_json::from_slice(&reply.json).unwrap();
        shown
    };
    line("set team known weight=1");
    let confirm = line("set policy unknown_teams=off");
    assert_eq!(confirm["notes"][0], "accepted; in force on this node");
    let submit = |team| format!("submit batch team={team} cpu=500m memory=1GiB tasks=1 program=x");
    assert_eq!(line(&submit("known"))["notes"][0], "accepted");
    assert_eq!(line(&submit("unknown"))["reason"], "unknown-team");
}

#[test]
fn a_job_submitted_as_a_command_is_answered_with_its_id() {
    let mut world = cell(9);
    let node = world.owner().unwrap().0;
    let line = "submit batch team=repair cpu=500m memory=512MiB tasks=1 program=build runtime=1s";
    let reply = command(&mut world, node, line);
    let table: Table = serde_json::from_slice(&reply.json).unwrap();
    assert_eq!(table.columns, ["job"], "{:?}", reply.json);
    let id: JobId = table.rows[0][0].to_string().parse().unwrap();
    assert!(world.run_until(MINUTE, |world| world.has_succeeded(id)));
}

#[test]
fn a_node_that_is_drained_and_taken_back_owns_shards_again() {
    let mut world = cell(21);
    let node = NodeId(1);
    let owns = |world: &World| world.owners().iter().any(|(owner, _)| *owner == node);
    assert!(world.run_until(MINUTE, owns));
    let other = NodeId(2);
    assert_eq!(command(&mut world, other, "drain node n1").status, 200);
    assert!(world.run_until(MINUTE, |world| !owns(world)
        && world.owners().len() == SHARDS));
    assert_eq!(command(&mut world, other, "undrain node n1").status, 200);
    assert!(world.run_until(MINUTE, owns));
    world.check();
}
