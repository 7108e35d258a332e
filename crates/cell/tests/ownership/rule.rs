//! The parts of the rule, one by one.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_cell::{
    id::Epoch,
    ownership::{
        Ballot,
        Basis,
        Electorate,
        FENCING_TIMEOUT,
        FENCING_WINDOW,
        Fencing,
        LEASE_DURATION,
        Lease,
        MAX_REFUSAL_AGE,
        MAX_START_DELAY,
        MAX_VOTERS,
        RESTART_SILENCE,
        Response, //
    },
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const TICK: Duration = Duration::from_micros(1);

fn address(node: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + node))
}

fn addresses(nodes: impl IntoIterator<Item = u16>) -> Vec<SocketAddr> {
    nodes.into_iter().map(address).collect()
}

/// Returns the electorate of node 0 with these voters.
fn electorate(voters: impl IntoIterator<Item = u16>) -> Electorate {
    Electorate {
        epoch: Epoch(1),
        owner: address(0),
        voters: addresses(voters),
    }
}

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

#[rstest]
#[case(0, 1, 0)]
#[case(1, 1, 1)]
#[case(2, 1, 2)]
#[case(3, 2, 2)]
#[case(4, 2, 3)]
#[case(5, 3, 3)]
#[case(6, 3, 4)]
#[case(7, 4, 4)]
#[case(8, 4, 5)]
#[case(9, 5, 5)]
fn sizes(#[case] voters: u16, #[case] quorum: usize, #[case] blocking: usize) {
    let electorate = electorate(1..=voters);
    assert_eq!(electorate.quorum(), quorum);
    assert_eq!(electorate.blocking_size(), blocking);
}

/// Any voters that extend a lease and any that fence its owner have one in common, and no smaller sets would do.
#[rstest]
fn sets_overlap(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9)] voters: u16) {
    let electorate = electorate(1..=voters);
    let sets =
        |size: usize| (0..1_u32 << voters).filter(move |set| set.count_ones() as usize == size);
    let overlap = |quorum: usize, blocking: usize| {
        sets(quorum).all(|extending| sets(blocking).all(|fencing| extending & fencing != 0))
    };
    let (quorum, blocking) = (electorate.quorum(), electorate.blocking_size());
    assert!(overlap(quorum, blocking));
    assert!(!overlap(quorum - 1, blocking));
    assert!(!overlap(quorum, blocking - 1));
}

#[rstest]
fn an_electorate_is_bounded_and_without_its_owner() {
    let nodes = addresses((0..12).chain(0..12));
    let mut electorate = Electorate::new(Epoch(1), address(3), &nodes);
    assert_eq!(electorate.voters, addresses([0, 1, 2, 4, 5, 6, 7, 8]));
    assert_eq!(electorate.voters.len(), MAX_VOTERS);
    electorate
        .voters
        .retain(|voter| addresses([1, 8]).contains(voter));
    assert_eq!(electorate.voters, addresses([1, 8]));
    electorate.add_voters(&addresses([3, 8, 11]));
    assert_eq!(electorate.voters, addresses([1, 8, 11]));
}

#[rstest]
#[case::silent_after_its_start(0, Duration::ZERO, 1, false)]
#[case::silent_to_the_last(0, RESTART_SILENCE.saturating_sub(TICK), 1, false)]
#[case::nothing_known(0, RESTART_SILENCE, 1, true)]
#[case::this_epoch_known(4, RESTART_SILENCE, 4, true)]
#[case::a_later_one_known(4, RESTART_SILENCE, 3, false)]
#[case::an_earlier_one_known(4, RESTART_SILENCE, 5, true)]
fn ballots(
    #[case] highest: u32,
    #[case] age: Duration,
    #[case] epoch: u32,
    #[case] confirms: bool,
) {
    let mut ballot = Ballot::new(START);
    ballot.fence(Epoch(highest));
    ballot.fence(Epoch(highest.saturating_sub(2)));
    assert_eq!(ballot.highest(), Epoch(highest));
    assert_eq!(ballot.confirms(Epoch(epoch), START + age), confirms);
}

#[rstest]
#[case::an_earlier_owner(3, false)]
#[case::the_newest_owner(4, true)]
fn a_node_that_has_read_the_newest_claim_confirms_at_once(
    #[case] epoch: u32,
    #[case] confirms: bool,
) {
    let mut ballot = Ballot::new(START);
    ballot.recover(Epoch(4));
    assert_eq!(ballot.confirms(Epoch(epoch), START), confirms);
}

/// The silence outlasts the slowest fencing in which the node may have been told before its restart, and a lease
/// after it.
#[test]
fn the_silence_outlasts_a_fencing_and_a_lease() {
    let longest = FENCING_WINDOW + FENCING_TIMEOUT + LEASE_DURATION;
    assert!(RESTART_SILENCE > longest.mul_f64(1.04));
}

/// Each vote is of a voter that was asked so many milliseconds after the start.
#[rstest]
#[case::store_only(&[], &[], 1_200)]
#[case::no_voters(&[], &[(1, 500)], 1_200)]
#[case::one_of_one(&[1], &[(1, 500)], 1_700)]
#[case::one_of_two(&[1, 2], &[(2, 500)], 1_700)]
#[case::one_of_three(&[1, 2, 3], &[(2, 500)], 1_200)]
#[case::two_of_three(&[1, 2, 3], &[(2, 500), (3, 400)], 1_600)]
#[case::all_of_three(&[1, 2, 3], &[(2, 500), (3, 400), (1, 700)], 1_700)]
#[case::a_stranger(&[1, 2, 3], &[(2, 500), (9, 400)], 1_200)]
#[case::one_voter_twice(&[1, 2, 3], &[(2, 500), (2, 600)], 1_200)]
#[case::answers_out_of_order(&[1], &[(1, 600), (1, 500)], 1_800)]
fn votes_extend_a_lease(#[case] voters: &[u16], #[case] votes: &[(u16, u64)], #[case] expiry: u64) {
    let mut lease = Lease::new(electorate(voters.iter().copied()), Some(at(0)), at(10));
    for (voter, asked) in votes {
        lease.vote(address(*voter), at(*asked), at(800));
    }
    assert_eq!(lease.expires_at(), at(expiry));
    assert!(lease.clone().is_valid(at(expiry - 1)));
    assert!(!lease.clone().is_valid(at(expiry)));
    assert_eq!(lease.basis(at(expiry)), Basis::Expired);
}

#[test]
fn a_lease_rests_on_the_store_and_then_on_the_voters() {
    let mut lease = Lease::new(electorate([1, 2]), None, at(0));
    assert_eq!(lease.basis(at(0)), Basis::Unconfirmed);
    assert!(!lease.is_valid(at(0)));
    lease.confirm(at(100), at(200));
    assert_eq!(lease.basis(at(200)), Basis::Store);
    assert!(lease.is_valid(at(200)));
    lease.vote(address(1), at(1_000), at(1_100));
    assert_eq!(lease.basis(at(1_299)), Basis::Store);
    assert_eq!(lease.basis(at(1_300)), Basis::Voters);
    assert_eq!(
        lease.unconfirmed_for(at(1_300)),
        Duration::from_millis(1_200)
    );
    assert_eq!(lease.recent_votes(at(1_300)), 1);
}

/// Votes don't stand in for the store's first confirmation.
#[test]
fn votes_alone_make_no_lease_valid() {
    let mut lease = Lease::new(electorate([1]), None, at(0));
    lease.vote(address(1), at(100), at(200));
    assert!(!lease.is_valid(at(200)));
    assert!(!lease.has_expired(at(1_299)));
    assert!(lease.has_expired(START + MAX_START_DELAY));
}

#[rstest]
#[case::the_store(true)]
#[case::a_vote(false)]
fn nothing_revives_an_expired_lease(#[case] by_store: bool) {
    let mut lease = Lease::new(electorate([1]), Some(at(0)), at(0));
    // Both were asked for in time and answered too late.
    match by_store {
        true => lease.confirm(at(1_100), at(1_200)),
        false => lease.vote(address(1), at(1_100), at(1_200)),
    }
    assert!(!lease.is_valid(at(1_200)));
    assert!(lease.has_expired(at(1_200)));
}

/// While the outcome of a renewal is unknown, a quorum of each electorate is needed.
#[rstest]
#[case::the_former_one(&[(1, 500)], 1_200)]
#[case::the_new_one(&[(3, 500)], 1_200)]
#[case::both(&[(1, 500), (3, 400)], 1_600)]
#[case::a_common_voter(&[(2, 500)], 1_700)]
fn an_unknown_renewal_needs_two_quorums(#[case] votes: &[(u16, u64)], #[case] expiry: u64) {
    let mut lease = Lease::new(electorate([1, 2]), Some(at(0)), at(0));
    lease.begin_renewal(electorate([2, 3]));
    lease.begin_renewal(electorate([2, 3]));
    assert_eq!(lease.voters(), addresses([1, 2, 3]));
    for (voter, asked) in votes {
        lease.vote(address(*voter), at(*asked), at(800));
    }
    assert_eq!(lease.expires_at(), at(expiry));
    lease.settle(electorate([3]));
    assert_eq!(lease.voters(), addresses([3]));
}

/// A confirmation that doesn't tell which renewal was carried out leaves both electorates.
#[test]
fn a_confirmation_settles_nothing() {
    let mut lease = Lease::new(electorate([1]), Some(at(0)), at(0));
    lease.begin_renewal(electorate([2]));
    lease.confirm(at(300), at(310));
    lease.vote(address(2), at(600), at(610));
    assert_eq!(lease.expires_at(), at(1_500));
}

/// Each response is of a node that was called and answered so many milliseconds after the start.
#[rstest]
#[case::the_owner(&[1, 2, 3], &[(0, 0, 10)], true)]
#[case::too_few(&[1, 2, 3], &[(1, 0, 10)], false)]
#[case::enough(&[1, 2, 3], &[(1, 0, 10), (3, 5, 10)], true)]
#[case::one_voter_twice(&[1, 2, 3], &[(1, 0, 10), (1, 300, 310)], false)]
#[case::a_stranger(&[1, 2, 3], &[(1, 0, 10), (9, 0, 10)], false)]
#[case::within_the_window(&[1, 2], &[(1, 0, 10), (2, 1_000, 1_010)], true)]
#[case::outside_the_window(&[1, 2], &[(1, 0, 10), (2, 1_001, 1_010)], false)]
#[case::told_again(&[1, 2], &[(1, 0, 10), (2, 1_001, 1_010), (1, 1_300, 1_310)], true)]
#[case::answered_in_time(&[1], &[(1, 0, 500)], true)]
#[case::answered_late(&[1], &[(1, 0, 501)], false)]
#[case::the_owner_answered_late(&[1, 2], &[(0, 0, 501)], false)]
#[case::both_of_two(&[1, 2], &[(2, 0, 10), (1, 0, 10)], true)]
fn fencing(#[case] voters: &[u16], #[case] told: &[(u16, u64, u64)], #[case] is_fenced: bool) {
    let former = electorate(voters.iter().copied());
    let mut fencing = Fencing::new(vec![former.clone()], START);
    let mut fenced = Vec::new();
    for (node, sent_at, now) in told {
        fenced.extend(fencing.note(address(*node), Response::Told, at(*sent_at), at(*now)));
    }
    assert_eq!(fencing.is_complete(), is_fenced);
    assert_eq!(fenced, if is_fenced { vec![former] } else { vec![] });
}

/// An owner without voters lives by the store alone, which confirms no former owner.
#[test]
fn an_owner_without_voters_is_fenced_by_the_claim() {
    assert!(Fencing::new(vec![electorate([])], START).is_complete());
}

#[test]
fn each_former_owner_is_fenced_on_its_own() {
    let second = Electorate {
        epoch: Epoch(2),
        owner: address(4),
        voters: addresses([1, 2]),
    };
    let mut fencing = Fencing::new(vec![electorate([1, 2, 3]), second.clone()], START);
    assert_eq!(fencing.addresses(), addresses([0, 1, 2, 3, 4]));
    assert!(
        fencing
            .note(address(1), Response::Told, at(0), at(10))
            .is_empty()
    );
    assert_eq!(
        fencing.note(address(3), Response::Told, at(0), at(10)),
        [electorate([1, 2, 3])]
    );
    assert_eq!(fencing.remaining(), [second]);
    assert_eq!(fencing.addresses(), addresses([1, 2, 4]));
    fencing.note(address(2), Response::Told, at(0), at(10));
    assert!(fencing.is_complete());
}

/// A process may have been started since an attempt to reach it was refused.
#[rstest]
#[case::of_the_owner(0)]
#[case::of_a_voter(1)]
fn an_early_refusal_fences_nobody(#[case] node: u16) {
    let mut fencing = Fencing::new(vec![electorate([1])], START);
    let early = START + MAX_REFUSAL_AGE.saturating_sub(TICK);
    assert!(
        fencing
            .note(address(node), Response::Gone, early, early)
            .is_empty()
    );
    let late = START + MAX_REFUSAL_AGE;
    assert_eq!(
        fencing.note(address(node), Response::Gone, late, late),
        [electorate([1])]
    );
}

/// The nodes of a data centre share a network, and are lost together.
#[test]
fn voters_are_spread_over_networks() {
    let node = |network: u8, host: u8| SocketAddr::from(([10, network, 0, host], 7_000));
    let nodes: Vec<SocketAddr> = (1..=3)
        .flat_map(|network| (1..=12).map(move |host| node(network, host)))
        .collect();
    let electorate = Electorate::new(Epoch(1), node(1, 1), &nodes);
    let in_network = |network: u8| {
        let prefix = format!("10.{network}.");
        let voters = electorate.voters.iter();
        voters
            .filter(|voter| voter.to_string().starts_with(&prefix))
            .count()
    };
    assert_eq!([in_network(1), in_network(2), in_network(3)], [2, 3, 3]);
}

/// A slow store answers a claim so late that its answer alone allows nothing any more.
#[test]
fn voters_let_an_owner_begin_whose_claim_was_confirmed_long_ago() {
    let mut lease = Lease::new(electorate([1, 2]), Some(at(0)), at(3_000));
    assert!(!lease.is_valid(at(3_000)));
    assert_eq!(lease.basis(at(3_000)), Basis::Unconfirmed);
    lease.vote(address(1), at(3_100), at(3_110));
    assert!(lease.is_valid(at(3_110)));
    assert!(!lease.is_valid(at(4_300)));
    lease.vote(address(1), at(4_310), at(4_320));
    assert!(!lease.is_valid(at(4_320)), "an expired lease stays expired");
}

#[test]
fn an_owner_that_is_not_confirmed_in_time_does_not_begin() {
    let mut lease = Lease::new(electorate([1, 2]), Some(at(0)), at(3_000));
    assert!(!lease.has_expired(at(3_999)));
    assert!(lease.has_expired(at(4_000)));
    lease.vote(address(1), at(4_000), at(4_010));
    assert!(!lease.is_valid(at(4_010)));
}
