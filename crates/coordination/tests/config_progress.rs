//! Where a version is in force, and when a snapshot is appended again.

use std::time::Duration;

use fulmarpier_coordination::config::{
    Progress,
    Refresh,
    Report,
    Version, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Incarnation,
        NodeId, //
    },
};

fn report(node: u32, incarnation: u64, version: u64) -> Report {
    Report {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        version: Version::from_raw(version),
    }
}

fn at(secs: u64) -> Timestamp {
    Timestamp::from_millis(secs * 1_000)
}

#[test]
fn in_force_everywhere_is_an_answer_with_times() {
    let mut progress = Progress::new();
    progress.list([NodeId(1), NodeId(2), NodeId(3)].into());
    progress.report(report(1, 1, 5), at(1));
    progress.report(report(2, 1, 4), at(2));
    progress.report(report(9, 1, 5), at(2));
    let answer = progress.of(Version::from_raw(5));
    assert_eq!(answer.reached, [(NodeId(1), at(1))]);
    assert_eq!(answer.behind, [(NodeId(2), Version::from_raw(4), at(2))]);
    assert_eq!(
        (answer.silent, answer.unlisted),
        (vec![NodeId(3)], vec![NodeId(9)])
    );

    progress.report(report(2, 1, 6), at(3));
    progress.report(report(3, 1, 5), at(4));
    progress.report(report(1, 1, 7), at(9));
    let answer = progress.of(Version::from_raw(5));
    assert!(answer.is_everywhere());
    assert_eq!(answer.complete_at(), Some(at(4)));
}

#[test]
fn a_restarted_node_is_behind_until_it_says_otherwise() {
    let mut progress = Progress::new();
    progress.list([NodeId(1)].into());
    progress.report(report(1, 1, 5), at(1));
    progress.report(report(1, 2, 3), at(2));
    progress.report(report(1, 1, 5), at(3));
    assert!(!progress.of(Version::from_raw(5)).is_everywhere());
    assert!(
        !Progress::new().of(Version::NONE).is_everywhere(),
        "no node is not everywhere"
    );
}

#[test]
fn reports_of_many_unlisted_nodes_are_bounded() {
    let mut progress = Progress::new();
    for node in 0..1_000 {
        progress.report(report(node, 1, 1), at(node.into()));
    }
    let unlisted = progress.of(Version::NONE).unlisted;
    assert_eq!((unlisted.len(), unlisted.first()), (64, Some(&NodeId(936))));
}

#[test]
fn snapshots_are_written_several_times_within_the_retention_and_usually_by_one_node() {
    let retention = Duration::from_secs(64_000);
    let mut nodes: Vec<Refresh> = (0..7)
        .map(|node| Refresh::new(NodeId(node), retention, at(0)))
        .collect();
    let mut written = Vec::new();
    for secs in (0..256_000).step_by(10) {
        let due: Vec<usize> = (0..nodes.len())
            .filter(|n| nodes[*n].is_due(at(secs)))
            .collect();
        if !due.is_empty() {
            written.push((secs, due.len()));
            nodes.iter_mut().for_each(|node| node.snapshot(at(secs)));
        }
    }
    let gaps = written.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(
        gaps.max() <= Some(retention.as_secs() / 4 + 10),
        "{written:?}"
    );
    assert!(
        written.iter().all(|(_, writers)| *writers == 1),
        "{written:?}"
    );
}
