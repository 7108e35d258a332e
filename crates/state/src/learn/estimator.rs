//! The estimator itself.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    name::Team,
    resource::Resources, //
};

use super::{
    Basis,
    Estimate,
    Key,
    history::History,
    shelf::Shelf, //
};

/// The run time assumed of a program that was neither declared nor seen.
const DEFAULT_RUNTIME: Duration = Duration::from_secs(60);
/// How many programs are known at most, of all teams together.
const MOST_PROGRAMS: usize = 4_096;
/// How many teams are known at most.
const MOST_TEAMS: usize = 512;

/// Learns run times and sizes for each program of each team.
///
/// It keeps the last 32 runs and reports of up to 4,096 programs, about 2 KiB each. Past that it
/// forgets, of the team with the most programs, the one not heard of for longest, so that a team
/// which names each run anew displaces only its own.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use fulmarpier_state::learn::{Estimator, Key};
///
/// let key = Key::new("manifest".parse()?, "build");
/// let declared = Some(Duration::from_secs(10));
/// let mut estimator = Estimator::new();
/// for _ in 0..3 {
///     estimator.record_run(&key, Duration::from_secs(50), declared);
/// }
/// assert_eq!(estimator.runtime(&key, declared).p50, Duration::from_secs(50));
/// # Ok::<(), fulmarpier_state::name::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Estimator {
    teams: BTreeMap<Team, Shelf>,
    most_programs: usize,
    programs: usize,
    clock: u64,
}

impl Default for Estimator {
    fn default() -> Self {
        Self::new()
    }
}

impl Estimator {
    /// Makes an estimator that knows nothing.
    ///
    /// See also [`Self::most_programs`].
    pub const fn new() -> Self {
        Self {
            teams: BTreeMap::new(),
            most_programs: MOST_PROGRAMS,
            programs: 0,
            clock: 0,
        }
    }

    /// Sets how many programs are known at most, before anything is recorded.
    ///
    /// See also [`Self::new`], which sets 4,096.
    #[must_use]
    pub const fn most_programs(mut self, count: usize) -> Self {
        self.most_programs = count;
        self
    }

    /// Learns from a run that completed, and from what had been declared for it.
    ///
    /// Costs O(log programs), and O(teams) where a program has to be forgotten.
    pub fn record_run(&mut self, key: &Key, ran: Duration, declared: Option<Duration>) {
        let Some((program, team)) = self.touch(key) else {
            return;
        };
        program.record_run(ran, declared);
        team.record_run(ran, declared);
        self.evict();
    }

    /// Learns from a report of what a task uses, at the cost of [`Self::record_run`].
    pub fn record_usage(&mut self, key: &Key, used: Resources) {
        let Some((program, _)) = self.touch(key) else {
            return;
        };
        program.record_usage(used);
        self.evict();
    }

    /// Returns the run time to expect of the program's next task; O(log teams).
    ///
    /// A program that is not known is judged by how far its team's declarations are off, if that is
    /// much the same each time.
    pub fn runtime(&self, key: &Key, declared: Option<Duration>) -> Estimate {
        let shelf = self.teams.get(&key.team);
        let program = shelf.and_then(|shelf| shelf.get(&key.program));
        if let Some(estimate) = program.and_then(|program| program.runtime(declared)) {
            return estimate;
        }
        if let Some(estimate) = shelf.and_then(|shelf| shelf.all.runtime_by_steady_ratio(declared))
        {
            let basis = Basis::Team;
            return Estimate { basis, ..estimate };
        }
        let basis = match declared {
            Some(_) => Basis::Declared,
            None => Basis::Default,
        };
        let span = declared.unwrap_or(DEFAULT_RUNTIME);
        Estimate {
            p50: span,
            p90: span,
            samples: 0,
            basis,
        }
    }

    /// Returns what nearly all of the program's last reports stayed within, or `None` without any.
    pub fn size(&self, key: &Key) -> Option<Resources> {
        self.teams.get(&key.team)?.get(&key.program)?.size()
    }

    /// Returns how many programs are known.
    pub const fn len(&self) -> usize {
        self.programs
    }

    /// Returns whether nothing is known.
    pub const fn is_empty(&self) -> bool {
        self.programs == 0
    }

    /// Returns the histories of a program and of its team, or `None` past the limit of teams.
    fn touch(&mut self, key: &Key) -> Option<(&mut History, &mut History)> {
        if !self.teams.contains_key(&key.team) && self.teams.len() >= MOST_TEAMS {
            return None;
        }
        self.clock += 1;
        let shelf = self.teams.entry(key.team.clone()).or_default();
        let is_new = shelf.touch(&key.program, self.clock);
        self.programs += usize::from(is_new);
        shelf.pair(&key.program)
    }

    fn evict(&mut self) {
        if self.programs <= self.most_programs {
            return;
        }
        let largest = self.teams.values_mut().max_by_key(|shelf| shelf.len());
        if let Some(shelf) = largest {
            shelf.evict();
            self.programs -= 1;
        }
    }
}
