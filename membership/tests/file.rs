//! Errors in the configuration file.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::file::FleetFile;

const GOOD: &str = "fleet = \"scp\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"fleet.key\"\n";

#[test]
fn a_bad_file_is_told_by_its_line() {
    assert_eq!(FleetFile::parse(GOOD).unwrap().advertise.port(), 7946);
    for (more, line) in [
        ("seeds = [\"127.0.0.1:1\",\n\"nowhere\"]", 5),
        ("zome = \"koper\"", 4),
        ("zone = \"\"", 4),
        ("advertise = \"0.0.0.0:1\"", 4),
        ("[timing]\nprobe_ms = 1", 5),
        ("[timing]\nprobe_ms = 1000\n\nanswer_ms = 600", 7),
        ("[timing]\nforget_s = 10\nsuspicion_ms = 9000", 5),
        ("[timing]\nprobe = 1", 5),
        ("seeds = [", 4),
        ("[duties]\nvoters = []", 5),
        ("[duties]\nlease_ms = 5", 4),
        ("[duties]\nvoters = [{ name = \"a\", at = \"127.0.0.1:1\" },\n{ name = \"a\", at = \"127.0.0.1:2\" }]", 6),
        ("fleet = \"scp\"", 4),
    ] {
        let bad = FleetFile::parse(&format!("{GOOD}{more}")).unwrap_err();
        assert_eq!(bad.line(), line, "{more}: {bad}");
        assert!(!bad.to_string().contains('\n'), "{bad}");
    }
    assert!(FleetFile::parse("").is_err());
}
