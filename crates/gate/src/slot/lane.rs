//! The requests of one service that wait for a slot.

use std::time::Duration;

use fulmarpier_coordination::{
    credit::Ticket,
    platform::target, //
};
use fulmarpier_state::{
    clock::Timestamp,
    refusal::{
        Reason,
        Refusal, //
    },
};
use tokio::sync::oneshot;

use super::pool::Ask;
use crate::wait::{
    Estimate,
    Full,
    Limits,
    Pushed,
    Queue,
    Ticket as Place, //
};

/// What a waiting request gets in the end.
pub(super) type Verdict = Result<Ticket, Refusal>;

/// When to come back where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that waits.
#[derive(Debug)]
struct Waiter {
    verdict: oneshot::Sender<Verdict>,
    /// The targets that have refused it.
    refused: Vec<target::Id>,
}

/// The queue of one service and what is known of its pace.
#[derive(Debug)]
pub(super) struct Lane {
    queue: Queue<Waiter>,
    estimate: Estimate,
}

impl Lane {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            queue: Queue::new(limits),
            estimate: Estimate::default(),
        }
    }

    /// Returns how many requests wait.
    pub(super) const fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes in how long a request held its slot.
    pub(super) fn record(&mut self, span: Duration) {
        self.estimate.record(span);
    }

    /// Lets a request wait, unless it can't start in time or there is no room.
    ///
    /// `slots` is how many the gate holds of the service.
    ///
    /// # Errors
    ///
    /// Refuses at once, with the time after which asking again is of use.
    pub(super) fn join(
        &mut self,
        ask: &Ask,
        slots: usize,
        now: Timestamp,
    ) -> Result<(Place, oneshot::Receiver<Verdict>), Refusal> {
        self.check_deadline(ask, slots, now)?;
        self.queue.set_limits(ask.limits);
        let (verdict, receiver) = oneshot::channel();
        let waiter = Waiter {
            verdict,
            refused: ask.refused.clone(),
        };
        let pushed = self.queue.push(&ask.team, ask.weight, ask.deadline, waiter);
        let Pushed { ticket, displaced } = pushed.map_err(|full| self.full(full, slots))?;
        if let Some(displaced) = displaced {
            let detail = "another team's request took the place";
            let refusal = Refusal::new(Reason::TeamQueueFull, detail);
            // It may have given up in this moment.
            let _ = displaced
                .verdict
                .send(Err(refusal.retry_after(self.drained_after(slots))));
        }
        Ok((ticket, receiver))
    }

    /// Takes a request out that has given up; `false` where it had its verdict already.
    pub(super) fn leave(&mut self, place: &Place) -> bool {
        self.queue.cancel(place).is_some()
    }

    /// Returns the targets that have refused the request that is next.
    pub(super) fn refused_first(&self) -> &[target::Id] {
        self.queue.first().map_or(&[], |waiter| &waiter.refused)
    }

    /// Gives a slot to the next request; returns the slot where that doesn't want it any more.
    pub(super) fn hand(&mut self, ticket: Ticket, now: Timestamp) -> Option<Ticket> {
        let Some((deadline, waiter)) = self.queue.pop() else {
            return Some(ticket);
        };
        if deadline <= now {
            let _ = waiter.verdict.send(Err(late(now, deadline)));
            return Some(ticket);
        }
        // What comes back of a request that has given up is the slot that was sent.
        waiter.verdict.send(Ok(ticket)).err().and_then(Result::ok)
    }

    /// Refuses a request that would start after its deadline, going by the pace so far.
    fn check_deadline(&self, ask: &Ask, slots: usize, now: Timestamp) -> Result<(), Refusal> {
        let ahead = self.queue.ahead(&ask.team, ask.weight, ask.deadline);
        let Some(wait) = self.estimate.wait(ahead, slots) else {
            return Ok(());
        };
        let left = now.until(ask.deadline);
        if wait < left {
            return Ok(());
        }
        let detail = format!(
            "{ahead} requests go first, which takes about {} ms; {} ms are left",
            wait.as_millis(),
            left.as_millis()
        );
        let refusal = Refusal::new(Reason::Deadline, detail);
        Err(refusal.retry_after(self.drained_after(slots)))
    }

    fn full(&self, full: Full, slots: usize) -> Refusal {
        let reason = match full {
            Full::Total { .. } => Reason::QueueFull,
            Full::Team { .. } => Reason::TeamQueueFull,
        };
        Refusal::new(reason, full.to_string()).retry_after(self.drained_after(slots))
    }

    /// Returns when half of the queue should be gone.
    fn drained_after(&self, slots: usize) -> Duration {
        let wait = self.estimate.wait(self.queue.len() / 2, slots);
        wait.unwrap_or(RETRY_AFTER)
    }
}

/// Makes the refusal of a request whose time has run out.
pub(super) fn late(now: Timestamp, deadline: Timestamp) -> Refusal {
    let over = deadline.until(now).as_millis();
    let detail = format!("no slot came free before the deadline, {over} ms ago");
    Refusal::new(Reason::Deadline, detail).retry_after(RETRY_AFTER)
}
