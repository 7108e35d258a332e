//! A worker is cut off and runs on while more than 500 of its tasks end.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    cell::{self, Node},
    record::Record,
    store::Store,
    worker::{Offer, Start, Worker},
};

const NODES: usize = 3;
/// One of six workers is cut off: a share of 0.167.
const WORKERS: usize = 6;
const JOBS: usize = 14;
const TASKS_PER_JOB: usize = 50;
/// How long each task works.
const WORK_MS: u64 = 3_000;
/// How long the cut lasts; the lease is 6 s.
const CUT: Duration = Duration::from_millis(4_500);
/// How long the script watches after the cut.
const WATCH: Duration = Duration::from_secs(12);

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
            "{{\"Spec\":\"work {WORK_MS} job {index}\",\"Steps\":[{{\"Count\":{TASKS_PER_JOB},\"Cpu\":20,\"MemMb\":40,\
             \"EstimateMs\":{WORK_MS}}}]}}"
        );
        let node = &nodes[index % NODES];
        let (status, _) = cell::call_job(node.callers, "POST", &job, &body);
        record.line(&format!("{} POST {job} -> {status}", node.name()));
        accepted += usize::from(status == 200);
    }
    record.tell(&format!("{accepted} of {JOBS} jobs were accepted"));
    let until = Instant::now() + Duration::from_millis(2_000);
    let running = || workers.iter().map(Worker::running).sum::<usize>();
    while running() < accepted * TASKS_PER_JOB && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
    // By then the owner has heard that the tasks run.
    thread::sleep(Duration::from_millis(500));
    let most = workers.iter().max_by_key(|worker| worker.running());
    let most = most.ok_or(io::ErrorKind::NotFound)?;
    let running = most.running();
    record.tell(&format!("{} runs {running} tasks", most.id()));
    if running <= 500 {
        record.tell("too few tasks on one worker: the case can't be shown");
        return Ok(2);
    }
    if has_trouble {
        record.tell(&format!("{} is cut off and runs on", most.id()));
        most.set_cut(true);
        thread::sleep(CUT);
        record.tell(&format!(
            "the cut heals; {} has {} ends to list",
            most.id(),
            most.listed_ends()
        ));
        most.set_cut(false);
    } else {
        thread::sleep(CUT);
    }
    thread::sleep(WATCH);
    for index in 0..JOBS {
        let job = format!("{:016x}", 0x5c0e_7a21_d94b_3600u64 + index as u64);
        let (status, body) = cell::call_job(nodes[0].callers, "GET", &job, "");
        record.line(&format!("GET {job} -> {status} {body}"));
    }
    let starts: Vec<Start> = workers.iter().flat_map(Worker::starts).collect();
    let broken = started_after_done(&starts);
    for (first, again) in broken.iter().take(10) {
        let end = first.end.as_ref();
        record.tell(&format!(
            "TWICE {}: run {} on {} ended done at {:.3}, taken note of at {:.3}; run {} started on {} at {:.3}",
            first.task,
            first.run,
            first.worker,
            end.map_or(0.0, |end| end.at.as_secs_f64()),
            end.and_then(|end| end.noted).unwrap_or_default().as_secs_f64(),
            again.run,
            again.worker,
            again.at.as_secs_f64()
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

/// Returns the starts of a task after a run of it has ended `done`, where that end was taken note of.
fn started_after_done(starts: &[Start]) -> Vec<(&Start, &Start)> {
    let mut broken = Vec::new();
    for first in starts {
        let Some(end) = first.end.as_ref().filter(|end| end.how == "done") else {
            continue;
        };
        if end.noted.is_none() {
            continue;
        }
        let again = starts
            .iter()
            .filter(|again| again.task == first.task && again.at > end.at);
        broken.extend(again.map(|again| (first, again)));
    }
    broken
}
