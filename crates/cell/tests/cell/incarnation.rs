//! One worker that restarts under its id: what the next incarnation reports, and messages in flight meanwhile.

use std::time::Duration;

use crate::world::{
    queue,
    size, //
};
use fulmarpier_cell::{
    bounds::Bounds,
    effect::{
        Effect,
        Heartbeat,
        LogRecord,
        Start,
        Stop, //
    },
    engine::{
        Engine,
        StoredState, //
    },
    evacuation::Evacuation,
    event::{
        Ended,
        ExitReason,
        HeartbeatAnswer,
        Inventory,
        Registration,
        Running,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        Epoch,
        Incarnation,
        JobId,
        PoolName,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    job::{
        Spec,
        Step, //
    },
    record::{
        self,
        Accepted,
        Crash,
        Crashes,
        Entry,
        Progress,
        StepProgress,
        WorkerRuns, //
    },
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

const MILLISECOND: Duration = Duration::from_millis(1);
const FIRST_INCARNATION: Incarnation = Incarnation(1_000);
const SECOND_INCARNATION: Incarnation = Incarnation(2_000);

/// Returns a job with this many tasks.
fn accepted(job: JobId, count: u16, received: Timestamp) -> Accepted {
    let step = Step {
        count,
        size: size(1_000, 1_024),
        ..Step::default()
    };
    let spec = Spec {
        payload: "text".into(),
        steps: vec![step],
        schedule: None,
    };
    Accepted {
        job,
        queue: queue("batch", 2, false).into(),
        spec: spec.into(),
        workspace: None,
        received,
        partition: 0,
    }
}

/// An engine with one worker; the test answers the calls to the worker.
struct Harness {
    engine: Engine,
    now: Timestamp,
    worker: WorkerId,
    heartbeats: Vec<Heartbeat>,
    starts: Vec<Start>,
    stops: Vec<Stop>,
    log_records: Vec<LogRecord>,
    records: Vec<Entry>,
    has_lost_ownership: bool,
    /// Whether the store answers writes.
    is_store_available: bool,
}

impl Harness {
    /// Creates a harness whose worker has answered as the first incarnation.
    fn new() -> Self {
        let mut harness = Self::of_new_owner(StoredState::default());
        harness.register(FIRST_INCARNATION);
        harness.send_inventory(FIRST_INCARNATION, &[]);
        harness
    }

    /// Creates a harness of a new owner whose worker has not answered yet.
    fn of_new_owner(stored: StoredState) -> Self {
        let now = Timestamp::from_millis(1_000);
        let mut engine = Engine::new(Epoch(1), Bounds::default(), stored, now);
        engine.set_evacuation(Evacuation::default(), now, now);
        Self {
            engine,
            now,
            worker: WorkerId::from("w1"),
            heartbeats: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            log_records: Vec::new(),
            records: Vec::new(),
            has_lost_ownership: false,
            is_store_available: true,
        }
    }

    fn register(&mut self, incarnation: Incarnation) {
        self.register_leaving(incarnation, None);
    }

    /// Registers the worker; `leaving` is the minimum time that it keeps running, if it leaves.
    fn register_leaving(&mut self, incarnation: Incarnation, leaving: Option<Duration>) {
        self.register_at("127.0.0.1:1", incarnation, leaving);
    }

    /// Registers the worker at an address.
    fn register_at(&mut self, address: &str, incarnation: Incarnation, leaving: Option<Duration>) {
        let registration = Registration {
            id: self.worker.clone(),
            incarnation: Some(incarnation),
            address: address.parse().unwrap(),
            pool: PoolName::from("pool"),
            capacity: size(4_000, 4_096),
            labels: Vec::new(),
            data_centre: None,
            leaving,
        };
        self.engine.register(registration, self.now);
        self.advance(Duration::ZERO);
    }

    /// Advances the time and collects the effects; records are written at once where the store answers.
    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        loop {
            let effects = self.engine.advance(self.now);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Record(entries) if self.is_store_available => {
                        self.records.extend(entries);
                        self.engine.handle_recorded(self.now);
                    }
                    Effect::Heartbeat(heartbeat) => self.heartbeats.push(heartbeat),
                    Effect::Start(start) => self.starts.push(*start),
                    Effect::Stop(stop) => self.stops.push(stop),
                    Effect::Log(record) => self.log_records.push(record),
                    Effect::OwnershipLost(_) => self.has_lost_ownership = true,
                    _ => {}
                }
            }
        }
    }

    /// Answers the last heartbeat as an incarnation that runs these tasks.
    fn send_inventory(&mut self, incarnation: Incarnation, running: &[(TaskId, Run)]) {
        let heartbeat = self.heartbeats.pop().expect("a heartbeat is in flight");
        self.send_inventory_to(&heartbeat, incarnation, running);
    }

    fn send_inventory_to(
        &mut self,
        heartbeat: &Heartbeat,
        incarnation: Incarnation,
        running: &[(TaskId, Run)],
    ) {
        let running = running.iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: None,
            load: 0,
            progress: None,
        });
        let inventory = Inventory {
            omits_ends: false,
            incarnation: Some(incarnation),
            clock: 10,
            running: running.collect(),
            ended: Vec::new(),
        };
        self.answer_heartbeat(heartbeat, HeartbeatAnswer::Inventory(inventory));
    }

    fn answer_heartbeat(&mut self, heartbeat: &Heartbeat, answer: HeartbeatAnswer) {
        self.engine
            .handle_heartbeat_answer(&self.worker, heartbeat.sent_at, answer, self.now);
        self.advance(MILLISECOND);
    }

    fn answer_start(&mut self, task: TaskId, run: Run, answer: StartAnswer) {
        self.engine
            .handle_start_answer(&self.worker, task, run, answer, self.now);
        self.advance(MILLISECOND);
    }

    /// Submits a job with this many tasks; returns the tasks whose start orders were sent.
    fn submit(&mut self, job: JobId, count: u16) -> Vec<TaskId> {
        self.engine.submit(accepted(job, count, self.now), self.now);
        let before = self.starts.len();
        self.advance(50 * MILLISECOND);
        self.starts[before..]
            .iter()
            .map(|start| start.task)
            .collect()
    }

    fn has_logged_belief(&self, expected: &str) -> bool {
        let mut log_records = self.log_records.iter();
        log_records
            .any(|record| matches!(record, LogRecord::Worker { belief, .. } if *belief == expected))
    }

    fn crash_count(&self) -> usize {
        let log_records = self.log_records.iter();
        log_records
            .filter(|record| matches!(record, LogRecord::Crashed { .. }))
            .count()
    }

    /// Breaks the connection, then has the second incarnation answer the next two heartbeats; the second of them has
    /// the raised fence.
    fn restart(&mut self, running: &[(TaskId, Run)]) {
        let heartbeat = self.heartbeats.pop().expect("a heartbeat is in flight");
        self.answer_heartbeat(&heartbeat, HeartbeatAnswer::ConnectionLost);
        self.advance(300 * MILLISECOND);
        self.send_inventory(SECOND_INCARNATION, running);
        self.send_inventory(SECOND_INCARNATION, running);
    }
}

#[test]
fn a_new_incarnation_gets_a_higher_fence_before_lost_tasks_are_started_again() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    let heartbeat = harness.heartbeats.pop().unwrap();
    harness.answer_heartbeat(&heartbeat, HeartbeatAnswer::ConnectionLost);
    harness.advance(300 * MILLISECOND);
    harness.send_inventory(SECOND_INCARNATION, &[]);
    let fence = harness.heartbeats.last().unwrap().to.fence;
    assert!(fence > heartbeat.to.fence);
    // The order is still in flight and could arrive before that heartbeat.
    assert_eq!(harness.starts.len(), 1);
    harness.register(SECOND_INCARNATION);
    harness.send_inventory(SECOND_INCARNATION, &[]);
    harness.advance(50 * MILLISECOND);
    let again = harness.starts.last().unwrap();
    assert_eq!(
        (again.task, again.run, again.to.fence),
        (tasks[0], Run(2), fence)
    );
}

/// Guards against a worker that is given up because a call was under way to an address that it has left.
#[rstest]
#[case::restarted(SECOND_INCARNATION)]
#[case::moved(FIRST_INCARNATION)]
fn a_worker_that_answers_at_another_address_is_called_there(#[case] incarnation: Incarnation) {
    const ELSEWHERE: &str = "127.0.0.1:2";
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    harness.answer_start(tasks[0], Run(1), StartAnswer::Started);
    let former = harness.heartbeats.pop().unwrap();
    harness.register_at(ELSEWHERE, incarnation, None);
    assert!(harness.has_logged_belief("contradicted"));
    harness.advance(2 * MILLISECOND);
    let probe = harness.heartbeats.pop().unwrap();
    assert_eq!(probe.to.address, ELSEWHERE.parse().unwrap());
    harness.send_inventory_to(&probe, incarnation, &[(tasks[0], Run(1))]);
    harness.answer_heartbeat(&former, HeartbeatAnswer::Replaced);
    assert!(!harness.has_logged_belief("replaced"));
    harness.advance(2 * MILLISECOND);
    let next = harness.heartbeats.pop().unwrap();
    assert_eq!(next.to.address, ELSEWHERE.parse().unwrap());
    assert_eq!(harness.engine.counts().allocations, 1);
}

/// Guards against ends that a restarted worker forgets unheard, since a probe acknowledged those of its former incarnation.
#[test]
fn a_probe_of_another_address_acknowledges_no_ends() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    let heartbeat = harness.heartbeats.pop().unwrap();
    let inventory = Inventory {
        incarnation: Some(FIRST_INCARNATION),
        clock: 10,
        ended: vec![Ended {
            serial: 1,
            task: tasks[0],
            run: Run(1),
            reason: ExitReason::Done,
            checkpoint: None,
        }],
        ..Inventory::default()
    };
    harness.answer_heartbeat(&heartbeat, HeartbeatAnswer::Inventory(inventory));
    harness.advance(100 * MILLISECOND);
    assert_eq!(harness.heartbeats.pop().unwrap().acknowledged, 1);
    harness.register_at("127.0.0.1:2", SECOND_INCARNATION, None);
    harness.advance(2 * MILLISECOND);
    assert_eq!(harness.heartbeats.pop().unwrap().acknowledged, 0);
}

/// Guards against a worker that is given up because another one answers at the address of a foreign entry.
#[test]
fn a_worker_is_not_given_up_for_what_another_one_answers() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    harness.answer_start(tasks[0], Run(1), StartAnswer::Started);
    harness.register_at("127.0.0.1:2", FIRST_INCARNATION, None);
    harness.advance(2 * MILLISECOND);
    let probe = harness.heartbeats.pop().unwrap();
    harness.answer_heartbeat(&probe, HeartbeatAnswer::Replaced);
    assert!(harness.has_logged_belief("misaddressed"));
    assert_eq!(harness.engine.counts().allocations, 1);
    assert!(harness.submit(JobId(2), 1).is_empty());
    // Its own entry is back.
    harness.register(FIRST_INCARNATION);
    assert_eq!(harness.submit(JobId(3), 1).len(), 2);
}

/// Guards against two starts under one number: a task restarted very often uses up the numbers of its owner.
#[rstest]
#[case::the_last_number(9_999, Some(10_000))]
#[case::no_number_left(10_000, None)]
fn an_owner_gives_no_run_a_number_of_its_successor(
    #[case] last: u32,
    #[case] expected: Option<u32>,
) {
    let job = JobId(1);
    let task = StepId {
        job,
        occurrence: 0,
        step: 0,
    }
    .task(0);
    let runs = WorkerRuns {
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Some(FIRST_INCARNATION),
        runs: vec![(task, Run(last))],
    };
    let mut harness = Harness::of_new_owner(StoredState {
        accepted: vec![accepted(job, 1, Timestamp::from_millis(1_000))],
        workers: vec![(WorkerId::from("w1"), runs)],
        ..StoredState::default()
    });
    harness.register(FIRST_INCARNATION);
    harness.send_inventory(FIRST_INCARNATION, &[]);
    harness.advance(2_000 * MILLISECOND);
    // The absence of the run counts for an inventory that was asked for by now.
    harness.send_inventory(FIRST_INCARNATION, &[]);
    harness.send_inventory(FIRST_INCARNATION, &[]);
    harness.advance(50 * MILLISECOND);
    assert_eq!(harness.has_lost_ownership, expected.is_none());
    if let Some(expected) = expected {
        assert_eq!(harness.starts.last().unwrap().run, Run(expected));
    }
}

#[test]
fn an_order_refused_for_the_raised_fence_doesn_t_end_the_ownership() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    harness.restart(&[]);
    harness.answer_start(tasks[0], Run(1), StartAnswer::Fenced);
    assert!(!harness.has_lost_ownership);
    // The fence of a later owner shows in the answer to the next heartbeat.
    let heartbeat = harness.heartbeats.pop().unwrap();
    harness.answer_heartbeat(&heartbeat, HeartbeatAnswer::Fenced);
    assert!(harness.has_lost_ownership);
}

#[test]
fn a_heartbeat_refused_for_the_raised_fence_is_sent_again() {
    let mut harness = Harness::new();
    harness.advance(MILLISECOND);
    let first = harness.heartbeats.pop().unwrap();
    // The registration of the next incarnation causes a second heartbeat, which is answered first.
    harness.advance(5 * MILLISECOND);
    harness.register(SECOND_INCARNATION);
    harness.send_inventory(SECOND_INCARNATION, &[]);
    let heartbeats = harness.heartbeats.len();
    harness.answer_heartbeat(&first, HeartbeatAnswer::Fenced);
    assert!(!harness.has_lost_ownership);
    assert_eq!(harness.heartbeats.len(), heartbeats + 1);
}

#[test]
fn a_late_answer_of_a_former_incarnation_changes_nothing() {
    let mut harness = Harness::new();
    harness.advance(MILLISECOND);
    let first = harness.heartbeats.pop().unwrap();
    harness.advance(5 * MILLISECOND);
    harness.register(SECOND_INCARNATION);
    harness.send_inventory(SECOND_INCARNATION, &[]);
    harness.log_records.clear();
    harness.send_inventory_to(&first, FIRST_INCARNATION, &[]);
    assert!(!harness.has_logged_belief("reborn"));
    // The second incarnation has no order that it doesn't list.
    harness.send_inventory(SECOND_INCARNATION, &[]);
    assert!(!harness.has_logged_belief("reborn"));
}

#[test]
fn a_run_that_the_next_incarnation_lists_did_not_crash_the_former_one() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 2);
    harness.answer_start(tasks[0], Run(1), StartAnswer::Started);
    harness.answer_start(tasks[1], Run(1), StartAnswer::Started);
    harness.restart(&[(tasks[0], Run(1))]);
    assert_eq!(harness.crash_count(), 1);
    assert_eq!(harness.engine.counts().allocations, 1);
}

#[test]
fn a_crash_is_not_retracted_when_the_next_incarnation_answers() {
    let mut harness = Harness::new();
    for restart in 1..=5u64 {
        let tasks = match restart {
            1 => harness.submit(JobId(1), 1),
            _ => vec![harness.starts.last().unwrap().task],
        };
        let run = harness.starts.last().unwrap().run;
        harness.answer_start(tasks[0], run, StartAnswer::Started);
        let heartbeat = harness.heartbeats.pop().unwrap();
        harness.answer_heartbeat(&heartbeat, HeartbeatAnswer::ConnectionLost);
        harness.advance(300 * MILLISECOND);
        let next = Incarnation(1_000 + restart);
        harness.send_inventory(next, &[]);
        harness.register(next);
        harness.send_inventory(next, &[]);
        harness.advance(3 * Duration::from_secs(1));
    }
    let counted = harness
        .log_records
        .iter()
        .filter_map(|record| match record {
            LogRecord::Crashed { crashes, .. } => Some(*crashes),
            _ => None,
        });
    assert_eq!(counted.collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn a_stop_confirmed_by_a_former_incarnation_is_sent_to_the_next_one() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    for _ in 0..3 {
        harness.answer_start(tasks[0], Run(1), StartAnswer::NoAnswer);
    }
    assert_eq!(harness.stops.len(), 1);
    harness.engine.handle_stop_answer(
        &harness.worker,
        tasks[0],
        Run(1),
        StopAnswer::Confirmed,
        harness.now,
    );
    harness.restart(&[]);
    assert_eq!(harness.stops.len(), 2);
    // One of the unanswered orders may still arrive late, and is refused from then on.
    assert_eq!(harness.engine.counts().allocations, 1);
}

#[test]
fn a_worker_that_is_lost_and_comes_back_under_its_id_gets_a_higher_fence() {
    let mut harness = Harness::new();
    let first = harness.heartbeats.pop().unwrap();
    harness.answer_heartbeat(&first, HeartbeatAnswer::Replaced);
    harness.register(SECOND_INCARNATION);
    assert!(harness.heartbeats.last().unwrap().to.fence > first.to.fence);
}

#[test]
fn an_order_is_not_sent_if_its_worker_falls_silent_before_its_record_is_written() {
    let mut harness = Harness::new();
    harness.is_store_available = false;
    assert_eq!(harness.submit(JobId(1), 1), []);
    let heartbeat = harness.heartbeats.pop().unwrap();
    harness.answer_heartbeat(&heartbeat, HeartbeatAnswer::ConnectionLost);
    harness.is_store_available = true;
    harness.engine.handle_recorded(harness.now);
    harness.advance(50 * MILLISECOND);
    assert_eq!(harness.starts, []);
    // The same incarnation answers again, and the task is placed again.
    harness.advance(200 * MILLISECOND);
    harness.send_inventory(FIRST_INCARNATION, &[]);
    harness.advance(50 * MILLISECOND);
    assert_eq!(harness.starts.len(), 1);
}

/// An order waits for its record while the store is slow, and meanwhile its worker reports that it leaves.
///
/// A task started there is lost with the worker, or crashes it at a moment when the crash looks like a departure.
#[test]
fn an_order_that_waited_for_its_record_doesn_t_go_to_a_worker_that_leaves() {
    let mut harness = Harness::new();
    harness.is_store_available = false;
    assert_eq!(harness.submit(JobId(1), 1), []);
    harness.register_leaving(FIRST_INCARNATION, Some(Duration::from_secs(2)));
    harness.is_store_available = true;
    harness.engine.handle_recorded(harness.now);
    harness.advance(50 * MILLISECOND);
    assert_eq!(harness.starts, []);
}

/// An order gets no answer, and its worker reports that it leaves before the order is sent again.
#[test]
fn an_unanswered_order_is_not_sent_again_to_a_worker_that_leaves() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    harness.register_leaving(FIRST_INCARNATION, Some(Duration::from_secs(2)));
    harness.answer_start(tasks[0], Run(1), StartAnswer::NoAnswer);
    assert_eq!((harness.starts.len(), harness.stops.len()), (1, 1));
}

/// A worker crashes just after it started a task. The crash counts against the task although the worker reported before
/// that it leaves, because a leaving worker gets no new task for a while before it is gone.
#[test]
fn a_crash_of_a_worker_that_leaves_is_counted() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    harness.register_leaving(FIRST_INCARNATION, Some(Duration::from_secs(2)));
    harness.answer_start(tasks[0], Run(1), StartAnswer::Started);
    let heartbeat = harness.heartbeats.pop().unwrap();
    harness.answer_heartbeat(&heartbeat, HeartbeatAnswer::ConnectionLost);
    harness.advance(300 * MILLISECOND);
    let heartbeat = harness.heartbeats.pop().unwrap();
    harness.answer_heartbeat(&heartbeat, HeartbeatAnswer::Replaced);
    assert_eq!(harness.crash_count(), 1);
}

/// A connection reset ends the order and the heartbeat without an answer, and the worker answers again soon.
#[test]
fn an_unanswered_order_is_sent_again_once_its_silent_worker_answers() {
    let mut harness = Harness::new();
    let tasks = harness.submit(JobId(1), 1);
    let heartbeat = harness.heartbeats.pop().unwrap();
    harness.answer_heartbeat(&heartbeat, HeartbeatAnswer::ConnectionLost);
    harness.answer_start(tasks[0], Run(1), StartAnswer::NoAnswer);
    assert_eq!(harness.starts.len(), 1);
    harness.advance(200 * MILLISECOND);
    harness.send_inventory(FIRST_INCARNATION, &[]);
    assert_eq!((harness.starts.len(), harness.stops.len()), (2, 0));
    assert_eq!(harness.starts[1].run, Run(1));
}

/// Returns a job's progress as it is read back from its record.
fn read_back(progress: &Progress) -> Progress {
    let bytes = record::encode(progress).unwrap();
    record::decode(&bytes).unwrap()
}

/// Returns what a new owner finds of a task that has crashed the worker's first incarnation, or may have.
fn stored_crash(job: JobId, is_doubted: bool) -> StoredState {
    let crash = Crash {
        run: Run(1),
        worker: WorkerId::from("w1"),
        incarnation: Some(FIRST_INCARNATION),
        is_certain: true,
        may_be_cut_off: is_doubted,
    };
    let step = StepProgress {
        crashes: vec![Crashes {
            index: 0,
            crashes: vec![crash],
        }],
        ..StepProgress::default()
    };
    let progress = Progress {
        occurrences: vec![(0, vec![step])],
        ..Progress::default()
    };
    let runs = WorkerRuns {
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Some(FIRST_INCARNATION),
        runs: Vec::new(),
    };
    StoredState {
        accepted: vec![accepted(job, 1, Timestamp::from_millis(1_000))],
        progress: vec![(job, read_back(&progress))],
        workers: vec![(WorkerId::from("w1"), runs)],
        ..StoredState::default()
    }
}

/// A former owner believed that a task had crashed a worker, but the worker answers: the crash no longer counts.
#[rstest]
#[case::that_was_doubted(true)]
#[case::that_was_counted(false)]
fn a_new_owner_retracts_a_crash_of_a_worker_that_answers(#[case] is_doubted: bool) {
    let job = JobId(1);
    let mut harness = Harness::of_new_owner(stored_crash(job, is_doubted));
    harness.register(FIRST_INCARNATION);
    harness.send_inventory(FIRST_INCARNATION, &[]);
    harness.advance(50 * MILLISECOND);
    let progress = harness.records.iter().rev().find_map(|entry| match entry {
        Entry::Job(id, progress) if *id == job => Some(progress.clone()),
        Entry::PlainJob(id, progress) if *id == job => Some(progress.clone().into()),
        _ => None,
    });
    let progress: Progress = progress.expect("the task's crashes are recorded again");
    assert_eq!(progress.occurrences[0].1[0].crashes, Vec::<Crashes>::new());
}

/// The worker answers as another incarnation, which confirms the crash that a former owner could not confirm.
#[test]
fn a_new_owner_counts_a_doubted_crash_once_another_incarnation_answers() {
    let mut harness = Harness::of_new_owner(stored_crash(JobId(1), true));
    harness.register(SECOND_INCARNATION);
    assert_eq!(harness.crash_count(), 0);
    harness.send_inventory(SECOND_INCARNATION, &[]);
    assert_eq!(harness.crash_count(), 1);
}
