//! Which node gives the orders to which worker, at any size of the fleet.

use std::collections::BTreeMap;

use fulmarpier_cell::id::{
    NodeName,
    WorkerId, //
};
use fulmarpier_node::share::{
    Peer,
    Share, //
};
use fulmarpier_state::unit::Millicores;
use rstest::rstest;

/// How many connections to one worker a node has open at a time, at most.
const CONNECTIONS: usize = 4;

fn peer(port: u16, processor: u32, descriptors: u32) -> Peer {
    Peer {
        node: NodeName::from(format!("n{port}")),
        address: ([127, 0, 0, 1], port).into(),
        processor: Millicores(processor),
        descriptors,
    }
}

fn worker(nth: usize) -> WorkerId {
    WorkerId::from(format!("w{nth}"))
}

/// Returns how many workers each node gives orders to; the owner's port is zero.
fn parts(share: &mut Share, workers: usize) -> BTreeMap<u16, usize> {
    let mut parts = BTreeMap::new();
    for nth in 0..workers {
        let node = share.node_of(&worker(nth), workers);
        *parts.entry(node.map_or(0, |node| node.port())).or_default() += 1;
    }
    parts
}

/// A fleet grows, and its strong nodes with it: none has connections to more workers than it has descriptors for.
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
    let mut share = Share::new(peer(nodes, 1_000, descriptors), peers.collect());
    let parts = parts(&mut share, workers);
    let most = parts.values().max().copied().unwrap_or(0);
    let bound = usize::try_from(descriptors).unwrap() * 3 / 4;
    assert!(most * CONNECTIONS <= bound, "{most} workers");
}

/// The fewer nodes give orders, the more of them go into one call.
#[test]
fn a_small_fleet_takes_three_nodes_beside_the_owner() {
    let peers = (1..20).map(|port| peer(port, 1_000, 8_192)).collect();
    let mut share = Share::new(peer(20, 1_000, 8_192), peers);
    assert_eq!(parts(&mut share, 540).len(), 4);
}

#[test]
fn the_owner_alone_gives_the_orders_of_a_very_small_fleet() {
    let peers = (1..8).map(|port| peer(port, 250, 4_100)).collect();
    let mut share = Share::new(peer(8, 250, 4_100), peers);
    assert_eq!(parts(&mut share, 48), BTreeMap::from([(0, 48)]));
}

/// Nodes that the owner outranks could not carry it.
#[test]
fn weak_nodes_give_no_orders() {
    let peers = (1..8).map(|port| peer(port, 120, 4_100)).collect();
    let mut share = Share::new(peer(8, 1_000, 16_384), peers);
    assert_eq!(parts(&mut share, 6_000), BTreeMap::from([(0, 6_000)]));
}

/// Workers keep their node when more of them come, as long as the nodes that give orders are enough.
#[test]
fn a_worker_keeps_its_node_while_the_nodes_are_enough() {
    let peers: Vec<Peer> = (1..8).map(|port| peer(port, 1_000, 8_192)).collect();
    let mut share = Share::new(peer(8, 1_000, 8_192), peers);
    let mut nodes = |workers| -> Vec<_> {
        let of = (0..300).map(|nth| share.node_of(&worker(nth), workers));
        of.collect()
    };
    let before = nodes(300);
    assert_eq!(before, nodes(3_000));
    assert_eq!(before, nodes(300));
}

/// Nodes of one strength get about as many workers, whatever their names.
#[test]
fn nodes_of_one_strength_have_like_parts() {
    let peers = (1..30).map(|port| peer(port, 1_000, 8_192)).collect();
    let mut share = Share::new(peer(30, 1_000, 8_192), peers);
    let parts = parts(&mut share, 12_000);
    let beside: Vec<usize> = parts
        .iter()
        .filter(|(port, _)| **port != 0)
        .map(|(_, part)| *part)
        .collect();
    let (least, most) = (beside.iter().min().unwrap(), beside.iter().max().unwrap());
    assert!(*most < least * 3 / 2, "{least} to {most}");
}

/// A new owner hears of its nodes one by one: who gives orders to a worker doesn't change with each.
#[test]
fn nodes_that_come_take_no_workers_from_those_that_give_orders() {
    let peers: Vec<Peer> = (1..=12).map(|port| peer(port, 1_000, 16_384)).collect();
    let owner = peer(13, 1_000, 16_384);
    let mut share = Share::new(owner.clone(), peers[9..].to_vec());
    let of = |share: &mut Share| -> Vec<_> {
        let nodes = (0..400).map(|nth| share.node_of(&worker(nth), 400));
        nodes.collect()
    };
    let before = of(&mut share);
    share.renew(owner.clone(), peers.clone());
    assert_eq!(of(&mut share), before);
    // One of them is gone: only its own workers move, and those that the node in its place takes.
    let (gone, next) = (peers[10].address, peers[0].address);
    let rest = peers.into_iter().filter(|peer| peer.address != gone);
    share.renew(owner, rest.collect());
    let after = of(&mut share);
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
