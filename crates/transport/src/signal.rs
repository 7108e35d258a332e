//! The signals by which a process is asked to leave.

use std::io;

use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Which signal asked the process to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// `SIGTERM`, from a supervisor.
    Terminate,
    /// `SIGINT`, from a terminal.
    Interrupt,
}

impl Signal {
    /// Returns the signal's name, for logs.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
        }
    }
}

/// Waits for the next `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// Fails where the handlers can't be installed.
pub async fn next() -> io::Result<Signal> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(tokio::select! {
        _ = terminate.recv() => Signal::Terminate,
        _ = interrupt.recv() => Signal::Interrupt,
    })
}
