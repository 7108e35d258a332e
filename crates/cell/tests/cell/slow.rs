//! A store that takes long for each record: what callers get then.

use std::time::Duration;

use fulmarpier_cell::job::Step;
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    quick_step, //
};

const SECOND: Duration = Duration::from_secs(1);

/// More comes than the workers have room for, so tickets age while steps wait, and each start waits for its record.
#[rstest]
#[case::urgent("urgent")]
#[case::gangs("gang")]
fn room_is_taken_only_with_tickets_that_outlast_the_record(
    #[case] queue: &str,
    #[values(90, 370, 500)] append_ms: u64,
) {
    let mut world = World::new(1, Faults::default());
    world.append = Duration::from_millis(append_ms);
    world.run(2 * SECOND);
    let step = Step {
        gang: queue == "gang",
        ..quick_step()
    };
    let jobs: Vec<_> = (0..60)
        .map(|_| {
            let job = world.submit(queue, vec![step.clone()]);
            world.run(SECOND / 20);
            job
        })
        .collect();
    world.run(25 * SECOND);
    assert_eq!(world.completed(&jobs), jobs.len());
    assert_eq!(world.violations, Vec::<String>::new());
    // The first record tells how long one takes.
    assert!(world.aged <= 4, "{} starts were taken back", world.aged);
}
