//! The key that all nodes of a fleet share, and the seal that it puts on each message.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Of the MAC's 32 bytes, as many as go along: 128 bits.
pub const TAG: usize = 16;
/// The shortest key, in bytes.
const KEY_MIN: usize = 16;
/// The longest key, in bytes.
const KEY_MAX: usize = 64;

/// The key that seals, and the one before it, which still opens: keys change without a moment in which nodes can't
/// talk.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    current: Vec<u8>,
    previous: Option<Vec<u8>>,
}

/// Why a key file was not taken: the line, from 1 on, and what is wrong there.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {what}")]
pub struct BadKeys {
    line: usize,
    what: &'static str,
}

impl Keys {
    /// Reads a key file: lines `current HEX` and, at a change of keys, `previous HEX`; `#` begins a comment.
    pub fn parse(text: &str) -> Result<Keys, BadKeys> {
        let (mut current, mut previous) = (None, None);
        let mut last = 1;
        for (line, words) in text.lines().enumerate().map(|(n, l)| (n + 1, l.split_whitespace())) {
            last = line;
            let bad = |what| BadKeys { line, what };
            let words: Vec<&str> = words.take_while(|w| !w.starts_with('#')).collect();
            let (name, hex) = match words.as_slice() {
                [] => continue,
                [name, hex] => (*name, *hex),
                _ => return Err(bad("a name and a key are wanted")),
            };
            let place = match name {
                "current" => &mut current,
                "previous" => &mut previous,
                _ => return Err(bad("neither 'current' nor 'previous'")),
            };
            if place.is_some() {
                return Err(bad("this key was given before"));
            }
            *place = Some(bytes(hex).ok_or(bad("a key is 16 to 64 bytes, as hexadecimal digits"))?);
        }
        let current = current.ok_or(BadKeys { line: last, what: "there is no current key" })?;
        Ok(Keys { current, previous })
    }

    /// Adds the seal behind a message.
    pub fn seal(&self, message: &mut Vec<u8>) {
        let tag = mac(&self.current, message).finalize().into_bytes();
        message.extend_from_slice(&tag[..TAG]);
    }

    /// The message without its seal, if one of the keys made it. Takes the same time for every wrong one.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let (message, tag) = sealed.split_at(sealed.len().checked_sub(TAG)?);
        let fits = |key: &Vec<u8>| mac(key, message).verify_truncated_left(tag).is_ok();
        (fits(&self.current) || self.previous.as_ref().is_some_and(fits)).then_some(message)
    }
}

fn mac(key: &[u8], message: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("an HMAC takes a key of any length");
    mac.update(message);
    mac
}

fn bytes(hex: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = hex.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    let key: Vec<u8> = digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect();
    (KEY_MIN..=KEY_MAX).contains(&key.len()).then_some(key)
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: &str = "00112233445566778899aabbccddeeff";
    const NEW: &str = "ffeeddccbbaa99887766554433221100";

    fn keys(text: &str) -> Keys {
        Keys::parse(text).unwrap()
    }

    #[test]
    fn a_change_of_keys_leaves_no_moment_without_talk() {
        // Told first as one that opens only, then as the one that seals, then alone.
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
                pair[from].seal(&mut message);
                assert_eq!(pair[to].open(&message), Some(&b"hello"[..]));
            }
        }
        let mut message = b"hello".to_vec();
        steps[0].seal(&mut message);
        assert_eq!(steps[3].open(&message), None);
    }

    #[test]
    fn what_was_changed_on_the_way_does_not_open() {
        let keys = keys(&format!("current {OLD}"));
        let mut message = b"hello".to_vec();
        keys.seal(&mut message);
        for i in 0..message.len() {
            for bit in 0..8 {
                let mut bad = message.clone();
                bad[i] ^= 1 << bit;
                assert_eq!(keys.open(&bad), None);
            }
            assert_eq!(keys.open(&message[..i]), None);
        }
    }

    #[test]
    fn a_bad_key_file_is_told_by_its_line() {
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
            let Err(bad) = Keys::parse(text) else { panic!("{text}") };
            assert_eq!(bad.line, line, "{text}: {bad}");
        }
    }
}
