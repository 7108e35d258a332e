//! Random histories of whole cells: links between groups are cut, held or slow, the store is silent, and nodes lose
//! power, are restarted or stand still.

use std::{
    collections::BTreeMap,
    thread,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng,
    seq::IndexedRandom, //
};
use tokio::{
    runtime::Builder,
    time::{
        Instant,
        sleep, //
    },
};

use crate::world::{
    Effect,
    Site,
    Size,
    World, //
};

/// How long faults begin in a history.
const FAULT_PERIOD: Duration = Duration::from_secs(60);
/// How often a job may be submitted.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(500);
/// How long all jobs may take after the last fault has ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(180);
/// How many histories are run by default; `HISTORIES=1000` in the environment runs more, and `HISTORY=7` only that seed.
const DEFAULT_HISTORIES: u64 = 12;
/// How many histories run at a time.
const THREADS: usize = 3;

struct History {
    rng: SmallRng,
    world: World,
    /// When each node that has ended starts again.
    restarts: BTreeMap<usize, Instant>,
    /// The longest time between two faults, in seconds.
    max_pause: f64,
}

impl History {
    async fn start(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let data_centres = rng.random_range(2..=3);
        let mut size = |_| Size {
            nodes: *[1, 2, 2, 3, 3].choose(&mut rng).unwrap(),
            workers: rng.random_range(1..=3),
        };
        let sizes: Vec<Size> = (0..data_centres).map(&mut size).collect();
        Self {
            world: World::start(&sizes).await,
            max_pause: rng.random_range(5.0..25.0),
            rng,
            restarts: BTreeMap::new(),
        }
    }

    /// Returns a duration between two limits, more often a short one.
    fn span(&mut self, shortest: f64, longest: f64) -> Duration {
        let ratio: f64 = longest / shortest;
        Duration::from_secs_f64(shortest * ratio.powf(self.rng.random_range(0.0..=1.0)))
    }

    fn pick<T: Clone>(&mut self, choices: &[T]) -> T {
        choices.choose(&mut self.rng).unwrap().clone()
    }

    /// Returns some of a group.
    fn part(&mut self, mut group: Vec<Site>) -> Vec<Site> {
        group.retain(|_| self.rng.random_bool(0.5));
        group
    }

    /// Returns a data centre, in half of the cases that of the owner.
    fn data_centre(&mut self) -> usize {
        match self.world.owner_data_centre() {
            Some(owner) if self.rng.random_bool(0.5) => owner,
            _ => self.rng.random_range(0..self.world.data_centre_count()),
        }
    }

    /// Returns a group of nodes, workers or both.
    fn group(&mut self) -> Vec<Site> {
        let data_centre = self.data_centre();
        let (nodes, workers) = (
            self.world.nodes_of(data_centre),
            self.world.workers_of(data_centre),
        );
        match self.rng.random_range(0..10) {
            0..=3 => nodes.into_iter().chain(workers).collect(),
            4 => nodes,
            5 => workers,
            6 => {
                let all = self.world.nodes();
                self.part(all)
            }
            7 | 8 => {
                let all = self.world.sites();
                self.part(all)
            }
            _ => {
                let all = self.world.nodes();
                vec![self.pick(&all)]
            }
        }
    }

    /// Returns what a group is to be cut off from.
    fn rest(&mut self, group: &[Site]) -> Vec<Site> {
        let mut rest = self.world.sites();
        rest.retain(|site| !group.contains(site));
        match self.rng.random_range(0..7) {
            0..=3 => {}
            4 => rest.retain(|site| *site == Site::Store),
            5 => rest.retain(|site| matches!(site, Site::Node(_))),
            _ => rest = self.part(rest),
        }
        rest
    }

    fn disturb_links(&mut self) {
        let group = self.group();
        let rest = self.rest(&group);
        let delay = self.span(0.005, 0.5);
        let effects = [
            Effect::Lose,
            Effect::Lose,
            Effect::Lose,
            Effect::Hold,
            Effect::Delay(delay),
        ];
        let effect = self.pick(&effects);
        let span = self.span(1.0, 30.0);
        let direction = self.rng.random_range(0..8);
        if direction != 0 {
            self.world.disturb(&group, &rest, effect, span);
        }
        if direction != 1 {
            self.world.disturb(&rest, &group, effect, span);
        }
    }

    fn silence_store(&mut self) {
        let span = self.span(0.2, 20.0);
        let nodes = self.world.nodes();
        self.world.cut(&nodes, &[Site::Store], span);
    }

    /// Ends a process, or its machine, and starts it again later.
    fn end_node(&mut self, is_off: bool) {
        let nodes = self.world.nodes().len();
        let node = self.rng.random_range(0..nodes);
        if !self.world.is_running(node) {
            return;
        }
        self.world.end_node(node, is_off);
        let pause = match is_off {
            true => self.span(1.0, 20.0),
            false => self.span(0.05, 3.0),
        };
        self.restarts.insert(node, Instant::now() + pause);
    }

    fn suspend_node(&mut self) {
        let nodes = self.world.nodes().len();
        let node = self.rng.random_range(0..nodes);
        let span = self.span(0.2, 9.0);
        self.world.suspend_node(node, span);
    }

    fn submit(&mut self) {
        let tasks = self.rng.random_range(1..=4);
        let duration = self.span(0.5, 40.0);
        self.world.submit(tasks, duration);
    }

    fn restart_nodes(&mut self, until: Instant) {
        let due = self.restarts.extract_if(.., |_, at| *at <= until);
        for (node, _) in due.collect::<Vec<_>>() {
            self.world.start_node(node);
        }
    }

    fn disturb(&mut self) {
        match self.rng.random_range(0..9) {
            0..=4 => self.disturb_links(),
            5 => self.silence_store(),
            6 => self.end_node(true),
            7 => self.end_node(false),
            _ => self.suspend_node(),
        }
    }

    /// Submits jobs until the next fault.
    async fn act(&mut self) {
        let next = Instant::now() + self.span(0.5, self.max_pause);
        while Instant::now() < next {
            self.restart_nodes(Instant::now());
            if self.rng.random_bool(0.3) {
                self.submit();
            }
            sleep(SUBMISSION_INTERVAL).await;
        }
        self.disturb();
    }

    /// Ends all faults, waits for all jobs, and returns what is wrong.
    async fn finish(mut self) -> Vec<String> {
        self.world.heal();
        self.restart_nodes(Instant::now() + FAULT_PERIOD);
        let open = self.world.wait_for_jobs(RECOVERY_LIMIT).await;
        let open = open.into_iter();
        let open = open.map(|(job, state)| format!("{job} is not completed: {state:?}"));
        self.world.violations().into_iter().chain(open).collect()
    }
}

/// Runs a history in its own runtime, so that all tasks of its nodes end with it.
fn run_history(seed: u64) -> Vec<String> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.unwrap().block_on(async {
        let mut history = History::start(seed).await;
        let until = Instant::now() + FAULT_PERIOD;
        while Instant::now() < until {
            history.act().await;
        }
        history.finish().await
    })
}

fn run_share(seeds: &[u64]) -> Vec<(u64, Vec<String>)> {
    let seeds = seeds.iter();
    seeds.map(|seed| (*seed, run_history(*seed))).collect()
}

/// Runs histories on several threads; returns what is wrong in each, by seed.
fn run_histories(seeds: &[u64]) -> BTreeMap<u64, Vec<String>> {
    thread::scope(|scope| {
        let share = seeds.len().div_ceil(THREADS).max(1);
        let threads: Vec<_> = seeds
            .chunks(share)
            .map(|seeds| scope.spawn(|| run_share(seeds)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect()
    })
}

fn number(variable: &str) -> Option<u64> {
    let value = std::env::var(variable).ok();
    value.map(|value| value.parse().unwrap())
}

#[test]
fn no_task_runs_twice_in_random_histories_of_cells() {
    let seeds = match number("HISTORY") {
        Some(seed) => seed..seed + 1,
        None => 0..number("HISTORIES").unwrap_or(DEFAULT_HISTORIES),
    };
    let broken: Vec<(u64, Vec<String>)> = run_histories(&seeds.collect::<Vec<_>>())
        .into_iter()
        .filter(|(_, wrong)| !wrong.is_empty())
        .collect();
    let seeds: Vec<u64> = broken.iter().map(|(seed, _)| *seed).collect();
    assert!(broken.is_empty(), "seeds {seeds:?}: {broken:#?}");
}
