//! What gates and scheds say to each other, from the gates' metrics.

use fulmarpier_protocol::settings::value::Url;
use reqwest::Client;

/// The gauge of the bytes that a gate and the scheds exchanged so far.
const GAUGE: &str = "fulmarpier_gate_control_bytes ";

/// Returns the bytes of control traffic over all gates; a gate that can't be asked counts none.
pub(crate) async fn bytes(http: &Client, gates: &[Url]) -> u64 {
    let mut sum = 0;
    for gate in gates {
        sum += of_gate(http, gate).await.unwrap_or(0);
    }
    sum
}

async fn of_gate(http: &Client, gate: &Url) -> Option<u64> {
    let response = http.get(gate.join("/metrics")).send().await.ok()?;
    parse(&response.text().await.ok()?)
}

/// Returns the value of the gauge in Prometheus text.
fn parse(text: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix(GAUGE))?;
    value.trim().parse().ok()
}
