//! The names in `docs/OUTER-NAMES.txt` leave the process: renaming one breaks clients, operators' tools or stored data
//! without a compiler error. Each must still occur in the files that its heading names.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use std::fs;
use std::path::Path;

const LIST: &str = include_str!("../../docs/OUTER-NAMES.txt");

/// Names of one kind, and the text in which they must occur.
struct Section {
    heading: String,
    text: String,
    names: Vec<String>,
}

/// The text of a file or of all files in a folder, without comment lines.
fn read_sources(path: &Path) -> String {
    if path.is_dir() {
        let entries = fs::read_dir(path).unwrap();
        return entries.map(|entry| read_sources(&entry.unwrap().path())).collect();
    }
    let text = fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let is_code = |line: &&str| !line.trim_start().starts_with("//");
    text.lines().filter(is_code).flat_map(|line| [line, "\n"]).collect()
}

/// Parses a heading, which ends with its files and folders in parentheses.
fn parse_heading(heading: &str) -> Section {
    let (_, paths) = heading.rsplit_once('(').expect("a heading ends with its paths");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let paths = paths.trim_end_matches(')').split(", ");
    let text = paths.map(|path| read_sources(&root.join(path))).collect();
    Section { heading: heading.to_string(), text, names: Vec::new() }
}

fn parse_sections(list: &str) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for line in list.lines().filter(|line| !line.is_empty()) {
        match line.strip_prefix("# ") {
            Some(heading) => sections.push(parse_heading(heading)),
            None => sections.last_mut().expect("a heading comes first").names.push(line.to_string()),
        }
    }
    sections
}

/// Whether the text contains the word, other than as a part of a longer one.
fn contains_word(text: &str, word: &str) -> bool {
    let is_part = |c: Option<char>| c.is_some_and(|c| c.is_alphanumeric() || c == '_');
    text.match_indices(word).any(|(at, _)| {
        let after = &text[at + word.len()..];
        !is_part(text[..at].chars().next_back()) && !is_part(after.chars().next())
    })
}

/// The variant from which serde or clap derives a name: `InService` for `in_service`.
fn variant_of(name: &str) -> String {
    let capitalized = |part: &str| part[..1].to_uppercase() + &part[1..];
    name.split('_').filter(|part| !part.is_empty()).map(capitalized).collect()
}

fn occurs_in(text: &str, name: &str) -> bool {
    let is_identifier = name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    // Headers are written in lower case, or as a constant of the HTTP library.
    let header_constant = name.to_uppercase().replace('-', "_");
    contains_word(text, name)
        || (is_identifier && contains_word(text, &variant_of(name)))
        || (name.contains('-') && contains_word(text, &name.to_lowercase()))
        || (name.starts_with(char::is_uppercase) && contains_word(text, &header_constant))
}

#[test]
fn names_that_leave_the_process_keep_their_spelling() {
    let sections = parse_sections(LIST);
    assert!(sections.len() > 25, "{} sections", sections.len());
    let missing: Vec<String> = sections
        .iter()
        .flat_map(|section| section.names.iter().map(move |name| (section, name)))
        .filter(|(section, name)| !occurs_in(&section.text, name))
        .map(|(section, name)| format!("{}: {name}", section.heading))
        .collect();
    assert!(missing.is_empty(), "renamed or removed:\n{}", missing.join("\n"));
}

#[test]
fn a_missing_or_longer_name_is_detected() {
    assert!(occurs_in("InService,", "in_service"));
    assert!(occurs_in("insert(\"x-class\")", "X-Class"));
    assert!(occurs_in("headers.insert(RETRY_AFTER)", "Retry-After"));
    assert!(!occurs_in("held_back_s: u64", "held_back"));
    assert!(!occurs_in("\"forwarded\"", "sent"));
}
