//! The assignment of workers to the nodes that send their orders, for fleets of any size.

use std::collections::BTreeMap;

use fulmarpier_cell::id::{
    NodeName,
    WorkerId, //
};
use fulmarpier_node::assignment::{
    Assignment,
    Peer, //
};
use fulmarpier_state::unit::Millicores;
use rstest::rstest;

/// The maximum number of concurrent connections of a node to one worker.
const CONNECTIONS: usize = 4;

fn peer(port: u16, strength: u32, descriptors: u32) -> Peer {
    Peer {
        node: NodeName::from(format!("n{port}")),
        address: ([127, 0, 0, 1], port).into(),
        strength: Millicores(strength),
        descriptors,
    }
}

fn worker(number: usize) -> WorkerId {
    WorkerId::from(format!("w{number}"))
}

/// Returns the number of workers that each node sends orders to, by its port; the owner counts as port zero.
fn worker_counts(assignment: &mut Assignment, workers: usize) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for number in 0..workers {
        let node = assignment.node_of(&worker(number), workers);
        *counts
            .entry(node.map_or(0, |node| node.port()))
            .or_default() += 1;
    }
    counts
}

/// As a fleet and its number of strong nodes grow, no node may get more workers than its file descriptors suffice for.
#[rstest]
#[case::small(350, 8)]
#[case::large(6_000, 60)]
#[case::twice(12_000, 120)]
#[case::four_times(24_000, 240)]
fn no_node_has_more_workers_than_descriptors_for_them(
    #[case] workers: usize,
    #[case] nodes: u16,
    #[values(8_192, 16_384)] descriptors: u32,
) {
    let peers = (1..nodes).map(|port| peer(port, 1_000, descriptors));
    let mut assignment = Assignment::new(peer(nodes, 1_000, descriptors), peers.collect());
    let counts = worker_counts(&mut assignment, workers);
    let most = counts.values().max().copied().unwrap_or(0);
    let bound = usize::try_from(descriptors).unwrap() * 3 / 4;
    assert!(most * CONNECTIONS <= bound, "{most} workers");
}

/// The fewer nodes send orders, the more orders share one call.
#[test]
fn a_small_fleet_uses_three_nodes_besides_the_owner() {
    let peers = (1..20).map(|port| peer(port, 1_000, 8_192)).collect();
    let mut assignment = Assignment::new(peer(20, 1_000, 8_192), peers);
    assert_eq!(worker_counts(&mut assignment, 540).len(), 4);
}

#[test]
fn the_owner_sends_all_orders_of_a_very_small_fleet() {
    let peers = (1..8).map(|port| peer(port, 250, 4_100)).collect();
    let mut assignment = Assignment::new(peer(8, 250, 4_100), peers);
    assert_eq!(
        worker_counts(&mut assignment, 48),
        BTreeMap::from([(0, 48)])
    );
}

/// Nodes that are much weaker than the owner can't handle the orders.
#[test]
fn weak_nodes_send_no_orders() {
    let peers = (1..8).map(|port| peer(port, 120, 4_100)).collect();
    let mut assignment = Assignment::new(peer(8, 1_000, 16_384), peers);
    assert_eq!(
        worker_counts(&mut assignment, 6_000),
        BTreeMap::from([(0, 6_000)])
    );
}

/// Workers keep their node when the fleet grows, as long as the nodes that send orders suffice.
#[test]
fn a_worker_keeps_its_node_while_the_nodes_suffice() {
    let peers: Vec<Peer> = (1..8).map(|port| peer(port, 1_000, 8_192)).collect();
    let mut assignment = Assignment::new(peer(8, 1_000, 8_192), peers);
    let mut nodes = |workers| -> Vec<_> {
        let assigned = (0..300).map(|number| assignment.node_of(&worker(number), workers));
        assigned.collect()
    };
    let before = nodes(300);
    assert_eq!(before, nodes(3_000));
    assert_eq!(before, nodes(300));
}

/// Nodes of equal strength get about the same number of workers, whatever their names.
#[test]
fn nodes_of_equal_strength_get_similar_numbers_of_workers() {
    let peers = (1..30).map(|port| peer(port, 1_000, 8_192)).collect();
    let mut assignment = Assignment::new(peer(30, 1_000, 8_192), peers);
    let counts = worker_counts(&mut assignment, 12_000);
    let others: Vec<usize> = counts
        .iter()
        .filter(|(port, _)| **port != 0)
        .map(|(_, count)| *count)
        .collect();
    let (least, most) = (others.iter().min().unwrap(), others.iter().max().unwrap());
    assert!(*most < least * 3 / 2, "{least} to {most}");
}

/// A new owner learns of its nodes one by one. The node of a worker must not change with each of them.
#[test]
fn new_nodes_take_no_workers_from_those_that_send_orders() {
    let peers: Vec<Peer> = (1..=12).map(|port| peer(port, 1_000, 16_384)).collect();
    let owner = peer(13, 1_000, 16_384);
    let mut assignment = Assignment::new(owner.clone(), peers[9..].to_vec());
    let assign = |assignment: &mut Assignment| -> Vec<_> {
        let nodes = (0..400).map(|number| assignment.node_of(&worker(number), 400));
        nodes.collect()
    };
    let before = assign(&mut assignment);
    assignment.update_nodes(owner.clone(), peers.clone());
    assert_eq!(assign(&mut assignment), before);
    // When one of the sending nodes is gone, only its workers move, and those that its replacement gets.
    let (gone, next) = (peers[10].address, peers[0].address);
    let rest = peers.into_iter().filter(|peer| peer.address != gone);
    assignment.update_nodes(owner, rest.collect());
    let after = assign(&mut assignment);
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before != after);
    assert!(moved.clone().count() > 0);
    assert!(
        moved
            .into_iter()
            .all(|(before, after)| *before == Some(gone) || *after == Some(next))
    );
    assert!(!after.contains(&Some(gone)));
}
