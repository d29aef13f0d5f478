//! Text encoding of a file that is mostly zeros: its length, then each run of other bytes with its offset.

use std::fmt::Write;

/// Number of consecutive zeros that end a run.
const ZEROS_PER_GAP: usize = 16;

/// Encodes a file as text.
pub fn compress(bytes: &[u8]) -> String {
    let mut text = format!("length {}\n", bytes.len());
    let mut offset = 0;
    while let Some(start) = bytes[offset..].iter().position(|b| *b != 0).map(|i| offset + i) {
        let rest = &bytes[start..];
        let length =
            rest.windows(ZEROS_PER_GAP).position(|w| w.iter().all(|b| *b == 0)).unwrap_or(rest.len());
        let run: String = rest[..length].iter().map(|b| format!("{b:02x}")).collect();
        let _ = writeln!(text, "{start:x} {run}"); // writing to a String cannot fail
        offset = start + length;
    }
    text
}

/// Decodes a file from its text.
pub fn restore(text: &str) -> Vec<u8> {
    let mut lines = text.lines();
    let length = lines.next().and_then(|l| l.strip_prefix("length ")).unwrap();
    let mut bytes = vec![0; length.parse().unwrap()];
    for line in lines {
        let (start, run) = line.split_once(' ').unwrap();
        let start = usize::from_str_radix(start, 16).unwrap();
        for (i, pair) in run.as_bytes().chunks(2).enumerate() {
            bytes[start + i] = u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
        }
    }
    bytes
}
