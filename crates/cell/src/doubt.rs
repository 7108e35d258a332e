//! How much a worker is doubted: its failures of late, less its successes since.
//!
//! A worker may fail a part of what it starts and look healthy. Tasks fail by their own fault too, so one
//! failure says little, and a task that has failed elsewhere says less.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

/// In this time half of the doubt is forgotten: troubles of workers last 5 to 7 s.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// What a success leaves of the doubt. A worker that fails one task in twenty is doubted for two successes
/// after each; one that fails two in five is so all the time.
const AFTER_SUCCESS: f64 = 0.8;
/// What the failure of a task counts that has failed elsewhere.
const FAILED_ELSEWHERE: f64 = 0.3;
/// From this doubt on a worker comes after others; it is passed again two successes after a failure.
const SOME: f64 = 0.7;
/// From this doubt on a worker gets no gang, all of which one member's failure ends.
const MUCH: f64 = 1.6;
/// The most that is held against a worker; after 5 s without a failure it gets gangs again.
const MOST: f64 = 3.0;

/// What is held against a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Doubt {
    score: f64,
    at: Timestamp,
}

/// How much a worker is doubted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Hardly.
    None,
    /// Others come first.
    Some,
    /// It gets no gang.
    Much,
}

impl Doubt {
    fn score(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.score * 0.5f64.powf(half_lives)
    }

    /// Takes in a success.
    pub fn succeeded(&mut self, now: Timestamp) {
        self.score = self.score(now) * AFTER_SUCCESS;
        self.at = now;
    }

    /// Takes in a failure of a task that may have failed elsewhere too.
    pub fn failed(&mut self, has_failed_elsewhere: bool, now: Timestamp) {
        let weight = if has_failed_elsewhere {
            FAILED_ELSEWHERE
        } else {
            1.0
        };
        self.score = (self.score(now) + weight).min(MOST);
        self.at = now;
    }

    /// Returns how much the worker is doubted.
    pub fn level(&self, now: Timestamp) -> Level {
        match self.score(now) {
            score if score >= MUCH => Level::Much,
            score if score >= SOME => Level::Some,
            _ => Level::None,
        }
    }
}
