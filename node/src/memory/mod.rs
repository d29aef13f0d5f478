//! Memory of the process: how the limit is divided among all that holds memory ([`MemoryPlan`]), and what happens when
//! more is held than planned ([`MemoryPressure`]).

mod plan;
mod pressure;

pub use plan::{Frontends, MemoryPlan, CONNECTION_BYTES, LARGE_ANSWER_BYTES, QUEUED_EVENT_BYTES};
pub use pressure::{HeapGauge, MemoryPressure};
