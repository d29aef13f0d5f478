//! Deserialized fleet file: unvalidated values with their positions. Fields are named after the keys in the file.

use serde::Deserialize;
use std::path::PathBuf;
use toml::Spanned;

/// Top level of the file.
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
    pub duties: Option<RawCoordination>,
}

/// Section `timing`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTiming {
    pub probe_ms: Option<Spanned<u64>>,
    pub answer_ms: Option<Spanned<u64>>,
    pub suspicion_ms: Option<Spanned<u64>>,
    pub contact_ms: Option<Spanned<u64>>,
    pub forget_s: Option<Spanned<u64>>,
}

/// Section `duties`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawCoordination {
    pub state: Option<PathBuf>,
    pub voters: Spanned<Vec<RawVoter>>,
    pub lease_ms: Option<Spanned<u64>>,
    pub election_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub lists: bool,
    #[serde(default)]
    pub roll: bool,
    #[serde(default)]
    pub errand: Vec<RawScheduledCall>,
}

/// Entry of `voters`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawVoter {
    pub name: Spanned<String>,
    pub at: Spanned<String>,
}

/// Section `errand`: a scheduled call.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawScheduledCall {
    pub name: Spanned<String>,
    pub at: Spanned<String>,
    pub path: Spanned<String>,
    pub every_ms: Option<Spanned<u64>>,
}
