//! Settings: ready sets, all mistakes at once, and files that are no JSON.

use std::{
    fs,
    iter,
    path::{
        Path,
        PathBuf, //
    }, //
};

use fulmarpier_protocol::settings::{
    Error,
    Gate,
    Kind,
    Load,
    Node,
    Sched,
    Standin,
    check,
    load,
    parse, //
};
use fulmarpier_state::unit::Span;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{
    Map,
    Value, //
};

const GATE: &str = r#"{"node": "n1", "region": "reg1", "data_centre": "dc1",
    "data_centres": ["dc1"], "listen": "127.0.0.1:7301", "scheds": [{"node": "n1", "rpc_address": "127.0.0.1:7101"}],
    "operators": [{"name": "duty", "token": "0123456789abcdef"}]}"#;

fn ready(set: &str, file: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    root.join(set).join(file)
}

#[rstest]
fn ready_sets_pass_their_check(
    #[values("vidgerdarvit", "kurzeme")] set: &str,
    #[values("gate", "sched", "standin", "load", "node")] program: &str,
) {
    let kind: Kind = program.parse().expect("the program is known");
    let path = ready(set, &format!("{program}.json"));
    if let Err(error) = check(&path, kind) {
        panic!("{}: {error}", path.display());
    }
}

#[rstest]
#[case("vidgerdarvit", "16 cpu, 32GiB")]
#[case("kurzeme", "32 cpu, 64GiB")]
fn ready_sets_have_the_sizes_of_the_companies(#[case] set: &str, #[case] shape: &str) {
    let standin: Standin = load(&ready(set, "standin.json")).expect("the settings are valid");
    assert_eq!(standin.workers.shape.capacity.to_string(), shape);
    assert_eq!(standin.workers.count, 50);
    assert_eq!(standin.workers.per_rack, 8);
    assert_eq!(standin.workers.data_centres, 3);
    assert_eq!(standin.workers.shape.connections, 60);
    let load: Load = load(&ready(set, "load.json")).expect("the settings are valid");
    assert_eq!(load.request.slots, 8);
}

#[test]
fn fields_with_a_default_may_be_left_out() {
    let gate: Gate = parse(GATE).expect("the settings are valid");
    assert_eq!(gate.sync_interval, Span::from_millis(500));
    assert_eq!(gate.limits.default_deadline, Span::from_secs(10));
    assert_eq!(gate.retry.ratio, 0.1);
}

#[test]
fn every_mistake_of_a_file_is_listed_with_its_path() {
    let text = r#"{
        "node": "w1", "region": "reg1", "data_centre": 1, "rpc_listen": "localhost",
        "peers": [{"node": "n2", "rpc_address": "10.0.0.2:7101"},
                  {"node": "n2", "rpc_adress": "10.0.0.3:7101"}],
        "log_url": "https://log", "vms_url": "http://10.0.0.9:7000/",
        "shards_per_data_centre": 0, "control_threads": 2,
        "timings": {"lease": "3 parsecs", "renewal": "1s", "worker_lease": "1s"},
        "limits": {"journal_bufer": "4MiB", "waiting_jobs": -1, "kept_answer": "2MB"},
        "drain": 30, "log_level": "inof", "zzz": null
    }"#;
    let error = parse::<Sched>(text).expect_err("the settings are wrong");
    insta::assert_snapshot!(error, @r"
    node: expected an id of the form `n<number>`, found `w1`
    data_centre: expected a string, found a number
    rpc_listen: expected an IP number with a port, as in `10.0.0.1:7101`, found `localhost`
    http_listen: is missing
    peers[1].rpc_address: is missing
    peers[1].rpc_adress: is not a known field; did you mean `rpc_address`?
    log_url: expected an address as in `http://10.0.0.1:7000`, found `https://log`
    shards_per_data_centre: expected 1 to 100, found 0
    timings.lease: unknown unit `parsecs`; known are us, ms, s, m, h, d
    timings.worker_lease: must be at least twice `worker_sync` (1s)
    timings.worker_lease: must be at least `start_by` (2s)
    limits.waiting_jobs: expected a whole number of at least 0, found a number
    limits.kept_answer: unknown unit `MB`; known are B, KiB, MiB, GiB, TiB
    limits.journal_bufer: is not a known field; did you mean `journal_buffer`?
    control_threads: expected 1 to 1, found 2
    drain: expected a string, found a number
    log_level: expected `error`, `warning`, `info`, `debug` or `trace`, found `inof`; did you mean `info`?
    zzz: is not a known field
    ");
}

#[test]
fn own_node_and_repeated_peers_are_refused() {
    let text = r#"{
        "node": "n1", "region": "reg1", "data_centre": "dc1",
        "rpc_listen": "10.0.0.1:7101", "http_listen": "10.0.0.1:7201",
        "peers": [{"node": "n1", "rpc_address": "10.0.0.1:7101"},
                  {"node": "n2", "rpc_address": "10.0.0.2:7101"},
                  {"node": "n3", "rpc_address": "10.0.0.2:7101"}],
        "log_url": "http://10.0.0.9:7000", "vms_url": "http://10.0.0.9:7000"
    }"#;
    let error = parse::<Sched>(text).expect_err("the settings are wrong");
    insta::assert_snapshot!(error, @r"
    peers: `10.0.0.2:7101` stands twice
    peers: `n1` is this node itself
    ");
}

#[rstest]
#[case::cut_inside_an_object(&GATE[..120])]
#[case::cut_inside_a_string(&GATE[..GATE.len() - 5])]
#[case::empty("")]
fn truncated_file_names_its_end(#[case] text: &str) {
    let error = parse::<Gate>(text).expect_err("the settings are truncated");
    let Error::Truncated { line, column } = error else {
        panic!("expected a truncated file, found: {error}");
    };
    assert_eq!(line, text.lines().count().max(1));
    assert_eq!(column, text.lines().last().map_or(0, str::len));
}

#[rstest]
#[case::stray_comma("{\"node\": \"n1\",}", 1, "trailing comma")]
#[case::repeated_key(
    "{\"node\": \"n1\",\n\"node\": \"n2\"}",
    2,
    "the key `node` stands twice"
)]
#[case::more_behind_the_end("{} {}", 1, "trailing characters")]
fn text_that_is_no_json_names_the_place(
    #[case] text: &str,
    #[case] at: usize,
    #[case] expected: &str,
) {
    let error = parse::<Gate>(text).expect_err("the settings are no JSON");
    let Error::Json { line, message, .. } = error else {
        panic!("expected a mistake of JSON, found: {error}");
    };
    assert_eq!(line, at);
    assert_eq!(message, expected);
}

#[test]
fn document_must_be_an_object() {
    let error = parse::<Load>("[]").expect_err("the settings are wrong");
    insta::assert_snapshot!(error, @".: expected an object, found a list");
}

#[test]
fn missing_file_is_named() {
    let error = check(Path::new("no/such.json"), Kind::Gate).expect_err("there is no such file");
    assert!(matches!(error, Error::Read { ref path, .. } if path == Path::new("no/such.json")));
}

#[test]
fn unknown_program_gets_a_suggestion() {
    let error = "shced"
        .parse::<Kind>()
        .expect_err("there is no such program");
    insta::assert_snapshot!(error, @"expected `gate`, `sched`, `standin`, `load` or `node`, found `shced`; did you mean `sched`?");
}

#[test]
fn token_is_compared_whole_and_never_shown() {
    let gate: Gate = parse(GATE).expect("the settings are valid");
    assert!(gate.operator("0123456789abcdef").is_some());
    assert!(gate.operator("0123456789abcdeg").is_none());
    assert!(gate.operator("0123456789abcde").is_none());
    assert!(gate.operator("").is_none());
    assert!(!format!("{gate:?}").contains("0123456789"));
}

#[test]
fn load_needs_gates_teams_and_a_weight() {
    let text = r#"{"gates": [], "standin": "http://10.0.0.9:7000", "token": "short",
        "arrivals": "poison", "request": {"service": "Desk"},
        "mix": {"ordinary": 0, "once": 0, "batch": 0, "gang": 0}}"#;
    let error = parse::<Load>(text).expect_err("the settings are wrong");
    insta::assert_snapshot!(error, @r"
    token: a token has at least 16 visible ASCII characters and no spaces
    arrivals: expected `poisson`, `steady` or `burst`, found `poison`; did you mean `poisson`?
    mix.ordinary: at least one weight must be above zero
    request.service: a name holds only a-z, 0-9, `-`, `_` and `.`, found `D` in `Desk`
    job.teams: needs at least one entry
    gates: needs at least one entry
    ");
}

#[test]
fn gate_needs_the_data_centres_of_its_region() {
    let without = GATE.replace(r#""data_centres": ["dc1"], "#, "");
    let error = parse::<Gate>(&without).unwrap_err();
    insta::assert_snapshot!(error, @"data_centres: needs at least one entry");
    let twice = GATE.replace(r#"["dc1"]"#, r#"["dc1", "dc1"]"#);
    let error = parse::<Gate>(&twice).unwrap_err();
    insta::assert_snapshot!(error, @"data_centres: `dc1` stands twice");
}

/// Returns the pointer (RFC 6901) of every object in a document.
fn objects(value: &Value, pointer: &str) -> Vec<String> {
    match value {
        Value::Object(object) => {
            let inner = |(key, value)| objects(value, &format!("{pointer}/{key}"));
            let inner = object.iter().flat_map(inner);
            iter::once(pointer.to_owned()).chain(inner).collect()
        }
        Value::Array(entries) => {
            let inner = |(index, value)| objects(value, &format!("{pointer}/{index}"));
            entries.iter().enumerate().flat_map(inner).collect()
        }
        _ => Vec::new(),
    }
}

fn errors(document: &Value, program: &str) -> String {
    let text = document.to_string();
    let result = match program {
        "gate" => parse::<Gate>(&text).map(drop),
        "sched" => parse::<Sched>(&text).map(drop),
        "standin" => parse::<Standin>(&text).map(drop),
        "node" => parse::<Node>(&text).map(drop),
        _ => parse::<Load>(&text).map(drop),
    };
    result.expect_err("the settings are wrong").to_string()
}

#[rstest]
fn every_field_that_is_misspelt_is_refused_with_the_right_one(
    #[values("gate", "sched", "standin", "load", "node")] program: &str,
) {
    let path = ready("kurzeme", &format!("{program}.json"));
    let text = fs::read_to_string(path).expect("the ready set is there");
    let whole: Value = serde_json::from_str(&text).expect("the file is JSON");
    for pointer in objects(&whole, "") {
        let object = whole.pointer(&pointer).and_then(Value::as_object);
        for key in object.into_iter().flat_map(Map::keys) {
            let misspelt = format!("{key}s");
            if object.is_some_and(|object| object.contains_key(&misspelt)) {
                continue;
            }
            let mut document = whole.clone();
            let object = document
                .pointer_mut(&pointer)
                .and_then(Value::as_object_mut);
            let object = object.expect("the pointer leads to an object");
            let value = object.remove(key).expect("the key is there");
            object.insert(misspelt.clone(), value);
            let expected = format!("{misspelt}: is not a known field; did you mean `{key}`?");
            let errors = errors(&document, program);
            assert!(errors.contains(&expected), "{expected}\n{errors}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn arbitrary_change_of_a_file_never_breaks_the_check(
        place in any::<prop::sample::Index>(), text in ".{0,3}",
    ) {
        let path = ready("kurzeme", "sched.json");
        let mut whole: Vec<char> = fs::read_to_string(path)?.chars().collect();
        let place = place.index(whole.len());
        whole.splice(place..=place, text.chars());
        let _ = parse::<Sched>(&String::from_iter(whole));
    }
}
