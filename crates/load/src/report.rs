//! The report of a run, for people and as JSON.

use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use fulmarpier_protocol::settings::load::Load as Settings;
use fulmarpier_state::refusal::Outcome;
use serde::Serialize;
use uuid::Uuid;

use crate::{
    call::{
        Call,
        End, //
    },
    check::Violations,
    kind::Kind,
    measure::{
        Spans,
        Summary, //
    },
    record::Record,
};

/// What became of one kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KindReport {
    /// The kind.
    pub kind: Kind,
    /// How many calls were due.
    pub offered: u64,
    /// How many ran, as their callers were told.
    pub ran: u64,
    /// How many were refused and not run.
    pub not_run: u64,
    /// How many may have run, including those without a whole answer.
    pub unknown: u64,
    /// How many jobs were accepted and ended otherwise than well.
    pub failed: u64,
    /// How many jobs had not ended when the run was over.
    pub unfinished: u64,
    /// How many calls could not be sent in time by the tool itself.
    pub unsent: u64,
    /// From the scheduled time to the whole answer, or to the acceptance of a job.
    pub latency: Summary,
    /// The time in the gate's queue, or from the scheduled time of a job to its first start.
    pub waiting: Summary,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// Calls a second asked for.
    pub rate: f64,
    /// How long calls were sent, in seconds.
    pub seconds: f64,
    /// One entry for each kind that was offered.
    pub kinds: Vec<KindReport>,
    /// Requests that ran and tasks that were started.
    pub placements: u64,
    /// The same, a second.
    pub placements_per_second: f64,
    /// The time that the gate took to choose the slot of an ordinary request, without waiting.
    pub decision: Summary,
    /// The refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// What the gates and the scheds said to each other, in bytes.
    pub control_bytes: u64,
    /// The same for each answered call.
    pub control_bytes_per_call: f64,
    /// The invariants.
    pub violations: Violations,
    /// What the stand-ins could not record, about which nothing is proved.
    pub unrecorded: u64,
}

impl Report {
    /// Makes the report of the calls, checked against the stand-ins' record.
    pub fn new(settings: &Settings, calls: &[Call], record: &Record, control_bytes: u64) -> Self {
        let starts = first_starts(record);
        let kinds = Kind::ALL
            .into_iter()
            .map(|kind| kind_report(kind, calls, &starts))
            .filter(|report| report.offered > 0)
            .collect();
        let placements = placements(calls, record);
        let seconds = settings.duration.get().as_secs_f64();
        Self {
            seed: settings.seed,
            rate: settings.rate,
            seconds,
            kinds,
            placements,
            placements_per_second: ratio(placements, seconds),
            decision: decision(calls),
            refusals: refusals(calls),
            control_bytes,
            control_bytes_per_call: per_call(control_bytes, calls),
            violations: Violations::check(calls, record),
            unrecorded: record.dropped,
        }
    }

    /// Tells whether every invariant held, going by a record that is whole.
    pub const fn holds(&self) -> bool {
        self.violations.total() == 0 && self.unrecorded == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "offered    {}/s for {:.1} s, seed {}",
            self.rate, self.seconds, self.seed
        )?;
        writeln!(
            f,
            "placements {} ({:.0}/s)",
            self.placements, self.placements_per_second
        )?;
        writeln!(
            f,
            "{:<14} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7}",
            "kind", "offered", "ran", "not run", "unknown", "failed", "unfin.", "unsent"
        )?;
        for kind in &self.kinds {
            writeln!(
                f,
                "{:<14} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7}",
                kind.kind,
                kind.offered,
                kind.ran,
                kind.not_run,
                kind.unknown,
                kind.failed,
                kind.unfinished,
                kind.unsent
            )?;
        }
        writeln!(
            f,
            "{:<23} {:>9} {:>9} {:>9} {:>9}",
            "time in ms", "p50", "p99", "p99.9", "max"
        )?;
        writeln!(f, "{:<23} {}", "decision", self.decision)?;
        for kind in &self.kinds {
            writeln!(f, "{:<14} latency  {}", kind.kind, kind.latency)?;
            writeln!(f, "{:<14} waiting  {}", kind.kind, kind.waiting)?;
        }
        for (reason, count) in &self.refusals {
            writeln!(f, "refused    {reason}: {count}")?;
        }
        writeln!(
            f,
            "control    {} bytes, {:.0} a call",
            self.control_bytes, self.control_bytes_per_call
        )?;
        if self.unrecorded > 0 {
            writeln!(
                f,
                "unrecorded {}; nothing is proved for these",
                self.unrecorded
            )?;
        }
        write!(f, "violations {}", self.violations)
    }
}

fn kind_report(kind: Kind, calls: &[Call], starts: &BTreeMap<Uuid, Duration>) -> KindReport {
    let mut report = KindReport {
        kind,
        offered: 0,
        ran: 0,
        not_run: 0,
        unknown: 0,
        failed: 0,
        unfinished: 0,
        unsent: 0,
        latency: Summary::default(),
        waiting: Summary::default(),
    };
    let mut latency = Spans::default();
    let mut waiting = Spans::default();
    for call in calls.iter().filter(|call| call.kind == kind) {
        report.count(call);
        if call.end != End::Unsent {
            latency.record(call.latency);
        }
        let started = starts.get(&call.id);
        let job = started.map(|start| start.saturating_sub(call.scheduled));
        if let Some(span) = call.timing.waiting.or(job) {
            waiting.record(span);
        }
    }
    report.latency = latency.summary();
    report.waiting = waiting.summary();
    report
}

impl KindReport {
    const fn count(&mut self, call: &Call) {
        self.offered += 1;
        let counter = match call.end {
            End::Answered(Outcome::Ran) | End::Replayed | End::Succeeded | End::Cancelled => {
                &mut self.ran
            }
            End::Answered(Outcome::NotRun) => &mut self.not_run,
            End::Answered(Outcome::Unknown) | End::Foreign | End::Broken => &mut self.unknown,
            End::Failed | End::Vanished => &mut self.failed,
            End::Unfinished => &mut self.unfinished,
            End::Unsent => &mut self.unsent,
        };
        *counter += 1;
    }
}

/// Returns when the first task of each job was started, from the Unix epoch.
fn first_starts(record: &Record) -> BTreeMap<Uuid, Duration> {
    let mut starts = BTreeMap::new();
    for run in &record.tasks {
        let first = starts.entry(run.job).or_insert(run.from);
        *first = (*first).min(run.from);
    }
    starts
}

fn placements(calls: &[Call], record: &Record) -> u64 {
    let is_request = |call: &&Call| !call.kind.is_job() && call.is_ran();
    let requests = calls.iter().filter(is_request).count();
    u64::try_from(requests + started(calls, record)).unwrap_or(u64::MAX)
}

/// Counts the starts of tasks that belong to jobs of this run.
fn started(calls: &[Call], record: &Record) -> usize {
    let jobs = record.by_job();
    let of_call = |call: &Call| jobs.get(&call.id).map_or(0, Vec::len);
    calls
        .iter()
        .filter(|call| call.kind.is_job())
        .map(of_call)
        .sum()
}

fn decision(calls: &[Call]) -> Summary {
    let mut spans = Spans::default();
    // The decision on any other kind holds a round trip and an append to the log.
    let ordinary = calls.iter().filter(|call| call.kind == Kind::Ordinary);
    for span in ordinary.filter_map(|call| call.timing.decision) {
        spans.record(span);
    }
    spans.summary()
}

fn refusals(calls: &[Call]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for reason in calls.iter().filter_map(|call| call.reason.as_ref()) {
        *counts.entry(reason.clone()).or_insert(0) += 1;
    }
    counts
}

fn per_call(bytes: u64, calls: &[Call]) -> f64 {
    let answered = calls.iter().filter(|call| call.end != End::Unsent);
    let count = u32::try_from(answered.count()).unwrap_or(u32::MAX);
    ratio(bytes, f64::from(count))
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(count: u64, over: f64) -> f64 {
    if over > 0.0 { count as f64 / over } else { 0.0 }
}
