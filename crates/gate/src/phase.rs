//! Where the gate is in its life: open, leaving, closed.

use tokio::sync::watch;

/// The life of a gate; it only moves forward, but for a drain that operators take back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes new work.
    #[default]
    Open,
    /// It still takes new work but is no longer ready, so that balancers move away.
    Notice,
    /// It refuses new work and finishes what is in progress.
    Closed,
}

/// The phase, shared between threads.
#[derive(Clone, Debug)]
pub struct Gauge(watch::Sender<Phase>);

impl Gauge {
    /// Starts in [`Phase::Open`].
    pub fn new() -> Self {
        Self(watch::Sender::new(Phase::Open))
    }

    /// Returns the present phase.
    pub fn get(&self) -> Phase {
        *self.0.borrow()
    }

    /// Sets the phase and tells whether it was another one.
    pub fn set(&self, phase: Phase) -> bool {
        self.0.send_if_modified(|present| {
            let changed = *present != phase;
            *present = phase;
            changed
        })
    }

    /// Waits until the phase is at least `phase`.
    pub async fn reaches(&self, phase: Phase) {
        let mut changes = self.0.subscribe();
        // The sender lives as long as this reference to it.
        let _ = changes.wait_for(|present| *present >= phase).await;
    }
}

impl Default for Gauge {
    fn default() -> Self {
        Self::new()
    }
}
