//! Conditions on the rows of a table.

use fulmarpier_protocol::{
    http::table::{
        Cell,
        Table, //
    },
    query::{
        Command,
        Show, //
    },
};
use rstest::rstest;

fn show(line: &str) -> Show {
    match line.parse() {
        Ok(Command::Show(show)) => show,
        other => panic!("expected a question, found {other:?}"),
    }
}

fn workers() -> Table {
    Table::new([
        "worker", "free", "memory", "lease", "cpu", "leaving", "team",
    ])
    .row([
        "w9".into(),
        2_u32.into(),
        "512MiB".into(),
        "900ms".into(),
        "500m".into(),
        false.into(),
        Cell::Empty,
    ])
    .row([
        "w17".into(),
        10_u32.into(),
        "2GiB".into(),
        "3s".into(),
        "16".into(),
        true.into(),
        "desk".into(),
    ])
}

#[rstest]
#[case::number("free > 9", &["w17"])]
#[case::number_at_most("free <= 2", &["w9"])]
#[case::memory("memory < 1GiB", &["w9"])]
#[case::span("lease >= 1s", &["w17"])]
#[case::cores("cpu < 1", &["w9"])]
#[case::id_by_number("worker > w10", &["w17"])]
#[case::flag("leaving = yes", &["w17"])]
#[case::text("team ~ es", &["w17"])]
#[case::empty_is_never_equal("team = desk", &["w17"])]
#[case::empty_is_different("team != desk", &["w9"])]
#[case::all_conditions_count("free > 1 and free < 10", &["w9"])]
#[case::none("free > 10", &[])]
fn rows_are_kept_by_condition(#[case] condition: &str, #[case] expected: &[&str]) {
    let mut table = workers();
    let show = show(&format!("show workers where {condition}"));
    show.filter.apply(&mut table).expect("the field is known");
    let kept: Vec<_> = table.rows.iter().map(|row| row[0].to_string()).collect();
    assert_eq!(kept, expected);
}

#[test]
fn unknown_field_lists_the_fields_and_suggests_one() {
    let mut table = workers();
    let show = show("show workers where memroy > 1GiB");
    let error = show.filter.apply(&mut table).expect_err("a typo");
    assert_eq!(error.suggestion.as_deref(), Some("memory"));
    insta::assert_snapshot!(error, @"there is no field `memroy`; the fields are worker, free, memory, lease, cpu, leaving, team");
    assert_eq!(table, workers());
}
