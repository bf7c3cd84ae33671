//! Time in unsigned nanoseconds of the caller's clock.

/// A point in time on the caller's clock, or a duration, in nanoseconds.
///
/// The clock may start at any value and never runs backwards.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub(crate) const MILLISECOND: Nanos = 1_000_000;

/// Nanoseconds in a second, for conversions to and from seconds.
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;
