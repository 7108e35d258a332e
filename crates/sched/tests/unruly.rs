//! Clients that don't behave, against a sched's own process.
//!
//! The sched must not end, must stay within its bounds, and must still answer. The tests check no times.

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

const HTTP: u16 = 7201;
const RPC: u16 = 7101;
/// The most that the process may hold, in megabytes: the memory for messages that arrive, and as much for itself.
const MEMORY_MB: u64 = 128;
/// The most descriptors that the process may have open: a few readers of metrics, and a thousand other processes.
const DESCRIPTORS: usize = 1_200;
/// How often a sched that starts is asked whether it lives.
const STARTS: u32 = 600;
const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Starts a sched without a log.
async fn start() -> (Process, SocketAddr) {
    let ip = next_ip();
    let address = |port| SocketAddr::new(ip, port);
    let away = format!("http://{}", address(7000));
    let settings = json!({
        "node": "n1", "region": "reg1", "data_centre": "dc1", "log_url": away, "vms_url": away,
        "rpc_listen": address(RPC).to_string(), "http_listen": address(HTTP).to_string(),
    });
    let mut process = Process::start(env!("CARGO_BIN_EXE_fulmarpier-sched"), ip, &settings);
    for _ in 0..STARTS {
        if client::get(address(HTTP), "/healthz").await.is_ok() {
            return (process, address(HTTP));
        }
        process.assert_alive();
        sleep(POLL).await;
    }
    panic!("the sched doesn't serve");
}

fn header_without_end() -> Script {
    Script {
        head: "GET /healthz HTTP/1.1\r\nA: ".to_owned(),
        piece: "a".repeat(KIB),
        pieces: 4 * KIB,
        end: "",
    }
}

fn silence() -> Script {
    Script {
        head: String::new(),
        piece: String::new(),
        pieces: 0,
        end: "",
    }
}

/// A message of one segment of 16 MiB, of which 4 MiB arrive.
fn large_message() -> Script {
    let words = u32::try_from(16 * MIB / 8).unwrap().to_le_bytes();
    Script {
        head: String::from_utf8([[0; 4], words].concat()).unwrap(),
        piece: "\0".repeat(64 * KIB),
        pieces: 64,
        end: "",
    }
}

#[rstest]
#[case::metrics_header_without_end(HTTP, header_without_end(), 700)]
#[case::metrics_silence(HTTP, silence(), 1_400)]
#[case::messages(RPC, large_message(), 100)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sched_outlives_clients(#[case] port: u16, #[case] script: Script, #[case] count: usize) {
    let _alone = ALONE.lock().await;
    let (mut sched, http) = start().await;
    let _crowd = client::crowd(SocketAddr::new(http.ip(), port), &[script], count).await;
    let (peak_kb, descriptors) = sched.settle().await;
    eprintln!("peak {peak_kb} kB, {descriptors} descriptors");
    sched.assert_alive();
    assert!(peak_kb <= MEMORY_MB * 1_000, "{peak_kb} kB at the peak");
    assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
    let answer = client::get(http, "/healthz").await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
}
