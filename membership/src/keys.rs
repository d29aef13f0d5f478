//! Shared keys of a fleet, and the message authentication code (MAC) of each message.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of the MAC in bytes: HMAC-SHA-256, truncated to 128 bits.
pub const MAC_LENGTH: usize = 16;
/// Shortest key, in bytes.
const KEY_LENGTH_MIN: usize = 16;
/// Longest key, in bytes.
const KEY_LENGTH_MAX: usize = 64;

/// Current key, which signs and verifies messages, and the previous one, which only verifies. With both, nodes accept
/// each other's messages while keys are rotated.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    current: Vec<u8>,
    previous: Option<Vec<u8>>,
}

/// Error in a key file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct KeyError {
    line: usize,
    reason: &'static str,
}

impl KeyError {
    /// Line number, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl Keys {
    /// Parses a key file: lines `current HEX` and, during a rotation, `previous HEX`; `#` begins a comment.
    ///
    /// # Errors
    ///
    /// Returns the first invalid line, or the last line if there is no current key.
    pub fn parse(text: &str) -> Result<Keys, KeyError> {
        let (mut current, mut previous) = (None, None);
        let mut last_line = 1;
        for (line, words) in
            text.lines().enumerate().map(|(index, text)| (index + 1, text.split_whitespace()))
        {
            last_line = line;
            let error = |reason| KeyError { line, reason };
            let words: Vec<&str> = words.take_while(|w| !w.starts_with('#')).collect();
            let (name, hex) = match words.as_slice() {
                [] => continue,
                [name, hex] => (*name, *hex),
                _ => return Err(error("expected 'current' or 'previous', and a key")),
            };
            let key = match name {
                "current" => &mut current,
                "previous" => &mut previous,
                _ => return Err(error("expected 'current' or 'previous'")),
            };
            if key.is_some() {
                return Err(error("duplicate key name"));
            }
            *key = Some(parse_hex(hex).ok_or(error("expected a key of 16 to 64 bytes in hexadecimal"))?);
        }
        let current = current.ok_or(KeyError { line: last_line, reason: "the current key is missing" })?;
        Ok(Keys { current, previous })
    }

    /// Appends the MAC of a message, made with the current key.
    pub fn sign(&self, message: &mut Vec<u8>) {
        let tag = hmac_of(&self.current, message).finalize().into_bytes();
        message.extend_from_slice(&tag[..MAC_LENGTH]);
    }

    /// Returns the message without its MAC, or `None` if the MAC matches neither key. Compares in constant time.
    pub fn verify<'a>(&self, signed: &'a [u8]) -> Option<&'a [u8]> {
        let (message, tag) = signed.split_at(signed.len().checked_sub(MAC_LENGTH)?);
        let matches = |key: &Vec<u8>| hmac_of(key, message).verify_truncated_left(tag).is_ok();
        (matches(&self.current) || self.previous.as_ref().is_some_and(matches)).then_some(message)
    }
}

fn hmac_of(key: &[u8], message: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(message);
    mac
}

/// Decodes a key from hexadecimal digits; `None` if its length is not allowed.
fn parse_hex(hex: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = hex.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    let key: Vec<u8> = digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect();
    (KEY_LENGTH_MIN..=KEY_LENGTH_MAX).contains(&key.len()).then_some(key)
}
