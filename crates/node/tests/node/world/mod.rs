//! A world of whole nodes in virtual time: nodes and workers in data centres, a store, and the links between them.

mod log;
mod machine;
mod network;
mod processor;
mod workers;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use fulmarpier_cell::{
    bounds::Bounds,
    config::Queue,
    engine::State,
    id::{
        DataCentre,
        Epoch,
        JobId,
        NodeName, //
    },
    job::{
        Spec,
        Step, //
    },
    record::Accepted,
};
use fulmarpier_node::{
    Identity,
    Meter,
    Node,
    Parts,
    frontend::Frontend,
    platform::SMALL_CELL_JOB_PARTITIONS,
    revocation::RevocationLimit, //
};
use fulmarpier_state::unit::{
    Bandwidth,
    Bytes,
    Millicores, //
};
use slog::{
    Discard,
    Logger, //
};
use tokio::{
    runtime::Handle,
    time::{
        Instant,
        sleep, //
    },
};

use self::{
    log::Log,
    network::{
        Links,
        Port, //
    },
    processor::Processor,
    workers::Workers, //
};
pub(crate) use self::{
    machine::Machine,
    network::{
        Effect,
        Site, //
    },
    processor::Speed,
    workers::Record, //
};
use crate::{
    platform::Fake,
    support::{
        acceptance,
        queue,
        step, //
    },
};

/// How often to look whether something holds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The names of the data centres.
const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// The size of a data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) nodes: usize,
    pub(crate) workers: usize,
}

/// Three data centres with seven nodes.
pub(crate) const USUAL_SIZES: [Size; 3] = [
    Size {
        nodes: 3,
        workers: 2,
    },
    Size {
        nodes: 2,
        workers: 2,
    },
    Size {
        nodes: 2,
        workers: 2,
    },
];

/// A process of a node.
struct Process {
    node: Node<Machine>,
    machine: Machine,
}

pub(crate) struct World {
    sizes: Vec<Size>,
    links: Links,
    pub(crate) store: Fake,
    workers: Workers,
    /// How fast the processors of the nodes are; work takes no time without one.
    speed: Option<Speed>,
    processes: Vec<Option<Process>>,
    jobs: Vec<JobId>,
    started_at: Instant,
}

impl World {
    /// Starts a world in which work takes no time. The first node owns the cell.
    pub(crate) async fn start(sizes: &[Size]) -> Self {
        Self::start_with(sizes, None).await
    }

    /// Starts a world whose nodes have a processor each. The first node owns the cell.
    pub(crate) async fn start_with_processors(sizes: &[Size], speed: Speed) -> Self {
        Self::start_with(sizes, Some(speed)).await
    }

    async fn start_with(sizes: &[Size], speed: Option<Speed>) -> Self {
        let node_count = sizes.iter().map(|size| size.nodes).sum();
        let worker_count = sizes.iter().map(|size| size.workers).sum();
        let mut world = Self {
            sizes: sizes.to_vec(),
            links: Links::default(),
            store: Fake::with_workers(worker_count),
            workers: Workers::new(worker_count, &Bounds::default()),
            speed,
            processes: (0..node_count).map(|_| None).collect(),
            jobs: Vec::new(),
            started_at: Instant::now(),
        };
        for node in 0..node_count {
            world.start_node(node);
            world.wait_until_ready(node).await;
        }
        world
    }

    /// Returns the data centre of each node or worker, given the number of them in each data centre.
    fn data_centres(&self, count: impl Fn(&Size) -> usize) -> Vec<usize> {
        let sizes = self.sizes.iter().enumerate();
        sizes
            .flat_map(|(nth, size)| std::iter::repeat_n(nth, count(size)))
            .collect()
    }

    pub(crate) fn data_centre_count(&self) -> usize {
        self.sizes.len()
    }

    /// Returns the data centre of the node that owns the cell, as the store has it.
    pub(crate) fn owner_data_centre(&self) -> Option<usize> {
        let owner = self.store.owner()?;
        DATA_CENTRES.iter().position(|name| owner.starts_with(name))
    }

    /// Returns the nodes of a data centre.
    pub(crate) fn nodes_of(&self, data_centre: usize) -> Vec<Site> {
        let all = self.data_centres(|size| size.nodes);
        let own = (0..all.len()).filter(|node| all[*node] == data_centre);
        own.map(Site::Node).collect()
    }

    /// Returns the workers of a data centre.
    pub(crate) fn workers_of(&self, data_centre: usize) -> Vec<Site> {
        let all = self.data_centres(|size| size.workers);
        let own = (0..all.len()).filter(|worker| all[*worker] == data_centre);
        own.map(Site::Worker).collect()
    }

    pub(crate) fn nodes(&self) -> Vec<Site> {
        (0..self.processes.len()).map(Site::Node).collect()
    }

    /// Returns all nodes, all workers and the store.
    pub(crate) fn sites(&self) -> Vec<Site> {
        let data_centres = 0..self.sizes.len();
        let workers = data_centres.flat_map(|data_centre| self.workers_of(data_centre));
        let nodes = self.nodes().into_iter();
        nodes.chain(workers).chain([Site::Store]).collect()
    }

    /// Begins a fault on the messages from one group to another.
    pub(crate) fn disturb(&self, from: &[Site], to: &[Site], effect: Effect, span: Duration) {
        self.trace(|| format!("{effect:?} from {from:?} to {to:?} for {span:?}"));
        self.links.begin(from, to, effect, span);
    }

    /// Ends all faults.
    pub(crate) fn heal(&self) {
        self.trace(|| "heal".to_owned());
        self.links.heal();
    }

    /// Loses all messages between two groups.
    pub(crate) fn cut(&self, one: &[Site], other: &[Site], span: Duration) {
        self.disturb(one, other, Effect::Lose, span);
        self.disturb(other, one, Effect::Lose, span);
    }

    /// Writes what happens to the world into the log.
    fn trace(&self, line: impl FnOnce() -> String) {
        if log::is_wanted() {
            log::write(self.started_at, "world", &line());
        }
    }

    /// Loses all messages between a group and the rest of the world.
    pub(crate) fn isolate(&self, group: &[Site], span: Duration) {
        let mut others = self.sites();
        others.retain(|site| !group.contains(site));
        self.cut(group, &others, span);
    }

    /// Starts a new process of a node, in place of the one that it has.
    pub(crate) fn start_node(&mut self, node: usize) {
        self.end_node(node, false);
        self.trace(|| format!("start node {node}"));
        let workers = self.data_centres(|size| size.workers).into_iter();
        let data_centres = workers.map(|nth| DataCentre::from(DATA_CENTRES[nth]));
        let machine = Machine {
            port: Port::new(self.links.clone(), node),
            store: self.store.another_machine(),
            workers: self.workers.clone(),
            processor: self.speed.map(Processor::new),
            data_centres: data_centres.collect(),
        };
        let data_centre = DATA_CENTRES[self.data_centres(|size| size.nodes)[node]];
        let name = format!("{data_centre}-{node}");
        let started = Node::start_on(&machine.port, self.parts(name, node, machine.clone()));
        let node_started = started.unwrap();
        self.processes[node] = Some(Process {
            node: node_started,
            machine,
        });
    }

    fn parts(&self, name: String, node: usize, platform: Machine) -> Parts<Machine> {
        let log = Log {
            node: name.clone(),
            start: self.started_at,
        };
        Parts {
            identity: Identity {
                name: NodeName::from(name.as_str()),
                address: network::address(node),
                incarnation: rand::random(),
                processor: Millicores(250),
                link: Bandwidth::from_megabits(1_000),
                descriptors: 4_096,
                memory: Bytes::from_mib(256),
            },
            bounds: Bounds::default(),
            revocation_limit: RevocationLimit::default(),
            store_limits: platform.store.store_limits(),
            platform,
            log: match log::is_wanted() {
                true => Logger::root(log, slog::o!()),
                false => Logger::root(Discard, slog::o!()),
            },
            meter: Meter::new().unwrap(),
            membership: Handle::current(),
        }
    }

    /// Ends the process of a node. If its machine is off, connections to it are silent, and refused otherwise.
    pub(crate) fn end_node(&mut self, node: usize, is_off: bool) {
        self.trace(|| format!("end node {node}, off: {is_off}"));
        self.links.close(node, is_off);
        self.processes[node] = None;
    }

    pub(crate) fn is_running(&self, node: usize) -> bool {
        self.processes[node].is_some()
    }

    /// Holds all messages of a node for some time, after which its machine says that it was suspended.
    pub(crate) fn suspend_node(&self, node: usize, span: Duration) {
        let Some(process) = &self.processes[node] else {
            return;
        };
        let (site, all) = ([Site::Node(node)], self.sites());
        self.disturb(&site, &all, Effect::Hold, span);
        self.disturb(&all, &site, Effect::Hold, span);
        let store = process.machine.store.clone();
        tokio::spawn(async move {
            sleep(span).await;
            store.suspend(span);
        });
    }

    /// Submits a job of tasks that run for the given time.
    pub(crate) fn submit(&mut self, tasks: u16, duration: Duration) -> JobId {
        let id = JobId(self.jobs.len() as u64 + 1);
        let spec = Spec {
            payload: duration.as_millis().to_string().into(),
            steps: vec![Step {
                count: tasks,
                estimate: duration,
                ..step()
            }],
            schedule: None,
        };
        let partition = u16::try_from(id.0).unwrap() % SMALL_CELL_JOB_PARTITIONS;
        let queue = Queue {
            max_attempts: 100,
            ..queue()
        };
        let accepted = Accepted {
            queue: queue.into(),
            ..acceptance(id.0, spec, partition)
        };
        self.store.record_job(partition, &accepted);
        self.jobs.push(id);
        id
    }

    /// Returns the frontend of a node.
    pub(crate) fn frontend(&self, node: usize) -> Frontend<Machine> {
        self.processes[node].as_ref().unwrap().node.frontend()
    }

    /// Returns the epochs of all claims in the store.
    pub(crate) fn epochs(&self) -> BTreeSet<Epoch> {
        let claims = self.store.claims().into_iter();
        claims.map(|claim| claim.epoch).collect()
    }

    async fn wait_until_ready(&self, node: usize) {
        let process = self.processes[node].as_ref().unwrap();
        while !process.node.frontend().is_ready() {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the state of a job as a node knows it.
    async fn state(&self, job: JobId) -> Option<State> {
        let process = self.processes.iter().flatten().next()?;
        process.node.frontend().job_state(job).await.ok()
    }

    /// Waits until all jobs are completed; returns the states of those that are not by then.
    pub(crate) async fn wait_for_jobs(&self, limit: Duration) -> Vec<(JobId, Option<State>)> {
        let until = Instant::now() + limit;
        let mut open: Vec<(JobId, Option<State>)> =
            self.jobs.iter().map(|job| (*job, None)).collect();
        while !open.is_empty() && Instant::now() < until {
            let mut still_open = Vec::new();
            for (job, _) in open {
                let state = self.state(job).await;
                if state != Some(State::Completed) {
                    still_open.push((job, state));
                }
            }
            open = still_open;
            sleep(CHECK_INTERVAL).await;
        }
        open
    }

    /// Returns all runs so far, by the time of their start.
    pub(crate) fn runs(&self) -> Vec<Record> {
        self.workers.records()
    }

    /// Returns how the rule was broken that a task runs once at a time, and not again after it is done.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.workers.violations()
    }
}
