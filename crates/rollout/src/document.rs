//! What an operator writes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::toml_reader::{DocumentError, TomlReader};

/// Tenants and workers that a document may name, at most.
pub const MAX_TENANTS: usize = 10_000;
pub const MAX_WORKERS: usize = 20_000;

/// How the operator has set a worker apart; one that is not named is open to all.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// Finishes what it has and gets nothing new.
    Cordoned,
    /// The same, and what has not started is called back.
    Drained,
    /// Not even probed.
    Excluded,
    /// Only this tenant's jobs, which in turn go to no other worker.
    Pinned(String),
}

/// What a scheduler may do whose lease has lapsed, for as long as it stays cut off: its part of each limit times this,
/// and only these workers. A change that takes any of it away waits until nobody is cut off that may still do it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DegradedRules {
    /// From 0 to 1.
    pub quota_share: f64,
    pub allowed_workers: BTreeSet<String>,
    /// Also all workers that no rule names, and tenants that have no limit.
    pub allows_unlisted_workers: bool,
    pub allows_unlimited_tenants: bool,
}

impl Default for DegradedRules {
    /// All that a change may take away: it goes on serving, and changes wait for it.
    fn default() -> Self {
        DegradedRules {
            quota_share: 1.0,
            allowed_workers: BTreeSet::new(),
            allows_unlisted_workers: true,
            allows_unlimited_tenants: true,
        }
    }
}

/// The rules that an operator wants in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RulesDocument {
    /// Schedulers that share the limits; each has an even part.
    pub schedulers: u32,
    /// Attempts that a request may have, at most.
    pub max_attempts: u32,
    /// Shortest and longest Retry-After (ms).
    pub retry_after_ms: (u32, u32),
    /// Each tenant's requests a second at all schedulers together.
    pub quotas: BTreeMap<String, f64>,
    pub workers: BTreeMap<String, WorkerState>,
    pub degraded: DegradedRules,
    /// The version of the list of workers that keys are placed by.
    pub list_version: u64,
}

impl Default for RulesDocument {
    /// One scheduler, no limits but the least of each, nobody set apart.
    fn default() -> Self {
        RulesDocument {
            schedulers: 1,
            max_attempts: 4,
            retry_after_ms: (0, 2_000),
            quotas: BTreeMap::new(),
            workers: BTreeMap::new(),
            degraded: DegradedRules::default(),
            list_version: 0,
        }
    }
}

impl RulesDocument {
    /// The document as a text that reads back to the same.
    pub fn to_toml(&self) -> String {
        use toml::{Table, Value};
        let text = |text: &String| Value::String(text.clone());
        let worker = |standing: &WorkerState| {
            let (word, tenant) = match standing {
                WorkerState::Cordoned => ("cordoned", None),
                WorkerState::Drained => ("drained", None),
                WorkerState::Excluded => ("never", None),
                WorkerState::Pinned(tenant) => ("pinned", Some(tenant)),
            };
            let mut table = Table::from_iter([("standing".to_owned(), Value::String(word.to_owned()))]);
            table.extend(tenant.map(|tenant| ("tenant".to_owned(), text(tenant))));
            Value::Table(table)
        };
        let quota =
            |quota: &f64| Value::Table(Table::from_iter([("quota_per_s".to_owned(), (*quota).into())]));
        let (least, most) = self.retry_after_ms;
        let careful = Table::from_iter([
            ("share".to_owned(), self.degraded.quota_share.into()),
            ("workers".to_owned(), Value::Array(self.degraded.allowed_workers.iter().map(text).collect())),
            ("others".to_owned(), self.degraded.allows_unlisted_workers.into()),
            ("unlimited".to_owned(), self.degraded.allows_unlimited_tenants.into()),
        ]);
        let tenants = self.quotas.iter().map(|(name, of)| (name.clone(), quota(of)));
        let workers = self.workers.iter().map(|(name, standing)| (name.clone(), worker(standing)));
        let table = Table::from_iter([
            ("schedulers".to_owned(), i64::from(self.schedulers).into()),
            ("attempts".to_owned(), i64::from(self.max_attempts).into()),
            (
                "retry_after_ms".to_owned(),
                Value::Array(vec![i64::from(least).into(), i64::from(most).into()]),
            ),
            ("list".to_owned(), (self.list_version as i64).into()),
            ("tenants".to_owned(), Value::Table(tenants.collect())),
            ("workers".to_owned(), Value::Table(workers.collect())),
            ("careful".to_owned(), Value::Table(careful)),
        ]);
        table.to_string()
    }

    /// Reads a document. All that is wrong is told, each fault with its line and field.
    pub fn parse(text: &str) -> Result<RulesDocument, Vec<DocumentError>> {
        let mut reader = TomlReader::parse(text)?;
        let usual = RulesDocument::default();
        let document = reader.read_root(
            "",
            &["schedulers", "attempts", "retry_after_ms", "tenants", "workers", "careful", "list"],
            |root| RulesDocument {
                schedulers: root.integer("schedulers", 1, 10_000).unwrap_or(1) as u32,
                max_attempts: root.integer("attempts", 1, 16).unwrap_or(usual.max_attempts.into()) as u32,
                retry_after_ms: root
                    .integer_range("retry_after_ms", 0, 600_000)
                    .unwrap_or(usual.retry_after_ms),
                quotas: root.tables_by_name("tenants", MAX_TENANTS, |tenant| {
                    tenant.deny_unknown(&["quota_per_s"]);
                    tenant.float("quota_per_s", 0.0, 1e9).unwrap_or(0.0)
                }),
                workers: root.tables_by_name("workers", MAX_WORKERS, |worker| {
                    worker.deny_unknown(&["standing", "tenant"]);
                    let tenant = worker.string("tenant");
                    match worker.one_of("standing", &["cordoned", "drained", "never", "pinned"]) {
                        Some("drained") => WorkerState::Drained,
                        Some("never") => WorkerState::Excluded,
                        Some("pinned") => {
                            let missing = || worker.report("tenant", "a pinned worker needs one");
                            WorkerState::Pinned(tenant.unwrap_or_else(|| {
                                missing();
                                String::new()
                            }))
                        }
                        _ => WorkerState::Cordoned,
                    }
                }),
                degraded: root.table("careful", |careful| {
                    careful.deny_unknown(&["share", "workers", "others", "unlimited"]);
                    DegradedRules {
                        quota_share: careful.float("share", 0.0, 1.0).unwrap_or(usual.degraded.quota_share),
                        allowed_workers: careful.string_set("workers", MAX_WORKERS),
                        allows_unlisted_workers: careful
                            .boolean("others")
                            .unwrap_or(usual.degraded.allows_unlisted_workers),
                        allows_unlimited_tenants: careful
                            .boolean("unlimited")
                            .unwrap_or(usual.degraded.allows_unlimited_tenants),
                    }
                }),
                list_version: root.integer("list", 0, u64::MAX >> 1).unwrap_or(0),
            },
        );
        for (worker, standing) in &document.workers {
            if let WorkerState::Pinned(tenant) = standing {
                if !tenant.is_empty() && !document.quotas.contains_key(tenant) {
                    reader.report(&["workers", worker, "tenant"], "is not among the tenants");
                }
            }
        }
        for worker in &document.degraded.allowed_workers {
            if document.workers.contains_key(worker) {
                reader.report(
                    &["careful", "workers"],
                    &format!("{worker} is set apart, and cannot be for the cut off"),
                );
            }
        }
        reader.finish(document)
    }
}
