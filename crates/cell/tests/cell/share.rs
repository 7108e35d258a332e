//! Which workspaces are over their share of the capacity, and what that does to the order of their steps.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    job::Step,
    share::{
        Ratio,
        Shares,
        Standing, //
    },
    workspace::WorkspaceName,
};
use fulmarpier_state::{
    clock::Timestamp,
    quota::{
        self,
        Ledger,
        Limit, //
    },
};
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    quick_step,
    size, //
};

const SECOND: Duration = Duration::from_secs(1);

fn name(text: &str) -> WorkspaceName {
    text.parse().unwrap()
}

/// Returns the ledger of a cell of 100 cores and 100 GiB, with workspaces of these weights and cores and GiB in use.
fn ledger(workspaces: &[(u32, u32, u64)]) -> (Ledger, Vec<quota::Slot>) {
    let mut ledger = Ledger::default();
    ledger.grow(size(100_000, 100 * 1_024));
    let slots = workspaces.iter().enumerate();
    let slots = slots.map(|(index, (weight, cores, gib))| {
        let limit = Limit {
            weight: *weight,
            ..Limit::default()
        };
        let slot = ledger.configure(&name(&format!("w{index}")), limit);
        ledger.charge(slot, size(cores * 1_000, gib * 1_024));
        slot
    });
    let slots = slots.collect();
    (ledger, slots)
}

/// Guards against shares by another measure than the scarcer resource, against weights that are left out, and against
/// an empty cell or a weight of zero.
#[rstest]
#[case::equal_weights(&[(1, 50, 0), (1, 10, 0)], "1.000 0.200")]
#[case::by_the_scarcer_resource(&[(1, 10, 60), (1, 60, 10)], "1.200 1.200")]
#[case::by_weight(&[(3, 60, 0), (1, 40, 0)], "0.800 1.600")]
#[case::no_weight(&[(0, 50, 0), (1, 50, 0)], "1.000 1.000")]
#[case::alone(&[(1, 100, 100)], "1.000")]
fn ratios_of_usage_to_share(#[case] workspaces: &[(u32, u32, u64)], #[case] expected: &str) {
    let (ledger, slots) = ledger(workspaces);
    let mut shares = Shares::default();
    shares.evaluate(&ledger, slots.iter().copied(), Timestamp::from_millis(1));
    let ratios = slots.iter().map(|slot| shares.share(*slot).unwrap().ratio);
    let ratios: Vec<String> = ratios.map(|ratio| ratio.to_string()).collect();
    assert_eq!(ratios.join(" "), expected);
}

/// Guards against standings that alternate with each start and end.
#[rstest]
#[case(Standing::Within, 1.25, Standing::Within)]
#[case(Standing::Within, 1.26, Standing::Over)]
#[case(Standing::Over, 1.0, Standing::Over)]
#[case(Standing::Over, 0.99, Standing::Within)]
fn a_standing_changes_only_beyond_both_bounds(
    #[case] before: Standing,
    #[case] used: f64,
    #[case] after: Standing,
) {
    assert_eq!(before.next(Ratio::new(used, 1, 1)), after);
}

/// Guards against shares that are kept for workspaces which don't ask, and against standings that change whenever a
/// workspace has no open step for a moment.
#[test]
fn the_share_of_a_workspace_that_does_not_ask_belongs_to_the_others() {
    let (ledger, slots) = ledger(&[(1, 70, 0), (1, 10, 0)]);
    let mut shares = Shares::default();
    let at = Timestamp::from_millis(10_000);
    shares.evaluate(&ledger, slots.iter().copied(), at);
    assert!(shares.is_over(slots[0]));
    let mut evaluate = |millis| {
        let hot = [slots[0]].into_iter();
        shares.evaluate(&ledger, hot, at + Duration::from_millis(millis));
        shares.is_over(slots[0])
    };
    assert!(evaluate(1_000));
    assert!(!evaluate(1_001));
}

/// Guards against a share that is held free for workspaces that don't use it.
#[test]
fn unused_shares_go_to_whoever_asks() {
    let mut world = World::new(1, Faults::default());
    let others = ["a", "b", "c", "d"].map(|name| (name, 100));
    world.set_weights(&[&[("hot", 100)], &others[..]].concat());
    world.run(SECOND);
    let mut least = u32::MAX;
    for tenth in 0..60 {
        world.submit_for("hot", "batch", vec![quick_step(), quick_step()]);
        // A step of another workspace now and then makes its share count.
        if tenth % 5 == 0 {
            world.submit_for("a", "urgent", vec![quick_step()]);
        }
        world.run(SECOND / 10);
        if tenth >= 30 {
            let running = ["hot", "a"].map(|of| world.running(&name(of)).cpu.get());
            least = least.min(running.iter().sum());
        }
    }
    // Eight workers have four cores each; a task that has ended leaves its place empty for some milliseconds.
    assert!(least >= 28_000, "{least} of 32000 millicores in use");
}

/// Returns a step that is in time for half a minute by its estimate.
fn patient_step(count: u16) -> Step {
    Step {
        count,
        estimate: 30 * SECOND,
        ..quick_step()
    }
}

/// Creates a world in which one workspace holds 24 of 32 places for good.
fn world_with_holder(weights: &[(&'static str, u32)]) -> World {
    let mut world = World::new(1, Faults::default());
    world.set_weights(weights);
    world.run(SECOND);
    let holder = Step {
        count: 24,
        long_running: true,
        ..quick_step()
    };
    world.submit_for("hot", "batch", vec![holder]);
    world
}

/// Runs for some time, while the other workspace asks for more than the remaining places.
fn run_contended(world: &mut World, span: Duration) {
    let until = world.now + span;
    while world.now < until {
        for _ in 0..3 {
            world.submit_for("calm", "batch", vec![patient_step(2)]);
        }
        world.run(SECOND / 4);
    }
}

/// Returns after how long a step of the workspace that holds most places starts while the other one asks for more than
/// the rest.
fn time_passed_over(weights: &[(&'static str, u32)]) -> Option<Duration> {
    let mut world = world_with_holder(weights);
    run_contended(&mut world, 2 * SECOND);
    let since = world.now;
    let passed_over = world.submit_for("hot", "batch", vec![patient_step(2)]);
    for _ in 0..100 {
        run_contended(&mut world, SECOND / 4);
        if world.engine.state(passed_over) != Some(State::Queued) {
            return Some(world.now.since(since));
        }
    }
    None
}

/// Guards against a share that does nothing, and against a workspace that is passed over for as long as others ask.
#[test]
fn a_step_is_passed_over_for_some_seconds_at_most() {
    let within_share = time_passed_over(&[("hot", 900), ("calm", 100)]).unwrap();
    // It waits behind the steps that came before it.
    assert!(within_share < 8 * SECOND, "{within_share:?}");
    let over_share = time_passed_over(&[("hot", 100), ("calm", 100)]).unwrap();
    assert!(over_share >= 10 * SECOND, "{over_share:?}");
    assert!(over_share < 14 * SECOND, "{over_share:?}");
}

/// Guards against a wide step that, once it was passed over for long, takes all places ahead of the others.
#[test]
fn a_step_that_was_passed_over_waits_again_after_a_start() {
    let mut world = world_with_holder(&[("hot", 100), ("calm", 100)]);
    run_contended(&mut world, 2 * SECOND);
    world.submit_for("hot", "batch", vec![patient_step(60)]);
    run_contended(&mut world, 9 * SECOND);
    let mut most = 0;
    for _ in 0..8 {
        run_contended(&mut world, SECOND);
        most = most.max(world.running(&name("hot")).cpu.get());
    }
    // One scheduling pass starts as many of its tasks as there are free places at that moment.
    assert!((25_000..=28_000).contains(&most), "{most} millicores");
}

/// Guards against steps that keep the rank that they had before their workspace became over its share.
#[test]
fn steps_that_wait_already_yield_when_another_workspace_asks() {
    let mut world = world_with_holder(&[("hot", 100), ("calm", 100)]);
    // The remaining eight places take some 16 s for these.
    for _ in 0..40 {
        world.submit_for("hot", "batch", vec![patient_step(2)]);
    }
    world.run(SECOND);
    assert_eq!(world.reported_standings, Vec::new());
    let calm = world.submit_for("calm", "batch", vec![patient_step(2)]);
    world.run(3 * SECOND);
    assert_ne!(world.engine.state(calm), Some(State::Queued));
}

/// Guards against shares by the weights of a former configuration.
#[test]
fn changed_weights_count_at_once() {
    let mut world = World::new(1, Faults::default());
    world.set_weights(&[("hot", 100), ("calm", 100)]);
    world.run(SECOND);
    let holder = |count| Step {
        count,
        long_running: true,
        ..quick_step()
    };
    world.submit_for("hot", "batch", vec![holder(24)]);
    world.run(SECOND);
    // Both ask for more than there is, so both have open steps.
    world.submit_for("hot", "batch", vec![holder(16)]);
    world.submit_for("calm", "batch", vec![holder(16)]);
    world.run(SECOND);
    let mut expect = |weights: &[(&'static str, u32)], expected| {
        world.set_weights(weights);
        // One step of virtual time; the next evaluation would be due later.
        world.run(SECOND / 40);
        let (_, workspace, standing) = world.reported_standings.last().cloned().unwrap();
        assert_eq!((workspace, standing), (name("hot"), expected));
    };
    expect(&[("hot", 900), ("calm", 10)], Standing::Within);
    expect(&[("hot", 10), ("calm", 10)], Standing::Over);
    // A workspace that is removed keeps its last weight.
    expect(&[("hot", 400)], Standing::Within);
}
