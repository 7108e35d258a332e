//! The pages say what the code does.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use fulmarpier_protocol::query::Command;
use rstest::rstest;
use serde_json::Value;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("the page is there")
}

/// Returns the names of all fields of a document, whatever their depth.
fn fields(value: &Value) -> Vec<String> {
    match value {
        Value::Object(object) => object
            .iter()
            .flat_map(|(key, value)| [vec![key.clone()], fields(value)].concat())
            .collect(),
        Value::Array(entries) => entries.iter().flat_map(fields).collect(),
        _ => Vec::new(),
    }
}

#[test]
fn examples_of_the_grammar_are_commands() {
    let page = page("GRAMMAR.md");
    let examples = page
        .split("```examples\n")
        .nth(1)
        .expect("there are examples");
    let examples = examples.split("```").next().unwrap_or_default();
    assert!(examples.lines().count() > 10);
    for line in examples.lines() {
        if let Err(error) = line.parse::<Command>() {
            panic!("{error}");
        }
    }
}

#[rstest]
fn every_field_of_the_ready_sets_is_described(
    #[values("vidgerdarvit", "kurzeme")] set: &str,
    #[values("gate", "sched", "standin", "load", "node")] program: &str,
) {
    let page = page("SETTINGS.md").to_lowercase();
    let heading = format!("\n## {program}\n");
    let section = page
        .split(&heading)
        .nth(1)
        .expect("the program is described");
    let section = section.split("\n## ").next().unwrap_or_default();
    let file = root()
        .join("settings")
        .join(set)
        .join(format!("{program}.json"));
    let text = fs::read_to_string(file).expect("the file is there");
    let document: Value = serde_json::from_str(&text).expect("the file is JSON");
    for field in fields(&document) {
        let names = [
            format!("`{field}`"),
            format!(".{field}`"),
            format!("`{field}."),
            format!(".{field}."),
        ];
        let found = names.iter().any(|name| section.contains(name));
        assert!(found, "{field} is not described");
    }
}
