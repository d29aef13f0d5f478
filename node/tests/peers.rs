//! Peer messages between nodes of the platform, where the settings allow them: datagrams on real sockets that
//! are lost, late, duplicated, forged, too long or of another version.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{advance_until, request, Client, PlatformNode, Worker};
use molevale::platform::peers::{decode, encode, is_newer, DATAGRAM_MAX, HEADER_LENGTH, VERSION};
use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::advance;

const STEP: Duration = Duration::from_millis(20);

/// A socket on an address that the node can bind too; the one bound last receives.
fn bind_shared() -> UdpSocket {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(AddressFamily::INET, SocketType::DGRAM, flags, None).unwrap();
    sockopt::set_socket_reuseaddr(&socket, true).unwrap();
    bind(&socket, &"127.0.0.1:0".parse::<SocketAddr>().unwrap()).unwrap();
    UdpSocket::from(socket)
}

/// A node that is the first of two, sockets on its own address and on the other node's, and a worker.
async fn first_of_two(allowed: bool) -> (PlatformNode, UdpSocket, UdpSocket, Worker) {
    let (own, other, worker) = (bind_shared(), bind_shared(), Worker::start().await);
    let mut settings = common::settings(true, 60_000_000);
    settings["Limits"]["Peers"] = allowed.into();
    settings["Siblings"] = 2.into();
    settings["Ordinal"] = 0.into();
    let at = |s: &UdpSocket| s.local_addr().unwrap().to_string();
    let node = PlatformNode::start_with_config(json!({
        "settings": settings, "known": [worker.list_entry("s-1", "in_service")],
        "peer_listen": at(&own), "peers": [at(&own), at(&other)],
    }));
    (node.await, own, other, worker)
}

fn receive(socket: &UdpSocket) -> Option<Vec<u8>> {
    let mut buffer = [0; 2048];
    let (n, _) = socket.recv_from(&mut buffer).ok()?;
    Some(buffer[..n].to_vec())
}

/// The first message that the node sends to the other one.
async fn first_message(other: &UdpSocket) -> Vec<u8> {
    let mut message = None;
    advance_until("the node sends a message", STEP, || {
        message = receive(other);
        message.is_some()
    })
    .await;
    message.unwrap()
}

#[tokio::test(start_paused = true)]
async fn only_new_datagrams_of_known_nodes_are_accepted() {
    let (node, own, other, worker) = first_of_two(true).await;
    let message = first_message(&other).await;
    assert!(message.len() <= 256 && node.counters.gossip_sent.get() >= 1);
    // Format: version, hash of the tenants, time of sending, two bytes for each tenant.
    assert_eq!((message[0], message.len()), (1, 9 + 2));
    let sent_at = |ms: u32| [&message[..5], &ms.to_be_bytes(), &message[9..]].concat();
    let own = own.local_addr().unwrap();
    let send = |from: &UdpSocket, bytes: &[u8]| assert_eq!(from.send_to(bytes, own).unwrap(), bytes.len());
    send(&other, &sent_at(100));
    advance_until("the message is accepted", STEP, || node.counters.gossip_received.get() == 1).await;
    let other_version = [&[2], &sent_at(103)[1..]].concat();
    let mut other_tenants = sent_at(104);
    other_tenants[1] ^= 1;
    send(&other, &sent_at(100)); // duplicate
    send(&other, &sent_at(99)); // late
    send(&bind_shared(), &sent_at(101)); // from an unknown node
    send(&other, &[]);
    send(&other, &sent_at(102)[..8]); // truncated
    send(&other, &other_version);
    send(&other, &other_tenants);
    send(&other, &[&sent_at(105)[..], &[0; 246]].concat()); // 257 bytes
    send(&other, &[0xff; 2000]);
    send(&other, &sent_at(106));
    advance_until("the last message is accepted", STEP, || node.counters.gossip_received.get() == 2).await;
    // The node still serves requests.
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    worker.receive_request().await.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    node.assert_nothing_open().await;
    assert_eq!(node.counters.gossip_received.get(), 2);
}

/// After a node has restarted with its clock set back, all its send times are older; it is accepted again
/// after a while.
#[tokio::test(start_paused = true)]
async fn a_node_whose_clock_was_set_back_is_accepted_again() {
    let (node, own, other, _worker) = first_of_two(true).await;
    let message = first_message(&other).await;
    let sent_at = |ms: u32| [&message[..5], &ms.to_be_bytes(), &message[9..]].concat();
    let own = own.local_addr().unwrap();
    other.send_to(&sent_at(5_000_000), own).unwrap();
    advance_until("the message is accepted", STEP, || node.counters.gossip_received.get() == 1).await;
    other.send_to(&sent_at(1_400_000), own).unwrap();
    for _ in 0..250 {
        advance(STEP).await;
        yield_now().await;
    }
    assert_eq!(node.counters.gossip_received.get(), 1, "at first it is treated as a late message");
    other.send_to(&sent_at(1_405_000), own).unwrap();
    advance_until("the message is accepted", STEP, || node.counters.gossip_received.get() == 2).await;
    other.send_to(&sent_at(1_406_000), own).unwrap();
    advance_until("later messages are accepted too", STEP, || node.counters.gossip_received.get() == 3).await;
}

/// Requests are served although the other node is dead, or sends more datagrams than are read in a second.
#[tokio::test(start_paused = true)]
async fn a_flood_of_datagrams_and_a_dead_node_delay_no_request() {
    let (node, own, other, worker) = first_of_two(true).await;
    let own = own.local_addr().unwrap();
    for _ in 0..200 {
        let _ = other.send_to(&[0xff; 100], own);
    }
    drop(other);
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    worker.receive_request().await.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    advance_until("the node keeps sending", STEP, || node.counters.gossip_sent.get() >= 3).await;
    assert_eq!(node.counters.gossip_received.get(), 0);
    node.assert_nothing_open().await;
}

/// Where the settings forbid peer messages, the node neither sends nor binds a socket.
#[tokio::test(start_paused = true)]
async fn no_datagrams_are_sent_or_read_where_the_settings_forbid_them() {
    let (node, own, other, _worker) = first_of_two(false).await;
    for _ in 0..250 {
        advance(Duration::from_millis(20)).await;
        yield_now().await;
    }
    assert_eq!((receive(&other), node.counters.gossip_sent.get()), (None, 0));
    other.send_to(b"to whoever is there", own.local_addr().unwrap()).unwrap();
    assert_eq!(receive(&own).unwrap(), b"to whoever is there", "the node has no socket there");
}

/// Guards the network against datagrams that are too long, and the decision module against foreign ones.
#[test]
fn a_datagram_holds_at_most_256_bytes_and_foreign_ones_are_not_decoded() {
    let complete = encode(7, 5, &[1; DATAGRAM_MAX - HEADER_LENGTH]).unwrap();
    assert_eq!(complete.len(), 256);
    assert_eq!(decode(7, &complete), Some((5, &[1; DATAGRAM_MAX - HEADER_LENGTH][..])));
    assert_eq!(encode(7, 5, &[1; DATAGRAM_MAX - HEADER_LENGTH + 1]), None);
    assert_eq!(decode(7, &[&complete[..], &[1]].concat()), None, "257 bytes");
    assert_eq!(decode(8, &complete), None, "other tenants");
    assert_eq!(decode(7, &[&[VERSION + 1], &complete[1..]].concat()), None, "another version");
    assert_eq!(decode(7, &complete[..HEADER_LENGTH - 1]), None, "truncated");
    assert_eq!(decode(7, &[]), None);
}

#[test]
fn an_older_or_duplicate_datagram_is_not_newer() {
    assert!(is_newer(6, 5) && is_newer(3, u32::MAX - 3), "the counter wraps around");
    assert!(!is_newer(5, 5) && !is_newer(4, 5) && !is_newer(u32::MAX - 3, 3));
}
