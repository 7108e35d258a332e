//! The order in which open steps get their turn.

use fulmarpier_state::clock::Timestamp;

use super::Engine;
use crate::id::StepId;

/// How urgent a step is; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// What can be in time goes before what is late, and that before what is worth nothing.
    lateness: u8,
    priority: u8,
    latest_start: Timestamp,
    step: StepId,
}

impl Engine {
    /// Goes through the open steps in order of urgency and starts what fits.
    pub(super) fn schedule(&mut self, now: Timestamp) {
        let mut ranks: Vec<Rank> = self
            .open
            .iter()
            .filter_map(|step| self.rank(*step, now))
            .collect();
        ranks.sort_unstable();
        let mut reserved = super::reserve::Reserved::default();
        for rank in ranks {
            self.serve(rank.step, &mut reserved, now);
        }
    }

    fn rank(&self, id: StepId, now: Timestamp) -> Option<Rank> {
        let job = self.jobs.get(&id.job)?;
        if job.is_inherited && !self.unheard.is_empty() {
            // A worker that was not heard of yet may run it.
            return None;
        }
        let latest_start = job.latest_start(id.step);
        let lateness = match () {
            () if now <= latest_start => 0,
            () if now <= job.worthless => 1,
            () => 2,
        };
        Some(Rank {
            lateness,
            priority: self.queue_of(job).priority,
            latest_start,
            step: id,
        })
    }

    /// Starts what fits of one step.
    fn serve(&mut self, id: StepId, reserved: &mut super::reserve::Reserved, now: Timestamp) {
        if !self.has_advice(id, now) {
            self.ask(id, now);
            return;
        }
        let is_gang = self
            .jobs
            .get(&id.job)
            .and_then(|job| job.step(id))
            .is_some_and(|step| step.gang);
        let is_placed = match is_gang {
            true => self.place_gang(id, reserved, now),
            false => self.place_singles(id, reserved, now),
        };
        if is_placed {
            return;
        }
        self.refresh_advice(id, reserved, now);
        self.make_room(id, reserved, now);
    }
}
