//! What a replay costs for each record, and what an image takes for each job.

use std::{
    hint::black_box,
    sync::Arc, //
};

use criterion::{
    Criterion,
    Throughput,
    criterion_group,
    criterion_main, //
};
use fulmarpier_coordination::{
    journal::{
        Envelope,
        Header,
        Record,
        Replay, //
    },
    platform::log,
    recovery::Image,
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        JobId,
        NodeId,
        Offset,
        TaskId,
        WorkerId, //
    },
    job::{
        Kind,
        Payload,
        Priority,
        Spec,
        Spread, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};

const JOBS: u64 = 10_000;

fn spec() -> Arc<Spec> {
    Arc::new(Spec {
        team: "manifest".parse().expect("a name"),
        kind: Kind::Batch,
        size: Resources::new(Millicores(500), Bytes(1 << 29), 0),
        tasks: 1,
        priority: Priority::Normal,
        runtime: None,
        deadline: None,
        idempotent: true,
        checkpoint: false,
        spread: Spread::Any,
        payload: Payload {
            program: "build".to_owned(),
            args: vec!["--voyage".to_owned(), "LIE-0417".to_owned()],
        },
    })
}

/// Each job is accepted and its task started: two records a job.
fn history() -> Vec<log::Record> {
    let mut records = Vec::new();
    for number in 0..JOBS {
        let job = JobId::from_u128(u128::from(number) << 70 | 7);
        let accepted = Record::Accepted {
            job,
            spec: spec(),
            at: Timestamp::from_millis(number),
        };
        let starting = Record::Starting {
            task: TaskId::new(job, 0),
            attempt: Attempt(1),
            worker: WorkerId(17),
        };
        for record in [accepted, starting] {
            let sequence = records.len() as u64;
            let header = Header {
                node: NodeId(1),
                epoch: Epoch(5),
                sequence,
                base: None,
                at: Timestamp::from_millis(number),
            };
            records.push(log::Record {
                offset: Offset(sequence),
                data: Envelope { header, record }.encode().expect("a record"),
            });
        }
    }
    records
}

fn replay(records: &[log::Record]) -> Replay {
    let mut replay = Replay::from_beginning();
    for record in records {
        replay.on_record(record).expect("a whole record");
    }
    replay
}

fn bench(criterion: &mut Criterion) {
    let records = history();
    let stream: usize = records.iter().map(|record| record.data.len()).sum();
    let replayed = replay(&records);
    let image = replayed.image().expect("an image");
    let encoded = postcard::to_stdvec(image).expect("an image");
    println!(
        "{} records, {} bytes each; image {} bytes a job",
        records.len(),
        stream / records.len(),
        encoded.len() as u64 / JOBS
    );
    let mut group = criterion.benchmark_group("journal");
    group.throughput(Throughput::Elements(records.len() as u64));
    group.bench_function("replay", |b| b.iter(|| replay(black_box(&records))));
    group.throughput(Throughput::Elements(JOBS));
    group.bench_function("encode an image", |b| {
        b.iter(|| postcard::to_stdvec(black_box(image)).expect("an image"));
    });
    group.bench_function("decode an image", |b| {
        b.iter(|| postcard::from_bytes::<Image>(black_box(&encoded)).expect("an image"));
    });
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
