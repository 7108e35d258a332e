//! What a run shows of the speed of its worker.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Estimate, Pool, Share, Span, View,
    share::{
        difference_weight,
        share_weight, //
    },
};

/// How long after its first reading a run counts for good. Until then it is compared again with what becomes known of its
/// step and of the step's other workers: runs that end soon are compared with few others at first. On simulated pools of
/// unknown workers, nine in ten are in their true class after 8 s; with runs that count at once, after 10 s.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// A run that seems faster than its step by more than this factor has not reported its progress correctly.
const MAX_FASTER: f64 = 30.0;

/// The progress of a run, or of a part of it with an even pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The progress.
    pub(super) span: Span,
    /// The arrival of the first reading.
    pub(super) since: Timestamp,
    /// The run's own rate on a typical worker, if it was observed at another pace before.
    pub(super) own_rate: Option<Share>,
    /// Whether the run has ended.
    pub(super) is_ended: bool,
}

/// The speed that a sample shows.
#[derive(Clone, Copy, Debug)]
struct Shown {
    speed: Share,
    /// The typical duration of the step's tasks, in seconds.
    duration: f64,
}

impl Sample {
    /// Returns whether the sample counts for good.
    pub(super) fn is_settled(&self, now: Timestamp) -> bool {
        now.since(self.since) >= SETTLING_TIME
    }

    /// Adds the sample to an estimate for good.
    pub(super) fn settle(
        &self,
        view: &View,
        estimate: &mut Estimate,
        pool: &mut Pool,
        now: Timestamp,
    ) {
        if let Some(shown) = self.shown(view, pool) {
            let known = estimate.weight(now);
            let deviation = estimate.add(shown.speed, self.evidence(), pool, now);
            pool.learn(deviation, shown.duration, shown.speed.weight(), known);
        }
    }

    /// Adds the sample to an estimate that is to be dropped.
    pub(super) fn preview(
        &self,
        view: &View,
        estimate: &mut Estimate,
        pool: &Pool,
        now: Timestamp,
    ) {
        if let Some(shown) = self.shown(view, pool) {
            estimate.add(shown.speed, self.evidence(), pool, now);
        }
    }

    /// Returns what the sample counts as evidence for a change of the worker if it is a surprise. A run that is slow from
    /// the beginning may be a straggler; one that becomes slow is not.
    const fn evidence(&self) -> i8 {
        match self.own_rate {
            Some(_) => 2,
            None => 1,
        }
    }

    /// Returns the speed that the sample shows in comparison with the runs on other workers.
    ///
    /// Its weight follows from the share that a typical worker would have done, since a run that stands still counts too.
    /// A run that has ended may have done so some time before its inventory, and counts for no more than it did.
    fn shown(&self, view: &View, pool: &Pool) -> Option<Shown> {
        let typical_rate = (view.rate.log() + pool.typical()).exp();
        let duration = typical_rate.recip();
        let compared = match self.own_rate {
            Some(rate) => rate,
            None => Share::new(
                view.rate.log() + pool.bias(duration),
                view.rate.weight() / view.own.max(1.0),
            ),
        };
        let log = self.span.log_rate() - compared.log();
        if log - pool.typical() > MAX_FASTER.ln() {
            return None;
        }
        let mut share = typical_rate * self.span.seconds;
        if self.is_ended {
            share = share.min(self.span.percent / 100.0);
        }
        let weight = difference_weight(share_weight(share), compared.weight());
        Some(Shown {
            speed: Share::new(log, weight),
            duration,
        })
    }
}
