//! Runs many processes of the program side by side on loopback addresses, with stand-ins for workers and discovery, an
//! open-loop load of jobs, relays between any two nodes, and faults between them; and says whether what the nodes tell of
//! each other is true. No node links it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod allocation;
pub mod check;
pub mod cluster;
pub mod coordination;
pub mod demo;
pub mod discovery;
pub mod disk;
pub mod emulated;
pub mod emulated_network;
pub mod fault_proxy;
pub mod history_check;
pub mod lists;
pub mod load;
pub mod measure;
pub mod plan;
pub mod process;
pub mod resource;
pub mod scale;
pub mod soak;
pub mod wire;
pub mod worker;
