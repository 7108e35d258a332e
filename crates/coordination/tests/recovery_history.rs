//! Random takeovers: what runs, what is under way and what is recorded differ, workers are silent,
//! and an earlier owner may still be renewing. No task may run twice and none may be forgotten.

#[path = "support/cases.rs"]
mod cases;
#[path = "support/job.rs"]
mod job;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    platform::worker::{
        End,
        Ended,
        Inventory,
        Running, //
    },
    recovery::{
        Effect,
        Image,
        Job,
        Machine,
        Settings,
        Step,
        Takeover,
        TaskState, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        JobId,
        TaskId,
        WorkerId, //
    },
    resource::Resources, //
};
use proptest::prelude::*;

use cases::config;
use job::spec;

const OLD: Epoch = Epoch(5);
const NEW: Epoch = Epoch(9);
const START: Timestamp = Timestamp::from_millis(1_000_000);
const WORKERS: u32 = 3;

/// What the earlier owner had done with a task.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Past {
    Nothing,
    /// The record is kept, the start never left.
    Recorded,
    /// The start is under way.
    Sent(u32),
    /// It runs.
    Runs(u32),
    /// It ended, and the worker waits for the acknowledgement.
    Ended(u32, End),
    /// It failed on the first worker, which waits for the acknowledgement, and runs on the second.
    Again(u32, u32),
    /// It ended long ago.
    Over,
}

#[derive(Clone, Copy, Debug)]
struct Plan {
    idempotent: bool,
    recorded: bool,
    past: Past,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A worker takes the new owner's call, and the answer arrives or not.
    Call(u32, bool),
    /// A message of the earlier owner arrives.
    Land(usize),
    Renew(u32),
    Wait(u64),
    End(usize, End),
    Restart(u32),
    Unlist(u32),
    OldOwnerEnds,
}

#[derive(Clone, Copy, Debug)]
struct Message {
    worker: u32,
    start: Option<TaskId>,
    sent: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Worker {
    epoch: Epoch,
    gone: bool,
    answered: bool,
    running: BTreeMap<TaskId, (Attempt, Timestamp)>,
    ended: BTreeMap<(TaskId, Attempt), End>,
}

/// What the new owner believes of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Belief {
    Withheld(Attempt),
    Started,
    Adopted(Attempt),
    Ended(End),
    Unknown,
}

struct World {
    now: Timestamp,
    settings: Settings,
    plans: Vec<Plan>,
    workers: Vec<Worker>,
    messages: Vec<Message>,
    old_owner: bool,
    machine: Machine,
    ready: bool,
    beliefs: BTreeMap<TaskId, Belief>,
    waiting: BTreeSet<TaskId>,
    ever_ran: Vec<TaskId>,
    ours: Vec<TaskId>,
}

fn task(index: usize) -> TaskId {
    TaskId::new(JobId::from_u128(index as u128 + 1), 0)
}

fn index(task: TaskId) -> usize {
    usize::try_from(task.job.as_u128()).expect("a small id") - 1
}

fn image(plans: &[Plan]) -> Image {
    let mut image = Image::default();
    for (i, plan) in plans.iter().enumerate() {
        let attempt = Attempt(1);
        let worker = WorkerId;
        let state = match plan.past {
            Past::Nothing => None,
            Past::Recorded => Some(TaskState::Starting {
                attempt,
                worker: worker(0),
            }),
            Past::Sent(w) | Past::Runs(w) | Past::Ended(w, _) => Some(TaskState::Starting {
                attempt,
                worker: worker(w),
            }),
            Past::Again(_, w) if plan.recorded => Some(TaskState::Starting {
                attempt: Attempt(2),
                worker: worker(w),
            }),
            Past::Again(w, _) => Some(TaskState::Starting {
                attempt,
                worker: worker(w),
            }),
            Past::Over => Some(TaskState::Ended {
                attempt,
                worker: worker(0),
                end: End::Succeeded,
            }),
        };
        let again = matches!(plan.past, Past::Again(_, _));
        let state = state.filter(|_| plan.recorded || again);
        let job = Job {
            spec: Arc::new(spec(1, plan.idempotent)),
            accepted: START,
            cancelled: false,
            tasks: state.into_iter().map(|state| (0, state)).collect(),
            delegation: None,
            of: None,
        };
        image.jobs.insert(task(i).job, job);
    }
    image
}

impl World {
    fn new(mut plans: Vec<Plan>, old_owner: bool, unrecorded: bool) -> Self {
        for plan in &mut plans {
            // What the journal promises: only idempotent starts may lack their record, an end is
            // forgotten only once it is recorded, and only idempotent tasks are started again.
            plan.idempotent |= matches!(plan.past, Past::Again(_, _));
            plan.recorded |= !plan.idempotent || !unrecorded;
            plan.recorded |= matches!(plan.past, Past::Recorded | Past::Over);
        }
        let settings = Settings::default();
        let takeover = Takeover {
            epoch: NEW,
            renewals_end: (!old_owner).then_some(START),
            unrecorded,
        };
        let listed = (0..WORKERS).map(WorkerId);
        let machine = Machine::new(takeover, &image(&plans), listed, settings.clone(), START);
        let worker = Worker {
            epoch: OLD,
            ..Worker::default()
        };
        let mut world = Self {
            now: START,
            settings,
            workers: vec![worker; WORKERS as usize],
            messages: Vec::new(),
            old_owner,
            machine,
            ready: false,
            beliefs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            ever_ran: Vec::new(),
            ours: Vec::new(),
            plans,
        };
        for i in 0..world.plans.len() {
            world.begin(i);
        }
        world
    }

    fn begin(&mut self, i: usize) {
        match self.plans[i].past {
            Past::Nothing | Past::Recorded => {}
            Past::Sent(worker) => self.messages.push(Message {
                worker,
                start: Some(task(i)),
                sent: START,
            }),
            Past::Runs(w) => self.run_task(w, task(i), Attempt(1)),
            Past::Ended(w, end) => self.leave_end(w, task(i), end),
            Past::Again(first, second) => {
                self.leave_end(first, task(i), End::Failed);
                self.run_task(second, task(i), Attempt(2));
            }
            Past::Over => self.ever_ran.push(task(i)),
        }
    }

    fn leave_end(&mut self, w: u32, task: TaskId, end: End) {
        self.ever_ran.push(task);
        let worker = &mut self.workers[w as usize];
        worker.ended.insert((task, Attempt(1)), end);
    }

    fn run_task(&mut self, w: u32, task: TaskId, attempt: Attempt) {
        let lapse = self.now + self.settings.lease + self.settings.drift;
        let worker = &mut self.workers[w as usize];
        worker.running.insert(task, (attempt, lapse));
        self.ever_ran.push(task);
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Call(w, answered) => self.call(w, answered),
            Op::Land(i) if !self.messages.is_empty() => {
                let message = self.messages.remove(i % self.messages.len());
                self.land(message);
            }
            Op::Land(_) => {}
            Op::Renew(worker) if self.old_owner => self.messages.push(Message {
                worker,
                start: None,
                sent: self.now,
            }),
            Op::Renew(_) => {}
            Op::Wait(millis) => self.wait(millis),
            Op::End(i, end) => self.end_task(i, end),
            Op::Restart(w) => {
                self.workers[w as usize].running.clear();
                self.workers[w as usize].ended.clear();
            }
            Op::Unlist(w) => {
                self.workers[w as usize] = Worker {
                    gone: true,
                    ..Worker::default()
                };
                self.machine.unlisted(WorkerId(w), self.now);
            }
            Op::OldOwnerEnds => {
                self.old_owner = false;
                self.machine.renewals_ended(self.now);
            }
        }
        self.drive();
    }

    fn call(&mut self, w: u32, answered: bool) {
        let worker = &mut self.workers[w as usize];
        if worker.gone {
            return;
        }
        worker.epoch = NEW;
        let running = |(task, (attempt, _)): (&TaskId, &(Attempt, Timestamp))| Running {
            task: *task,
            attempt: *attempt,
            epoch: OLD,
            size: Resources::ZERO,
            usage: Resources::ZERO,
            age: Duration::ZERO,
            lease: Duration::ZERO,
            target: None,
            busy: 0,
        };
        let ended = |((task, attempt), end): (&(TaskId, Attempt), &End)| Ended {
            task: *task,
            attempt: *attempt,
            end: *end,
            age: Duration::ZERO,
        };
        let inventory = Inventory {
            worker: WorkerId(w),
            incarnation: Incarnation(1),
            epoch: NEW,
            clock: self.now,
            capacity: Resources::ZERO,
            version: 0,
            base: None,
            running: worker.running.iter().map(running).collect(),
            ended: worker.ended.iter().map(ended).collect(),
        };
        if answered {
            worker.answered = true;
            self.machine.on_inventory(&inventory).expect("our epoch");
        }
    }

    /// A message of the earlier owner arrives, if it is not too late and not fenced.
    fn land(&mut self, message: Message) {
        let worker = &mut self.workers[message.worker as usize];
        let late = self.now.since(message.sent) > self.settings.delay;
        if late || worker.gone || worker.epoch > OLD {
            return;
        }
        let lapse = self.now + self.settings.lease + self.settings.drift;
        match message.start {
            Some(task) => self.run_task(message.worker, task, Attempt(1)),
            None => worker.running.values_mut().for_each(|(_, at)| *at = lapse),
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        let now = self.now;
        let beliefs = &self.beliefs;
        for worker in &mut self.workers {
            worker.running.retain(|task, (attempt, lapse)| {
                // The new owner renews what it has adopted.
                let adopted = beliefs.get(task) == Some(&Belief::Adopted(*attempt));
                let stays = *lapse > now || adopted;
                if !stays {
                    worker.ended.insert((*task, *attempt), End::Lapsed);
                }
                stays
            });
        }
    }

    fn end_task(&mut self, i: usize, end: End) {
        let task = task(i % self.plans.len());
        for worker in &mut self.workers {
            if worker.epoch == NEW {
                continue;
            }
            if let Some((attempt, _)) = worker.running.remove(&task) {
                worker.ended.insert((task, attempt), end);
            }
        }
    }

    /// Applies the machine's steps, then starts every task that waits.
    fn drive(&mut self) {
        while let Some(effect) = self.machine.poll(self.now) {
            if let Effect::Step(step) = effect {
                self.step(step);
            }
        }
        if !self.ready {
            return;
        }
        for task in std::mem::take(&mut self.waiting) {
            self.start(task);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Submit { job, .. } => self.wait_for(TaskId::new(job, 0)),
            Step::Waiting { task, .. } | Step::Release { task, .. } => self.wait_for(task),
            Step::Restore { task, state } => match state {
                TaskState::Ended { end, .. } => self.believe(task, Belief::Ended(end)),
                other => panic!("restored as {other:?}"),
            },
            Step::Recall { task, attempt, .. } => self.believe(task, Belief::Withheld(attempt)),
            Step::Adopt { running, .. } => {
                assert!(!self.ours.contains(&running.task), "it runs twice");
                self.believe(running.task, Belief::Adopted(running.attempt));
            }
            Step::Ended {
                task, attempt, end, ..
            } => self.ended(task, attempt, end),
            Step::Unknown { task, attempt, .. } => {
                let shown = |w: &Worker| w.answered && w.ended.contains_key(&(task, attempt));
                assert!(!self.workers.iter().any(shown), "its end was shown");
                self.believe(task, Belief::Unknown);
            }
            Step::Ready => self.ready = true,
            Step::Cancel { .. }
            | Step::WorkerGone { .. }
            | Step::WorkerOpen { .. }
            | Step::Settled => {}
        }
    }

    /// The scheduling state passes over the end of an attempt that it does not have on record.
    fn ended(&mut self, task: TaskId, attempt: Attempt, end: End) {
        let other = match self.beliefs.get(&task) {
            Some(Belief::Withheld(known) | Belief::Adopted(known)) => *known != attempt,
            Some(Belief::Started) => true,
            _ => false,
        };
        if other && !self.waiting.contains(&task) {
            return;
        }
        self.believe(task, Belief::Ended(end));
        if end != End::Succeeded && self.plans[index(task)].idempotent {
            self.wait_for(task);
        }
    }

    fn wait_for(&mut self, task: TaskId) {
        self.waiting.insert(task);
    }

    fn believe(&mut self, task: TaskId, belief: Belief) {
        self.waiting.remove(&task);
        self.beliefs.insert(task, belief);
    }

    /// The new owner starts a task: it must run nowhere, nor be about to.
    fn start(&mut self, task: TaskId) {
        let plan = self.plans[index(task)];
        for (w, worker) in self.workers.iter().enumerate() {
            let runs = worker.running.contains_key(&task);
            assert!(!runs, "{task} still runs on w{w}");
        }
        for message in self.messages.iter().filter(|m| m.start == Some(task)) {
            let worker = &self.workers[message.worker as usize];
            let late = self.now.since(message.sent) > self.settings.delay;
            let void = late || worker.gone || worker.epoch > OLD;
            assert!(void, "a start of {task} is still under way");
        }
        let ran = self.ever_ran.contains(&task);
        assert!(plan.idempotent || !ran, "{task} would run twice");
        assert!(!self.ours.contains(&task), "{task} was started twice by us");
        self.ours.push(task);
        self.beliefs.insert(task, Belief::Started);
    }

    /// Everyone answers or is gone at last; every task must have come to something true.
    fn finish(&mut self) {
        self.apply(Op::OldOwnerEnds);
        for _ in 0..20 {
            self.apply(Op::Wait(1_000));
        }
        assert!(self.machine.is_settled());
        assert_eq!(self.machine.withheld(), 0);
        for (i, plan) in self.plans.iter().enumerate() {
            let belief = self.beliefs.get(&task(i)).copied();
            match belief {
                None | Some(Belief::Withheld(_)) => panic!("{} is forgotten", task(i)),
                Some(Belief::Unknown) => assert!(!plan.idempotent),
                Some(_) => {}
            }
            if plan.past == Past::Nothing {
                assert_eq!(belief, Some(Belief::Started), "it never ran");
            }
        }
    }
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![Just(End::Succeeded), Just(End::Failed)]
}

fn plan() -> impl Strategy<Value = Plan> {
    let worker = 0..WORKERS;
    let past = prop_oneof![
        Just(Past::Nothing),
        Just(Past::Recorded),
        worker.clone().prop_map(Past::Sent),
        worker.clone().prop_map(Past::Runs),
        (worker.clone(), end()).prop_map(|(w, end)| Past::Ended(w, end)),
        (worker.clone(), worker).prop_map(|(first, second)| Past::Again(first, second)),
        Just(Past::Over),
    ];
    (any::<bool>(), any::<bool>(), past).prop_map(|(idempotent, recorded, past)| Plan {
        idempotent,
        recorded,
        past,
    })
}

fn op() -> impl Strategy<Value = Op> {
    let worker = 0..WORKERS;
    prop_oneof![
        4 => (worker.clone(), any::<bool>()).prop_map(|(w, answered)| Op::Call(w, answered)),
        3 => (0..8usize).prop_map(Op::Land),
        3 => worker.clone().prop_map(Op::Renew),
        4 => (100..3_000u64).prop_map(Op::Wait),
        2 => (0..6usize, end()).prop_map(|(i, end)| Op::End(i, end)),
        1 => worker.clone().prop_map(Op::Restart),
        1 => worker.prop_map(Op::Unlist),
        1 => Just(Op::OldOwnerEnds),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_task_runs_twice_and_none_is_forgotten(
        plans in proptest::collection::vec(plan(), 1..6),
        ops in proptest::collection::vec(op(), 1..60),
        old_owner in any::<bool>(),
        unrecorded in any::<bool>(),
    ) {
        let mut world = World::new(plans, old_owner, unrecorded);
        for op in ops {
            world.apply(op);
        }
        world.finish();
    }
}
