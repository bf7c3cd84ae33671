//! Leases, by which a scheduler acts on a rules step for a limited time after it last asked for one, and by which the
//! leader knows when that time has passed for certain (Gray and Cheriton, Leases: An Efficient Fault-Tolerant Mechanism
//! for Distributed File Cache Consistency, SOSP 1989).

mod config;
mod holder;
mod messages;
mod table;

pub use config::LeaseConfig;
pub use holder::{LeaseHolder, LeaseState};
pub use messages::{LeaseGrant, LeaseRequest};
pub use table::{LeaseTable, OutstandingLease, PriorLease};
