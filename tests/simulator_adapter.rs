//! The simulator's adapter: its frame format, and the program as a whole from input to output.

#[path = "../src/bin/simulator-adapter/error.rs"]
#[allow(dead_code, missing_docs, reason = "a module of the program; only a part is used here")]
mod error;
#[path = "../src/bin/simulator-adapter/frame.rs"]
#[allow(dead_code, missing_docs, reason = "a module of the program; only a part is used here")]
mod frame;

use frame::{frame_len, Batch, Reply, HEADER_BYTES};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn header(len: u32, count: u32) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[3] = 7;
    header[12..16].copy_from_slice(&len.to_be_bytes());
    header[16..].copy_from_slice(&count.to_be_bytes());
    header
}

#[test]
fn a_frame_with_more_records_than_bytes_is_an_error() {
    assert!(Batch::parse(&header(68, 2), vec![0; 48]).is_err());
    assert!(Batch::parse(&header(68, u32::MAX), vec![0; 48]).is_err());
    assert!(frame_len(&header(19, 0)).is_err());
}

#[test]
fn data_past_the_tail_is_an_error() {
    let batch = Batch::parse(&header(72, 1), vec![0; 52]).unwrap();
    assert!(batch.tail(0, 4).is_ok());
    assert!(batch.tail(1, 4).is_err());
    assert!(batch.entries(0, 1).is_err());
}

#[test]
fn a_reply_has_a_header_records_and_a_tail() {
    let mut reply = Reply::default();
    let tail_field = reply.push_tail(b"two servers known");
    reply.push_action(8, 5, &[&tail_field]);
    let mut bytes = Vec::new();
    reply.write_frame(12, &mut bytes);
    assert_eq!(bytes.len(), 12 + 24 + 17);
    assert_eq!(&bytes[..12], &[0, 0, 0, 12, 0, 0, 0, 53, 0, 0, 0, 1]);
    assert_eq!(&bytes[12..25], &[8, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 17]);
}

fn frame(records: &[[u8; 48]], tail: &[u8]) -> Vec<u8> {
    let len = HEADER_BYTES + 48 * records.len() + tail.len();
    let mut frame = vec![0, 0, 0, 1, 0, 0, 0, 0, 0, 0x80, 0x5c, 0x5a];
    frame.extend((len as u32).to_be_bytes());
    frame.extend((records.len() as u32).to_be_bytes());
    records.iter().for_each(|record| frame.extend(record));
    frame.extend(tail);
    frame
}

fn record(bytes: &[u8]) -> [u8; 48] {
    let mut record = [0; 48];
    record[..bytes.len()].copy_from_slice(bytes);
    record
}

/// Runs the program with this input.
fn run_program(input: &[u8]) -> Output {
    let program = env!("CARGO_BIN_EXE_simulator-adapter");
    let mut command = Command::new(program);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    child
        .stdin
        .take()
        .expect("a piped standard input")
        .write_all(input)
        .expect("the program reads all input");
    child.wait_with_output().expect("the program exits")
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run_program(&frame(&[], b""));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 1, 0, 0, 0, 12, 0, 0, 0, 0]);
}

#[test]
fn a_malformed_frame_ends_the_program_with_one_message_and_no_partial_reply() {
    let unknown_code = frame(&[record(&[99, 0, 0, 0, 1])], b"");
    let unknown_instance = frame(&[record(&[0, 0, 0, 0, 1])], b"");
    let truncated = &frame(&[record(&[0])], b"")[..40];
    let bad_settings =
        frame(&[record(&[10, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9])], b"x");
    for malformed in [&unknown_code[..], &unknown_instance[..], truncated, &bad_settings[..], &[1, 2, 3][..]]
    {
        let output = run_program(malformed);
        assert_eq!(output.status.code(), Some(2));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.starts_with("simulator-adapter: ") && message.lines().count() == 1, "{message}");
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn a_dispatcher_sends_a_received_request() {
    let settings = "Profiles.count=1\nProfiles.0.DeadlineUs=5000000\nProfiles.0.AimUs=100000\n\
        Profiles.0.Semantics=safe\nLimits.MaxAttempts=2\n";
    let mut instance_started = record(&[10, 0, 0, 0, 3]);
    instance_started[17..21].copy_from_slice(&(settings.len() as u32).to_be_bytes());
    let mut list = record(&[3, 0]);
    list[2..6].copy_from_slice(&(settings.len() as u32).to_be_bytes());
    list[9] = 1;
    let list_event = record(&[9, 0, 0, 0, 3, 0, 0, 0, 1, 2, 0]);
    let mut request = record(&[2, 0, 0, 0, 3, 0, 0, 0, 77]);
    request[21..25].copy_from_slice(&5_000_000u32.to_be_bytes());
    let mut tail = settings.as_bytes().to_vec();
    tail.extend([0, 0, 0, 0, 1, 0x3f, 0x80, 0, 0, 10, 18, 74, 7, 0x1f, 0x43, 0, 0, 0, 0, 0, 0, 0, 0]);
    let output = run_program(&frame(&[instance_started, list, list_event, request], &tail));
    assert!(output.status.success(), "{output:?}");
    let sent = output.stdout[12..].chunks(24).find(|action| action[0] == 0).expect("a send action");
    assert_eq!(&sent[1..19], [0, 0, 0, 3, 0, 0, 0, 77, 10, 18, 74, 7, 0x1f, 0x43, 0, 0, 0, 0]);
}
