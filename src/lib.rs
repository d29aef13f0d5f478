//! The decisions of a dispatcher that stands beside a submitter and pushes its jobs to workers: how many
//! jobs to admit, whose, where each runs, and what becomes of those that fail.
//!
//! The module has no clock, thread, socket or global. The embedder tells it what happened, with the time,
//! and carries out the actions it answers with:
//!
//! ```
//! use dispatch_policy::api::*;
//! use dispatch_policy::Policy;
//!
//! let class = ClassSettings {
//!     objective_us: 250_000,
//!     objective_per_work: 1.75,
//!     deadline_us: 5_000_000,
//!     priority_weight: 1.0,
//!     late_weight: 0.0,
//!     idempotency: Idempotency::Idempotent,
//!     deduplication_window_us: 0,
//!     required_kind: None,
//! };
//! let settings = Settings { classes: vec![class], dispatchers: 1, max_attempts: 3, ..Settings::default() };
//! let mut policy = Policy::new(settings, 42, 0)?;
//! let mut actions = Vec::new();
//!
//! let worker = Endpoint {
//!     worker: WorkerId(7),
//!     kind: 0,
//!     zone: 0,
//!     cell: 0,
//!     availability: Availability::Ready,
//!     weight: 1.0,
//!     started_at: 0,
//! };
//! policy.handle(0, &Event::EndpointList(vec![worker]), &mut actions);
//! actions.clear();
//!
//! let request = Request { id: 1, time_left_us: 5_000_000, ..Request::default() };
//! policy.handle(1_000, &Event::RequestReceived(request), &mut actions);
//! assert!(actions.contains(&Action::Send { id: 1, worker: WorkerId(7) }));
//!
//! // When the worker answers, tell the module; `last` says that the client has its answer.
//! let ending = AttemptEnd { id: 1, attempt: 0, outcome: Outcome::Success, request_done: true, not_attributable: false, report: None };
//! policy.handle(301_000, &Event::AttemptEnded(ending), &mut actions);
//! # Ok::<(), InvalidSettings>(())
//! ```
//!
//! An embedder sets the timers that [`api::Action::SetTimer`] asks for, gives each attempt the time that the
//! client has left as its limit, and reports an attempt that reaches it as [`api::Outcome::Timeout`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod least_squares;
pub mod live_weights;
pub mod policy;
pub mod regulator;
pub mod rng;
pub mod settings;
pub mod sliding_count;
pub mod slow_start;
pub mod start_time;
pub mod table;
pub mod timer_queue;
pub mod window;

pub use policy::Policy;
