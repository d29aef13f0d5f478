//! Test bed: runs many processes of the program on loopback addresses, with stand-ins for workers and
//! discovery, an open-loop load, and fault injection; and runs the same state machines in emulated time. No
//! node links this crate.
//!
//! - Real processes: [`cluster`] starts nodes, workers, discovery and [`fault_proxy`]; [`load`] sends
//!   requests; [`plan`] executes a fault plan; [`soak`] injects overlapping random faults and checks the
//!   protocol's rules.
//! - Emulated time: [`emulated_membership`] runs membership, [`mod@coordination`] voters and
//!   leases, [`emulated_broadcast`] the list broadcast; [`scale`] measures all of them at growing sizes.
//! - Checkers: [`check`] compares the nodes' membership views with the expected ones; [`history_check`] and
//!   [`resource`] check the operations of lease holders.
//!
//! A fault plan is a TOML file. A parse error reports the line:
//!
//! ```
//! use testbed::plan::Plan;
//!
//! let plan = "seed = 1\nnodes = 3\nworkers = 2\nrate = 5.0\nquota = 5.0\nlength_s = 3\n";
//! assert_eq!(Plan::parse(plan)?.nodes, 3);
//!
//! let with_fault = format!("{plan}[[fault]]\nat_s = 1\nwhat = \"kill\"\nnodes = [3]\n");
//! let error = Plan::parse(&with_fault).expect_err("nodes are numbered from 0");
//! assert_eq!(error.to_string(), "line 7: there is no such node");
//! # Ok::<(), testbed::plan::PlanError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod allocation;
pub mod check;
pub mod cluster;
pub mod coordination;
pub mod demo;
pub mod discovery;
pub mod disk;
pub mod emulated_broadcast;
pub mod emulated_membership;
pub mod emulated_network;
pub mod fault_proxy;
pub mod history_check;
pub mod load;
pub mod measure;
pub mod plan;
pub mod process;
pub mod resource;
pub mod scale;
pub mod soak;
pub mod wire;
pub mod worker;
