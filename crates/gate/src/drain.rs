//! Draining by command: the configuration lists the nodes that take no new work.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    app::App,
    phase::Phase, //
};

/// Drains the gate while operators say so; it takes work again when they take that back.
pub(crate) async fn follow(app: Arc<App>, leave: CancellationToken, notice: Duration) {
    let mut views = app.view.clone();
    loop {
        let drained = views.borrow_and_update().config.drained.nodes.clone();
        let is_drained = drained.contains(&app.settings.node);
        let phase = match (is_drained, app.phase.get()) {
            (true, Phase::Open) => {
                slog::info!(app.log, "drained by command");
                app.phase.set(Phase::Notice);
                sleep(notice).await;
                Phase::Closed
            }
            (false, Phase::Notice | Phase::Closed) => Phase::Open,
            (_, phase) => phase,
        };
        if leave.is_cancelled() {
            return;
        }
        app.phase.set(phase);
        tokio::select! {
            changed = views.changed() => if changed.is_err() { return },
            () = leave.cancelled() => return,
        }
    }
}
