//! Jobs that repeat: how many occurrences are open at a time, and how large the record of their progress is.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use fulmarpier_cell::{
    engine::State,
    id::JobId,
    job::{
        Invalid,
        Schedule,
        Spec,
        Step, //
    },
    occurrence,
    record::{
        self,
        Entry, //
    },
};
use fulmarpier_state::clock::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

use crate::{
    cases::config,
    world::{
        Faults,
        World,
        size, //
    },
};

/// The most bytes that the store takes in one record.
const MAX_RECORD_BYTES: usize = 262_144;

/// Returns a step of one task.
fn small_step() -> Step {
    Step {
        count: 1,
        size: size(1_000, 1_024),
        estimate: Duration::from_millis(300),
        ..Step::default()
    }
}

/// Returns steps of one small task each, one after the other.
fn chain(steps: u16) -> Vec<Step> {
    (0..steps)
        .map(|index| Step {
            after: index.checked_sub(1).into_iter().collect(),
            ..small_step()
        })
        .collect()
}

/// Returns a schedule whose occurrences are all due.
fn overdue(times: u32) -> Schedule {
    Schedule {
        times,
        first: Duration::ZERO,
        period: Duration::from_micros(1),
    }
}

/// Runs a job whose occurrences are all due beside ordinary jobs; returns the size of its largest record.
fn largest_progress(times: u32) -> usize {
    let mut world = World::new(1, Faults::default());
    world.submit_repeated("batch", chain(50), Some(overdue(times)));
    world.run(Duration::from_secs(2));
    let ordinary: Vec<JobId> = (0..20)
        .map(|_| world.submit("batch", vec![small_step()]))
        .collect();
    for _ in 0..4 {
        world.run(Duration::from_secs(10));
        world.take_over();
    }
    assert_eq!(world.violations.first(), None);
    assert_eq!(world.completed(&ordinary), ordinary.len());
    world.largest_progress
}

/// Guards against a record of progress that grows with the repeats of a job until the store refuses it.
#[test]
fn the_record_of_a_job_doesn_t_grow_with_its_repeats() {
    let largest = largest_progress(2_016);
    assert!(largest <= MAX_RECORD_BYTES / 4, "{largest} bytes");
    assert_eq!(largest_progress(10_000), largest);
    assert_eq!(largest_progress(u32::MAX), largest);
}

/// Guards against owners that go over their memory one after the other, because it grows with the occurrences to come.
#[rstest]
#[case::to_come(2_000_000)]
#[case::overdue(0)]
fn the_memory_of_an_owner_doesn_t_grow_with_repeats(#[case] first_s: u64) {
    let size_of_state = |times: u32| {
        let mut world = World::new(1, Faults::default());
        let schedule = Schedule {
            times,
            first: Duration::from_secs(first_s),
            period: Duration::from_secs(1),
        };
        let step = Step {
            count: 2_500,
            ..small_step()
        };
        world.submit_repeated("batch", vec![step], Some(schedule));
        world.run(Duration::from_secs(1));
        format!("{:?}", world.engine).len()
    };
    // The numbers of repeats themselves have more digits.
    let (some, more, most) = (
        size_of_state(10),
        size_of_state(10_000),
        size_of_state(100_000_000),
    );
    assert!(
        some.abs_diff(more) <= 32 && more.abs_diff(most) <= 32,
        "{some} {more} {most}"
    );
}

/// Guards against later occurrences that don't begin, with workers free, because an early one waits for a silent worker.
#[rstest]
#[case::same_owner(false)]
#[case::new_owner(true)]
fn an_occurrence_that_waits_doesn_t_hold_up_the_later_ones(#[case] owner_dies: bool) {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    world.resize(1_000);
    world.run(Duration::from_secs(1));
    // Five occurrences of such a step may be open at a time.
    let step = Step {
        count: 1_000,
        ..small_step()
    };
    let schedule = Schedule {
        times: 8,
        first: world.now.since(Timestamp::ZERO),
        period: Duration::from_millis(600),
    };
    let job = world.submit_repeated("batch", vec![step], Some(schedule));
    while world.starts < 1_000 {
        world.run(Duration::from_millis(25));
    }
    // The lease lasts longer.
    world.cut_off_busy(Duration::from_secs(5));
    world.run(Duration::from_millis(1_500));
    if owner_dies {
        world.take_over();
    }
    world.run(Duration::from_millis(3_200));
    assert!(world.starts > 5_000, "{} starts", world.starts);
    world.run(Duration::from_secs(30));
    assert_eq!(world.violations.first(), None);
    assert_eq!(world.engine.state(job), Some(State::Completed));
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a set that loses or invents occurrences where its ranges meet.
    #[test]
    fn a_set_of_occurrences_has_what_was_inserted(
        inserted in prop::collection::vec(prop_oneof![0u32..12, u32::MAX - 3..u32::MAX], 0..20),
    ) {
        let mut set = occurrence::Set::default();
        for occurrence in &inserted {
            set.insert(*occurrence);
        }
        let expected: BTreeSet<u32> = inserted.into_iter().collect();
        for occurrence in (0..14).chain(u32::MAX - 5..u32::MAX) {
            prop_assert_eq!(set.contains(occurrence), expected.contains(&occurrence));
        }
        prop_assert_eq!(set.len() as usize, expected.len());
        let bytes = record::encode(&set).unwrap();
        let gaps = expected.iter().filter(|occurrence| !expected.contains(&(**occurrence + 1)));
        prop_assert!(bytes.len() <= 1 + 10 * gaps.count());
    }

    /// Guards against an occurrence that is forgotten or begins again when the record says only how many are done.
    #[test]
    fn each_occurrence_is_done_once_across_takeovers(
        seed in any::<u64>(),
        times in 1u32..40,
        steps in 1u16..4,
        period_ms in prop_oneof![Just(0u64), 1u64..2_000],
    ) {
        let faults = Faults {
            lost_orders: 30,
            lost_heartbeats: 30,
            disconnections: 10,
            takeovers: 150,
            failures: 20,
            ..Faults::default()
        };
        let mut world = World::new(seed, faults);
        let schedule = Schedule {
            times,
            first: Duration::from_secs(999),
            period: Duration::from_millis(period_ms),
        };
        let job = world.submit_repeated("batch", chain(steps), Some(schedule));
        world.run(Duration::from_secs(30));
        world.end_faults();
        world.run(Duration::from_secs(100));
        prop_assert_eq!(world.violations.first(), None);
        let state = world.engine.state(job);
        prop_assert!(matches!(state, Some(State::Completed | State::Failed)), "{state:?}");
    }
}

/// Guards against a job that is stuck, or whose occurrences run again, because a former version recorded its progress.
#[test]
fn a_job_that_a_former_version_stored_goes_on() {
    let mut world = World::new(1, Faults::default());
    let job = world.submit_repeated("batch", chain(1), Some(overdue(6_000)));
    // Written by the former version: the first 5,500 occurrences of job 9 have begun, and all but the second are done.
    let mut bytes = vec![0x00, 0x09, 0xfc, 0x2a];
    for occurrence in 0u32..5_500 {
        bytes.extend(record::encode(&occurrence).unwrap());
        bytes.extend(match occurrence {
            1 => [0x01, 0x00].as_slice(),
            _ => [0x01, 0x01, 0x01].as_slice(),
        });
        bytes.extend([0x00, 0x00]);
    }
    bytes.extend([0x00, 0x00]);
    assert_eq!(job, JobId(9));
    let entry: Entry = record::decode(&bytes).unwrap();
    assert!(matches!(entry, Entry::PlainJob(JobId(9), _)));
    world.restore(entry);
    world.run(Duration::from_secs(100));
    assert_eq!(world.violations.first(), None);
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.starts, 501);
}

fn spec(steps: Vec<Step>, times: u32) -> Spec {
    Spec {
        payload: "text".into(),
        steps,
        schedule: Some(overdue(times)),
    }
}

/// Guards against an accepted job whose occurrences can't all be open although none of them ever ends.
#[rstest]
#[case::as_many_as_may_run(2_500, 2, Ok(()))]
#[case::more(2_500, 3, Err(Invalid::TooManyLongRunning))]
#[case::many_repeats(1, u32::MAX, Err(Invalid::TooManyLongRunning))]
fn long_running_steps_repeat_only_as_often_as_all_can_run(
    #[case] count: u16,
    #[case] times: u32,
    #[case] expected: Result<(), Invalid>,
) {
    let lasting = Step {
        count,
        long_running: true,
        ..small_step()
    };
    assert_eq!(spec(vec![lasting], times).check(), expected);
}
