//! The auditor's second part: whether schedulers that agree on rules did so in time. It reads the versions that attempts
//! told when they reached workers, the documents that the operator wrote, and when it was told that one is in force; what
//! the schedulers say of themselves it does not ask.

use std::collections::{BTreeMap, HashMap};

use nickelflow_simulator::time::{Nanos, MS};
use serde::Deserialize;

use crate::audit::{Finding, Rule};
use crate::record::{Entry, Party, Record};

/// The figures of an agreement.
#[derive(Clone, Debug)]
pub struct Agreed {
    /// T: so long after a version was decided nobody acts on the one before.
    pub bound: Nanos,
    /// From the write of an attempt to its worker's note, on a link that is well.
    pub transit: Nanos,
    /// What a scheduler may have saved up of its part, in seconds of it, or one request if that is more.
    pub saved_s: f64,
    pub schedulers: u32,
    /// The names of the workers, by number.
    pub workers: Vec<String>,
}

/// What was found, and how long versions overlapped: for each, the time of its last attempt after the first one of a
/// later version.
#[derive(Clone, Debug, Default)]
pub struct Overlaps {
    pub findings: Vec<Finding>,
    pub overlaps: Vec<Nanos>,
    /// Versions that were seen at workers, and attempts under careful rules.
    pub versions: usize,
    pub careful: usize,
    /// From when the operator began to propose something to when it was told that it is in force.
    pub forced: Vec<Nanos>,
}

impl std::fmt::Display for Overlaps {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (half, most, worst) = parts(&self.overlaps);
        let (versions, careful) = (self.versions, self.careful);
        write!(
            f,
            "{versions} versions seen at workers, overlap p50 {half} ms, p99 {most} ms, worst {worst} ms; "
        )?;
        let (half, most, worst) = parts(&self.forced);
        let changes = self.forced.len();
        write!(f, "{changes} changes told to be in force, p50 {half} ms, p99 {most} ms, worst {worst} ms; ")?;
        write!(f, "{careful} attempts under careful rules")
    }
}

/// Median, 99th percentile and most (ms).
fn parts(times: &[Nanos]) -> (Nanos, Nanos, Nanos) {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().saturating_sub(1);
    let at =
        |part: f64| sorted.get(((sorted.len() as f64 * part) as usize).min(last)).map_or(0, |time| time / MS);
    (at(0.5), at(0.99), at(1.0))
}

/// Where the document that is in force is known: from when on nobody may act on another, until somebody changes it.
struct Window {
    from: Nanos,
    to: Nanos,
    document: Document,
}

/// The part of a document that the auditor reads for itself.
#[derive(Clone, Debug, Default, Deserialize)]
struct Document {
    #[serde(default)]
    tenants: BTreeMap<String, Tenant>,
    #[serde(default)]
    workers: BTreeMap<String, Worker>,
}

#[derive(Clone, Debug, Deserialize)]
struct Tenant {
    quota_per_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct Worker {
    standing: String,
}

/// One attempt under a version.
struct Attempt<'a> {
    at: Nanos,
    id: &'a str,
    scheduler: u32,
    worker: u32,
    number: u64,
    careful: bool,
}

/// Judges a whole record, in the order of its times.
pub fn audit_rules(law: &Agreed, entries: &[Entry]) -> Overlaps {
    let mut found = Overlaps::default();
    let attempts = attempts(entries, &mut found);
    // The first sight of each version, and of any later one.
    let mut first: BTreeMap<u64, Nanos> = BTreeMap::new();
    for attempt in &attempts {
        let at = first.entry(attempt.number).or_insert(attempt.at);
        *at = attempt.at.min(*at);
    }
    let later = |number: u64| first.range(number..).map(|(_, at)| *at).min();
    let mut overlaps: BTreeMap<u64, Nanos> = first.keys().map(|number| (*number, 0)).collect();
    let kept = Kept::of(entries, law.transit);
    for attempt in &attempts {
        found.careful += usize::from(attempt.careful);
        if attempt.careful {
            continue;
        }
        let late = |since: Nanos| attempt.at.saturating_sub(since);
        let next = later(attempt.number + 1).map_or(0, late);
        let second = later(attempt.number + 2).map_or(0, late);
        // What a link kept was sent long before.
        if next == 0 || kept.any(attempt, attempt.at - next) {
            continue;
        }
        let overlap = overlaps.entry(attempt.number).or_default();
        *overlap = next.max(*overlap);
        let told = |what: &str, since: Nanos| {
            let (scheduler, number) = (attempt.scheduler, attempt.number);
            format!("scheduler {scheduler} on version {number}, {} ms after {what}", since / MS)
        };
        if next > law.bound + law.transit {
            found.findings.push(finding(Rule::OldRules, attempt, told("a later one was in force", next)));
        } else if second > law.transit {
            found.findings.push(finding(
                Rule::OldRules,
                attempt,
                told("the next but one was in force", second),
            ));
        }
    }
    found.versions = first.len();
    found.forced = forced(entries);
    found.overlaps = overlaps.into_values().collect();
    for window in windows(law, entries) {
        cordons(law, &window, &attempts, &kept, &mut found.findings);
        limits(law, &window, entries, &attempts, &mut found.findings);
    }
    found
}

fn finding(rule: Rule, attempt: &Attempt<'_>, what: String) -> Finding {
    Finding { rule, at: attempt.at, id: Some(attempt.id.to_owned()), what }
}

/// Attempts with the versions that they told; one that told none was sent by a scheduler that had no rules.
fn attempts<'a>(entries: &'a [Entry], found: &mut Overlaps) -> Vec<Attempt<'a>> {
    let mut attempts = Vec::new();
    for Entry { at, what } in entries {
        let Record::Reached { id, scheduler, worker, version, .. } = what else { continue };
        let told = version.as_deref().and_then(read);
        let (number, careful) = told.unwrap_or((0, false));
        let attempt = Attempt { at: *at, id, scheduler: *scheduler, worker: *worker, number, careful };
        match told {
            Some(_) => attempts.push(attempt),
            None => {
                let what = format!("scheduler {scheduler} told version {version:?}");
                found.findings.push(finding(Rule::NoRules, &attempt, what));
            }
        }
    }
    attempts
}

/// `3.12` or `3.12 careful`: a term, and a number that grows by one with each version.
pub(crate) fn read(told: &str) -> Option<(u64, bool)> {
    let (version, careful) = match told.strip_suffix(" careful") {
        Some(version) => (version, true),
        None => (told, false),
    };
    Some((version.split_once('.')?.1.parse().ok()?, careful))
}

/// What may have been written long before it came.
struct Kept {
    links: HashMap<(u32, u32), Vec<(Nanos, Nanos)>>,
}

impl Kept {
    fn of(entries: &[Entry], transit: Nanos) -> Kept {
        let mut links: HashMap<(u32, u32), Vec<(Nanos, Nanos)>> = HashMap::new();
        for Entry { at, what } in entries {
            let Record::Link { from: Party::Scheduler(from), to: Party::Worker(to), fault } = what else {
                continue;
            };
            let spans = links.entry((*from, *to)).or_default();
            let open = spans.last_mut().filter(|(_, to)| *to == Nanos::MAX);
            match (fault, open) {
                (Some(_), None) => spans.push((*at, Nanos::MAX)),
                (None, Some(open)) => open.1 = at.saturating_add(transit),
                _ => {}
            }
        }
        Kept { links }
    }

    fn any(&self, attempt: &Attempt<'_>, since: Nanos) -> bool {
        let spans = self.links.get(&(attempt.scheduler, attempt.worker));
        spans.is_some_and(|spans| spans.iter().any(|(from, to)| *from <= attempt.at && since <= *to))
    }
}

/// From T after the operator was told that its proposal is in force, to when it begins to write the next.
fn windows(law: &Agreed, entries: &[Entry]) -> Vec<Window> {
    let mut documents: HashMap<u64, &str> = HashMap::new();
    let mut windows: Vec<Window> = Vec::new();
    let mut begun: Vec<Nanos> = Vec::new();
    for Entry { at, what } in entries {
        match what {
            Record::Proposing => begun.push(*at),
            Record::Proposed { number, document } => drop(documents.insert(*number, document)),
            Record::InForce { number, .. } => {
                let read = documents.get(number).and_then(|text| toml::from_str::<Document>(text).ok());
                let from = at + law.bound + law.transit;
                windows.extend(read.map(|document| Window { from, to: Nanos::MAX, document }));
            }
            _ => {}
        }
    }
    for window in &mut windows {
        let told = window.from - law.bound - law.transit;
        window.to = begun.iter().copied().find(|at| *at > told).unwrap_or(Nanos::MAX);
    }
    // One that was being written while another came into force may be in force at any time.
    windows.retain(|window| window.from < window.to);
    windows
}

/// How long each proposal took that came into force.
fn forced(entries: &[Entry]) -> Vec<Nanos> {
    let (mut begun, mut proposed, mut forced) = (None, HashMap::new(), Vec::new());
    for Entry { at, what } in entries {
        match what {
            Record::Proposing => begun = Some(*at),
            Record::Proposed { number, .. } => drop(proposed.insert(*number, begun.unwrap_or(*at))),
            Record::InForce { number, .. } => forced.extend(proposed.remove(number).map(|begun| at - begun)),
            _ => {}
        }
    }
    forced
}

/// Nobody sends to a worker that is closed to all.
fn cordons(
    law: &Agreed,
    window: &Window,
    attempts: &[Attempt<'_>],
    kept: &Kept,
    findings: &mut Vec<Finding>,
) {
    for attempt in attempts.iter().filter(|attempt| (window.from..window.to).contains(&attempt.at)) {
        let Some(name) = law.workers.get(attempt.worker as usize) else { continue };
        let closed = window.document.workers.get(name).filter(|worker| worker.standing != "pinned");
        if closed.is_some() && !kept.any(attempt, window.from) {
            let what = format!("scheduler {} sent to {name}, which is closed", attempt.scheduler);
            findings.push(finding(Rule::AgainstRules, attempt, what));
        }
    }
}

/// All together take no more of a tenant than its limit, in any second.
fn limits(
    law: &Agreed,
    window: &Window,
    entries: &[Entry],
    attempts: &[Attempt<'_>],
    findings: &mut Vec<Finding>,
) {
    let mut tenants: HashMap<&str, &str> = HashMap::new();
    for Entry { what, .. } in entries {
        if let Record::Asked { id, tenant: Some(tenant), .. } = what {
            tenants.insert(id, tenant);
        }
    }
    for (tenant, limit) in &window.document.tenants {
        let quota = limit.quota_per_s;
        let each = (quota / f64::from(law.schedulers) * law.saved_s).max(1.0);
        let most = quota + each * f64::from(law.schedulers) + 1.0;
        let mut seen = std::collections::HashSet::new();
        let firsts: Vec<&Attempt<'_>> = (attempts.iter())
            .filter(|attempt| (window.from..window.to).contains(&attempt.at))
            .filter(|attempt| tenants.get(attempt.id) == Some(&tenant.as_str()) && seen.insert(attempt.id))
            .collect();
        let mut begin = 0;
        for (n, attempt) in firsts.iter().enumerate() {
            while firsts[begin].at + 1_000 * MS < attempt.at {
                begin += 1;
            }
            let sent = n - begin + 1;
            if sent as f64 > most {
                let what =
                    format!("{sent} of {tenant} within a second, where all together may take {most:.0}");
                findings.push(finding(Rule::AgainstRules, attempt, what));
                break;
            }
        }
    }
}
