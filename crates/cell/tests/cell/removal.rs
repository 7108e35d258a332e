//! Finished jobs: their acceptance is removed from the store, their outcome stays.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_cell::{
    bounds::Bounds,
    effect::{
        Effect,
        Removal, //
    },
    engine::{
        Engine,
        State,
        StoredState, //
    },
    id::{
        Epoch,
        JobId,
        QueueName, //
    },
    job::Spec,
    record::{
        self,
        Accepted,
        Cancellation,
        Cancelled,
        Entry,
        Outcome,
        Progress, //
    },
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    queue,
    quick_step, //
};

#[test]
fn the_outcome_of_a_job_outlives_its_acceptance_and_a_takeover() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let completed: Vec<JobId> = (0..10)
        .map(|_| world.submit("urgent", vec![quick_step()]))
        .collect();
    let cancelled = world.submit("batch", vec![quick_step()]);
    world.cancel(cancelled);
    world.run(Duration::from_secs(12));
    let open = world.submit("batch", vec![quick_step()]);
    world.run(Duration::from_millis(100));
    let starts = world.starts;
    assert_eq!(
        world.stored_acceptances().count(),
        1,
        "only the unfinished job"
    );
    world.take_over();
    for job in &completed {
        world.resubmit(*job);
    }
    world.run(Duration::from_secs(12));
    let state = |job| world.engine.state(job);
    assert!(
        completed
            .iter()
            .all(|job| state(*job) == Some(State::Completed))
    );
    assert_eq!(state(cancelled), Some(State::Cancelled));
    assert_eq!(state(open), Some(State::Completed));
    assert_eq!(world.starts, starts, "no finished job runs again");
    assert_eq!(world.stored_acceptances().count(), 0);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Callers may cancel a job while the cell has no owner that knows it.
#[test]
fn a_job_that_was_cancelled_before_it_was_known_never_starts_and_is_shown_as_cancelled() {
    let now = Timestamp::from_millis(2_000);
    let id = accepted(7).job;
    let mut engine = Engine::new(Epoch(1), Bounds::default(), StoredState::default(), now);
    engine.cancel(&cancelled(id, Cancellation::UnknownJob), now);
    assert_eq!(
        engine.state(id),
        None,
        "the job may never have been submitted"
    );
    engine.submit(accepted(7), now);
    assert_eq!(engine.state(id), Some(State::Cancelled));
    assert_eq!(engine.counts().open_steps, 0);
    assert_eq!(engine.pending(&QueueName::from("urgent")), 0);
    engine.advance(now);
    let effects = engine.advance(now + Duration::from_secs(4));
    let removals = effects.into_iter().find_map(|effect| match effect {
        Effect::Remove(jobs) => Some(jobs),
        _ => None,
    });
    let expected = Removal {
        job: id,
        workspace: None,
        partition: 0,
        cancellation: Some(Cancellation::KnownJob),
    };
    assert_eq!(removals, Some(vec![expected]));
    assert_eq!(engine.state(id), Some(State::Cancelled));
}

/// The store has refused the job, and the node's message about this got lost. Callers must not see a refused job, and
/// the store has no acceptance of it to remove.
#[test]
fn a_cancelled_job_that_was_only_announced_is_neither_shown_nor_removed() {
    let start = Timestamp::from_millis(2_000);
    let id = accepted(7).job;
    let mut engine = Engine::new(Epoch(1), Bounds::default(), StoredState::default(), start);
    engine.advance(start);
    let now = start + Duration::from_millis(500);
    engine.announce(accepted(7), now);
    engine.cancel(&cancelled(id, Cancellation::UnknownJob), now);
    let mut removals = Vec::new();
    for step in 1..80 {
        let effects = engine.advance(now + Duration::from_millis(100) * step);
        removals.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Remove(jobs) => Some(jobs),
            _ => None,
        }));
    }
    assert_eq!(engine.state(id), None, "the job was never accepted");
    assert_eq!(removals, Vec::<Vec<Removal>>::new());
}

/// The next owner knows only from the cancellation whether the job was ever submitted.
#[rstest]
#[case::unknown_job(Cancellation::UnknownJob, None)]
#[case::known_job(Cancellation::KnownJob, Some(State::Cancelled))]
fn a_cancelled_job_without_an_acceptance_on_record_is_shown_if_it_was_submitted(
    #[case] cancellation: Cancellation,
    #[case] shown: Option<State>,
) {
    let now = Timestamp::from_millis(2_000);
    let id = accepted(7).job;
    let stored = StoredState {
        cancelled: vec![
            cancelled(id, cancellation),
            cancelled(id, Cancellation::UnknownJob),
        ],
        ..StoredState::default()
    };
    let mut engine = Engine::new(Epoch(2), Bounds::default(), stored, now);
    assert_eq!(engine.state(id), shown);
    engine.submit(accepted(7), now);
    assert_eq!(engine.state(id), Some(State::Cancelled));
}

fn cancelled(job: JobId, cancellation: Cancellation) -> Cancelled {
    Cancelled {
        job,
        workspace: None,
        cancellation,
    }
}

/// How many jobs there are in a day of the load that the cell is designed for.
const DAILY_JOBS: u64 = 12_000;

fn accepted(job: u64) -> Accepted {
    Accepted {
        job: JobId(job << 32),
        queue: queue("urgent", 0, true).into(),
        spec: Spec {
            payload: "x".repeat(250).into(),
            steps: vec![quick_step()],
            schedule: None,
        }
        .into(),
        workspace: None,
        received: Timestamp::from_millis(1_000),
        partition: 0,
    }
}

fn encoded_len(entry: &Entry) -> usize {
    entry.key().len() + record::encode(entry).unwrap().len()
}

#[test]
fn a_takeover_reads_little_of_finished_jobs() {
    let finished = Progress {
        outcome: Some(Outcome::Completed),
        ..Progress::default()
    };
    let all: Vec<Accepted> = (0..DAILY_JOBS).map(accepted).collect();
    let ended = all.iter().map(|accepted| (accepted.job, finished.clone()));
    let stored = StoredState {
        accepted: all.clone(),
        progress: ended.clone().collect(),
        ..StoredState::default()
    };
    let now = Timestamp::from_millis(2_000);
    let mut engine = Engine::new(Epoch(2), Bounds::default(), stored, now);
    engine.advance(now);
    let effects = engine.advance(now + Duration::from_secs(4));
    let removals = effects.iter().filter_map(|effect| match effect {
        Effect::Remove(jobs) => Some(jobs.len()),
        _ => None,
    });
    assert_eq!(removals.sum::<usize>(), all.len());
    let acceptance_sizes = all
        .iter()
        .map(|accepted| record::encode(accepted).unwrap().len());
    let acceptance_bytes: usize = acceptance_sizes.sum();
    let remaining_bytes: usize = ended
        .map(|(job, progress)| encoded_len(&Entry::job(job, progress)))
        .sum();
    println!(
        "{remaining_bytes} bytes for {DAILY_JOBS} finished jobs, {} with their acceptances",
        remaining_bytes + acceptance_bytes
    );
    assert!(remaining_bytes <= 400_000, "{remaining_bytes} bytes");
    assert_eq!(engine.state(JobId(7 << 32)), Some(State::Completed));
}

/// How many jobs are open whenever a takeover is measured.
const OPEN_JOBS: u64 = 300;

/// Applies what an owner has written to the records of the store.
fn store(records: &mut BTreeMap<String, Entry>, entries: &[Entry]) {
    for entry in entries {
        match entry.is_removal() {
            true => drop(records.remove(&entry.key())),
            false => drop(records.insert(entry.key(), entry.clone())),
        }
    }
}

/// Returns the state that a new owner reads from records.
fn stored_state<'a>(records: impl Iterator<Item = &'a Entry>) -> StoredState {
    let mut stored = StoredState::default();
    for entry in records {
        match entry {
            Entry::Outcomes(_, ended) => stored.ended.extend(ended.iter().cloned()),
            Entry::PlainJob(job, progress) => {
                stored.progress.push((*job, progress.clone().into()));
            }
            _ => panic!("{entry:?}"),
        }
    }
    stored
}

/// Returns the records of jobs that are over as a former owner has left them, each on its own.
fn single_outcomes(jobs: u64) -> BTreeMap<String, Entry> {
    let finished = Progress {
        outcome: Some(Outcome::Completed),
        ..Progress::default()
    };
    let entries = (0..jobs).map(|job| Entry::job(accepted(job).job, finished.clone()));
    entries.map(|entry| (entry.key(), entry)).collect()
}

/// Returns the records after an owner has had time to tidy them up.
fn records_after(jobs: u64) -> BTreeMap<String, Entry> {
    let mut records = single_outcomes(jobs);
    let mut now = Timestamp::from_millis(2_000);
    let stored = stored_state(records.values());
    let mut engine = Engine::new(Epoch(2), Bounds::default(), stored, now);
    for _ in 0..200 {
        for effect in engine.advance(now) {
            if let Effect::Record(entries) = effect {
                store(&mut records, &entries);
                engine.handle_recorded(now);
            }
        }
        now = now + Duration::from_secs(2);
    }
    records
}

/// Guards against takeovers that cost by all jobs that were ever accepted.
#[test]
fn a_takeover_reads_hardly_more_records_after_30_000_jobs_than_after_300() {
    let read = |accepted: u64| {
        let records = records_after(accepted - OPEN_JOBS);
        let bytes: usize = records.values().map(encoded_len).sum();
        let open_bytes: usize = (0..OPEN_JOBS)
            .map(|job| record::encode(&self::accepted(job)).unwrap().len())
            .sum();
        (
            records.len() + usize::try_from(OPEN_JOBS).unwrap(),
            bytes + open_bytes,
        )
    };
    let (few, many) = (read(300), read(30_000));
    println!("records and bytes: {few:?} after 300 jobs, {many:?} after 30,000");
    assert!(many.0 <= 3 * few.0, "{many:?} instead of {few:?}");
    assert!(many.1 <= 5 * few.1, "{many:?} instead of {few:?}");
}

/// The owner may stop after any part of a write that takes several appends.
#[test]
fn no_outcome_is_lost_or_counted_twice_wherever_the_owner_stops_packing() {
    let jobs = 40;
    let mut records = single_outcomes(jobs);
    let bounds = Bounds {
        outcomes_per_record: 8,
        ..Bounds::default()
    };
    let now = Timestamp::from_millis(2_000);
    for (epoch, kept) in (2..60u32).zip((0..=9).cycle()) {
        let stored = stored_state(records.values());
        let mut engine = Engine::new(Epoch(epoch), bounds, stored, now);
        let total = usize::try_from(jobs).unwrap();
        assert_eq!(engine.counts().jobs, total, "in epoch {epoch}");
        for job in 0..jobs {
            assert!(!engine.submit(accepted(job), now), "job {job} runs again");
            assert_eq!(engine.state(accepted(job).job), Some(State::Completed));
        }
        for step in 0..2 {
            for effect in engine.advance(now + Duration::from_secs(step)) {
                if let Effect::Record(entries) = effect {
                    store(&mut records, &entries[..kept.min(entries.len())]);
                }
            }
        }
    }
    assert!(records.len() <= 20, "{} records", records.len());
}
