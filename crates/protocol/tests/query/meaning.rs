//! What commands mean, and that their canonical text means the same.

use fulmarpier_coordination::config::{
    Change,
    Share,
    policy,
    team,
    weights, //
};
use fulmarpier_protocol::query::{
    Command,
    Show,
    Subject, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        WorkerId, //
    },
    job::{
        Kind,
        Spread, //
    },
    unit::{
        Bytes,
        Millicores, //
    },
};
use proptest::prelude::*;
use rstest::rstest;

use crate::arbitrary;

fn parse(line: &str) -> Command {
    match line.parse() {
        Ok(command) => command,
        Err(error) => panic!("{error}"),
    }
}

#[rstest]
fn every_subject_can_be_shown() {
    for subject in Subject::ALL {
        let command = parse(&format!("show {subject}"));
        let expected = Show {
            subject,
            filter: Default::default(),
            limit: None,
        };
        assert_eq!(command, Command::Show(expected));
    }
}

#[rstest]
#[case(
    "  show jobs where state=waiting and cpu>=2 and team ~ \"man\" limit 20 ",
    "show jobs where state = waiting and cpu >= 2 and team ~ man limit 20"
)]
#[case("show\tworkers   limit 1", "show workers limit 1")]
#[case(
    "show jobs where why = \"a \\\"b\\\"\"",
    "show jobs where why = \"a \\\"b\\\"\""
)]
#[case(
    "show jobs where cpu ge 2 and why contains quota",
    "show jobs where cpu >= 2 and why ~ quota"
)]
#[case(
    "show jobs where a eq b and a ne b and a lt b and a gt b and a le b",
    "show jobs where a = b and a != b and a < b and a > b and a <= b"
)]
#[case("set team desk weight = 3 cpu= 64", "set team desk cpu=64 weight=3")]
#[case("set limit queue=5 body=8MiB", "set limit body=8MiB queue=5")]
#[case(
    "set service desk team=repair deadline=2000ms",
    "set service desk deadline=2s team=repair"
)]
#[case("remove service desk", "remove service desk")]
fn spacing_and_order_do_not_matter(#[case] line: &str, #[case] canonical: &str) {
    assert_eq!(parse(line).to_string(), canonical);
}

#[rstest]
#[case("drain worker w17", Change::DrainWorker { worker: WorkerId(17) })]
#[case("undrain worker w17", Change::UndrainWorker { worker: WorkerId(17) })]
#[case("drain node n2", Change::DrainNode { node: NodeId(2) })]
#[case("undrain node n2", Change::UndrainNode { node: NodeId(2) })]
#[case("quarantine worker w17", Change::Quarantine { worker: WorkerId(17) })]
#[case("release worker w17", Change::Release { worker: WorkerId(17) })]
fn machines_are_taken_out_and_back(#[case] line: &str, #[case] expected: Change) {
    assert_eq!(parse(line), Command::Change(expected));
}

#[test]
fn set_changes_only_what_it_names() {
    let expected = Change::SetTeam {
        name: "desk".parse().expect("the name is valid"),
        patch: team::Patch {
            cpu: Some(Millicores::from_cores(64)),
            memory: Some(Bytes::from_gib(128)),
            weight: Some(3),
            ..team::Patch::default()
        },
    };
    let line = "set team desk cpu=64 memory=128GiB weight=3";
    assert_eq!(parse(line), Command::Change(expected));
    let expected = Change::SetWeights {
        patch: weights::Patch {
            waiting: Some(Share::from_thousandths(600)),
            ..weights::Patch::default()
        },
    };
    assert_eq!(parse("set weight waiting=0.6"), Command::Change(expected));
    let expected = Change::SetPolicy {
        patch: policy::Patch {
            preemption: Some(false),
            backfill: None,
            spread: Some(Spread::DataCentres),
            unknown_teams: Some(false),
        },
    };
    let line = "set policy preemption=off spread=data-centres unknown_teams=off";
    assert_eq!(parse(line), Command::Change(expected));
}

#[test]
fn submitted_service_has_its_part_and_a_deadline_from_receipt() {
    let line = "submit service name=desk slots=8 team=repair cpu=2 memory=1GiB tasks=3 \
                program=desk arg=--fast arg=\"two words\" deadline=10m";
    let Command::Submit(draft) = parse(line) else {
        panic!("expected a submission");
    };
    let submission = draft.received(Timestamp::from_millis(1_000));
    let spec = submission.spec;
    assert!(matches!(
        spec.kind,
        Kind::Service {
            slots: 8,
            port: 0,
            ..
        }
    ));
    assert_eq!(spec.tasks, 3);
    assert_eq!(spec.payload.args, ["--fast", "two words"]);
    assert_eq!(spec.deadline, Some(Timestamp::from_millis(601_000)));
}

#[rstest]
#[case("show jobs", false)]
#[case("explain job 01890a5d-ac96-774b-bcce-b302099a8057", false)]
#[case("cancel job 01890a5d-ac96-774b-bcce-b302099a8057", true)]
#[case("drain node n1", true)]
fn questions_are_told_from_changes(#[case] line: &str, #[case] expected: bool) {
    assert_eq!(parse(line).is_change(), expected);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn canonical_text_parses_back_to_the_same_command(command in arbitrary::command()) {
        let text = command.to_string();
        prop_assert_eq!(text.parse::<Command>(), Ok(command), "{}", text);
    }

    #[test]
    fn arbitrary_text_never_breaks_the_parser(line in ".{0,200}") {
        if let Err(error) = line.parse::<Command>() {
            prop_assert!(!error.to_string().is_empty());
            prop_assert!(error.place.start <= error.place.end);
        }
    }

    #[test]
    fn arbitrary_words_of_the_language_never_break_the_parser(line in arbitrary::near_miss()) {
        if let Err(error) = line.parse::<Command>() {
            prop_assert!(!error.to_string().is_empty());
        }
    }
}
