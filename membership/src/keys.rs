//! Shared keys of a fleet, and the message authentication code (MAC) that they put on each message.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of the truncated MAC on the wire, in bytes: 128 bits.
pub const MAC_LENGTH: usize = 16;
/// Shortest key, in bytes.
const KEY_MIN: usize = 16;
/// Longest key, in bytes.
const KEY_MAX: usize = 64;

/// Current key, which seals and opens messages, and the previous one, which only opens them. Guards against an outage
/// while keys are rotated.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    current: Vec<u8>,
    previous: Option<Vec<u8>>,
}

/// Error in a key file: the line, from 1, and the reason.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct KeyError {
    line: usize,
    reason: &'static str,
}

impl KeyError {
    /// Line of the file, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl Keys {
    /// Parses a key file: lines `current HEX` and, during a rotation, `previous HEX`; `#` begins a comment.
    ///
    /// # Errors
    ///
    /// Returns the first line that is wrong, or the last one if there is no current key.
    pub fn parse(text: &str) -> Result<Keys, KeyError> {
        let (mut current, mut previous) = (None, None);
        let mut last = 1;
        for (line, words) in text.lines().enumerate().map(|(n, l)| (n + 1, l.split_whitespace())) {
            last = line;
            let error = |reason| KeyError { line, reason };
            let words: Vec<&str> = words.take_while(|w| !w.starts_with('#')).collect();
            let (name, hex) = match words.as_slice() {
                [] => continue,
                [name, hex] => (*name, *hex),
                _ => return Err(error("a name and a key are wanted")),
            };
            let slot = match name {
                "current" => &mut current,
                "previous" => &mut previous,
                _ => return Err(error("neither 'current' nor 'previous'")),
            };
            if slot.is_some() {
                return Err(error("this key was given before"));
            }
            *slot = Some(parse_hex(hex).ok_or(error("a key is 16 to 64 bytes, as hexadecimal digits"))?);
        }
        let current = current.ok_or(KeyError { line: last, reason: "there is no current key" })?;
        Ok(Keys { current, previous })
    }

    /// Appends the MAC of the current key to a message.
    pub fn sign(&self, message: &mut Vec<u8>) {
        let tag = mac(&self.current, message).finalize().into_bytes();
        message.extend_from_slice(&tag[..MAC_LENGTH]);
    }

    /// Returns the message without its MAC, or `None` if it was made with neither key. Compares in constant time.
    pub fn verify<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let (message, tag) = sealed.split_at(sealed.len().checked_sub(MAC_LENGTH)?);
        let verifies = |key: &Vec<u8>| mac(key, message).verify_truncated_left(tag).is_ok();
        (verifies(&self.current) || self.previous.as_ref().is_some_and(verifies)).then_some(message)
    }
}

fn mac(key: &[u8], message: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("an HMAC takes a key of any length");
    mac.update(message);
    mac
}

/// Decodes a key of an allowed length from hexadecimal digits.
fn parse_hex(hex: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = hex.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    let key: Vec<u8> = digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect();
    (KEY_MIN..=KEY_MAX).contains(&key.len()).then_some(key)
}
