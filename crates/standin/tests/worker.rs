//! The worker without its socket, in virtual time, and what the record makes of it.

use std::{
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    time::Duration,
};

use fulmarpier_coordination::platform::worker::{
    Act,
    Answer,
    End,
    Start,
    Sync,
    View, //
};
use fulmarpier_standin::{
    fault::Faults,
    record::{
        Ending,
        Record, //
    },
    target::Host,
    worker::{
        Machine,
        Profile,
        Saved, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        JobId,
        TaskId,
        WorkerId, //
    },
    job::Payload,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use fulmarpier_transport::clock::Clock;
use rstest::{
    fixture,
    rstest, //
};
use tokio::sync::watch;

/// Two workers of four cores that share a record and saved work.
struct Cell {
    record: Record,
    first: Machine,
    second: Machine,
}

#[fixture]
fn cell() -> Cell {
    let record = Record::new(100);
    let saved = Saved::default();
    let worker = |id| {
        let host = Host {
            worker: WorkerId(id),
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            connections: 1,
            work: Duration::ZERO,
            clock: Clock::at(Timestamp::ZERO),
            record: record.clone(),
            faults: Faults::new(1, Duration::ZERO),
            paused: watch::channel(false).1,
        };
        let profile = Profile {
            usage: 500,
            usage_lag: secs(10),
            runtime: secs(1),
        };
        Machine::new(cores(4), profile, saved.clone(), host)
    };
    Cell {
        first: worker(1),
        second: worker(2),
        record,
    }
}

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

const fn at(secs: u64) -> Timestamp {
    Timestamp::from_millis(secs * 1_000)
}

const fn cores(count: u32) -> Resources {
    Resources::new(Millicores::from_cores(count), Bytes(1 << 30), 0)
}

fn task() -> TaskId {
    TaskId::new(JobId::from_u128(7), 0)
}

/// A call that starts one task of a core for 30 s, under a lease of a minute.
fn start(attempt: u32) -> Sync {
    let start = Start {
        task: task(),
        attempt: Attempt(attempt),
        size: Resources::new(Millicores::from_cores(1), Bytes(1 << 20), 0),
        payload: Payload::default(),
        slots: None,
        port: 0,
        runtime: Some(secs(30)),
    };
    Sync {
        epoch: Epoch(1),
        start_by: Timestamp::MAX,
        lease: secs(60),
        start: vec![start],
        ..Sync::default()
    }
}

fn act(act: Act) -> Sync {
    Sync {
        epoch: Epoch(1),
        act: vec![(task(), Attempt(1), act)],
        ..Sync::default()
    }
}

fn look() -> Sync {
    Sync {
        epoch: Epoch(1),
        ..Sync::default()
    }
}

fn ends(record: &Record) -> Vec<(Option<Ending>, Option<Timestamp>)> {
    let runs = record.runs(0, 100);
    runs.iter().map(|run| (run.ending, run.end)).collect()
}

#[rstest]
fn work_ends_on_time_whenever_it_is_looked_at(mut cell: Cell) {
    cell.first.sync(at(100), &start(1)).expect("a reply");
    let reply = cell.first.sync(at(500), &look()).expect("a reply");
    assert_eq!(reply.inventory.ended[0].age, secs(30));
    assert_eq!(
        ends(&cell.record),
        [(Some(Ending::Succeeded), Some(at(130)))]
    );
}

#[rstest]
fn a_lease_that_is_not_renewed_ends_the_task(mut cell: Cell) {
    let short = Sync {
        lease: secs(20),
        ..start(1)
    };
    cell.first.sync(at(100), &short).expect("a reply");
    let renew = Sync {
        renew: vec![(task(), Attempt(1))],
        lease: secs(10),
        ..look()
    };
    cell.first.sync(at(115), &renew).expect("a reply");
    cell.first.settle(at(126));
    assert_eq!(ends(&cell.record), [(Some(Ending::Lapsed), Some(at(125)))]);
}

#[rstest]
fn a_lease_that_lapsed_in_a_pause_ends_the_task_before_anything_else(mut cell: Cell) {
    cell.first.sync(at(100), &start(1)).expect("a reply");
    cell.first.pause(at(110));
    cell.second.sync(at(165), &start(2)).expect("a reply");
    cell.first.settle(at(169));
    assert_eq!(cell.record.summary().violations.total(), 0);
    cell.first.resume(at(170));
    let renew = Sync {
        renew: vec![(task(), Attempt(1))],
        ..look()
    };
    let reply = cell.first.sync(at(170), &renew).expect("a reply");
    assert!(reply.inventory.running.is_empty());
    assert_eq!(reply.inventory.ended[0].end, End::Lapsed);
    assert_eq!(cell.record.summary().violations.total(), 0);
}

#[rstest]
fn no_work_is_done_in_a_pause(mut cell: Cell) {
    cell.first.sync(at(100), &start(1)).expect("a reply");
    cell.first.pause(at(110));
    cell.first.resume(at(120));
    cell.first.settle(at(150));
    assert_eq!(
        ends(&cell.record),
        [(Some(Ending::Succeeded), Some(at(140)))]
    );
}

#[rstest]
#[case::half(500, 150)]
#[case::a_quarter(250, 190)]
fn a_throttled_task_takes_longer(mut cell: Cell, #[case] rate: u16, #[case] end: u64) {
    let long = Sync {
        lease: secs(600),
        ..start(1)
    };
    cell.first.sync(at(100), &long).expect("a reply");
    cell.first
        .sync(at(110), &act(Act::Throttle(rate)))
        .expect("a reply");
    cell.first.settle(at(500));
    assert_eq!(
        ends(&cell.record),
        [(Some(Ending::Succeeded), Some(at(end)))]
    );
}

#[rstest]
fn checkpointed_work_goes_on_at_another_worker(mut cell: Cell) {
    cell.first.sync(at(100), &start(1)).expect("a reply");
    cell.first
        .sync(at(120), &act(Act::Checkpoint))
        .expect("a reply");
    cell.second.sync(at(130), &start(2)).expect("a reply");
    cell.second.settle(at(200));
    let expected = [
        (Some(Ending::Checkpointed), Some(at(120))),
        (Some(Ending::Succeeded), Some(at(140))),
    ];
    assert_eq!(ends(&cell.record), expected);
}

#[rstest]
fn a_stopped_task_makes_room_at_once(mut cell: Cell) {
    cell.first.sync(at(100), &start(1)).expect("a reply");
    let reply = cell.first.sync(at(101), &act(Act::Stop)).expect("a reply");
    assert_eq!(reply.inventory.ended[0].end, End::Stopped);
    assert!(reply.inventory.running.is_empty());
}

#[rstest]
fn a_dead_worker_forgets_its_tasks_and_its_epoch(mut cell: Cell) {
    let high = Sync {
        epoch: Epoch(9),
        ..start(1)
    };
    cell.first.sync(at(100), &high).expect("a reply");
    cell.first.die(at(105));
    let reply = cell.first.sync(at(106), &look()).expect("a reply");
    assert_eq!(reply.inventory.incarnation, Incarnation(2));
    assert!(reply.inventory.running.is_empty());
    assert_eq!(ends(&cell.record), [(Some(Ending::Lost), Some(at(105)))]);
}

#[rstest]
fn usage_is_reported_with_a_lag(mut cell: Cell) {
    cell.first.sync(at(100), &start(1)).expect("a reply");
    let young = cell.first.sync(at(109), &look()).expect("a reply");
    let old = cell.first.sync(at(110), &look()).expect("a reply");
    assert!(young.inventory.running[0].usage.is_zero());
    assert_eq!(old.inventory.running[0].usage.cpu, Millicores(500));
}

#[rstest]
fn the_record_finds_a_task_that_ran_in_two_places(mut cell: Cell) {
    cell.first.sync(at(100), &start(1)).expect("a reply");
    let reply = cell.second.sync(at(129), &start(2)).expect("a reply");
    assert_eq!(reply.started, [Answer::Started]);
    cell.first.settle(at(200));
    cell.second.settle(at(200));
    let summary = cell.record.summary();
    assert_eq!(summary.violations.doubled_tasks, 1);
    assert_eq!(summary.repeated_tasks, 1);
}

#[rstest]
fn one_run_after_another_is_no_violation(mut cell: Cell) {
    cell.first.sync(at(100), &start(1)).expect("a reply");
    cell.second.sync(at(130), &start(2)).expect("a reply");
    cell.first.settle(at(200));
    cell.second.settle(at(200));
    assert_eq!(cell.record.summary().violations.total(), 0);
}

#[rstest]
fn a_record_that_is_full_says_what_it_left_out(mut cell: Cell) {
    for attempt in 1..=101 {
        let call = Sync {
            acknowledge: vec![(task(), Attempt(attempt - 1))],
            ..start(attempt)
        };
        cell.first
            .sync(at(u64::from(attempt) * 100), &call)
            .expect("a reply");
    }
    let summary = cell.record.summary();
    assert_eq!((summary.started, summary.dropped), (100, 1));
}

#[rstest]
fn a_worker_tells_only_what_has_changed_since_the_inventory_that_is_known(mut cell: Cell) {
    let mut view = View::default();
    let reply = cell.first.sync(at(100), &start(1)).expect("a reply");
    view.take(reply.inventory).expect("a whole inventory");
    let look_again = |view: &View| Sync {
        known: view.known(),
        renew_known: true,
        lease: secs(20),
        ..look()
    };
    let same = cell.first.sync(at(105), &look_again(&view));
    let same = same.expect("a reply").inventory;
    assert!(same.base.is_some() && same.running.is_empty());
    assert_eq!(view.take(same).expect("relative").running.len(), 1);

    // Its usage is first reported after ten seconds; the answer is lost.
    let lost = cell.first.sync(at(111), &look_again(&view));
    assert_eq!(lost.expect("a reply").inventory.running.len(), 1);
    let again = cell.first.sync(at(112), &look_again(&view));
    assert_eq!(again.expect("a reply").inventory.running.len(), 1);

    // The last call that renewed it lets the lease run down to 132.
    let ended = cell.first.sync(at(131), &look_again(&view));
    let ended = view.take(ended.expect("a reply").inventory);
    let ended = ended.expect("relative");
    assert_eq!(
        (ended.running.len(), ended.ended[0].end),
        (0, End::Succeeded)
    );
}

#[rstest]
fn a_new_life_renews_nothing_by_an_inventory_of_the_old_one(mut cell: Cell) {
    let mut view = View::default();
    let reply = cell.first.sync(at(100), &start(1)).expect("a reply");
    view.take(reply.inventory).expect("a whole inventory");
    cell.first.die(at(101));
    let short = Sync {
        lease: secs(5),
        ..start(2)
    };
    cell.first.sync(at(102), &short).expect("a reply");
    let renew = Sync {
        known: view.known(),
        renew_known: true,
        lease: secs(60),
        ..look()
    };
    let reply = cell.first.sync(at(104), &renew).expect("a reply");
    assert_eq!(reply.inventory.base, None);
    cell.first.settle(at(110));
    let last = ends(&cell.record).pop();
    assert_eq!(last, Some((Some(Ending::Lapsed), Some(at(107)))));
}
