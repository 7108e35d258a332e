//! Jobs that are announced to the owner before the store has recorded their acceptance.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::QueueName, //
};

use crate::world::{
    Faults,
    World,
    quick_step, //
};

/// How long the store takes per append.
const STORE_LATENCY: Duration = Duration::from_millis(350);

/// Returns the time from the submission of a job to its first start, with a store that takes 0.35 s per append.
fn time_to_first_start(is_announced: bool) -> Duration {
    let mut world = World::new(1, Faults::default());
    world.append_duration = STORE_LATENCY;
    world.run(Duration::from_secs(1));
    let submitted = world.now;
    let accepted = world.new_job("urgent", vec![quick_step()]);
    if is_announced {
        world.engine.announce(accepted.clone(), world.now);
    }
    world.run(STORE_LATENCY);
    assert_eq!(world.starts, 0, "nothing starts before its acceptance");
    world.store_acceptance(accepted);
    while world.starts == 0 {
        world.run(Duration::from_millis(1));
    }
    world.now.since(submitted)
}

#[test]
fn an_announced_job_waits_for_a_slow_store_once_not_twice() {
    let (announced, plain) = (time_to_first_start(true), time_to_first_start(false));
    assert!(announced <= Duration::from_millis(450), "{announced:?}");
    assert!(plain >= 2 * STORE_LATENCY, "{plain:?}");
}

#[test]
fn a_job_whose_acceptance_is_refused_never_starts_and_frees_its_capacity() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let accepted = world.new_job("urgent", vec![quick_step()]);
    let (job, queue) = (accepted.job, QueueName::from("urgent"));
    world.engine.announce(accepted, world.now);
    world.run(Duration::from_millis(300));
    assert_eq!(
        world.engine.counts().allocations,
        2,
        "capacity is reserved for it"
    );
    assert_eq!(world.engine.state(job), None);
    assert_eq!(world.engine.pending(&queue), 0);
    world.engine.withdraw(job, world.now);
    world.run(Duration::from_secs(5));
    assert_eq!(world.engine.counts().allocations, 0);
    assert_eq!((world.starts, world.engine.state(job)), (0, None));
}

#[test]
fn a_job_accepted_after_its_announcement_expired_runs_once() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let accepted = world.new_job("urgent", vec![quick_step()]);
    let job = accepted.job;
    world.engine.announce(accepted.clone(), world.now);
    world.run(Duration::from_secs(4));
    assert_eq!(
        world.engine.counts().allocations,
        0,
        "the announcement has expired"
    );
    world.store_acceptance(accepted);
    world.run(Duration::from_secs(8));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.starts, 2);
    assert_eq!(world.violations, Vec::<String>::new());
}
