//! Retries as a share of traffic.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

/// One retry, in the unit of the balance.
const RETRY: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const DEFAULT_RATIO: u16 = 100;
const DEFAULT_PER_SECOND: u32 = 2;
const DEFAULT_SPAN: Duration = Duration::from_secs(10);

/// Retries as a share of traffic, with a small minimum so that quiet services can retry at all.
///
/// Each request pays in a share of a retry, time pays in the minimum, and each retry costs one whole.
/// The balance is bounded, so that quiet hours don't pay for a storm. All arithmetic is on integers
/// and the time is given, so the same calls lead to the same decisions. The idea is that of the retry
/// budgets of Finagle.
///
/// # Examples
///
/// ```
/// use fulmarpier_coordination::retry::Budget;
/// use fulmarpier_state::clock::Timestamp;
///
/// let now = Timestamp::ZERO;
/// let mut budget = Budget::new(100, 0, now);
/// for _ in 0..10 {
///     budget.request(now);
/// }
/// assert!(budget.try_retry(now));
/// assert!(!budget.try_retry(now));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    /// Thousandths of a retry for each request.
    ratio: u64,
    /// Retries for each second.
    per_second: u64,
    /// The most that the balance may be.
    most: u64,
    balance: u64,
    /// When time last paid in.
    paid_at: Timestamp,
}

impl Budget {
    /// Makes a budget of `ratio` thousandths of a retry for each request and `per_second` retries
    /// for each second, which starts with one second's minimum.
    pub fn new(ratio: u16, per_second: u32, now: Timestamp) -> Self {
        let per_second = u64::from(per_second);
        let span = DEFAULT_SPAN.as_secs();
        Self {
            ratio: u64::from(ratio),
            per_second,
            most: per_second.saturating_mul(span).saturating_mul(RETRY),
            balance: per_second.saturating_mul(RETRY),
            paid_at: now,
        }
        .burst(span.saturating_mul(10))
    }

    /// Makes the usual budget: a tenth of the requests and two retries a second.
    pub fn usual(now: Timestamp) -> Self {
        Self::new(DEFAULT_RATIO, DEFAULT_PER_SECOND, now)
    }

    /// Sets how many retries may be saved up at least.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub fn burst(mut self, retries: u64) -> Self {
        self.most = self.most.max(retries.saturating_mul(RETRY));
        self
    }

    /// Notes the first send of a request.
    pub fn request(&mut self, now: Timestamp) {
        self.pay(now);
        self.deposit(self.ratio);
    }

    /// Takes one retry out of the budget; returns whether it was there.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.pay(now);
        match self.balance.checked_sub(RETRY) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }

    /// Returns how many whole retries are left.
    pub const fn left(&self) -> u64 {
        self.balance / RETRY
    }

    /// Pays in the minimum for the time that has passed.
    fn pay(&mut self, now: Timestamp) {
        let rate = self.per_second.saturating_mul(RETRY);
        if rate == 0 {
            return;
        }
        let micros = now.as_micros().saturating_sub(self.paid_at.as_micros());
        let earned = micros.saturating_mul(rate) / MICROS_PER_SECOND;
        if earned > 0 {
            // Only the time that was turned into whole units counts as paid.
            let paid = (earned.saturating_mul(MICROS_PER_SECOND) / rate).min(micros);
            self.paid_at = self.paid_at + Duration::from_micros(paid);
            self.deposit(earned);
        }
    }

    fn deposit(&mut self, amount: u64) {
        self.balance = self.balance.saturating_add(amount).min(self.most);
    }
}
