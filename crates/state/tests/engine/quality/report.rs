//! What a run came to.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// The wait of each job from its arrival to its last first start, by kind.
    pub(crate) waits: BTreeMap<&'static str, Vec<Duration>>,
    /// The same by team.
    pub(crate) teams: BTreeMap<String, Vec<Duration>>,
    pub(crate) deadlines: u32,
    pub(crate) missed: u32,
    pub(crate) refused: u32,
    pub(crate) ended: u32,
    pub(crate) failed: u32,
    pub(crate) cancelled: u32,
    /// Starts, and the messages that carried them.
    pub(crate) starts: u64,
    pub(crate) messages: u64,
    /// Tasks that were checkpointed or stopped.
    pub(crate) stopped: u64,
    /// Work in core seconds: useful, and lost to stops and failures.
    pub(crate) useful: f64,
    pub(crate) lost: f64,
    /// When the last job ended, in seconds.
    pub(crate) makespan: f64,
    /// Workers in use, summed over samples, and the fewest that could have held the work.
    pub(crate) used: f64,
    pub(crate) needed: f64,
}

impl Report {
    /// Returns a quantile of the waits of one kind in milliseconds.
    pub(crate) fn wait(&self, kind: &str, percent: usize) -> u64 {
        let mut waits = self.waits.get(kind).cloned().unwrap_or_default();
        waits.sort_unstable();
        let rank = (waits.len().saturating_sub(1) * percent).div_ceil(100);
        millis(waits.get(rank).copied().unwrap_or_default())
    }

    /// Returns the mean wait of the jobs of some teams in milliseconds.
    pub(crate) fn team_wait(&self, counts: impl Fn(&str) -> bool) -> u64 {
        let teams = self.teams.iter().filter(|(team, _)| counts(team));
        let waits: Vec<Duration> = teams.flat_map(|(_, waits)| waits.clone()).collect();
        millis(waits.iter().sum()) / waits.len().max(1) as u64
    }

    /// Adds the figures of another run.
    pub(crate) fn add(&mut self, other: Self) {
        for (kind, waits) in other.waits {
            self.waits.entry(kind).or_default().extend(waits);
        }
        for (team, waits) in other.teams {
            self.teams.entry(team).or_default().extend(waits);
        }
        self.deadlines += other.deadlines;
        self.missed += other.missed;
        self.refused += other.refused;
        self.ended += other.ended;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.starts += other.starts;
        self.messages += other.messages;
        self.stopped += other.stopped;
        self.useful += other.useful;
        self.lost += other.lost;
        self.makespan = self.makespan.max(other.makespan);
        self.used += other.used;
        self.needed += other.needed;
    }

    /// Returns the work that was lost, in thousandths of all work.
    pub(crate) fn lost_per_mille(&self) -> f64 {
        1_000.0 * self.lost / (self.useful + self.lost).max(1.0)
    }

    /// Returns the mean wait of all kinds in milliseconds.
    pub(crate) fn mean_wait(&self) -> u64 {
        let waits = self.waits.values().flatten();
        let count = waits.clone().count().max(1);
        let sum: Duration = waits.sum();
        millis(sum) / count as u64
    }

    /// Returns the workers in use against the fewest that could hold the work.
    pub(crate) fn packing(&self) -> f64 {
        self.used / self.needed.max(1.0)
    }

    /// Returns the share of the deadlines that were missed, in thousandths.
    pub(crate) fn missed_per_mille(&self) -> u32 {
        self.missed * 1_000 / self.deadlines.max(1)
    }

    /// Prints the figures on one line.
    pub(crate) fn print(&self, name: &str) {
        let kinds = ["batch", "gang", "urgent"];
        let waits: Vec<String> = kinds
            .iter()
            .map(|kind| format!("{kind} {}/{}", self.wait(kind, 50), self.wait(kind, 99)))
            .collect();
        println!(
            "{name:<34} wait p50/p99 ms: {}; mean {}; missed {}/1000 of {}; refused {}; \
             ended {} failed {} cancelled {}; lost {:.1}/1000; starts/message {:.2}; stops {}; \
             packing {:.3}; end {:.0}s",
            waits.join(", "),
            self.mean_wait(),
            self.missed_per_mille(),
            self.deadlines,
            self.refused,
            self.ended,
            self.failed,
            self.cancelled,
            self.lost_per_mille(),
            self.starts as f64 / self.messages.max(1) as f64,
            self.stopped,
            self.packing(),
            self.makespan,
        );
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
