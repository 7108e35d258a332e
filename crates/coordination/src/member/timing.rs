//! The spans that ownership rests on.

use std::time::Duration;

/// The spans that ownership rests on, checked against each other.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use fulmarpier_coordination::member::Timing;
///
/// let timing = Timing::default().lease(Duration::from_secs(6)).check()?;
/// assert_eq!(timing.get_lease(), Duration::from_secs(6));
/// # Ok::<(), fulmarpier_coordination::member::TimingError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    lease: Duration,
    renewal: Duration,
    drift: Duration,
    suspicion: Duration,
    stagger: Duration,
    retry: Duration,
    rebalance: Duration,
    list_lag: Duration,
    refusal_age: Duration,
}

/// The ways in which spans can contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimingError {
    /// A span that must last is zero.
    #[error("`{name}` must be longer than zero")]
    Zero {
        /// The setting.
        name: &'static str,
    },
    /// The lease leaves no room for a second renewal and for asking the peers.
    #[error("the lease of {lease:?} must be longer than two renewals and the drift, {least:?}")]
    Lease {
        /// The lease as given.
        lease: Duration,
        /// The span that it must exceed.
        least: Duration,
    },
    /// An owner would be suspected although it is in time, or a refusal could be older than it.
    #[error("the suspicion of {suspicion:?} must be longer than {least:?}")]
    Suspicion {
        /// The suspicion as given.
        suspicion: Duration,
        /// The longer of a renewal and the age of a refusal.
        least: Duration,
    },
    /// A refusal could be too old to prove anything about the lease after it.
    #[error("the age of a refusal, {age:?}, must be shorter than a lease of {lease:?}")]
    RefusalAge {
        /// The age as given.
        age: Duration,
        /// The lease as given.
        lease: Duration,
    },
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            renewal: Duration::from_secs(1),
            drift: Duration::from_millis(100),
            suspicion: Duration::from_millis(1_500),
            stagger: Duration::from_millis(100),
            retry: Duration::from_millis(250),
            rebalance: Duration::from_secs(2),
            list_lag: Duration::from_secs(90),
            refusal_age: Duration::from_secs(1),
        }
    }
}

impl Timing {
    /// Sets how long a renewal that reached the log lets its sender start work. See
    /// [`Self::renewal`].
    #[must_use]
    pub const fn lease(mut self, span: Duration) -> Self {
        self.lease = span;
        self
    }

    /// Sets the time from one renewal to the next. See [`Self::lease`].
    #[must_use]
    pub const fn renewal(mut self, span: Duration) -> Self {
        self.renewal = span;
        self
    }

    /// Sets how much two nodes' clocks may differ over two leases.
    #[must_use]
    pub const fn drift(mut self, span: Duration) -> Self {
        self.drift = span;
        self
    }

    /// Sets after which silence an owner is probed at its address. See [`Self::lease`].
    #[must_use]
    pub const fn suspicion(mut self, span: Duration) -> Self {
        self.suspicion = span;
        self
    }

    /// Sets how much later the next node in the order of preference claims a shard.
    #[must_use]
    pub const fn stagger(mut self, span: Duration) -> Self {
        self.stagger = span;
        self
    }

    /// Sets the time until a failed read or an unanswered question is tried again.
    #[must_use]
    pub const fn retry(mut self, span: Duration) -> Self {
        self.retry = span;
        self
    }

    /// Sets the least time from one move of a shard for balance to the next.
    #[must_use]
    pub const fn rebalance(mut self, span: Duration) -> Self {
        self.rebalance = span;
        self
    }

    /// Sets how far the VM list may lag.
    #[must_use]
    pub const fn list_lag(mut self, span: Duration) -> Self {
        self.list_lag = span;
        self
    }

    /// Sets how old a refused connection may be when it is reported: the longest backoff of the
    /// transport, which repeats a refusal from memory.
    #[must_use]
    pub const fn refusal_age(mut self, span: Duration) -> Self {
        self.refusal_age = span;
        self
    }

    /// Checks the spans against each other.
    ///
    /// # Errors
    ///
    /// Refuses spans of zero, a lease not longer than two renewals and the drift or than the age of
    /// a refusal, and a suspicion not longer than a renewal or than that age.
    pub fn check(self) -> Result<Self, TimingError> {
        let named = [
            ("lease", self.lease),
            ("renewal", self.renewal),
            ("retry", self.retry),
            ("rebalance", self.rebalance),
        ];
        if let Some((name, _)) = named.into_iter().find(|(_, span)| span.is_zero()) {
            return Err(TimingError::Zero { name });
        }
        let least = self.renewal * 2 + self.drift;
        if self.lease <= least {
            return Err(TimingError::Lease {
                lease: self.lease,
                least,
            });
        }
        let least = self.renewal.max(self.refusal_age);
        if self.suspicion <= least {
            return Err(TimingError::Suspicion {
                suspicion: self.suspicion,
                least,
            });
        }
        if self.refusal_age >= self.lease {
            return Err(TimingError::RefusalAge {
                age: self.refusal_age,
                lease: self.lease,
            });
        }
        Ok(self)
    }

    /// Returns the lease.
    pub const fn get_lease(&self) -> Duration {
        self.lease
    }

    /// Returns the time from one renewal to the next.
    pub const fn get_renewal(&self) -> Duration {
        self.renewal
    }

    /// Returns the longest that another node's lease can last by this node's clock.
    pub fn foreign_lease(&self) -> Duration {
        self.lease + self.drift
    }

    /// Returns for how long a promise to vouch for nobody binds.
    ///
    /// A lease by the asker's clock, from when it asked. A node that forgets its promise by a
    /// restart can't vouch any sooner.
    pub(super) fn promise(&self) -> Duration {
        self.lease + self.drift
    }

    /// Returns the age of the last renewal in the log from which on the log counts as down.
    pub(super) fn overdue(&self) -> Duration {
        self.renewal + self.renewal / 4
    }

    pub(super) const fn get_suspicion(&self) -> Duration {
        self.suspicion
    }

    pub(super) const fn get_stagger(&self) -> Duration {
        self.stagger
    }

    pub(super) const fn get_retry(&self) -> Duration {
        self.retry
    }

    pub(super) const fn get_rebalance(&self) -> Duration {
        self.rebalance
    }

    pub(super) const fn get_refusal_age(&self) -> Duration {
        self.refusal_age
    }

    pub(super) const fn get_list_lag(&self) -> Duration {
        self.list_lag
    }
}
