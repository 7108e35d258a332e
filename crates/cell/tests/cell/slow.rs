//! Scheduling with a store that takes long for each append.

use std::time::Duration;

use fulmarpier_cell::job::Step;
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    quick_step, //
};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against decisions that rely on tickets which expire before the start is recorded: each one is withdrawn, and
/// its capacity is lost meanwhile.
///
/// More jobs arrive than the workers have capacity for, so tickets age while steps wait, and each start waits for its
/// record.
#[rstest]
#[case::urgent("urgent")]
#[case::gangs("gang")]
fn few_starts_are_withdrawn_for_expired_tickets_when_appends_are_slow(
    #[case] queue: &str,
    #[values(90, 370, 500)] append_ms: u64,
) {
    let mut world = World::new(1, Faults::default());
    world.append_duration = Duration::from_millis(append_ms);
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
    // The engine learns from the first record how long an append takes.
    assert!(
        world.expired_ticket_starts <= 4,
        "{} starts were withdrawn",
        world.expired_ticket_starts
    );
}
