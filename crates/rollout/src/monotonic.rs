//! Time as the state machines count it.

/// A time or a span in nanoseconds of a monotonic clock that keeps running while its process is stopped.
///
/// The state machines of this crate take and return only such times, so that simulated clocks can drive them; the host
/// converts from and to `Duration` and `Instant` where it does I/O.
pub type Nanos = u64;
