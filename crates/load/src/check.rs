//! The invariants, checked against the stand-in's own record.

use std::fmt;

use fulmarpier_state::alias::HashMap;
use serde::Serialize;

use crate::{
    call::{
        Call,
        End, //
    },
    kind::Kind,
    record::{
        Record,
        TaskRun, //
    },
};

/// The most ids that are listed for each invariant.
const LISTED: usize = 10;

/// How often each invariant was violated; all must be zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Work that must run at most once and ran twice, or a task that ran in two places at once.
    pub doubled: u64,
    /// Work that was said to have run, or was accepted, and left no trace.
    pub lost: u64,
    /// Times that a worker or target held more than it may.
    pub overfilled: u64,
    /// Work that was said not to have run and did.
    pub wrongly_not_run: u64,
    /// Answers that were not the caller's own.
    pub foreign: u64,
    /// The first few ids concerned, with what is wrong with each.
    pub listed: Vec<String>,
}

impl Violations {
    /// Checks the calls against the record.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_load::{Record, Violations};
    ///
    /// let violations = Violations::check(&[], &Record::default());
    /// assert_eq!(violations.total(), 0);
    /// ```
    ///
    /// See also [`Record`].
    pub fn check(calls: &[Call], record: &Record) -> Self {
        let mut found = Self {
            doubled: record.doubled_tasks + record.doubled_keys,
            overfilled: record.overfilled,
            ..Self::default()
        };
        let tasks = record.by_job();
        for call in calls {
            found.check_answer(call);
            if call.kind.is_job() {
                found.check_job(call, tasks.get(&call.id).map_or(&[], Vec::as_slice));
            } else {
                found.check_request(call, record.requests.get(&call.id).copied());
            }
        }
        found
    }

    /// Returns the sum over all invariants.
    pub const fn total(&self) -> u64 {
        self.doubled + self.lost + self.overfilled + self.wrongly_not_run + self.foreign
    }

    fn check_answer(&mut self, call: &Call) {
        if call.end == End::Foreign {
            self.foreign += 1;
            self.list(call, "foreign");
        }
    }

    fn check_request(&mut self, call: &Call, runs: Option<u32>) {
        let runs = runs.unwrap_or(0);
        if call.kind == Kind::Once && runs > 1 {
            // The record has counted it by its key.
            self.list(call, "doubled");
        }
        if call.is_ran() && runs == 0 {
            self.lost += 1;
            self.list(call, "lost");
        }
        if call.is_not_run() && runs > 0 {
            self.wrongly_not_run += 1;
            self.list(call, "wrongly-not-run");
        }
    }

    fn check_job(&mut self, call: &Call, runs: &[TaskRun]) {
        if !call.is_repeatable && is_repeated(runs) {
            self.doubled += 1;
            self.list(call, "doubled");
        }
        if call.end == End::Vanished || (call.is_ran() && runs.is_empty()) {
            self.lost += 1;
            self.list(call, "lost");
        }
        if call.is_not_run() && !runs.is_empty() {
            self.wrongly_not_run += 1;
            self.list(call, "wrongly-not-run");
        }
    }

    fn list(&mut self, call: &Call, what: &str) {
        if self.listed.len() < LISTED {
            self.listed
                .push(format!("{what} {} {}", call.kind, call.id));
        }
    }
}

impl fmt::Display for Violations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "doubled {}, lost {}, overfilled {}, wrongly not run {}, foreign {}",
            self.doubled, self.lost, self.overfilled, self.wrongly_not_run, self.foreign
        )?;
        for line in &self.listed {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}

/// Tells whether a task of one job was run to its end more than once.
///
/// Runs that overlap are counted by the record itself, whatever the job.
fn is_repeated(runs: &[TaskRun]) -> bool {
    let mut whole: HashMap<u32, u32> = HashMap::default();
    for run in runs.iter().filter(|run| run.succeeded) {
        *whole.entry(run.index).or_default() += 1;
    }
    whole.into_values().any(|count| count > 1)
}
