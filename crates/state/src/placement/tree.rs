//! A balanced search tree that knows the largest free amounts below each node.

use std::ops::Range;

use crate::resource::Resources;

use super::Visits;

/// The number of a worker in the index; also the number of its node in each tree.
pub(super) type Slot = u32;

/// How many bytes of memory count as much as a thousandth of a core.
const MEMORY_PER_MILLICORE: u64 = 2 << 20;

const NIL: Slot = Slot::MAX;

/// A treap over the slots of the index: sorted by key, balanced by a hash of the slot.
///
/// Each node carries the largest amount of each resource in its subtree, and of their
/// [minimum](narrowest), so a search skips subtrees in which nothing can fit. Insertion, removal and change cost O(log n) expected. The
/// balance depends on slots alone, never on the order of operations, so runs repeat exactly.
///
/// Treaps are due to Seidel and Aragon, "Randomized search trees" (1996).
#[derive(Clone, Debug)]
pub(super) struct Tree {
    nodes: Vec<Node>,
    root: Slot,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    key: u128,
    room: Resources,
    max: Resources,
    narrow: u64,
    left: Slot,
    right: Slot,
    priority: u32,
}

impl Node {
    const EMPTY: Self = Self {
        key: 0,
        room: Resources::ZERO,
        max: Resources::ZERO,
        narrow: 0,
        left: NIL,
        right: NIL,
        priority: 0,
    };
}

impl Tree {
    /// Makes an empty tree.
    pub(super) const fn new() -> Self {
        Self {
            nodes: Vec::new(),
            root: NIL,
        }
    }

    /// Adds a slot under a key that no other slot has.
    pub(super) fn insert(&mut self, slot: Slot, key: u128, room: Resources) {
        let index = slot as usize;
        if self.nodes.len() <= index {
            self.nodes.resize(index + 1, Node::EMPTY);
        }
        self.nodes[index] = Node {
            key,
            room,
            max: room,
            narrow: narrowest(&room),
            priority: mix(slot),
            ..Node::EMPTY
        };
        self.root = self.insert_at(self.root, slot);
    }

    /// Removes the slot that has the key; nothing happens where no slot has it.
    pub(super) fn remove(&mut self, key: u128) {
        self.root = self.remove_at(self.root, key);
    }

    /// Changes what the slot with the key has left.
    pub(super) fn update(&mut self, key: u128, room: Resources) {
        self.update_at(self.root, key, room);
    }

    /// Visits the slots with keys in the range and room for the size, in order of their keys.
    ///
    /// Stops when `take` returns `false`.
    pub(super) fn scan(
        &self,
        keys: &Range<u128>,
        size: &Resources,
        visits: &mut Visits,
        take: &mut impl FnMut(Slot) -> bool,
    ) {
        let size = (size, narrowest(size));
        self.scan_at(self.root, keys, size, visits, take);
    }

    fn scan_at(
        &self,
        at: Slot,
        keys: &Range<u128>,
        (size, narrow): (&Resources, u64),
        visits: &mut Visits,
        take: &mut impl FnMut(Slot) -> bool,
    ) -> bool {
        let Some(node) = self.nodes.get(at as usize) else {
            return true;
        };
        visits.count();
        if !size.fits(&node.max) || narrow > node.narrow {
            return true;
        }
        if node.key < keys.start {
            return self.scan_at(node.right, keys, (size, narrow), visits, take);
        }
        if !self.scan_at(node.left, keys, (size, narrow), visits, take) {
            return false;
        }
        if node.key >= keys.end {
            return true;
        }
        if size.fits(&node.room) && !take(at) {
            return false;
        }
        self.scan_at(node.right, keys, (size, narrow), visits, take)
    }

    fn insert_at(&mut self, at: Slot, slot: Slot) -> Slot {
        if at == NIL {
            return slot;
        }
        let node = self.nodes[at as usize];
        let new = self.nodes[slot as usize];
        if (new.priority, slot) > (node.priority, at) {
            let (left, right) = self.split(at, new.key);
            self.nodes[slot as usize].left = left;
            self.nodes[slot as usize].right = right;
            self.pull(slot);
            return slot;
        }
        if new.key < node.key {
            self.nodes[at as usize].left = self.insert_at(node.left, slot);
        } else {
            self.nodes[at as usize].right = self.insert_at(node.right, slot);
        }
        self.pull(at);
        at
    }

    fn remove_at(&mut self, at: Slot, key: u128) -> Slot {
        if at == NIL {
            return NIL;
        }
        let node = self.nodes[at as usize];
        if node.key == key {
            return self.merge(node.left, node.right);
        }
        if key < node.key {
            self.nodes[at as usize].left = self.remove_at(node.left, key);
        } else {
            self.nodes[at as usize].right = self.remove_at(node.right, key);
        }
        self.pull(at);
        at
    }

    fn update_at(&mut self, at: Slot, key: u128, room: Resources) {
        if at == NIL {
            return;
        }
        let node = self.nodes[at as usize];
        if node.key == key {
            self.nodes[at as usize].room = room;
        } else if key < node.key {
            self.update_at(node.left, key, room);
        } else {
            self.update_at(node.right, key, room);
        }
        self.pull(at);
    }

    /// Splits a subtree into the keys below `key` and the others.
    fn split(&mut self, at: Slot, key: u128) -> (Slot, Slot) {
        if at == NIL {
            return (NIL, NIL);
        }
        let node = self.nodes[at as usize];
        if node.key < key {
            let (left, right) = self.split(node.right, key);
            self.nodes[at as usize].right = left;
            self.pull(at);
            (at, right)
        } else {
            let (left, right) = self.split(node.left, key);
            self.nodes[at as usize].left = right;
            self.pull(at);
            (left, at)
        }
    }

    /// Joins two subtrees, all keys of the first being below those of the second.
    fn merge(&mut self, left: Slot, right: Slot) -> Slot {
        if left == NIL {
            return right;
        }
        if right == NIL {
            return left;
        }
        let (low, high) = (self.nodes[left as usize], self.nodes[right as usize]);
        if (low.priority, left) > (high.priority, right) {
            self.nodes[left as usize].right = self.merge(low.right, right);
            self.pull(left);
            left
        } else {
            self.nodes[right as usize].left = self.merge(left, high.left);
            self.pull(right);
            right
        }
    }

    /// Recomputes the largest amounts of a node from its children.
    fn pull(&mut self, at: Slot) {
        let node = self.nodes[at as usize];
        let mut max = node.room;
        let mut narrow = narrowest(&node.room);
        for child in [node.left, node.right] {
            if child != NIL {
                let child = &self.nodes[child as usize];
                max = max.max(child.max);
                narrow = narrow.max(child.narrow);
            }
        }
        self.nodes[at as usize].max = max;
        self.nodes[at as usize].narrow = narrow;
    }
}

/// Returns the smaller of processor time and memory, a core counting as much as about two GiB.
///
/// What fits into an amount is no larger by this measure either. It tells a subtree where one
/// worker has processor time and another memory from one where a worker has both.
fn narrowest(amount: &Resources) -> u64 {
    u64::from(amount.cpu.0).min(amount.memory.0 / MEMORY_PER_MILLICORE)
}

/// Scrambles a slot number into a priority; the finalizer of MurmurHash3.
const fn mix(slot: Slot) -> u32 {
    let mut hash = slot.wrapping_add(0x9e37_79b9);
    hash ^= hash >> 16;
    hash = hash.wrapping_mul(0x85eb_ca6b);
    hash ^= hash >> 13;
    hash = hash.wrapping_mul(0xc2b2_ae35);
    hash ^ (hash >> 16)
}
