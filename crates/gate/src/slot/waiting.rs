//! One request that waits for a slot.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::credit::End;
use fulmarpier_state::refusal::{
    Reason,
    Refusal, //
};
use tokio::{
    sync::oneshot,
    time::{
        Instant,
        timeout_at, //
    },
};

use super::{
    lane::{
        Verdict,
        late, //
    },
    pool::{
        Ask,
        Pool, //
    },
};
use crate::wait::Ticket as Place;

/// A place in a queue, left when it is dropped; a slot that came too late is put back.
pub(super) struct Waiting<'a> {
    pool: &'a Arc<Pool>,
    ask: &'a Ask,
    place: Place,
    verdict: oneshot::Receiver<Verdict>,
}

impl<'a> Waiting<'a> {
    pub(super) const fn new(
        pool: &'a Arc<Pool>,
        ask: &'a Ask,
        place: Place,
        verdict: oneshot::Receiver<Verdict>,
    ) -> Self {
        Self {
            pool,
            ask,
            place,
            verdict,
        }
    }

    /// Waits for the slot, at most until the deadline.
    ///
    /// Where the gate holds no slot of the service at all, it waits only as long as new ones take to
    /// be granted.
    pub(super) async fn wait(mut self) -> Verdict {
        let clock = self.pool.clock();
        let end = clock.instant(self.ask.deadline);
        let patience = clock.instant(clock.now() + self.ask.patience);
        if patience < end {
            if let Some(verdict) = self.until(patience).await {
                return verdict;
            }
            if !self.pool.holds(&self.ask.service) {
                return self.give_up(no_target(self.ask));
            }
        }
        match self.until(end).await {
            Some(verdict) => verdict,
            None => self.give_up(late(self.pool.now(), self.ask.deadline)),
        }
    }

    /// Waits for the verdict until a moment.
    async fn until(&mut self, end: Instant) -> Option<Verdict> {
        let answered = timeout_at(end, &mut self.verdict).await.ok()?;
        Some(answered.unwrap_or_else(|_| Err(lost())))
    }

    /// Leaves the queue, unless the slot came in this very moment.
    fn give_up(&mut self, refusal: Refusal) -> Verdict {
        if self.pool.leave(&self.ask.service, &self.place) {
            return Err(refusal);
        }
        self.verdict.try_recv().unwrap_or(Err(refusal))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        // Neither does anything where the verdict was taken.
        self.pool.leave(&self.ask.service, &self.place);
        if let Ok(Ok(ticket)) = self.verdict.try_recv() {
            self.pool.put_back(ticket, End::Unsent, Duration::ZERO);
        }
    }
}

fn no_target(ask: &Ask) -> Refusal {
    let detail = format!("no slot of {} could be had", ask.service);
    Refusal::new(Reason::NoTarget, detail).retry_after(ask.patience)
}

/// Makes the refusal for a queue that went away, which nothing does while the pool lives.
fn lost() -> Refusal {
    Refusal::new(Reason::Internal, "the queue was lost")
}
