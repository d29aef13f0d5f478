//! Validation of settings.

use super::Settings;
use std::error::Error;
use std::fmt;

/// Why settings were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidSettings {
    /// No class is offered.
    NoClass,
    /// Requests may not be sent at all.
    NoAttempt,
    /// A class's deadline is zero.
    ZeroDeadline {
        /// The class's index.
        class: usize,
    },
    /// A figure of a class is negative or not finite.
    ClassFigure {
        /// The class's index.
        class: usize,
        /// The figure, in operators' words.
        figure: &'static str,
    },
    /// A figure of a tenant is negative or not finite.
    TenantFigure {
        /// The tenant's index.
        tenant: usize,
        /// The figure, in operators' words.
        figure: &'static str,
    },
    /// Another figure is negative or not finite.
    Figure {
        /// The figure, in operators' words.
        figure: &'static str,
    },
    /// The retry budget's window is zero.
    ZeroRetryWindow,
    /// The accepted ratio of late answers does not lie between 0 and 1.
    LateRatioOutOfRange,
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidSettings::NoClass => write!(f, "there must be at least one class"),
            InvalidSettings::NoAttempt => write!(f, "a request needs at least one attempt"),
            InvalidSettings::ZeroDeadline { class } => {
                write!(f, "class {class}: the deadline must be above zero")
            }
            InvalidSettings::ClassFigure { class, figure } => {
                write!(f, "class {class}: the {figure} must be finite and not negative")
            }
            InvalidSettings::TenantFigure { tenant, figure } => {
                write!(f, "tenant {tenant}: the {figure} must be finite and not negative")
            }
            InvalidSettings::Figure { figure } => {
                write!(f, "the {figure} must be finite and not negative")
            }
            InvalidSettings::ZeroRetryWindow => {
                write!(f, "the span of the ration of attempts must be above zero")
            }
            InvalidSettings::LateRatioOutOfRange => {
                write!(f, "the accepted share of misses must lie within 0 and 1")
            }
        }
    }
}

impl Error for InvalidSettings {}

fn require(condition: bool, otherwise: InvalidSettings) -> Result<(), InvalidSettings> {
    if condition {
        Ok(())
    } else {
        Err(otherwise)
    }
}

fn is_figure(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Settings {
    /// Checks that the settings can be used together.
    ///
    /// # Errors
    ///
    /// The first thing found that is wrong.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        require(self.offered_classes().next().is_some(), InvalidSettings::NoClass)?;
        require(self.max_attempts > 0, InvalidSettings::NoAttempt)?;
        self.validate_classes()?;
        self.validate_tenants()?;
        self.validate_figures(&[
            (self.cross_zone_price, "cross-zone price"),
            (self.peer_message_price, "price of telling"),
            (self.handshake_price, "price of a connection"),
            (self.origin_fetch_price, "price of a fetch"),
        ])?;
        if let Some(budget) = self.rules.retry_budget {
            self.validate_figures(&[
                (budget.min_retries, "spare attempts"),
                (budget.ratio, "ratio of further attempts"),
            ])?;
            require(budget.window_us > 0, InvalidSettings::ZeroRetryWindow)?;
        }
        self.validate_figures(&[(self.late_penalty_weight, "weight of kept promises")])?;
        let is_ratio = (0.0..=1.0).contains(&self.accepted_late_ratio);
        require(is_ratio, InvalidSettings::LateRatioOutOfRange)?;
        self.validate_figures(&[
            (self.worst_class_weight, "weight of the worst class"),
            (self.over_quota_weight, "over-share worth"),
            (self.rules.cold_capacity_ratio, "cold share"),
            (self.rules.overload_multiple, "fall multiple"),
        ])
    }

    fn validate_classes(&self) -> Result<(), InvalidSettings> {
        for (class, settings) in self.classes.iter().enumerate() {
            require(settings.deadline_us > 0, InvalidSettings::ZeroDeadline { class })?;
            let figures = [
                (settings.objective_per_work, "stretch"),
                (settings.priority_weight, "worth"),
                (settings.late_weight, "late worth"),
            ];
            for (value, figure) in figures {
                require(is_figure(value), InvalidSettings::ClassFigure { class, figure })?;
            }
        }
        Ok(())
    }

    fn validate_tenants(&self) -> Result<(), InvalidSettings> {
        for (tenant, settings) in self.tenants.iter().enumerate() {
            for (value, figure) in [(settings.quota_per_s, "quota"), (settings.share, "share")] {
                require(is_figure(value), InvalidSettings::TenantFigure { tenant, figure })?;
            }
        }
        Ok(())
    }

    fn validate_figures(&self, figures: &[(f64, &'static str)]) -> Result<(), InvalidSettings> {
        for &(value, figure) in figures {
            require(is_figure(value), InvalidSettings::Figure { figure })?;
        }
        Ok(())
    }
}
