//! The names in `docs/OUTER-NAMES.txt` leave the process, so renaming one breaks a client, an operator's tool or stored
//! data that the compiler does not know. Each must still stand where its heading says.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use std::fs;
use std::path::Path;

const LIST: &str = include_str!("../../docs/OUTER-NAMES.txt");

/// Names of one kind, and the text in which they must stand.
struct Section {
    heading: String,
    text: String,
    names: Vec<String>,
}

/// Text of a file, or of all files below a folder, without the comment lines of sources.
fn text_at(path: &Path) -> String {
    if path.is_dir() {
        let entries = fs::read_dir(path).unwrap();
        return entries.map(|entry| text_at(&entry.unwrap().path())).collect();
    }
    let text = fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let is_code = |line: &&str| !line.trim_start().starts_with("//");
    text.lines().filter(is_code).flat_map(|line| [line, "\n"]).collect()
}

/// A heading names its files and folders at its end, in parentheses.
fn section(heading: &str) -> Section {
    let (_, paths) = heading.rsplit_once('(').expect("a heading ends with its paths");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let paths = paths.trim_end_matches(')').split(", ");
    let text = paths.map(|path| text_at(&root.join(path))).collect();
    Section { heading: heading.to_string(), text, names: Vec::new() }
}

fn sections(list: &str) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for line in list.lines().filter(|line| !line.is_empty()) {
        match line.strip_prefix("# ") {
            Some(heading) => sections.push(section(heading)),
            None => sections.last_mut().expect("a heading comes first").names.push(line.to_string()),
        }
    }
    sections
}

/// Whether the word stands in the text, not as a part of a longer one.
fn contains_word(text: &str, word: &str) -> bool {
    let is_part = |c: Option<char>| c.is_some_and(|c| c.is_alphanumeric() || c == '_');
    text.match_indices(word).any(|(at, _)| {
        let after = &text[at + word.len()..];
        !is_part(text[..at].chars().next_back()) && !is_part(after.chars().next())
    })
}

/// The variant from which serde or clap derives a name: `in_service` comes from `InService`.
fn variant_of(name: &str) -> String {
    let capitalized = |part: &str| part[..1].to_uppercase() + &part[1..];
    name.split('_').filter(|part| !part.is_empty()).map(capitalized).collect()
}

fn stands_in(text: &str, name: &str) -> bool {
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
    let sections = sections(LIST);
    assert!(sections.len() > 25, "{} sections", sections.len());
    let missing: Vec<String> = sections
        .iter()
        .flat_map(|section| section.names.iter().map(move |name| (section, name)))
        .filter(|(section, name)| !stands_in(&section.text, name))
        .map(|(section, name)| format!("{}: {name}", section.heading))
        .collect();
    assert!(missing.is_empty(), "renamed or removed:\n{}", missing.join("\n"));
}

#[test]
fn a_missing_or_longer_name_is_noticed() {
    assert!(stands_in("InService,", "in_service"));
    assert!(stands_in("insert(\"x-class\")", "X-Class"));
    assert!(stands_in("headers.insert(RETRY_AFTER)", "Retry-After"));
    assert!(!stands_in("held_back_s: u64", "held_back"));
    assert!(!stands_in("\"forwarded\"", "sent"));
}
