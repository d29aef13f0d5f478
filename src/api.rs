//! The interface of the decision module: settings, events in and actions out, as plain data without wire
//! types.
//!
//! Times are microseconds of the embedder's clock ([`Micros`]). Only differences matter, and the clock never
//! runs backwards.

mod action;
mod endpoint;
mod event;
mod settings;
mod validation;

pub use action::{Action, Notice, Reason};
pub use endpoint::{Availability, Endpoint, LoadReport, WorkerId};
pub use event::{AttemptEnd, Event, Outcome, Request};
pub use settings::{ClassSettings, Idempotency, KeyScope, RetryBudget, Rules, Settings, TenantSettings};
pub use validation::InvalidSettings;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// A second.
pub const SECOND: Micros = 1_000_000;

/// Identifier of a request, chosen by the embedder and never reused.
pub type RequestId = u64;
