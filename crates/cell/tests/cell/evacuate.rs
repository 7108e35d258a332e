//! Data centres that are evacuated: nothing is started there, by whichever way a start comes.

use std::time::Duration;

use fulmarpier_cell::{
    engine::{
        State,
        Wait, //
    },
    id::JobId,
    job::Step,
};
use rstest::rstest;

use crate::world::{
    DATA_CENTRES,
    Faults,
    World,
    quick_step, //
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns faults by which the bound on starts after an evacuation is in force; hardly anything else comes of them.
fn bound() -> Faults {
    Faults {
        evacuations: 1,
        ..Faults::default()
    }
}

fn world(faults: Faults) -> World {
    let mut world = World::new(1, faults);
    world.run(SECOND);
    world
}

fn wide_step(count: u16) -> Step {
    Step {
        count,
        ..quick_step()
    }
}

fn gang(count: u16) -> Step {
    Step {
        gang: true,
        ..wide_step(count)
    }
}

/// Lets time pass until a job is completed; returns how long that took.
fn complete(world: &mut World, job: JobId) -> Duration {
    let began = world.now;
    while world.engine.state(job) != Some(State::Completed) {
        assert!(
            world.now.since(began) < 30 * SECOND,
            "it is never completed"
        );
        world.run(Duration::from_millis(100));
        assert_eq!(world.violations, Vec::<String>::new());
    }
    world.now.since(began)
}

fn is_told(world: &World, job: JobId, why: Wait) -> bool {
    world.waits.contains(&(job, why))
}

#[rstest]
fn work_goes_on_in_the_other_data_centre(#[values("urgent", "gang", "batch")] queue: &str) {
    let mut world = world(Faults::default());
    world.evacuate("north");
    world.run(SECOND);
    let step = match queue {
        "gang" => gang(6),
        _ => wide_step(6),
    };
    let job = world.submit(queue, vec![step]);
    complete(&mut world, job);
    assert!(world.tasks_in("north").is_empty());
}

/// What runs there runs on.
#[test]
fn an_evacuation_stops_nothing() {
    let mut world = world(Faults::default());
    let job = world.submit("batch", vec![wide_step(32)]);
    world.run(Duration::from_millis(100));
    let before = world.tasks_in("north");
    assert_eq!(before.len(), 16);
    world.evacuate("north");
    complete(&mut world, job);
    assert_eq!(world.starts, 32, "no task was started twice");
}

#[rstest]
fn with_all_evacuated_jobs_wait_and_say_why(#[values("urgent", "gang", "batch")] queue: &str) {
    let mut world = world(Faults::default());
    for data_centre in DATA_CENTRES {
        world.evacuate(data_centre);
    }
    world.run(SECOND);
    let step = match queue {
        "gang" => gang(2),
        _ => quick_step(),
    };
    let job = world.submit(queue, vec![step]);
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(job), Some(State::Queued));
    assert!(is_told(&world, job, Wait::Evacuated), "{:?}", world.waits);
    assert_eq!(world.starts, 0);
    world.take_back("south");
    complete(&mut world, job);
    assert!(world.tasks_in("north").is_empty());
}

#[test]
fn a_data_centre_without_workers_may_be_evacuated() {
    let mut world = world(Faults::default());
    world.evacuate("nowhere");
    world.run(SECOND);
    let job = world.submit("batch", vec![wide_step(32)]);
    world.run(Duration::from_millis(100));
    assert_eq!(world.tasks_in("north").len(), 16);
    complete(&mut world, job);
}

#[test]
fn an_evacuation_may_be_taken_back_and_repeated_within_a_second() {
    let mut world = world(bound());
    let job = world.submit("batch", vec![wide_step(64)]);
    for _ in 0..3 {
        world.evacuate("north");
        world.run(Duration::from_millis(300));
        world.take_back("north");
        world.run(Duration::from_millis(300));
    }
    world.evacuate("north");
    complete(&mut world, job);
}

/// Orders that wait for their record when the evacuation comes don't leave; a gang starts as a whole elsewhere.
#[rstest]
#[case::single("batch", wide_step(16))]
#[case::gang("gang", gang(8))]
fn what_waits_for_its_record_is_placed_anew(#[case] queue: &str, #[case] step: Step) {
    let mut world = world(Faults::default());
    world.append = Duration::from_millis(600);
    let job = world.submit(queue, vec![step]);
    world.run(Duration::from_millis(75));
    world.evacuate("north");
    complete(&mut world, job);
}

/// An outage of the store ends long after the evacuation; the owner is told of it a second later.
#[test]
fn nothing_leaves_that_waited_for_its_record_through_an_outage() {
    let mut world = world(bound());
    world.lose_store(7 * SECOND);
    let job = world.submit("batch", vec![wide_step(32)]);
    world.run(SECOND);
    world.evacuate("north");
    complete(&mut world, job);
}

/// The owner can write its records and can't read the operator's: it doesn't know what is evacuated.
#[test]
fn an_owner_that_can_t_read_what_is_evacuated_starts_nothing() {
    let mut world = world(bound());
    world.is_operator_away = true;
    world.run(Duration::from_millis(500));
    let early = world.submit("batch", vec![wide_step(4)]);
    world.run(4 * SECOND);
    assert_eq!(world.engine.state(early), Some(State::Completed));
    world.evacuate("north");
    let late = world.submit("batch", vec![wide_step(4)]);
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(late), Some(State::Queued));
    assert!(is_told(&world, late, Wait::Evacuation), "{:?}", world.waits);
    world.is_operator_away = false;
    complete(&mut world, late);
}

/// Without a bound an owner goes by what it has read last.
#[test]
fn without_a_bound_an_owner_goes_by_what_it_read_last() {
    let mut world = world(Faults::default());
    world.is_operator_away = true;
    world.run(10 * SECOND);
    let job = world.submit("batch", vec![wide_step(4)]);
    assert!(complete(&mut world, job) < 5 * SECOND);
}

#[rstest]
fn a_new_owner_starts_nothing_before_it_knows_what_is_evacuated(
    #[values(true, false)] has_read: bool,
) {
    let mut world = world(bound());
    world.evacuate("north");
    world.run(SECOND);
    world.is_operator_away = true;
    world.is_new_owner_blank = !has_read;
    let job = world.submit("batch", vec![wide_step(32)]);
    world.take_over();
    world.run(Duration::from_millis(1_500));
    assert_eq!(world.engine.state(job) == Some(State::Queued), !has_read);
    world.is_operator_away = false;
    complete(&mut world, job);
}

/// A worker answers no order when the evacuation comes: the order isn't given there again.
#[test]
fn an_order_without_an_answer_isn_t_repeated() {
    let faults = Faults {
        lost_orders: 1_000,
        ..Faults::default()
    };
    let mut world = world(faults);
    let job = world.submit("batch", vec![wide_step(16)]);
    world.run(Duration::from_millis(100));
    world.evacuate("north");
    world.run(5 * SECOND);
    world.calm();
    world.evacuate("north");
    complete(&mut world, job);
}

/// Steps that wait for room, with tickets for workers there, keep no places and make none.
#[test]
fn nobody_makes_way_in_an_evacuated_data_centre() {
    let mut world = world(Faults::default());
    let filler = Step {
        checkpointing: true,
        ..wide_step(64)
    };
    let filler = world.submit("batch", vec![filler]);
    world.run(Duration::from_millis(200));
    world.evacuate("north");
    world.run(Duration::from_millis(400));
    let before = world.preempted.len();
    let job = world.submit("urgent", vec![wide_step(8)]);
    world.run(Duration::from_millis(100));
    let there = world.tasks_in("north");
    let stopped = &world.preempted[before..];
    assert!(stopped.iter().all(|(_, task)| !there.contains(task)));
    complete(&mut world, job);
    complete(&mut world, filler);
}

/// The calls about a wide gang wait for the one node that can ask.
#[test]
fn calls_that_wait_for_a_node_leave_out_whom_it_concerns() {
    let mut world = World::sized(1, Faults::default(), 300, &["a"]);
    world.run(SECOND);
    let job = world.submit("gang", vec![gang(100)]);
    world.run(Duration::from_millis(50));
    assert_eq!(world.asked.len(), 1, "the others wait");
    world.evacuate_only(&["north"]);
    complete(&mut world, job);
    assert!(world.asked.len() > 1);
}

/// A new owner knows of what may run on workers before it has read where they stand.
#[test]
fn a_new_owner_uses_the_workers_elsewhere_that_it_inherits() {
    let mut world = world(Faults::default());
    let early = world.submit("batch", vec![wide_step(32)]);
    world.run(Duration::from_millis(200));
    world.evacuate_only(&["north"]);
    world.take_over();
    let late = world.submit("batch", vec![wide_step(16)]);
    complete(&mut world, early);
    complete(&mut world, late);
}

/// A gang was told whom it may use in a data centre that is evacuated then: it is asked about others.
#[test]
fn a_gang_is_asked_about_others_than_those_that_are_evacuated() {
    let mut world = World::sized(1, Faults::default(), 96, &["a", "b", "c"]);
    world.evacuate_only(&["south"]);
    world.run(SECOND);
    world.submit("batch", vec![wide_step(192)]);
    world.run(Duration::from_millis(50));
    let job = world.submit("gang", vec![gang(8)]);
    world.run(Duration::from_millis(150));
    assert_eq!(world.engine.state(job), Some(State::Queued));
    world.evacuate_only(&["north"]);
    complete(&mut world, job);
}
