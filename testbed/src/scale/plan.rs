//! The plan of a scale run: sizes, lengths, limits and the seed, from a TOML file.

use super::result::Axis;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// Nodes that the emulator has addresses for.
const NODES_MAX: u64 = 50_000;
/// Sizes of an axis at least: a fit needs them.
const SIZES_MIN: usize = 3;

/// A plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Limits of each measurement.
    pub limits: PlanLimits,
    /// What stays where it is not the axis.
    pub base: Base,
    /// The sizes of each axis.
    pub sizes: Sizes,
    /// Lengths and numbers of what is emulated.
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

/// The size of everything that does not grow on an axis.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// Nodes.
    pub nodes: Spanned<u64>,
    /// Workers.
    pub workers: Spanned<u64>,
    /// Tenants.
    pub tenants: Spanned<u64>,
    /// Zones.
    pub zones: Spanned<u64>,
    /// Task starts a second, over all nodes.
    pub starts: Spanned<f64>,
}

/// The sizes of each axis, in ascending order. An axis that is left out is not measured.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sizes {
    /// Nodes.
    pub nodes: Option<Spanned<Vec<u64>>>,
    /// Workers.
    pub workers: Option<Spanned<Vec<u64>>>,
    /// Tenants.
    pub tenants: Option<Spanned<Vec<u64>>>,
    /// Zones.
    pub zones: Option<Spanned<Vec<u64>>>,
    /// Task starts a second, over all nodes.
    pub starts: Option<Spanned<Vec<u64>>>,
    /// Nodes, with workers, tenants and zones of the largest size of their axes.
    pub together: Option<Spanned<Vec<u64>>>,
}

/// Lengths and numbers of what is emulated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Emulation {
    /// From equal views to the start of the measurement, in seconds.
    pub warm_up_s: u64,
    /// For which the calm fleet is measured, in seconds.
    #[serde(rename = "calm_s")]
    pub steady_s: Spanned<u64>,
    /// Nodes that are killed at once.
    pub crashes: Spanned<u64>,
    /// Zones of the membership machine's fleet, of which one is lost.
    pub member_zones: Spanned<u64>,
    /// Dispatchers that are measured side by side.
    pub dispatchers: Spanned<u64>,
    /// For which each dispatcher is measured, in seconds.
    pub dispatch_s: Spanned<u64>,
    /// The mean run time of a job, in seconds.
    #[serde(rename = "job_s")]
    pub run_time_s: Spanned<f64>,
    /// Nodes of all zones together, of which those of one zone pass the worker list on.
    pub list_nodes: Spanned<u64>,
}

/// Error in a plan, by its line.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct PlanError {
    /// The line, from 1 on.
    pub line: usize,
    /// What is wrong there.
    pub message: String,
}

impl Plan {
    /// Parses and validates a plan.
    ///
    /// # Errors
    /// The first part that is wrong, by its line.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError {
            line: e.span().map_or(1, |span| line_of(text, span.start)),
            message: e.message().trim().replace('\n', " "),
        })?;
        plan.check()
            .map_err(|invalid| PlanError { line: line_of(text, invalid.offset), message: invalid.message })?;
        Ok(plan)
    }

    /// The sizes of an axis; empty where the plan leaves it out.
    pub fn sizes(&self, axis: Axis) -> &[u64] {
        self.sizes.of(axis).map_or(&[], |sizes| sizes.get_ref())
    }

    /// The largest size of an axis; `base` where the plan leaves it out.
    pub fn largest(&self, axis: Axis, base: u64) -> u64 {
        self.sizes(axis).last().copied().unwrap_or(base)
    }

    /// Wall-clock time that one measurement may take.
    pub fn time_limit(&self) -> Duration {
        Duration::from_secs(*self.limits.time_s.get_ref())
    }

    /// Memory that one measurement may take, in 10^6 bytes.
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
            ensure(*value.get_ref() > 0, value.span().start, || format!("{name} must be above zero"))?;
        }
        for (name, value) in [("starts", &self.base.starts), ("job_s", &self.emulation.run_time_s)] {
            let number = *value.get_ref();
            let is_valid = number.is_finite() && number > 0.0;
            ensure(is_valid, value.span().start, || format!("{name} must be above zero"))?;
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
        ensure(largest <= NODES_MAX, offset, || format!("{NODES_MAX} nodes are allowed at most"))?;
        let lost =
            *self.emulation.crashes.get_ref() + smallest.div_ceil(*self.emulation.member_zones.get_ref());
        ensure(lost < smallest, offset, || {
            format!("of {smallest} nodes none would be left after the crashes")
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

/// An invalid value, by its place in the text.
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
    ensure(sizes.len() >= min_count, offset, || format!("{min_count} sizes at least are needed"))?;
    ensure(sizes[0] > 0, offset, || "sizes must be above zero".to_string())?;
    let is_ascending = sizes.windows(2).all(|pair| pair[0] < pair[1]);
    ensure(is_ascending, offset, || "sizes must ascend".to_string())
}

fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}
