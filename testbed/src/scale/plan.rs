//! Plan of a scale run, from a TOML file: sizes, durations, limits and the seed.

use super::result::Axis;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// Number of nodes that the emulator has addresses for.
const NODES_MAX: u64 = 50_000;
/// Minimum number of sizes of an axis; a fit needs them.
const SIZES_MIN: usize = 3;

/// Plan of a scale run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Limits of each measurement.
    pub limits: PlanLimits,
    /// Values of the parameters that are not the measured axis.
    pub base: Base,
    /// Sizes of each axis.
    pub sizes: Sizes,
    /// Durations and counts of the emulation.
    pub emulation: Emulation,
}

/// Limits of each measurement; one that exceeds them is recorded as not run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanLimits {
    /// Memory, in 10^6 bytes.
    pub memory_mb: Spanned<u64>,
    /// Wall-clock time, in seconds.
    pub time_s: Spanned<u64>,
}

/// Values of the parameters that are not the measured axis.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// Number of nodes.
    pub nodes: Spanned<u64>,
    /// Number of workers.
    pub workers: Spanned<u64>,
    /// Number of tenants.
    pub tenants: Spanned<u64>,
    /// Number of zones.
    pub zones: Spanned<u64>,
    /// Requests started per second, over all nodes.
    pub starts: Spanned<f64>,
}

/// Sizes of each axis, in ascending order. An axis without sizes is not measured.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sizes {
    /// Number of nodes.
    pub nodes: Option<Spanned<Vec<u64>>>,
    /// Number of workers.
    pub workers: Option<Spanned<Vec<u64>>>,
    /// Number of tenants.
    pub tenants: Option<Spanned<Vec<u64>>>,
    /// Number of zones.
    pub zones: Option<Spanned<Vec<u64>>>,
    /// Requests started per second, over all nodes.
    pub starts: Option<Spanned<Vec<u64>>>,
    /// Number of nodes, with the largest size of all other axes.
    pub together: Option<Spanned<Vec<u64>>>,
}

/// Durations and counts of the emulation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Emulation {
    /// Time from equal views to the start of the measurement, in seconds.
    pub warm_up_s: u64,
    /// Duration of the measurement without changes, in seconds.
    #[serde(rename = "calm_s")]
    pub steady_s: Spanned<u64>,
    /// Number of nodes that are killed at once.
    pub crashes: Spanned<u64>,
    /// Number of zones of the membership machines' fleet, of which one is lost.
    pub member_zones: Spanned<u64>,
    /// Number of dispatchers that are measured.
    pub dispatchers: Spanned<u64>,
    /// Duration of the measurement of each dispatcher, in seconds.
    pub dispatch_s: Spanned<u64>,
    /// Mean run time of a request, in seconds.
    #[serde(rename = "job_s")]
    pub run_time_s: Spanned<f64>,
    /// Number of nodes over all zones; those of one zone run the list broadcast.
    pub list_nodes: Spanned<u64>,
}

/// Error in a plan, with its line.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct PlanError {
    /// Number of the line, from 1 on.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl Plan {
    /// Parses and validates a plan.
    ///
    /// # Errors
    /// [`PlanError`] for the first invalid part, with its line.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError {
            line: e.span().map_or(1, |span| line_of(text, span.start)),
            message: e.message().trim().replace('\n', " "),
        })?;
        plan.check()
            .map_err(|invalid| PlanError { line: line_of(text, invalid.offset), message: invalid.message })?;
        Ok(plan)
    }

    /// Returns the sizes of an axis, which are empty if the plan has none.
    pub fn sizes(&self, axis: Axis) -> &[u64] {
        self.sizes.of(axis).map_or(&[], |sizes| sizes.get_ref())
    }

    /// Returns the largest size of an axis, or `base` if the plan has none.
    pub fn largest(&self, axis: Axis, base: u64) -> u64 {
        self.sizes(axis).last().copied().unwrap_or(base)
    }

    /// Returns the wall-clock time limit of one measurement.
    pub fn time_limit(&self) -> Duration {
        Duration::from_secs(*self.limits.time_s.get_ref())
    }

    /// Returns the memory limit of one measurement, in 10^6 bytes.
    pub fn memory_mb(&self) -> usize {
        *self.limits.memory_mb.get_ref() as usize
    }

    fn check(&self) -> Result<(), Invalid> {
        let positive = [
            ("memory_mb", &self.limits.memory_mb),
            ("time_s", &self.limits.time_s),
            ("nodes", &self.base.nodes),
            ("workers", &self.base.workers),
            ("tenants", &self.base.tenants),
            ("zones", &self.base.zones),
            ("calm_s", &self.emulation.steady_s),
            ("crashes", &self.emulation.crashes),
            ("member_zones", &self.emulation.member_zones),
            ("dispatchers", &self.emulation.dispatchers),
            ("dispatch_s", &self.emulation.dispatch_s),
            ("list_nodes", &self.emulation.list_nodes),
        ];
        for (name, value) in positive {
            ensure(*value.get_ref() > 0, value.span().start, || format!("{name} must be greater than zero"))?;
        }
        for (name, value) in [("starts", &self.base.starts), ("job_s", &self.emulation.run_time_s)] {
            let number = *value.get_ref();
            let is_valid = number.is_finite() && number > 0.0;
            ensure(is_valid, value.span().start, || format!("{name} must be greater than zero"))?;
        }
        for axis in AXES {
            let min_count = if axis == Axis::Together { 1 } else { SIZES_MIN };
            self.sizes.of(axis).map_or(Ok(()), |sizes| check_sizes(sizes, min_count))?;
        }
        self.check_nodes()
    }

    fn check_nodes(&self) -> Result<(), Invalid> {
        let Some(sizes) = &self.sizes.nodes else { return Ok(()) };
        let largest = sizes.get_ref().last().copied().unwrap_or(0);
        let smallest = sizes.get_ref().first().copied().unwrap_or(0);
        let offset = sizes.span().start;
        ensure(largest <= NODES_MAX, offset, || format!("at most {NODES_MAX} nodes are allowed"))?;
        let lost =
            *self.emulation.crashes.get_ref() + smallest.div_ceil(*self.emulation.member_zones.get_ref());
        ensure(lost < smallest, offset, || {
            format!("none of {smallest} nodes would be left after the crashes")
        })
    }
}

/// All axes, in the order in which they are measured.
pub const AXES: [Axis; 6] =
    [Axis::Nodes, Axis::Workers, Axis::Tenants, Axis::Zones, Axis::Starts, Axis::Together];

impl Sizes {
    fn of(&self, axis: Axis) -> Option<&Spanned<Vec<u64>>> {
        match axis {
            Axis::Nodes => self.nodes.as_ref(),
            Axis::Workers => self.workers.as_ref(),
            Axis::Tenants => self.tenants.as_ref(),
            Axis::Zones => self.zones.as_ref(),
            Axis::Starts => self.starts.as_ref(),
            Axis::Together => self.together.as_ref(),
        }
    }
}

/// Invalid value, with its offset in the text.
struct Invalid {
    offset: usize,
    message: String,
}

fn ensure(is_valid: bool, offset: usize, message: impl FnOnce() -> String) -> Result<(), Invalid> {
    if is_valid {
        Ok(())
    } else {
        Err(Invalid { offset, message: message() })
    }
}

fn check_sizes(sizes: &Spanned<Vec<u64>>, min_count: usize) -> Result<(), Invalid> {
    let (offset, sizes) = (sizes.span().start, sizes.get_ref());
    ensure(sizes.len() >= min_count, offset, || format!("at least {min_count} sizes are required"))?;
    ensure(sizes[0] > 0, offset, || "sizes must be greater than zero".to_string())?;
    let is_ascending = sizes.windows(2).all(|pair| pair[0] < pair[1]);
    ensure(is_ascending, offset, || "sizes must be in ascending order".to_string())
}

fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}
