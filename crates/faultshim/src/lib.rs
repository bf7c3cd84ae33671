//! Faults of system calls, for tests and soaks only: preloaded (`LD_PRELOAD`) into one scheduler, this library stands in for
//! the C library's `accept`, `socket`, `connect`, reads, writes, waits, syncs and clocks, and lets some of them fail as their
//! manual pages document. What fails, how often and when is told by `NICKELFLOW_FAULTS` (`plan`); without it all calls
//! pass unchanged.
//!
//! It is as true as the kernel:
//! - after a short read or write the edge of `epoll` is raised again where more can be done, for the kernel's short reads
//!   and writes leave nothing to do;
//! - a connection that is said to be broken is broken: its peer gets a reset;
//! - a failed write or sync of a file leaves what the kernel would: nothing, or a part.
//!
//! This is the only crate with `unsafe`: symbols of the C library can only be replaced by functions that take its raw
//! pointers, and the real calls are made by number. No pointer is looked into but those that the caller hands to the
//! kernel anyhow, and for no longer than the call.

mod clock;
mod files;
mod plan;
mod real;
mod sockets;

use std::sync::OnceLock;

use plan::FaultPlan;

/// What is to fail in this process.
fn plan() -> &'static FaultPlan {
    static PLAN: OnceLock<FaultPlan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let text = std::env::var("NICKELFLOW_FAULTS").unwrap_or_default();
        FaultPlan::parse(&text).unwrap_or_else(|error| {
            real::say(&format!("NICKELFLOW_FAULTS: {error}\n"));
            real::exit(2)
        })
    })
}
