//! Leases on rules steps. A lease permits a scheduler to apply a step for a limited time after its last
//! request. The leader can tell when that time has certainly passed (Gray and Cheriton, Leases: An Efficient
//! Fault-Tolerant Mechanism for Distributed File Cache Consistency, SOSP 1989).

mod config;
mod holder;
mod messages;
mod table;

pub use config::LeaseConfig;
pub use holder::{LeaseHolder, LeaseState};
pub use messages::{LeaseGrant, LeaseRequest};
pub use table::{LeaseTable, OutstandingLease, PriorLease};
