//! How soon the kernel notices that a connection has fallen silent.

use std::{
    io,
    time::Duration, //
};

use socket2::{
    SockRef,
    TcpKeepalive, //
};
use tokio::net::TcpStream;

/// A connection on which nothing came for this long is probed; the least that the system takes.
pub const IDLE: Duration = Duration::from_secs(1);
/// The time between two probes; the least that the system takes.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// A connection that leaves so many probes in a row unanswered is closed.
pub const PROBES: u32 = 1;
/// Bytes that are not acknowledged for this long close a connection: twice what a packet waits at a
/// link that counts as choked, and less than the 1.8 s after which a call for an inventory is given up.
pub const UNACKNOWLEDGED: Duration = Duration::from_secs(1);

/// Has the kernel close a connection that falls silent.
///
/// # Errors
///
/// Fails where the system takes none of the options.
pub fn watch(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(IDLE)
        .with_interval(INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
