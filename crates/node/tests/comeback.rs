//! When refused callers come back, and what they get then.

use std::time::Duration;

use fulmarpier_cell::id::JobId;
use fulmarpier_node::comeback::Refusals;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
/// How long a caller waits for its answer, and how often it returns.
const DEADLINE: Duration = Duration::from_secs(3);
const RETURNS: usize = 4;
/// Before a caller returns at once it has a new connection made.
const AT_ONCE: Duration = Duration::from_millis(100);

/// Plays a caller whose returns reach the nodes in turn; returns when it is served.
fn served_after(refusals: &mut Refusals, job: u64, is_cut: &[bool]) -> Option<Duration> {
    let mut at = Duration::ZERO;
    for attempt in 0..=RETURNS {
        if !is_cut[attempt % is_cut.len()] {
            return Some(at);
        }
        // Where every node is cut off none of them is alone.
        let is_alone = is_cut.iter().any(|cut| !cut) || is_cut.len() == 1;
        at += refusals.refuse(JobId(job), is_alone).max(AT_ONCE);
        if at >= DEADLINE {
            return None;
        }
    }
    None
}

#[rstest]
#[case::the_other_serves(&[true, false], Some(AT_ONCE))]
#[case::one_of_three_serves(&[true, true, false], Some(AT_ONCE + SECOND))]
#[case::none_serves(&[true, true], None)]
#[case::nobody_else_is_there(&[true], None)]
fn callers_of_a_node_that_is_cut_off_are_served_elsewhere(
    #[case] is_cut: &[bool],
    #[case] expected: Option<Duration>,
) {
    let mut refusals = Refusals::default();
    for job in 0..500 {
        assert_eq!(served_after(&mut refusals, job, is_cut), expected);
    }
}

#[test]
fn in_an_outage_for_all_returns_are_spread_over_what_the_caller_has() {
    let mut refusals = Refusals::default();
    let waits = [(); RETURNS].map(|()| refusals.refuse(JobId(1), false));
    assert_eq!(waits, [SECOND; RETURNS]);
}

#[test]
fn a_caller_that_comes_back_to_the_same_node_doesn_t_spend_its_returns_there() {
    let mut refusals = Refusals::default();
    assert_eq!(refusals.refuse(JobId(1), true), Duration::ZERO);
    assert_eq!(refusals.refuse(JobId(1), true), SECOND);
    assert_eq!(refusals.refuse(JobId(1), true), SECOND);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut refusals = Refusals::default();
    for job in 0..5_000 {
        refusals.refuse(JobId(job), true);
    }
    assert_eq!(refusals.refuse(JobId(4_999), true), SECOND);
    assert_eq!(refusals.refuse(JobId(0), true), Duration::ZERO);
}
