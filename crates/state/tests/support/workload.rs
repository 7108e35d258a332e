//! Random tasks with heavy-tailed sizes and run times.

use std::time::Duration;

use fulmarpier_state::{
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// How processor time and memory of a task go together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mix {
    /// About two gibibytes for each core.
    Proportional,
    /// Each drawn by itself.
    Independent,
    /// One of a few common shapes.
    Shapes,
}

/// The common shapes: millicores, mebibytes, and how many of a hundred tasks have them.
const SHAPES: [(u32, u64, u32); 8] = [
    (250, 512, 20),
    (500, 1_024, 20),
    (1_000, 2_048, 18),
    (1_000, 4_096, 14),
    (2_000, 4_096, 12),
    (2_000, 8_192, 6),
    (4_000, 4_096, 6),
    (8_000, 8_192, 4),
];

/// A repeatable source of tasks.
pub(crate) struct Workload {
    rng: StdRng,
    mix: Mix,
}

impl Workload {
    /// Makes the source with this seed.
    pub(crate) fn new(seed: u64, mix: Mix) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng, mix }
    }

    /// Draws the size of a task: 100 millicores to 8 cores, 128 MiB to 24 GiB.
    pub(crate) fn size(&mut self) -> Resources {
        let (cores, gib) = match self.mix {
            Mix::Proportional => {
                let cores = self.pareto(1.1, 0.1, 8.0);
                (cores, 2.0 * cores * self.normal(0.5).exp())
            }
            Mix::Independent => (self.pareto(1.1, 0.1, 8.0), self.pareto(1.1, 0.25, 16.0)),
            Mix::Shapes => return self.shape(),
        };
        let cpu = Millicores(100 * tenths(cores));
        let mib = 128 * u64::from(tenths(gib * 0.8));
        Resources::new(cpu, Bytes::from_mib(mib.min(24 * 1_024)), 0)
    }

    /// Draws a run time between one second and a thousand.
    pub(crate) fn span(&mut self) -> Duration {
        Duration::from_secs_f64(self.pareto(1.2, 1.0, 1_000.0))
    }

    /// Returns a run time as it is learned: off by a factor of two or more one time in three.
    pub(crate) fn guess(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.normal(0.7).exp())
    }

    fn shape(&mut self) -> Resources {
        let mut ticket = self.rng.random_range(0..100);
        for (cpu, mib, share) in SHAPES {
            if ticket < share {
                return Resources::new(Millicores(cpu), Bytes::from_mib(mib), 0);
            }
            ticket -= share;
        }
        unreachable!("the shares sum to a hundred")
    }

    /// Draws from a Pareto distribution bounded on both sides.
    fn pareto(&mut self, alpha: f64, low: f64, high: f64) -> f64 {
        let tail = (low / high).powf(alpha);
        let part: f64 = self.rng.random();
        low * (1.0 - part * (1.0 - tail)).powf(-1.0 / alpha)
    }

    /// Draws from a normal distribution around zero, by the method of Box and Muller.
    fn normal(&mut self, deviation: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.rng.random::<f64>();
        deviation * radius * angle.cos()
    }
}

/// Returns how many tenths a value takes, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are small and above zero"
)]
fn tenths(value: f64) -> u32 {
    (value * 10.0).ceil() as u32
}
