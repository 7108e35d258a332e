//! Decides which node should own the cell next and when an owner should hand it over. Pure functions.
//!
//! The decisions cover four situations: a fleet in which small nodes would own a cell that only large ones can handle,
//! a machine that becomes slow while its node is the owner, a rolling restart of the machines, and a backlog that makes
//! every owner slow.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_cell::id::NodeName;
use fulmarpier_state::unit::{
    Bandwidth,
    Millicores, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// The link bandwidth that a node needs for each core that it can use as an owner.
///
/// An owner transfers about 9 Mbit/s for each core that it uses and reads a few megabytes when it takes over. At
/// 10 Mbit/s a takeover of 3,776 jobs took 2,164 ms; at 200 Mbit/s it takes 0.1 s.
const LINK_PER_CORE: Bandwidth = Bandwidth::from_megabits(200);
const MILLICORES_PER_CORE: u64 = 1_000;
/// A node outranks another if the ratio of their strengths is at least 3 to 2. Equal nodes never outrank each other.
const OUTRANK_RATIO: (u64, u64) = (3, 2);
/// An owner whose events wait for at least this long gives the cell up.
///
/// A job passes through about ten events from its arrival to its order. All of them queue for one thread, and the most
/// urgent jobs have about 600 ms of slack for all of them together. On healthy machines events wait for 1 to 5 ms, and
/// for up to 30 ms right after a takeover.
const SLOW_LAG: Duration = Duration::from_millis(40);
/// A node whose own timers are at least this late doesn't take the cell over from a slow owner.
const PROMPT_LAG: Duration = Duration::from_millis(15);
/// The factor by which the machine of the next owner must be faster or prompter than that of a slow one.
const MIN_PACE_RATIO: u32 = 3;
/// The time after a takeover during which an owner doesn't count as slow, because it first has to read the records,
/// adopt the running tasks and start the backlog.
const SLOWNESS_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// The maximum number of times that this period is doubled. It doubles with each consecutive slow owner, because each
/// change of owners adds to the backlog if the backlog is what makes them slow.
const MAX_GRACE_PERIOD_DOUBLINGS: u8 = 4;
/// An owner that was not slow for this long ends the series of consecutive slow owners.
pub const SLOW_SERIES_GAP: Duration = Duration::from_secs(60);
/// The number of samples of which a lag is the median. The ticks of an owner give that many in 0.2 s.
const LAG_SAMPLES: usize = 8;
/// The number of samples of which the measure of a machine's speed is the smallest. There are ten a second.
const SPEED_SAMPLES: usize = 4;

/// The content of a hello, the periodic message of a node to the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The node.
    pub node: NodeName,
    /// The address at which it answers other nodes.
    pub address: SocketAddr,
    /// The incarnation, which differs each time the node is started.
    pub incarnation: u64,
    /// The capacity of the node as an owner, see [`strength`].
    pub strength: Millicores,
    /// The number of files and connections that it may have open.
    pub descriptors: u32,
    /// Whether it could claim the cell.
    pub may_own: bool,
    /// The time since this incarnation started.
    pub age: Duration,
    /// How promptly and how fast the node works, apart from its load.
    pub pace: Pace,
}

/// How promptly and how fast a machine runs the process of a node, measured by work that doesn't wait for other work of
/// the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The delay with which timers fire.
    pub lag: Duration,
    /// The time of a fixed computation; zero before it is measured. It follows the message of a hello, see
    /// [`supplement`](crate::supplement).
    #[serde(skip)]
    pub probe: Duration,
}

impl Pace {
    /// Returns whether a machine is so much better than another one that the cell should move to it.
    ///
    /// Load alone doesn't make a machine worse in this sense, and an owner with too much to do is not helped by another
    /// one that is as fast.
    fn is_much_better_than(self, other: Self) -> bool {
        let is_faster = !self.probe.is_zero() && self.probe * MIN_PACE_RATIO <= other.probe;
        let is_prompter = other.lag >= SLOW_LAG && self.lag * MIN_PACE_RATIO <= other.lag;
        is_prompt(self.lag) && (is_faster || is_prompter)
    }
}

/// The reason for which an owner gives the cell up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// There is a much stronger node.
    Outranked,
    /// The events of the owner wait too long, and another machine is much faster.
    Slow,
    /// The process of the owner is shutting down.
    Leaving,
}

impl Reason {
    /// Returns the name of the reason, as logs have it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Outranked => "outranked",
            Self::Slow => "slow",
            Self::Leaving => "leaving",
        }
    }
}

/// Returns the time from which on a missing renewal of the claim counts against the owner. The claim as it stands was
/// first read at `first_seen`, and the owner last answered with that renewal at `last_answered`.
///
/// During an outage of the store no owner can renew its claim, so the time before `outage_ended` doesn't count. Weak
/// nodes send hellos less often: without this rule, when an owner died as an outage ended, they found its claim to
/// have expired 0.1 to 0.4 s before the strong nodes did.
pub fn silent_since(first_seen: Instant, last_answered: Instant, outage_ended: Instant) -> Instant {
    first_seen.min(last_answered).max(outage_ended)
}

/// Returns the capacity of a node as an owner: its processor, or the part of it that its link can keep busy.
pub fn strength(processor: Millicores, link: Bandwidth) -> Millicores {
    let link_limit = link.bits().saturating_mul(MILLICORES_PER_CORE) / LINK_PER_CORE.bits();
    let link_limit = u32::try_from(link_limit).unwrap_or(u32::MAX);
    Millicores(processor.get().min(link_limit))
}

/// Returns whether a node is so much stronger than another that it should own the cell instead.
pub fn outranks(strength: Millicores, other: Millicores) -> bool {
    let (strength, other) = (u64::from(strength.get()), u64::from(other.get()));
    strength > other && strength * OUTRANK_RATIO.1 >= other * OUTRANK_RATIO.0
}

/// Returns whether an owner is slow and should look for a machine that is faster or prompter, given the lag of its
/// events, the time for which it has owned the cell, and the number of consecutive owners before it that gave the cell up
/// for being slow.
pub fn is_slow(lag: Duration, owned: Duration, slow_owners: u8) -> bool {
    lag >= SLOW_LAG
        && owned >= SLOWNESS_GRACE_PERIOD * (1 << slow_owners.min(MAX_GRACE_PERIOD_DOUBLINGS))
}

/// Returns whether a node gets processor time promptly, given the lag of its timers.
pub fn is_prompt(lag: Duration) -> bool {
    lag < PROMPT_LAG
}

/// Chooses the next owner among the nodes that recently sent hellos to the owner; `None` if none of them would be
/// better.
///
/// Prefers the strongest nodes, among these the ones that get processor time promptly, and among these the one that was
/// started last: in a rolling restart, that node will be restarted again last.
pub fn choose_successor(
    own: Millicores,
    pace: Pace,
    reason: Reason,
    hellos: &[Hello],
) -> Option<&Hello> {
    let is_eligible = |hello: &&Hello| {
        hello.may_own
            && match reason {
                Reason::Outranked => outranks(hello.strength, own),
                Reason::Slow => {
                    hello.pace.is_much_better_than(pace) && !outranks(own, hello.strength)
                }
                Reason::Leaving => true,
            }
    };
    let eligible: Vec<&Hello> = hellos.iter().filter(is_eligible).collect();
    let strongest = eligible.iter().map(|hello| hello.strength).max()?;
    let strong = eligible
        .into_iter()
        .filter(|hello| !outranks(strongest, hello.strength));
    strong.min_by_key(|hello| (!is_prompt(hello.pace.lag), hello.age))
}

/// The lag of events: the median of the latest samples, so that a single late event doesn't count as slowness.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    samples: [Duration; LAG_SAMPLES],
    next: usize,
    largest: Duration,
}

impl Lag {
    /// Adds the lag of one event.
    pub fn record(&mut self, late: Duration) {
        self.samples[self.next] = late;
        self.next = (self.next + 1) % LAG_SAMPLES;
        self.largest = self.largest.max(late);
    }

    /// Returns the median lag of the latest events.
    pub fn median(&self) -> Duration {
        let mut sorted = self.samples;
        sorted.sort_unstable();
        sorted[LAG_SAMPLES / 2]
    }

    /// Returns the smallest of the last few samples, which shows how fast a machine is whatever else it does; zero before
    /// there are as many.
    pub fn smallest(&self) -> Duration {
        let latest = (1..=SPEED_SAMPLES).map(|age| (self.next + LAG_SAMPLES - age) % LAG_SAMPLES);
        latest
            .map(|index| self.samples[index])
            .min()
            .unwrap_or_default()
    }

    /// Returns the largest lag since the last call.
    pub fn take_largest(&mut self) -> Duration {
        std::mem::take(&mut self.largest)
    }
}
