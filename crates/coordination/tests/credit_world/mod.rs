//! Gates, an owner and targets with a network between them that loses, delays and doubles.

use std::time::Duration;

use fulmarpier_coordination::{
    credit::{
        Balance,
        End,
        Ledger,
        Reply,
        Statement,
        Terms,
        Ticket, //
    },
    platform::target::{
        Id,
        Target, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        JobId,
        NodeId,
        TaskId, //
    },
    name::Service, //
};
use proptest::prelude::*;

/// The gates' clocks run at these rates, in thousandths of the true one.
const RATES: [u64; 3] = [985, 1_000, 1_015];

/// One thing that happens; indexes are taken modulo what there is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    Advance(u16),
    Sync(u8),
    Inspect(u8),
    State(u8),
    Statement { index: u8, keep: bool },
    LoseStatement(u8),
    Reply { index: u8, keep: bool },
    LoseReply(u8),
    Take(u8),
    Arrive(u8),
    Finish(u8),
    Answer(u8),
    GiveUp(u8),
    Die(u8),
    Ask(u8),
    Look(u8),
    Learn(u8),
    Offer(u8),
    End(u8),
    Suspend,
    Withdraw(u8),
    Restart(u8),
    ChangeOwner,
}

/// Draws one thing that happens, the common ones more often.
pub(crate) fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..400_u16).prop_map(Op::Advance),
        1 => (1_500..3_000_u16).prop_map(Op::Advance),
        5 => any::<u8>().prop_map(Op::Sync),
        4 => any::<u8>().prop_map(Op::Inspect),
        8 => any::<u8>().prop_map(Op::State),
        10 => (any::<u8>(), prop::bool::weighted(0.1))
            .prop_map(|(index, keep)| Op::Statement { index, keep }),
        1 => any::<u8>().prop_map(Op::LoseStatement),
        10 => (any::<u8>(), prop::bool::weighted(0.1))
            .prop_map(|(index, keep)| Op::Reply { index, keep }),
        1 => any::<u8>().prop_map(Op::LoseReply),
        16 => any::<u8>().prop_map(Op::Take),
        10 => any::<u8>().prop_map(Op::Arrive),
        8 => any::<u8>().prop_map(Op::Finish),
        8 => any::<u8>().prop_map(Op::Answer),
        2 => any::<u8>().prop_map(Op::GiveUp),
        1 => any::<u8>().prop_map(Op::Die),
        4 => any::<u8>().prop_map(Op::Ask),
        4 => any::<u8>().prop_map(Op::Look),
        4 => any::<u8>().prop_map(Op::Learn),
        1 => any::<u8>().prop_map(Op::Offer),
        1 => any::<u8>().prop_map(Op::End),
        1 => Just(Op::Suspend),
        1 => any::<u8>().prop_map(Op::Withdraw),
        1 => any::<u8>().prop_map(Op::Restart),
        1 => Just(Op::ChangeOwner),
    ]
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Sent,
    Running,
    Finished,
}

struct Request {
    target: Id,
    stage: Stage,
    sent_at: Timestamp,
    /// The gate's life and ticket, while the gate waits for the answer.
    waiting: Option<(usize, Incarnation, Ticket)>,
}

struct Inventory {
    epoch: Epoch,
    target: Id,
    asked_at: Timestamp,
    busy: Option<u16>,
}

/// Everything there is.
pub(crate) struct World {
    pub(crate) now: Timestamp,
    terms: Terms,
    service: Service,
    pub(crate) ledger: Ledger,
    epoch: Epoch,
    /// Whether the owner may not act as such at the moment.
    suspended: bool,
    pub(crate) gates: Vec<Balance>,
    lives: Vec<u64>,
    pub(crate) targets: Vec<(Target, u16)>,
    statements: Vec<(Epoch, usize, Statement)>,
    replies: Vec<(NodeId, usize, Incarnation, Reply)>,
    requests: Vec<Request>,
    inventories: Vec<Inventory>,
    pub(crate) taken: u64,
}

impl World {
    pub(crate) fn new(slots: &[u16]) -> Self {
        let terms = Terms::default();
        let mut world = Self {
            now: Timestamp::from_millis(1_000_000),
            terms,
            service: "desk".parse().expect("the name is accepted"),
            ledger: Ledger::new(terms),
            epoch: Epoch(1),
            suspended: false,
            gates: Vec::new(),
            lives: vec![1; RATES.len()],
            targets: Vec::new(),
            statements: Vec::new(),
            replies: Vec::new(),
            requests: Vec::new(),
            inventories: Vec::new(),
            taken: 0,
        };
        for gate in 0..RATES.len() {
            let balance = world.fresh_gate(gate);
            world.gates.push(balance);
        }
        for (index, slots) in slots.iter().enumerate() {
            let target = make_target(index, 1);
            world.targets.push((target, *slots));
            let service = world.service.clone();
            world.ledger.add(service, target, world.epoch, *slots);
        }
        world
    }

    pub(crate) fn run(&mut self, op: Op) {
        match op {
            Op::Advance(millis) => self.advance(millis),
            Op::Sync(gate) => self.sync(at(gate, RATES.len())),
            Op::Inspect(target) => self.inspect(target),
            Op::State(gate) => self.state(at(gate, RATES.len())),
            Op::Statement { index, keep } => self.deliver_statement(index, keep),
            Op::LoseStatement(index) => drop(pick(&mut self.statements, index)),
            Op::Reply { index, keep } => self.deliver_reply(index, keep),
            Op::LoseReply(index) => drop(pick(&mut self.replies, index)),
            Op::Take(gate) => self.take(at(gate, RATES.len())),
            Op::Arrive(index) => self.step(index, Stage::Sent, Stage::Running),
            Op::Finish(index) => self.step(index, Stage::Running, Stage::Finished),
            Op::Answer(index) => self.end(index, Stage::Finished, End::Answered),
            Op::GiveUp(index) => self.end(index, Stage::Running, End::Unknown),
            Op::Die(gate) => self.die(at(gate, RATES.len())),
            Op::Ask(target) => self.ask(target),
            Op::Look(index) => self.look(index),
            Op::Learn(index) => self.learn(index),
            Op::Offer(target) => self.offer(target),
            Op::End(target) => self.end_target(target),
            Op::Suspend => self.suspended = !self.suspended,
            Op::Withdraw(target) => self.withdraw(target),
            Op::Restart(target) => self.restart(target),
            Op::ChangeOwner => self.change_owner(),
        }
    }

    /// Checks that no target has more requests on their way or running than slots.
    pub(crate) fn check(&self) -> Result<(), TestCaseError> {
        for (target, slots) in &self.targets {
            let busy = self
                .requests
                .iter()
                .filter(|request| request.target == target.id && request.stage != Stage::Finished);
            let busy = busy.count();
            prop_assert!(
                busy <= usize::from(*slots),
                "{busy} of {slots}\n{}",
                self.ledger
            );
            let committed = self.ledger.committed(target.id);
            prop_assert!(
                committed <= u32::from(*slots),
                "{committed} given\n{}",
                self.ledger
            );
        }
        Ok(())
    }

    /// Lets everything end and everyone talk without faults for a while.
    pub(crate) fn heal(&mut self) {
        self.suspended = false;
        for (target, slots) in &self.targets {
            self.ledger
                .add(self.service.clone(), *target, self.epoch, *slots);
            self.ledger.offer(target.id);
        }
        for _ in 0..120 {
            self.advance(200);
            self.requests
                .iter_mut()
                .for_each(|request| request.stage = Stage::Finished);
            self.requests.retain(|request| request.waiting.is_some());
            while !self.requests.is_empty() {
                self.end(0, Stage::Finished, End::Answered);
            }
            for gate in 0..RATES.len() {
                self.sync(gate);
            }
            self.statements.clear();
            self.replies.clear();
            self.inventories.clear();
            for index in 0..self.targets.len() {
                self.inspect(u8::try_from(index).unwrap_or(0));
            }
        }
    }

    fn clock(&self, gate: usize) -> Timestamp {
        let skew = u64::try_from(gate).unwrap_or(0) * 1_000_000_000;
        Timestamp::from_micros(self.now.as_micros() / 1_000 * RATES[gate] + skew)
    }

    fn fresh_gate(&self, gate: usize) -> Balance {
        let id = NodeId(u32::try_from(gate).unwrap_or(0));
        let mut balance = Balance::new(id, Incarnation(self.lives[gate]), self.lives[gate]);
        balance.expect(&self.service);
        balance
    }

    /// Moves the time; what was sent long enough ago has arrived.
    fn advance(&mut self, millis: u16) {
        self.now = self.now + Duration::from_millis(millis.into());
        let arrived = self.now.saturating_sub(self.terms.settle);
        for request in &mut self.requests {
            if request.stage == Stage::Sent && request.sent_at <= arrived {
                request.stage = Stage::Running;
            }
        }
        self.ledger.tick(self.now);
    }

    /// A statement and its reply go through at once.
    fn sync(&mut self, gate: usize) {
        self.state(gate);
        self.deliver_statement(last(&self.statements), false);
        self.deliver_reply(last(&self.replies), false);
    }

    /// An inventory comes back at once.
    fn inspect(&mut self, target: u8) {
        self.ask(target);
        self.look(last(&self.inventories));
        self.learn(last(&self.inventories));
    }

    fn state(&mut self, gate: usize) {
        let now = self.clock(gate);
        let statement = self.gates[gate].state(owner(self.epoch), false, now);
        self.statements.push((self.epoch, gate, statement));
    }

    fn deliver_statement(&mut self, index: u8, keep: bool) {
        let Some((epoch, gate, statement)) = pick(&mut self.statements, index) else {
            return;
        };
        if epoch != self.epoch {
            return;
        }
        let owned = !self.suspended;
        if let Ok(reply) = self.ledger.sync(&statement, &|_| owned, self.now) {
            let life = statement.incarnation;
            self.replies.push((owner(epoch), gate, life, reply));
        }
        if keep {
            self.statements.push((epoch, gate, statement));
        }
    }

    fn deliver_reply(&mut self, index: u8, keep: bool) {
        let Some((owner, gate, life, reply)) = pick(&mut self.replies, index) else {
            return;
        };
        if life.0 == self.lives[gate] {
            let now = self.clock(gate);
            self.gates[gate].apply(owner, &reply, now);
        }
        if keep {
            self.replies.push((owner, gate, life, reply));
        }
    }

    fn take(&mut self, gate: usize) {
        let now = self.clock(gate);
        let service = self.service.clone();
        let Ok(ticket) = self.gates[gate].take(&service, now) else {
            return;
        };
        self.taken += 1;
        self.requests.push(Request {
            target: ticket.target.id,
            stage: Stage::Sent,
            sent_at: self.now,
            waiting: Some((gate, Incarnation(self.lives[gate]), ticket)),
        });
    }

    fn step(&mut self, index: u8, from: Stage, to: Stage) {
        let mut staged: Vec<_> = self
            .requests
            .iter_mut()
            .filter(|r| r.stage == from)
            .collect();
        if let Some(index) = position(index, staged.len()) {
            staged[index].stage = to;
        }
        self.requests
            .retain(|request| request.stage != Stage::Finished || request.waiting.is_some());
    }

    /// The gate hears the answer of a request, or gives up on one that still runs.
    fn end(&mut self, index: u8, stage: Stage, end: End) {
        let mut staged: Vec<_> = self
            .requests
            .iter_mut()
            .filter(|request| request.stage == stage && request.waiting.is_some())
            .collect();
        let Some(index) = position(index, staged.len()) else {
            return;
        };
        let Some((gate, life, ticket)) = staged[index].waiting.take() else {
            return;
        };
        if life.0 == self.lives[gate] {
            let now = self.clock(gate);
            self.gates[gate].put_back(ticket, end, now);
        }
        self.requests
            .retain(|request| request.stage != Stage::Finished || request.waiting.is_some());
    }

    fn die(&mut self, gate: usize) {
        self.lives[gate] += 1;
        self.gates[gate] = self.fresh_gate(gate);
    }

    fn ask(&mut self, target: u8) {
        let (target, _) = self.targets[at(target, self.targets.len())];
        self.inventories.push(Inventory {
            epoch: self.epoch,
            target: target.id,
            asked_at: self.now,
            busy: None,
        });
    }

    /// The worker answers with what runs at this moment.
    fn look(&mut self, index: u8) {
        let Some(index) = position(index, self.inventories.len()) else {
            return;
        };
        let target = self.inventories[index].target;
        let running = self
            .requests
            .iter()
            .filter(|request| request.target == target && request.stage == Stage::Running);
        self.inventories[index].busy = u16::try_from(running.count()).ok();
    }

    fn learn(&mut self, index: u8) {
        let Some(inventory) = pick(&mut self.inventories, index) else {
            return;
        };
        if let (Some(busy), true) = (inventory.busy, inventory.epoch == self.epoch) {
            self.ledger
                .inventory(inventory.target, busy, inventory.asked_at);
        }
    }

    fn withdraw(&mut self, target: u8) {
        let (target, _) = self.targets[at(target, self.targets.len())];
        self.ledger.withdraw(target.id);
    }

    fn offer(&mut self, target: u8) {
        let (target, _) = self.targets[at(target, self.targets.len())];
        self.ledger.offer(target.id);
    }

    /// The worker is taken for gone, and then shows up again with the target still running.
    fn end_target(&mut self, target: u8) {
        let (target, slots) = self.targets[at(target, self.targets.len())];
        self.ledger.end(target.id, self.now);
        if !self.now.as_millis().is_multiple_of(3) {
            self.ledger
                .add(self.service.clone(), target, self.epoch, slots);
        }
    }

    /// The worker of a target restarts: what ran there is gone, and a new target takes its place.
    fn restart(&mut self, target: u8) {
        let index = at(target, self.targets.len());
        let (old, slots) = self.targets[index];
        let new = make_target(index, old.id.attempt.next().0);
        for request in self
            .requests
            .iter_mut()
            .filter(|request| request.target == old.id)
        {
            request.stage = Stage::Finished;
        }
        self.targets[index] = (new, slots);
        self.ledger.end(old.id, self.now);
        self.ledger
            .add(self.service.clone(), new, self.epoch, slots);
    }

    /// Another node takes the targets over; statements to the former owner go astray.
    fn change_owner(&mut self) {
        self.suspended = false;
        self.epoch = Epoch(self.epoch.0 + 1);
        self.ledger = Ledger::new(self.terms);
        for (target, slots) in &self.targets {
            let service = self.service.clone();
            self.ledger
                .adopt(service, *target, self.epoch, *slots, self.now);
        }
    }
}

fn make_target(index: usize, attempt: u32) -> Target {
    let index = u32::try_from(index).unwrap_or(0);
    let task = TaskId::new(JobId::from_u128(7), index);
    let attempt = Attempt(attempt);
    Target {
        id: Id { task, attempt },
        address: ([127, 0, 0, 1], 9_000).into(),
    }
}

/// Owners alternate between two nodes.
fn owner(epoch: Epoch) -> NodeId {
    NodeId(100 + u32::from(!epoch.0.is_multiple_of(2)))
}

/// Returns the index of the newest entry.
fn last<T>(entries: &[T]) -> u8 {
    u8::try_from(entries.len().saturating_sub(1)).unwrap_or(u8::MAX)
}

fn at(index: u8, len: usize) -> usize {
    usize::from(index) % len
}

fn position(index: u8, len: usize) -> Option<usize> {
    (len > 0).then(|| at(index, len))
}

fn pick<T>(from: &mut Vec<T>, index: u8) -> Option<T> {
    let index = position(index, from.len())?;
    Some(from.remove(index))
}
