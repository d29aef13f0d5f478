//! The command line of `testbed scale`.

use super::result::Axis;
use std::path::PathBuf;

/// Arguments of `testbed scale`.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// The plan: sizes, seed and limits.
    #[arg(default_value = "testbed/plans/scale.toml")]
    pub plan: PathBuf,
    /// Only these axes; all of the plan's where none is named.
    #[arg(long, value_enum)]
    pub axis: Vec<Axis>,
    /// Where results are kept: a JSON file for each axis, and one chart of all.
    #[arg(long, default_value = "docs/capacity")]
    pub results: PathBuf,
    /// Measures nothing, and writes the generated part of this page, and the chart, from the kept results.
    #[arg(long, conflicts_with_all = ["check", "axis"])]
    pub page: Option<PathBuf>,
    /// Measures nothing, and fails where the generated part of this page differs from the kept results.
    #[arg(long, conflicts_with = "axis")]
    pub check: Option<PathBuf>,
}
