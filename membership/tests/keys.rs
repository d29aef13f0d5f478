//! Key files, and message authentication with them.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::keys::Keys;

const OLD: &str = "00112233445566778899aabbccddeeff";
const NEW: &str = "ffeeddccbbaa99887766554433221100";

fn keys(text: &str) -> Keys {
    Keys::parse(text).unwrap()
}

#[test]
fn messages_verify_throughout_a_key_rotation() {
    // The new key is first configured for verification only, then for signing, then alone.
    let steps = [
        format!("current {OLD}"),
        format!("current {OLD}\nprevious {NEW} # next week's"),
        format!("previous {OLD}\ncurrent {NEW}"),
        format!("# the new one\n\ncurrent {NEW}\n"),
    ];
    let steps: Vec<Keys> = steps.iter().map(|s| keys(s)).collect();
    for pair in steps.windows(2) {
        for (from, to) in [(0, 1), (1, 0)] {
            let mut message = b"hello".to_vec();
            pair[from].sign(&mut message);
            assert_eq!(pair[to].verify(&message), Some(&b"hello"[..]));
        }
    }
    let mut message = b"hello".to_vec();
    steps[0].sign(&mut message);
    assert_eq!(steps[3].verify(&message), None);
}

#[test]
fn a_modified_or_truncated_message_does_not_verify() {
    let keys = keys(&format!("current {OLD}"));
    let mut message = b"hello".to_vec();
    keys.sign(&mut message);
    for i in 0..message.len() {
        for bit in 0..8 {
            let mut modified = message.clone();
            modified[i] ^= 1 << bit;
            assert_eq!(keys.verify(&modified), None);
        }
        assert_eq!(keys.verify(&message[..i]), None);
    }
}

#[test]
fn parse_errors_have_the_line_of_the_invalid_entry() {
    for (text, line) in [
        ("", 1),
        ("# nothing\n\n", 2),
        ("current\n", 1),
        ("current 00112233445566778899aabbccddee", 1),
        ("current 00112233445566778899aabbccddeefg", 1),
        (&format!("current {OLD}\ncurrent {NEW}"), 2),
        (&format!("current {OLD}\nnext {NEW}"), 2),
        (&format!("previous {OLD}"), 1),
    ] {
        let Err(error) = Keys::parse(text) else { panic!("{text}") };
        assert_eq!(error.line(), line, "{text}: {error}");
    }
}
