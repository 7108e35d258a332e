//! Who should own the cell next, and when an owner should let go of it. Pure decisions.
//!
//! They answer four loads: a fleet whose small nodes would own what only large ones can carry, a machine
//! that turns slow beneath the owner, machines that are restarted one after the other, and a backlog that makes
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

/// The link that goes with a whole core, in bits a second. An owner moves some 9 Mbit/s for each core that it
/// uses and reads some megabytes when it takes over: at 10 Mbit/s a takeover of 3,776 jobs took 2,164 ms, at
/// 200 Mbit/s it takes a tenth of a second.
const LINK_OF_CORE: Bandwidth = Bandwidth::from_megabits(200);
const PER_CORE: u64 = 1_000;
/// A node outranks another of less than two thirds of its own strength; equals never do.
const OUTRANKS: (u64, u64) = (3, 2);
/// An owner whose events wait this long lets go of the cell. A job passes some ten events from its arrival to
/// its order, each behind the others of one thread, and the most urgent jobs have some 600 ms to spare for all
/// of them. On machines as they should be events wait 1 to 5 ms, and up to 30 ms right after a takeover.
const SLOW: Duration = Duration::from_millis(40);
/// A node whose own timers are later than this takes no cell from a slow one.
const QUICK: Duration = Duration::from_millis(15);
/// So many times as quick as the slow owner the next one has to be.
const QUICKER: u32 = 3;
/// An owner doesn't let go for slowness so soon after it took over: it reads, adopts and starts a backlog.
const SETTLED: Duration = Duration::from_secs(2);
/// After each owner in a row that was slow the next one has twice the time, up to so many times: where the backlog is what makes
/// them slow, each change of owners adds to it.
const MOST_DOUBLINGS: u8 = 4;
/// An owner that was not slow for so long doesn't count as another one in a row.
pub const CALM: Duration = Duration::from_secs(60);
/// How many events a lag is the median of: 0.2 s of the owner's ticks.
const LATEST: usize = 8;

/// What a node tells of itself when it greets the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The node.
    pub node: NodeName,
    /// Where it answers other nodes.
    pub address: SocketAddr,
    /// Tells two lives of it apart.
    pub incarnation: u64,
    /// How strong it is, see [`strength`].
    pub strength: Millicores,
    /// How many files and connections it may have open.
    pub descriptors: u32,
    /// Whether it could claim the cell.
    pub may_own: bool,
    /// For how long this life of it has run.
    pub age: Duration,
    /// How late its timers are.
    pub lag: Duration,
}

/// Why an owner lets go of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A much stronger node is there.
    Outranked,
    /// Its own events wait too long.
    Slow,
    /// Its process is to end.
    Leaving,
}

impl Reason {
    /// Returns the bare word, for logs.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Outranked => "outranked",
            Self::Slow => "slow",
            Self::Leaving => "leaving",
        }
    }
}

/// Returns since when the owner's claim has not been renewed, as far as that tells something of the owner: it was first
/// seen at a moment, and the owner last answered with the same renewal.
///
/// While the store was away nobody could renew a claim, so that time doesn't count. Weak nodes greet the owner less often,
/// so theirs had lapsed 0.1 to 0.4 s before the strong ones' did when an owner died as the store came back.
pub fn silent_since(first_seen: Instant, answered: Instant, regained: Instant) -> Instant {
    first_seen.min(answered).max(regained)
}

/// Returns how much a node can carry: its processor, or what its link lets it use of one.
pub fn strength(processor: Millicores, link: Bandwidth) -> Millicores {
    let of_link = link.bits().saturating_mul(PER_CORE) / LINK_OF_CORE.bits();
    let of_link = u32::try_from(of_link).unwrap_or(u32::MAX);
    Millicores(processor.get().min(of_link))
}

/// Returns whether a node is so much stronger than another that it should own the cell in its place.
pub fn outranks(strength: Millicores, other: Millicores) -> bool {
    let (strength, other) = (u64::from(strength.get()), u64::from(other.get()));
    strength > other && strength * OUTRANKS.1 >= other * OUTRANKS.0
}

/// Returns whether an owner should look for a quicker one, by how late its events are, how long it has owned the cell, and how
/// many owners in a row before it let go for that.
pub fn is_slow(lag: Duration, owned: Duration, slow_owners: u8) -> bool {
    lag >= SLOW && owned >= SETTLED * (1 << slow_owners.min(MOST_DOUBLINGS))
}

/// Returns whether a node gets its processor in time, by how late its timers are.
pub fn is_quick(lag: Duration) -> bool {
    lag < QUICK
}

/// Chooses who owns the cell next among the nodes that have greeted the owner of late; `None` where none of
/// them would be better.
///
/// The strongest come first, among those the quickest, among those the youngest: where machines are restarted
/// in turn, those that were come last again.
pub fn choose(
    own: Millicores,
    lag: Duration,
    reason: Reason,
    greetings: &[Greeting],
) -> Option<&Greeting> {
    let fits = |greeting: &&Greeting| {
        greeting.may_own
            && match reason {
                Reason::Outranked => outranks(greeting.strength, own),
                Reason::Slow => {
                    let is_quicker = is_quick(greeting.lag) && greeting.lag * QUICKER <= lag;
                    is_quicker && !outranks(own, greeting.strength)
                }
                Reason::Leaving => true,
            }
    };
    let fitting: Vec<&Greeting> = greetings.iter().filter(fits).collect();
    let strongest = fitting.iter().map(|greeting| greeting.strength).max()?;
    let strong = fitting
        .into_iter()
        .filter(|greeting| !outranks(strongest, greeting.strength));
    strong.min_by_key(|greeting| (!is_quick(greeting.lag), greeting.age))
}

/// How late events are: the median of the latest, so that one hiccup is no slowness.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    latest: [Duration; LATEST],
    next: usize,
    worst: Duration,
}

impl Lag {
    /// Takes in how late one event was.
    pub fn note(&mut self, late: Duration) {
        self.latest[self.next] = late;
        self.next = (self.next + 1) % LATEST;
        self.worst = self.worst.max(late);
    }

    /// Returns how late events are of late.
    pub fn get(&self) -> Duration {
        let mut sorted = self.latest;
        sorted.sort_unstable();
        sorted[LATEST / 2]
    }

    /// Returns how late the worst one was since this was last asked.
    pub fn take_worst(&mut self) -> Duration {
        std::mem::take(&mut self.worst)
    }
}
