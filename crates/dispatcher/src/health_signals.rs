//! Detects that a worker hangs, by the signals that arrive about its attempts.

use crate::settings::Settings;
use crate::time::Nanos;

/// A worker with unconfirmed attempts may hang if it sends no signal for this long (ns) beyond the interval
/// of its progress reports.
const MAX_SILENCE: Nanos = 500_000_000;
/// Longest silence where workers report neither start nor progress, as a multiple of the mean run.
const MAX_RUNS_WITHOUT_SIGNAL: f64 = 4.0;

/// Where a signal of an attempt comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalSource {
    /// The worker sent it, so the worker is alive.
    Worker,
    /// It has another origin, such as a timeout, and says nothing about the worker.
    Local,
}

/// Whether a signal is the first one of its attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalOrder {
    /// It is the first one, or the attempt ended without any.
    First,
    /// An earlier signal of the attempt arrived.
    Repeated,
}

impl SignalOrder {
    /// Returns the order of a signal, given the time of the attempt's first signal.
    pub(crate) fn from_first_signal(first_signal_at: Option<Nanos>) -> Self {
        match first_signal_at {
            None => SignalOrder::First,
            Some(_) => SignalOrder::Repeated,
        }
    }
}

/// Counts the attempts that a worker has not confirmed yet, and tracks since when it has been silent.
#[derive(Default)]
pub(crate) struct HealthSignals {
    /// When the worker's last signal arrived, or else when its first unconfirmed attempt was sent; `None`
    /// without unconfirmed attempts.
    silent_since: Option<Nanos>,
    /// Attempts of which no signal has arrived.
    unconfirmed_attempts: u32,
}

impl HealthSignals {
    /// Records that an attempt was sent.
    pub(crate) fn attempt_sent(&mut self, now: Nanos) {
        self.silent_since.get_or_insert(now);
        self.unconfirmed_attempts += 1;
    }

    /// Records a signal of an attempt.
    pub(crate) fn signal_received(&mut self, now: Nanos, order: SignalOrder, source: SignalSource) {
        if order == SignalOrder::First {
            self.unconfirmed_attempts = self.unconfirmed_attempts.saturating_sub(1);
        }
        if self.unconfirmed_attempts == 0 {
            self.silent_since = None;
        } else if source == SignalSource::Worker {
            self.silent_since = Some(now);
        }
    }

    /// Returns how long (ns) a worker with unconfirmed attempts may be silent. `longest_run` (ns) is the mean
    /// run of the slowest class.
    pub(crate) fn max_silence(settings: &Settings, longest_run: f64) -> Nanos {
        if settings.notifies_job_start {
            MAX_SILENCE
        } else if settings.progress_interval > 0 {
            settings.progress_interval + MAX_SILENCE
        } else {
            (MAX_RUNS_WITHOUT_SIGNAL * longest_run) as Nanos + MAX_SILENCE
        }
    }

    /// Returns whether the worker has unconfirmed attempts and has been silent for longer than `max_silence`
    /// (ns).
    pub(crate) fn is_silent(&self, now: Nanos, max_silence: Nanos) -> bool {
        self.silent_since.is_some_and(|since| now > since + max_silence)
    }
}
