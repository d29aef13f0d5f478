//! The simulator's adapter: its frames, and the program from its input to its output.

#[path = "../src/bin/simulator-adapter/error.rs"]
#[allow(dead_code, missing_docs, reason = "the program's module; not all of it is used here")]
mod error;
#[path = "../src/bin/simulator-adapter/frame.rs"]
#[allow(dead_code, missing_docs, reason = "the program's module; not all of it is used here")]
mod frame;

use frame::{frame_len, Batch, Reply, HEADER_BYTES};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn header(len: u32, count: u32) -> [u8; HEADER_BYTES] {
    let mut h = [0; HEADER_BYTES];
    h[3] = 7;
    h[12..16].copy_from_slice(&len.to_be_bytes());
    h[16..].copy_from_slice(&count.to_be_bytes());
    h
}

#[test]
fn refuses_more_records_than_bytes() {
    assert!(Batch::parse(&header(68, 2), vec![0; 48]).is_err());
    assert!(Batch::parse(&header(68, u32::MAX), vec![0; 48]).is_err());
    assert!(frame_len(&header(19, 0)).is_err());
}

#[test]
fn refuses_data_past_the_tail() {
    let batch = Batch::parse(&header(72, 1), vec![0; 52]).unwrap();
    assert!(batch.tail(0, 4).is_ok());
    assert!(batch.tail(1, 4).is_err());
    assert!(batch.entries(0, 1).is_err());
}

#[test]
fn reply_has_header_records_and_tail() {
    let mut reply = Reply::default();
    let at = reply.push_tail(b"two servers known");
    reply.push_action(8, 5, &[&at]);
    let mut out = Vec::new();
    reply.write_frame(12, &mut out);
    assert_eq!(out.len(), 12 + 24 + 17);
    assert_eq!(&out[..12], &[0, 0, 0, 12, 0, 0, 0, 53, 0, 0, 0, 1]);
    assert_eq!(&out[12..25], &[8, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 17]);
}

fn frame(records: &[[u8; 48]], tail: &[u8]) -> Vec<u8> {
    let len = HEADER_BYTES + 48 * records.len() + tail.len();
    let mut f = vec![0, 0, 0, 1, 0, 0, 0, 0, 0, 0x80, 0x5c, 0x5a];
    f.extend((len as u32).to_be_bytes());
    f.extend((records.len() as u32).to_be_bytes());
    records.iter().for_each(|r| f.extend(r));
    f.extend(tail);
    f
}

fn record(bytes: &[u8]) -> [u8; 48] {
    let mut r = [0; 48];
    r[..bytes.len()].copy_from_slice(bytes);
    r
}

/// Runs the program on this input.
fn feed(input: &[u8]) -> Output {
    let program = env!("CARGO_BIN_EXE_simulator-adapter");
    let mut command = Command::new(program);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    child.stdin.take().expect("an input").write_all(input).expect("it reads all");
    child.wait_with_output().expect("it ends")
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let end = feed(&frame(&[], b""));
    assert!(end.status.success());
    assert_eq!(end.stdout, [0, 0, 0, 1, 0, 0, 0, 12, 0, 0, 0, 0]);
}

#[test]
fn malformed_frames_end_it_with_a_message_and_no_half_reply() {
    let unknown_code = frame(&[record(&[99, 0, 0, 0, 1])], b"");
    let unknown_instance = frame(&[record(&[0, 0, 0, 0, 1])], b"");
    let cut = &frame(&[record(&[0])], b"")[..40];
    let bad_settings =
        frame(&[record(&[10, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9])], b"x");
    for bad in [&unknown_code[..], &unknown_instance[..], cut, &bad_settings[..], &[1, 2, 3][..]] {
        let end = feed(bad);
        assert_eq!(end.status.code(), Some(2));
        let message = String::from_utf8(end.stderr).unwrap();
        assert!(message.starts_with("simulator-adapter: ") && message.lines().count() == 1, "{message}");
        assert!(end.stdout.is_empty());
    }
}

#[test]
fn a_dispatcher_sends_what_it_accepts() {
    let text = "Profiles.count=1\nProfiles.0.DeadlineUs=5000000\nProfiles.0.AimUs=100000\n\
        Profiles.0.Semantics=safe\nLimits.MaxAttempts=2\n";
    let mut hello = record(&[10, 0, 0, 0, 3]);
    hello[17..21].copy_from_slice(&(text.len() as u32).to_be_bytes());
    let mut directory = record(&[3, 0]);
    directory[2..6].copy_from_slice(&(text.len() as u32).to_be_bytes());
    directory[9] = 1;
    let news = record(&[9, 0, 0, 0, 3, 0, 0, 0, 1, 2, 0]);
    let mut accept = record(&[2, 0, 0, 0, 3, 0, 0, 0, 77]);
    accept[21..25].copy_from_slice(&5_000_000u32.to_be_bytes());
    let mut tail = text.as_bytes().to_vec();
    tail.extend([0, 0, 0, 0, 1, 0x3f, 0x80, 0, 0, 10, 18, 74, 7, 0x1f, 0x43, 0, 0, 0, 0, 0, 0, 0, 0]);
    let end = feed(&frame(&[hello, directory, news, accept], &tail));
    assert!(end.status.success(), "{end:?}");
    let sent = end.stdout[12..].chunks(24).find(|r| r[0] == 0).expect("a relay");
    assert_eq!(&sent[1..19], [0, 0, 0, 3, 0, 0, 0, 77, 10, 18, 74, 7, 0x1f, 0x43, 0, 0, 0, 0]);
}
