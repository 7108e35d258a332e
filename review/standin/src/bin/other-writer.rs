//! Another writer puts an entry with missing fields under the key of a worker.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::Duration,
};

use review_standin::{
    cell::{self, Node},
    record::Record,
    store::Store,
    worker::{Offer, Start, Worker},
};

const NODES: usize = 3;
const WORKERS: usize = 6;
const JOBS: usize = 6;
const TASKS_PER_JOB: usize = 4;
/// How long each task works.
const WORK_MS: u64 = 8_000;
/// How long the script watches after the entry was written.
const WATCH: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> io::Result<u8> {
    let root = PathBuf::from(env::var("REVIEW_ROOT").map_err(io::Error::other)?);
    let case = PathBuf::from(env::var("REVIEW_CASE").map_err(io::Error::other)?);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let code = play(&root, &case, &folder, has_trouble);
    let _ = fs::remove_dir_all(&folder);
    code
}

fn play(root: &Path, case: &Path, folder: &Path, has_trouble: bool) -> io::Result<u8> {
    let record = Record::create(&case.join("record.txt"))?;
    let store = Store::start()?;
    cell::configure(&store);
    let workers: io::Result<Vec<Worker>> = (0..WORKERS)
        .map(|index| {
            let offer = Offer {
                id: format!("i-{index:08x}"),
                service: cell::SERVICE.to_owned(),
                zone: ["z-a", "z-b", "z-c"][index % 3].to_owned(),
                rack: format!("r1-{}", index % 3),
                cpu: 16_000,
                mem_mb: 32_768,
            };
            Worker::start(offer, &store, &record)
        })
        .collect();
    let workers = workers?;
    let nodes: io::Result<Vec<Node>> = (1..=NODES)
        .map(|index| Node::start(&format!("n{index}"), root, folder, &store))
        .collect();
    let nodes = nodes?;
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(15)))
    {
        record.tell("a node didn't become ready");
        return Ok(2);
    }
    thread::sleep(Duration::from_secs(2));
    let mut accepted = 0;
    for index in 0..JOBS {
        let job = format!("{:016x}", 0x5c0e_7a21_d94b_3600u64 + index as u64);
        let body = format!(
            "{{\"Spec\":\"work {WORK_MS} job {index}\",\"Steps\":[{{\"Count\":{TASKS_PER_JOB},\"Cpu\":2000,\
             \"MemMb\":1000,\"EstimateMs\":{WORK_MS}}}]}}"
        );
        let node = &nodes[index % NODES];
        let (status, _) = cell::call_job(node.callers, "POST", &job, &body);
        record.line(&format!("{} POST {job} -> {status}", node.name()));
        accepted += usize::from(status == 200);
    }
    record.tell(&format!("{accepted} of {JOBS} jobs were accepted"));
    thread::sleep(Duration::from_millis(1_500));
    let most = workers.iter().max_by_key(|worker| worker.running());
    let most = most.ok_or(io::ErrorKind::NotFound)?;
    let running: usize = workers.iter().map(Worker::running).sum();
    record.tell(&format!(
        "{running} tasks run, {} of them on {} at {}",
        most.running(),
        most.id(),
        most.address
    ));
    let other = workers.iter().find(|worker| worker.id() != most.id());
    let other = other.ok_or(io::ErrorKind::NotFound)?;
    if running < accepted * TASKS_PER_JOB {
        record.tell("not all tasks run: the case can't be shown");
        return Ok(2);
    }
    if has_trouble {
        // `Zone`, `Version`, `Slots`, `ColdLeftMs` and `Seq` are missing.
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"State\":\"ready\",\
             \"Capacity\":{{\"Cpu\":16000,\"MemMb\":32768}},\"Labels\":[\"a\",\"r1-0\"]}}",
            cell::SERVICE,
            other.address
        );
        record.tell(&format!(
            "another writer puts servers/{} = {entry}",
            most.id()
        ));
        store.put("keyed.servers", most.id(), &entry);
    }
    thread::sleep(WATCH);
    for index in 0..JOBS {
        let job = format!("{:016x}", 0x5c0e_7a21_d94b_3600u64 + index as u64);
        let (status, body) = cell::call_job(nodes[0].callers, "GET", &job, "");
        record.line(&format!("GET {job} -> {status} {body}"));
    }
    let starts: Vec<Start> = workers.iter().flat_map(Worker::starts).collect();
    let now = record.now();
    let broken = running_twice(&starts, now);
    for (first, second) in broken.iter().take(10) {
        record.tell(&format!(
            "TWICE {}: run {} on {} from {:.3} to {:.3}; run {} on {} from {:.3} to {:.3}",
            first.task,
            first.run,
            first.worker,
            first.at.as_secs_f64(),
            end(first, now).as_secs_f64(),
            second.run,
            second.worker,
            second.at.as_secs_f64(),
            end(second, now).as_secs_f64()
        ));
    }
    record.tell(&format!(
        "{} starts of {} tasks; TWICE: {}",
        starts.len(),
        accepted * TASKS_PER_JOB,
        broken.len()
    ));
    Ok(u8::from(!broken.is_empty()))
}

/// Returns when a run ended, or the present time if it hasn't.
fn end(start: &Start, now: Duration) -> Duration {
    start.end.as_ref().map_or(now, |end| end.at)
}

/// Returns the pairs of runs of one task that were at work at the same time.
fn running_twice(starts: &[Start], now: Duration) -> Vec<(&Start, &Start)> {
    let mut broken = Vec::new();
    for first in starts {
        let later = starts.iter().filter(|second| {
            second.task == first.task
                && second.run != first.run
                && first.at <= second.at
                && second.at < end(first, now)
        });
        broken.extend(later.map(|second| (first, second)));
    }
    broken
}
