//! The pace of the exchanges with one sched.

use std::time::Duration;

use tokio::time::Instant;

/// The first gap between two exchanges, so that a burst of shortages makes one.
const FIRST: Duration = Duration::from_millis(5);
/// The longest gap that a lasting shortage leads to.
const LONGEST: Duration = Duration::from_millis(80);
/// A pause of so many gaps ends a shortage.
const CALM: u32 = 4;

/// When the next exchange with a sched may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Now.
    Now,
    /// At that time; the caller comes back then.
    At(Instant),
    /// After the one under way, or at a time that was given out before.
    Later,
}

/// The pace of the exchanges with one sched: one at a time, at once where the last is long ago, and
/// with a gap that doubles while one is asked for after the other.
///
/// A shortage that one exchange did not end seldom ends with the next: the slots are with others, and
/// the gate's own come free without asking. Asking on every few milliseconds only costs bytes.
#[derive(Clone, Debug)]
pub struct Pace {
    gap: Duration,
    under_way: bool,
    scheduled: bool,
    wanted: bool,
    began: Option<Instant>,
}

impl Pace {
    /// Starts without an exchange.
    pub const fn new() -> Self {
        Self {
            gap: FIRST,
            under_way: false,
            scheduled: false,
            wanted: false,
            began: None,
        }
    }

    /// Asks for an exchange.
    ///
    /// See also [`Self::due`] and [`Self::end`].
    pub fn ask(&mut self, now: Instant) -> Turn {
        if self.under_way {
            self.wanted = true;
            return Turn::Later;
        }
        if self.scheduled {
            return Turn::Later;
        }
        match self.began.map(|began| began + self.gap) {
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
    pub fn due(&mut self, now: Instant) -> Turn {
        self.scheduled = false;
        if self.under_way {
            return Turn::Later;
        }
        self.begin(now);
        Turn::Now
    }

    /// Ends the exchange under way; returns whether another was asked for meanwhile.
    pub const fn end(&mut self) -> bool {
        self.under_way = false;
        std::mem::replace(&mut self.wanted, false)
    }

    fn begin(&mut self, now: Instant) {
        let is_calm = self
            .began
            .is_none_or(|began| now.duration_since(began) >= self.gap * CALM);
        self.gap = match is_calm {
            true => FIRST,
            false => (self.gap * 2).min(LONGEST),
        };
        self.under_way = true;
        self.began = Some(now);
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::new()
    }
}
