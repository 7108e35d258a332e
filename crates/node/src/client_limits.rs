//! Reports when the limits on what clients may take act.

use std::time::Duration;

use fulmarpier_transport::crowd::{
    Crowd,
    Limit, //
};
use slog::Logger;
use tokio::time::{
    MissedTickBehavior,
    interval, //
};

use crate::telemetry::Meter;

/// The interval between reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts how often each limit on clients of a kind acted, and logs it, for as long as the process runs.
pub async fn report(clients: &'static str, crowd: Crowd, log: Logger, meter: Meter) {
    let mut reported = [0; Limit::ALL.len()];
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
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
    }
}
