//! Decisions of a dispatcher that sends requests to workers: how many it admits, of which tenants, which
//! worker each one is sent to, and what becomes of those that fail.
//!
//! The package has no clock, thread, socket or global state. The embedder reports events with the time, and
//! carries out the actions that come back. [`Policy`] takes the decisions in the order of a request's life;
//! each kind of decision has a module of its own.
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
//! // When the worker responds, report it; `request_done` says that the client has its answer.
//! let end = AttemptEnd {
//!     id: 1,
//!     attempt: 0,
//!     outcome: Outcome::Success,
//!     request_done: true,
//!     not_attributable: false,
//!     report: None,
//! };
//! policy.handle(301_000, &Event::AttemptEnded(end), &mut actions);
//! # Ok::<(), InvalidSettings>(())
//! ```
//!
//! An embedder sets the timers that [`api::Action::SetTimer`] asks for, gives each attempt the time that the
//! client has left as its limit, and reports an attempt that reaches it as [`api::Outcome::Timeout`].
#![forbid(unsafe_code)]

pub mod admission;
pub mod api;
pub mod attempt_timeout;
pub mod class_backoff;
pub mod concurrency_limit;
pub mod endpoints;
pub mod gossip;
pub mod in_flight_window;
pub mod latency_objective;
pub mod least_squares;
pub mod live_weights;
pub mod load_report;
pub mod outlier;
pub mod placement;
pub mod poison;
pub mod policy;
pub mod probe;
pub mod rate_control;
pub mod regulator;
pub mod requests;
pub mod retry;
pub mod rng;
pub mod run_time;
pub mod settings;
pub mod sliding_count;
pub mod slow_start;
pub mod start_time;
pub mod table;
pub mod timer_queue;

pub use policy::Policy;
