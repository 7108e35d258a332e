//! Callers that don't behave, against a gate's own process.
//!
//! The gate must not end, must stay within the limits of its settings, and must still answer. The tests check no times.

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::json;
use tokio::{
    sync::Mutex,
    time::sleep, //
};

#[path = "../../../platform/tests/unruly/client.rs"]
mod client;
#[path = "../../../platform/tests/unruly/process.rs"]
mod process;

use client::Script;
use process::{
    POLL,
    Process,
    next_ip, //
};

/// One crowd at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// The memory for what callers send, in the settings.
const CLIENT_MEMORY_MB: u64 = 16;
/// The most that the process may hold, in megabytes: what callers send and what their connections take, as much again
/// for the room that it takes beside the bytes, and 32 for a gate itself.
const MEMORY_MB: u64 = 2 * CLIENT_MEMORY_MB + 32;
/// The connections of callers in the settings.
const CONNECTIONS: usize = 64;
/// The most descriptors that the process may have open: those of callers, and as many for itself.
const DESCRIPTORS: usize = 2 * CONNECTIONS;
/// How often a gate that starts is asked whether it lives.
const STARTS: u32 = 600;
const KIB: usize = 1 << 10;

async fn start() -> (Process, SocketAddr) {
    let ip = next_ip();
    let listen = SocketAddr::new(ip, 7301);
    let settings = json!({
        "node": "n1", "region": "reg1", "data_centre": "dc1", "data_centres": ["dc1"],
        "listen": listen.to_string(),
        "scheds": [{"node": "n1", "rpc_address": SocketAddr::new(ip, 7101).to_string()}],
        "limits": {"connections": CONNECTIONS, "memory": format!("{CLIENT_MEMORY_MB}MiB")},
    });
    let mut process = Process::start(env!("CARGO_BIN_EXE_fulmarpier-gate"), ip, &settings);
    for _ in 0..STARTS {
        if client::get(listen, "/healthz").await.is_ok() {
            return (process, listen);
        }
        process.assert_alive();
        sleep(POLL).await;
    }
    panic!("the gate doesn't serve");
}

fn endless(head: &str, piece: &str) -> Script {
    Script {
        head: head.to_owned(),
        piece: piece.repeat(KIB),
        pieces: if piece.is_empty() {
            0
        } else {
            4 * KIB / piece.len()
        },
        end: "",
    }
}

/// A declaration of a job that stops before its end.
fn body() -> Script {
    Script {
        head: "POST /v1/jobs HTTP/1.1\r\nHost: g\r\nContent-Length: 262143\r\n\r\n".to_owned(),
        piece: " ".repeat(KIB),
        pieces: 255,
        end: "",
    }
}

#[rstest]
#[case::header_without_end(endless("GET /healthz HTTP/1.1\r\nA: ", "a"), 400)]
#[case::empty_lines(endless("", "\r\n"), 400)]
#[case::bodies(body(), 300)]
#[case::silence(endless("", ""), 400)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gate_outlives_callers(#[case] script: Script, #[case] count: usize) {
    let _alone = ALONE.lock().await;
    let (mut gate, address) = start().await;
    let _crowd = client::crowd(address, &[script], count).await;
    let (peak_kb, descriptors) = gate.settle().await;
    eprintln!("peak {peak_kb} kB, {descriptors} descriptors");
    gate.assert_alive();
    assert!(peak_kb <= MEMORY_MB * 1_000, "{peak_kb} kB at the peak");
    assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
    let answer = client::get(address, "/healthz").await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
