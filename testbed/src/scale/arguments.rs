//! Command line of `testbed scale`.

use super::result::Axis;
use std::path::PathBuf;

/// Arguments of `testbed scale`.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Plan with sizes, seed and limits.
    #[arg(default_value = "testbed/plans/scale.toml")]
    pub plan: PathBuf,
    /// Axes to measure; all axes of the plan by default.
    #[arg(long, value_enum)]
    pub axis: Vec<Axis>,
    /// Directory of the results: a JSON file for each axis, and one chart of all.
    #[arg(long, default_value = "docs/capacity")]
    pub results: PathBuf,
    /// Write the generated part of this page, and the chart, from the saved results, without measuring.
    #[arg(long, conflicts_with_all = ["check", "axis"])]
    pub page: Option<PathBuf>,
    /// Check that the generated part of this page agrees with the saved results, without measuring.
    #[arg(long, conflicts_with = "axis")]
    pub check: Option<PathBuf>,
}
