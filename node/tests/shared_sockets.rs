//! A socket that two processes hold during a transfer: its owner's close ends the connection, the other's does not.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use molevale::platform::socket::Socket;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Two descriptors of one end of a connection, and its other end.
async fn shared_connection() -> (OwnedFd, OwnedFd, TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (socket, _) = listener.accept().unwrap();
    (socket.try_clone().unwrap().into(), socket.into(), peer)
}

/// Guards against the assumption that a dropped descriptor closes a connection: its peer saw no end while another process
/// held a duplicate.
#[tokio::test]
async fn closing_a_shared_socket_closes_it_for_all_holders() {
    let (own, _duplicate, mut peer) = shared_connection().await;
    drop(Socket::received(own, Vec::new()).unwrap());
    peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(peer.read(&mut [0; 1]).unwrap(), 0, "the peer sees the end");
}

/// A process that has given a socket up, or waits for the decision, ends nothing when it drops its descriptor.
#[tokio::test]
async fn a_socket_of_another_owner_is_dropped_without_closing_it() {
    for is_released in [false, true] {
        let (own, duplicate, mut peer) = shared_connection().await;
        let socket = Socket::received(own, Vec::new()).unwrap();
        let handle = socket.socket_handle();
        handle.freeze();
        if is_released {
            handle.release();
        }
        handle.close();
        drop((socket, handle));
        TcpStream::from(duplicate).write_all(b"x").unwrap();
        assert_eq!(peer.read(&mut [0; 2]).unwrap(), 1, "the owner can still write");
    }
}
