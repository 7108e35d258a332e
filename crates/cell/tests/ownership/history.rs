//! Random histories of owners, their voters and their successors.

use crate::world::{
    Counts,
    World,
    millis, //
};

/// How many histories are run by default; `HISTORIES=10000` in the environment runs more.
const DEFAULT_HISTORIES: u64 = 300;
const FAULT_PERIOD: u64 = millis(25_000);
/// Within this time after the last fault, one node owns the cell and knows that no other does: messages of before
/// arrive up to 7 s late.
const RECOVERY_PERIOD: u64 = millis(12_000);

fn histories() -> u64 {
    let count = std::env::var("HISTORIES").ok();
    count.map_or(DEFAULT_HISTORIES, |count| count.parse().unwrap())
}

/// Runs a history of 1 to 9 nodes; in two of three, the cell splits into two sides.
fn run_history(seed: u64) -> World {
    let mut world = World::new(seed, 1 + usize::try_from(seed / 3 % 9).unwrap());
    match seed % 3 {
        0 => world.begin_faults(),
        _ => world.begin_splits(),
    }
    world.run(FAULT_PERIOD);
    world.end_faults();
    world.run(RECOVERY_PERIOD);
    if world.violations.is_empty() && world.settled_owner().is_none() {
        world.violations.push("nobody owns the cell".to_owned());
    }
    world
}

/// Runs all histories; returns what happened in them and the violations, each with its seed.
fn run_all() -> (Counts, Vec<String>) {
    let mut counts = Counts::default();
    let mut violations = Vec::new();
    for seed in 0..histories() {
        let world = run_history(seed);
        counts.add(world.counts);
        violations.extend(
            world
                .violations
                .iter()
                .map(|what| format!("seed {seed}: {what}")),
        );
    }
    (counts, violations)
}

#[test]
fn no_former_owner_acts_for_longer_than_its_successor_assumes() {
    let (counts, violations) = run_all();
    assert!(
        violations.is_empty(),
        "{} {violations:#?}",
        violations.len()
    );
    println!("{counts:?}");
}
