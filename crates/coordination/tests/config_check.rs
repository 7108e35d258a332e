//! What a dry run says of careless changes, and when a change needs a confirmation.

use fulmarpier_coordination::config::{
    Change,
    Document,
    Version,
    check::{
        self,
        Report,
        ServiceUsage,
        TeamUsage,
        Usage,
        WorkerUsage, //
    },
    service,
    team, //
};
use fulmarpier_state::{
    id::{
        DataCentreId,
        NodeId,
        WorkerId, //
    },
    name::Name,
    refusal::Reason,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use rstest::rstest;

fn name(text: &str) -> Name {
    text.parse().expect("the name is accepted")
}

fn cores(cpu: u32, memory: u64) -> Resources {
    Resources::new(Millicores::from_cores(cpu), Bytes::from_gib(memory), 0)
}

/// Three data centres of eight workers with 16 cores and 32 GiB, half used.
fn usage() -> Usage {
    let worker = |id: u32| {
        let usage = WorkerUsage {
            data_centre: DataCentreId(u16::try_from(id / 8).expect("a small number")),
            capacity: cores(16, 32),
            used: cores(8, 16),
            running: 4,
        };
        (WorkerId(id), usage)
    };
    let manifest = TeamUsage {
        used: cores(100, 200),
        largest: cores(4, 8),
        running: 40,
        waiting: 12,
    };
    let desk = ServiceUsage {
        targets: (0..8).map(|id| (WorkerId(id), 1)).collect(),
    };
    Usage {
        teams: [(name("manifest"), manifest)].into(),
        services: [(name("desk"), desk)].into(),
        workers: (0..24).map(worker).collect(),
        nodes: (0..6).map(NodeId).collect(),
        partial: false,
    }
}

fn document() -> Document {
    let quota = team::Patch {
        cpu: Some(Millicores::from_cores(200)),
        memory: Some(Bytes::from_gib(400)),
        ..team::Patch::default()
    };
    let changes = [
        set_team(quota),
        Change::SetService {
            name: name("desk"),
            patch: service::Patch::default(),
        },
    ];
    Document::default()
        .with(&changes)
        .expect("the changes are valid")
}

fn set_team(patch: team::Patch) -> Change {
    let name = name("manifest");
    Change::SetTeam { name, patch }
}

fn memory(size: Bytes) -> Vec<Change> {
    vec![set_team(team::Patch {
        memory: Some(size),
        ..team::Patch::default()
    })]
}

fn drain(workers: std::ops::Range<u32>) -> Vec<Change> {
    let drain = |id| Change::DrainWorker {
        worker: WorkerId(id),
    };
    workers.map(drain).collect()
}

fn quarantine(workers: std::ops::Range<u32>) -> Vec<Change> {
    let quarantine = |id| Change::Quarantine {
        worker: WorkerId(id),
    };
    workers.map(quarantine).collect()
}

fn check(changes: &[Change]) -> Report {
    let base = Version::from_raw(3);
    check::run(base, &document(), changes, &usage()).expect("the changes are valid")
}

#[rstest]
#[case::wrong_unit(memory(Bytes::from_mib(64)), &[
    "team manifest uses 100 cpu, 200GiB, more than its new quota; it would start nothing; a quota of 100 cpu, 200GiB changes nothing now",
    "team manifest has tasks of up to 4 cpu, 8GiB, which its new quota never admits",
    "team manifest would have 64MiB in all, and one worker has 32GiB; did you mean 64GiB?",
])]
#[case::data_centre(drain(0..8), &[
    "service desk would lose all of its 8 targets; drain rack by rack, each when the one before has run dry",
    "8 workers with 0.334 of all processors would go; 0.334 would be out in all; drain rack by rack, each when the one before has run dry",
    "all 8 workers of dc0 would be out of service; drain rack by rack, each when the one before has run dry",
])]
#[case::team_with_work(vec![Change::RemoveTeam { name: name("manifest") }], &[
    "team manifest has 40 running and 12 waiting tasks; cancel or finish its jobs first",
])]
#[case::service_with_targets(vec![Change::RemoveService { name: name("desk") }], &[
    "service desk has 8 targets; cancel its job first",
])]
#[case::quarantine_wave(quarantine(8..11), &[
    "3 workers with 0.125 of all processors would go; 0.125 would be out in all; drain rack by rack, each when the one before has run dry",
])]
#[case::slip(drain(71..72), &["worker w71 is not known; see `show workers`"])]
#[case::most_nodes((0..4).map(|id| Change::DrainNode { node: NodeId(id) }).collect(), &[
    "4 of 6 entry nodes would be drained",
])]
fn a_careless_change_needs_a_confirmation(#[case] changes: Vec<Change>, #[case] lines: &[&str]) {
    let report = check(&changes);
    assert_eq!(report.impact.lines(), lines);
    let refusal = report.confirm(None).expect_err("the change is wide");
    assert_eq!(refusal.reason, Reason::Unconfirmed);
    let token = report.token.expect("the change is wide");
    assert!(
        !refusal.detail.contains(&token.to_string()),
        "only a dry run prints the token"
    );
    assert_eq!(report.confirm(Some(token)), Ok(()));
    assert_eq!(token.to_string().parse(), Ok(token));
}

#[rstest]
#[case::raise(memory(Bytes::from_gib(500)))]
#[case::cut_above_usage(memory(Bytes::from_gib(220)))]
#[case::one_worker(drain(20..21))]
#[case::two_quarantined(quarantine(20..22))]
#[case::one_node(vec![Change::DrainNode { node: NodeId(1) }])]
#[case::new_team(vec![Change::SetTeam { name: name("liaison"), patch: team::Patch::default() }])]
fn an_ordinary_change_needs_none(#[case] changes: Vec<Change>) {
    let report = check(&changes);
    assert_eq!(report.token, None, "{:?}", report.impact);
    assert_eq!(report.confirm(None), Ok(()));
}

#[test]
fn small_drains_add_up() {
    let before = document()
        .with(&drain(0..6))
        .expect("the changes are valid");
    let report = check::run(Version::from_raw(4), &before, &drain(9..10), &usage());
    let report = report.expect("the changes are valid");
    assert!(report.token.is_some(), "{:?}", report.impact);
}

#[test]
fn a_token_goes_stale_with_the_base_the_changes_and_the_effect() {
    let token = check(&drain(0..8)).token;
    let moved = check::run(Version::from_raw(4), &document(), &drain(0..8), &usage());
    let moved = moved.expect("the changes are valid");
    let refusal = moved.confirm(token).expect_err("the base moved");
    assert!(refusal.detail.starts_with("the token is void"), "{refusal}");
    assert_ne!(check(&drain(0..9)).token, token);

    let mut other = usage();
    let larger = cores(16, 32);
    other
        .teams
        .values_mut()
        .for_each(|team| team.largest = larger);
    other
        .workers
        .iter_mut()
        .skip(8)
        .for_each(|(_, worker)| worker.capacity = cores(8, 16));
    let effect = check::run(Version::from_raw(3), &document(), &drain(0..8), &other);
    assert_ne!(effect.expect("the changes are valid").token, token);
}

#[test]
fn a_token_outlives_counts_that_change_all_the_time() {
    let remove = [Change::RemoveTeam {
        name: name("manifest"),
    }];
    let mut later = usage();
    later.teams.values_mut().for_each(|team| team.running += 7);
    let report = check::run(Version::from_raw(3), &document(), &remove, &later);
    assert_eq!(
        report.expect("the changes are valid").token,
        check(&remove).token
    );
}

#[test]
fn the_radius_counts_what_is_hit() {
    let mut changes = drain(0..8);
    changes.extend(memory(Bytes::from_gib(100)));
    let radius = check(&changes).impact.radius();
    assert_eq!(
        (radius.capacity.to_string(), radius.teams, radius.services),
        ("0.334".to_owned(), 1, 1)
    );
}

#[test]
fn a_document_is_json_with_units_and_refuses_what_it_does_not_know() {
    let json = serde_json::to_string(&document()).expect("the document has a JSON form");
    insta::assert_snapshot!(json, @r#"{"teams":{"manifest":{"quota":{"cpu":"200","memory":"400GiB"},"weight":1,"queue":10000}},"services":{"desk":{"slots":8,"queue":200,"deadline":"2s"}},"weights":{"waiting":"0.5","packing":"0.3","control":"0.2"},"policy":{"preemption":true,"backfill":true,"spread":"data-centres","unknown_teams":true},"limits":{"body":"8MiB","tasks":10000,"queue":100000},"drained":{"workers":[],"nodes":[]},"quarantined":[]}"#);
    assert_eq!(
        serde_json::from_str::<Document>(&json).expect("it reads back"),
        document()
    );
    let error = serde_json::from_str::<Document>(r#"{"temas": {}}"#).expect_err("a slip");
    assert!(
        error.to_string().starts_with("unknown field `temas`"),
        "{error}"
    );
}
