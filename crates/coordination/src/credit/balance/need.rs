//! How many slots of a service a gate wants.

/// By how much the peak falls with each statement, as a divisor.
const DECAY: u32 = 16;
/// The scale of the peak, so that it falls smoothly.
const SCALE: u32 = 16;
/// Slack over the peak, as a divisor: a quarter.
const SLACK: u32 = 4;
/// What is wanted of a service that is idle, so that a first request needn't wait.
const STANDBY: u32 = 2;

/// How many slots of a service a gate wants, from the recent peak of what it used and had waiting.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Need {
    scaled: u32,
    pub(super) in_use: u32,
    pub(super) waiting: u32,
}

impl Need {
    /// Notes a request that takes a slot.
    pub(super) fn take(&mut self) {
        self.in_use += 1;
        self.note();
    }

    /// Notes a request that has left its slot.
    pub(super) const fn put_back(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Notes how many requests wait for a slot.
    pub(super) fn wait(&mut self, count: u32) {
        self.waiting = count;
        self.note();
    }

    /// Returns how many slots are wanted in all.
    pub(super) const fn wanted(&self) -> u32 {
        let peak = self.scaled.div_ceil(SCALE);
        peak.saturating_add(peak.div_ceil(SLACK))
            .saturating_add(STANDBY)
    }

    /// Lets the peak fall a little.
    pub(super) fn decay(&mut self) {
        self.scaled -= self.scaled.div_ceil(DECAY);
        self.note();
    }

    fn note(&mut self) {
        let now = self.in_use.saturating_add(self.waiting);
        self.scaled = self.scaled.max(now.saturating_mul(SCALE));
    }
}
