//! Comparison with recorded texts; `GOLDEN_RECORD` records them again.

use std::path::Path;

/// Compares a text with the recorded file of this name; panics with the first line that differs.
pub fn assert_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/node").join(name);
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        std::fs::write(&path, text).unwrap();
        return;
    }
    let recorded = std::fs::read_to_string(&path).unwrap();
    if text == recorded {
        return;
    }
    let mut lines = recorded.lines().zip(text.lines()).enumerate();
    match lines.find(|(_, (old, new))| old != new) {
        Some((n, (old, new))) => panic!("{name}, line {}:\nrecorded: {old}\nnow:      {new}", n + 1),
        None => panic!("{name}: {} bytes are recorded, now there are {}", recorded.len(), text.len()),
    }
}

/// Replaces the value of the `date` header, which varies from run to run.
pub fn mask_date(text: &str) -> String {
    let line = |l: &str| if l.starts_with("date: ") { "date: DATE\r\n".to_string() } else { l.to_string() };
    text.split_inclusive('\n').map(line).collect()
}

/// Replaces the numbers in durations as `serde` writes them, which vary from run to run.
pub fn mask_durations(text: &str) -> String {
    let mut rest = text;
    let mut out = String::new();
    while let Some((before, after)) = rest.split_once("{\"secs\":") {
        let (duration, after) = after.split_once('}').unwrap();
        let (secs, nanos) = duration.split_once(",\"nanos\":").unwrap();
        assert!(secs.parse::<u64>().is_ok() && nanos.parse::<u32>().is_ok(), "{duration}");
        out += before;
        out += "{\"secs\":S,\"nanos\":N}";
        rest = after;
    }
    out + rest
}

/// Replaces each sequence of digits by one `0`.
pub fn mask_numbers(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars() {
        match c {
            '0'..='9' if out.ends_with('0') => {}
            '0'..='9' => out.push('0'),
            _ => out.push(c),
        }
    }
    out
}
