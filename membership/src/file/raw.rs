//! The file as deserialized: values with their positions, not yet validated. Names follow the keys of the file.

use serde::Deserialize;
use std::path::PathBuf;
use toml::Spanned;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawFile {
    pub fleet: Spanned<String>,
    pub listen: Spanned<String>,
    pub advertise: Option<Spanned<String>>,
    #[serde(default)]
    pub zone: Option<Spanned<String>>,
    pub key_file: PathBuf,
    #[serde(default)]
    pub seeds: Vec<Spanned<String>>,
    #[serde(default)]
    pub timing: RawTiming,
    pub duties: Option<RawDuties>,
}

/// The section `timing`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTiming {
    pub probe_ms: Option<Spanned<u64>>,
    pub answer_ms: Option<Spanned<u64>>,
    pub suspicion_ms: Option<Spanned<u64>>,
    pub contact_ms: Option<Spanned<u64>>,
    pub forget_s: Option<Spanned<u64>>,
}

/// The section `duties`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawDuties {
    pub state: Option<PathBuf>,
    pub voters: Spanned<Vec<RawVoter>>,
    pub lease_ms: Option<Spanned<u64>>,
    pub election_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub lists: bool,
    #[serde(default)]
    pub roll: bool,
    #[serde(default)]
    pub errand: Vec<RawErrand>,
}

/// An entry of `voters`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawVoter {
    pub name: Spanned<String>,
    pub at: Spanned<String>,
}

/// A section `errand`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawErrand {
    pub name: Spanned<String>,
    pub at: Spanned<String>,
    pub path: Spanned<String>,
    pub every_ms: Option<Spanned<u64>>,
}
