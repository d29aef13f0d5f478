//! The platform's own messages between nodes, where its settings allow them: datagrams on real sockets, which are lost,
//! late, doubled, forged, too long or of another version.
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

/// Where the node is to bind too: the newer of the two hears.
fn place() -> UdpSocket {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(AddressFamily::INET, SocketType::DGRAM, flags, None).unwrap();
    sockopt::set_socket_reuseaddr(&socket, true).unwrap();
    bind(&socket, &"127.0.0.1:0".parse::<SocketAddr>().unwrap()).unwrap();
    UdpSocket::from(socket)
}

/// A node that is the first of two, with a worker; the other one's socket.
async fn first_of_two(allowed: bool) -> (PlatformNode, UdpSocket, UdpSocket, Worker) {
    let (own, other, worker) = (place(), place(), Worker::start().await);
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

fn take(socket: &UdpSocket) -> Option<Vec<u8>> {
    let mut buffer = [0; 2048];
    let (n, _) = socket.recv_from(&mut buffer).ok()?;
    Some(buffer[..n].to_vec())
}

/// What the node tells the other one first.
async fn first_told(other: &UdpSocket) -> Vec<u8> {
    let mut told = None;
    advance_until("it tells", STEP, || {
        told = take(other);
        told.is_some()
    })
    .await;
    told.unwrap()
}

#[tokio::test(start_paused = true)]
async fn only_new_datagrams_of_known_nodes_are_accepted() {
    let (node, own, other, worker) = first_of_two(true).await;
    let told = first_told(&other).await;
    assert!(told.len() <= 256 && node.counters.gossip_sent.get() >= 1);
    // The form: its version, who the tenants are, when it was sent, two bytes for each tenant.
    assert_eq!((told[0], told.len()), (1, 9 + 2));
    let sent_at = |ms: u32| [&told[..5], &ms.to_be_bytes(), &told[9..]].concat();
    let own = own.local_addr().unwrap();
    let say = |from: &UdpSocket, bytes: &[u8]| assert_eq!(from.send_to(bytes, own).unwrap(), bytes.len());
    say(&other, &sent_at(100));
    advance_until("it counts", STEP, || node.counters.gossip_received.get() == 1).await;
    let other_version = [&[2], &sent_at(103)[1..]].concat();
    let mut other_tenants = sent_at(104);
    other_tenants[1] ^= 1;
    say(&other, &sent_at(100)); // doubled
    say(&other, &sent_at(99)); // late
    say(&place(), &sent_at(101)); // of nobody known
    say(&other, &[]);
    say(&other, &sent_at(102)[..8]); // cut off
    say(&other, &other_version);
    say(&other, &other_tenants);
    say(&other, &[&sent_at(105)[..], &[0; 246]].concat()); // 257 bytes
    say(&other, &[0xff; 2000]);
    say(&other, &sent_at(106));
    advance_until("the last one counts", STEP, || node.counters.gossip_received.get() == 2).await;
    // And all the while it serves.
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    worker.receive_request().await.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    node.assert_nothing_open().await;
    assert_eq!(node.counters.gossip_received.get(), 2);
}

/// A node whose clock was set back, and which has started anew, is heard again after a while: its times are all older.
#[tokio::test(start_paused = true)]
async fn a_node_whose_clock_was_set_back_is_accepted_again() {
    let (node, own, other, _worker) = first_of_two(true).await;
    let told = first_told(&other).await;
    let sent_at = |ms: u32| [&told[..5], &ms.to_be_bytes(), &told[9..]].concat();
    let own = own.local_addr().unwrap();
    other.send_to(&sent_at(5_000_000), own).unwrap();
    advance_until("it counts", STEP, || node.counters.gossip_received.get() == 1).await;
    other.send_to(&sent_at(1_400_000), own).unwrap();
    for _ in 0..250 {
        advance(STEP).await;
        yield_now().await;
    }
    assert_eq!(node.counters.gossip_received.get(), 1, "at once, it is one that came late");
    other.send_to(&sent_at(1_405_000), own).unwrap();
    advance_until("it counts", STEP, || node.counters.gossip_received.get() == 2).await;
    other.send_to(&sent_at(1_406_000), own).unwrap();
    advance_until("and so does what follows", STEP, || node.counters.gossip_received.get() == 3).await;
}

/// Nobody there, or more than is read in a second: jobs go on.
#[tokio::test(start_paused = true)]
async fn a_flood_of_datagrams_and_a_dead_node_hold_no_job_up() {
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
    advance_until("it goes on telling", STEP, || node.counters.gossip_sent.get() >= 3).await;
    assert_eq!(node.counters.gossip_received.get(), 0);
    node.assert_nothing_open().await;
}

/// Where the settings bar it, nothing is said, and nothing is listened for.
#[tokio::test(start_paused = true)]
async fn no_datagrams_are_sent_or_read_where_the_settings_forbid_them() {
    let (node, own, other, _worker) = first_of_two(false).await;
    for _ in 0..250 {
        advance(Duration::from_millis(20)).await;
        yield_now().await;
    }
    assert_eq!((take(&other), node.counters.gossip_sent.get()), (None, 0));
    other.send_to(b"to whoever is there", own.local_addr().unwrap()).unwrap();
    assert_eq!(take(&own).unwrap(), b"to whoever is there", "the node has no socket there");
}

/// Protects the run from a datagram that is too long, and the decision module from what is none of ours.
#[test]
fn a_datagram_holds_256_bytes_and_only_ours_are_decoded() {
    let complete = encode(7, 5, &[1; DATAGRAM_MAX - HEADER_LENGTH]).unwrap();
    assert_eq!(complete.len(), 256);
    assert_eq!(decode(7, &complete), Some((5, &[1; DATAGRAM_MAX - HEADER_LENGTH][..])));
    assert_eq!(encode(7, 5, &[1; DATAGRAM_MAX - HEADER_LENGTH + 1]), None);
    assert_eq!(decode(7, &[&complete[..], &[1]].concat()), None, "257 bytes");
    assert_eq!(decode(8, &complete), None, "other tenants");
    assert_eq!(decode(7, &[&[VERSION + 1], &complete[1..]].concat()), None, "another version");
    assert_eq!(decode(7, &complete[..HEADER_LENGTH - 1]), None, "cut off");
    assert_eq!(decode(7, &[]), None);
}

#[test]
fn a_datagram_that_is_old_or_came_twice_is_not_newer() {
    assert!(is_newer(6, 5) && is_newer(3, u32::MAX - 3), "the count wraps around");
    assert!(!is_newer(5, 5) && !is_newer(4, 5) && !is_newer(u32::MAX - 3, 3));
}
