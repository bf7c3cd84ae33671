//! Signs of life of one worker, by which a worker that hangs is recognised.

use crate::settings::Settings;
use crate::time::Nanos;

/// A worker with unconfirmed attempts that sends nothing for this long (ns), beyond its usual progress
/// reports, may hang.
const MAX_SILENCE: Nanos = 500_000_000;
/// Where workers report neither start nor progress, an attempt may take this many times the usual time.
const MAX_RUNS_WITHOUT_SIGNAL: f64 = 4.0;

/// Whether news of an attempt came from its worker.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalSource {
    /// The worker sent it: it is alive.
    Worker,
    /// It came from elsewhere, such as a time-out, and says nothing of the worker.
    Local,
}

/// Whether news of an attempt is the first.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalOrder {
    /// It is the first, or the attempt ended without any.
    First,
    /// There was news of the attempt before.
    Repeated,
}

impl SignalOrder {
    /// Returns the order of a signal by when the first one came.
    pub(crate) fn from_first_signal(first_signal_at: Option<Nanos>) -> Self {
        match first_signal_at {
            None => SignalOrder::First,
            Some(_) => SignalOrder::Repeated,
        }
    }
}

/// Counts the attempts of which a worker has not given a sign yet, and since when it has been silent.
#[derive(Default)]
pub(crate) struct HealthSignals {
    /// When the worker last gave a sign of life, or was first sent an attempt of which it has given none.
    silent_since: Option<Nanos>,
    /// Attempts of which the worker has given no sign.
    unconfirmed: u32,
}

impl HealthSignals {
    /// Notes that an attempt was sent.
    pub(crate) fn attempt_sent(&mut self, now: Nanos) {
        self.silent_since.get_or_insert(now);
        self.unconfirmed += 1;
    }

    /// Notes news of an attempt.
    pub(crate) fn signal_received(&mut self, now: Nanos, order: SignalOrder, source: SignalSource) {
        if order == SignalOrder::First {
            self.unconfirmed = self.unconfirmed.saturating_sub(1);
        }
        if self.unconfirmed == 0 {
            self.silent_since = None;
        } else if source == SignalSource::Worker {
            self.silent_since = Some(now);
        }
    }

    /// Returns how long (ns) a worker with unconfirmed attempts may be silent, where the mean run of the
    /// slowest class takes `longest_run` (ns).
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
