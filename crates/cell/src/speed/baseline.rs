//! The rate at which the tasks of a step progress on a typical worker.

use fulmarpier_state::clock::Timestamp;

use super::{
    Estimate,
    Pool,
    Share,
    share::difference_weight, //
};

/// The number of workers whose runs make up the baseline of a step, so that its memory does not grow with the step.
const MAX_MEMBERS: usize = 8;
/// The weight below which nothing is known; differences of weights leave rounding errors.
const MIN_WEIGHT: f32 = 1e-3;
/// The deviation of a run from its step up to which it counts in full, in standard deviations.
const MAX_DEVIATION: f64 = 3.0;

/// The runs of a step on one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Member {
    worker: u32,
    /// The weighted sum of the logarithmic rates.
    sum: f32,
    /// The sum of the weights.
    weight: f32,
}

/// The rates of a step's tasks on the first few workers that ran some.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    members: [Member; MAX_MEMBERS],
    count: u8,
}

/// A step's baseline as one of its workers is compared with it: the rate on a typical worker, from the runs on other
/// workers.
///
/// Best-fit placement puts several tasks of a step on one worker. A baseline that included them would follow that
/// worker's own pace, and the worker would never seem to differ.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The natural logarithm of the rate, in runs per second.
    pub(super) rate: Share,
    /// The weight of the worker's own runs, which share the error of the rate.
    pub(super) own: f64,
}

impl Baseline {
    /// Returns the baseline for a worker, if runs on other workers are known. Their rates are corrected by the estimated
    /// speeds of these workers.
    pub fn view(
        &self,
        worker: u32,
        estimate: impl Fn(u32) -> Option<Estimate>,
        pool: &Pool,
        now: Timestamp,
    ) -> Option<View> {
        let (mut sum, mut weight, mut own) = (0.0, 0.0, 0.0);
        for member in &self.members[..self.count.into()] {
            if member.weight < MIN_WEIGHT {
                continue;
            }
            if member.worker == worker {
                own = member.weight.into();
                continue;
            }
            let estimate = estimate(member.worker).unwrap_or_else(|| pool.unknown());
            let known = estimate.weight(now).max(pool.prior_weight());
            // All runs on a worker share the error of its estimate.
            let counted = difference_weight(member.weight.into(), known);
            sum += (f64::from(member.sum / member.weight) - estimate.log()) * counted;
            weight += counted;
        }
        (weight > 0.0).then(|| View {
            rate: Share::new(sum / weight, weight),
            own,
        })
    }

    /// Replaces what a run on a worker counts by its rate and weight; returns what it counts now.
    ///
    /// The rate is bounded by what the other workers and the estimate of its own worker let expect.
    pub(super) fn replace(
        &mut self,
        worker: u32,
        old: Share,
        new: Share,
        expected: Option<(&View, &Estimate)>,
        pool: &Pool,
    ) -> Share {
        let new = match expected {
            Some((view, estimate)) => bounded(new, view, estimate, pool),
            None => new,
        };
        let Some(member) = self.member_mut(worker) else {
            return Share::default();
        };
        let [old_sum, new_sum] = [old, new].map(|share| share.log * share.weight);
        member.sum += new_sum - old_sum;
        member.weight = (member.weight + new.weight - old.weight).max(0.0);
        new
    }

    /// Returns the entry of a worker, which is added while there are few.
    fn member_mut(&mut self, worker: u32) -> Option<&mut Member> {
        let count = usize::from(self.count);
        let known = self.members[..count]
            .iter()
            .position(|member| member.worker == worker);
        let index = known.unwrap_or(count);
        let member = self.members.get_mut(index)?;
        if known.is_none() {
            member.worker = worker;
            self.count += 1;
        }
        Some(member)
    }
}

/// Bounds the rate of a run by what is expected, so that a straggler does not make the others of its step seem fast.
fn bounded(rate: Share, view: &View, estimate: &Estimate, pool: &Pool) -> Share {
    let expected = view.rate.log() + estimate.log();
    let weight = difference_weight(rate.weight(), view.rate.weight());
    let bound = MAX_DEVIATION * pool.noise() / weight.sqrt();
    Share::new(
        rate.log().clamp(expected - bound, expected + bound),
        rate.weight(),
    )
}
