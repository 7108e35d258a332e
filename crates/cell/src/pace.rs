//! Placement by the speed of workers: which classes of workers a step takes first.
//!
//! Only the order among workers that may run a step depends on their classes. Where all workers are of one class, every
//! order is the same as without regard to speed.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::Duration, //
};

use crate::speed::Class;

/// The order in which a step takes the classes of workers.
///
/// The classes from a lower bound on come first, the slowest of them first, so that no worker is faster than needed.
/// The classes below the bound follow, the fastest of them first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preference {
    bound: Class,
}

impl Preference {
    /// The order from the fastest class to the slowest.
    pub const FASTEST_FIRST: Self = Self::at_least(Class::Fast);
    /// The order from the slowest class to the fastest.
    pub const SLOWEST_FIRST: Self = Self::at_least(Class::Slow);

    /// Returns the order that begins with a class and continues with faster ones.
    pub const fn at_least(bound: Class) -> Self {
        Self { bound }
    }

    /// Returns the order for a single task.
    ///
    /// Tasks that are not urgent leave fast workers to those that are, as long as `slack`, the time until the task has
    /// to start, exceeds `estimate`: the task is then in time even on a worker of half the typical speed.
    pub fn for_single(is_urgent: bool, slack: Duration, estimate: Duration) -> Self {
        match !is_urgent && slack > estimate {
            true => Self::SLOWEST_FIRST,
            false => Self::FASTEST_FIRST,
        }
    }

    /// Returns the position of a class in the order.
    pub fn position(self, class: Class) -> (bool, u8) {
        let distance = (class as u8).abs_diff(self.bound as u8);
        (class < self.bound, distance)
    }
}

/// A worker that has free capacity for members of a gang, with its id of type `W`.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a, W> {
    /// The worker.
    pub worker: W,
    /// How many members fit.
    pub fits: usize,
    /// The class of its speed.
    pub class: Class,
    /// The rack that it stands in.
    pub rack: Option<&'a str>,
    /// Whether it is outside the rack that the step prefers, and how many tasks there interfere with the step. These
    /// take precedence over the class.
    pub penalty: (bool, usize),
    /// The sort key by the CPU that it has left; the smallest is the best fit.
    pub left: u32,
}

/// The choice of workers in one rack.
struct Choice<W> {
    bound: Class,
    /// The number of members on workers that are faster than the bound.
    above: usize,
    /// How many members fit on the workers in the rack that are not slower than the bound.
    room: usize,
    workers: Vec<W>,
}

/// Returns how many members fit on candidates of a class and faster ones.
fn room<W>(candidates: &[Candidate<'_, W>], bound: Class) -> usize {
    let candidates = candidates.iter();
    let fast = candidates.filter(|candidate| candidate.class >= bound);
    fast.map(|candidate| candidate.fits).sum()
}

/// Returns the fastest class such that all members fit on workers of this class and faster ones; `None` if they don't
/// all fit.
fn fastest_bound<W>(candidates: &[Candidate<'_, W>], count: usize) -> Option<Class> {
    let mut bounds = Class::ALL.into_iter().rev();
    bounds.find(|bound| room(candidates, *bound) >= count)
}

/// Assigns up to `count` members in order to candidates that are not slower than `bound`.
fn fill<'a, W>(
    candidates: &'a [Candidate<'a, W>],
    bound: Class,
    count: usize,
) -> impl Iterator<Item = &'a Candidate<'a, W>> {
    let candidates = candidates.iter();
    let fast = candidates.filter(move |candidate| candidate.class >= bound);
    fast.flat_map(|candidate| std::iter::repeat_n(candidate, candidate.fits))
        .take(count)
}

/// Assigns the members of a gang to workers, or returns `None` if they don't all fit.
///
/// Workers with a lower penalty come first. Among those of equal penalty, workers below the fastest bound at which all
/// members fit are left out, and the others are filled from the slowest on, since the gang progresses at the pace of
/// its slowest member. If some members are on slower workers already because of the penalty, these are the bound.
pub fn choose_workers<W: Copy + Ord>(
    mut candidates: Vec<Candidate<'_, W>>,
    count: usize,
) -> Option<Vec<W>> {
    if room(&candidates, Class::Slow) < count {
        return None;
    }
    candidates.sort_by_key(|candidate| {
        let Candidate {
            penalty,
            class,
            left,
            worker,
            ..
        } = *candidate;
        (penalty, class, left, worker)
    });
    let mut pace = Class::Fast;
    let mut workers = Vec::with_capacity(count);
    for equal in candidates.chunk_by(|a, b| a.penalty == b.penalty) {
        let left = count - workers.len();
        let bound = fastest_bound(equal, left).unwrap_or(Class::Slow);
        let chosen = fill(equal, bound.min(pace), left);
        for candidate in chosen {
            pace = pace.min(candidate.class);
            workers.push(candidate.worker);
        }
    }
    Some(workers)
}

/// Assigns all members of a gang to workers of one rack, or returns `None` if there is no rack in which they fit.
///
/// It chooses the rack with the fastest bound; among these, the one in which the fewest members run on workers that are
/// faster than the bound; and among these, the one with the least free capacity.
pub fn choose_rack<W: Copy>(candidates: &[Candidate<'_, W>], count: usize) -> Option<Vec<W>> {
    let mut racks: BTreeMap<&str, Vec<Candidate<'_, W>>> = BTreeMap::new();
    for candidate in candidates {
        if let Some(rack) = candidate.rack {
            racks.entry(rack).or_default().push(*candidate);
        }
    }
    let choices = racks.into_values();
    let choices = choices.filter_map(|candidates| choose_in_rack(candidates, count));
    let best = choices.min_by_key(|choice| (Reverse(choice.bound), choice.above, choice.room))?;
    Some(best.workers)
}

fn choose_in_rack<W: Copy>(
    mut candidates: Vec<Candidate<'_, W>>,
    count: usize,
) -> Option<Choice<W>> {
    let bound = fastest_bound(&candidates, count)?;
    // The sort is stable: workers of one class keep their order.
    candidates.sort_by_key(|candidate| candidate.class);
    let chosen: Vec<&Candidate<'_, W>> = fill(&candidates, bound, count).collect();
    let above = chosen.iter().filter(|candidate| candidate.class > bound);
    Some(Choice {
        bound,
        above: above.count(),
        room: room(&candidates, bound),
        workers: chosen.iter().map(|candidate| candidate.worker).collect(),
    })
}
