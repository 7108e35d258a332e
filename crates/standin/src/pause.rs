//! Waiting for a span that may be zero.

use std::time::Duration;

use tokio::time::sleep;

/// Waits for a span; unlike the runtime's sleep, a span of zero takes no timer tick.
pub(crate) async fn pause(span: Duration) {
    if !span.is_zero() {
        sleep(span).await;
    }
}
