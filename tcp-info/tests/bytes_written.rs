//! The count covers writes through every descriptor of a socket, sent or held back by the kernel.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use tcp_info::bytes_written;

#[test]
fn writes_through_a_duplicate_are_counted_even_if_they_are_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut socket, _) = listener.accept().unwrap();
    let mut duplicate = socket.try_clone().unwrap();
    assert_eq!(bytes_written(&socket).unwrap(), 0);
    socket.write_all(b"first").unwrap();
    duplicate.write_all(b"second").unwrap();
    assert_eq!(bytes_written(&socket).unwrap(), 11);
    duplicate.set_nonblocking(true).unwrap();
    let mut total = 11;
    loop {
        match duplicate.write(&[0; 100_000]) {
            Ok(written) => total += written as u64,
            Err(e) => break assert_eq!(e.kind(), ErrorKind::WouldBlock),
        }
    }
    assert_eq!(bytes_written(&socket).unwrap(), total);
}

#[test]
fn a_descriptor_that_is_no_tcp_socket_is_an_error() {
    assert!(bytes_written(std::io::stdin()).is_err());
}
