//! Shares of the capacity: which workspaces use more than their weight entitles them to while others ask for capacity.
//!
//! The share of a workspace is the part of its weight in the weights of all workspaces that ask for capacity. Its usage
//! is its dominant share: the largest of the parts of each resource that its runs use (dominant resource fairness,
//! Ghodsi et al., 2011). A share that nobody asks for belongs to those who ask.

use std::{
    fmt,
    time::Duration, //
};

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    quota::{
        self,
        Ledger, //
    },
};

/// The minimum time between two evaluations. Tasks run for half a second and longer, so usage changes little within it.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// For how long a workspace counts as asking after its last open step. Most steps of a workspace within its share are
/// open only while a call for advice is in progress. Without this period, the shares of all others would change several
/// times a second.
pub const ASKING_PERIOD: Duration = Duration::from_secs(1);

/// The usage of a workspace as a multiple of its share, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ratio(u32);

impl Ratio {
    /// Above this, a workspace becomes over its share.
    const UPPER: Self = Self(1_250);
    /// Below this, a workspace stops being over its share. Since its next start changes its usage by only a part of the
    /// distance between both bounds, it doesn't alternate between both standings with each start and end.
    const LOWER: Self = Self(1_000);

    /// Returns the ratio of a usage, as a part of the whole capacity, to a share by weight.
    pub fn new(used: f64, weight: u64, weights: u64) -> Self {
        let share = weight as f64 / weights.max(1) as f64;
        let thousandths = used / share.max(f64::MIN_POSITIVE) * 1_000.0;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "A float is converted with saturation."
        )]
        #[expect(
            clippy::cast_sign_loss,
            reason = "A float is converted with saturation."
        )]
        Self(thousandths.round() as u32)
    }

    /// Returns the ratio in thousandths.
    pub const fn thousandths(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Ratio {
    /// Writes the ratio with three decimals.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// Whether a workspace uses more than its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It uses its share at most, or it doesn't ask for capacity.
    #[default]
    Within,
    /// It uses more than its share.
    Over,
}

impl Standing {
    /// Returns the standing as one word, for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Within => "within",
            Self::Over => "over",
        }
    }

    /// Returns the standing after an evaluation with this result.
    pub fn next(self, ratio: Ratio) -> Self {
        match self {
            Self::Within if ratio > Ratio::UPPER => Self::Over,
            Self::Over if ratio < Ratio::LOWER => Self::Within,
            unchanged => unchanged,
        }
    }
}

/// The result of the last evaluation for a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Whether it uses more than its share.
    pub standing: Standing,
    /// Its usage as a multiple of its share.
    pub ratio: Ratio,
    /// Its weight.
    pub weight: u64,
    /// The weights of all workspaces that asked for capacity.
    pub weights: u64,
}

/// A workspace that asks for capacity.
#[derive(Clone, Copy, Debug, Default)]
struct Member {
    share: Share,
    asked_at: Timestamp,
}

/// The shares of all workspaces that ask for capacity.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    members: HashMap<quota::Slot, Member>,
    next_evaluation: Timestamp,
}

impl Shares {
    /// Returns whether an evaluation is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_evaluation
    }

    /// Makes an evaluation due at once, as after a change of weights.
    pub const fn expire(&mut self) {
        self.next_evaluation = Timestamp::ZERO;
    }

    /// Evaluates the shares of the workspaces that ask for capacity now or did so recently. Returns those whose standing
    /// has changed, in the order of their slots.
    pub fn evaluate(
        &mut self,
        ledger: &Ledger,
        asking: impl Iterator<Item = quota::Slot>,
        now: Timestamp,
    ) -> Vec<(quota::Slot, Share)> {
        self.next_evaluation = now + EVALUATION_INTERVAL;
        for account in asking {
            self.members.entry(account).or_default().asked_at = now;
        }
        let weights = self.weights(ledger, now);
        let mut changes = Vec::new();
        for (account, member) in &mut self.members {
            let before = member.share.standing;
            member.share = member.evaluated(*account, ledger, weights, now);
            if member.share.standing != before {
                changes.push((*account, member.share));
            }
        }
        self.members.retain(|_, member| member.is_asking(now));
        changes.sort_unstable_by_key(|(account, _)| *account);
        changes
    }

    /// Returns the sum of the weights of the workspaces that ask for capacity.
    fn weights(&self, ledger: &Ledger, now: Timestamp) -> u64 {
        let members = self.members.iter();
        let asking = members.filter(|(_, member)| member.is_asking(now));
        asking
            .map(|(account, _)| weight(ledger, *account))
            .sum::<u64>()
    }

    /// Returns the share of a workspace at the last evaluation, if it asked for capacity.
    pub fn share(&self, account: quota::Slot) -> Option<Share> {
        self.members.get(&account).map(|member| member.share)
    }

    /// Returns whether a workspace uses more than its share.
    pub fn is_over(&self, account: quota::Slot) -> bool {
        let share = self.share(account);
        share.is_some_and(|share| share.standing == Standing::Over)
    }
}

impl Member {
    /// Returns whether the workspace has open steps or had some recently.
    fn is_asking(&self, now: Timestamp) -> bool {
        now.since(self.asked_at) <= ASKING_PERIOD
    }

    /// Returns the share of the workspace by the present usage; one that doesn't ask is within its share.
    fn evaluated(
        &self,
        account: quota::Slot,
        ledger: &Ledger,
        weights: u64,
        now: Timestamp,
    ) -> Share {
        let weight = weight(ledger, account);
        let ratio = Ratio::new(ledger.dominant_share(account), weight, weights);
        let standing = match self.is_asking(now) {
            true => self.share.standing.next(ratio),
            false => Standing::Within,
        };
        Share {
            standing,
            ratio,
            weight,
            weights,
        }
    }
}

/// Returns the weight of a workspace; none counts as one.
fn weight(ledger: &Ledger, account: quota::Slot) -> u64 {
    ledger.account(account).limit.weight.max(1).into()
}
