//! Faulty workers told from faulty jobs.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        JobId,
        WorkerId, //
    },
    reputation::{
        Book,
        Verdict, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000_000);

const fn job(id: u128) -> JobId {
    JobId::from_u128(id)
}

fn secs(count: u64) -> Timestamp {
    START + Duration::from_secs(count)
}

/// Lets each of the jobs come to a good end on each of the workers.
fn all_well(book: &mut Book, workers: u32, jobs: u128) {
    for (worker, id) in (0..workers).flat_map(|w| (0..jobs).map(move |j| (w, j))) {
        book.started_ok(WorkerId(worker), job(id), START);
        book.completed(WorkerId(worker), job(id), START);
    }
}

/// Fails one job after the other on a worker; returns how many until it is quarantined.
fn failures_until_quarantine(book: &mut Book, worker: WorkerId, jobs: &[u128]) -> Option<usize> {
    let mut verdicts = jobs.iter().map(|id| book.failed(worker, job(*id), secs(1)));
    verdicts
        .position(|verdict| verdict == Verdict::Quarantine(worker))
        .map(|at| at + 1)
}

#[rstest]
#[case::jobs_known_to_be_good(&[0, 1, 2, 3, 4, 5], Some(3))]
#[case::one_job_known_to_be_good(&[0, 0, 0, 0, 0, 0], Some(6))]
#[case::new_jobs(&[100, 101, 102, 103, 104, 105, 106, 107, 108], Some(9))]
#[case::one_new_job(&[100; 40], None)]
fn a_bad_worker_is_found_within_few_failures(
    #[case] jobs: &[u128],
    #[case] expected: Option<usize>,
) {
    let mut book = Book::new();
    all_well(&mut book, 20, 10);
    assert_eq!(
        failures_until_quarantine(&mut book, WorkerId(0), jobs),
        expected
    );
}

/// A new job is retried elsewhere with success, which tells more against the worker.
#[test]
fn success_elsewhere_speeds_up_the_finding() {
    let mut book = Book::new();
    all_well(&mut book, 20, 0);
    let bad = WorkerId(0);
    let mut failures = 0;
    for id in 100..110 {
        failures += 1;
        if book.failed(bad, job(id), START) == Verdict::Quarantine(bad) {
            break;
        }
        for worker in [1, 2, 3] {
            book.completed(WorkerId(worker), job(id), START);
        }
    }
    assert_eq!(failures, 5);
}

/// A hundred tasks of a job fail, two on each of fifty good workers.
#[rstest]
#[case::among_known_workers(10, 3)]
#[case::among_new_workers(0, 3)]
fn a_bad_job_is_held_and_no_worker_is_blamed(#[case] jobs: u128, #[case] expected: usize) {
    let mut book = Book::new();
    all_well(&mut book, 50, jobs);
    let bad = job(999);
    for worker in (0..50).chain(0..50) {
        book.started_ok(WorkerId(worker), bad, secs(1));
    }
    let workers = (0..50).chain(0..50);
    let verdicts: Vec<Verdict> = workers
        .map(|worker| book.failed(WorkerId(worker), bad, secs(2)))
        .collect();
    let first = verdicts.iter().position(|v| *v == Verdict::Hold(bad));
    assert_eq!(first, Some(expected - 1));
    assert_eq!(book.quarantined().count(), 0);
}

/// A job that was good on all workers fails on all of them, as when what it calls is down.
#[test]
fn a_good_job_that_turns_bad_is_held_and_no_worker_is_blamed() {
    let mut book = Book::new();
    all_well(&mut book, 20, 5);
    let mut held = false;
    for round in 0..10 {
        for worker in 0..20 {
            let verdict = book.failed(WorkerId(worker), job(0), secs(round));
            held |= verdict == Verdict::Hold(job(0));
        }
    }
    assert!(held);
    assert_eq!(book.quarantined().count(), 0);
}

/// Three tasks of a hundred fail while the others run on.
#[test]
fn a_job_most_of_whose_tasks_run_is_not_held() {
    let mut book = Book::new();
    all_well(&mut book, 30, 10);
    let busy = job(999);
    for worker in 0..30 {
        book.started_ok(WorkerId(worker), busy, START);
    }
    for worker in 0..3 {
        let at = secs(10 + 10 * u64::from(worker));
        assert_eq!(book.failed(WorkerId(worker), busy, at), Verdict::None);
    }
}

/// A service runs on thirty workers; a few can't start more of it.
#[test]
fn a_service_that_runs_is_not_held_for_failed_starts() {
    let mut book = Book::new();
    all_well(&mut book, 40, 10);
    let service = job(999);
    for worker in 0..30 {
        book.started_ok(WorkerId(worker), service, START);
    }
    for worker in 30..35 {
        let verdict = book.failed(WorkerId(worker), service, secs(7_200));
        assert_eq!(verdict, Verdict::None);
    }
}

/// Tasks that were stopped no longer speak for their job.
#[test]
fn a_job_whose_running_tasks_were_stopped_is_held() {
    let mut book = Book::new();
    all_well(&mut book, 40, 10);
    let gone = job(999);
    for worker in 0..30 {
        book.started_ok(WorkerId(worker), gone, START);
        book.stopped(WorkerId(worker), gone);
    }
    let fails = |worker| book.failed(WorkerId(worker), gone, secs(600));
    let verdicts: Vec<Verdict> = (30..33).map(fails).collect();
    assert_eq!(verdicts[2], Verdict::Hold(gone));
}

/// Everything fails on all workers: a fault they share must not close the cell.
#[test]
fn a_shared_fault_quarantines_at_most_a_quarter() {
    let mut book = Book::new();
    all_well(&mut book, 20, 10);
    let mut rng = StdRng::seed_from_u64(5);
    for step in 0..2_000 {
        let worker = WorkerId(rng.random_range(0..20));
        book.failed(worker, job(rng.random_range(0..50)), secs(step / 10));
    }
    assert!(book.quarantined().count() <= 5);
}

/// Five of eight workers turn bad one after the other, and the others do well.
#[test]
fn at_most_a_quarter_is_under_quarantine() {
    let mut book = Book::new();
    all_well(&mut book, 8, 10);
    for worker in 0..5 {
        for id in 0..10 {
            book.failed(WorkerId(worker), job(id), secs(1));
        }
        for (worker, id) in (5..8).flat_map(|w| (0..10).map(move |j| (w, j))) {
            book.completed(WorkerId(worker), job(id), secs(1));
        }
    }
    let quarantined: Vec<WorkerId> = book.quarantined().collect();
    assert_eq!(quarantined, [WorkerId(0), WorkerId(1)]);
}

/// A job that fails on some workers and does well on others is not at fault everywhere.
#[test]
fn a_job_that_does_well_on_a_third_of_the_workers_is_not_held() {
    let mut book = Book::new();
    all_well(&mut book, 12, 10);
    for worker in 0..4 {
        book.completed(WorkerId(worker), job(999), secs(1));
    }
    for worker in 4..12 {
        let verdict = book.failed(WorkerId(worker), job(999), secs(2));
        assert_eq!(verdict, Verdict::None);
    }
}

/// Many new jobs with the same fault fill one worker after the other.
#[test]
fn many_bad_jobs_blame_at_most_the_first_workers() {
    let mut book = Book::new();
    all_well(&mut book, 20, 10);
    for id in 0..320_u32 {
        let worker = WorkerId(id / 16);
        book.failed(worker, job(1_000 + u128::from(id)), secs(1));
    }
    assert_eq!(book.quarantined().count(), 2);
}

/// A job failed everywhere until it was mended; now its failure tells against the worker again.
#[test]
fn a_job_that_does_well_again_counts_as_good() {
    let mut book = Book::new();
    all_well(&mut book, 20, 10);
    for worker in 1..20 {
        book.failed(WorkerId(worker), job(0), secs(1));
    }
    for worker in 1..20 {
        book.completed(WorkerId(worker), job(0), secs(2));
        book.completed(WorkerId(worker), job(1), secs(2));
        book.completed(WorkerId(worker), job(2), secs(2));
        book.completed(WorkerId(worker), job(3), secs(2));
    }
    let found = failures_until_quarantine(&mut book, WorkerId(0), &[0, 1, 2, 3]);
    assert_eq!(found, Some(3));
}

/// One start in fifty fails by chance, for a long time.
#[test]
fn chance_failures_blame_nobody() {
    let mut book = Book::new();
    let mut rng = StdRng::seed_from_u64(6);
    for step in 0..50_000 {
        let worker = WorkerId(rng.random_range(0..50));
        let id = job(rng.random_range(0..40));
        let now = secs(step / 5);
        book.started_ok(worker, id, now);
        let verdict = match rng.random_range(0..50) {
            0 => book.failed(worker, id, now),
            _ => book.completed(worker, id, now),
        };
        assert_eq!(verdict, Verdict::None);
    }
}

/// A worker that takes starts and then fails each task is found all the same.
#[test]
fn a_worker_that_starts_and_then_fails_all_is_found() {
    let mut book = Book::new();
    all_well(&mut book, 20, 10);
    let bad = WorkerId(3);
    let mut failures = 0;
    for id in 0..10 {
        book.started_ok(bad, job(id), secs(1));
        failures += 1;
        if book.failed(bad, job(id), secs(2)) == Verdict::Quarantine(bad) {
            break;
        }
    }
    assert_eq!(failures, 3);
}

#[test]
fn a_worker_that_refuses_every_start_is_found() {
    let mut book = Book::new();
    all_well(&mut book, 20, 10);
    let bad = WorkerId(3);
    let mut verdicts = (0..20).map(|id| book.refused(bad, job(id), secs(1)));
    let found = verdicts.position(|verdict| verdict == Verdict::Quarantine(bad));
    assert_eq!(found, Some(6));
}

/// Puts worker 0 of twenty under quarantine at one second.
fn quarantined() -> Book {
    let mut book = Book::new();
    all_well(&mut book, 20, 10);
    let found = failures_until_quarantine(&mut book, WorkerId(0), &[0, 1, 2]);
    assert_eq!(found, Some(3));
    book
}

#[test]
fn probes_come_at_growing_intervals() {
    let mut book = quarantined();
    let worker = WorkerId(0);
    let mut waits = Vec::new();
    let mut last = secs(1);
    for _ in 0..10 {
        let due = book.next_probe().expect("under quarantine");
        assert!(!book.may_probe(worker, due.saturating_sub(Duration::from_micros(1))));
        assert!(book.may_probe(worker, due));
        waits.push(due.since(last).as_secs());
        book.probed(worker, due);
        assert!(!book.may_probe(worker, due));
        assert_eq!(book.failed(worker, job(3), due), Verdict::None);
        last = due;
    }
    assert_eq!(
        waits,
        [30, 60, 120, 240, 480, 960, 1_920, 3_600, 3_600, 3_600]
    );
}

#[test]
fn a_completed_probe_ends_the_quarantine_and_a_relapse_waits_longer() {
    let mut book = quarantined();
    let worker = WorkerId(0);
    book.probed(worker, secs(31));
    book.started_ok(worker, job(3), secs(31));
    assert!(book.is_quarantined(worker));
    assert_eq!(
        book.completed(worker, job(3), secs(40)),
        Verdict::Release(worker)
    );
    assert!(!book.is_quarantined(worker));

    let found = failures_until_quarantine(&mut book, worker, &[4, 5, 6]);
    assert_eq!(found, Some(3));
    assert_eq!(book.next_probe(), Some(secs(1 + 60)));
}

#[test]
fn a_probe_that_runs_on_ends_the_quarantine() {
    let mut book = quarantined();
    let worker = WorkerId(0);
    book.probed(worker, secs(31));
    book.started_ok(worker, job(3), secs(31));
    assert_eq!(book.next_probe(), Some(secs(91)));
    assert_eq!(book.release_proven(secs(90)), []);
    assert_eq!(book.release_proven(secs(91)), [worker]);
    assert!(!book.is_quarantined(worker));
    assert_eq!(book.next_probe(), None);
}

#[test]
fn a_probe_with_a_job_that_fails_everywhere_is_not_held_against_the_worker() {
    let mut book = quarantined();
    let worker = WorkerId(0);
    for other in 1..6 {
        book.failed(WorkerId(other), job(999), secs(20));
    }
    book.probed(worker, secs(31));
    book.failed(worker, job(999), secs(32));
    assert_eq!(book.next_probe(), Some(secs(32 + 30)));
}

#[test]
fn a_worker_blamed_for_a_bad_job_is_probed_at_once_when_the_job_is_held() {
    let mut book = quarantined();
    assert_eq!(book.next_probe(), Some(secs(31)));
    let mut held = false;
    for worker in 1..20 {
        held |= book.failed(WorkerId(worker), job(0), secs(5)) == Verdict::Hold(job(0));
    }
    assert!(held);
    assert!(book.may_probe(WorkerId(0), secs(5)));
}

#[test]
fn old_failures_are_forgotten() {
    let mut book = Book::new();
    all_well(&mut book, 20, 10);
    let worker = WorkerId(0);
    assert_eq!(book.failed(worker, job(0), secs(0)), Verdict::None);
    assert_eq!(book.failed(worker, job(1), secs(3_601)), Verdict::None);
}

#[test]
fn an_operator_may_quarantine_and_release() {
    let mut book = Book::new();
    book.quarantine(WorkerId(4), START);
    assert!(book.is_quarantined(WorkerId(4)));
    assert!(book.release(WorkerId(4)));
    assert!(!book.release(WorkerId(4)));
}
