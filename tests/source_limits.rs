//! Limits on the sources of this package: the length of files and lines, and no containers with a random
//! order, which would make decisions irreproducible.

use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines in a file.
const MAX_LINES: usize = 400;
/// Maximum number of characters in a line.
const MAX_LINE_CHARS: usize = 110;

fn collect_files(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("a readable directory") {
        let path = entry.expect("a readable directory entry").path();
        if path.is_dir() {
            collect_files(&path, found);
        } else {
            found.push(path);
        }
    }
}

#[test]
fn source_files_are_short_and_use_no_randomly_ordered_containers() {
    let mut files = Vec::new();
    collect_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut files);
    assert!(files.iter().any(|path| path.ends_with("src/policy.rs")), "{files:?}");
    for path in files {
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.lines().count() <= MAX_LINES, "{}: more than {MAX_LINES} lines", path.display());
        let longest = text.lines().map(|line| line.chars().count()).max();
        assert!(longest <= Some(MAX_LINE_CHARS), "{}: a line of {longest:?} characters", path.display());
        assert!(!text.contains("HashMap") && !text.contains("HashSet"), "{}", path.display());
        assert!(!text.contains("rustfmt::skip"), "{}", path.display());
    }
}
