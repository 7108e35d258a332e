//! The delay after which refused callers retry, and whether a node serves them in time.

use std::time::Duration;

use fulmarpier_cell::id::JobId;
use fulmarpier_node::retry_delay::RefusedJobs;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
/// How long a caller waits to be served.
const DEADLINE: Duration = Duration::from_secs(3);
/// How often a caller retries at most.
const RETRIES: usize = 4;
/// The time that a retry without delay takes, because the caller opens a new connection for it.
const RECONNECT: Duration = Duration::from_millis(100);

/// Simulates a caller whose attempts reach the nodes in turn; returns when it is served, or `None` if it isn't.
fn served_after(refused_jobs: &mut RefusedJobs, job: u64, is_cut_off: &[bool]) -> Option<Duration> {
    let mut at = Duration::ZERO;
    for attempt in 0..=RETRIES {
        if !is_cut_off[attempt % is_cut_off.len()] {
            return Some(at);
        }
        // If every node is cut off from the store, none of them is isolated on its own.
        let is_isolated = is_cut_off.iter().any(|is_cut_off| !is_cut_off) || is_cut_off.len() == 1;
        at += refused_jobs
            .retry_delay(JobId(job), is_isolated)
            .max(RECONNECT);
        if at >= DEADLINE {
            return None;
        }
    }
    None
}

#[rstest]
#[case::of_two_nodes_the_other_serves(&[true, false], Some(RECONNECT))]
#[case::of_three_nodes_one_serves(&[true, true, false], Some(RECONNECT + SECOND))]
#[case::of_two_nodes_none_serves(&[true, true], None)]
#[case::there_is_no_other_node(&[true], None)]
fn callers_of_an_isolated_node_are_served_elsewhere(
    #[case] is_cut_off: &[bool],
    #[case] expected: Option<Duration>,
) {
    let mut refused_jobs = RefusedJobs::default();
    for job in 0..500 {
        assert_eq!(served_after(&mut refused_jobs, job, is_cut_off), expected);
    }
}

#[test]
fn in_an_outage_for_all_nodes_retries_are_spread_over_the_deadline() {
    let mut refused_jobs = RefusedJobs::default();
    let delays = [(); RETRIES].map(|()| refused_jobs.retry_delay(JobId(1), false));
    assert_eq!(delays, [SECOND; RETRIES]);
}

#[test]
fn a_caller_that_retries_at_the_same_node_is_delayed() {
    let mut refused_jobs = RefusedJobs::default();
    assert_eq!(refused_jobs.retry_delay(JobId(1), true), Duration::ZERO);
    assert_eq!(refused_jobs.retry_delay(JobId(1), true), SECOND);
    assert_eq!(refused_jobs.retry_delay(JobId(1), true), SECOND);
}

#[test]
fn the_number_of_remembered_jobs_is_bounded() {
    let mut refused_jobs = RefusedJobs::default();
    for job in 0..5_000 {
        refused_jobs.retry_delay(JobId(job), true);
    }
    assert_eq!(refused_jobs.retry_delay(JobId(4_999), true), SECOND);
    assert_eq!(refused_jobs.retry_delay(JobId(0), true), Duration::ZERO);
}
