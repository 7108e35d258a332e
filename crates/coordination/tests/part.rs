//! Which shards get the tasks of a job, and what becomes of an order.

#[path = "support/job.rs"]
mod job;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    part::{
        Delegation,
        Home,
        Local,
        Origin,
        Part,
        Room,
        Rooms,
        Sites,
        Step,
        elsewhere,
        part_id,
        spread,
        step, //
    },
    peer::part::{
        Order,
        Report,
        State,
        Wish, //
    },
    platform::vm::{
        self,
        Entry,
        List,
        Role, //
    },
    recovery::{
        Image,
        Job, //
    },
    topology::{
        Count,
        Map, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::Counts,
    id::{
        DataCentreId,
        JobId,
        RackId,
        RegionId,
        ShardId,
        WorkerId, //
    },
    job::{
        Kind,
        Spread, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);
const HOME: ShardId = ShardId(100);
const JOB: JobId = JobId::from_u128(7);

/// One shard a data centre; each worker takes two tasks, and each rack has two workers.
fn sites(racks: &[u16]) -> Sites {
    let mut map = Map::new(RegionId(1), Count::ONE);
    let places = (1..).zip(racks);
    let places = places.flat_map(|(centre, racks)| (0..racks * 2).map(move |w| (centre, w)));
    let entries = (1_u16..).zip(places).map(|(id, (centre, worker))| Entry {
        role: Role::Worker(WorkerId(id.into())),
        address: ([127, 0, 0, 1], id).into(),
        region: RegionId(1),
        data_centre: DataCentreId(centre),
        rack: RackId((worker / 2).into()),
        capacity: Resources::new(Millicores(1_000), Bytes(1 << 30), 0),
        state: vm::State::Live,
    });
    let list = List {
        as_of: NOW,
        entries: entries.collect(),
    };
    map.update(&list).expect("a list that can be used");
    Sites::new(&map)
}

#[rstest]
#[case::even(&[2, 2, 2], 6, Spread::DataCentres, &[2, 2, 2])]
#[case::a_tie_goes_home(&[2, 2, 2], 7, Spread::DataCentres, &[3, 2, 2])]
#[case::even_over_unlike_data_centres(&[1, 3, 3], 6, Spread::DataCentres, &[2, 2, 2])]
#[case::a_full_data_centre(&[1, 3, 3], 18, Spread::DataCentres, &[4, 7, 7])]
#[case::by_racks(&[1, 3, 2], 12, Spread::Racks, &[2, 6, 4])]
#[case::more_than_all_hold_waits_at_home(&[1, 1, 1], 15, Spread::Racks, &[7, 4, 4])]
#[case::a_home_without_workers(&[0, 2, 2], 4, Spread::DataCentres, &[0, 2, 2])]
fn tasks_spread_over_the_shards(
    #[case] racks: &[u16],
    #[case] tasks: u32,
    #[case] how: Spread,
    #[case] expected: &[u32],
) {
    let found = spread(&sites(racks), HOME, &job::spec(tasks, true), how);
    let shards = (1..).map(|centre: u16| ShardId(centre * 100));
    let expected: BTreeMap<_, _> = shards
        .zip(expected.iter().copied())
        .filter(|(_, tasks)| *tasks > 0)
        .collect();
    assert_eq!(found, expected);
}

#[rstest]
#[case::one_task_is_enough_for_a_batch(Kind::Batch, 3, Some(200))]
#[case::a_gang_needs_room_for_all(Kind::Gang, 3, None)]
#[case::a_small_gang(Kind::Gang, 2, Some(200))]
fn a_job_goes_only_where_there_is_room(
    #[case] kind: Kind,
    #[case] tasks: u32,
    #[case] expected: Option<u16>,
) {
    let mut rooms = Rooms::default();
    for (shard, cpu, waiting) in [(100, 9_000, 0), (200, 1_000, 0), (300, 9_000, 4)] {
        let room = Room {
            shard: ShardId(shard),
            cpu,
            memory: 1 << 30,
            accelerators: 0,
            waiting,
        };
        rooms.note(room, NOW);
    }
    let mut spec = job::spec(tasks, true);
    spec.kind = kind;
    let to = |now| elsewhere(&rooms, |shard| shard == HOME, &spec, tasks, now);
    assert_eq!(to(NOW), expected.map(ShardId));
    // What was said long ago is of no use.
    assert_eq!(to(NOW + Duration::from_secs(60)), None);
}

fn order(wish: Wish) -> Order {
    Order {
        part: part_id(JOB, ShardId(200), 0),
        shard: ShardId(200),
        of: Origin {
            job: JOB,
            home: HOME,
        },
        wish,
        at: NOW,
        spec: Some(Box::new(job::spec(3, false))),
    }
}

const OPEN: Local = Local::Open {
    waiting: 3,
    running: 0,
    ended: Counts {
        succeeded: 0,
        failed: 0,
        unknown: 0,
        cancelled: 0,
    },
    cancelled: false,
};
const RUNS: Local = Local::Open {
    waiting: 2,
    running: 1,
    ended: Counts {
        succeeded: 0,
        failed: 0,
        unknown: 0,
        cancelled: 0,
    },
    cancelled: false,
};
const NONE_RAN: Counts = Counts {
    succeeded: 0,
    failed: 0,
    unknown: 0,
    cancelled: 3,
};

#[rstest]
#[case::new(Local::Absent, Wish::Run, 0, Step::Take)]
#[case::late_after_its_end_was_forgotten(Local::Absent, Wish::Run, 6, Step::Rest)]
#[case::again(OPEN, Wish::Run, 0, Step::Rest)]
#[case::on_its_way(Local::Unsettled, Wish::Run, 0, Step::Rest)]
#[case::after_its_end(Local::Ended(NONE_RAN), Wish::Run, 0, Step::Rest)]
#[case::cancelled_before_it_came(Local::Absent, Wish::Cancel, 0, Step::Close(NONE_RAN))]
#[case::wanted_back(OPEN, Wish::Return, 0, Step::Withdraw)]
#[case::wanted_back_while_it_runs(RUNS, Wish::Return, 0, Step::Rest)]
#[case::cancelled(RUNS, Wish::Cancel, 0, Step::Cancel)]
#[case::forgotten(Local::Ended(NONE_RAN), Wish::Forget, 0, Step::Forget)]
#[case::forgotten_too_early(RUNS, Wish::Forget, 0, Step::Rest)]
fn an_order_does_no_more_than_is_left_to_do(
    #[case] local: Local,
    #[case] wish: Wish,
    #[case] seconds: u64,
    #[case] expected: Step,
) {
    let now = NOW + Duration::from_secs(seconds);
    assert_eq!(step(&local, &order(wish), now), expected);
}

/// A home with one part of three tasks in another shard.
fn home() -> (Home, Image) {
    let part = Part {
        shard: ShardId(200),
        tasks: 3,
        ended: None,
    };
    let held = Job {
        spec: Arc::new(job::spec(4, false)),
        accepted: NOW,
        cancelled: false,
        tasks: BTreeMap::new(),
        delegation: Some(Delegation {
            home: 1,
            parts: [(order(Wish::Run).part, part)].into(),
        }),
        of: None,
    };
    let mut image = Image::default();
    image.jobs.insert(JOB, held);
    (Home::new(HOME, &image, NOW), image)
}

fn report(state: State) -> Report {
    let Order { part, of, .. } = order(Wish::Run);
    Report { part, of, state }
}

#[test]
fn a_part_costs_two_orders_and_then_one_every_two_seconds() {
    let (mut home, image) = home();
    let mut orders = Vec::new();
    let mut now = NOW;
    for state in [State::Unsettled, State::from(RUNS)] {
        orders.extend(home.due(&image, |_, _| true, now));
        home.on(&report(state), &image, now);
        now = home.next_wake().expect("more to do");
    }
    assert_eq!(orders.len(), 2);
    assert!(orders[1].at.since(NOW) <= Duration::from_millis(200));
    for _ in 0..600 {
        orders.extend(home.due(&image, |_, _| true, now));
        home.on(&report(RUNS.into()), &image, now);
        now = now + Duration::from_millis(100);
    }
    // A minute of it, without the declaration.
    assert_eq!(orders.len(), 2 + 30);
    assert!(orders[2..].iter().all(|order| order.spec.is_none()));
}

#[rstest]
#[case::there_is_room(true, Wish::Return)]
#[case::there_is_none(false, Wish::Run)]
fn an_idle_part_is_wanted_back_once_there_is_room(#[case] room: bool, #[case] expected: Wish) {
    let (mut home, image) = home();
    home.due(&image, |_, _| room, NOW);
    home.on(&report(OPEN.into()), &image, NOW);
    let later = NOW + Duration::from_secs(25);
    let orders = home.due(&image, |_, _| room, later);
    assert_eq!(orders[0].wish, expected);
}
