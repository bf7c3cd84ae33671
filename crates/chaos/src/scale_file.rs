//! Scale files: how large a run is, as TOML. All that is wrong with one is told at once, each with its line.

use nickelflow_rollout::{DocumentError, TomlReader};
use serde::{Deserialize, Serialize};

/// One size of the fleet after the other, under one load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scale {
    pub name: String,
    /// Ascending.
    pub workers: Vec<u32>,
    /// Schedulers that share the fleet and the load, as each is told.
    pub balancers: u32,
    /// Schedulers that are really started, each with its share of the load.
    pub schedulers: u32,
    /// Of all `balancers` together.
    pub jobs_per_s: f64,
    /// Quotas of all tenants together: what schedulers take for likely until they have seen it.
    pub quota_per_s: f64,
    /// Of the list.
    pub changes_per_s: f64,
    pub tenants: u32,
    /// Before it is measured.
    pub warmup_s: f64,
    pub seconds: f64,
    /// A connection to a worker that is unused for so long is closed.
    pub idle_s: f64,
    pub repeats: u32,
    pub limits: Limits,
}

/// What is planned for: the size, and what a scheduler may take of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    pub workers: Option<u32>,
    /// Of one core, in hundredths.
    pub cpu_percent: Option<f64>,
    pub memory_mb: Option<f64>,
    /// Both ways.
    pub control_bytes_per_s: Option<f64>,
}

const FIELDS: [&str; 13] = [
    "name",
    "sizes",
    "balancers",
    "schedulers",
    "jobs_per_s",
    "quota_per_s",
    "changes_per_s",
    "tenants",
    "warmup_s",
    "seconds",
    "idle_s",
    "repeats",
    "limits",
];

const MISSING: &str = "must be given";

/// Sizes of one file.
const MOST_SIZES: usize = 12;
pub const MOST_WORKERS: u64 = 10_000;
/// Listening sockets of the workers, one for each scheduler: descriptors of this process.
pub const MOST_SOCKETS: u32 = 14_000;
const MOST_SCHEDULERS: u64 = 16;

impl Scale {
    /// Jobs a second of one scheduler.
    pub fn share(&self) -> f64 {
        self.jobs_per_s / f64::from(self.balancers)
    }

    /// Reads a file, or says all that is wrong with it.
    pub fn parse(text: &str) -> Result<Scale, Vec<DocumentError>> {
        let mut reader = TomlReader::parse(text).map_err(|invalid| invalid.errors)?;
        let scale = reader.read_root("", &FIELDS, |file| {
            let sizes = file.tables_by_name("sizes", MOST_SIZES, |size| {
                size.deny_unknown(&["workers"]);
                let workers = size.integer("workers", 1, MOST_WORKERS);
                if workers.is_none() {
                    size.report("workers", MISSING);
                }
                workers.unwrap_or(1) as u32
            });
            if sizes.is_empty() {
                file.report("sizes", "must have one size at least");
            }
            let mut workers: Vec<u32> = sizes.into_values().collect();
            workers.sort_unstable();
            workers.dedup();
            let must = |field: &str, found: Option<f64>| {
                if found.is_none() {
                    file.report(field, MISSING);
                }
                found.unwrap_or(1.0)
            };
            let whole = |field: &str, most: u64| file.integer(field, 1, most).map(|x| x as f64);
            let scale = Scale {
                name: file.string("name").unwrap_or_default(),
                workers,
                balancers: must("balancers", whole("balancers", 10_000)) as u32,
                schedulers: whole("schedulers", MOST_SCHEDULERS).unwrap_or(1.0) as u32,
                jobs_per_s: must("jobs_per_s", file.float("jobs_per_s", 0.0, 20_000.0)),
                quota_per_s: must("quota_per_s", file.float("quota_per_s", 0.1, 100_000.0)),
                changes_per_s: file.float("changes_per_s", 0.0, 50.0).unwrap_or(0.0),
                tenants: whole("tenants", 1_000).unwrap_or(1.0) as u32,
                warmup_s: file.float("warmup_s", 0.5, 60.0).unwrap_or(1.0),
                seconds: must("seconds", file.float("seconds", 0.5, 600.0)),
                idle_s: file.float("idle_s", 0.5, 60.0).unwrap_or(5.0),
                repeats: whole("repeats", 20).unwrap_or(1.0) as u32,
                limits: file.table("limits", |limits| {
                    limits.deny_unknown(&["workers", "cpu_percent", "memory_mb", "control_bytes_per_s"]);
                    Limits {
                        workers: limits.integer("workers", 1, 1_000_000).map(|workers| workers as u32),
                        cpu_percent: limits.float("cpu_percent", 0.01, 1e4),
                        memory_mb: limits.float("memory_mb", 0.1, 1e6),
                        control_bytes_per_s: limits.float("control_bytes_per_s", 1.0, 1e9),
                    }
                }),
            };
            if scale.name.is_empty() {
                file.report("name", MISSING);
            }
            let largest = scale.workers.last().copied().unwrap_or(0);
            if largest * scale.schedulers > MOST_SOCKETS {
                file.report("schedulers", &format!("times the workers must be {MOST_SOCKETS} at most"));
            }
            if scale.schedulers > scale.balancers {
                file.report("schedulers", "must not be more than the balancers");
            }
            if scale.share() > 2_000.0 {
                file.report("jobs_per_s", "must be 2000 for each of the balancers at most");
            }
            scale
        });
        reader.finish(scale).map_err(|invalid| {
            let mut faults = invalid.errors;
            // What is wrong is told, and not that it is missing too.
            faults.dedup_by(|later, earlier| {
                later.problem == MISSING && later.line == earlier.line && later.field == earlier.field
            });
            faults
        })
    }
}
