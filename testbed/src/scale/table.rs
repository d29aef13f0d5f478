//! Names and number formats of the capacity page.

use super::requirement::Budget;
use super::result::{Axis, Condition, Quantity, Role};

/// Number of significant digits.
const DIGITS: i32 = 3;

/// Returns the name of a role.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Member => "member of the view",
        Role::Dispatcher => "dispatching node",
        Role::RatePublisher => "teller of rates",
        Role::ListRelay => "list holder and relay",
        Role::Voter => "voter, a duty for each zone",
        Role::Discovery => "discovery, asked by all nodes",
        Role::SharedDiscovery => "discovery, asked by one node of each zone",
    }
}

/// Returns the name of a condition.
pub fn condition_name(condition: Condition) -> &'static str {
    match condition {
        Condition::Steady => "calm",
        Condition::PhaseChange => "a node begins to drain",
        Condition::Crashes => "nodes crash",
        Condition::ZoneLost => "a zone is lost",
        Condition::ZoneReturns => "a zone returns",
        Condition::LiveWeights => "live weights renewed each second",
    }
}

/// Returns the name of a quantity.
pub fn quantity_name(quantity: Quantity) -> &'static str {
    match quantity {
        Quantity::StateBytes => "state",
        Quantity::MessagesOut => "messages out",
        Quantity::MessagesIn => "messages in",
        Quantity::BytesOut => "bytes out",
        Quantity::BytesIn => "bytes in",
        Quantity::ProcessorShare => "processor time",
        Quantity::InForceMs => "until in force everywhere",
        Quantity::FullStateBytes => "a whole state",
        Quantity::FullStatesIn => "whole states taken in",
        Quantity::FullStateBytesIn => "whole states in",
        Quantity::ListBytes => "list in",
        Quantity::ListStateBytes => "the list as read",
        Quantity::ListProcessorUs => "processor time of a list",
        Quantity::RequestProcessorUs => "processor time of a job",
        Quantity::Sends => "jobs sent",
    }
}

/// Formats a figure with its unit.
pub fn figure(quantity: Quantity, value: f64) -> String {
    match quantity {
        Quantity::StateBytes | Quantity::ListStateBytes | Quantity::FullStateBytes => bytes(value),
        Quantity::BytesOut | Quantity::BytesIn | Quantity::ListBytes | Quantity::FullStateBytesIn => {
            format!("{}/s", bytes(value))
        }
        Quantity::MessagesOut | Quantity::MessagesIn | Quantity::Sends => format!("{}/s", number(value)),
        Quantity::ProcessorShare => format!("{}%", number(value * 100.0)),
        Quantity::InForceMs => format!("{} s", number(value / 1e3)),
        Quantity::ListProcessorUs | Quantity::RequestProcessorUs => format!("{} µs", number(value)),
        Quantity::FullStatesIn => number(value),
    }
}

/// Returns the name of a budget.
pub fn budget_name(budget: Budget) -> &'static str {
    match budget {
        Budget::Processor => "processor time",
        Budget::Memory => "memory",
        Budget::TrafficOut => "bytes out",
        Budget::TrafficIn => "bytes in",
        Budget::InForce => "until in force",
        Budget::None => "no bound",
    }
}

/// Formats a sum that is compared with a budget, with its unit.
pub fn budget_value(budget: Budget, value: f64) -> String {
    match budget {
        Budget::Processor => format!("{}% of a core", number(value * 100.0)),
        Budget::Memory => bytes(value),
        Budget::TrafficOut | Budget::TrafficIn => format!("{}/s", bytes(value)),
        Budget::InForce => format!("{} s", number(value / 1e3)),
        Budget::None => number(value),
    }
}

/// Returns the name of an axis.
pub fn axis_name(axis: Axis) -> &'static str {
    match axis {
        Axis::Nodes => "nodes",
        Axis::Workers => "workers",
        Axis::Tenants => "tenants",
        Axis::Zones => "zones",
        Axis::Starts => "starts/s",
        Axis::Together => "nodes with all else at its largest",
    }
}

/// Formats a size with the name of its axis.
pub fn size(axis: Axis, size: f64) -> String {
    format!("{} {}", number(size), axis_name(axis))
}

/// Formats a number with three significant digits, and with separators from thousands on.
pub fn number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value:.0}");
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (DIGITS - 1 - magnitude).max(0) as usize;
    let unit = 10f64.powi(magnitude - DIGITS + 1);
    let rounded = if decimals > 0 { value } else { (value / unit).round() * unit };
    let text = format!("{rounded:.decimals$}");
    let text = if decimals > 0 { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    with_separators(text)
}

fn with_separators(text: &str) -> String {
    if text.contains('.') || text.len() <= DIGITS as usize {
        return text.to_string();
    }
    let mut parts: Vec<&str> =
        text.as_bytes().rchunks(3).filter_map(|c| std::str::from_utf8(c).ok()).collect();
    parts.reverse();
    parts.join(",")
}

fn bytes(value: f64) -> String {
    match value {
        v if v >= 1e6 => format!("{} MB", number(v / 1e6)),
        v if v >= 1e3 => format!("{} KB", number(v / 1e3)),
        v => format!("{} B", number(v)),
    }
}
