//! A file that is mostly zeros as text: its length, then each run of other bytes with its offset.

use std::fmt::Write;

/// Zeros that end a run.
const GAP: usize = 16;

/// The text of a file.
pub fn compress(bytes: &[u8]) -> String {
    let mut text = format!("length {}\n", bytes.len());
    let mut at = 0;
    while let Some(start) = bytes[at..].iter().position(|b| *b != 0).map(|i| at + i) {
        let rest = &bytes[start..];
        let length = rest.windows(GAP).position(|w| w.iter().all(|b| *b == 0)).unwrap_or(rest.len());
        let run: String = rest[..length].iter().map(|b| format!("{b:02x}")).collect();
        let _ = writeln!(text, "{start:x} {run}"); // a String takes all
        at = start + length;
    }
    text
}

/// The file that this text is of.
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
