//! Limits on the text of this package: files that can be read at one sitting, and no container whose order is
//! random.

use std::fs;
use std::path::{Path, PathBuf};

/// Lines of a file.
const LINES_MAX: usize = 400;
/// Characters of a line.
const WIDTH_MAX: usize = 110;

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push(path);
        }
    }
}

#[test]
fn source_files_stay_short_and_free_of_random_order() {
    let mut files = Vec::new();
    sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut files);
    assert!(files.iter().any(|path| path.ends_with("src/policy.rs")), "{files:?}");
    for path in files {
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.lines().count() <= LINES_MAX, "{}: over {LINES_MAX} lines", path.display());
        let widest = text.lines().map(|line| line.chars().count()).max();
        assert!(widest <= Some(WIDTH_MAX), "{}: a line of {widest:?} characters", path.display());
        assert!(!text.contains("HashMap") && !text.contains("HashSet"), "{}", path.display());
        assert!(!text.contains("rustfmt::skip"), "{}", path.display());
    }
}
