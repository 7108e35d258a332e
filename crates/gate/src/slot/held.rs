//! A slot that is held for one request.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    credit::{
        End,
        Ticket, //
    },
    platform::target,
};
use fulmarpier_state::clock::Timestamp;

use super::pool::Pool;

/// A slot that is held for one request, and put back when it is dropped.
#[derive(Debug)]
#[must_use = "a slot that isn't used is put back at once"]
pub struct Held {
    pool: Arc<Pool>,
    ticket: Option<Ticket>,
    taken_at: Timestamp,
    end: End,
    waited: Duration,
}

impl Held {
    pub(super) fn new(pool: Arc<Pool>, ticket: Ticket, now: Timestamp, waited: Duration) -> Self {
        Self {
            pool,
            ticket: Some(ticket),
            taken_at: now,
            end: End::Unsent,
            waited,
        }
    }

    /// Returns the target that the slot is on.
    pub fn target(&self) -> Option<target::Id> {
        self.ticket.as_ref().map(|ticket| ticket.target.id)
    }

    /// Returns how long the request waited for the slot.
    pub const fn waited(&self) -> Duration {
        self.waited
    }

    /// Returns where to send the request, and notes that it is sent.
    ///
    /// `None` where the lease of the slot has ended; nothing may then be sent.
    pub fn send(&mut self) -> Option<SocketAddr> {
        let ticket = self.ticket.as_ref()?;
        if self.pool.now() >= ticket.expiry {
            return None;
        }
        self.end = End::Unknown;
        Some(ticket.target.address)
    }

    /// Notes how the request ended.
    pub const fn ended(&mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let span = self.pool.now().since(self.taken_at);
            self.pool.put_back(ticket, self.end, span);
        }
    }
}
