//! One worker that restarts under its id: what the next incarnation tells, and what is on its way meanwhile.

use std::time::Duration;

use crate::world::{
    queue,
    size, //
};
use fulmarpier_cell::{
    bounds::Bounds,
    effect::{
        Effect,
        Hold,
        Note,
        Start,
        Stop, //
    },
    engine::{
        Engine,
        Inheritance, //
    },
    evacuation::Evacuation,
    event::{
        HoldAnswer,
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
        Usage, //
    },
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

const MILLISECOND: Duration = Duration::from_millis(1);
const FIRST: Incarnation = Incarnation(1_000);
const SECOND: Incarnation = Incarnation(2_000);

/// Makes a job of some tasks.
fn accepted(job: JobId, count: u16, received: Timestamp) -> Accepted {
    let step = Step {
        count,
        size: size(1_000, 1_024),
        ..Step::default()
    };
    let spec = Spec {
        text: "text".into(),
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

/// An engine with one worker, whose calls are answered by hand.
struct Rig {
    engine: Engine,
    now: Timestamp,
    worker: WorkerId,
    holds: Vec<Hold>,
    starts: Vec<Start>,
    stops: Vec<Stop>,
    notes: Vec<Note>,
    records: Vec<Entry>,
    is_deposed: bool,
    /// Whether the store answers.
    has_store: bool,
}

impl Rig {
    /// Makes one whose worker was heard as the first incarnation.
    fn new() -> Self {
        let mut rig = Self::inheriting(Inheritance::default());
        rig.register(FIRST);
        rig.answer(FIRST, &[]);
        rig
    }

    /// Makes one of a new owner, whose worker was not heard yet.
    fn inheriting(inheritance: Inheritance) -> Self {
        let now = Timestamp::from_millis(1_000);
        let mut engine = Engine::new(Epoch(1), Bounds::default(), inheritance, now);
        engine.evacuate(Evacuation::default(), now, now);
        Self {
            engine,
            now,
            worker: WorkerId::from("w1"),
            holds: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            notes: Vec::new(),
            records: Vec::new(),
            is_deposed: false,
            has_store: true,
        }
    }

    fn register(&mut self, incarnation: Incarnation) {
        self.report(incarnation, None);
    }

    /// Has the worker report itself, and that it leaves after a while if it does.
    fn report(&mut self, incarnation: Incarnation, leaving: Option<Duration>) {
        let registration = Registration {
            id: self.worker.clone(),
            incarnation: Some(incarnation),
            address: "127.0.0.1:1".parse().unwrap(),
            pool: PoolName::from("pool"),
            capacity: size(4_000, 4_096),
            labels: Vec::new(),
            data_centre: None,
            leaving,
        };
        self.engine.register(registration, self.now);
        self.pass(Duration::ZERO);
    }

    /// Lets time pass and takes in what has to be done; records are kept at once, where the store answers.
    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        loop {
            let effects = self.engine.advance(self.now);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Record(entries) if self.has_store => {
                        self.records.extend(entries);
                        self.engine.recorded(self.now);
                    }
                    Effect::Hold(hold) => self.holds.push(hold),
                    Effect::Start(start) => self.starts.push(*start),
                    Effect::Stop(stop) => self.stops.push(stop),
                    Effect::Note(note) => self.notes.push(note),
                    Effect::Deposed => self.is_deposed = true,
                    _ => {}
                }
            }
        }
    }

    /// Answers the last call as an incarnation that runs some tasks.
    fn answer(&mut self, incarnation: Incarnation, running: &[(TaskId, Run)]) {
        let hold = self.holds.pop().expect("the worker is called");
        self.answer_to(&hold, incarnation, running);
    }

    fn answer_to(&mut self, hold: &Hold, incarnation: Incarnation, running: &[(TaskId, Run)]) {
        let running = running.iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: None,
            load: 0,
        });
        let inventory = Inventory {
            incarnation: Some(incarnation),
            clock: 10,
            running: running.collect(),
            ended: Vec::new(),
        };
        self.held(hold, HoldAnswer::Listed(inventory));
    }

    fn held(&mut self, hold: &Hold, answer: HoldAnswer) {
        self.engine.held(&self.worker, hold.asked, answer, self.now);
        self.pass(MILLISECOND);
    }

    fn started(&mut self, task: TaskId, run: Run, answer: StartAnswer) {
        self.engine
            .started(&self.worker, task, run, answer, self.now);
        self.pass(MILLISECOND);
    }

    /// Submits a job of some tasks, whose orders leave.
    fn submit(&mut self, job: JobId, count: u16) -> Vec<TaskId> {
        self.engine.submit(accepted(job, count, self.now), self.now);
        let before = self.starts.len();
        self.pass(50 * MILLISECOND);
        self.starts[before..]
            .iter()
            .map(|start| start.task)
            .collect()
    }

    fn believes(&self, word: &str) -> bool {
        let mut notes = self.notes.iter();
        notes.any(|note| matches!(note, Note::Worker { belief, .. } if *belief == word))
    }

    fn crashes(&self) -> usize {
        let notes = self.notes.iter();
        notes
            .filter(|note| matches!(note, Note::Crashed { .. }))
            .count()
    }

    /// Has the connections break and the second incarnation answer the next call, and the one with the raised fence.
    fn restart(&mut self, running: &[(TaskId, Run)]) {
        let hold = self.holds.pop().expect("the worker is called");
        self.held(&hold, HoldAnswer::Broken);
        self.pass(300 * MILLISECOND);
        self.answer(SECOND, running);
        self.answer(SECOND, running);
    }
}

#[test]
fn a_new_incarnation_is_called_with_a_higher_fence_before_anything_is_given_up() {
    let mut rig = Rig::new();
    let tasks = rig.submit(JobId(1), 1);
    let hold = rig.holds.pop().unwrap();
    rig.held(&hold, HoldAnswer::Broken);
    rig.pass(300 * MILLISECOND);
    rig.answer(SECOND, &[]);
    let fence = rig.holds.last().unwrap().to.fence;
    assert!(fence > hold.to.fence);
    // Its order is on its way yet, and could arrive before that call.
    assert_eq!(rig.starts.len(), 1);
    rig.register(SECOND);
    rig.answer(SECOND, &[]);
    rig.pass(50 * MILLISECOND);
    let again = rig.starts.last().unwrap();
    assert_eq!(
        (again.task, again.run, again.to.fence),
        (tasks[0], Run(2), fence)
    );
}

#[test]
fn an_order_that_is_refused_for_the_raised_fence_deposes_nobody() {
    let mut rig = Rig::new();
    let tasks = rig.submit(JobId(1), 1);
    rig.restart(&[]);
    rig.started(tasks[0], Run(1), StartAnswer::Fenced);
    assert!(!rig.is_deposed);
    // A later owner's fence shows in the answer to the next call.
    let hold = rig.holds.pop().unwrap();
    rig.held(&hold, HoldAnswer::Fenced);
    assert!(rig.is_deposed);
}

#[test]
fn a_call_that_is_refused_for_the_raised_fence_is_made_again() {
    let mut rig = Rig::new();
    rig.pass(MILLISECOND);
    let main = rig.holds.pop().unwrap();
    // The report of the next incarnation brings a second call, which is answered first.
    rig.pass(5 * MILLISECOND);
    rig.register(SECOND);
    rig.answer(SECOND, &[]);
    let calls = rig.holds.len();
    rig.held(&main, HoldAnswer::Fenced);
    assert!(!rig.is_deposed);
    assert_eq!(rig.holds.len(), calls + 1);
}

#[test]
fn an_answer_of_a_former_incarnation_that_was_overtaken_changes_nothing() {
    let mut rig = Rig::new();
    rig.pass(MILLISECOND);
    let main = rig.holds.pop().unwrap();
    rig.pass(5 * MILLISECOND);
    rig.register(SECOND);
    rig.answer(SECOND, &[]);
    rig.notes.clear();
    rig.answer_to(&main, FIRST, &[]);
    assert!(!rig.believes("reborn"));
    // The second one has no order that it doesn't list.
    rig.answer(SECOND, &[]);
    assert!(!rig.believes("reborn"));
}

#[test]
fn what_the_next_incarnation_has_begun_did_not_go_down_with_the_one_before() {
    let mut rig = Rig::new();
    let tasks = rig.submit(JobId(1), 2);
    rig.started(tasks[0], Run(1), StartAnswer::Started);
    rig.started(tasks[1], Run(1), StartAnswer::Started);
    rig.restart(&[(tasks[0], Run(1))]);
    assert_eq!(rig.crashes(), 1);
    assert_eq!(rig.engine.counts().claims, 1);
}

#[test]
fn a_crash_is_not_taken_back_since_the_next_incarnation_answers() {
    let mut rig = Rig::new();
    for restart in 1..=5u64 {
        let tasks = match restart {
            1 => rig.submit(JobId(1), 1),
            _ => vec![rig.starts.last().unwrap().task],
        };
        let run = rig.starts.last().unwrap().run;
        rig.started(tasks[0], run, StartAnswer::Started);
        let hold = rig.holds.pop().unwrap();
        rig.held(&hold, HoldAnswer::Broken);
        rig.pass(300 * MILLISECOND);
        let next = Incarnation(1_000 + restart);
        rig.answer(next, &[]);
        rig.register(next);
        rig.answer(next, &[]);
        rig.pass(3 * Duration::from_secs(1));
    }
    let counted = rig.notes.iter().filter_map(|note| match note {
        Note::Crashed { crashes, .. } => Some(*crashes),
        _ => None,
    });
    assert_eq!(counted.collect::<Vec<_>>(), [1, 2, 3]);
}

#[test]
fn a_stop_that_a_former_incarnation_confirmed_is_ordered_of_the_next() {
    let mut rig = Rig::new();
    let tasks = rig.submit(JobId(1), 1);
    for _ in 0..3 {
        rig.started(tasks[0], Run(1), StartAnswer::Silent);
    }
    assert_eq!(rig.stops.len(), 1);
    rig.engine.stopped(
        &rig.worker,
        tasks[0],
        Run(1),
        StopAnswer::Confirmed,
        rig.now,
    );
    rig.restart(&[]);
    assert_eq!(rig.stops.len(), 2);
    // One of the orders that got no answer may have left late and is refused from then on.
    assert_eq!(rig.engine.counts().claims, 1);
}

#[test]
fn a_worker_that_is_lost_and_comes_back_under_its_id_gets_a_higher_fence() {
    let mut rig = Rig::new();
    let first = rig.holds.pop().unwrap();
    rig.held(&first, HoldAnswer::Gone);
    rig.register(SECOND);
    assert!(rig.holds.last().unwrap().to.fence > first.to.fence);
}

#[test]
fn an_order_whose_worker_fell_silent_before_its_record_was_kept_does_not_leave() {
    let mut rig = Rig::new();
    rig.has_store = false;
    assert_eq!(rig.submit(JobId(1), 1), []);
    let hold = rig.holds.pop().unwrap();
    rig.held(&hold, HoldAnswer::Broken);
    rig.has_store = true;
    rig.engine.recorded(rig.now);
    rig.pass(50 * MILLISECOND);
    assert_eq!(rig.starts, []);
    // The same incarnation answers again, and the task is placed anew.
    rig.pass(200 * MILLISECOND);
    rig.answer(FIRST, &[]);
    rig.pass(50 * MILLISECOND);
    assert_eq!(rig.starts.len(), 1);
}

/// An order waits for its record while the store is slow, and its worker says meanwhile that it leaves.
///
/// What is started there is lost with the worker, or crashes it at a moment when that looks as if it had left.
#[test]
fn an_order_that_waited_for_its_record_doesn_t_go_to_a_worker_that_leaves() {
    let mut rig = Rig::new();
    rig.has_store = false;
    assert_eq!(rig.submit(JobId(1), 1), []);
    rig.report(FIRST, Some(Duration::from_secs(2)));
    rig.has_store = true;
    rig.engine.recorded(rig.now);
    rig.pass(50 * MILLISECOND);
    assert_eq!(rig.starts, []);
}

/// An order gets no answer, and its worker says that it leaves before it is given again.
#[test]
fn an_order_without_an_answer_is_not_given_again_to_a_worker_that_leaves() {
    let mut rig = Rig::new();
    let tasks = rig.submit(JobId(1), 1);
    rig.report(FIRST, Some(Duration::from_secs(2)));
    rig.started(tasks[0], Run(1), StartAnswer::Silent);
    assert_eq!((rig.starts.len(), rig.stops.len()), (1, 1));
}

/// A worker goes down when it had just begun a task. That it had said that it leaves before doesn't clear the task: it
/// gets nothing new for a while before it is gone.
#[test]
fn a_crash_of_a_worker_that_leaves_is_counted() {
    let mut rig = Rig::new();
    let tasks = rig.submit(JobId(1), 1);
    rig.report(FIRST, Some(Duration::from_secs(2)));
    rig.started(tasks[0], Run(1), StartAnswer::Started);
    let hold = rig.holds.pop().unwrap();
    rig.held(&hold, HoldAnswer::Broken);
    rig.pass(300 * MILLISECOND);
    let hold = rig.holds.pop().unwrap();
    rig.held(&hold, HoldAnswer::Gone);
    assert_eq!(rig.crashes(), 1);
}

/// Connections are reset: the order and the call for the inventory break, and the worker is heard again soon.
#[test]
fn an_order_without_an_answer_is_given_again_once_its_silent_worker_is_heard() {
    let mut rig = Rig::new();
    let tasks = rig.submit(JobId(1), 1);
    let hold = rig.holds.pop().unwrap();
    rig.held(&hold, HoldAnswer::Broken);
    rig.started(tasks[0], Run(1), StartAnswer::Silent);
    assert_eq!(rig.starts.len(), 1);
    rig.pass(200 * MILLISECOND);
    rig.answer(FIRST, &[]);
    assert_eq!((rig.starts.len(), rig.stops.len()), (2, 0));
    assert_eq!(rig.starts[1].run, Run(1));
}

/// Returns what is left of a job's progress on record.
fn read_back(progress: &Progress) -> Progress {
    let bytes = record::encode(progress).unwrap();
    record::decode(&bytes).unwrap()
}

/// Returns what a new owner finds of a task under which the worker's first incarnation went down, or may have.
fn inherited(job: JobId, is_doubted: bool) -> Inheritance {
    let crash = Crash {
        run: Run(1),
        worker: WorkerId::from("w1"),
        incarnation: Some(FIRST),
        is_certain: true,
        is_doubted,
    };
    let step = StepProgress {
        crashes: vec![Crashes {
            index: 0,
            crashes: vec![crash],
        }],
        ..StepProgress::default()
    };
    let progress = Progress {
        workspace: None,
        occurrences: vec![(0, vec![step])],
        outcome: None,
    };
    let usage = Usage {
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Some(FIRST),
        runs: Vec::new(),
    };
    Inheritance {
        accepted: vec![accepted(job, 1, Timestamp::from_millis(1_000))],
        progress: vec![(job, read_back(&progress))],
        workers: vec![(WorkerId::from("w1"), usage)],
        ..Inheritance::default()
    }
}

/// A former owner believed that a worker had gone down under a task, but it answers: nothing is held against the task any more.
#[rstest]
#[case::that_was_doubted(true)]
#[case::that_was_counted(false)]
fn a_new_owner_takes_back_a_crash_of_a_worker_that_answers(#[case] is_doubted: bool) {
    let job = JobId(1);
    let mut rig = Rig::inheriting(inherited(job, is_doubted));
    rig.register(FIRST);
    rig.answer(FIRST, &[]);
    rig.pass(50 * MILLISECOND);
    let kept = rig.records.iter().rev().find_map(|entry| match entry {
        Entry::Job(of, progress) if *of == job => Some(progress),
        _ => None,
    });
    let kept = kept.expect("what is held against the task is kept anew");
    assert_eq!(kept.occurrences[0].1[0].crashes, Vec::<Crashes>::new());
}

/// The worker answers as another incarnation: what a former owner doubted is certain now.
#[test]
fn a_new_owner_counts_a_doubted_crash_once_another_incarnation_answers() {
    let mut rig = Rig::inheriting(inherited(JobId(1), true));
    rig.register(SECOND);
    assert_eq!(rig.crashes(), 0);
    rig.answer(SECOND, &[]);
    assert_eq!(rig.crashes(), 1);
}
