//! Counters of the jobs, attempts and connections of a scheduler. They are printed on request and at exit.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use nickelflow_engine::permits::{Denial, Operation};
use nickelflow_engine::Outcome;
use nickelflow_input_memory::{MemoryOwner, MemoryUsage};

use crate::memory_plan::SharedMemory;

macro_rules! counters {
    (counters: $($name:ident),*; gauges: $($gauge:ident),* $(,)?) => {
        /// The counters of one scheduler; the operators' documentation describes each of them.
        #[derive(Default)]
        pub struct Counters {
            $(#[doc = concat!("The counter `", stringify!($name), "`.")] pub $name: Counter,)*
            $(#[doc = concat!("The gauge `", stringify!($gauge), "`.")] pub $gauge: Gauge,)*
            by_violation: [[Counter; Denial::ALL.len()]; Operation::ALL.len()],
            memory: OnceLock<SharedMemory>,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), &self.$name)),*];
                for (index, (name, counter)) in all.into_iter().enumerate() {
                    write!(f, "{}{name}={}", if index == 0 { "" } else { " " }, counter.get())?;
                }
                let all = [$((stringify!($gauge), &self.$gauge)),*];
                for (name, gauge) in all {
                    write!(f, " {name}={}", gauge.get())?;
                }
                self.write_memory(f)?;
                for (operation, denial) in self.observed_violations() {
                    write!(
                        f,
                        " violation_{}_{}={}",
                        operation.name(),
                        denial.name(),
                        self.violation(operation, denial).get()
                    )?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    counters: taken, served, refused, failed, client_gone, rejected, sent, sent_ok, sent_error, sent_full,
    sent_unusable, sent_timeout, sent_connect_failed, sent_reset, sent_cancelled, sent_not_sent,
    cancels, probes, probes_ok, watches, lists, connects, reuses, distrusts, accepted, shed,
    turned_away, accept_errors, local_failures, violations;
    gauges: open_jobs, timers, queued_events, known_workers,
}

/// The counters, shared by all parts of the program.
pub type SharedCounters = Arc<Counters>;

/// A monotonically increasing counter.
#[derive(Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A quantity that rises and falls.
#[derive(Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    /// Sets the quantity.
    pub fn set(&self, quantity: usize) {
        self.0.store(quantity as u64, Ordering::Relaxed);
    }

    /// Returns the quantity.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns the resident memory of this process (bytes); `None` if the system does not tell it.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib << 10)
}

impl Counters {
    /// Adds the use of this memory to what is printed. Only the first call has an effect.
    pub fn set_memory(&self, memory: SharedMemory) {
        let _ = self.memory.set(memory);
    }

    /// Writes how much memory is used, by owner.
    fn write_memory(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, " resident_bytes={}", resident_bytes().unwrap_or_default())?;
        let Some(memory) = self.memory.get() else { return Ok(()) };
        let MemoryUsage { used_bytes, peak_bytes, evictions, shortages, used_by_owner } =
            memory.input.usage();
        write!(f, " input_bytes={used_bytes} input_peak_bytes={peak_bytes}")?;
        write!(f, " input_evictions={evictions} input_shortages={shortages}")?;
        for (owner, bytes) in MemoryOwner::ALL.into_iter().zip(used_by_owner) {
            write!(f, " {}_bytes={bytes}", owner.name())?;
        }
        write!(f, " result_bytes={}", memory.results.used_bytes())
    }

    /// Returns the counter of one kind of violation.
    pub fn violation(&self, operation: Operation, denial: Denial) -> &Counter {
        let index_or_first = |found: Option<usize>| found.unwrap_or_default();
        let operation = index_or_first(Operation::ALL.iter().position(|known| *known == operation));
        let denial = index_or_first(Denial::ALL.iter().position(|known| *known == denial));
        &self.by_violation[operation][denial]
    }

    /// Returns the kinds of violation that have been observed.
    fn observed_violations(&self) -> impl Iterator<Item = (Operation, Denial)> + '_ {
        let all = Operation::ALL
            .into_iter()
            .flat_map(|operation| Denial::ALL.into_iter().map(move |denial| (operation, denial)));
        all.filter(|(operation, denial)| self.violation(*operation, *denial).get() > 0)
    }

    /// Increments the counter of the outcome of an attempt.
    pub fn record_outcome(&self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => &self.sent_ok,
            Outcome::Error => &self.sent_error,
            Outcome::Rejected => &self.sent_full,
            Outcome::InvalidJob => &self.sent_unusable,
            Outcome::Timeout => &self.sent_timeout,
            Outcome::ConnectFailed => &self.sent_connect_failed,
            Outcome::Reset => &self.sent_reset,
            Outcome::Cancelled => &self.sent_cancelled,
            Outcome::NotSent => &self.sent_not_sent,
        }
        .add();
    }
}

/// Returns the name of an outcome in the log. Recorded exchanges and alerts depend on these names, so they do
/// not change when a variant is renamed.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "Ok",
        Outcome::Error => "Error",
        Outcome::Rejected => "Full",
        Outcome::InvalidJob => "Unusable",
        Outcome::Timeout => "Timeout",
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::Reset => "Reset",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "NotSent",
    }
}
