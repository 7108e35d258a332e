//! A workspace that sends several times its usual load, and what that costs the others.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::JobId,
    job::Step, //
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    quick_step,
    size, //
};

const TENTH: Duration = Duration::from_millis(100);
const NODES: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
/// How many workers there are, each with the capacity for four tasks, which take 1.6 s on average: 60 tasks a second.
const WORKERS: u32 = 24;
const WORKSPACES: [&str; 5] = ["hot", "calm-1", "calm-2", "calm-3", "calm-4"];
/// The usual number of urgent jobs of a workspace per second, with two tasks each: two thirds of what the workers can
/// run.
const URGENT_RATE: u32 = 4;
/// The usual number of batch jobs of a workspace per second.
const BATCH_RATE: u32 = 1;
const WEIGHT: u32 = URGENT_RATE + BATCH_RATE;
/// The latency objective of the urgent jobs by their estimate.
const OBJECTIVE: Duration = Duration::from_millis(4_200);

fn step() -> Step {
    Step {
        estimate: Duration::from_millis(1_600),
        ..quick_step()
    }
}

/// Submits the jobs of a tenth of a second and returns the urgent ones.
fn submit_tenth(world: &mut World, workspace: &str, tenth: u32, factor: u32) -> Vec<JobId> {
    let due = |rate: u32| (tenth + 1) * rate * factor / 10 - tenth * rate * factor / 10;
    for _ in 0..due(BATCH_RATE) {
        world.submit_for(workspace, "batch", vec![step()]);
    }
    let urgent = 0..due(URGENT_RATE);
    urgent
        .map(|_| world.submit_for(workspace, "urgent", vec![step()]))
        .collect()
}

/// Plays 20 s, and returns the share of the urgent jobs of the others that their callers see completed in time. From
/// the sixth second on, one workspace sends `factor` times its usual load for 6 s.
fn share_in_time(seed: u64, factor: u32) -> f64 {
    let mut world = World::sized(seed, Faults::default(), WORKERS, &NODES);
    world.set_weights(&WORKSPACES.map(|name| (name, WEIGHT)));
    world.run(10 * TENTH);
    let mut open: Vec<(Timestamp, JobId)> = Vec::new();
    let (mut count, mut in_time) = (0, 0);
    for tenth in 0..200 {
        for workspace in WORKSPACES {
            let is_surging = workspace == "hot" && (50..110).contains(&tenth);
            let factor = if is_surging { factor } else { 1 };
            let urgent = submit_tenth(&mut world, workspace, tenth, factor);
            let urgent = urgent.into_iter().filter(|_| workspace != "hot");
            open.extend(urgent.map(|job| (world.now, job)));
        }
        world.run(TENTH);
        let (now, before) = (world.now, open.len());
        open.retain(|(_, job)| world.engine.state(*job) != Some(State::Completed));
        in_time += before - open.len();
        let before = open.len();
        open.retain(|(since, _)| now.since(*since) < OBJECTIVE);
        count += before - open.len();
    }
    assert_eq!(world.violations, Vec::<String>::new());
    count += in_time;
    in_time as f64 / count as f64
}

/// Guards against a workspace that is served at the expense of the others.
#[rstest]
fn a_surge_of_one_workspace_delays_no_urgent_job_of_the_others(#[values(1, 2, 3)] seed: u64) {
    let usual = share_in_time(seed, 1);
    let surge = share_in_time(seed, 7);
    assert!(usual > 0.9, "{usual:.3} in time without the surge");
    assert!(surge >= 0.9 * usual, "{surge:.3} in time for {usual:.3}");
}

/// Guards against preemptions that are repeated because the steps in question change places with the standings of their
/// workspaces: a task that was preempted would take the capacity back before the step that it made way for.
#[rstest]
fn standings_that_change_all_the_time_cause_no_further_preemptions(#[values(1, 2, 3)] seed: u64) {
    const MEMBERS: u16 = 8;
    let mut world = World::sized(seed, Faults::default(), 48, &NODES);
    world.set_weights(&[("hot", 100), ("calm", 100)]);
    world.run(10 * TENTH);
    let preemptible = Step {
        count: 4,
        checkpointing: true,
        ..step()
    };
    let gang = Step {
        count: MEMBERS,
        size: size(4_000, 1_024),
        gang: true,
        ..step()
    };
    let mut gangs = Vec::new();
    for tenth in 0..200 {
        let is_even = tenth % 2 == 0;
        let weights = if is_even { (1_000, 10) } else { (10, 1_000) };
        world.set_weights(&[("hot", weights.0), ("calm", weights.1)]);
        for (index, workspace) in ["hot", "calm", "hot"].into_iter().enumerate() {
            if index < 2 || !is_even {
                world.submit_for(workspace, "batch", vec![preemptible.clone()]);
            }
        }
        if tenth == 50 {
            for workspace in ["hot", "calm", "hot", "calm"] {
                gangs.push(world.submit_for(workspace, "gang", vec![gang.clone()]));
            }
        }
        world.run(TENTH);
    }
    world.run(100 * TENTH);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.completed(&gangs), gangs.len());
    assert!(!world.reported_standings.is_empty());
    // Each member takes the place of four tasks.
    let needed = gangs.len() * usize::from(MEMBERS) * 4;
    let preempted = world.preempted.len();
    assert!(
        preempted <= needed,
        "{preempted} preempted, {needed} suffice"
    );
}
