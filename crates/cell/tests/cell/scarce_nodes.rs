//! What each queue earns while the steps of one of them want more calls for advice than the nodes can make.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

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
    quick_step, //
};

const TENTH: Duration = Duration::from_millis(100);
/// How many workers there are, each with the capacity for four tasks.
const WORKERS: u32 = 48;
/// Two nodes make 29 calls about all workers per second.
const NODES: [&str; 2] = ["a", "b"];
const ESTIMATE: Duration = Duration::from_millis(1_600);
/// The latency objective of every job by its estimate: twice that, and a second.
const OBJECTIVE: Duration = Duration::from_millis(4_200);
/// The value of a result that comes up to three times as late, where one that is in time counts 1.
const LATE_VALUE: f64 = 0.2;
/// The part of its value that each queue has to earn.
const FLOOR: f64 = 0.39;

/// Submits jobs of two tasks for 30 s at a number per second by queue. Returns which part of the value of its jobs each
/// queue has earned.
fn play(seed: u64, rates: &[(&'static str, u32)]) -> BTreeMap<&'static str, f64> {
    let mut world = World::sized(seed, Faults::default(), WORKERS, &NODES);
    world.run(10 * TENTH);
    let mut open: Vec<(&'static str, Timestamp, JobId)> = Vec::new();
    let mut earned: BTreeMap<&'static str, (f64, u32)> = BTreeMap::new();
    for tenth in 0..450 {
        for (queue, rate) in rates.iter().filter(|_| tenth < 300) {
            for _ in 0..(tenth + 1) * rate / 10 - tenth * rate / 10 {
                let step = Step {
                    estimate: ESTIMATE,
                    gang: *queue == "gang",
                    ..quick_step()
                };
                open.push((queue, world.now, world.submit(queue, vec![step])));
                earned.entry(queue).or_default().1 += 1;
            }
        }
        world.run(TENTH);
        let now = world.now;
        open.retain(|(queue, since, job)| {
            if world.engine.state(*job) != Some(State::Completed) {
                return true;
            }
            let value = match now.since(*since) {
                took if took <= OBJECTIVE => 1.0,
                took if took <= 3 * OBJECTIVE => LATE_VALUE,
                _ => 0.0,
            };
            earned.entry(queue).or_default().0 += value;
            false
        });
    }
    assert_eq!(world.violations, Vec::<String>::new());
    let parts = earned.into_iter();
    parts
        .map(|(queue, (value, count))| (queue, value / f64::from(count)))
        .collect()
}

/// Guards against a queue that gets no call while a queue of higher priority wants all nodes, however few it needs.
#[rstest]
fn no_queue_falls_short_while_a_higher_one_wants_all_nodes(
    #[values(1, 2, 3)] seed: u64,
    #[values(30, 34)] gangs: u32,
) {
    let earned = play(
        seed,
        &[("urgent", 2), ("gang", gangs), ("advised-batch", 2)],
    );
    println!("{earned:?}");
    for (queue, part) in &earned {
        assert!(*part >= FLOOR, "{queue} earned {part:.3}: {earned:?}");
    }
}

/// The same load without the gangs that exceed what the nodes can do.
#[rstest]
fn every_queue_is_served_while_the_nodes_suffice(#[values(1, 2, 3)] seed: u64) {
    let earned = play(seed, &[("urgent", 2), ("gang", 20), ("advised-batch", 2)]);
    for (queue, part) in &earned {
        assert!(*part >= 0.9, "{queue} earned {part:.3}: {earned:?}");
    }
}
