//! The pace of the exchanges with one sched.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use tokio::time::Instant;

/// The least time between two exchanges with one sched, so that a burst of shortages makes one.
const GAP: Duration = Duration::from_millis(5);

/// When the next exchange with a sched may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Now.
    Now,
    /// At that time; the caller comes back then.
    At(Instant),
    /// After the one under way, or at a time that was given out before.
    Later,
}

/// One sched and the exchange that is under way with it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    under_way: bool,
    scheduled: bool,
    wanted: bool,
    began: Option<Instant>,
}

impl Peer {
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            under_way: false,
            scheduled: false,
            wanted: false,
            began: None,
        }
    }

    /// Asks for an exchange.
    pub(super) fn ask(&mut self, now: Instant) -> Turn {
        if self.under_way {
            self.wanted = true;
            return Turn::Later;
        }
        if self.scheduled {
            return Turn::Later;
        }
        match self.began.map(|began| began + GAP) {
            Some(due) if due > now => {
                self.scheduled = true;
                Turn::At(due)
            }
            _ => {
                self.begin(now);
                Turn::Now
            }
        }
    }

    /// Begins the exchange whose time was given out, unless one began otherwise.
    pub(super) fn due(&mut self, now: Instant) -> Turn {
        self.scheduled = false;
        if self.under_way {
            return Turn::Later;
        }
        self.begin(now);
        Turn::Now
    }

    /// Ends the exchange under way; returns whether another was asked for meanwhile.
    pub(super) const fn end(&mut self) -> bool {
        self.under_way = false;
        std::mem::replace(&mut self.wanted, false)
    }

    const fn begin(&mut self, now: Instant) {
        self.under_way = true;
        self.began = Some(now);
    }
}
