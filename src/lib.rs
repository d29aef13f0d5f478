//! Decision module of a request dispatcher: admission of requests by tenant, placement on workers, and
//! retries of failed attempts.
//!
//! The crate performs no I/O and has no clock, threads or global state. The embedder passes timestamped
//! events to [`Policy::handle`] and carries out the actions that it returns. [`Policy`] drives the life cycle
//! of a request; each kind of decision has its own module.
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
//! // Reports the worker's response; `request_done` means that the client has its answer.
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
//! The embedder sets the timers that [`api::Action::SetTimer`] requests. It limits each attempt to the
//! client's remaining time and reports an attempt that reaches this limit as [`api::Outcome::Timeout`].
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
pub mod request_queue;
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
