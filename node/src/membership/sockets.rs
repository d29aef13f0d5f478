//! Sockets of the membership task, bound so that a new process of a node can take over from the old one.

use super::SYNC_STREAMS_MAX;
use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Binds a UDP socket with SO_REUSEADDR, so that a new process of this node can bind while the old one runs. From
/// then on, the kernel delivers datagrams to the new process.
pub(crate) fn bind_datagram_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::DGRAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    UdpSocket::from_std(std::net::UdpSocket::from(socket))
}

/// Listens for state synchronizations. Fails while another process of this node is listening.
pub(super) fn listen_for_streams(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(SYNC_STREAMS_MAX as u32)
}

/// Accepts a connection; never completes without a listener.
pub(super) async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}
