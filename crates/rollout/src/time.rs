//! The time type of the state machines.

/// A point in time or a duration in nanoseconds, read from a monotonic clock that keeps running while the
/// process is stopped.
///
/// The state machines of this crate take and return only this type, so that simulated clocks can drive them.
/// The host converts from and to `Duration` and `Instant` where it does I/O.
pub type Nanos = u64;
