//! Validation of settings.

use super::Settings;
use std::error::Error;
use std::fmt;

/// Why settings were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidSettings {
    /// No class is offered.
    NoClass,
    /// The maximum number of attempts is zero.
    NoAttempt,
    /// A class's deadline is zero.
    ZeroDeadline {
        /// The class's index.
        class: usize,
    },
    /// A setting of a class is negative or not finite.
    ClassSetting {
        /// The class's index.
        class: usize,
        /// The setting's key in the configuration.
        key: &'static str,
    },
    /// A setting of a tenant is negative or not finite.
    TenantSetting {
        /// The tenant's index.
        tenant: usize,
        /// The setting's key in the configuration.
        key: &'static str,
    },
    /// Another setting is negative or not finite.
    Setting {
        /// The setting's key in the configuration.
        key: &'static str,
    },
    /// The retry budget's window is zero.
    ZeroRetryWindow,
    /// The accepted ratio of late answers is not between 0 and 1.
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
            InvalidSettings::ClassSetting { class, key } => {
                write!(f, "class {class}: {key} must be finite and not negative")
            }
            InvalidSettings::TenantSetting { tenant, key } => {
                write!(f, "tenant {tenant}: {key} must be finite and not negative")
            }
            InvalidSettings::Setting { key } => {
                write!(f, "{key} must be finite and not negative")
            }
            InvalidSettings::ZeroRetryWindow => {
                write!(f, "the window of the retry budget (Invariants.RatioSpanUs) must be above zero")
            }
            InvalidSettings::LateRatioOutOfRange => {
                write!(f, "the accepted ratio of late answers (Goal.TailSlack) must be between 0 and 1")
            }
        }
    }
}

impl Error for InvalidSettings {}

fn require(condition: bool, error: InvalidSettings) -> Result<(), InvalidSettings> {
    if condition {
        Ok(())
    } else {
        Err(error)
    }
}

fn is_finite_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Settings {
    /// Checks that the settings are valid and consistent.
    ///
    /// # Errors
    ///
    /// The first error found.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        require(self.offered_classes().next().is_some(), InvalidSettings::NoClass)?;
        require(self.max_attempts > 0, InvalidSettings::NoAttempt)?;
        self.validate_classes()?;
        self.validate_tenants()?;
        self.validate_non_negative(&[
            (self.cross_zone_price, "Prices.CrossZone"),
            (self.peer_message_price, "Prices.Peer"),
            (self.handshake_price, "Prices.Handshake"),
            (self.origin_fetch_price, "Prices.Origin"),
        ])?;
        if let Some(budget) = self.rules.retry_budget {
            self.validate_non_negative(&[
                (budget.min_retries, "Invariants.SpareAttempts"),
                (budget.ratio, "Invariants.ExtraRatio"),
            ])?;
            require(budget.window_us > 0, InvalidSettings::ZeroRetryWindow)?;
        }
        self.validate_non_negative(&[(self.late_penalty_weight, "Goal.KeptPromises")])?;
        let is_ratio = (0.0..=1.0).contains(&self.accepted_late_ratio);
        require(is_ratio, InvalidSettings::LateRatioOutOfRange)?;
        self.validate_non_negative(&[
            (self.worst_class_weight, "Goal.WorstClass"),
            (self.over_quota_weight, "OverShareWorth"),
            (self.rules.cold_capacity_ratio, "Invariants.ColdShare"),
            (self.rules.overload_multiple, "Invariants.FallMultiple"),
        ])
    }

    fn validate_classes(&self) -> Result<(), InvalidSettings> {
        for (class, settings) in self.classes.iter().enumerate() {
            require(settings.deadline_us > 0, InvalidSettings::ZeroDeadline { class })?;
            let settings_by_key = [
                (settings.objective_per_work, "AimStretch or ClassStretch"),
                (settings.priority_weight, "Worth"),
                (settings.late_weight, "LateWorth"),
            ];
            for (value, key) in settings_by_key {
                require(is_finite_non_negative(value), InvalidSettings::ClassSetting { class, key })?;
            }
        }
        Ok(())
    }

    fn validate_tenants(&self) -> Result<(), InvalidSettings> {
        for (tenant, settings) in self.tenants.iter().enumerate() {
            for (value, key) in [(settings.quota_per_s, "QuotaPerS"), (settings.share, "Share")] {
                require(is_finite_non_negative(value), InvalidSettings::TenantSetting { tenant, key })?;
            }
        }
        Ok(())
    }

    fn validate_non_negative(&self, settings_by_key: &[(f64, &'static str)]) -> Result<(), InvalidSettings> {
        for &(value, key) in settings_by_key {
            require(is_finite_non_negative(value), InvalidSettings::Setting { key })?;
        }
        Ok(())
    }
}
