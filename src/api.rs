//! Interface of the decision module: settings, input events and output actions, as plain data types that
//! are independent of any wire format.
//!
//! Times are microseconds of the embedder's monotonic clock ([`Micros`]); only differences matter.

mod action;
mod endpoint;
mod event;
mod settings;
mod validation;

pub use action::{Action, Notice, Reason};
pub use endpoint::{Availability, Endpoint, LoadReport, WorkerId, UNKNOWN_ZONE};
pub use event::{AttemptEnd, Event, Outcome, Request};
pub use settings::{ClassSettings, Idempotency, KeyScope, RetryBudget, Rules, Settings, TenantSettings};
pub use validation::InvalidSettings;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Request identifier, assigned by the embedder and never reused.
pub type RequestId = u64;
