//! A worker: it runs tasks on orders, holds them under a lease, and lists them and their ends.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request},
    json::{self, Value},
    record::Record,
    store::Store,
};

/// The most channels that a worker serves at once.
const CHANNELS: usize = 64;
/// The most ends in one answer.
const ENDS_PER_ANSWER: usize = 500;
/// The longest lease.
const HOLD_MAX: Duration = Duration::from_millis(6_000);
/// How often a worker reports its state.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(100);
/// How often a worker looks at its tasks.
const TICK: Duration = Duration::from_millis(2);

/// What a worker is and offers.
#[derive(Clone)]
pub struct Offer {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// A start of a task, and how and when it ended.
#[derive(Clone, Debug)]
pub struct Start {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub spec: String,
    pub at: Duration,
    pub end: Option<End>,
}

/// The end of a run.
#[derive(Clone, Debug)]
pub struct End {
    pub how: &'static str,
    pub at: Duration,
    pub serial: u64,
    /// When `LastSeen` reached it; `None` also if the worker's lease lapsed between the two, which the rules excuse.
    pub noted: Option<Duration>,
}

struct Run {
    /// The position in the list of starts.
    start: usize,
    ends_at: Instant,
    /// When it ends because of a stop.
    stops_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_end: Option<Instant>,
    runs: BTreeMap<(String, u64), Run>,
    /// The highest run of each task that was stopped or ended here.
    over: BTreeMap<String, u64>,
    finished: VecDeque<(u64, String, u64, &'static str, usize)>,
    last_serial: u64,
    starts: Vec<Start>,
    /// When the lease last lapsed.
    lapsed: Option<Duration>,
    is_cut: bool,
}

struct Shared {
    offer: Offer,
    began: Instant,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

/// A running worker; cheap to clone.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Worker {
    /// Starts a worker that reports to a store.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub fn start(offer: Offer, store: &Store, record: &Record) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            offer,
            began: Instant::now(),
            record: record.clone(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = shared.clone();
        let address = http::serve(CHANNELS, move |request| served.answer(&request))?;
        let worker = Self { shared, address };
        let ticking = worker.shared.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        let (reporting, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            for seq in 1u64.. {
                store.put("keyed.servers", reporting.id(), &reporting.report(seq));
                thread::sleep(REPORT_INTERVAL);
            }
        });
        Ok(worker)
    }

    pub fn id(&self) -> &str {
        &self.shared.offer.id
    }

    /// Returns what the worker reports of itself.
    fn report(&self, seq: u64) -> String {
        let offer = &self.shared.offer;
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\
             \"Labels\":[\"a\",\"{}\"],\"ClockMs\":{},\"Seq\":{seq}}}",
            offer.service,
            self.address,
            offer.zone,
            offer.cpu,
            offer.mem_mb,
            offer.rack,
            self.shared.clock_ms()
        )
    }

    /// Cuts the worker off from all machines of the system, or heals the cut. It runs on meanwhile. Calls that reach
    /// it during the cut are lost, and so are the answers that it would have given.
    pub fn set_cut(&self, is_cut: bool) {
        self.shared.lock().is_cut = is_cut;
        self.shared.changed.notify_all();
    }

    /// Returns all starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.shared.lock().starts.clone()
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> usize {
        self.shared.lock().runs.len()
    }

    /// Returns how many more tasks of a size fit, if none that runs takes more than that.
    pub fn room_for(&self, cpu: u64, mem_mb: u64) -> u64 {
        let running = self.running() as u64;
        let offer = &self.shared.offer;
        let fits = (offer.cpu / cpu).min(offer.mem_mb / mem_mb);
        fits.saturating_sub(running)
    }

    /// Returns how many ends are listed and not yet taken note of.
    pub fn listed_ends(&self) -> usize {
        self.shared.lock().finished.len()
    }
}

/// Returns how long a task takes: its text is `work MILLIS [MORE] ...`, where MORE is added for each index of the task.
fn work(spec: &str, task: &str) -> Duration {
    let mut words = spec.split(' ').skip(1);
    let mut millis = || words.next().and_then(|text| text.parse::<u64>().ok());
    let (first, more) = (millis().unwrap_or(1_000), millis().unwrap_or(0));
    let index = task.rsplit('.').next().and_then(|text| text.parse().ok());
    Duration::from_millis(first + more * index.unwrap_or(0))
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends what is done or stopped, and everything if the lease has expired.
    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let is_expired = state.lease_end.is_some_and(|end| end <= now);
        if is_expired {
            state.lease_end = None;
            state.lapsed = Some(self.record.now());
            self.record.line(&format!("{} lease lapsed", self.offer.id));
        }
        let mut over = Vec::new();
        for ((task, run), running) in &state.runs {
            let how = match () {
                () if running.ends_at <= now => "done",
                () if running.stops_at.is_some_and(|at| at <= now) => "stopped",
                () if is_expired => "lapsed",
                () => continue,
            };
            over.push((task.clone(), *run, running.start, how));
        }
        for (task, run, start, how) in over {
            state.runs.remove(&(task.clone(), run));
            state.last_serial += 1;
            let serial = state.last_serial;
            let at = self.record.now();
            state.starts[start].end = Some(End {
                how,
                at,
                serial,
                noted: None,
            });
            let highest = state.over.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            let line = format!("{} end {serial} {task} run {run} {how}", self.offer.id);
            self.record.line(&line);
            state.finished.push_back((serial, task, run, how, start));
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.is_lost() {
            return Answer::Close;
        }
        let answer = self.carry_out(request);
        match self.is_lost() {
            true => Answer::Close,
            false => answer,
        }
    }

    /// Waits while the worker is cut off; returns whether it was.
    fn is_lost(&self) -> bool {
        let mut state = self.lock();
        let was_cut = state.is_cut;
        while state.is_cut {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        was_cut
    }

    fn carry_out(&self, request: &Request) -> Answer {
        let expected = request.headers.get("x-expected-instance");
        if expected.is_some_and(|id| *id != self.offer.id) {
            return Answer::json(421, String::new());
        }
        let Some(body) = json::parse(&request.body) else {
            return Answer::json(400, "{}".to_owned());
        };
        let fence = body.number("Fence").unwrap_or(0);
        let mut state = self.lock();
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/fulmarpier/run-start" => self.start(state, &body),
            "/fulmarpier/run-stop" => self.stop(state, &body),
            "/fulmarpier/hold" => self.hold(state, &body),
            "/fulmarpier/pace" => self.confirm(),
            _ => Answer::json(404, "{}".to_owned()),
        }
    }

    fn confirm(&self) -> Answer {
        Answer::json(200, format!("{{\"ClockMs\":{}}}", self.clock_ms()))
    }

    fn refuse(&self, reason: &str) -> Answer {
        let clock = self.clock_ms();
        Answer::json(
            409,
            format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}"),
        )
    }

    /// Extends the lease up to a time on the worker's clock; returns whether that time lies ahead.
    fn extend(&self, state: &mut State, deadline_ms: u64) -> bool {
        let deadline = self.began + Duration::from_millis(deadline_ms);
        let now = Instant::now();
        if deadline <= now {
            return false;
        }
        let deadline = deadline.min(now + HOLD_MAX);
        state.lease_end = state.lease_end.max(Some(deadline));
        true
    }

    fn start(&self, mut state: MutexGuard<'_, State>, body: &Value) -> Answer {
        let fields = (body.text("Task"), body.number("Run"), body.text("Spec"));
        let (Some(task), Some(run), Some(spec)) = fields else {
            return Answer::json(400, "{}".to_owned());
        };
        if !self.extend(&mut state, body.number("DeadlineMs").unwrap_or(0)) {
            return self.refuse("late");
        }
        let key = (task.to_owned(), run);
        if state.runs.contains_key(&key) {
            return self.confirm();
        }
        if state.over.get(task).is_some_and(|over| run <= *over) {
            return self.refuse("old");
        }
        let line = format!(
            "{} start {task} run {run} {}",
            self.offer.id,
            json::quote(spec)
        );
        self.record.line(&line);
        state.starts.push(Start {
            worker: self.offer.id.clone(),
            task: task.to_owned(),
            run,
            spec: spec.to_owned(),
            at: self.record.now(),
            end: None,
        });
        let start = state.starts.len() - 1;
        state.runs.insert(
            key,
            Run {
                start,
                ends_at: Instant::now() + work(spec, task),
                stops_at: None,
            },
        );
        self.confirm()
    }

    fn stop(&self, mut state: MutexGuard<'_, State>, body: &Value) -> Answer {
        let (Some(task), Some(run)) = (body.text("Task"), body.number("Run")) else {
            return Answer::json(400, "{}".to_owned());
        };
        let highest = state.over.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        if let Some(running) = state.runs.get_mut(&(task.to_owned(), run)) {
            running.stops_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        self.record
            .line(&format!("{} stop {task} run {run}", self.offer.id));
        self.confirm()
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Value) -> Answer {
        if let Some(deadline) = body.number("DeadlineMs") {
            self.extend(&mut state, deadline);
        }
        let last_seen = body.number("LastSeen").unwrap_or(0);
        while let Some((serial, start)) = state.finished.front().copied_parts()
            && serial <= last_seen
        {
            let noted = self.record.now();
            let lapsed = state.lapsed;
            if let Some(end) = &mut state.starts[start].end {
                let is_excused = lapsed.is_some_and(|lapsed| lapsed >= end.at);
                end.noted = (!is_excused).then_some(noted);
            }
            state.finished.pop_front();
        }
        let wait = Duration::from_millis(body.number("WaitMs").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        while state.finished.is_empty() && !state.is_cut {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let now = Instant::now();
        let running = state.runs.iter().map(|((task, run), running)| {
            let start = state.starts[running.start].at;
            let took = (self.record.now() - start).as_secs_f64();
            let left = running.ends_at.saturating_duration_since(now).as_secs_f64();
            let percent = (100.0 * took / (took + left)).floor();
            format!("[\"{task}\",{run},\"\",{percent},0]")
        });
        let running: Vec<String> = running.collect();
        let finished = state.finished.iter().take(ENDS_PER_ANSWER);
        let finished = finished.map(|(serial, task, run, how, _)| {
            format!("[{serial},\"{task}\",{run},\"{how}\",\"\"]")
        });
        let finished: Vec<String> = finished.collect();
        self.record.line(&format!(
            "{} hold LastSeen {last_seen} -> {} running, {} of {} ends",
            self.offer.id,
            running.len(),
            finished.len(),
            state.finished.len()
        ));
        Answer::json(
            200,
            format!(
                "{{\"ClockMs\":{},\"Running\":[{}],\"Finished\":[{}]}}",
                self.clock_ms(),
                running.join(","),
                finished.join(",")
            ),
        )
    }
}

/// Reads the serial and the start of a listed end.
trait Parts {
    fn copied_parts(self) -> Option<(u64, usize)>;
}

impl Parts for Option<&(u64, String, u64, &'static str, usize)> {
    fn copied_parts(self) -> Option<(u64, usize)> {
        self.map(|(serial, _, _, _, start)| (*serial, *start))
    }
}
