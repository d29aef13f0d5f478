//! Errors in the fleet file.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::file::FleetFile;

const VALID: &str = "fleet = \"scp\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"fleet.key\"\n";

#[test]
fn parse_errors_have_the_line_of_the_invalid_value() {
    assert_eq!(FleetFile::parse(VALID).unwrap().advertise.port(), 7946);
    for (addition, line) in [
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
        let error = FleetFile::parse(&format!("{VALID}{addition}")).unwrap_err();
        assert_eq!(error.line(), line, "{addition}: {error}");
        assert!(!error.to_string().contains('\n'), "{error}");
    }
    assert!(FleetFile::parse("").is_err());
}
