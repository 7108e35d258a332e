//! Random histories of a cell: callers, failing workers, lost and late orders, and new owners.

use std::time::Duration;

use fulmarpier_cell::job::Step;
use proptest::prelude::*;
use rstest::rstest;

use crate::cases::config;
use crate::world::{
    Faults,
    World,
    size, //
};

fn step(count: u16, after: Vec<u16>) -> Step {
    Step {
        count,
        size: size(1_000, 1_024),
        estimate: Duration::from_secs(1),
        after,
        ..Step::default()
    }
}

/// Plays a history with some jobs; returns what was broken.
fn play(seed: u64, faults: Faults) -> Vec<String> {
    let mut world = World::new(seed, faults);
    world.run(Duration::from_secs(1));
    for round in 0..6 {
        world.submit("batch", vec![step(5, vec![]), step(2, vec![0])]);
        world.submit("urgent", vec![step(2, vec![])]);
        if round % 2 == 0 {
            let gang = Step {
                gang: true,
                ..step(4, vec![])
            };
            world.submit("gang", vec![gang]);
        }
        world.run(Duration::from_secs(2));
    }
    world.calm();
    world.run(Duration::from_secs(60));
    if world.violations.is_empty() {
        world.check_ends();
    }
    world.violations
}

/// Plays a history of jobs that ask for a kind which no worker is of at times.
fn play_labels(seed: u64, faults: Faults) -> Vec<String> {
    let mut world = World::new(seed, faults);
    let labelled = |label: &str, count| Step {
        requires: Some(label.into()),
        ..step(count, vec![])
    };
    world.run(Duration::from_secs(1));
    for round in 0..6 {
        world.submit("batch", vec![labelled("r1", 2), step(2, vec![0])]);
        world.submit("urgent", vec![labelled("rare", 1)]);
        world.submit("batch", vec![step(2, vec![]), labelled("rare", 2)]);
        let place = round % world.workers.len();
        if let Some(id) = world.workers.keys().nth(place).cloned() {
            let kind = if round % 3 == 0 { "rare" } else { "a" };
            world.replace_worker(&id, kind);
        }
        world.run(Duration::from_secs(2));
    }
    world.calm();
    for id in world.workers.keys().cloned().collect::<Vec<_>>() {
        // The advice service allows two of three workers, so some of all kinds are needed.
        world.replace_worker(&id, "rare");
    }
    world.run(Duration::from_secs(60));
    if world.violations.is_empty() {
        world.check_ends();
    }
    world.violations
}

#[test]
fn a_calm_history_completes_every_job() {
    assert_eq!(play(1, Faults::default()), Vec::<String>::new());
}

/// Everything that can go wrong, together.
pub(crate) const ALL: Faults = Faults {
    lost_orders: 60,
    lost_holds: 30,
    crashes: 10,
    cuts: 30,
    takeovers: 120,
    failures: 80,
    outages: 60,
    cancels: 100,
    announced: 300,
    foreign: 0,
    releases: 0,
    crashers: 0,
    shrinks: 0,
    restarts: 0,
    evacuations: 0,
};

/// The same while entries of workers turn into those of another writer and back, one every two seconds.
const FOREIGN: Faults = Faults { foreign: 60, ..ALL };

/// Histories that broke a promise once.
#[rstest]
#[case::a_task_ran_twice(3_015_137_547_143_691_097)]
#[case::fewer_jobs_were_said_to_wait(531_126_840_870_723_094)]
fn promises_hold_in_histories_that_broke_one(#[case] seed: u64) {
    assert_eq!(play(seed, ALL), Vec::<String>::new());
}

#[rstest]
#[case::a_worker_came_back_before_its_loss_was_on_record(14_023_517_649_959_117_087)]
fn promises_hold_in_histories_with_foreign_entries_that_broke_one(#[case] seed: u64) {
    assert_eq!(play(seed, FOREIGN), Vec::<String>::new());
}

/// Tasks that crash their workers, and orders, owners and a store that make that hard to tell.
const CRASHERS: Faults = Faults {
    lost_orders: 40,
    lost_holds: 0,
    crashes: 0,
    cuts: 0,
    takeovers: 60,
    failures: 0,
    outages: 30,
    cancels: 0,
    announced: 300,
    foreign: 0,
    releases: 0,
    crashers: 150,
    shrinks: 0,
    restarts: 0,
    evacuations: 0,
};

#[rstest]
#[case::the_order_never_arrived(2_396_315_580_793_957_752)]
#[case::a_former_owner_had_ordered_it(16_202_495_047_861_854_940)]
#[case::the_members_of_a_gang_wait_for_a_worker_each(11_130_945_123_016_659_203)]
fn promises_hold_in_histories_with_crashers_that_broke_one(#[case] seed: u64) {
    assert_eq!(play(seed, CRASHERS), Vec::<String>::new());
}

#[rstest]
#[case::it_had_ended_before_the_crash(12_544_418_156_471_660_040)]
#[case::a_crash_told_against_what_was_not_begun(11_644_993_418_978_335_773)]
fn promises_hold_in_histories_with_labels_that_broke_one(#[case] seed: u64) {
    assert_eq!(
        play_labels(seed, Faults { cancels: 0, ..ALL }),
        Vec::<String>::new()
    );
}

/// Everything, and tasks that crash their workers.
const CRASHING: Faults = Faults {
    crashers: 100,
    releases: 30,
    ..ALL
};

#[rstest]
#[case::an_end_from_before_a_lapse_is_told_when_the_task_was_ordered_elsewhere(
    7_760_275_190_912_759_305
)]
fn promises_hold_in_histories_with_crashing_tasks_that_broke_one(#[case] seed: u64) {
    assert_eq!(play(seed, CRASHING), Vec::<String>::new());
}

/// Workers that restart under their ids, and orders that are lost or late.
const RESTARTS: Faults = Faults {
    lost_orders: 60,
    lost_holds: 0,
    crashes: 0,
    cuts: 0,
    takeovers: 0,
    failures: 50,
    outages: 0,
    cancels: 0,
    announced: 300,
    foreign: 0,
    releases: 0,
    crashers: 0,
    shrinks: 0,
    restarts: 60,
    evacuations: 0,
};

#[rstest]
#[case::a_step_went_on_asking_about_a_worker_that_was_of_another_kind(
    6_810_646_426_040_739_123,
    RESTARTS
)]
#[case::the_same_amid_all_of_that(6_818_458_597_670_952_719, Faults { restarts: 40, ..CRASHING })]
#[case::the_next_incarnation_said_that_it_leaves(2_804_415_196_290_294_630, Faults { restarts: 40, ..CRASHING })]
#[case::a_worker_said_that_it_leaves_soon_after_its_restart(1_137_188_293_690_855_454, Faults { restarts: 40, ..CRASHING })]
#[case::the_order_had_been_carried_out_before(1_854_814_032_114_709_740, RESTARTS)]
#[case::a_doubted_crash_was_lost_with_its_owner(9_156_714_210_551_861_598, Faults { restarts: 40, ..CRASHING })]
#[case::the_same_with_a_store_that_goes_away(1_661_957_732_478_948_794, Faults { restarts: 40, ..CRASHING })]
#[case::it_had_said_that_it_leaves(12_163_003_822_740_007_149, Faults { restarts: 40, ..CRASHING })]
#[case::it_had_said_that_it_leaves_while_the_order_waited_for_its_record(11_735_225_383_589_030_329, Faults { restarts: 40, ..CRASHING })]
#[case::it_had_said_so_after_changes_of_owners(13_568_423_141_024_824_681, Faults { restarts: 40, ..CRASHING })]
#[case::it_had_said_so_and_nothing_was_certain(18_187_635_607_985_897_533, Faults { restarts: 40, ..CRASHING })]
#[case::it_had_said_so_and_was_replaced(8_939_779_740_011_100_528, Faults { restarts: 40, ..CRASHING })]
#[case::the_same_in_another_history(5_589_939_654_479_410_630, Faults { restarts: 40, ..CRASHING })]
#[case::a_new_owner_didn_t_know_what_it_had_just_begun(14_807_996_053_756_917_159, Faults { restarts: 40, ..CRASHING })]
#[case::a_former_owner_had_heard_the_incarnation_before(3_081_453_588_647_580_746, Faults { restarts: 40, ..CRASHING })]
fn promises_hold_in_histories_with_restarts_that_broke_one(
    #[case] seed: u64,
    #[case] faults: Faults,
) {
    assert_eq!(play(seed, faults), Vec::<String>::new());
}

/// A task that crashes its workers is started three times more after the third crash; two are borne.
///
/// Its second worker stays away until its leases have lapsed. What it had just begun is remembered by the owner, to be counted once
/// the worker is known to be gone; the owner dies before that, and the next one knows nothing of it.
#[test]
fn a_crashing_task_is_given_up_in_time_in_a_history_with_restarts() {
    let faults = Faults {
        restarts: 40,
        ..CRASHING
    };
    assert_eq!(
        play(1_077_559_769_404_876_841, faults),
        Vec::<String>::new()
    );
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold_when_orders_are_lost_or_late(seed in any::<u64>()) {
        let faults = Faults { lost_orders: 80, lost_holds: 30, failures: 50, announced: 300, ..Faults::default() };
        prop_assert_eq!(play(seed, faults), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_owners_die(seed in any::<u64>()) {
        let faults = Faults { takeovers: 200, failures: 50, outages: 50, announced: 300, ..Faults::default() };
        prop_assert_eq!(play(seed, faults), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_workers_crash_or_are_cut_off(seed in any::<u64>()) {
        let faults = Faults { crashes: 15, cuts: 40, failures: 50, announced: 300, ..Faults::default() };
        prop_assert_eq!(play(seed, faults), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_labels_come_and_go(seed in any::<u64>()) {
        prop_assert_eq!(play_labels(seed, Faults { cancels: 0, ..ALL }), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_all_of_that_comes_together(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, ALL), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_workers_are_replaced_one_after_the_other(seed in any::<u64>()) {
        let faults = Faults { releases: 100, lost_orders: 40, failures: 50, announced: 300, ..Faults::default() };
        prop_assert_eq!(play(seed, faults), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_workers_are_replaced_amid_all_of_that(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, Faults { releases: 60, ..ALL }), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_tasks_crash_their_workers(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, CRASHERS), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_tasks_crash_their_workers_amid_all_of_that(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, CRASHING), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_rooms_shrink_and_grow(seed in any::<u64>()) {
        let faults = Faults { shrinks: 150, lost_orders: 60, failures: 50, outages: 60, announced: 300, ..Faults::default() };
        prop_assert_eq!(play(seed, faults), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_rooms_shrink_and_grow_amid_all_of_that(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, Faults { shrinks: 100, ..CRASHING }), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_workers_restart_under_their_ids(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, RESTARTS), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_workers_restart_under_their_ids_amid_all_of_that(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, Faults { restarts: 40, ..CRASHING }), Vec::<String>::new());
    }

    #[test]
    fn no_task_is_given_up_for_crashes_that_are_not_its_own(seed in any::<u64>()) {
        // Each worker goes down once in 100 s.
        let faults = Faults { crashes: 10, cuts: 40, takeovers: 50, lost_orders: 60, releases: 30, ..Faults::default() };
        prop_assert_eq!(play(seed, faults), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_data_centres_are_evacuated(seed in any::<u64>()) {
        let faults = Faults { evacuations: 250, lost_orders: 60, outages: 80, takeovers: 80, failures: 50, announced: 300, ..Faults::default() };
        prop_assert_eq!(play(seed, faults), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_data_centres_are_evacuated_amid_all_of_that(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, Faults { evacuations: 200, restarts: 40, ..CRASHING }), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_entries_turn_foreign(seed in any::<u64>()) {
        let faults = Faults { foreign: 150, failures: 50, announced: 300, ..Faults::default() };
        prop_assert_eq!(play(seed, faults), Vec::<String>::new());
    }

    #[test]
    fn promises_hold_when_entries_turn_foreign_amid_all_of_that(seed in any::<u64>()) {
        prop_assert_eq!(play(seed, FOREIGN), Vec::<String>::new());
    }
}
