//! Reports when the limits on what clients may take act.

use std::time::Duration;

use fulmarpier_transport::crowd::{
    Crowd,
    Limit, //
};
use slog::Logger;
use tokio::time::sleep;

use crate::telemetry::Meter;

/// The least time between two reports.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Counts how often each limit on clients of a kind acted, and logs it, for as long as the process runs.
pub async fn report(clients: &'static str, crowd: Crowd, log: Logger, meter: Meter) {
    let mut reported = [0; Limit::ALL.len()];
    loop {
        crowd.acted().await;
        for (limit, reported) in Limit::ALL.into_iter().zip(&mut reported) {
            let count = crowd.count(limit);
            let more = count - *reported;
            *reported = count;
            if more == 0 {
                continue;
            }
            meter.client_limit(clients, limit.as_str(), more);
            slog::warn!(log, "client-limit"; "clients" => clients, "limit" => limit.as_str(), "count" => more,
                "connections" => crowd.connections(), "held_bytes" => crowd.held().get());
        }
        sleep(MIN_INTERVAL).await;
    }
}
