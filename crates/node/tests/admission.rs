//! Which submissions are refused because the owner can't consider them in time, and when their callers come again.

use std::time::Duration;

use fulmarpier_cell::{
    config::Queue,
    engine::Backlog,
    id::{
        JobId,
        PoolName,
        QueueName, //
    },
    job::{
        Schedule,
        Spec,
        Step, //
    },
    workspace::WorkspaceName, //
};
use fulmarpier_node::admission::{
    Load,
    MIN_RETRY_DELAY,
    retry_delay, //
};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
/// The time that a job takes by its estimate.
const ESTIMATE: Duration = Duration::from_secs(1);
/// The time that a job may take to be in time.
const OBJECTIVE: Duration = Duration::from_secs(3);

/// Returns a queue whose jobs have [`OBJECTIVE`].
fn queue(priority: u8) -> Queue {
    Queue {
        name: QueueName::from("q"),
        pool: PoolName::from("p"),
        priority,
        max_attempts: 1,
        stretch: 2.0,
        objective_offset: SECOND,
        advice: None,
    }
}

fn spec() -> Spec {
    Spec {
        payload: "text".into(),
        steps: vec![Step {
            estimate: ESTIMATE,
            ..Step::default()
        }],
        schedule: None,
    }
}

/// Returns a load with waits in milliseconds.
fn load(event: u64, urgent: u64, other: u64) -> Load {
    let backlog = Backlog {
        urgent: Duration::from_millis(urgent),
        other: Duration::from_millis(other),
    };
    Load::new(Duration::from_millis(event), backlog)
}

/// Returns whether a job of a queue without workspaces is refused.
fn is_refused(load: &Load, priority: u8) -> bool {
    retry_delay(load, &queue(priority), None, JobId(1), &spec()).is_some()
}

/// A result is worth nothing 9 s after the submission, and the job takes 1 s.
#[rstest]
#[case::idle(load(0, 0, 0), 0, false)]
#[case::late_but_worth_something(load(0, 8_000, 8_000), 0, false)]
#[case::worth_nothing(load(0, 8_001, 8_001), 0, true)]
#[case::events_and_passes_add_up(load(4_000, 4_001, 4_001), 0, true)]
#[case::urgent_jobs_come_first(load(0, 100, 60_000), 0, false)]
#[case::others_wait_behind_them(load(0, 100, 60_000), 1, true)]
fn a_job_is_refused_if_it_would_be_worth_nothing(
    #[case] load: Load,
    #[case] priority: u8,
    #[case] refused: bool,
) {
    assert_eq!(is_refused(&load, priority), refused);
}

/// Guards against refusals for a wait that is shorter than the delay until the caller comes again.
#[rstest]
#[case(MIN_RETRY_DELAY, false)]
#[case(MIN_RETRY_DELAY + Duration::from_millis(1), true)]
fn a_short_wait_refuses_no_job_whatever_its_objective(
    #[case] wait: Duration,
    #[case] refused: bool,
) {
    let queue = Queue {
        stretch: 0.0,
        objective_offset: Duration::ZERO,
        ..queue(0)
    };
    let load = Load::new(wait, Backlog::default());
    let delay = retry_delay(&load, &queue, None, JobId(1), &spec());
    assert_eq!(delay.is_some(), refused);
}

#[rstest]
#[case::scheduled(Spec {
    schedule: Some(Schedule { first: SECOND, period: SECOND, times: 2 }),
    ..spec()
})]
#[case::long_running(Spec {
    steps: vec![Step { long_running: true, ..spec().steps.remove(0) }],
    ..spec()
})]
fn a_job_whose_value_doesn_t_depend_on_its_start_is_not_refused(#[case] spec: Spec) {
    let load = load(0, 60_000, 60_000);
    assert_eq!(retry_delay(&load, &queue(0), None, JobId(1), &spec), None);
}

#[rstest]
#[case::causes_the_backlog(Some("over"), true)]
#[case::within_its_share(Some("within"), false)]
#[case::without_workspace(None, false)]
fn only_jobs_of_workspaces_that_cause_the_backlog_are_refused(
    #[case] workspace: Option<&str>,
    #[case] refused: bool,
) {
    let name = |text: &str| -> WorkspaceName { text.parse().unwrap() };
    let load = Load {
        backlogged: Some(vec![Some(name("over"))]),
        ..load(0, 60_000, 60_000)
    };
    let workspace = workspace.map(name);
    let delay = retry_delay(&load, &queue(0), workspace.as_ref(), JobId(1), &spec());
    assert_eq!(delay.is_some(), refused);
}

#[test]
fn callers_with_consecutive_job_ids_come_again_at_different_times() {
    let load = load(0, 22_000, 22_000);
    let delays = (0..100).map(|id| retry_delay(&load, &queue(0), None, JobId(id), &spec()));
    let mut delays: Vec<Duration> = delays.map(Option::unwrap).collect();
    delays.sort_unstable();
    // The job would be in time after a wait of 2 s, so the backlog has to shrink by 20 s.
    let (first, last) = (delays[0], delays[99]);
    assert!(
        first >= 20 * SECOND && last <= 30 * SECOND,
        "{first:?} {last:?}"
    );
    let tenths = delays.iter().map(|delay| (*delay - 20 * SECOND).as_secs());
    let mut tenths: Vec<u64> = tenths.collect();
    tenths.dedup();
    assert_eq!(tenths.len(), 10, "callers come in each second of the ten");
}

/// Guards against delays by which callers would never come again.
#[test]
fn a_delay_is_bounded_whatever_the_backlog() {
    let load = load(0, u64::MAX, u64::MAX);
    let delay = retry_delay(&load, &queue(0), None, JobId(1), &spec()).unwrap();
    assert!(delay >= 30 * SECOND && delay <= 45 * SECOND, "{delay:?}");
}

proptest! {
    /// A caller that comes again after the delay isn't refused again, if the backlog shrinks and nothing is added.
    #[test]
    fn a_caller_that_comes_again_is_accepted(event in 0_u64..10_000, pass in 0_u64..20_000, id: u64) {
        let before = load(event, pass, pass);
        if let Some(delay) = retry_delay(&before, &queue(0), None, JobId(id), &spec()) {
            prop_assert!(delay >= MIN_RETRY_DELAY);
            let left = before.wait(&queue(0)).saturating_sub(delay);
            prop_assert!(left + ESTIMATE <= OBJECTIVE);
            let after = Load::new(left, Backlog::default());
            prop_assert_eq!(retry_delay(&after, &queue(0), None, JobId(id), &spec()), None);
        }
    }
}
