//! Which of several workers with room the index prefers.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        RackId,
        WorkerId, //
    },
    job::Spread,
    placement::{
        Error,
        Index,
        Presence,
        Rule, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
    worker, //
};
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn amount(cores: u32, gib: u64, accelerators: u16) -> Resources {
    Resources::new(
        Millicores::from_cores(cores),
        Bytes::from_gib(gib),
        accelerators,
    )
}

/// Makes an index of workers with these capacities and what is used of each.
fn index(workers: &[(Resources, Resources)]) -> Index {
    let mut index = Index::new();
    for (id, (capacity, used)) in (0..).zip(workers) {
        let spec = worker::Spec::new(WorkerId(id), *capacity);
        index.insert(spec).expect("fresh");
        index.reserve(WorkerId(id), *used).expect("it fits");
    }
    index
}

#[test]
fn the_tightest_fit_is_preferred() {
    let all = amount(16, 32, 0);
    let index = index(&[
        (all, amount(4, 8, 0)),
        (all, amount(12, 24, 0)),
        (all, amount(8, 16, 0)),
    ]);
    let found = index.find(&amount(4, 8, 0), &Rule::new());
    assert_eq!(found, Some(WorkerId(1)));
}

/// Both would have as much left in sum; the second has the processor time that the task wants.
#[test]
fn a_task_goes_where_what_it_wants_is_plenty() {
    let all = amount(16, 32, 0);
    let index = index(&[(all, amount(10, 12, 0)), (all, amount(6, 20, 0))]);
    let found = index.find(&amount(4, 2, 0), &Rule::new());
    assert_eq!(found, Some(WorkerId(1)));
}

/// More empty workers would be a tighter fit than are ever compared.
#[test]
fn a_worker_in_use_comes_before_an_empty_one() {
    let mut workers = vec![(amount(4, 8, 0), Resources::ZERO); 40];
    workers.push((amount(64, 128, 0), amount(1, 1, 0)));
    let index = index(&workers);
    let found = index.find(&amount(4, 8, 0), &Rule::new());
    assert_eq!(found, Some(WorkerId(40)));
}

#[rstest]
#[case::none_wanted(0, 0)]
#[case::one_wanted(1, 2)]
#[case::three_wanted(3, 1)]
fn accelerators_are_kept_for_those_who_want_them(#[case] wanted: u16, #[case] expected: u32) {
    let plain = amount(16, 32, 0);
    let rich = amount(16, 32, 4);
    let index = index(&[
        (plain, Resources::ZERO),
        (rich, amount(12, 24, 0)),
        (rich, amount(1, 1, 2)),
    ]);
    let found = index.find(&amount(4, 8, wanted), &Rule::new());
    assert_eq!(found, Some(WorkerId(expected)));
}

/// The tightest fit would be kept in use for longer.
#[test]
fn a_task_goes_where_others_run_as_long() {
    let all = amount(16, 32, 0);
    let mut index = index(&[(all, amount(12, 24, 0)), (all, amount(8, 16, 0))]);
    let end = NOW + Duration::from_secs(600);
    let soon = NOW + Duration::from_secs(10);
    index.set_busy_until(WorkerId(0), soon).expect("known");
    index.set_busy_until(WorkerId(1), end).expect("known");
    let size = amount(4, 8, 0);
    let found = |rule: Rule<'_>| index.find(&size, &rule);
    assert_eq!(found(Rule::new().runs(NOW, end)), Some(WorkerId(1)));
    assert_eq!(found(Rule::new().runs(NOW, soon)), Some(WorkerId(0)));
    assert_eq!(found(Rule::new()), Some(WorkerId(0)));
}

#[test]
fn an_emptied_worker_is_no_longer_busy() {
    let all = amount(16, 32, 0);
    let used = amount(8, 16, 0);
    let mut index = index(&[(all, used), (all, amount(4, 8, 0))]);
    let end = NOW + Duration::from_secs(600);
    index.set_busy_until(WorkerId(0), end).expect("known");
    index.release(WorkerId(0), used).expect("reserved");
    index.reserve(WorkerId(0), used).expect("it fits");
    index.set_busy_until(WorkerId(1), end).expect("known");
    let rule = Rule::new().runs(NOW, end);
    assert_eq!(index.find(&amount(4, 8, 0), &rule), Some(WorkerId(1)));
}

/// All racks hold a task; within the rack the worker without one is preferred.
#[test]
fn tasks_of_a_job_part_within_a_rack_too() {
    let mut index = Index::new();
    let mut presence = Presence::new();
    for id in 0..6 {
        let spec = worker::Spec::new(WorkerId(id), amount(16, 32, 0));
        let spec = spec.place(DataCentreId(0), RackId(id / 3));
        index.insert(spec).expect("fresh");
        if id % 3 == 0 {
            presence.add(&spec);
        }
    }
    for id in [0, 3] {
        let size = amount(8, 16, 0);
        index.reserve(WorkerId(id), size).expect("it fits");
    }
    let rule = Rule::new().spread(Spread::Racks, &presence);
    let found = index.find(&amount(4, 8, 0), &rule);
    assert_eq!(found, Some(WorkerId(1)));
}

#[test]
fn a_gang_is_spread_evenly() {
    let mut index = Index::new();
    for id in 0..12 {
        let spec = worker::Spec::new(WorkerId(id), amount(16, 32, 0));
        let centre = DataCentreId(u16::try_from(id / 4).expect("small"));
        index
            .insert(spec.place(centre, RackId(id / 2)))
            .expect("fresh");
    }
    let nowhere = Presence::new();
    let rule = Rule::new().spread(Spread::DataCentres, &nowhere);
    let plan = index
        .plan(&amount(4, 8, 0), 9, &rule)
        .expect("there is room");
    let mut presence = Presence::new();
    for worker in plan {
        presence.add(index.spec(worker).expect("known"));
    }
    let centres = (0..3).map(|id| presence.in_data_centre(DataCentreId(id)));
    assert_eq!(centres.collect::<Vec<_>>(), [3, 3, 3]);
    assert!(presence.racks().all(|(_, count)| count <= 2));
}

#[test]
fn errors_say_what_was_wrong() {
    let mut index = index(&[(amount(4, 8, 0), amount(3, 2, 0))]);
    let full = index.reserve(WorkerId(0), amount(2, 1, 0));
    insta::assert_snapshot!(
        full.expect_err("too much"),
        @"w0 has 1 cpu, 6GiB free, wanted are 2 cpu, 1GiB"
    );
    let over = index.release(WorkerId(0), amount(1, 4, 0));
    insta::assert_snapshot!(
        over.expect_err("too much"),
        @"w0 has 3 cpu, 2GiB reserved, to be released are 1 cpu, 4GiB"
    );
    let worker = WorkerId(7);
    assert_eq!(
        index.reserve(worker, Resources::ZERO),
        Err(Error::Unknown { worker })
    );
    let again = worker::Spec::new(WorkerId(0), amount(1, 1, 0));
    let worker = WorkerId(0);
    assert_eq!(index.insert(again), Err(Error::Duplicate { worker }));
}
