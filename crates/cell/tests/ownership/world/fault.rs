//! What goes wrong.

use rand::{
    RngExt,
    rngs::SmallRng, //
};

use super::{
    Event, World, millis,
    network::{
        Group,
        STORE, //
    },
    node::Condition,
};

/// Longer than any history.
const FOR_GOOD: u64 = millis(1_000_000);

#[derive(Clone, Copy, Debug)]
pub(super) enum Kind {
    /// Nodes are cut from other nodes.
    Partition,
    /// Nodes are cut from the store.
    StoreLoss,
    /// One node is cut from another.
    Silence,
    SlowLinks,
    Pause,
    Restart,
    /// Several nodes start again, one after another.
    Rollout,
    PowerLoss,
    /// The owner is cut from the store, and from some nodes.
    Isolation,
}

impl Kind {
    const ALL: [Self; 9] = [
        Self::Partition,
        Self::StoreLoss,
        Self::Silence,
        Self::SlowLinks,
        Self::Pause,
        Self::Restart,
        Self::Rollout,
        Self::PowerLoss,
        Self::Isolation,
    ];

    pub(super) fn random(rng: &mut SmallRng) -> Self {
        Self::ALL[rng.random_range(0..Self::ALL.len())]
    }
}

impl World {
    /// Cuts all nodes from the store for good.
    pub(crate) fn cut_store_for_all(&mut self) {
        self.cut(Group::MAX, 1 << STORE, FOR_GOOD, false);
    }

    /// Cuts the power of nodes for good.
    pub(crate) fn cut_power_of(&mut self, nodes: &[usize]) {
        for node in nodes {
            self.cut_power(*node, FOR_GOOD);
        }
    }

    /// Ends the process of a node, whose next one starts after a time.
    pub(crate) fn restart_later(&mut self, node: usize, pause: u64) {
        self.nodes[node].stop(Condition::Down);
        self.schedule(pause, Event::Start(node));
    }

    /// Cuts an owner and half of the other nodes from the store, its successor and the rest.
    pub(crate) fn split_between(&mut self, owner: usize, successor: usize) {
        let others = (0..self.nodes.len()).filter(|node| *node != owner && *node != successor);
        let near = others
            .step_by(2)
            .fold(1 << owner, |near: Group, node| near | 1 << node);
        self.cut(near, !near, FOR_GOOD, false);
    }

    /// Cuts the power of nodes, cuts them off or ends their processes, for good.
    pub(crate) fn lose_some(&mut self, nodes: &[usize]) {
        for node in nodes {
            match self.rng.random_range(0..3) {
                0 => self.cut_power(*node, FOR_GOOD),
                1 => self.cut(1 << node, Group::MAX, FOR_GOOD, false),
                _ => self.restart(*node),
            }
        }
    }

    /// Causes a fault, and the next one some time later.
    pub(super) fn cause_fault(&mut self) {
        if !self.has_faults {
            return;
        }
        let kind = match self.rng.random_bool(0.4) {
            true => self.favourite,
            false => Kind::random(&mut self.rng),
        };
        self.cause(kind);
        let pause = self.rng.random_range(millis(50)..millis(1_500));
        self.schedule(pause, Event::Fault);
    }

    fn cause(&mut self, kind: Kind) {
        let index = self.rng.random_range(0..self.nodes.len());
        let span = self.rng.random_range(millis(200)..millis(7_000));
        let is_one_way = self.rng.random_bool(0.2);
        match kind {
            Kind::Partition => {
                let group = self.random_group();
                self.cut(group, !group & !(1 << STORE), span, is_one_way);
            }
            Kind::StoreLoss => {
                let group = match self.rng.random_bool(0.3) {
                    true => Group::MAX,
                    false => self.random_group(),
                };
                self.cut(group, 1 << STORE, span, is_one_way);
            }
            Kind::Silence => {
                let other = self.rng.random_range(0..self.nodes.len());
                self.cut(1 << index, 1 << other, span, is_one_way);
            }
            Kind::SlowLinks => {
                let group = self.random_group();
                self.slow_down(group, !group, span);
            }
            Kind::Pause => self.pause(index, span),
            Kind::Restart => self.restart(index),
            Kind::Rollout => {
                let group = self.random_group();
                let nodes = 0..self.nodes.len();
                for index in nodes.filter(|index| group >> index & 1 == 1) {
                    self.restart(index);
                }
            }
            Kind::PowerLoss => self.cut_power(index, span),
            Kind::Isolation => self.isolate_owner(span),
        }
    }

    fn random_group(&mut self) -> Group {
        self.rng.random_range(0..1 << self.nodes.len())
    }

    pub(super) fn pause(&mut self, index: usize, span: u64) {
        if self.nodes[index].condition == Condition::Up {
            self.note(|| format!("node {index} stands still for {span} us"));
            self.nodes[index].condition = Condition::Paused(self.now + span);
        }
    }

    fn restart(&mut self, index: usize) {
        self.restart_within(index, millis(1_500));
    }

    /// Ends a process, and starts the next one within a time.
    pub(super) fn restart_within(&mut self, index: usize, span: u64) {
        if self.is_up(index) {
            let pause = self.rng.random_range(millis(1)..span);
            self.note(|| format!("node {index} ends and starts again {pause} us later"));
            self.nodes[index].stop(Condition::Down);
            self.schedule(pause, Event::Start(index));
        }
    }

    fn cut_power(&mut self, index: usize, span: u64) {
        if self.is_up(index) {
            self.note(|| format!("node {index} is without power for {span} us"));
            self.nodes[index].stop(Condition::Off);
            self.schedule(span, Event::Start(index));
        }
    }

    fn is_up(&self, index: usize) -> bool {
        matches!(
            self.nodes[index].condition,
            Condition::Up | Condition::Paused(_)
        )
    }

    fn isolate_owner(&mut self, span: u64) {
        let owner = self.nodes.iter().position(|node| node.tenure.is_some());
        let Some(owner) = owner else {
            return;
        };
        let (group, others) = (self.random_group(), self.random_group());
        self.cut(1 << owner | group, 1 << STORE, span, false);
        self.cut(1 << owner, others & !(1 << owner), span, false);
    }
}
