//! Fault injection for system calls, for tests and soaks only. Preloaded (`LD_PRELOAD`) into one scheduler,
//! this library replaces the C library's `accept`, `socket`, `connect`, reads, writes, waits, syncs and
//! clocks, and makes some of them fail as their manual pages document. `NICKELFLOW_FAULTS` defines what
//! fails, how often and when (see `plan`); without it all calls pass unchanged.
//!
//! The injected faults have the side effects that the kernel's own failures have:
//! - After an injected short read or write, the `epoll` edge is raised again if the descriptor is still
//!   ready. The kernel's own short reads and writes leave nothing to do, so callers wait for the next edge
//!   after one.
//! - A connection that is reported as broken is broken: its peer gets a reset.
//! - A failed write or sync of a file leaves what the kernel would leave: nothing, or a part.
//!
//! This is the only crate with `unsafe`: symbols of the C library can only be replaced by functions that take
//! its raw pointers, and the unmodified system calls are made by number. The library dereferences only
//! pointers that the caller passes to the kernel anyway, and only during the call.

mod clock;
mod files;
mod plan;
mod sockets;
mod syscalls;

use std::sync::OnceLock;

use plan::FaultPlan;

/// Returns the fault plan of this process. Exits with status 2 if the plan is invalid.
fn plan() -> &'static FaultPlan {
    static PLAN: OnceLock<FaultPlan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let text = std::env::var("NICKELFLOW_FAULTS").unwrap_or_default();
        FaultPlan::parse(&text).unwrap_or_else(|error| {
            syscalls::write_stderr(&format!("NICKELFLOW_FAULTS: {error}\n"));
            syscalls::exit(2)
        })
    })
}
