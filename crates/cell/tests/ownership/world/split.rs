//! The cell falls into two sides, of which one has the owner and the other the store, and nodes change sides.

use rand::RngExt;

use super::{
    Event, World, millis,
    network::{
        Group,
        STORE, //
    },
};

/// How long a cell is whole before it splits: its nodes vote again after their restart.
const WHOLE: std::ops::Range<u64> = millis(1_000)..millis(6_500);

/// Two sides; a node may be on both.
#[derive(Clone, Copy, Debug)]
pub(super) struct Split {
    /// The side of the owner.
    near: Group,
    /// The side of the store.
    far: Group,
    until: u64,
    /// Whether the store takes what the owner's side sends, and only its answers are lost.
    is_one_way: bool,
}

impl Split {
    /// Returns whether a message from one place to another is lost.
    pub(super) const fn separates(&self, from: usize, to: usize) -> bool {
        let are_near = self.near >> from & self.near >> to & 1 == 1;
        let are_far = self.far >> from & self.far >> to & 1 == 1;
        let is_taken = self.is_one_way && to == STORE;
        !(are_near || are_far || is_taken)
    }

    /// Puts a node on one side, or now and then on both.
    const fn place(&mut self, node: usize, is_near: bool, is_far: bool) {
        let bit = 1 << node;
        self.near = if is_near {
            self.near | bit
        } else {
            self.near & !bit
        };
        self.far = if is_far {
            self.far | bit
        } else {
            self.far & !bit
        };
    }
}

impl World {
    /// Splits the cell some time later.
    pub(super) fn plan_split(&mut self) {
        let pause = self.rng.random_range(WHOLE);
        self.schedule(pause, Event::Split);
    }

    /// Splits the cell around one of its owners.
    pub(super) fn split(&mut self) {
        let owner = self.nodes.iter().position(|node| node.tenure.is_some());
        let Some(owner) = owner.filter(|_| self.has_faults) else {
            self.plan_split();
            return;
        };
        let mut split = Split {
            near: 0,
            far: 1 << STORE,
            until: self.now + self.rng.random_range(millis(1_000)..millis(8_000)),
            is_one_way: self.rng.random_bool(0.3),
        };
        let share = self.rng.random_range(0.2..0.9);
        for node in 0..self.nodes.len() {
            let is_near = self.rng.random_bool(share);
            split.place(node, is_near, !is_near);
        }
        split.place(owner, true, false);
        self.set_split(Some(split));
        if self.rng.random_bool(0.2) {
            self.pause_briefly(owner);
        }
        self.plan_shift();
    }

    fn set_split(&mut self, split: Option<Split>) {
        self.network.split = split;
        self.note(|| format!("{split:x?}"));
    }

    fn plan_shift(&mut self) {
        let pause = self.rng.random_range(millis(20)..millis(900));
        self.schedule(pause, Event::Shift);
    }

    /// Moves a node to the other side, or ends the split.
    pub(super) fn shift(&mut self) {
        let Some(mut split) = self.network.split else {
            self.plan_split();
            return;
        };
        if split.until <= self.now || !self.has_faults {
            self.set_split(None);
            self.plan_split();
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let is_near = split.near >> node & 1 == 1;
        let is_on_both = self.rng.random_bool(0.05);
        if self.nodes[node].tenure.is_none() {
            split.place(node, !is_near || is_on_both, is_near || is_on_both);
            self.set_split(Some(split));
            if self.rng.random_bool(self.restart_share) {
                self.restart_within(node, millis(100));
            }
        }
        let owners = (0..self.nodes.len()).filter(|node| self.nodes[*node].tenure.is_some());
        let first = owners.min_by_key(|node| self.nodes[*node].last_owned);
        if let Some(owner) = first
            && self.rng.random_bool(0.2)
        {
            self.pause_briefly(owner);
        }
        self.plan_shift();
    }

    fn pause_briefly(&mut self, index: usize) {
        let span = self.rng.random_range(millis(50)..millis(1_150));
        self.pause(index, span);
    }
}
