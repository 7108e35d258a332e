//! The last machine of the system loses the store for moments.

use std::{
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
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
const WORKERS: usize = 12;
/// How many times the store is silent, for how long, and the pause after it.
const OUTAGES: usize = 14;
const OUTAGE: Duration = Duration::from_millis(1_550);
const PAUSE: Duration = Duration::from_millis(2_450);
/// A job is handed in this often; its tasks end one after the other.
const JOB_INTERVAL: Duration = Duration::from_millis(60);
const TASKS_PER_JOB: usize = 5;
/// How long a requester goes on with a job that got no 2xx.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const ATTEMPTS: usize = 5;

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
    let mut nodes = nodes?;
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(15)))
    {
        record.tell("a node didn't become ready");
        return Ok(2);
    }
    thread::sleep(Duration::from_secs(2));
    let callers: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let requesting = {
        let (record, is_over) = (record.clone(), is_over.clone());
        thread::spawn(move || hand_in(&callers, &record, &is_over))
    };
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        record.tell("two of the three machines are lost for good");
        for node in nodes.iter_mut().skip(1) {
            node.kill();
        }
    }
    thread::sleep(Duration::from_secs(3));
    for _ in 0..OUTAGES {
        record.line("the store falls silent");
        store.set_silent(has_trouble);
        thread::sleep(OUTAGE);
        store.set_silent(false);
        record.line("the store answers again");
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    let accepted = requesting.join().unwrap_or_default();
    // `finish_s` after the end of the traffic the jobs are asked for.
    thread::sleep(Duration::from_secs(14));
    let mut unknown = 0;
    for job in &accepted {
        let (status, body) = cell::call_job(nodes[0].callers, "GET", job, "");
        record.line(&format!("GET {job} -> {status} {body}"));
        unknown += usize::from(status == 410);
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
        "{} jobs accepted, {unknown} of them unknown at the end; {} starts; TWICE: {}",
        accepted.len(),
        starts.len(),
        broken.len()
    ));
    Ok(u8::from(!broken.is_empty()))
}

/// Hands in jobs until told to stop; returns the ids of those that were accepted.
fn hand_in(callers: &[SocketAddr], record: &Record, is_over: &AtomicBool) -> Vec<String> {
    let mut threads = Vec::new();
    for index in 0u64.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let (callers, record) = (callers.to_vec(), record.clone());
        threads.push(thread::spawn(move || hand_in_job(&callers, &record, index)));
        thread::sleep(JOB_INTERVAL);
    }
    let accepted = threads.into_iter().filter_map(|thread| thread.join().ok());
    accepted.flatten().collect()
}

/// Hands in one job, at one machine after the other; returns its id if it was accepted.
fn hand_in_job(callers: &[SocketAddr], record: &Record, index: u64) -> Option<String> {
    let job = format!("{:016x}", 0x5c0e_7a21_d94b_3600u64 + index);
    let body = format!(
        "{{\"Spec\":\"work 300 180 job {index}\",\"Steps\":[{{\"Count\":{TASKS_PER_JOB},\"Cpu\":500,\
         \"MemMb\":100,\"EstimateMs\":700}}]}}"
    );
    for attempt in 0..ATTEMPTS {
        // Without an answer a requester turns to the next machine; a machine that is lost refuses the channel.
        for caller in callers {
            let (status, _) = cell::call_job(*caller, "POST", &job, &body);
            record.line(&format!("POST {job} attempt {attempt} -> {status}"));
            if status == 200 {
                return Some(job);
            }
        }
        thread::sleep(RETRY_INTERVAL);
    }
    None
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
