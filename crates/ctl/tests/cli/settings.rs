//! The check of settings files.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use fulmarpier_ctl::Exit;

use crate::{
    ctl,
    text, //
};

const GATE: &str = "http://127.0.0.1:1";

fn ready(file: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    root.join("kurzeme").join(file)
}

/// Checks a text as the settings of a gate and leaves the directory out of the report.
async fn check(name: &str, content: &str) -> String {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = directory.join(name);
    fs::write(&file, content).expect("the directory for tests can be written");
    let report = ctl(GATE, &format!("check {} --kind gate", file.display())).await;
    assert_eq!(report.exit, Exit::Invalid);
    text(&report).replace(&directory.display().to_string(), "DIR")
}

#[tokio::test]
async fn valid_file_is_said_to_be_valid() {
    let file = ready("sched.json");
    let report = ctl(GATE, &format!("check {}", file.display())).await;
    assert_eq!(report.exit, Exit::Success);
    assert!(report.stdout.ends_with("sched.json: valid\n"));
}

#[tokio::test]
async fn truncated_file_names_its_end() {
    let whole = fs::read_to_string(ready("gate.json")).expect("the ready set is there");
    let report = check("truncated.json", &whole[..200]).await;
    insta::assert_snapshot!(report, @r"
    exit 4
    --- stdout
    --- stderr
    error: DIR/truncated.json is not valid
      line 10, column 16: the file ends too early; is it truncated?
    ");
}

#[tokio::test]
async fn every_mistake_is_listed() {
    let report = check(
        "mistakes.json",
        r#"{"node": "n1", "listen": "10.0.0.1:80"}"#,
    )
    .await;
    insta::assert_snapshot!(report, @r"
    exit 4
    --- stdout
    --- stderr
    error: DIR/mistakes.json is not valid
      region: is missing
      data_centre: is missing
      data_centres: needs at least one entry
      scheds: needs at least one entry
    ");
}

#[tokio::test]
async fn name_of_the_file_has_to_say_the_program() {
    let report = ctl(GATE, "check settings.json").await;
    assert_eq!(report.exit, Exit::Usage);
    assert!(report.stderr.contains("--kind"));
    let report = ctl(GATE, "check no/such/gate.json").await;
    assert_eq!(report.exit, Exit::Invalid);
    assert!(report.stderr.contains("no/such/gate.json"));
}
