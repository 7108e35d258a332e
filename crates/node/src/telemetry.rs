//! The logs and metrics of a node.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    fmt,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use fulmarpier_cell::{
    advice::Load,
    effect::LogRecord,
    engine::{
        Counts,
        WaitReason,
        WorkspaceUsage, //
    },
    share::Standing,
};
use fulmarpier_state::{
    alias::HashMap,
    resource::Resources, //
};
use fulmarpier_transport::metrics::{
    Error as MetricsError,
    Registry, //
};
use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Gauge,
        Histogram, //
    },
};
use slog::Logger;
use tokio::time::Instant;

use crate::{
    platform::{
        Error,
        Rejected, //
    },
    rejection_log::RejectionLog,
    work, //
};

/// The maximum number of log lines of one kind and reason per second. A busy second has about 400 decisions; lines
/// beyond the limit are only counted. A line has about 150 bytes. Reasons are limited separately because the rare
/// ones, such as a gang's end for want of members, are those that explain a fault.
const MAX_LINES_PER_SECOND: u32 = 120;
const SECOND: Duration = Duration::from_secs(1);
/// The number of characters to which a log line shortens a key of another writer. Keys have up to 255 bytes.
const MAX_KEY_CHARS: usize = 64;

/// The maximum number of workspaces with gauges. A platform may have hundreds, and each takes ten gauges.
const MAX_WORKSPACES: usize = 32;

/// The kind and the reason of a log line; the reason is empty if the kind has none.
type Kind = (&'static str, &'static str);

/// The number of log lines of one kind and reason in the current period of one second.
#[derive(Debug)]
struct RateLimit {
    since: Instant,
    written: u32,
    suppressed: u64,
}

struct Inner {
    registry: Registry,
    requests: Counter<u64>,
    decisions: Counter<u64>,
    store_calls: Histogram<f64>,
    worker_calls: Histogram<f64>,
    accept: Histogram<f64>,
    wait: Histogram<f64>,
    finish: Histogram<f64>,
    advice: Histogram<f64>,
    advice_wait: Histogram<f64>,
    advice_load: Gauge<u64>,
    engine_state: Gauge<u64>,
    workspaces: Gauge<u64>,
    shares: Gauge<u64>,
    worker_speeds: Gauge<u64>,
    suppressed_lines: Counter<u64>,
    lost_reports: Counter<u64>,
    rejected: Counter<u64>,
    logged_rejections: Mutex<RejectionLog>,
    peer_calls: Counter<u64>,
    peer_store_answers: Counter<u64>,
    owner_unconfirmed: Gauge<f64>,
    votes: Counter<u64>,
    unfenced_owners: Gauge<u64>,
    work_time: Counter<u64>,
    work_pieces: Counter<u64>,
    client_limits: Counter<u64>,
    rate_limits: Mutex<HashMap<Kind, RateLimit>>,
}

/// The metrics of a node and the rate limits of its log; cheap to clone.
#[derive(Clone)]
pub struct Meter(Arc<Inner>);

impl fmt::Debug for Meter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meter").finish_non_exhaustive()
    }
}

impl Meter {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be built.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new("node", &[])?;
        let inner = Inner {
            requests: registry.counter(
                "fulmarpier_requests",
                "Calls of callers by kind and outcome.",
            ),
            decisions: registry.counter("fulmarpier_decisions", "Decisions by kind and reason."),
            store_calls: registry.histogram(
                "fulmarpier_store_call_seconds",
                "Calls of the store by purpose and outcome.",
            ),
            worker_calls: registry.histogram(
                "fulmarpier_worker_call_seconds",
                "Calls of workers by kind and outcome.",
            ),
            accept: registry.histogram(
                "fulmarpier_accept_seconds",
                "From a job's arrival to its record.",
            ),
            wait: registry.histogram(
                "fulmarpier_wait_seconds",
                "From a step's turn to the start of a task.",
            ),
            finish: registry.histogram(
                "fulmarpier_finish_seconds",
                "From a job's arrival to the record of its end.",
            ),
            advice: registry.histogram(
                "fulmarpier_advice_seconds",
                "Calls for advice by priority and purpose.",
            ),
            advice_wait: registry.histogram(
                "fulmarpier_advice_wait_seconds",
                "From when a step wants a call for advice to when a node makes it, by priority.",
            ),
            advice_load: registry.gauge(
                "fulmarpier_advice_load",
                "The calls for advice that are made or wanted, by priority and kind.",
            ),
            engine_state: registry
                .gauge("fulmarpier_believed", "What the owner believes, by kind."),
            workspaces: registry.gauge(
                "fulmarpier_workspace",
                "What workspaces have running and may have, by workspace, resource and kind.",
            ),
            shares: registry.gauge(
                "fulmarpier_workspace_share",
                "How the usage of workspaces compares with their shares, by workspace and kind.",
            ),
            worker_speeds: registry.gauge(
                "fulmarpier_worker_speed",
                "How many workers are slower or faster than others of their pool, by class.",
            ),
            suppressed_lines: registry.counter(
                "fulmarpier_log_lines_left_out",
                "Lines left out of the log by kind and reason.",
            ),
            peer_calls: registry.counter("fulmarpier_peer_calls", "Calls of other nodes by kind."),
            peer_store_answers: registry.counter(
                "fulmarpier_peer_store_answers",
                "Answers of other nodes to the owner's question whether the store answers them, by outcome.",
            ),
            owner_unconfirmed: registry.seconds(
                "fulmarpier_owner_unconfirmed_seconds",
                "Time since the store last confirmed the claim of this node as the owner; 0 if it doesn't own the cell.",
            ),
            votes: registry.counter(
                "fulmarpier_owner_votes",
                "Answers of voters to this node as the owner, while the store did not confirm its claim.",
            ),
            unfenced_owners: registry.gauge(
                "fulmarpier_unfenced_owners",
                "Former owners that may still act, as far as this node knows as the owner.",
            ),
            work_time: registry.counter(
                "fulmarpier_work_microseconds",
                "Processor time of this node by kind of work.",
            ),
            work_pieces: registry.counter(
                "fulmarpier_work_pieces",
                "Pieces of work of this node by kind.",
            ),
            client_limits: registry.counter(
                "fulmarpier_client_limits",
                "How often a limit on what clients may take acted, by kind of clients and limit.",
            ),
            lost_reports: registry.counter(
                "fulmarpier_reports_lost",
                "Reports on orders that the owner did not take.",
            ),
            rejected: registry.counter(
                "fulmarpier_records_rejected",
                "Records of other writers that were turned away, by topic and kind of fault.",
            ),
            logged_rejections: Mutex::default(),
            rate_limits: Mutex::default(),
            registry,
        };
        Ok(Self(Arc::new(inner)))
    }

    /// Returns all metrics in the text format of the exporter.
    ///
    /// # Errors
    ///
    /// Fails if an instrument can't be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        self.0.registry.render()
    }

    /// Counts a log line of this kind and reason and returns whether it is within the rate limit.
    pub(crate) fn may_log(&self, kind: &'static str, reason: &'static str) -> bool {
        let now = Instant::now();
        let Ok(mut rate_limits) = self.0.rate_limits.lock() else {
            return false;
        };
        let limit = rate_limits.entry((kind, reason)).or_insert(RateLimit {
            since: now,
            written: 0,
            suppressed: 0,
        });
        if now.duration_since(limit.since) >= SECOND {
            limit.since = now;
            limit.written = 0;
        }
        if limit.written < MAX_LINES_PER_SECOND {
            limit.written += 1;
            return true;
        }
        limit.suppressed += 1;
        self.0.suppressed_lines.add(
            1,
            &[KeyValue::new("kind", kind), KeyValue::new("reason", reason)],
        );
        false
    }

    /// Returns the number of lines of each kind and reason that were suppressed since the last call.
    pub(crate) fn take_suppressed_lines(&self) -> Vec<(Kind, u64)> {
        let Ok(mut rate_limits) = self.0.rate_limits.lock() else {
            return Vec::new();
        };
        let counts = rate_limits
            .iter_mut()
            .map(|(kind, limit)| (*kind, std::mem::take(&mut limit.suppressed)));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    pub(crate) fn request(&self, call: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.0.requests.add(1, &labels);
    }

    pub(crate) fn client_limit(&self, clients: &'static str, limit: &'static str, count: u64) {
        let labels = [
            KeyValue::new("clients", clients),
            KeyValue::new("limit", limit),
        ];
        self.0.client_limits.add(count, &labels);
    }

    pub(crate) fn accepted(&self, took: Duration) {
        self.0.accept.record(took.as_secs_f64(), &[]);
    }

    pub(crate) fn store_call<T>(
        &self,
        purpose: &'static str,
        took: Duration,
        result: &Result<T, Error>,
    ) {
        let outcome = result.as_ref().err().map_or("ok", Error::as_str);
        let labels = [
            KeyValue::new("purpose", purpose),
            KeyValue::new("outcome", outcome),
        ];
        self.0.store_calls.record(took.as_secs_f64(), &labels);
    }

    pub(crate) fn worker_call(&self, kind: &'static str, took: Duration, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.0.worker_calls.record(took.as_secs_f64(), &labels);
    }

    pub(crate) fn peer_call(&self, kind: &'static str) {
        self.0.peer_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts answers of other nodes to the owner's question whether the store answers them.
    pub(crate) fn peer_store_answers(&self, outcome: &'static str, answers: usize) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.0.peer_store_answers.add(count(answers), &labels);
    }

    /// Sets the time since the store last confirmed the claim of this node.
    pub(crate) fn owner_unconfirmed(&self, age: Duration) {
        self.0.owner_unconfirmed.record(age.as_secs_f64(), &[]);
    }

    /// Counts an answer of a voter to this node as the owner.
    pub(crate) fn vote(&self, answer: &'static str) {
        self.0.votes.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Sets how many former owners may still act, as far as this node knows as the owner.
    pub(crate) fn unfenced_owners(&self, owners: usize) {
        self.0.unfenced_owners.record(count(owners), &[]);
    }

    /// Counts the time that each kind of work took.
    pub(crate) fn work(&self, usage: &work::Usage) {
        for (kind, spent) in usage.iter().filter(|(_, spent)| spent.pieces > 0) {
            let labels = [KeyValue::new("kind", kind.as_str())];
            self.0.work_time.add(micros(spent.time), &labels);
            self.0.work_pieces.add(spent.pieces, &labels);
        }
    }

    pub(crate) fn lost_report(&self, why: &'static str) {
        self.0.lost_reports.add(1, &[KeyValue::new("reason", why)]);
    }

    /// Counts a rejected record, and logs the first one of each key and fault.
    pub(crate) fn record_rejected(&self, log: &Logger, topic: &'static str, rejected: &Rejected) {
        const KIND: &str = "record-rejected";
        let labels = [
            KeyValue::new("topic", topic),
            KeyValue::new("fault", rejected.fault.as_str()),
        ];
        self.0.rejected.add(1, &labels);
        let Ok(mut logged) = self.0.logged_rejections.lock() else {
            return;
        };
        if logged.contains(topic, rejected) || !self.may_log(KIND, rejected.fault.as_str()) {
            return;
        }
        logged.insert(topic, rejected);
        drop(logged);
        slog::warn!(log, "record-rejected"; "topic" => topic,
            "key" => rejected.key.as_deref().map_or_else(String::new, shorten),
            OptionalField("offset", rejected.offset),
            "fault" => rejected.fault.as_str(), "why" => %rejected.fault);
    }

    /// Sets the gauges that describe the state of the owner's engine.
    pub(crate) fn engine_counts(&self, counts: &Counts, epoch: u64, staleness: Duration) {
        let gauges: [(&'static str, usize); 11] = [
            ("jobs", counts.jobs),
            ("waiting", counts.pending_jobs),
            ("open_steps", counts.open_steps),
            ("steps_aside", counts.unschedulable_steps),
            ("claims", counts.allocations),
            ("listed", counts.listed_runs),
            ("workers_heard", counts.workers_heard),
            ("workers_silent", counts.workers_silent),
            ("workers_unheard", counts.workers_not_yet_heard),
            ("workers_evacuated", counts.workers_evacuated),
            ("workers_held", counts.workers_held),
        ];
        for (kind, value) in gauges {
            let labels = [KeyValue::new("kind", kind)];
            self.0.engine_state.record(count(value), &labels);
        }
        for (class, value) in counts.workers_by_speed {
            let labels = [KeyValue::new("class", class.as_str())];
            self.0.worker_speeds.record(count(value), &labels);
        }
        for (kind, value) in [("epoch", epoch), ("view_ms", millis(staleness))] {
            let labels = [KeyValue::new("kind", kind)];
            self.0.engine_state.record(value, &labels);
        }
    }

    /// Sets the gauges of the calls for advice, and logs them.
    pub(crate) fn advice_load(&self, log: &Logger, loads: &BTreeMap<u8, Load>) {
        for (priority, load) in loads {
            let priority = priority_label(*priority);
            let gauges = [
                ("busy_nodes", count(load.busy_nodes)),
                ("waiting_steps", count(load.waiting_steps)),
                ("longest_wait_ms", millis(load.longest_wait)),
            ];
            for (kind, value) in gauges {
                let labels = [
                    KeyValue::new("priority", priority),
                    KeyValue::new("kind", kind),
                ];
                self.0.advice_load.record(value, &labels);
            }
            if self.may_log("advice-load", priority) {
                slog::info!(log, "advice-load"; "priority" => priority,
                    "busy_nodes" => load.busy_nodes, "waiting_steps" => load.waiting_steps,
                    "longest_wait_ms" => millis(load.longest_wait));
            }
        }
    }

    /// Sets the gauges of usage and limits for the workspaces with the largest limits.
    pub(crate) fn workspaces(&self, mut usage: Vec<WorkspaceUsage>) {
        let memory = |size: Option<Resources>| size.map_or(0, |size| size.memory.get());
        usage.sort_by_key(|usage| Reverse(memory(usage.limit)));
        usage.truncate(MAX_WORKSPACES);
        for usage in &usage {
            for (kind, size) in [("used", Some(usage.used)), ("limit", usage.limit)] {
                for (resource, amount) in size.into_iter().flat_map(amounts) {
                    let labels = [
                        KeyValue::new("workspace", usage.workspace.to_string()),
                        KeyValue::new("resource", resource),
                        KeyValue::new("kind", kind),
                    ];
                    self.0.workspaces.record(amount, &labels);
                }
            }
            self.share(usage);
        }
    }

    /// Sets the gauges of a workspace's share. All are zero while the workspace doesn't ask for capacity.
    fn share(&self, usage: &WorkspaceUsage) {
        let share = usage.share.unwrap_or_default();
        let gauges = [
            ("ratio_thousandths", share.ratio.thousandths().into()),
            ("weight", share.weight),
            ("weights_asking", share.weights),
            ("over", (share.standing == Standing::Over).into()),
        ];
        for (kind, value) in gauges {
            let labels = [
                KeyValue::new("workspace", usage.workspace.to_string()),
                KeyValue::new("kind", kind),
            ];
            self.0.shares.record(value, &labels);
        }
    }

    /// Counts and logs a decision.
    pub(crate) fn decision(&self, log: &Logger, record: &LogRecord) {
        let (kind, reason) = kind_and_reason(record);
        let labels = [KeyValue::new("kind", kind), KeyValue::new("reason", reason)];
        self.0.decisions.add(1, &labels);
        match record {
            LogRecord::Placed { waited, .. } => self.0.wait.record(waited.as_secs_f64(), &[]),
            LogRecord::Finished { after, .. } => self.0.finish.record(after.as_secs_f64(), &[]),
            LogRecord::Advised {
                took,
                waited,
                purpose,
                priority,
                ..
            } => {
                let priority = KeyValue::new("priority", priority_label(*priority));
                let wait = waited.as_secs_f64();
                self.0
                    .advice_wait
                    .record(wait, std::slice::from_ref(&priority));
                let labels = [priority, KeyValue::new("purpose", purpose.as_str())];
                self.0.advice.record(took.as_secs_f64(), &labels);
            }
            _ => {}
        }
        if self.may_log(kind, reason) {
            write_line(log, record);
        }
    }
}

/// Returns the amount of each resource with its name, which includes the unit.
fn amounts(size: Resources) -> [(&'static str, u64); 3] {
    [
        ("cpu_millicores", size.cpu.get().into()),
        ("memory_bytes", size.memory.get()),
        ("accelerators", size.accelerators.into()),
    ]
}

/// A numeric log field that is omitted if the value is unknown.
pub(crate) struct OptionalField(pub(crate) &'static str, pub(crate) Option<u64>);

impl slog::KV for OptionalField {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        match self.1 {
            Some(value) => serializer.emit_u64(self.0, value),
            None => Ok(()),
        }
    }
}

/// Returns the kind and the reason of a decision, as metric labels.
const fn kind_and_reason(record: &LogRecord) -> (&'static str, &'static str) {
    match record {
        LogRecord::Placed { .. } => ("placed", ""),
        LogRecord::NotStarted { why, .. } => ("not-started", why),
        LogRecord::Gang { state, .. } => ("gang", state),
        LogRecord::Ended { reason, .. } => ("ended", reason.as_str()),
        LogRecord::Stopping { why, .. } => ("stopping", why),
        LogRecord::Preempting { .. } => ("preempting", ""),
        LogRecord::Hold { state, .. } => ("hold", state),
        LogRecord::Unheard { why, .. } => ("worker-unheard", why),
        LogRecord::Worker { belief, .. } => ("worker", belief),
        LogRecord::Speed { class, .. } => ("speed", class.as_str()),
        LogRecord::Lost { why, .. } => ("lost", why),
        LogRecord::Crashed { verdict, .. } => ("crashed", verdict),
        LogRecord::Absent { phase, .. } => ("absent", phase),
        LogRecord::Adopted { .. } => ("adopted", ""),
        LogRecord::Finished { outcome, .. } => ("finished", outcome),
        LogRecord::Waiting { why, .. } => ("waits", why.as_str()),
        LogRecord::Share { share, .. } => ("share", share.standing.as_str()),
        LogRecord::BeyondRate { .. } => ("rate", "beyond"),
        LogRecord::Advised { priority, .. } => ("advised", priority_label(*priority)),
    }
}

/// Returns a priority as a metric label. Priorities from 7 on share one, which bounds the number of series.
const fn priority_label(priority: u8) -> &'static str {
    match priority {
        0 => "0",
        1 => "1",
        2 => "2",
        3 => "3",
        4 => "4",
        5 => "5",
        6 => "6",
        _ => "7+",
    }
}

/// Returns a number of things as a value of a gauge.
fn count(value: usize) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

/// Returns the beginning of a key, with characters escaped that could end a log line or forge a field.
fn shorten(key: &str) -> String {
    let chars = key.chars().take(MAX_KEY_CHARS);
    chars.flat_map(char::escape_default).collect()
}

/// Returns a duration in whole milliseconds, as used in log fields.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a duration in whole microseconds, as used in log fields and metrics.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn write_line(log: &Logger, record: &LogRecord) {
    match record {
        LogRecord::Placed {
            task,
            run,
            worker,
            heard,
            waited,
        } => slog::info!(log, "placed"; "task" => %task, "run" => run.0,
            "worker" => worker.as_str(), "heard_ms" => millis(*heard), "waited_ms" => millis(*waited)),
        LogRecord::NotStarted {
            task,
            run,
            worker,
            why,
            age,
        } => slog::info!(log, "not-started"; "task" => %task, "run" => run.0,
            "worker" => worker.as_str(), "why" => why, OptionalField("age_ms", age.map(millis))),
        LogRecord::Gang {
            step,
            run,
            state,
            members,
            age,
            waits,
        } => slog::info!(log, "gang"; "step" => %step, "run" => run.0, "state" => state,
            "running" => members.running, "ordered" => members.ordered, "unsent" => members.unsent,
            "unlisted" => members.unlisted,
            "stopping" => members.stopping, "waiting" => members.waiting,
            OptionalField("age_ms", age.map(millis)),
            "why" => waits.map_or("", WaitReason::as_str)),
        LogRecord::Ended {
            task,
            run,
            worker,
            reason,
        } => slog::info!(log, "ended"; "task" => %task, "run" => run.0,
            "worker" => worker.as_str(), "how" => reason.as_str()),
        LogRecord::Stopping {
            task,
            run,
            worker,
            why,
        } => slog::info!(log, "stopping"; "task" => %task, "run" => run.0,
            "worker" => worker.as_str(), "why" => why),
        LogRecord::Preempting {
            step,
            worker,
            wanted,
            fits,
            victims,
            ticket,
        } => slog::info!(log, "preempting"; "step" => %step, "worker" => worker.as_str(),
            "wanted" => wanted, "fits" => fits, "victims" => victims,
            OptionalField("ticket_ms", ticket.map(millis))),
        LogRecord::Hold {
            step,
            state,
            workers,
            age,
        } => slog::info!(log, "hold"; "step" => %step, "state" => state, "workers" => workers,
            "age_ms" => millis(*age)),
        LogRecord::Unheard {
            worker,
            why,
            runs,
            owned,
            lease,
        } => slog::info!(log, "worker-unheard"; "worker" => worker.as_str(), "why" => why,
            "runs" => runs, "owned_ms" => millis(*owned), "lease_ms" => millis(*lease)),
        LogRecord::Worker {
            worker,
            incarnation,
            belief,
            heard,
        } => slog::info!(log, "worker"; "worker" => worker.as_str(), "belief" => belief,
            OptionalField("incarnation", incarnation.map(|incarnation| incarnation.0)),
            "heard_ms" => heard.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(-1))),
        LogRecord::Speed {
            worker,
            speed,
            class,
            runs,
        } => slog::info!(log, "speed"; "worker" => worker.as_str(), "speed" => %speed,
            "class" => class.as_str(), "runs" => runs),
        LogRecord::Lost {
            task,
            run,
            worker,
            why,
            run_age,
            other_runs,
        } => slog::info!(log, "lost"; "task" => %task, "run" => run.0,
            "worker" => worker.as_str(), "why" => why, "age_ms" => millis(*run_age), "beside" => other_runs),
        LogRecord::Crashed {
            task,
            run,
            worker,
            crashes,
            verdict,
        } => slog::warn!(log, "crashed"; "task" => %task, "run" => run.0,
            "worker" => worker.as_str(), "crashes" => crashes, "verdict" => verdict),
        LogRecord::Absent {
            task,
            run,
            worker,
            phase,
            ends,
        } => slog::info!(log, "absent"; "task" => %task, "run" => run.0,
            "worker" => worker.as_str(), "phase" => phase, "ends" => ends),
        LogRecord::Adopted { task, run, worker } => slog::info!(log, "adopted"; "task" => %task,
            "run" => run.0, "worker" => worker.as_str()),
        LogRecord::Finished {
            job,
            outcome,
            after,
        } => slog::info!(log, "finished"; "job" => %job, "outcome" => outcome,
            "after_ms" => millis(*after)),
        LogRecord::Waiting {
            step,
            why,
            label,
            tasks,
            survey,
            waited,
        } => slog::info!(log, "waits"; "step" => %step, "why" => why.as_str(),
            "label" => label.as_deref().unwrap_or_default(), "tasks" => tasks,
            "named" => survey.asked, "allowed" => survey.allowed, "open" => survey.available,
            "room" => survey.fitting_tasks, "ticketed" => survey.fitting_tasks_with_ticket,
            "heard_ms" => survey.longest_silence.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(-1)),
            "waited_ms" => millis(*waited)),
        LogRecord::Share { workspace, share } => {
            slog::info!(log, "share"; "workspace" => %workspace,
                "over" => share.standing == Standing::Over, "share" => %share.ratio,
                "weight" => share.weight, "weights" => share.weights)
        }
        LogRecord::BeyondRate {
            job,
            workspace,
            rate,
            age,
        } => slog::info!(log, "rate"; "job" => %job, "workspace" => %workspace,
            "weight" => rate.get(), "age_ms" => millis(*age)),
        LogRecord::Advised {
            step,
            node,
            asked,
            allowed,
            took,
            waited,
            purpose,
            priority,
            tasks,
        } => slog::info!(log, "advised"; "step" => %step, "node" => node.as_str(),
            "priority" => priority, "purpose" => purpose.as_str(), "tasks" => tasks,
            "waited_ms" => millis(*waited),
            "named" => asked, "allowed" => allowed.map_or(-1, |count| i64::try_from(count).unwrap_or(i64::MAX)),
            "took_ms" => millis(*took)),
    }
}
