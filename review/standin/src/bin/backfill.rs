//! A job makes up for a week of runs: 2,016 occurrences of 50 steps, all of them due.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use review_standin::{
    cell::{self, Node},
    record::Record,
    store::Store,
    worker::{Offer, Start, Worker},
};

const NODES: usize = 3;
const WORKERS: usize = 6;
const CPU: u64 = 16_000;
/// Every five minutes for a week, and for less than two hours.
const MANY_REPEATS: u64 = 7 * 24 * 12;
const FEW_REPEATS: u64 = 20;
const PERIOD: Duration = Duration::from_secs(300);
const STEPS: usize = 50;
/// What a task of the job asks for, and how long it works.
const TASK_CPU: u64 = 100;
const TASK_MS: u64 = 100;
/// Ordinary jobs, handed in one after the other.
const JOBS: usize = 30;
const JOB_TASKS: u64 = 2;
/// What each of their tasks asks for, which is more than a task of the other job does.
const JOB_CPU: u64 = 500;
const JOB_MEM_MB: u64 = 100;
const JOB_INTERVAL: Duration = Duration::from_millis(500);
/// When the jobs are asked for after the end of the traffic (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// For so long the rule has a job wait with nothing running before it is broken.
const WAIT: Duration = Duration::from_secs(3);

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
                cpu: CPU,
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
    let repeats = if has_trouble {
        MANY_REPEATS
    } else {
        FEW_REPEATS
    };
    let (status, _) = cell::call_job(
        nodes[0].callers,
        "POST",
        "00000000000000aa",
        &backfill(repeats),
    );
    record.tell(&format!(
        "POST of a job with {repeats} repeats of {STEPS} steps -> {status}"
    ));
    let mut accepted = Vec::new();
    for index in 0..JOBS {
        thread::sleep(JOB_INTERVAL);
        let job = format!("{:016x}", 0x5c0e_7a21_d94b_3600u64 + index as u64);
        let body = "{\"Spec\":\"work 500 plain\",\"Steps\":[{\"Count\":2,\"Cpu\":500,\"MemMb\":100,\"EstimateMs\":500}]}";
        let (status, _) = cell::call_job(nodes[index % NODES].callers, "POST", &job, body);
        record.line(&format!("POST {job} -> {status}"));
        if status == 200 {
            accepted.push(job);
        }
    }
    record.tell(&format!(
        "{} of {JOBS} ordinary jobs were accepted",
        accepted.len()
    ));
    thread::sleep(FINISH);
    // What the rule asks for: 3 s with nothing of a job running, while under half of the capacity is in use.
    let begun = waiting(&accepted, &workers);
    let mut most_used = 0;
    let mut least_room = u64::MAX;
    let until = record.now() + WAIT;
    while record.now() < until {
        let used = workers
            .iter()
            .map(|worker| worker.running() as u64 * JOB_CPU);
        most_used = used.sum::<u64>().max(most_used);
        let room = workers
            .iter()
            .map(|worker| worker.room_for(JOB_CPU, JOB_MEM_MB));
        least_room = room.sum::<u64>().min(least_room);
        thread::sleep(Duration::from_millis(20));
    }
    let still = waiting(&accepted, &workers);
    let room = WORKERS as u64 * CPU;
    record.tell(&format!(
        "for 3 s at most {most_used} of {room} thousandths of a core are in use, with room for {least_room} more tasks"
    ));
    let mut lost = 0;
    for (index, job) in accepted.iter().enumerate() {
        let (status, body) = cell::call_job(nodes[index % NODES].callers, "GET", job, "");
        record.line(&format!("GET {job} -> {status} {body}"));
        let has_waited = begun.contains(job) && still.contains(job);
        let has_room = most_used * 2 < room && least_room >= 2 * JOB_TASKS;
        let is_broken = status != 200 || (has_waited && has_room);
        lost += usize::from(is_broken && !body.contains("completed"));
    }
    let (status, body) = cell::call_job(nodes[1].callers, "GET", "00000000000000aa", "");
    record.tell(&format!("the repeating job: {status} {body}"));
    record.tell(&format!(
        "LOST: {lost} of {} ordinary jobs have nothing running although there is room",
        accepted.len()
    ));
    Ok(u8::from(lost > 0))
}

/// Returns a job whose occurrences were due every five minutes up to now: a chain of small steps.
fn backfill(repeats: u64) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let start = now.saturating_sub(PERIOD * u32::try_from(repeats).unwrap_or(u32::MAX));
    let steps = (0..STEPS).map(|index| {
        let after = match index.checked_sub(1) {
            Some(before) => format!(",\"After\":[{before}]"),
            None => String::new(),
        };
        format!("{{\"Count\":1,\"Cpu\":{TASK_CPU},\"MemMb\":64,\"EstimateMs\":{TASK_MS}{after}}}")
    });
    let steps: Vec<String> = steps.collect();
    format!(
        "{{\"Spec\":\"work {TASK_MS} backfill\",\"Repeats\":{repeats},\"StartAtMs\":{},\"PeriodMs\":{},\"Steps\":[{}]}}",
        start.as_millis(),
        PERIOD.as_millis(),
        steps.join(",")
    )
}

/// Returns the jobs of which no task has been started.
fn waiting(jobs: &[String], workers: &[Worker]) -> Vec<String> {
    let starts: Vec<Start> = workers.iter().flat_map(Worker::starts).collect();
    let is_waiting = |job: &&String| {
        !starts
            .iter()
            .any(|start| start.task.starts_with(job.as_str()))
    };
    jobs.iter().filter(is_waiting).cloned().collect()
}
