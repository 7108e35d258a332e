//! Shards and nodes as worked out from the VM list.

use std::net::SocketAddr;

use fulmarpier_coordination::{
    platform::vm::{
        Entry,
        List,
        Role,
        State, //
    },
    topology::{
        Count,
        CountError,
        Error,
        Map,
        data_centre_of, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        NodeId,
        RackId,
        RegionId,
        WorkerId, //
    },
    resource::Resources, //
};
use rstest::rstest;

const REGION: RegionId = RegionId(1);

fn entry(role: Role, port: u16, rack: u32) -> Entry {
    Entry {
        role,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        region: REGION,
        data_centre: DataCentreId(3),
        rack: RackId(rack),
        capacity: Resources::ZERO,
        state: State::Live,
    }
}

fn worker(id: u32, rack: u32) -> Entry {
    let port = 8_000 + u16::try_from(id).expect("a small id");
    entry(Role::Worker(WorkerId(id)), port, rack)
}

fn list(as_of: u64, entries: Vec<Entry>) -> List {
    List {
        as_of: Timestamp::from_micros(as_of),
        entries,
    }
}

fn count(count: u16) -> Count {
    Count::try_from(count).expect("a count in range")
}

#[test]
fn racks_stay_whole_and_in_their_shard_whatever_else_comes_and_goes() {
    let workers: Vec<_> = (0..64).map(|id| worker(id, id / 8)).collect();
    let mut map = Map::new(REGION, count(4));
    map.update(&list(1, workers.clone())).expect("a newer list");
    let before: Vec<_> = workers.iter().map(|w| (w.rack, shard(&map, w))).collect();
    for pair in before.windows(2) {
        assert!(pair[0].0 != pair[1].0 || pair[0].1 == pair[1].1, "{pair:?}");
    }
    let half: Vec<_> = workers.iter().step_by(3).cloned().collect();
    map.update(&list(2, half.clone())).expect("a newer list");
    for left in &half {
        assert!(before.contains(&(left.rack, shard(&map, left))));
    }
    assert_eq!(map.shards().count(), 4, "shards without workers stay");
}

fn shard(map: &Map, entry: &Entry) -> Option<fulmarpier_state::id::ShardId> {
    match entry.role {
        Role::Worker(id) => map.shard_of(id),
        Role::Entry(_) => None,
    }
}

#[test]
fn one_more_shard_takes_racks_and_moves_none_between_the_others() {
    let centre = DataCentreId(3);
    let racks = (0..500).map(RackId);
    let moves = racks.map(|rack| (count(4).shard(centre, rack), count(5).shard(centre, rack)));
    let moved: Vec<_> = moves.filter(|(before, after)| before != after).collect();
    let last = count(5).shards(centre).last();
    assert!(moved.iter().all(|(_, after)| Some(*after) == last));
    assert!(
        (60..=140).contains(&moved.len()),
        "about a fifth: {}",
        moved.len()
    );
    assert_eq!(last.map(data_centre_of), Some(centre));
}

#[rstest]
#[case(0)]
#[case(101)]
fn a_count_out_of_range_is_refused(#[case] found: u16) {
    assert_eq!(Count::try_from(found), Err(CountError { found }));
}

#[test]
fn an_older_list_changes_nothing() {
    let mut map = Map::new(REGION, Count::ONE);
    map.update(&list(9, vec![worker(1, 1)]))
        .expect("a first list");
    let before = map.clone();
    let refused = map.update(&list(8, vec![worker(2, 1)]));
    let (found, used) = (Timestamp::from_micros(8), Timestamp::from_micros(9));
    assert_eq!(refused, Err(Error::Older { found, used }));
    assert_eq!(map, before);
}

#[test]
fn a_list_without_the_region_is_refused() {
    let mut map = Map::new(REGION, Count::ONE);
    let mut foreign = worker(1, 1);
    foreign.region = RegionId(2);
    let refused = map.update(&list(1, vec![foreign]));
    assert_eq!(refused, Err(Error::Empty { region: REGION }));
}

#[test]
fn a_data_centre_whose_shards_have_no_number_is_refused() {
    let data_centre = DataCentreId(655);
    let mut far = worker(1, 1);
    far.data_centre = data_centre;
    let refused = Map::new(REGION, Count::ONE).update(&list(1, vec![far]));
    assert_eq!(refused, Err(Error::DataCentre { data_centre }));
}

#[rstest]
#[case::newcomer_last(false)]
#[case::newcomer_first(true)]
fn of_two_vms_at_one_address_the_newcomer_counts(#[case] reversed: bool) {
    let old = entry(Role::Entry(NodeId(1)), 7_000, 0);
    let new = entry(Role::Entry(NodeId(2)), 7_000, 0);
    let mut map = Map::new(REGION, Count::ONE);
    map.update(&list(1, vec![old.clone()]))
        .expect("a first list");
    let mut both = vec![old, new];
    if reversed {
        both.reverse();
    }
    let change = map.update(&list(2, both)).expect("a newer list");
    assert_eq!(change.gone_nodes, [NodeId(1)]);
    assert_eq!(
        map.nodes().map(|node| node.id).collect::<Vec<_>>(),
        [NodeId(2)]
    );
}

#[test]
fn an_update_names_what_changed() {
    let mut map = Map::new(REGION, Count::ONE);
    let first = vec![worker(1, 1), worker(2, 1), worker(3, 1)];
    map.update(&list(1, first)).expect("a first list");
    let mut leaving = worker(2, 1);
    leaving.state = State::Leaving;
    let second = vec![worker(1, 1), leaving, worker(4, 1)];
    let change = map.update(&list(2, second)).expect("a newer list");
    assert_eq!(change.changed, [WorkerId(2), WorkerId(4)]);
    assert_eq!(change.gone, [WorkerId(3)]);
    let state = map.worker_by_id(WorkerId(2)).map(|worker| worker.state);
    assert_eq!(state, Some(State::Leaving));
}
