//! Passes that leave out the steps that wait for a node decide the same as those that examine all steps.

use std::time::Duration;

use fulmarpier_cell::{
    effect::Effect,
    job::Step, //
};
use fulmarpier_state::clock::Timestamp;
use proptest::{
    prelude::*,
    test_runner::Config, //
};

use crate::cases::config;
use crate::history::ALL;
use crate::world::{
    Faults,
    World,
    quick_step, //
};

/// The jobs of a kind that arrive at a time, more than the node can ask about before the next ones arrive.
const JOBS: usize = 4;
/// The label that a worker has from the second round on.
const LATE_LABEL: &str = "rare";

/// Plays a cell with a single node and returns all effects.
fn trace(
    seed: u64,
    faults: Faults,
    workspace: Option<&'static str>,
    examines_all_steps: bool,
) -> Vec<(Timestamp, Effect)> {
    let mut world = World::sized(seed, faults, 8, &["a"]);
    world.examines_all_steps = examines_all_steps;
    world.trace = Some(Vec::new());
    if let Some(workspace) = workspace {
        world.set_weights(&[(workspace, 1)]);
    }
    world.run(Duration::from_secs(1));
    for round in 0..4 {
        submit(&mut world, workspace);
        let id = world.workers.keys().nth(round).cloned();
        world.run(Duration::from_millis(1_500));
        if let Some(id) = id {
            world.replace_worker(&id, if round == 1 { LATE_LABEL } else { "a" });
        }
    }
    world.end_faults();
    world.run(Duration::from_secs(3));
    world.trace.unwrap_or_default()
}

fn submit(world: &mut World, workspace: Option<&str>) {
    let gang = Step {
        count: 4,
        gang: true,
        ..quick_step()
    };
    let labelled = Step {
        requires: Some(LATE_LABEL.into()),
        ..quick_step()
    };
    let jobs = [
        ("gang", vec![gang.clone()]),
        ("urgent", vec![quick_step()]),
        ("urgent", vec![gang]),
        ("advised-batch", vec![quick_step()]),
        ("advised-batch", vec![labelled]),
    ];
    for nth in 0..JOBS * jobs.len() {
        let (queue, steps) = jobs[nth % jobs.len()].clone();
        match workspace {
            Some(workspace) => world.submit_for(workspace, queue, steps),
            None => world.submit(queue, steps),
        };
    }
}

/// Returns the usual configuration with fewer histories, since each is played twice with many jobs.
fn few_cases() -> Config {
    let usual = config();
    Config {
        cases: usual.cases.div_ceil(16),
        ..usual
    }
}

proptest! {
    #![proptest_config(few_cases())]

    #[test]
    fn steps_that_are_left_out_change_no_decision(seed in any::<u64>()) {
        let faults = Faults { outages: 60, failures: 50, ..Faults::default() };
        prop_assert!(trace(seed, faults, None, false) == trace(seed, faults, None, true));
    }

    #[test]
    fn steps_that_are_left_out_change_no_decision_with_all_faults(seed in any::<u64>()) {
        let faults = Faults { capacity_changes: 60, restarts: 40, evacuations: 100, ..ALL };
        prop_assert!(trace(seed, faults, None, false) == trace(seed, faults, None, true));
    }

    #[test]
    fn steps_that_are_left_out_change_no_decision_in_a_workspace_with_a_limit(seed in any::<u64>()) {
        let faults = Faults { failures: 50, ..Faults::default() };
        prop_assert!(trace(seed, faults, Some("a"), false) == trace(seed, faults, Some("a"), true));
    }
}
