//! Members of gangs that have started while others have not.

use std::time::Duration;

use fulmarpier_cell::{
    engine::{
        Census,
        State, //
    },
    id::{
        JobId,
        StepId,
        TaskId, //
    },
    job::Step,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::cases::config;
use crate::world::{
    Decision,
    Faults,
    World,
    quick_step, //
};

const SECOND: Duration = Duration::from_secs(1);
/// How long gangs work.
const WORK: Duration = Duration::from_secs(5);
const MEMBERS: u16 = 4;
/// The number of members of a gang that takes two workers.
const WIDE_MEMBERS: u16 = 6;
/// The limit of the workspace in tasks of the members' size.
const LIMIT: u32 = 5;

/// What keeps the missing member of a gang from being started again.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    /// Its workspace is at its limit.
    Limit,
    /// It isn't known which data centres are evacuated.
    UnknownEvacuations,
    /// No node can ask which workers may run the step.
    NoAdvice,
}

fn gang() -> Step {
    Step {
        count: MEMBERS,
        gang: true,
        estimate: 3 * SECOND,
        ..quick_step()
    }
}

/// Returns a member of the gang that a job consists of.
fn member(job: JobId, index: u16) -> TaskId {
    let step = StepId {
        job,
        occurrence: 0,
        step: 0,
    };
    step.task(index)
}

/// Creates a world of one workspace.
fn world(faults: Faults) -> World {
    let mut world = World::new(1, faults);
    world.simulate_gangs(WORK);
    world.set_limits(&[("hot", LIMIT)]);
    world.run(SECOND);
    world
}

/// Creates such a world with a gang that has not started yet.
fn world_with_gang() -> (World, JobId) {
    let mut world = world(Faults::default());
    let job = world.submit_for("hot", "gang", vec![gang()]);
    (world, job)
}

/// Creates a world with a gang that takes two workers and has not started yet.
fn world_of_wide_gang() -> (World, JobId) {
    let mut world = World::new(1, Faults::default());
    world.simulate_gangs(WORK);
    world.run(SECOND);
    let wide = Step {
        count: WIDE_MEMBERS,
        ..gang()
    };
    let job = world.submit("gang", vec![wide]);
    (world, job)
}

/// Submits two urgent tasks once the gang is placed: one takes what is left of the limit, the other what becomes free.
fn submit_rival(world: &mut World) {
    world.append_duration = SECOND / 5;
    while !world
        .decisions
        .iter()
        .any(|decision| matches!(decision, Decision::Place(..)))
    {
        world.run(SECOND / 40);
    }
    let tasks = Step {
        count: 2,
        long_running: true,
        ..quick_step()
    };
    world.submit_for("hot", "urgent", vec![tasks]);
}

/// Runs until members of gangs have started.
fn run_until_started(world: &mut World, members: u32) {
    for _ in 0..400 {
        if world.starts >= members {
            return;
        }
        world.run(SECOND / 40);
    }
    panic!("{} members have started", world.starts);
}

#[rstest]
#[case(Obstacle::Limit)]
#[case(Obstacle::UnknownEvacuations)]
#[case(Obstacle::NoAdvice)]
fn no_member_ends_alone_while_the_missing_one_can_t_be_started(#[case] obstacle: Obstacle) {
    let faults = Faults {
        evacuations: u32::from(matches!(obstacle, Obstacle::UnknownEvacuations)),
        ..Faults::default()
    };
    let mut world = world(faults);
    if matches!(obstacle, Obstacle::UnknownEvacuations) {
        world.are_operator_records_unavailable = true;
        // The last reading, of the first second, is valid for 2 s.
        world.run(4 * SECOND / 10);
    }
    let job = world.submit_for("hot", "gang", vec![gang()]);
    world.refusals.insert(member(job, 0), u32::MAX);
    if matches!(obstacle, Obstacle::Limit) {
        submit_rival(&mut world);
    }
    run_until_started(&mut world, u32::from(MEMBERS) - 1);
    if matches!(obstacle, Obstacle::NoAdvice) {
        world.nodes_down = ["a", "b", "c"].map(From::from).into();
        world.take_over();
    }
    world.run(10 * SECOND);
    assert_eq!(world.ended_alone(), []);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn no_member_ends_alone_while_the_orders_to_start_another_get_no_answer() {
    let (mut world, job) = world_with_gang();
    world.lost_starts.insert(member(job, 0), u32::MAX);
    run_until_started(&mut world, u32::from(MEMBERS) - 1);
    world.run(10 * SECOND);
    assert_eq!(world.ended_alone(), []);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn no_member_ends_alone_that_a_former_owner_has_started() {
    let (mut world, job) = world_with_gang();
    world.lost_starts.insert(member(job, 0), u32::MAX);
    run_until_started(&mut world, u32::from(MEMBERS) - 1);
    world.run(2 * SECOND);
    world.take_over();
    world.run(10 * SECOND);
    assert_eq!(world.ended_alone(), []);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_gang_that_lacks_a_member_is_reported_once_with_its_members() {
    let (mut world, job) = world_with_gang();
    world.refusals.insert(member(job, 0), u32::MAX);
    submit_rival(&mut world);
    run_until_started(&mut world, u32::from(MEMBERS) - 1);
    world.run(SECOND / 2);
    let members = Census {
        ordered: usize::from(MEMBERS) - 1,
        waiting: 1,
        ..Census::default()
    };
    assert_eq!(world.reported_gangs, [("incomplete", members)]);
}

#[test]
fn a_gang_at_work_is_not_stopped_while_the_worker_of_a_member_is_silent() {
    let (mut world, job) = world_of_wide_gang();
    world.cut_off_starts.insert(member(job, WIDE_MEMBERS - 1));
    run_until_started(&mut world, WIDE_MEMBERS.into());
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.starts, u32::from(WIDE_MEMBERS));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn tasks_that_are_no_gang_run_on_when_a_former_owner_has_not_started_all_of_them() {
    let mut world = world(Faults::default());
    let tasks = Step {
        gang: false,
        ..gang()
    };
    let job = world.submit_for("hot", "batch", vec![tasks]);
    world.lost_starts.insert(member(job, 0), u32::MAX);
    run_until_started(&mut world, u32::from(MEMBERS) - 1);
    world.lost_starts.clear();
    world.take_over();
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.starts, u32::from(MEMBERS));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Runs gangs of a workspace at its limit, of which some members' orders get lost, while owners change.
fn run_history(seed: u64, lost_starts: &[(u16, u32)]) -> World {
    let faults = Faults {
        takeovers: 250,
        failures: 80,
        announcements: 300,
        ..Faults::default()
    };
    let mut world = World::new(seed, faults);
    world.simulate_gangs(SECOND);
    world.set_limits(&[("hot", LIMIT), ("calm", 4 * LIMIT)]);
    world.run(SECOND);
    for (round, (index, count)) in lost_starts.iter().enumerate() {
        let workspace = if round % 2 == 0 { "hot" } else { "calm" };
        let job = world.submit_for(workspace, "gang", vec![gang()]);
        world.lost_starts.insert(member(job, *index), *count);
        world.submit_for("hot", "urgent", vec![quick_step()]);
        world.run(SECOND);
    }
    world.end_faults();
    world.run(60 * SECOND);
    if world.violations.is_empty() {
        world.check_ends();
    }
    world
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_member_ends_alone_while_owners_change_and_orders_get_lost(
        seed in any::<u64>(),
        lost_starts in prop::collection::vec((0..MEMBERS, 0..5_u32), 6..12),
    ) {
        let world = run_history(seed, &lost_starts);
        prop_assert_eq!(world.ended_alone(), []);
        prop_assert_eq!(&world.violations, &Vec::<String>::new());
    }
}

/// Guards against a gang that is stopped although all its members work.
#[rstest]
#[case::a_gang(false)]
#[case::a_gang_of_a_former_owner(true)]
fn a_whole_gang_is_not_stopped(#[case] has_new_owner: bool) {
    let (mut world, job) = world_with_gang();
    run_until_started(&mut world, MEMBERS.into());
    if has_new_owner {
        world.take_over();
    }
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.starts, u32::from(MEMBERS));
    assert_eq!(world.ended_alone(), []);
    assert_eq!(world.violations, Vec::<String>::new());
}
