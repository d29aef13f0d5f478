//! Parsing of Faktory commands, encoding of replies, and the password hash.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use bytes::Bytes;
use molevale::faktory::authentication::{greeting, password_hash, Challenge};
use molevale::faktory::command::{Command, CommandError, WorkerCommand};
use molevale::faktory::reply::Reply;

#[test]
fn password_is_hashed_as_often_as_the_greeting_says() {
    // SHA-256 of "abc", and of that digest, from the published test vectors' method.
    let once = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(password_hash("a", "bc", 1), once);
    let twice = "4f8b42c22dd3729b519ba6f68d2da7cc5b2d606d05daed5ad5128cc03e6c6358";
    assert_eq!(password_hash("a", "bc", 2), twice);
    let challenge = Challenge { salt: "bc".to_string(), iterations: 2 };
    assert_eq!(challenge.expected_hash("a"), twice);
    assert_eq!(greeting(Some(&challenge)).encode(), b"+HI {\"i\":2,\"s\":\"bc\",\"v\":2}\r\n");
}

#[test]
fn malformed_and_unknown_commands_are_distinguished() {
    for malformed in [
        "PUSH {",
        "PUSH {\"jid\":\"short\",\"jobtype\":\"x\",\"args\":[]}",
        "PUSH {\"jid\":\"long-enough\",\"args\":[]}",
        "PUSH {\"jid\":\"long-enough\",\"jobtype\":\"x\",\"args\":{}}",
        "ACK",
        "BEAT []",
        "HELLO 2",
    ] {
        assert!(matches!(Command::parse(malformed), Err(CommandError::Malformed(_))), "{malformed}");
    }
    for unknown in ["", "push {}", "TRACK SET {}", "FLUSH"] {
        assert!(matches!(Command::parse(unknown), Err(CommandError::Unknown(_))), "{unknown}");
    }
    let fetch = Command::parse("FETCH");
    assert!(matches!(fetch, Ok(Command::Worker(WorkerCommand::Fetch(queues))) if queues == ["default"]));
}

#[test]
fn line_break_never_splits_a_reply() {
    assert_eq!(Reply::Error("ERR", "a\r\n+OK".to_string()).encode(), b"-ERR a  +OK\r\n");
    assert_eq!(Reply::Bulk(Bytes::from_static(b"a\nb")).encode(), b"$3\r\na\nb\r\n");
}
