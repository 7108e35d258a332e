//! Filling tasks beside tasks that serve their own users.

use std::time::Duration;

use fulmarpier_cell::{
    bounds::Bounds,
    effect::{
        Effect,
        Hold, //
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
    record::Accepted,
};
use fulmarpier_state::clock::Timestamp;

use crate::world::{
    queue,
    size, //
};

const TARGET: Duration = Duration::from_millis(100);

/// A cell of workers that hold what they are told to; how close serving tasks are to their target is set.
struct Cell {
    engine: Engine,
    now: Timestamp,
    workers: Vec<WorkerId>,
    running: Vec<(WorkerId, TaskId, Run)>,
    holds: Vec<Hold>,
    tail: u32,
    /// The share that each order to pace named.
    paces: Vec<u8>,
    /// How many orders to pace get no answer.
    lost: usize,
}

impl Cell {
    fn new(workers: usize) -> Self {
        let now = Timestamp::from_millis(100_000);
        let ids: Vec<WorkerId> = (0..workers).map(|n| format!("w{n}").into()).collect();
        let mut engine = Engine::new(Epoch(1), Bounds::default(), Inheritance::default(), now);
        engine.evacuate(Evacuation::default(), now, now);
        for id in &ids {
            let registration = Registration {
                incarnation: None,
                id: id.clone(),
                address: "127.0.0.1:1".parse().unwrap(),
                pool: PoolName::from("pool"),
                capacity: size(4_000, 4_096),
                labels: Vec::new(),
                data_centre: None,
                leaving: None,
            };
            engine.register(registration, now);
        }
        Self {
            engine,
            now,
            workers: ids,
            running: Vec::new(),
            holds: Vec::new(),
            tail: 0,
            paces: Vec::new(),
            lost: 0,
        }
    }

    fn submit(&mut self, job: u64, step: Step) {
        let accepted = Accepted {
            job: JobId(job),
            queue: queue("batch", 2, false).into(),
            spec: Spec {
                text: "text".into(),
                steps: vec![step],
                schedule: None,
            }
            .into(),
            workspace: None,
            received: self.now,
            partition: 0,
        };
        self.engine.submit(accepted, self.now);
        self.run(Duration::from_millis(500));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            self.answer_holds();
            for effect in self.engine.advance(self.now) {
                self.take(effect);
            }
        }
    }

    fn answer_holds(&mut self) {
        let now = self.now;
        let due = |hold: &mut Hold| hold.asked + hold.wait <= now;
        let due: Vec<Hold> = self.holds.extract_if(.., due).collect();
        for hold in due {
            let here = self.running.iter();
            let here = here.filter(|(worker, ..)| *worker == hold.to.worker);
            let running = here.map(|(_, task, run)| Running {
                task: *task,
                run: *run,
                checkpoint: None,
                load: self.tail,
            });
            let inventory = Inventory {
                incarnation: None,
                clock: 1,
                running: running.collect(),
                ended: Vec::new(),
            };
            let answer = HoldAnswer::Listed(inventory);
            self.engine.held(&hold.to.worker, hold.asked, answer, now);
        }
    }

    fn take(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Hold(hold) => self.holds.push(hold),
            Effect::Record(_) => self.engine.recorded(now),
            Effect::Start(start) => {
                let worker = start.to.worker;
                let (task, run) = (start.task, start.run);
                self.engine
                    .started(&worker, task, run, StartAnswer::Started, now);
                self.running.push((worker, task, run));
            }
            Effect::Pace(pace) => {
                let (worker, task, run) = (pace.to.worker, pace.task, pace.run);
                let answer = match self.lost {
                    0 => {
                        self.paces.push(pace.percent);
                        StopAnswer::Confirmed
                    }
                    _ => {
                        self.lost -= 1;
                        StopAnswer::Silent
                    }
                };
                self.engine
                    .paced(&worker, task, run, pace.percent, answer, now);
            }
            _ => {}
        }
    }

    fn places(&self, job: u64) -> Vec<&WorkerId> {
        let of = self.running.iter();
        let of = of.filter(|(_, task, _)| task.step.job == JobId(job));
        of.map(|(worker, ..)| worker).collect()
    }
}

fn serving(count: u16) -> Step {
    Step {
        count,
        size: size(1_000, 512),
        lasting: true,
        target: Some(TARGET),
        ..Step::default()
    }
}

fn filling(count: u16) -> Step {
    Step {
        count,
        size: size(4_000, 512),
        fills: true,
        ..Step::default()
    }
}

#[test]
fn filling_tasks_stand_back_while_a_serving_one_is_over_its_target() {
    let mut cell = Cell::new(1);
    cell.submit(1, serving(1));
    cell.submit(2, filling(1));
    assert_eq!((cell.places(1).len(), cell.places(2).len()), (1, 1));
    cell.tail = 50;
    cell.run(Duration::from_secs(3));
    assert_eq!(cell.paces, []);
    cell.tail = 90;
    cell.run(Duration::from_millis(1_500));
    assert_eq!(cell.paces.first(), Some(&50));
    cell.tail = 150;
    cell.run(Duration::from_secs(2));
    assert_eq!(cell.paces.last(), Some(&0));
    cell.tail = 40;
    cell.run(Duration::from_secs(12));
    assert_eq!(cell.paces.last(), Some(&100));
    let rises = cell.paces.iter().skip_while(|share| **share > 0);
    assert!(rises.is_sorted());
}

#[test]
fn an_order_to_pace_without_an_answer_is_given_again() {
    let mut cell = Cell::new(1);
    cell.submit(1, serving(1));
    cell.submit(2, filling(1));
    cell.lost = 2;
    cell.tail = 150;
    cell.run(Duration::from_secs(3));
    assert_eq!(cell.lost, 0);
    assert_eq!(cell.paces.last(), Some(&0));
}

#[test]
fn filling_and_serving_tasks_keep_apart_where_there_is_room() {
    let mut cell = Cell::new(3);
    cell.submit(1, serving(2));
    cell.submit(2, filling(2));
    cell.submit(3, serving(1));
    let served = cell.places(1);
    let filled = cell.places(2);
    assert_eq!(filled.len(), 2);
    assert!(filled.iter().all(|worker| !served.contains(worker)));
    assert!(cell.places(3).iter().all(|worker| !filled.contains(worker)));
    assert_eq!(cell.workers.len(), 3);
}
