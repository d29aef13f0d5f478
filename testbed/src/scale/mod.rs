//! Scale runs: measurements of the state machines of many processes at growing sizes, in emulated time, and
//! the capacity page computed from the results.
//!
//! `testbed scale` measures by a plan and saves each axis' results as JSON; `--page` writes the generated
//! part of the page, and `--check` fails if the page disagrees with the results.

mod arguments;
pub mod broadcast;
pub mod chart;
pub mod dispatcher;
pub mod estimate;
pub mod fit;
pub mod limits;
pub mod list;
pub mod membership;
mod network;
pub mod page;
pub mod plan;
mod processor;
pub mod requirement;
pub mod result;
mod run;
pub mod store;
mod table;
mod traffic;
pub mod voting;
mod wire_size;

pub use arguments::Arguments;
pub use run::{measure, run, ScaleError};
