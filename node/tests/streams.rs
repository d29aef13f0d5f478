//! Streams of the platform frontend: message boundaries and time limits of client connections, the count of
//! bytes written to a worker, and sockets that are transferred to another process.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use molevale::platform::framing::{Framing, MessageBoundaries};
use molevale::platform::monitored_stream::{MonitoredStream, MESSAGE_TIMEOUT};
use molevale::platform::request_progress::{CountingStream, RequestProgress, SharedProgress};
use molevale::platform::socket::Socket;
use quickcheck::{Gen, QuickCheck};
use std::io;
use std::time::Duration;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

const HOUR: Duration = Duration::from_secs(3600);

/// A `QuickCheck` with a fixed seed: the same random input in every run.
fn seeded_quickcheck(size: usize, seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(size, seed))
}

/// Calls `feed` with the bytes in parts of these lengths, then with the rest, and with the offset after each
/// part.
fn in_parts(bytes: &[u8], cuts: &[u8], mut feed: impl FnMut(&[u8], usize)) {
    let mut at = 0;
    for cut in cuts.iter().map(|c| usize::from(*c)).chain([bytes.len()]) {
        let to = (at + cut).min(bytes.len());
        feed(&bytes[at..to], to);
        at = to;
    }
}

/// Guards against silent connections and unfinished heads, without limiting the idle time between requests.
#[tokio::test(start_paused = true)]
async fn a_head_is_bounded_in_time_and_an_idle_connection_is_not() {
    let (mut client, node) = duplex(1024);
    let mut stream = MonitoredStream::new(node);
    let monitor = stream.monitor();
    let start = Instant::now();
    let mut buffer = [0; 1024];
    client.write_all(b"GET /up HT").await.unwrap();
    assert!(stream.read(&mut buffer).await.is_ok());
    client.write_all(b"TP/1.1\r\n\r\n").await.unwrap();
    assert!(stream.read(&mut buffer).await.is_ok());
    monitor.request_complete();
    assert!(timeout(HOUR, stream.read(&mut buffer)).await.is_err(), "an answer may take any time");
    monitor.response_sent();
    assert!(timeout(HOUR, stream.read(&mut buffer)).await.is_err(), "idle between requests");
    client.write_all(b"G").await.unwrap();
    assert!(stream.read(&mut buffer).await.is_ok());
    let begun = Instant::now();
    assert_eq!(stream.read(&mut buffer).await.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert_eq!(begun.elapsed().as_millis(), MESSAGE_TIMEOUT.as_millis());
    let (_client, node) = duplex(1024);
    let silent = MonitoredStream::new(node).read(&mut buffer).await;
    let at = start + 2 * HOUR + 2 * MESSAGE_TIMEOUT;
    assert!(silent.is_err() && (Instant::now() - at).as_millis() <= 10, "a timer may be some ms late");
}

/// A message with framing headers of this kind and a body of this length, and the framing to detect.
fn message(kind: u8, length: u8) -> (String, Framing) {
    let (length, body) = (usize::from(length), "\r\n\r".repeat(100)[..usize::from(length)].to_string());
    let (fields, framing) = match kind % 8 {
        0 => ("Transfer-Encoding: chunked\r\n".to_string(), Framing::Chunked),
        1 => (format!("content-length: {length}\r\ntransfer-encoding:chunked\r\n"), Framing::Conflicting),
        2 => (format!("TRANSFER-ENCODING: chunked\nContent-Length:{length}\n"), Framing::Conflicting),
        3 => {
            let long = "x".repeat(200);
            return (format!("GET /up HTTP/1.1\r\nX-Long: {long}\r\n\r\n"), Framing::ContentLength);
        }
        _ => (format!("Host: x\r\nContent-Length:  {length} \r\n"), Framing::ContentLength),
    };
    (format!("POST /transfer-encoding: HTTP/1.1\r\n{fields}\r\n{body}"), framing)
}

/// Guards against request smuggling: however the bytes are split, the framing of each head is detected.
#[test]
fn framing_is_detected_however_the_bytes_are_split() {
    fn property(messages: Vec<(u8, u8)>, cuts: Vec<u8>) -> bool {
        let (mut bytes, mut want) = (Vec::new(), Vec::new());
        for (kind, length) in messages {
            let (text, framing) = message(kind, length);
            bytes.extend_from_slice(text.as_bytes());
            want.push(framing);
            if framing != Framing::ContentLength {
                break;
            }
        }
        let mut boundaries = MessageBoundaries::default();
        in_parts(&bytes, &cuts, |part, _| boundaries.read(part));
        let is_framed = want.iter().enumerate().all(|(i, f)| boundaries.framing(i as u64 + 1) == *f);
        let is_at_end = boundaries.is_tracking_finished() || boundaries.is_between_messages();
        is_framed && boundaries.head_count() == want.len() as u64 && is_at_end
    }
    seeded_quickcheck(30, 11).quickcheck(property as fn(Vec<(u8, u8)>, Vec<u8>) -> bool);
}

#[test]
fn a_request_is_complete_with_its_last_byte() {
    fn property(head: String, body: Vec<u8>, cuts: Vec<u8>) -> bool {
        let head = head.replace('\n', "\r"); // so that no head ends early
        let mut bytes = format!("{head}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(&body);
        let (mut progress, mut holds) = (RequestProgress::default(), true);
        in_parts(&bytes, &cuts, |part, to| {
            progress.record_written(part);
            holds &= progress.is_complete(body.len()) == (to == bytes.len());
        });
        holds
    }
    seeded_quickcheck(100, 7).quickcheck(property as fn(String, Vec<u8>, Vec<u8>) -> bool);
}

/// Guards a worker against receiving a request twice: the part that another process wrote is skipped, the
/// next request is written, and the worker's response is read and kept from then on.
#[tokio::test]
async fn a_request_that_another_process_wrote_is_not_written_again() {
    let (socket, mut peer) = duplex(64);
    let progress = SharedProgress::default();
    let mut stream = CountingStream::with_request_written(socket, progress.clone(), 4);
    peer.write_all(b"said").await.unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\n\r\nbo").await.unwrap();
    let mut four = [0; 4];
    let early = timeout(Duration::ZERO, stream.read_exact(&mut four)).await;
    assert!(early.is_err(), "no response is read before the request is complete");
    stream.write_all(b"dy").await.unwrap();
    stream.read_exact(&mut four).await.unwrap();
    assert_eq!((&four, progress.lock().unwrap().response_so_far().as_deref()), (b"said", Some(&b"said"[..])));
    stream.write_all(b"next").await.unwrap();
    peer.read_exact(&mut four).await.unwrap();
    assert_eq!(&four, b"next");
    progress.lock().unwrap().record_read(&[0; 16 * 1024]);
    assert_eq!(progress.lock().unwrap().response_so_far(), None, "too much to keep");
}

/// Guards data in transit while a socket is transferred: frozen, it neither reads nor writes; thawed, it
/// continues.
#[tokio::test(start_paused = true)]
async fn a_frozen_socket_neither_reads_nor_writes_and_continues_where_it_stood() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut socket = Socket::new(listener.accept().await.unwrap().0);
    let socket_handle = socket.socket_handle();
    let mut four = [0; 4];
    socket_handle.freeze();
    peer.write_all(b"ping").await.unwrap();
    assert!(timeout(HOUR, socket.read_exact(&mut four)).await.is_err());
    assert!(timeout(HOUR, socket.write_all(b"pong")).await.is_err());
    assert!(timeout(HOUR, socket.shutdown()).await.is_err());
    let reader = tokio::spawn(async move {
        socket.read_exact(&mut four).await.unwrap();
        socket.write_all(b"pong").await.unwrap();
        four
    });
    tokio::task::yield_now().await;
    socket_handle.thaw();
    assert_eq!(&reader.await.unwrap(), b"ping");
    peer.read_exact(&mut four).await.unwrap();
    assert_eq!(&four, b"pong");
}
