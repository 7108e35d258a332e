//! Who gets which slots, and when they come back.

use std::time::Duration;

use fulmarpier_coordination::{
    credit::{
        Balance,
        End,
        Ignored,
        Ledger,
        Short,
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

const OWNER: NodeId = NodeId(100);
const SUCCESSOR: NodeId = NodeId(101);
const SLOTS: u16 = 8;

fn service() -> Service {
    "desk".parse().expect("the name is accepted")
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

fn ledger(targets: u32) -> Ledger {
    let mut ledger = Ledger::new(Terms::default());
    for index in 0..targets {
        ledger.add(service(), target(index), Epoch(1), SLOTS);
    }
    ledger
}

fn gate(id: u32) -> Balance {
    let mut gate = Balance::new(NodeId(id), Incarnation(1), id.into());
    gate.expect(&service());
    gate
}

fn sync(ledger: &mut Ledger, owner: NodeId, gate: &mut Balance, now: Timestamp) {
    let statement = gate.state(owner, false, now);
    let reply = ledger
        .sync(&statement, &|_| true, now)
        .expect("the statement is in order");
    assert!(gate.apply(owner, &reply, now));
}

/// Takes as many slots as there are.
fn take_all(gate: &mut Balance, now: Timestamp) -> Vec<Ticket> {
    std::iter::from_fn(|| gate.take(&service(), now).ok()).collect()
}

fn held(gate: &Balance, now: Timestamp) -> u32 {
    gate.usage(&service(), now).0
}

#[test]
fn slots_move_with_demand_and_stay_put_without() {
    let mut ledger = ledger(10);
    let (mut busy, mut calm) = (gate(1), gate(2));
    busy.wait(&service(), 500);
    calm.wait(&service(), 10);
    for round in 0..5 {
        sync(&mut ledger, OWNER, &mut busy, at(round * 200));
        sync(&mut ledger, OWNER, &mut calm, at(round * 200 + 100));
    }
    let now = at(1_000);
    assert_eq!((held(&busy, now), held(&calm, now)), (65, 15));
    let before = ledger.to_string();
    sync(&mut ledger, OWNER, &mut busy, now);
    sync(&mut ledger, OWNER, &mut calm, now);
    assert_eq!(
        ledger.to_string(),
        before,
        "nothing moves while demand stays"
    );

    busy.wait(&service(), 0);
    calm.wait(&service(), 500);
    for round in 0..80 {
        sync(&mut ledger, OWNER, &mut busy, at(2_000 + round * 200));
        sync(&mut ledger, OWNER, &mut calm, at(2_100 + round * 200));
    }
    let now = at(18_000);
    assert!(held(&calm, now) >= 70, "{} of 80", held(&calm, now));
    assert!(held(&busy, now) >= 2, "a few stay for a first request");
}

#[test]
fn gates_under_the_same_load_get_the_same() {
    let mut ledger = ledger(50);
    let mut gates: Vec<Balance> = (0..7).map(gate).collect();
    for round in 0..10 {
        for gate in &mut gates {
            gate.wait(&service(), 200);
            sync(&mut ledger, OWNER, gate, at(round * 200));
        }
    }
    let shares: Vec<u32> = gates.iter().map(|gate| held(gate, at(2_000))).collect();
    assert_eq!(
        shares.iter().sum::<u32>(),
        400,
        "all slots are out: {shares:?}"
    );
    assert!(
        shares.iter().all(|share| (57..=58).contains(share)),
        "{shares:?}"
    );
}

#[test]
fn a_gate_stops_before_its_owner_counts_the_slots_as_lapsed() {
    let mut ledger = ledger(1);
    let mut gate = gate(1);
    gate.wait(&service(), 8);
    let statement = gate.state(OWNER, false, at(0));
    let reply = ledger
        .sync(&statement, &|_| true, at(700))
        .expect("the statement is in order");
    assert!(gate.apply(OWNER, &reply, at(1_000)));
    let lease = Terms::default().lease;
    assert!(gate.take(&service(), at(0) + lease).is_err());
    ledger.tick(at(700) + lease);
    assert_eq!(ledger.doubtful(target(0).id), 0);
    ledger.tick(at(700) + Terms::default().owner_lease());
    assert_eq!(ledger.doubtful(target(0).id), SLOTS);
}

#[test]
fn a_dead_gates_slots_come_back_only_on_the_targets_evidence() {
    let mut ledger = ledger(1);
    let (mut dead, mut other) = (gate(1), gate(2));
    dead.wait(&service(), 8);
    sync(&mut ledger, OWNER, &mut dead, at(0));
    assert_eq!(take_all(&mut dead, at(0)).len(), usize::from(SLOTS));
    let id = target(0).id;
    ledger.inventory(id, 0, at(1_000));
    other.wait(&service(), 8);
    sync(&mut ledger, OWNER, &mut other, at(2_200));
    assert_eq!((ledger.doubtful(id), held(&other, at(2_200))), (8, 0));
    ledger.inventory(id, 0, at(2_300));
    assert_eq!(ledger.doubtful(id), 8, "a request may still be on its way");
    ledger.inventory(id, 3, at(2_700));
    sync(&mut ledger, OWNER, &mut other, at(2_800));
    assert_eq!((ledger.doubtful(id), held(&other, at(2_800))), (3, 5));
}

/// Found by the random histories: a gate whose idle slots an inventory had freed stated them again,
/// and got those that another gate's requests were still running in.
#[test]
fn slots_that_an_inventory_freed_are_not_claimed_again() {
    let mut ledger = ledger(1);
    let (mut idle, mut busy) = (gate(1), gate(2));
    idle.wait(&service(), 4);
    sync(&mut ledger, OWNER, &mut idle, at(0));
    ledger.tick(at(2_200));
    ledger.inventory(target(0).id, 0, at(2_700));
    busy.wait(&service(), 8);
    sync(&mut ledger, OWNER, &mut busy, at(2_800));
    assert_eq!(take_all(&mut busy, at(2_800)).len(), usize::from(SLOTS));
    sync(&mut ledger, OWNER, &mut idle, at(5_000));
    assert_eq!(held(&idle, at(5_000)), 0);
    assert_eq!(ledger.doubtful(target(0).id), SLOTS);
    sync(&mut ledger, OWNER, &mut busy, at(5_100));
    assert_eq!(
        ledger.doubtful(target(0).id),
        0,
        "they are the busy gate's to account for"
    );
}

/// A gate that was cut off while its slots went to another may not claim them from a successor.
#[test]
fn what_had_lapsed_before_the_successor_was_known_is_not_claimed() {
    let mut first = ledger(1);
    let (mut stale, mut busy) = (gate(1), gate(2));
    stale.wait(&service(), 4);
    sync(&mut first, OWNER, &mut stale, at(0));
    first.tick(at(2_200));
    first.inventory(target(0).id, 0, at(2_700));
    busy.wait(&service(), 8);
    sync(&mut first, OWNER, &mut busy, at(2_800));
    assert_eq!(held(&busy, at(2_800)), u32::from(SLOTS));

    let mut second = Ledger::new(Terms::default());
    second.adopt(service(), target(0), Epoch(2), SLOTS, at(3_000));
    for now in [3_000, 3_100, 3_200].map(at) {
        sync(&mut second, SUCCESSOR, &mut stale, now);
    }
    assert_eq!(held(&stale, at(3_200)), 0);
    assert_eq!(take_all(&mut busy, at(3_200)).len(), usize::from(SLOTS));
    sync(&mut second, SUCCESSOR, &mut busy, at(3_300));
    sync(&mut second, SUCCESSOR, &mut busy, at(3_400));
    assert_eq!(
        second.held(target(0).id),
        SLOTS,
        "the busy gate's are accounted for"
    );
}

/// Found by the random histories: a gate forgot a target that it held nothing of any more, and then
/// took a former owner's late reply for a new grant.
#[test]
fn a_late_reply_of_a_former_owner_is_void() {
    let mut first = ledger(1);
    let mut gate = gate(1);
    gate.wait(&service(), 8);
    sync(&mut first, OWNER, &mut gate, at(0));
    let statement = gate.state(OWNER, false, at(1_500));
    let late = first.sync(&statement, &|_| true, at(1_500));
    let late = late.expect("the statement is in order");
    assert_eq!(take_all(&mut gate, at(1_900)).len(), usize::from(SLOTS));

    let mut second = Ledger::new(Terms::default());
    second.adopt(service(), target(0), Epoch(2), SLOTS, at(2_000));
    sync(&mut second, SUCCESSOR, &mut gate, at(2_000));
    let _lost = gate.state(SUCCESSOR, false, at(2_100));
    assert!(gate.apply(OWNER, &late, at(2_200)));
    assert!(gate.take(&service(), at(2_200)).is_err());
}

/// Found by the random histories: a node that owns a target for the second time took a statement
/// about its first time for a claim.
#[test]
fn a_statement_about_an_earlier_epoch_of_the_same_node_claims_nothing() {
    let mut first = ledger(1);
    let mut gate = gate(1);
    gate.wait(&service(), 4);
    sync(&mut first, OWNER, &mut gate, at(0));
    let tickets = take_all(&mut gate, at(0));
    let mut again = Ledger::new(Terms::default());
    again.adopt(service(), target(0), Epoch(3), SLOTS, at(2_000));
    sync(&mut again, OWNER, &mut gate, at(2_000));
    assert_eq!(
        (held(&gate, at(2_000)), again.doubtful(target(0).id)),
        (0, SLOTS)
    );
    for ticket in tickets {
        gate.put_back(ticket, End::Answered, at(2_100));
    }
    again.inventory(target(0).id, 0, at(4_600));
    sync(&mut again, OWNER, &mut gate, at(4_700));
    assert!(held(&gate, at(4_700)) > 0);
}

#[test]
fn a_target_whose_slots_stay_in_doubt_is_emptied_to_settle_them() {
    let mut ledger = ledger(1);
    let (mut dead, mut other) = (gate(1), gate(2));
    dead.wait(&service(), 4);
    sync(&mut ledger, OWNER, &mut dead, at(0));
    other.wait(&service(), 8);
    sync(&mut ledger, OWNER, &mut other, at(2_200));
    let id = target(0).id;
    let doubt = ledger.doubtful(id);
    for round in 0..60 {
        let now = at(2_300 + round * 200);
        sync(&mut ledger, OWNER, &mut other, now);
        // What the live gate holds is always busy, so that busy slots alone settle nothing.
        let busy = u16::try_from(held(&other, now)).expect("a small number");
        ledger.inventory(id, busy, now);
    }
    assert!(doubt > 0);
    assert_eq!((ledger.doubtful(id), held(&other, at(14_200))), (0, 8));
}

#[test]
fn a_successor_goes_on_with_what_gates_state_and_doubts_the_rest() {
    let mut first = ledger(2);
    let (mut one, mut two) = (gate(1), gate(2));
    one.wait(&service(), 5);
    two.wait(&service(), 3);
    sync(&mut first, OWNER, &mut one, at(0));
    sync(&mut first, OWNER, &mut two, at(0));
    let had = held(&one, at(500));

    let mut second = Ledger::new(Terms::default());
    for index in 0..2 {
        second.adopt(service(), target(index), Epoch(2), SLOTS, at(500));
    }
    sync(&mut second, SUCCESSOR, &mut one, at(500));
    assert_eq!(
        held(&one, at(500)),
        had,
        "the announcement takes nothing away"
    );
    sync(&mut second, SUCCESSOR, &mut one, at(600));
    assert_eq!(
        held(&one, at(2_300)),
        had,
        "renewed past the first owner's lease"
    );
    let doubt: u32 = (0..2)
        .map(|index| u32::from(second.doubtful(target(index).id)))
        .sum();
    assert_eq!(doubt, 16 - had);

    let settled = at(500) + Duration::from_millis(2_600);
    for index in 0..2 {
        second.inventory(target(index).id, 0, settled);
    }
    sync(&mut second, SUCCESSOR, &mut two, settled);
    assert!(held(&two, settled) >= 3);
}

#[test]
fn a_leaving_target_is_withdrawn_with_the_next_reply() {
    let mut ledger = ledger(2);
    let mut gate = gate(1);
    gate.wait(&service(), 16);
    sync(&mut ledger, OWNER, &mut gate, at(0));
    ledger.withdraw(target(0).id);
    sync(&mut ledger, OWNER, &mut gate, at(200));
    let tickets = take_all(&mut gate, at(200));
    assert!(tickets.iter().all(|ticket| ticket.target == target(1)));
    assert!(!tickets.is_empty());
}

#[test]
fn a_leaving_target_gets_nothing_after_the_lease_when_its_owner_is_cut_off() {
    let mut ledger = ledger(1);
    let mut gate = gate(1);
    sync(&mut ledger, OWNER, &mut gate, at(0));
    ledger.withdraw(target(0).id);
    assert_eq!(gate.take(&service(), at(2_000)), Err(Short::Full));
}

#[test]
fn an_ended_target_is_withdrawn_and_a_lost_one_is_left_to_its_next_owner() {
    let mut ledger = ledger(2);
    let mut gate = gate(1);
    gate.wait(&service(), 16);
    sync(&mut ledger, OWNER, &mut gate, at(0));
    ledger.end(target(0).id, at(100));
    ledger.forget(target(1).id);
    sync(&mut ledger, OWNER, &mut gate, at(200));
    let tickets = take_all(&mut gate, at(200));
    assert_eq!(tickets.len(), usize::from(SLOTS));
    assert!(tickets.iter().all(|ticket| ticket.target == target(1)));
    assert!(
        take_all(&mut gate, at(2_000)).is_empty(),
        "it was not renewed"
    );
}

#[test]
fn an_owner_that_may_not_act_renews_nothing() {
    let mut ledger = ledger(1);
    let mut gate = gate(1);
    sync(&mut ledger, OWNER, &mut gate, at(0));
    let statement = gate.state(OWNER, false, at(1_000));
    let reply = ledger.sync(&statement, &|_| false, at(1_000));
    let reply = reply.expect("the statement is in order");
    assert!(gate.apply(OWNER, &reply, at(1_000)));
    assert!(held(&gate, at(1_999)) > 0, "what was granted lasts");
    assert_eq!(held(&gate, at(2_000)), 0);
}

#[test]
fn a_target_is_offered_again_after_a_drain_is_taken_back() {
    let mut ledger = ledger(1);
    let mut gate = gate(1);
    ledger.withdraw(target(0).id);
    sync(&mut ledger, OWNER, &mut gate, at(0));
    assert_eq!(held(&gate, at(0)), 0);
    ledger.offer(target(0).id);
    sync(&mut ledger, OWNER, &mut gate, at(200));
    assert!(held(&gate, at(200)) > 0);
}

#[test]
fn statements_out_of_order_and_of_former_lives_are_ignored() {
    let mut ledger = ledger(1);
    let mut gate = gate(1);
    let (first, second) = (
        gate.state(OWNER, false, at(0)),
        gate.state(OWNER, false, at(1)),
    );
    assert!(ledger.sync(&second, &|_| true, at(2)).is_ok());
    let late = Ignored::Late { found: 1, last: 2 };
    assert_eq!(ledger.sync(&first, &|_| true, at(3)), Err(late));
    assert_eq!(
        ledger.sync(&second, &|_| true, at(3)),
        Err(Ignored::Late { found: 2, last: 2 })
    );
    let mut reborn = Balance::new(NodeId(1), Incarnation(2), 1);
    assert!(
        ledger
            .sync(&reborn.state(OWNER, false, at(4)), &|_| true, at(4))
            .is_ok()
    );
    let third = gate.state(OWNER, false, at(5));
    assert!(matches!(
        ledger.sync(&third, &|_| true, at(5)),
        Err(Ignored::Ended { .. })
    ));
}

#[test]
fn a_failing_target_is_avoided_while_others_are_there() {
    let mut ledger = ledger(2);
    let mut gate = gate(1);
    gate.wait(&service(), 16);
    sync(&mut ledger, OWNER, &mut gate, at(0));
    let ticket = gate.take(&service(), at(0)).expect("slots are held");
    let failed = ticket.target;
    gate.put_back(ticket, End::Refused, at(0));
    let tickets = take_all(&mut gate, at(100));
    assert_eq!(tickets.len(), usize::from(SLOTS));
    assert!(tickets.iter().all(|ticket| ticket.target != failed));
    for ticket in tickets {
        gate.put_back(ticket, End::Refused, at(100));
    }
    assert!(
        gate.take(&service(), at(100)).is_ok(),
        "where all fail, one is tried"
    );
    let after = take_all(&mut gate, at(1_600));
    assert!(
        after.iter().any(|ticket| ticket.target == failed),
        "the penalty ends"
    );
}

#[test]
fn requests_spread_over_the_targets() {
    let mut ledger = ledger(10);
    let mut gate = gate(1);
    gate.wait(&service(), 80);
    sync(&mut ledger, OWNER, &mut gate, at(0));
    let mut counts = [0_u32; 10];
    for _ in 0..40 {
        let ticket = gate.take(&service(), at(0)).expect("slots are held");
        counts[ticket.target.id.task.index as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (2..=6).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_slot_whose_request_is_unknown_is_given_up_into_doubt() {
    let mut ledger = ledger(1);
    let mut gate = gate(1);
    gate.wait(&service(), 8);
    sync(&mut ledger, OWNER, &mut gate, at(0));
    let ticket = gate.take(&service(), at(0)).expect("slots are held");
    gate.put_back(ticket, End::Unknown, at(0));
    assert_eq!(take_all(&mut gate, at(0)).len(), usize::from(SLOTS) - 1);
    let statement = gate.state(OWNER, false, at(100));
    assert!(
        ledger.sync(&statement, &|_| true, at(100)).is_ok(),
        "this reply is lost"
    );
    sync(&mut ledger, OWNER, &mut gate, at(200));
    assert_eq!(ledger.doubtful(target(0).id), 1, "told twice, counted once");
}
