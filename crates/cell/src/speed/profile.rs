//! What is known of the speed of one worker.

use fulmarpier_state::clock::Timestamp;

use super::{
    Baseline,
    Estimate,
    Pool,
    Reading,
    Sample,
    Share,
    Span,
    Track,
    View,
    share::share_weight, //
};

/// The maximum number of samples that are not settled: at two runs a second, those of the settling time.
const MAX_SAMPLES: usize = 8;

/// What the runs on a worker show of its speed. `K` identifies steps.
#[derive(Clone, Debug)]
pub struct Profile<K> {
    /// The estimate from the runs that count for good.
    settled: Option<Estimate>,
    /// The same with what the other runs show.
    current: Option<Estimate>,
    /// What runs that are over have shown, oldest first, while it does not count for good.
    samples: Vec<(K, Sample)>,
}

impl<K> Default for Profile<K> {
    fn default() -> Self {
        Self {
            settled: None,
            current: None,
            samples: Vec::new(),
        }
    }
}

/// A run on a worker, with its step.
#[derive(Debug)]
pub struct Observed<'a, K> {
    /// The index of the worker.
    pub worker: u32,
    /// The progress of the run.
    pub track: &'a mut Track,
    /// The step.
    pub step: K,
    /// The baseline of the step.
    pub baseline: &'a mut Baseline,
    /// The baseline as the worker is compared with it.
    pub view: Option<&'a View>,
}

/// A sample with the baseline that it is compared with.
#[derive(Clone, Copy, Debug)]
struct Compared {
    view: View,
    sample: Sample,
    /// Whether it counts for good from now on.
    is_due: bool,
}

impl<K: Copy> Profile<K> {
    /// Returns the estimate of the worker's speed; `None` if nothing is known.
    pub const fn estimate(&self) -> Option<Estimate> {
        self.current
    }

    /// Returns the steps of the runs that are over and that still have to be compared.
    pub fn open_steps(&self) -> impl Iterator<Item = K> {
        self.samples.iter().map(|(step, _)| *step)
    }

    /// Adds a reading of the progress of a run.
    pub fn read(&mut self, run: Observed<'_, K>, reading: Reading, pool: &Pool) {
        if let Some(former) = run.track.read(reading, self.settled.as_ref()) {
            self.samples.push((run.step, former));
        }
        if let Some(span) = run.track.span()
            && !run.track.is_counted
        {
            self.update_baseline(run, span, pool);
        }
    }

    /// Adds the end of a run, which was done by the time `clock` of the worker's clock.
    pub fn end(&mut self, run: Observed<'_, K>, clock: u64, pool: &Pool) {
        let Some(span) = run.track.span_to_end(clock) else {
            return;
        };
        let sample = run.track.final_sample(span);
        self.samples.extend(sample.map(|sample| (run.step, sample)));
        self.update_baseline(run, span, pool);
    }

    /// Updates what a run counts in the baseline of its step.
    fn update_baseline(&self, run: Observed<'_, K>, span: Span, pool: &Pool) {
        if span.percent <= 0.0 {
            return;
        }
        let estimate = self.current.unwrap_or_else(|| pool.unknown());
        let share = match run.view {
            Some(view) => (view.rate.log() + pool.typical()).exp() * span.seconds,
            None => span.percent / 100.0,
        };
        let new = Share::new(span.log_rate(), share_weight(share));
        let expected = run.view.zip(Some(&estimate));
        let old = run.track.share;
        run.track.share = run.baseline.replace(run.worker, old, new, expected, pool);
    }

    /// Updates the estimate from the runs that are over and those that are under way.
    pub fn update<'a>(
        &mut self,
        running: impl Iterator<Item = (K, &'a mut Track)>,
        view: impl Fn(K) -> Option<View>,
        pool: &mut Pool,
        now: Timestamp,
    ) {
        let mut compared = self.compare_ended(&view, now);
        compared.extend(compare_running(running, &view, now));
        // Consecutive surprises show a change only in the order in which the runs began.
        compared.sort_by_key(|compared| compared.sample.since);
        let mut settled = self.settled.unwrap_or_else(|| pool.unknown());
        for compared in compared.iter().filter(|compared| compared.is_due) {
            compared
                .sample
                .settle(&compared.view, &mut settled, pool, now);
        }
        let mut current = settled;
        for compared in compared.iter().filter(|compared| !compared.is_due) {
            compared
                .sample
                .preview(&compared.view, &mut current, pool, now);
        }
        if self.settled.is_some() || !compared.is_empty() {
            self.settled = Some(settled);
            self.current = Some(current);
        }
    }

    /// Returns the samples of runs that are over, and removes those that count for good from now on.
    fn compare_ended(&mut self, view: impl Fn(K) -> Option<View>, now: Timestamp) -> Vec<Compared> {
        let mut compared = Vec::new();
        let mut excess = self.samples.len().saturating_sub(MAX_SAMPLES);
        self.samples.retain(|(step, sample)| {
            let is_due = excess > 0 || sample.is_settled(now);
            excess = excess.saturating_sub(1);
            compared.extend(view(*step).map(|view| Compared {
                view,
                sample: *sample,
                is_due,
            }));
            !is_due
        });
        compared
    }
}

/// Returns the samples of runs under way that do not count for good yet, and marks those that do from now on.
fn compare_running<'a, K>(
    running: impl Iterator<Item = (K, &'a mut Track)>,
    view: impl Fn(K) -> Option<View>,
    now: Timestamp,
) -> impl Iterator<Item = Compared> {
    running.filter_map(move |(step, track)| {
        let sample = track.sample()?;
        let view = view(step)?;
        track.is_counted = sample.is_settled(now);
        Some(Compared {
            view,
            sample,
            is_due: track.is_counted,
        })
    })
}
