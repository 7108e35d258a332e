//! A job that repeats every second for a year is handed in. Not a case: run by hand, see the report.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use review_standin::{
    cell::{self, Node},
    record::Record,
    store::Store,
    worker::{Offer, Worker},
};

const NODES: usize = 3;
const WORKERS: usize = 6;
const JOBS: usize = 20;
/// Once a second for a year, and once a second for a minute.
const MANY_REPEATS: u64 = 365 * 24 * 3_600;
const FEW_REPEATS: u64 = 60;
/// How long jobs are handed in, and when they are asked for after that (`finish_s`).
const TRAFFIC: Duration = Duration::from_secs(20);
const FINISH: Duration = Duration::from_secs(14);
/// How often the platform looks at the memory of the processes, and when it starts a killed one again.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const RESTART_DELAY: Duration = Duration::from_millis(500);

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
    for index in 0..WORKERS {
        let offer = Offer {
            id: format!("i-{index:08x}"),
            service: cell::SERVICE.to_owned(),
            zone: ["z-a", "z-b", "z-c"][index % 3].to_owned(),
            rack: format!("r1-{}", index % 3),
            cpu: 16_000,
            mem_mb: 32_768,
        };
        Worker::start(offer, &store, &record)?;
    }
    let nodes: io::Result<Vec<Node>> = (1..=NODES)
        .map(|index| Node::start(&format!("n{index}"), root, folder, &store))
        .collect();
    let mut nodes = nodes?;
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(15)))
    {
        record.tell("a node didn't become ready");
        return Ok(2);
    }
    thread::sleep(Duration::from_secs(2));
    let start = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        + FINISH;
    let repeats = if has_trouble {
        MANY_REPEATS
    } else {
        FEW_REPEATS
    };
    let body = format!(
        "{{\"Spec\":\"work 200 repeated\",\"Repeats\":{repeats},\"StartAtMs\":{},\"PeriodMs\":1000,\
         \"Steps\":[{{\"Count\":1,\"Cpu\":500,\"MemMb\":100,\"EstimateMs\":200}}]}}",
        start.as_millis()
    );
    let (status, _) = cell::call_job(nodes[0].callers, "POST", "00000000000000aa", &body);
    record.tell(&format!("POST of a job with {repeats} repeats -> {status}"));
    let (mut accepted, mut kills) = (Vec::new(), 0);
    for index in 0..JOBS {
        let job = format!("{:016x}", 0x5c0e_7a21_d94b_3600u64 + index as u64);
        let body = "{\"Spec\":\"work 500 plain\",\"Steps\":[{\"Count\":2,\"Cpu\":500,\"MemMb\":100,\"EstimateMs\":500}]}";
        let (status, _) = cell::call_job(nodes[index % NODES].callers, "POST", &job, body);
        record.line(&format!("POST {job} -> {status}"));
        if status == 200 {
            accepted.push(job);
        }
        kills += keep_within_memory(&mut nodes, TRAFFIC / JOBS as u32, &record)?;
    }
    kills += keep_within_memory(&mut nodes, FINISH, &record)?;
    let mut lost = 0;
    for (index, job) in accepted.iter().enumerate() {
        let (status, body) = cell::call_job(nodes[index % NODES].callers, "GET", job, "");
        record.line(&format!("GET {job} -> {status} {body}"));
        lost += usize::from(status != 200 || !body.contains("completed"));
        kills += keep_within_memory(&mut nodes, LOOK_INTERVAL, &record)?;
    }
    record.tell(&format!(
        "processes over 260 MB: {kills}; {} ordinary jobs accepted; LOST (not known, or without an answer in time): {lost}",
        accepted.len()
    ));
    Ok(u8::from(lost > 0))
}

/// Does for a while what the platform does with a process that exceeds its memory: it is killed, and started again.
fn keep_within_memory(nodes: &mut [Node], time: Duration, record: &Record) -> io::Result<usize> {
    let until = Instant::now() + time;
    let mut kills = 0;
    loop {
        for node in nodes.iter_mut() {
            let memory = node.memory_kb();
            if memory > cell::MEMORY_KB {
                record.line(&format!("{} uses {memory} kB and is killed", node.name()));
                node.kill();
                kills += 1;
                thread::sleep(RESTART_DELAY);
                node.run()?;
            }
        }
        if Instant::now() >= until {
            return Ok(kills);
        }
        thread::sleep(LOOK_INTERVAL);
    }
}
