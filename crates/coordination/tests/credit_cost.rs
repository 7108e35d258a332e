//! What credits cost beside a round trip for each placement, counted in virtual time.

use std::collections::VecDeque;

use fulmarpier_coordination::{
    credit::{
        Balance,
        End,
        Ledger,
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
    name::Service,
};
use rstest::rstest;

const GATES: u32 = 7;
const OWNERS: u32 = 7;
const TARGETS: u32 = 50;
const SLOTS: u16 = 8;
const RATE: u64 = 5_000;
const INTERVAL: u64 = 500;
/// A gate that is short asks again after this many milliseconds.
const SHORT: u64 = 20;
const SPAN: u64 = 20_000;

/// The bytes of a call and its answer, of a hold and of a grant on the wire, as measured in
/// `docs/design/12-transport.md`.
const CALL: u64 = 240 + 240;
const HOLD: u64 = 56;
const GRANT: u64 = 136;

#[derive(Debug, Default)]
struct Cost {
    requests: u64,
    calls: u64,
    bytes: u64,
    /// Requests that had to wait for a slot, each counted once.
    waited: u64,
    /// Slots that came or went, over all gates.
    moved: u64,
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn target(index: u32) -> Target {
    let task = TaskId::new(JobId::from_u128(1), index);
    let attempt = Attempt(1);
    Target {
        id: Id { task, attempt },
        address: ([127, 0, 0, 1], 9_000).into(),
    }
}

struct Cell {
    service: Service,
    ledgers: Vec<Ledger>,
    gates: Vec<Balance>,
    running: VecDeque<(u64, usize, Ticket)>,
    waiting: Vec<u32>,
    asked: Vec<u64>,
    cost: Cost,
}

impl Cell {
    fn new() -> Self {
        let service: Service = "desk".parse().expect("the name is accepted");
        let mut ledgers: Vec<Ledger> = (0..OWNERS).map(|_| Ledger::new(Terms::default())).collect();
        for index in 0..TARGETS {
            let ledger = &mut ledgers[(index % OWNERS) as usize];
            ledger.add(service.clone(), target(index), Epoch(1), SLOTS);
        }
        let gate = |id: u32| {
            let mut gate = Balance::new(NodeId(id), Incarnation(1), id.into());
            gate.expect(&service);
            gate
        };
        Self {
            gates: (0..GATES).map(gate).collect(),
            service,
            ledgers,
            running: VecDeque::new(),
            waiting: vec![0; GATES as usize],
            asked: vec![0; GATES as usize],
            cost: Cost::default(),
        }
    }

    fn sync(&mut self, gate: usize, now: u64) {
        let before = self.gates[gate].usage(&self.service, at(now)).0;
        for (owner, ledger) in self.ledgers.iter_mut().enumerate() {
            let id = NodeId(100 + u32::try_from(owner).expect("a small number"));
            let statement = self.gates[gate].state(id, false, at(now));
            let reply = ledger
                .sync(&statement, &|_| true, at(now))
                .expect("the statement is in order");
            self.gates[gate].apply(id, &reply, at(now));
            self.cost.calls += 1;
            self.cost.bytes += CALL;
            self.cost.bytes += HOLD * statement.holds.len() as u64;
            self.cost.bytes += GRANT * reply.grants.len() as u64;
        }
        let after = self.gates[gate].usage(&self.service, at(now)).0;
        self.cost.moved += u64::from(before.abs_diff(after));
        self.asked[gate] = now;
    }

    /// Starts what waits at a gate; a request runs for 10 to 30 ms, by its number.
    fn start(&mut self, gate: usize, now: u64) {
        while self.waiting[gate] > 0 {
            let Ok(ticket) = self.gates[gate].take(&self.service, at(now)) else {
                break;
            };
            self.waiting[gate] -= 1;
            let takes = 10 + self.cost.requests * 7 % 21;
            self.running.push_back((now + takes, gate, ticket));
        }
        self.gates[gate].wait(&self.service.clone(), self.waiting[gate]);
    }

    fn end_due(&mut self, now: u64) {
        for _ in 0..self.running.len() {
            let Some((due, gate, ticket)) = self.running.pop_front() else {
                return;
            };
            if due > now {
                self.running.push_back((due, gate, ticket));
            } else {
                self.gates[gate].put_back(ticket, End::Answered, at(now));
            }
        }
    }

    /// Runs until the end; `share` says which part of the load goes to the first gate.
    fn run(mut self, share: impl Fn(u64) -> u64) -> Cost {
        for now in 0..SPAN {
            self.end_due(now);
            for request in 0..RATE / 1_000 {
                let number = now * (RATE / 1_000) + request;
                let gate = usize::try_from(share(number)).expect("a small number");
                self.waiting[gate] += 1;
                self.cost.requests += 1;
                self.start(gate, now);
                self.cost.waited += u64::from(self.waiting[gate] > 0);
            }
            for gate in 0..self.gates.len() {
                self.start(gate, now);
                let due = now % INTERVAL == gate as u64 * INTERVAL / u64::from(GATES);
                let short = self.waiting[gate] > 0 && self.asked[gate] + SHORT <= now;
                if due || short {
                    self.sync(gate, now);
                    self.start(gate, now);
                }
            }
        }
        self.cost
    }
}

#[rstest]
#[case::even(|number| number % u64::from(GATES), 22, 24)]
#[case::half_to_one_gate(|number| match number % 2 { 0 => 0, _ => 1 + number / 2 % 6 }, 22, 24)]
fn credits_cost_a_small_part_of_a_round_trip_each(
    #[case] share: fn(u64) -> u64,
    #[case] most_calls: u64,
    #[case] most_bytes: u64,
) {
    let cost = Cell::new().run(share);
    let round_trip = CALL + GRANT;
    let calls = cost.calls * 1_000 / cost.requests;
    let bytes = cost.bytes / cost.requests;
    println!("{cost:?}: {calls} calls for 1,000 requests, {bytes} bytes each beside {round_trip}");
    assert!(calls <= most_calls, "{calls} calls for 1,000 requests");
    assert!(bytes <= most_bytes, "{bytes} bytes for each request");
    assert!(cost.waited * 100 <= cost.requests, "{} waited", cost.waited);
}
