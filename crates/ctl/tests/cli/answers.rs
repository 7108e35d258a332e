//! Answers, refusals and silence, with their exit codes.

use fulmarpier_ctl::Exit;
use fulmarpier_protocol::{
    http::table::{
        Cell,
        Table, //
    },
    problem::{
        self,
        Problem, //
    },
};
use fulmarpier_state::refusal::{
    Outcome,
    Reason,
    Refusal, //
};
use rstest::rstest;

use crate::{
    ctl,
    ctl_words,
    fake::Fake,
    text, //
};

const JSON: &str = "application/json";

async fn answers(table: &Table) -> Fake {
    let json = String::from_utf8(table.to_json()).expect("JSON is UTF-8");
    Fake::answer(200, JSON, &json).await
}

async fn refuses(refusal: &Refusal) -> Fake {
    let problem = Problem::from(refusal);
    let json = String::from_utf8(problem.to_json()).expect("JSON is UTF-8");
    Fake::answer(problem.status, problem::CONTENT_TYPE, &json).await
}

fn jobs() -> Table {
    Table::new(["job", "team", "tasks", "why"])
        .row([
            "01890a5d".into(),
            "manifest".into(),
            12_u32.into(),
            Cell::Empty,
        ])
        .row([
            "01890a5e".into(),
            "pāvilosta".into(),
            3_u32.into(),
            "quota\u{1b}[2J".into(),
        ])
        .note("2 of 2 jobs")
}

#[tokio::test]
async fn table_is_laid_out_and_control_characters_are_not_printed() {
    let gate = answers(&jobs()).await;
    let report = ctl(&gate.url, "show jobs where state=waiting").await;
    insta::assert_snapshot!(text(&report), @r"
    exit 0
    --- stdout
    JOB       TEAM       TASKS  WHY
    01890a5d  manifest   12     -
    01890a5e  pāvilosta  3      quota�[2J
    2 of 2 jobs
    --- stderr
    ");
}

#[tokio::test]
async fn json_is_given_whole() {
    let gate = answers(&jobs()).await;
    let report = ctl(&gate.url, "show jobs --output json").await;
    let table: Table = serde_json::from_str(&report.stdout).expect("the output is JSON");
    assert_eq!(table, jobs());
}

#[tokio::test]
async fn empty_table_says_so() {
    let gate = answers(&Table::new(["job"])).await;
    let report = ctl(&gate.url, "show jobs").await;
    insta::assert_snapshot!(text(&report), @r"
    exit 0
    --- stdout
    JOB
    (no rows)
    --- stderr
    ");
}

#[tokio::test]
async fn dry_run_sends_its_flag_and_prints_the_way_on() {
    let table = Table::new(["effect", "count"])
        .row(["evicted tasks".into(), 12_u32.into()])
        .confirm("c0ffee");
    let gate = answers(&table).await;
    let report = ctl(&gate.url, "drain worker w17 --dry-run").await;
    insta::assert_snapshot!(text(&report), @r"
    exit 0
    --- stdout
    EFFECT         COUNT
    evicted tasks  12
    To carry it out, repeat it with --confirm c0ffee
    --- stderr
    ");
    let request = gate.request().await;
    assert!(request.starts_with("POST /v1/command?dry_run=true HTTP/1.1\r\n"));
    assert!(request.contains("\r\nauthorization: Bearer 0123456789abcdef\r\n"));
    assert!(request.ends_with("\r\n\r\ndrain worker w17"));
}

#[tokio::test]
async fn confirmation_is_sent_along() {
    let gate = answers(&Table::default()).await;
    let report = ctl(&gate.url, "--confirm c0ffee drain worker w17").await;
    assert_eq!(report.exit, Exit::Success);
    let request = gate.request().await;
    assert!(request.starts_with("POST /v1/command?dry_run=false&confirm=c0ffee HTTP/1.1\r\n"));
}

#[rstest]
#[case(&["explain", "01890a5d-ac96-774b-bcce-b302099a8057"], "explain job 01890a5d-ac96-774b-bcce-b302099a8057")]
#[case(&["show", "jobs", "where", "why ~ \"two words\""], "show jobs where why ~ \"two words\"")]
#[case(&["show", "jobs", "where", "why", "~", "two words"], "show jobs where why ~ \"two words\"")]
#[case(
    &["submit", "batch", "team=a", "cpu=1", "memory=1GiB", "program=x", "arg=two words"],
    "submit batch team=a cpu=1 memory=1GiB accelerators=0 tasks=1 priority=normal idempotent=true \
     checkpoint=false spread=any program=x arg=\"two words\""
)]
#[tokio::test]
async fn words_that_the_shell_has_unquoted_are_quoted_again(
    #[case] words: &[&str],
    #[case] line: &str,
) {
    let gate = answers(&Table::default()).await;
    let words: Vec<_> = words.iter().copied().map(str::to_owned).collect();
    let report = ctl_words(&gate.url, &words).await;
    assert_eq!(report.stderr, "");
    let request = gate.request().await;
    assert!(request.ends_with(&format!("\r\n\r\n{line}")), "{request}");
}

#[tokio::test]
async fn wrong_token_is_refused_with_a_hint() {
    let refusal = Refusal::new(Reason::Unauthorized, "no operator has this token");
    let gate = refuses(&refusal).await;
    let report = ctl(&gate.url, "show jobs").await;
    insta::assert_snapshot!(text(&report), @r"
    exit 1
    --- stdout
    --- stderr
    error: The operator's token is missing or wrong (unauthorized)
      no operator has this token
    outcome: it had no effect
    hint: send Authorization: Bearer with an operator's token
    ");
}

#[rstest]
#[case(Refusal::new(Reason::Conflict, "n2 changed desk"), Exit::Refused)]
#[case(Refusal::new(Reason::Unconfirmed, "12 tasks"), Exit::Unconfirmed)]
#[case(Refusal::new(Reason::LogUnavailable, "late").outcome(Outcome::Unknown), Exit::Unknown)]
#[tokio::test]
async fn exit_code_tells_what_is_known(#[case] refusal: Refusal, #[case] expected: Exit) {
    let gate = refuses(&refusal).await;
    let report = ctl(&gate.url, "drain node n1 -o json").await;
    assert_eq!(report.exit, expected);
    let problem = Problem::parse(report.stdout.as_bytes()).expect("the output is a problem");
    assert_eq!(Refusal::from(problem), refusal);
}

#[tokio::test]
async fn answer_that_is_cut_off_leaves_a_change_unknown() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"columns\"".to_owned();
    let gate = Fake::raw(cut.clone()).await;
    let report = ctl(&gate.url, "drain node n1").await;
    assert_eq!(report.exit, Exit::Unknown);
    assert!(
        report
            .stderr
            .ends_with("outcome: it may have taken effect; `show config` tells\n")
    );
    let gate = Fake::raw(cut).await;
    let report = ctl(&gate.url, "show jobs").await;
    assert_eq!(report.exit, Exit::Unreachable);
    assert!(!report.stderr.contains("taken effect"));
}

#[tokio::test]
async fn server_that_is_no_gate_is_told_apart() {
    let gate = Fake::answer(404, "text/html", "<html>").await;
    let report = ctl(&gate.url, "show jobs").await;
    assert_eq!(report.exit, Exit::Unreachable);
    assert!(report.stderr.contains("status 404"), "{}", report.stderr);
}

#[tokio::test]
async fn next_gate_is_asked_where_no_connection_was_made() {
    let gate = answers(&Table::new(["node"])).await;
    let gates = format!("http://127.0.0.1:1,{}", gate.url);
    assert_eq!(ctl(&gates, "show nodes").await.exit, Exit::Success);
    let report = ctl("http://127.0.0.1:1", "drain node n1").await;
    insta::assert_snapshot!(text(&report), @r"
    exit 3
    --- stdout
    --- stderr
    error: no connection to http://127.0.0.1:1; nothing was sent
    ");
}
