//! The fold of the claims stream.

use fulmarpier_coordination::claim::{
    DecodeError,
    Holder,
    Holding,
    Outcome,
    Owner,
    Record,
    Register,
    Standing, //
};
use fulmarpier_state::id::{
    Epoch,
    Incarnation,
    NodeId,
    Offset,
    ShardId, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};
use rstest::rstest;

const SHARD: ShardId = ShardId(100);

fn holder(node: u32) -> Holder {
    Holder {
        node: NodeId(node),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 7_000).into(),
    }
}

fn claim(node: u32, base: u64) -> Record {
    claim_of(node, SHARD, base)
}

fn claim_of(node: u32, shard: ShardId, base: u64) -> Record {
    Record::Claim {
        holder: holder(node),
        sequence: 1,
        shard,
        base: Offset(base),
    }
}

fn renew(node: u32, base: u64, holdings: Vec<Holding>) -> Record {
    Record::Renew {
        holder: holder(node),
        sequence: 1,
        standing: Standing::Staying,
        base: Offset(base),
        holdings,
    }
}

fn holding(epoch: u64) -> Holding {
    Holding {
        shard: SHARD,
        epoch: Epoch(epoch),
    }
}

fn release(node: u32, epoch: u64, to: Option<u32>) -> Record {
    Record::Release {
        holder: holder(node),
        holding: holding(epoch),
        to: to.map(NodeId),
    }
}

fn fold(register: &mut Register, records: &[Record]) -> Vec<Outcome> {
    let first = register.next();
    let offsets = (first.get()..).map(Offset);
    let folded = offsets.zip(records);
    folded
        .map(|(offset, record)| register.fold(offset, record))
        .collect()
}

fn owner(register: &Register) -> Option<(u32, u64)> {
    let owner = register.owner(SHARD)?;
    Some((owner.holder.node.0, owner.epoch.0))
}

#[test]
fn of_two_claims_at_once_the_one_in_front_wins() {
    let mut register = Register::whole();
    let outcomes = fold(&mut register, &[claim(1, 0), claim(2, 0)]);
    assert!(matches!(outcomes[0], Outcome::Won { previous: None, .. }));
    assert_eq!(outcomes[1], Outcome::Lost { shard: SHARD });
    assert_eq!(owner(&register), Some((1, 0)));
}

#[rstest]
#[case::the_owner_renewed(renew(1, 1, vec![holding(0)]), Some((1, 0)))]
#[case::another_shard_was_renewed(renew(1, 1, vec![]), Some((2, 2)))]
#[case::the_claimant_renewed(renew(2, 1, vec![]), Some((2, 2)))]
#[case::the_owner_released(release(1, 0, None), Some((2, 2)))]
fn a_claim_wins_unless_the_shard_was_renewed_since_its_base(
    #[case] between: Record,
    #[case] expected: Option<(u32, u64)>,
) {
    let mut register = Register::whole();
    fold(&mut register, &[claim(1, 0), between, claim(2, 1)]);
    assert_eq!(owner(&register), expected);
}

#[test]
fn an_owner_may_claim_again_for_a_higher_epoch() {
    let mut register = Register::whole();
    let records = [claim(1, 0), renew(1, 1, vec![holding(0)]), claim(1, 1)];
    fold(&mut register, &records);
    assert_eq!(owner(&register), Some((1, 2)));
}

#[test]
fn a_release_by_a_former_owner_does_nothing() {
    let mut register = Register::whole();
    let outcomes = fold(
        &mut register,
        &[claim(1, 0), claim(2, 1), release(1, 0, Some(3))],
    );
    assert_eq!(outcomes[2], Outcome::Ignored);
    assert_eq!(register.owner(SHARD).and_then(|owner| owner.released), None);
}

#[test]
fn a_record_folded_twice_counts_once() {
    let mut register = Register::whole();
    fold(&mut register, &[claim(1, 0), claim(2, 1)]);
    let before = register.clone();
    assert_eq!(register.fold(Offset(0), &claim(1, 0)), Outcome::Ignored);
    assert_eq!(register, before);
}

#[test]
fn a_reader_from_the_middle_learns_the_owner_from_its_first_full_renewal() {
    let mut register = Register::since(Offset(5));
    let stale = renew(1, 4, vec![holding(2)]);
    let full = renew(1, 6, vec![holding(2)]);
    fold(&mut register, &[stale]);
    assert_eq!(
        owner(&register),
        None,
        "a claim in front of offset 5 may have won since"
    );
    fold(&mut register, &[full]);
    assert_eq!(owner(&register), Some((1, 2)));
}

#[test]
fn a_reader_from_the_middle_leaves_a_claim_on_unseen_records_undecided() {
    let mut register = Register::since(Offset(5));
    let outcomes = fold(&mut register, &[claim(1, 4)]);
    assert_eq!(outcomes, [Outcome::Undecided { shard: SHARD }]);
    let holdings = vec![holding(5)];
    fold(&mut register, &[renew(1, 6, holdings)]);
    assert_eq!(owner(&register), Some((1, 5)));
}

#[rstest]
#[case::empty(&[], DecodeError::Empty)]
#[case::newer(&[9, 0], DecodeError::Version { found: 9 })]
#[case::cut(&[1, 0, 1], DecodeError::Malformed(postcard::Error::DeserializeUnexpectedEnd))]
fn bytes_that_are_no_record_are_refused(#[case] bytes: &[u8], #[case] expected: DecodeError) {
    assert_eq!(Record::decode(bytes), Err(expected));
}

#[rstest]
#[case(claim(1, 7))]
#[case(renew(2, 9, vec![holding(3)]))]
#[case(release(3, 4, Some(1)))]
fn a_record_reads_back_as_written(#[case] record: Record) {
    assert_eq!(Record::decode(&record.encode()), Ok(record));
}

/// What a node does next, having read the stream up to some records before its end.
#[derive(Clone, Debug)]
struct Step {
    node: u32,
    lag: usize,
    claims: Option<u16>,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (1..=3_u32, 0..4_usize, prop::option::of(100..103_u16));
    let step = step.prop_map(|(node, lag, claims)| Step { node, lag, claims });
    prop::collection::vec(step, 1..60)
}

/// Lists what `node` holds by its `view`.
fn held(view: &Register, node: u32) -> Vec<Holding> {
    let owned = view
        .owners()
        .filter(|(_, owner)| owner.holder.node.0 == node);
    let holding = |(shard, owner): (ShardId, Owner)| Holding {
        shard,
        epoch: owner.epoch,
    };
    owned.map(holding).collect()
}

/// Writes the stream of nodes that each act on an old view of it, and all views on the way.
fn stream(steps: &[Step]) -> (Vec<Record>, Vec<Register>) {
    let mut records = Vec::new();
    let mut views = vec![Register::whole()];
    for step in steps {
        let view = &views[views.len().saturating_sub(1 + step.lag)];
        let base = view.next().get();
        let record = match step.claims {
            Some(shard) => claim_of(step.node, ShardId(shard), base),
            None => renew(step.node, base, held(view, step.node)),
        };
        let mut next = views[views.len() - 1].clone();
        fold(&mut next, std::slice::from_ref(&record));
        records.push(record);
        views.push(next);
    }
    (records, views)
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), ..Config::with_cases(400) })]

    #[test]
    fn a_reader_from_any_offset_names_no_owner_that_a_whole_reader_does_not(
        steps in steps(),
        skipped in 0..60_usize,
    ) {
        let (records, views) = stream(&steps);
        let skipped = skipped.min(records.len());
        let mut late = Register::since(Offset(skipped as u64));
        for (at, record) in records.iter().enumerate().skip(skipped) {
            fold(&mut late, std::slice::from_ref(record));
            for (shard, owner) in late.owners() {
                let whole = views[at + 1].owner(shard);
                prop_assert_eq!(Some((owner.holder, owner.epoch)), whole.map(|o| (o.holder, o.epoch)));
            }
        }
    }

    #[test]
    fn the_epochs_of_a_shard_rise(steps in steps()) {
        let (_, views) = stream(&steps);
        for pair in views.windows(2) {
            for (shard, before) in pair[0].owners() {
                let after = pair[1].owner(shard).expect("an owner stays known");
                let same = after.epoch == before.epoch && after.holder == before.holder;
                prop_assert!(same || after.epoch > before.epoch);
            }
        }
    }
}
