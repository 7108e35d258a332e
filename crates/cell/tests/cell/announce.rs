//! Jobs that the owner hears of before their acceptance is on record.

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

const STORE: Duration = Duration::from_millis(350);

/// A store takes 0.35 s a call: how long after it was handed in a job's first order leaves.
fn first_start(is_announced: bool) -> Duration {
    let mut world = World::new(1, Faults::default());
    world.append = STORE;
    world.run(Duration::from_secs(1));
    let handed_in = world.now;
    let accepted = world.hand_in("urgent", vec![quick_step()]);
    if is_announced {
        world.engine.announce(accepted.clone(), world.now);
    }
    world.run(STORE);
    assert_eq!(world.starts, 0, "nothing starts that is not accepted");
    world.keep(accepted);
    while world.starts == 0 {
        world.run(Duration::from_millis(1));
    }
    world.now.since(handed_in)
}

#[test]
fn a_slow_store_is_waited_for_once_not_twice() {
    let (announced, plain) = (first_start(true), first_start(false));
    assert!(announced <= Duration::from_millis(450), "{announced:?}");
    assert!(plain >= 2 * STORE, "{plain:?}");
}

#[test]
fn a_job_whose_acceptance_is_refused_never_starts_and_holds_no_room() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let accepted = world.hand_in("urgent", vec![quick_step()]);
    let (job, queue) = (accepted.job, QueueName::from("urgent"));
    world.engine.announce(accepted, world.now);
    world.run(Duration::from_millis(300));
    assert_eq!(world.engine.counts().claims, 2, "its places are kept");
    assert_eq!(world.engine.state(job), None);
    assert_eq!(world.engine.pending(&queue), 0);
    world.engine.withdraw(job, world.now);
    world.run(Duration::from_secs(5));
    assert_eq!(world.engine.counts().claims, 0);
    assert_eq!((world.starts, world.engine.state(job)), (0, None));
}

#[test]
fn a_job_that_is_kept_after_it_was_given_up_runs_once() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let accepted = world.hand_in("urgent", vec![quick_step()]);
    let job = accepted.job;
    world.engine.announce(accepted.clone(), world.now);
    world.run(Duration::from_secs(4));
    assert_eq!(world.engine.counts().claims, 0, "nobody told of it again");
    world.keep(accepted);
    world.run(Duration::from_secs(8));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.starts, 2);
    assert_eq!(world.violations, Vec::<String>::new());
}
