//! Counters of the jobs, attempts and connections of a scheduler. They are printed on request and at exit.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use nickelflow_engine::permits::{Denial, Operation};
use nickelflow_engine::Outcome;
use nickelflow_input_memory::{MemoryBudget, MemoryUsage};

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// The counters of one scheduler; the operators' documentation describes each of them.
        #[derive(Default)]
        pub struct Counters {
            $(#[doc = concat!("The counter `", stringify!($name), "`.")] pub $name: Counter,)*
            by_violation: [[Counter; Denial::ALL.len()]; Operation::ALL.len()],
            input_memory: OnceLock<Arc<MemoryBudget>>,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), &self.$name)),*];
                for (index, (name, counter)) in all.into_iter().enumerate() {
                    write!(f, "{}{name}={}", if index == 0 { "" } else { " " }, counter.get())?;
                }
                let MemoryUsage { used_bytes, peak_bytes, evictions, shortages } = self.input_memory_usage();
                write!(
                    f,
                    " input_bytes={used_bytes} input_peak_bytes={peak_bytes} input_evictions={evictions} \
                     input_shortages={shortages}"
                )?;
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
    taken, served, refused, failed, client_gone, rejected, sent, sent_ok, sent_error, sent_full,
    sent_unusable, sent_timeout, sent_connect_failed, sent_reset, sent_cancelled, sent_not_sent,
    cancels, probes, probes_ok, watches, lists, connects, reuses, distrusts, accepted, shed,
    turned_away, accept_errors, local_failures, violations,
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

impl Counters {
    /// Adds the use of this budget to what is printed. Only the first call has an effect.
    pub fn set_input_memory(&self, budget: Arc<MemoryBudget>) {
        let _ = self.input_memory.set(budget);
    }

    /// Returns the use of the memory budget for the input of peers.
    fn input_memory_usage(&self) -> MemoryUsage {
        self.input_memory.get().map(|budget| budget.usage()).unwrap_or_default()
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
