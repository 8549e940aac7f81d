//! Listening sockets whose connections have small buffers.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Receive buffer of a connection, bytes. Bytes that wait there unread count as memory of the host, and the
/// kernel would let them grow to megabytes. [`memory::CONNECTION_BYTES`] contains them.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at an address for connections with small receive buffers.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket_for(addr)?;
    // As the runtime's own listeners: a host that starts again gets its port at once.
    socket.set_reuseaddr(true)?;
    // A system that refuses the size keeps its own.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// A socket of the address's family.
pub(crate) fn socket_for(addr: SocketAddr) -> io::Result<TcpSocket> {
    match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
}
