//! Measures what a takeover costs after 300, 3,000 and 30,000 accepted jobs of which 300 are open: decoding the records
//! and restoring the engine, with a record for each outcome and with many outcomes in a record.
//!
//! Pages that the store needs for the records are counted, but not fetched.

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use fulmarpier_cell::{
    bounds::Bounds,
    config::Queue,
    engine::{
        Engine,
        Restoration,
        StoredState, //
    },
    id::{
        Epoch,
        JobId,
        PoolName,
        QueueName, //
    },
    job::{
        Spec,
        Step, //
    },
    record::{
        self,
        Accepted,
        Ended,
        Entry,
        Outcome,
        OutcomesId,
        Progress, //
    },
};
use fulmarpier_state::clock::Timestamp;

/// How many jobs are open.
const OPEN_JOBS: u64 = 300;
/// How often each takeover is repeated; the shortest counts.
const REPETITIONS: usize = 20;
/// How many records are restored in one piece.
const RECORDS_PER_PIECE: usize = 64;
/// How many records a page of the store holds at most.
const RECORDS_PER_PAGE: usize = 500;

fn id(job: u64) -> JobId {
    JobId(job.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn acceptance(job: u64) -> Vec<u8> {
    let queue = Queue {
        name: QueueName::from("q"),
        pool: PoolName::from("p"),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        objective_offset: Duration::from_secs(1),
        advice: None,
    };
    let step = Step {
        count: 2,
        estimate: Duration::from_secs(1),
        ..Step::default()
    };
    let accepted = Accepted {
        job: id(job),
        queue: queue.into(),
        workspace: None,
        spec: Spec {
            payload: "x".repeat(250).into(),
            steps: vec![step],
            schedule: None,
        }
        .into(),
        received: Timestamp::from_millis(job),
        partition: 0,
    };
    record::encode(&accepted).expect("it can be encoded")
}

fn entries(jobs: impl Iterator<Item = u64>, is_packed: bool) -> Vec<Entry> {
    let outcome = Outcome::Completed;
    let jobs: Vec<JobId> = jobs.map(id).collect();
    let size = Bounds::default().outcomes_per_record;
    let blocks = jobs
        .chunks(size)
        .filter(|jobs| is_packed && jobs.len() == size);
    let packed: Vec<Entry> = (1u32..)
        .zip(blocks)
        .map(|(number, jobs)| {
            let epoch = Epoch(1);
            let ended = Ended {
                outcome,
                workspace: None,
                jobs: jobs.to_vec(),
            };
            Entry::Outcomes(OutcomesId { epoch, number }, vec![ended])
        })
        .collect();
    let single = jobs.iter().skip(packed.len() * size).map(|job| {
        let progress = Progress {
            outcome: Some(outcome),
            ..Progress::default()
        };
        Entry::job(*job, progress)
    });
    packed.iter().cloned().chain(single).collect()
}

/// Returns how long a takeover takes, and its longest piece.
fn take_over(acceptances: &[Vec<u8>], progress: &[Vec<u8>]) -> (Duration, Duration) {
    let began = Instant::now();
    let mut stored = StoredState::default();
    for value in acceptances {
        stored.accepted.extend(record::decode::<Accepted>(value));
    }
    for value in progress {
        match record::decode(value) {
            Ok(Entry::PlainJob(job, progress)) => stored.progress.push((job, progress.into())),
            Ok(Entry::Outcomes(_, ended)) => stored.ended.extend(ended),
            _ => {}
        }
    }
    let now = Timestamp::from_millis(1_000_000);
    let mut restoration = Restoration::new(Epoch(2), Bounds::default(), stored, now);
    let mut longest = Duration::ZERO;
    loop {
        let piece = Instant::now();
        let goes_on = restoration.advance(RECORDS_PER_PIECE);
        longest = longest.max(piece.elapsed());
        if !goes_on {
            break;
        }
    }
    let engine: Engine = restoration.finish();
    let took = began.elapsed();
    black_box(engine);
    (took, longest)
}

fn main() {
    println!("accepted  form    records  pages  bytes    took_us  longest_piece_us");
    for accepted in [300, 3_000, 30_000] {
        let acceptances: Vec<Vec<u8>> = (0..OPEN_JOBS).map(acceptance).collect();
        for (form, is_packed) in [("single", false), ("packed", true)] {
            let entries = entries(OPEN_JOBS..accepted, is_packed);
            let keys: usize = entries.iter().map(|entry| entry.key().len()).sum();
            let values = entries
                .iter()
                .filter_map(|entry| record::encode(entry).ok());
            let values: Vec<Vec<u8>> = values.collect();
            let bytes = keys + values.iter().map(Vec::len).sum::<usize>();
            let runs = (0..REPETITIONS).map(|_| take_over(&acceptances, &values));
            let (took, longest) = runs.min().unwrap_or_default();
            println!(
                "{accepted:<9} {form:<7} {:<8} {:<6} {bytes:<8} {:<8} {}",
                values.len(),
                values.len().div_ceil(RECORDS_PER_PAGE),
                took.as_micros(),
                longest.as_micros()
            );
        }
    }
}
