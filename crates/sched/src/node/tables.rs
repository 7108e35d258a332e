//! What a node knows, as tables for operators.

use fulmarpier_coordination::config::check::{
    ServiceUsage,
    TeamUsage,
    Usage,
    WorkerUsage, //
};
use fulmarpier_protocol::{
    http::table::{
        Cell,
        Table, //
    },
    query::Subject,
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::{
        JobView,
        State, //
    },
    id::JobId,
    job::Kind,
    resource::Resources, //
};

use super::Node;
use crate::shard::Live;

type Rows = Vec<Vec<Cell>>;

impl Node {
    /// Returns whether the peers know rows of their own of a subject.
    pub(super) const fn is_spread(&self, subject: Subject) -> bool {
        !matches!(subject, Subject::Config)
    }

    /// Returns this node's rows of a subject.
    pub(super) fn table(&self, subject: Subject, now: Timestamp) -> Table {
        let (columns, rows): (&[&str], Rows) = match subject {
            Subject::Jobs => (
                &[
                    "job", "state", "team", "kind", "priority", "tasks", "waiting", "running",
                    "shard", "why",
                ],
                self.job_rows(now, |_| true),
            ),
            Subject::Queue => (
                &[
                    "job", "state", "team", "kind", "priority", "tasks", "waiting", "running",
                    "shard", "why",
                ],
                self.job_rows(now, |view| {
                    matches!(view.state, State::Waiting | State::Held) || view.waiting > 0
                }),
            ),
            Subject::Tasks => (
                &[
                    "task", "attempt", "worker", "phase", "cpu", "memory", "age", "shard",
                ],
                self.task_rows(now),
            ),
            Subject::Workers => (
                &[
                    "worker",
                    "condition",
                    "data_centre",
                    "rack",
                    "cpu",
                    "cpu_free",
                    "memory",
                    "memory_free",
                    "tasks",
                    "shard",
                ],
                self.worker_rows(),
            ),
            Subject::Nodes => (
                &[
                    "node",
                    "incarnation",
                    "shards",
                    "config",
                    "gate_config",
                    "log",
                    "draining",
                ],
                vec![self.node_row(now)],
            ),
            Subject::Shards => (
                &[
                    "shard",
                    "epoch",
                    "owner",
                    "placing",
                    "workers",
                    "waiting_tasks",
                    "cpu_free",
                ],
                self.shard_rows(now),
            ),
            Subject::Services => (
                &["service", "target", "worker", "held", "in_doubt", "shard"],
                self.service_rows(),
            ),
            Subject::Teams => (
                &[
                    "team",
                    "cpu_used",
                    "memory_used",
                    "weight",
                    "configured",
                    "shard",
                ],
                self.team_rows(),
            ),
            Subject::Refusals => (&["reason", "count", "node"], self.refusal_rows()),
            Subject::Config => (&["version", "document"], vec![self.config_row()]),
        };
        Table {
            columns: columns.iter().map(|column| (*column).to_owned()).collect(),
            rows,
            ..Table::default()
        }
    }

    /// Returns why a job that this node knows is where it is.
    pub(super) fn explanation(&self, job: JobId, now: Timestamp) -> Table {
        let views = self.lives().filter_map(|live| {
            let view = live.view(job, now)?;
            let why = view.explanation.join("; ");
            let state = format!("{:?}", view.state).to_lowercase();
            Some(vec![
                Cell::text(job),
                state.into(),
                view.tasks.waiting.into(),
                view.tasks.running.into(),
                Cell::text(live.shard),
                why.into(),
            ])
        });
        Table {
            columns: ["job", "state", "waiting", "running", "shard", "why"]
                .map(str::to_owned)
                .to_vec(),
            rows: views.collect(),
            ..Table::default()
        }
    }

    fn job_rows(&self, now: Timestamp, wanted: impl Fn(&JobView) -> bool) -> Rows {
        let mut rows = Vec::new();
        for live in self.lives() {
            for view in live.job_views().iter().filter(|view| wanted(view)) {
                rows.push(job_row(live, view, now));
            }
        }
        rows
    }

    fn task_rows(&self, now: Timestamp) -> Rows {
        let mut rows = Vec::new();
        for live in self.lives() {
            let engine = live.engine();
            for task in engine.jobs().flat_map(|job| engine.tasks(job.id)) {
                rows.push(vec![
                    Cell::text(task.id),
                    task.attempt.0.into(),
                    Cell::text(task.worker),
                    format!("{:?}", task.phase).to_lowercase().into(),
                    Cell::text(task.size.cpu),
                    Cell::text(task.size.memory),
                    now.since(task.begun).as_secs_f64().into(),
                    Cell::text(live.shard),
                ]);
            }
        }
        rows
    }

    fn worker_rows(&self) -> Rows {
        let mut rows = Vec::new();
        for live in self.lives() {
            let engine = live.engine();
            for (spec, condition) in engine.workers() {
                let free = engine.free(spec.id).unwrap_or_default();
                rows.push(vec![
                    Cell::text(spec.id),
                    Cell::text(condition),
                    Cell::text(spec.data_centre),
                    Cell::text(spec.rack),
                    Cell::text(spec.capacity.cpu),
                    Cell::text(free.cpu),
                    Cell::text(spec.capacity.memory),
                    Cell::text(free.memory),
                    engine.tasks_on(spec.id).count().into(),
                    Cell::text(live.shard),
                ]);
            }
        }
        rows
    }

    fn node_row(&self, now: Timestamp) -> Vec<Cell> {
        let version = self.register.version();
        let gate = self.gates.version_of(self.holder.node);
        vec![
            Cell::text(self.holder.node),
            Cell::text(self.holder.incarnation),
            self.lives().count().into(),
            version.get().into(),
            gate.map_or(Cell::Empty, |version| version.get().into()),
            if self.member.log_is_up(now) {
                "up"
            } else {
                "down"
            }
            .into(),
            self.draining.into(),
        ]
    }

    fn shard_rows(&self, now: Timestamp) -> Rows {
        let row = |live: &Live| {
            let digest = live.engine().digest();
            vec![
                Cell::text(live.shard),
                Cell::text(live.epoch),
                Cell::text(self.holder.node),
                live.is_placing(now).into(),
                live.engine().workers().count().into(),
                digest.waiting_tasks.into(),
                digest.free.cpu.into(),
            ]
        };
        self.lives().map(row).collect()
    }

    fn service_rows(&self) -> Rows {
        let mut rows = Vec::new();
        for live in self.lives() {
            for (worker, target, service) in live.services() {
                rows.push(vec![
                    Cell::text(service),
                    Cell::text(target),
                    Cell::text(worker),
                    u32::from(self.credits.held(target)).into(),
                    u32::from(self.credits.doubtful(target)).into(),
                    Cell::text(live.shard),
                ]);
            }
        }
        rows
    }

    fn team_rows(&self) -> Rows {
        let mut rows = Vec::new();
        for live in self.lives() {
            for account in live.engine().teams() {
                rows.push(vec![
                    Cell::text(&account.team),
                    Cell::text(account.used.cpu),
                    Cell::text(account.used.memory),
                    account.limit.weight.into(),
                    account.configured.into(),
                    Cell::text(live.shard),
                ]);
            }
        }
        rows
    }

    fn refusal_rows(&self) -> Rows {
        let node = Cell::text(self.holder.node);
        let row = |(reason, count): (fulmarpier_state::refusal::Reason, u64)| {
            vec![reason.word().into(), count.into(), node.clone()]
        };
        self.out.refusals().into_iter().map(row).collect()
    }

    fn config_row(&self) -> Vec<Cell> {
        let document = serde_json::to_string(self.register.document().as_ref());
        vec![
            self.register.version().get().into(),
            document.unwrap_or_default().into(),
        ]
    }

    /// Sums up what runs on this node's shards, for the check of a change.
    pub(super) fn usage(&self) -> Usage {
        let mut usage = Usage {
            nodes: self.map.nodes().map(|node| node.id).collect(),
            ..Usage::default()
        };
        for live in self.lives() {
            add_workers(live, &mut usage);
            add_jobs(live, &mut usage);
        }
        usage
    }
}

fn job_row(live: &Live, view: &JobView, now: Timestamp) -> Vec<Cell> {
    let why = live.engine().explain(view.id, now);
    vec![
        Cell::text(view.id),
        Cell::text(view.state),
        Cell::text(&view.spec.team),
        view.spec.kind.word().into(),
        format!("{:?}", view.spec.priority).to_lowercase().into(),
        view.tasks.into(),
        view.waiting.into(),
        view.running.into(),
        Cell::text(live.shard),
        why.map_or(Cell::Empty, Cell::text),
    ]
}

fn add_workers(live: &Live, usage: &mut Usage) {
    let engine = live.engine();
    for (spec, _) in engine.workers() {
        let free = engine.free(spec.id).unwrap_or_default();
        let worker = WorkerUsage {
            data_centre: spec.data_centre,
            capacity: spec.capacity,
            used: spec.capacity.checked_sub(free).unwrap_or_default(),
            running: count(engine.tasks_on(spec.id).count()),
        };
        usage.workers.insert(spec.id, worker);
    }
}

fn add_jobs(live: &Live, usage: &mut Usage) {
    for view in live.engine().jobs() {
        if matches!(view.state, State::Ended(_)) {
            continue;
        }
        let team = usage.teams.entry(view.spec.team.clone()).or_default();
        add_team(team, &view);
        if let Kind::Service { service, .. } = &view.spec.kind {
            let entry = usage.services.entry(service.clone()).or_default();
            add_targets(entry, live, view.id);
        }
    }
}

fn add_team(team: &mut TeamUsage, view: &JobView) {
    let running = view.running + view.starting;
    let used = view.spec.size.checked_mul(running).unwrap_or_default();
    team.used = team.used.checked_add(used).unwrap_or(team.used);
    team.largest = Resources::new(
        team.largest.cpu.max(view.spec.size.cpu),
        team.largest.memory.max(view.spec.size.memory),
        team.largest.accelerators.max(view.spec.size.accelerators),
    );
    team.running += running;
    team.waiting += view.waiting;
}

fn add_targets(service: &mut ServiceUsage, live: &Live, job: JobId) {
    for task in live.engine().tasks(job) {
        *service.targets.entry(task.worker).or_default() += 1;
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
