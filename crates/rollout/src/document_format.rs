//! The TOML format of rules documents.

use toml::{Table, Value};

use crate::document::{DegradedRules, RetryAfterRange, RulesDocument, WorkerState, MAX_TENANTS, MAX_WORKERS};
use crate::toml_reader::{InvalidDocument, TomlReader, TomlTable};

/// The keys at the root of a document.
const DOCUMENT_KEYS: [&str; 7] =
    ["schedulers", "attempts", "retry_after_ms", "tenants", "workers", "careful", "list"];
/// The names of worker states.
const WORKER_STATES: [&str; 4] = ["cordoned", "drained", "never", "pinned"];

// Sanity limits. Values beyond them are assumed to be typing errors.
const MAX_SCHEDULERS: u64 = 10_000;
const MAX_ATTEMPTS: u64 = 16;
const MAX_RETRY_AFTER_MS: u32 = 600_000;
const MAX_QUOTA_PER_S: f64 = 1e9;
/// The maximum of a TOML integer, which is signed.
const MAX_LIST_VERSION: u64 = i64::MAX as u64;

impl RulesDocument {
    /// Parses a document.
    ///
    /// # Errors
    ///
    /// [`InvalidDocument`] with all errors in the document.
    pub fn parse(text: &str) -> Result<RulesDocument, InvalidDocument> {
        let mut reader = TomlReader::parse(text)?;
        let document = reader.read_root("", &DOCUMENT_KEYS, read_document);
        report_pinned_tenants_without_quota(&reader, &document);
        report_restricted_degraded_workers(&reader, &document);
        reader.finish(document)
    }

    /// Formats the document as TOML that [`RulesDocument::parse`] reads back to an equal document.
    pub fn to_toml(&self) -> String {
        let RetryAfterRange { min_ms, max_ms } = self.retry_after;
        let retry_after = vec![i64::from(min_ms).into(), i64::from(max_ms).into()];
        let tenants = self.quotas.iter().map(|(name, quota)| (name.clone(), quota_to_toml(*quota)));
        let workers = self.workers.iter().map(|(name, state)| (name.clone(), worker_to_toml(state)));
        let document = table([
            ("schedulers", i64::from(self.schedulers).into()),
            ("attempts", i64::from(self.max_attempts).into()),
            ("retry_after_ms", Value::Array(retry_after)),
            ("list", (self.list_version as i64).into()),
            ("tenants", Value::Table(tenants.collect())),
            ("workers", Value::Table(workers.collect())),
            ("careful", Value::Table(degraded_to_toml(&self.degraded))),
        ]);
        document.to_string()
    }
}

/// Reads the root of a document. Fields that are missing or invalid get their default values.
fn read_document(root: &TomlTable<'_, '_>) -> RulesDocument {
    let default = RulesDocument::default();
    let schedulers = root.integer("schedulers", 1, MAX_SCHEDULERS);
    let max_attempts = root.integer("attempts", 1, MAX_ATTEMPTS);
    let retry_after = root.integer_range("retry_after_ms", 0, MAX_RETRY_AFTER_MS);
    RulesDocument {
        schedulers: schedulers.map_or(default.schedulers, |schedulers| schedulers as u32),
        max_attempts: max_attempts.map_or(default.max_attempts, |attempts| attempts as u32),
        retry_after: retry_after.map_or(default.retry_after, |range| RetryAfterRange {
            min_ms: *range.start(),
            max_ms: *range.end(),
        }),
        quotas: root.tables_by_name("tenants", MAX_TENANTS, read_quota),
        workers: root.tables_by_name("workers", MAX_WORKERS, read_worker),
        degraded: root.table("careful", read_degraded),
        list_version: root.integer("list", 0, MAX_LIST_VERSION).unwrap_or(default.list_version),
    }
}

/// Reads the table of a tenant.
fn read_quota(tenant: &TomlTable<'_, '_>) -> f64 {
    tenant.deny_unknown(&["quota_per_s"]);
    tenant.float("quota_per_s", 0.0, MAX_QUOTA_PER_S).unwrap_or(0.0)
}

/// Reads the table of a worker.
fn read_worker(worker: &TomlTable<'_, '_>) -> WorkerState {
    worker.deny_unknown(&["standing", "tenant"]);
    let tenant = worker.string("tenant");
    match worker.one_of("standing", &WORKER_STATES) {
        Some("drained") => WorkerState::Drained,
        Some("never") => WorkerState::Excluded,
        Some("pinned") => {
            if tenant.is_none() {
                worker.report("tenant", "is required for a pinned worker");
            }
            WorkerState::Pinned(tenant.unwrap_or_default())
        }
        _ => WorkerState::Cordoned,
    }
}

/// Reads the table of degraded rules.
fn read_degraded(degraded: &TomlTable<'_, '_>) -> DegradedRules {
    degraded.deny_unknown(&["share", "workers", "others", "unlimited"]);
    let default = DegradedRules::default();
    DegradedRules {
        quota_share: degraded.float("share", 0.0, 1.0).unwrap_or(default.quota_share),
        allowed_workers: degraded.string_set("workers", MAX_WORKERS),
        allows_unlisted_workers: degraded.boolean("others").unwrap_or(default.allows_unlisted_workers),
        allows_unlimited_tenants: degraded.boolean("unlimited").unwrap_or(default.allows_unlimited_tenants),
    }
}

/// Reports each worker that is pinned to a tenant without a quota.
fn report_pinned_tenants_without_quota(reader: &TomlReader<'_>, document: &RulesDocument) {
    for (worker, state) in &document.workers {
        let WorkerState::Pinned(tenant) = state else { continue };
        // A pinned worker without a tenant has already been reported.
        if !tenant.is_empty() && !document.quotas.contains_key(tenant) {
            reader.report(&["workers", worker, "tenant"], "must be one of the document's tenants");
        }
    }
}

/// Reports each worker that the degraded rules allow although the worker is not open to all tenants.
fn report_restricted_degraded_workers(reader: &TomlReader<'_>, document: &RulesDocument) {
    for worker in &document.degraded.allowed_workers {
        if document.workers.contains_key(worker) {
            let problem = format!(
                "{worker} is not open to all tenants, so a scheduler without a lease must not use it"
            );
            reader.report(&["careful", "workers"], &problem);
        }
    }
}

/// Creates the table of a tenant.
fn quota_to_toml(quota: f64) -> Value {
    Value::Table(table([("quota_per_s", quota.into())]))
}

/// Creates the table of a worker.
fn worker_to_toml(state: &WorkerState) -> Value {
    let (name, tenant) = match state {
        WorkerState::Cordoned => ("cordoned", None),
        WorkerState::Drained => ("drained", None),
        WorkerState::Excluded => ("never", None),
        WorkerState::Pinned(tenant) => ("pinned", Some(tenant)),
    };
    let mut worker = table([("standing", Value::String(name.to_owned()))]);
    if let Some(tenant) = tenant {
        worker.insert("tenant".to_owned(), Value::String(tenant.clone()));
    }
    Value::Table(worker)
}

/// Creates the table of degraded rules.
fn degraded_to_toml(degraded: &DegradedRules) -> Table {
    let workers = degraded.allowed_workers.iter().cloned().map(Value::String);
    table([
        ("share", degraded.quota_share.into()),
        ("workers", Value::Array(workers.collect())),
        ("others", degraded.allows_unlisted_workers.into()),
        ("unlimited", degraded.allows_unlimited_tenants.into()),
    ])
}

/// Creates a table of keys and values.
fn table<const N: usize>(entries: [(&str, Value); N]) -> Table {
    entries.into_iter().map(|(key, value)| (key.to_owned(), value)).collect()
}
