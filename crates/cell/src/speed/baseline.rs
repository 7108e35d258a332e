//! The rate at which the tasks of a step progress on a typical worker.

/// The number of groups into which the workers of a step are divided.
///
/// The baseline for a worker leaves out its group, which costs an eighth of the observations. One group per worker
/// would leave out less, but its memory would grow with the number of workers.
const GROUPS: usize = 8;

/// A weighted logarithm; the weight is the number of runs that it is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    log: f32,
    weight: f32,
}

impl Share {
    /// Creates a share.
    pub const fn new(log: f64, weight: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "estimates need no more than single precision"
        )]
        let (log, weight) = (log as f32, weight as f32);
        Self { log, weight }
    }

    /// Returns the logarithm.
    pub fn log(self) -> f64 {
        self.log.into()
    }

    /// Returns the weight.
    pub fn weight(self) -> f64 {
        self.weight.into()
    }
}

/// The sum of the shares of a group of workers.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    log: f32,
    weight: f32,
}

/// The rate of a step's tasks on a typical worker, from the runs of all its workers, corrected by their speeds.
///
/// Best-fit placement puts several tasks of a step on one worker. A baseline that included them would follow that
/// worker's own pace, and the worker would never seem to differ. A worker is therefore compared only with others.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    groups: [Sum; GROUPS],
}

impl Baseline {
    /// Replaces what a run on a worker counts.
    pub fn replace(&mut self, worker: usize, old: Share, new: Share) {
        let group = &mut self.groups[worker % GROUPS];
        group.log += new.log * new.weight - old.log * old.weight;
        group.weight = (group.weight + new.weight - old.weight).max(0.0);
    }

    /// Returns the baseline for a worker, if runs of other workers have been observed.
    pub fn without(&self, worker: usize) -> Option<Share> {
        let others = self.groups.iter().enumerate();
        let others = others.filter(|(group, _)| *group != worker % GROUPS);
        let (log, weight) = others.fold((0.0, 0.0), |(log, weight), (_, sum)| {
            (log + sum.log, weight + sum.weight)
        });
        (weight > f32::EPSILON * 100.0).then(|| Share {
            log: log / weight,
            weight,
        })
    }
}
