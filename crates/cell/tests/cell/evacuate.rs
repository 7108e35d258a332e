//! Evacuated data centres: no task is started there, whichever way the start comes about.

use std::time::Duration;

use fulmarpier_cell::{
    engine::{
        State,
        WaitReason, //
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

/// Returns faults for which the world sets an evacuation deadline in the engine's bounds, with hardly any evacuation by
/// chance.
fn with_evacuation_deadline() -> Faults {
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

/// Runs the world until a job is completed; returns how long that took.
fn complete(world: &mut World, job: JobId) -> Duration {
    let began = world.now;
    while world.engine.state(job) != Some(State::Completed) {
        assert!(
            world.now.since(began) < 30 * SECOND,
            "the job is never completed"
        );
        world.run(Duration::from_millis(100));
        assert_eq!(world.violations, Vec::<String>::new());
    }
    world.now.since(began)
}

fn has_reported(world: &World, job: JobId, why: WaitReason) -> bool {
    world.reported_waits.contains(&(job, why))
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

/// Tasks that already run in the data centre keep running.
#[test]
fn an_evacuation_stops_nothing() {
    let mut world = world(Faults::default());
    let job = world.submit("batch", vec![wide_step(32)]);
    world.run(Duration::from_millis(100));
    let before = world.tasks_in("north");
    assert_eq!(before.len(), 16);
    world.evacuate("north");
    complete(&mut world, job);
    assert_eq!(world.starts, 32, "no task is started twice");
}

#[rstest]
fn with_all_data_centres_evacuated_jobs_wait_and_report_the_reason(
    #[values("urgent", "gang", "batch")] queue: &str,
) {
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
    assert!(
        has_reported(&world, job, WaitReason::Evacuated),
        "{:?}",
        world.reported_waits
    );
    assert_eq!(world.starts, 0);
    world.end_evacuation("south");
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
fn an_evacuation_may_end_and_begin_again_within_a_second() {
    let mut world = world(with_evacuation_deadline());
    let job = world.submit("batch", vec![wide_step(64)]);
    for _ in 0..3 {
        world.evacuate("north");
        world.run(Duration::from_millis(300));
        world.end_evacuation("north");
        world.run(Duration::from_millis(300));
    }
    world.evacuate("north");
    complete(&mut world, job);
}

/// Orders whose record is not written yet when the evacuation comes aren't sent; a gang starts as a whole elsewhere.
#[rstest]
#[case::single("batch", wide_step(16))]
#[case::gang("gang", gang(8))]
fn orders_that_wait_for_their_record_are_placed_in_the_other_data_centre(
    #[case] queue: &str,
    #[case] step: Step,
) {
    let mut world = world(Faults::default());
    world.append_duration = Duration::from_millis(600);
    let job = world.submit(queue, vec![step]);
    world.run(Duration::from_millis(75));
    world.evacuate("north");
    complete(&mut world, job);
}

/// An outage of the store ends long after the evacuation, and the owner reads of the evacuation up to a second later.
#[test]
fn no_order_that_waited_through_an_outage_is_sent_to_an_evacuated_data_centre() {
    let mut world = world(with_evacuation_deadline());
    world.start_outage(7 * SECOND);
    let job = world.submit("batch", vec![wide_step(32)]);
    world.run(SECOND);
    world.evacuate("north");
    complete(&mut world, job);
}

/// The owner can write its own records but can't read the operator's, so it doesn't know what is evacuated.
#[test]
fn an_owner_that_can_t_read_what_is_evacuated_starts_nothing() {
    let mut world = world(with_evacuation_deadline());
    world.are_operator_records_unavailable = true;
    world.run(Duration::from_millis(500));
    let early = world.submit("batch", vec![wide_step(4)]);
    world.run(4 * SECOND);
    assert_eq!(world.engine.state(early), Some(State::Completed));
    world.evacuate("north");
    let late = world.submit("batch", vec![wide_step(4)]);
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(late), Some(State::Queued));
    assert!(
        has_reported(&world, late, WaitReason::EvacuationUnknown),
        "{:?}",
        world.reported_waits
    );
    world.are_operator_records_unavailable = false;
    complete(&mut world, late);
}

#[test]
fn without_an_evacuation_deadline_an_owner_relies_on_its_last_reading() {
    let mut world = world(Faults::default());
    world.are_operator_records_unavailable = true;
    world.run(10 * SECOND);
    let job = world.submit("batch", vec![wide_step(4)]);
    assert!(complete(&mut world, job) < 5 * SECOND);
}

#[rstest]
fn a_new_owner_starts_nothing_before_it_knows_what_is_evacuated(
    #[values(true, false)] has_read: bool,
) {
    let mut world = world(with_evacuation_deadline());
    world.evacuate("north");
    world.run(SECOND);
    world.are_operator_records_unavailable = true;
    world.is_new_owner_uninformed = !has_read;
    let job = world.submit("batch", vec![wide_step(32)]);
    world.take_over();
    world.run(Duration::from_millis(1_500));
    assert_eq!(world.engine.state(job) == Some(State::Queued), !has_read);
    world.are_operator_records_unavailable = false;
    complete(&mut world, job);
}

/// Orders get no answer before the evacuation comes, and aren't sent to workers there again.
#[test]
fn an_unanswered_order_isn_t_sent_again_to_an_evacuated_data_centre() {
    let faults = Faults {
        lost_orders: 1_000,
        ..Faults::default()
    };
    let mut world = world(faults);
    let job = world.submit("batch", vec![wide_step(16)]);
    world.run(Duration::from_millis(100));
    world.evacuate("north");
    world.run(5 * SECOND);
    world.end_faults();
    world.evacuate("north");
    complete(&mut world, job);
}

/// Steps that wait for capacity and hold tickets for workers there neither reserve workers there nor preempt tasks.
#[test]
fn no_task_is_preempted_in_an_evacuated_data_centre() {
    let mut world = world(Faults::default());
    let filler = Step {
        checkpointing: true,
        ..wide_step(64)
    };
    let filler = world.submit("batch", vec![filler]);
    world.run(Duration::from_millis(200));
    world.evacuate("north");
    world.run(Duration::from_millis(400));
    let preempted_before = world.preempted.len();
    let job = world.submit("urgent", vec![wide_step(8)]);
    world.run(Duration::from_millis(100));
    let there = world.tasks_in("north");
    let preempted = &world.preempted[preempted_before..];
    assert!(preempted.iter().all(|(_, task)| !there.contains(task)));
    complete(&mut world, job);
    complete(&mut world, filler);
}

/// Advice calls for a wide gang are queued: only one node can make them.
#[test]
fn queued_advice_calls_leave_out_evacuated_workers() {
    let mut world = World::sized(1, Faults::default(), 300, &["a"]);
    world.run(SECOND);
    let job = world.submit("gang", vec![gang(100)]);
    world.run(Duration::from_millis(50));
    assert_eq!(
        world.advice_call_sizes.len(),
        1,
        "the other calls are queued"
    );
    world.set_evacuated(&["north"]);
    complete(&mut world, job);
    assert!(world.advice_call_sizes.len() > 1);
}

/// A new owner knows which runs workers may have before it has read in which data centres the workers are.
#[test]
fn a_new_owner_uses_recorded_workers_of_the_other_data_centre() {
    let mut world = world(Faults::default());
    let early = world.submit("batch", vec![wide_step(32)]);
    world.run(Duration::from_millis(200));
    world.set_evacuated(&["north"]);
    world.take_over();
    let late = world.submit("batch", vec![wide_step(16)]);
    complete(&mut world, early);
    complete(&mut world, late);
}

/// The workers that the advice allowed for a gang are evacuated, so advice is requested for other workers.
#[test]
fn advice_for_a_gang_is_requested_again_for_workers_that_are_not_evacuated() {
    let mut world = World::sized(1, Faults::default(), 96, &["a", "b", "c"]);
    world.set_evacuated(&["south"]);
    world.run(SECOND);
    world.submit("batch", vec![wide_step(192)]);
    world.run(Duration::from_millis(50));
    let job = world.submit("gang", vec![gang(8)]);
    world.run(Duration::from_millis(150));
    assert_eq!(world.engine.state(job), Some(State::Queued));
    world.set_evacuated(&["north"]);
    complete(&mut world, job);
}
