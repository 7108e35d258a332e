//! Which jobs lie beyond the number per second that their workspace can rely on.

use std::{
    num::NonZeroU32,
    time::Duration, //
};

use fulmarpier_cell::{
    engine::State,
    id::JobId,
    job::Step,
    rate::Bucket, //
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    quick_step, //
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns which of the jobs received at these times, in milliseconds, lie within the rate.
fn within(rate: u32, received: &[u64]) -> Vec<bool> {
    let rate = NonZeroU32::new(rate).unwrap();
    let mut bucket = Bucket::default();
    let received = received.iter().map(|at| Timestamp::from_millis(*at));
    received.map(|at| bucket.take(rate, at)).collect()
}

/// Guards against a bucket of another size, one that never refills and one that loses a token to an early job.
#[rstest]
#[case::a_steady_rate(1, &[20_000, 21_000, 22_000, 23_000, 24_000, 25_000, 26_000], &[true; 7])]
#[case::all_of_the_window_at_once(1, &[20_000; 7], &[true, true, true, true, true, false, false])]
#[case::a_higher_rate(2, &[20_000; 12], &[true, true, true, true, true, true, true, true, true, true, false, false])]
#[case::tokens_return(1, &[20_000, 20_000, 20_000, 20_000, 20_000, 20_999, 21_000, 21_500], &[true, true, true, true, true, false, true, false])]
#[case::received_earlier_than_others(1, &[60_000, 20_000, 20_000], &[true, true, true])]
fn jobs_within_the_rate(#[case] rate: u32, #[case] received: &[u64], #[case] expected: &[bool]) {
    assert_eq!(within(rate, received), expected);
}

/// Guards against a workspace that loses its rate to jobs that were announced and never accepted.
#[test]
fn the_token_of_a_job_that_is_not_accepted_returns() {
    let rate = NonZeroU32::MIN;
    let at = Timestamp::from_millis(20_000);
    let mut bucket = Bucket::default();
    let take = |bucket: &mut Bucket| bucket.take(rate, at);
    assert!((0..5).all(|_| take(&mut bucket)));
    assert!(!take(&mut bucket));
    bucket.give_back(rate);
    assert!(take(&mut bucket));
    assert!(!take(&mut bucket));
}

/// Submits a job of the workspace that runs for long and that was received at another time than now.
fn submit(world: &mut World, received: Timestamp) -> JobId {
    let step = Step {
        count: 1,
        long_running: true,
        ..quick_step()
    };
    let mut accepted = world.new_job_for("hot", "batch", vec![step]);
    accepted.received = received;
    let job = accepted.job;
    world.store_acceptance(accepted);
    job
}

/// Guards against an owner that counts restored jobs in the order in which it reads them, or not at all.
#[test]
fn a_new_owner_finds_the_same_jobs_beyond_the_rate() {
    let mut world = World::new(1, Faults::default());
    world.set_weights(&[("hot", 1)]);
    world.run(SECOND);
    let start = world.now;
    let tenths = (0..12).map(|tenth| start.saturating_sub((12 - tenth) * SECOND / 10));
    let jobs: Vec<JobId> = tenths.map(|at| submit(&mut world, at)).collect();
    world.run(SECOND);
    let beyond = std::mem::take(&mut world.beyond_rate);
    // Five seconds' worth, and the token that returns after a second.
    assert_eq!(beyond, [&jobs[5..10], &jobs[11..]].concat());
    world.accepted.reverse();
    world.take_over();
    world.run(SECOND);
    assert_eq!(world.beyond_rate, beyond);
}

/// Guards against one node whose clock is ahead taking the rate of its callers' workspace away.
#[test]
fn a_time_of_receipt_in_the_future_does_not_take_the_rate_away() {
    let mut world = World::new(1, Faults::default());
    world.set_weights(&[("hot", 1)]);
    world.run(SECOND);
    let ahead = world.now + 3_600 * SECOND;
    submit(&mut world, ahead);
    for _ in 0..10 {
        world.run(SECOND);
        let now = world.now;
        submit(&mut world, now);
    }
    world.run(SECOND);
    assert_eq!(world.beyond_rate, Vec::new());
}

/// Guards against refusing or holding back jobs beyond the rate, and against counting a job once more when its
/// acceptance is confirmed.
#[test]
fn jobs_beyond_the_rate_start_at_once_while_capacity_is_free() {
    let mut world = World::new(1, Faults::default());
    world.set_weights(&[("hot", 1)]);
    world.run(SECOND);
    for _ in 0..10 {
        let step = Step {
            count: 1,
            ..quick_step()
        };
        let accepted = world.new_job_for("hot", "batch", vec![step]);
        world.engine.announce(accepted.clone(), world.now);
        world.store_acceptance(accepted);
    }
    world.run(SECOND / 10);
    assert_eq!((world.starts, world.beyond_rate.len()), (10, 5));
}

/// Returns whether all jobs of the second workspace that lie within its rate have started before any job of the first
/// one that lies beyond the rate. Two places are free, and the jobs of the first workspace come first.
fn yields_beyond_rate(has_workspaces: bool) -> bool {
    let mut world = World::new(1, Faults::default());
    world.set_weights(&[("hot", 1), ("calm", 1)]);
    world.run(SECOND);
    let step = |count, long_running| Step {
        count,
        long_running,
        // All jobs stay in time.
        estimate: 60 * SECOND,
        ..quick_step()
    };
    world.submit("batch", vec![step(30, true)]);
    world.run(SECOND);
    let submit = |world: &mut World, name, count| -> Vec<JobId> {
        let jobs = 0..count;
        jobs.map(|_| world.submit_for(name, "batch", vec![step(1, false)]))
            .collect()
    };
    let hot = submit(&mut world, "hot", 10);
    let calm = submit(&mut world, "calm", 5);
    if !has_workspaces {
        world.set_weights(&[]);
    }
    let is_waiting = |world: &World, job: &JobId| world.engine.state(*job) == Some(State::Queued);
    while calm.iter().any(|job| is_waiting(&world, job)) {
        world.run(SECOND / 40);
    }
    hot[5..].iter().all(|job| is_waiting(&world, job))
}

/// Guards against a rate that does nothing, here for a workspace within its share, and against ranks that change where
/// the configuration names no workspaces.
#[rstest]
fn jobs_beyond_the_rate_come_last_where_there_are_workspaces(
    #[values(true, false)] has_workspaces: bool,
) {
    assert_eq!(yields_beyond_rate(has_workspaces), has_workspaces);
}
