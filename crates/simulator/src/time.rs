//! Virtual time: whole nanoseconds, from 0 at the start of a run. All schedulers, workers and clients read one
//! clock.

pub use nickelflow_engine::Nanos;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

/// Seconds to nanoseconds; scenario figures are bounded, so that nothing overflows.
pub fn seconds(s: f64) -> Nanos {
    (s * 1e9) as Nanos
}

/// Milliseconds to nanoseconds.
pub fn millis(ms: f64) -> Nanos {
    (ms * 1e6) as Nanos
}

/// Nanoseconds to seconds.
pub fn in_seconds(t: Nanos) -> f64 {
    t as f64 / 1e9
}
