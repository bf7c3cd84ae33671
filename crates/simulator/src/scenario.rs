//! Scenarios: what a world is made of and what happens to it, as TOML. Every figure has its unit in its name
//! and bounds that its type keeps, so that an unknown or absurd one is refused with its line and field.

use std::fmt;
use std::path::Path;

use serde::de::{self, Deserializer};
use serde::Deserialize;

/// A figure between bounds, which are part of its type (in thousandths).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounded<const LOW: i64, const HIGH: i64>(pub f64);

impl<'de, const LOW: i64, const HIGH: i64> Deserialize<'de> for Bounded<LOW, HIGH> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let x = f64::deserialize(deserializer)?;
        let (low, high) = (LOW as f64 / 1e3, HIGH as f64 / 1e3);
        if x.is_finite() && (low..=high).contains(&x) {
            Ok(Bounded(x))
        } else {
            Err(de::Error::custom(format_args!("{x} is not from {low} to {high}")))
        }
    }
}

/// A part of a whole.
pub type Part = Bounded<0, 1_000>;
/// Milliseconds, up to an hour.
pub type Millis = Bounded<0, 3_600_000_000>;
/// Seconds, up to a day.
pub type Seconds = Bounded<0, 86_400_000>;
/// A ratio.
pub type Ratio = Bounded<0, 1_000_000>;
/// Events a second.
pub type Rate = Bounded<0, 10_000_000_000>;

/// Two figures, the first not above the second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range<T>(pub T, pub T);

impl<'de, const LOW: i64, const HIGH: i64> Deserialize<'de> for Range<Bounded<LOW, HIGH>> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let [low, high] = <[Bounded<LOW, HIGH>; 2]>::deserialize(deserializer)?;
        if low.0 <= high.0 {
            Ok(Range(low, high))
        } else {
            Err(de::Error::custom(format_args!("the range {} to {} is empty", low.0, high.0)))
        }
    }
}

impl<const LOW: i64, const HIGH: i64> Range<Bounded<LOW, HIGH>> {
    pub fn both(self) -> (f64, f64) {
        (self.0 .0, self.1 .0)
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// What it shows.
    #[serde(default)]
    pub about: String,
    pub duration_s: Bounded<10, 86_400_000>,
    /// What is asked before this time is not counted (but audited).
    #[serde(default = "zero")]
    pub warmup_s: Seconds,
    pub schedulers: Bounded<1_000, 10_000_000>,
    pub pools: Vec<Pool>,
    #[serde(default)]
    pub workers: Workers,
    pub data: Option<Data>,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub discovery: Discovery,
    pub classes: Vec<Class>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    pub traffic: Traffic,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Workers of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub count: Bounded<1_000, 100_000_000>,
    pub cores: Bounded<1_000, 1_000_000>,
    /// Jobs of one slot that run together.
    pub slots: Bounded<1_000, 1_000_000>,
    /// Speed of a core; 1 is standard. Each worker draws its own.
    #[serde(default = "even_speed")]
    pub speed: Range<Bounded<10, 100_000>>,
    /// Memory units; as many as slots if not given.
    pub memory: Option<Ratio>,
    /// Workers that drop each other's repeats, and that fail together.
    #[serde(default = "rack")]
    pub rack: Bounded<1_000, 10_000_000>,
    /// They have all just started when the run begins.
    #[serde(default)]
    pub cold: bool,
}

/// What all workers have in common.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workers {
    /// Jobs that wait beyond those that run; further ones are sent away.
    pub queue: Bounded<0, 1_000_000_000>,
    pub order: Queueing,
    /// The paper's baseline: after a report of a queue under this length a worker stands idle until it holds
    /// as many jobs. 0: never.
    pub idle_until: Bounded<0, 1_000_000>,
    /// Loss of speed when it holds twice as many jobs as slots.
    pub thrash: Part,
    /// Open connections that it takes.
    pub connections: Bounded<1_000, 1_000_000_000>,
    /// Work of a new connection and of a probe, in core-milliseconds.
    pub handshake_ms: Millis,
    pub probe_ms: Millis,
    /// A report shows the worker as it was at the last refresh; the gap between two is drawn from this.
    pub refresh_ms: Range<Millis>,
    /// Deviation of what a report says, as a part of the slots.
    pub noise: Part,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// Gap between progress notes; 0 for none.
    pub progress_ms: Millis,
    /// A draining worker hands back what has not started.
    pub drain_returns: bool,
    /// A cancel stops a running job too.
    pub cancel_stops: bool,
}

impl Default for Workers {
    fn default() -> Self {
        Workers {
            queue: Bounded(1_000.0),
            order: Queueing::Fifo,
            idle_until: Bounded(0.0),
            thrash: Bounded(0.0),
            connections: Bounded(4_000.0),
            handshake_ms: Bounded(1.0),
            probe_ms: Bounded(1.0),
            refresh_ms: Range(Bounded(350.0), Bounded(1_100.0)),
            noise: Bounded(0.02),
            tells_start: true,
            progress_ms: Bounded(2_000.0),
            drain_returns: true,
            cancel_stops: true,
        }
    }
}

/// How a worker serves its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Queueing {
    /// The head waits until it fits.
    Fifo,
    /// Whatever fits first.
    Backfill,
}

/// Data that jobs need, by key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Data {
    pub keys: Bounded<1_000, 100_000_000_000>,
    /// The k-th commonest key has weight k to the minus this.
    pub zipf: Bounded<0, 5_000>,
    /// Part of all traffic that the commonest key takes beside that.
    #[serde(default = "none")]
    pub hot: Part,
    /// Keys that a worker keeps, the least recently used making room.
    pub kept: Bounded<1_000, 1_000_000_000>,
    /// Length of one fetch from the archive; the job holds its slots meanwhile.
    pub fetch_ms: Millis,
    /// Fetches that the archive serves together; others wait in turn.
    pub streams: Bounded<1_000, 1_000_000_000>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way.
    pub latency_ms: Millis,
    /// Mean of an exponential addition to each message.
    pub jitter_ms: Millis,
    /// Part of the attempts whose connection breaks.
    pub resets: Part,
    /// A connection that is not up by then has failed.
    pub connect_timeout_ms: Millis,
    /// A connection unused for this long is closed.
    pub idle_s: Seconds,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            latency_ms: Bounded(0.2),
            jitter_ms: Bounded(0.05),
            resets: Bounded(0.0),
            connect_timeout_ms: Bounded(200.0),
            idle_s: Bounded(10.0),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// From a change of a worker to its being listed.
    pub lag_s: Seconds,
    /// Work of one call, and of 1,000 lines of an answer.
    pub call_ms: Millis,
    pub lines_ms: Millis,
    /// A call that waits longer fails.
    pub wait_ms: Millis,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            lag_s: Bounded(1.0),
            call_ms: Bounded(1.0),
            lines_ms: Bounded(1.0),
            wait_ms: Bounded(1_000.0),
        }
    }
}

/// What a second run would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Nothing.
    Harmless,
    /// Nothing within one rack and the window.
    Rack,
    /// Harm.
    Never,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Its part of all jobs, against the other classes'.
    #[serde(default = "whole")]
    pub weight: Ratio,
    pub repeats: Repeats,
    #[serde(default = "zero")]
    pub window_s: Seconds,
    /// In time is an answer within this and `stretch` times the job's own work.
    pub aim_ms: Millis,
    #[serde(default = "zero_ratio")]
    pub stretch: Ratio,
    pub deadline_ms: Bounded<1_000, 3_600_000_000>,
    /// Mean work, in milliseconds of a standard core.
    pub work_ms: Bounded<1, 3_600_000_000>,
    pub size: Size,
    #[serde(default = "one_slot")]
    pub slots: Bounded<10, 1_000_000>,
    /// Mean memory; each job draws between half and one and a half of it.
    #[serde(default = "zero_ratio")]
    pub memory: Ratio,
    /// Jobs of this class need data.
    #[serde(default)]
    pub keyed: bool,
}

/// How job sizes spread about their mean.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Size {
    Fixed,
    Exponential,
    Lognormal { sigma: f64 },
    Pareto { shape: f64 },
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Its part of the traffic and of the fleet.
    pub share: Ratio,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Mean demand as a part of what the warm fleet can do with all data at hand ...
    pub load: Option<Ratio>,
    /// ... or jobs a second; one of the two.
    pub per_s: Option<Rate>,
    #[serde(default)]
    pub shape: Shape,
}

/// How the rate of arrivals moves about its mean.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Shape {
    /// Poisson arrivals of one rate.
    #[default]
    Even,
    /// A sine.
    Wave { period_s: Bounded<10, 86_400_000>, depth: Part },
    /// Spells of many and of few arrivals, of exponential length: a Markov-modulated Poisson process.
    Bursty {
        on_s: Bounded<10, 86_400_000>,
        off_s: Bounded<10, 86_400_000>,
        factor: Bounded<1_000, 1_000_000>,
    },
    /// From a tenth of the mean up to a peak in the middle of the run, and down again.
    SpringMorning { peak: Bounded<1_000, 100_000> },
    /// One tenant sends this many times its usual traffic for a while.
    Surge { tenant: String, from_s: Seconds, for_s: Seconds, factor: Bounded<0, 1_000_000> },
    /// Arrivals from a file: lines `seconds,work_ms,tenant,key`, ascending; tenant and key are numbers.
    Replay { file: String },
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    pub retries: Bounded<0, 10_000>,
    /// Wait before a retry, doubled with each.
    pub backoff_ms: Range<Millis>,
    /// Part of the clients that wait for as long as they are told.
    pub honour: Part,
    pub max_retry_after_ms: Millis,
    /// Part of the clients that give up early, after a tenth to a half of their time.
    pub impatient: Part,
    /// How long the front goes on sending clients to a scheduler that has died.
    pub front_notices_s: Seconds,
    /// Clients mark their retries.
    pub marks_retry: bool,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: Bounded(1.0),
            backoff_ms: Range(Bounded(50.0), Bounded(150.0)),
            honour: Bounded(0.8),
            max_retry_after_ms: Bounded(2_000.0),
            impatient: Bounded(0.0),
            front_notices_s: Bounded(2.0),
            marks_retry: false,
        }
    }
}

/// The figures of the rules, as schedulers are told them and as the auditor holds them to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub attempts: Bounded<1_000, 100_000>,
    pub parallel: bool,
    /// A final answer may come this long after the client's deadline.
    pub slack_ms: Millis,
    /// A scheduler that has been told of a drain may send for this long.
    pub drain_ms: Millis,
    pub cold_from: Bounded<1, 1_000>,
    pub cold_s: Seconds,
    pub fall_multiple: Bounded<100, 100_000>,
    pub fall_s: Bounded<10, 1_000_000>,
    /// The least worth of what a tenant sends beyond its share.
    pub over_share: Part,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            attempts: Bounded(4.0),
            parallel: true,
            slack_ms: Bounded(8.0),
            drain_ms: Bounded(500.0),
            cold_from: Bounded(0.14),
            cold_s: Bounded(24.0),
            fall_multiple: Bounded(3.0),
            fall_s: Bounded(1.5),
            over_share: Bounded(0.1),
        }
    }
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: Seconds,
    /// How long it lasts, where it lasts.
    #[serde(default = "zero")]
    pub for_s: Seconds,
    /// The part of the workers (or schedulers) that it meets, drawn for each seed ...
    #[serde(default = "none")]
    pub part: Part,
    /// ... or so many of them.
    #[serde(default = "zero_count")]
    pub count: Bounded<0, 100_000_000>,
    pub what: What,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// Takes work, answers nothing.
    Hang,
    /// Stands still for a while, again and again.
    StandStill { pause_ms: Range<Millis>, every_s: Range<Bounded<10, 86_400_000>> },
    /// Another program takes a share of the machine, on and off.
    Neighbour { share: Range<Part>, on_s: Range<Bounded<10, 86_400_000>> },
    /// Reports show what was so much earlier.
    LateReports { by_s: Seconds },
    /// Part of the attempts are broken.
    Resets { part: Part },
    /// The machine is gone: nothing is said, nothing comes up. It returns cold, with new connections only.
    Vanish,
    /// A whole rack of them at once; `count` racks.
    RackLost,
    /// Each in turn drains, ends and starts again, cold; `for_s` for the whole round.
    RollingRestart { drain_s: Seconds, down_s: Seconds },
    /// Leaves the list for good, and others are added in its place, at the addresses of the old.
    Replace,
    /// From some schedulers to the workers met messages are lost, or the answers, or both.
    Partition { direction: Direction },
    /// A scheduler is killed and starts again after `for_s`.
    KillScheduler,
    /// A scheduler is told to end, ends, and starts again after `for_s`.
    RestartScheduler,
    /// Calls fail and watches end.
    DiscoveryDown,
    /// Nothing new is listed.
    DiscoveryStale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    Requests,
    Answers,
    Both,
}

fn zero() -> Seconds {
    Bounded(0.0)
}
fn zero_ratio() -> Ratio {
    Bounded(0.0)
}
fn zero_count() -> Bounded<0, 100_000_000> {
    Bounded(0.0)
}
fn none() -> Part {
    Bounded(0.0)
}
fn whole() -> Ratio {
    Bounded(1.0)
}
fn one_slot() -> Bounded<10, 1_000_000> {
    Bounded(1.0)
}
fn rack() -> Bounded<1_000, 10_000_000> {
    Bounded(3.0)
}
fn even_speed() -> Range<Bounded<10, 100_000>> {
    Range(Bounded(1.0), Bounded(1.0))
}

/// Why a scenario cannot be played: the file, and what is wrong where.
#[derive(Debug)]
pub struct Refused {
    pub file: String,
    pub why: String,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file, self.why.trim_end())
    }
}

impl std::error::Error for Refused {}

impl Scenario {
    pub fn load(path: &Path) -> Result<Scenario, Refused> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| Refused { file: file.clone(), why: e.to_string() })?;
        Scenario::parse(&text).map_err(|why| Refused { file, why })
    }

    /// Reads a scenario; the error names line and field.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    /// What no single figure shows.
    pub fn check(&self) -> Result<(), String> {
        let fail = |field: &str, why: &str| Err(format!("{field}: {why}"));
        if self.pools.is_empty() {
            return fail("pools", "there must be one at least");
        }
        if self.classes.is_empty() {
            return fail("classes", "there must be one at least");
        }
        if self.workers_count() > 100_000 {
            return fail("pools", "over 100,000 workers");
        }
        for class in &self.classes {
            let size = match class.size {
                Size::Lognormal { sigma } => (0.0..=4.0).contains(&sigma),
                Size::Pareto { shape } => shape > 1.0 && shape <= 100.0,
                Size::Fixed | Size::Exponential => true,
            };
            if !size {
                return fail("classes.size", "sigma must be 0 to 4, shape over 1 and up to 100");
            }
            if class.keyed && self.data.is_none() {
                return fail("classes.keyed", "there is no [data]");
            }
            if class.repeats == Repeats::Rack && class.window_s.0 == 0.0 {
                return fail("classes.window_s", "repeats = \"rack\" needs one");
            }
            if self.pools.iter().all(|pool| pool.slots.0 < class.slots.0) {
                return fail("classes.slots", "no worker has so many");
            }
        }
        match &self.traffic {
            Traffic { shape: Shape::Replay { .. }, .. } => {}
            Traffic { load: Some(_), per_s: None, .. } | Traffic { load: None, per_s: Some(_), .. } => {}
            _ => return fail("traffic", "give either load or per_s"),
        }
        if let Shape::Surge { tenant, .. } = &self.traffic.shape {
            if !self.tenants.iter().any(|t| t.name == *tenant) {
                return fail("traffic.shape.surge.tenant", "not among the tenants");
            }
        }
        for fault in &self.faults {
            let lasts = !matches!(fault.what, What::Replace);
            if lasts && fault.for_s.0 == 0.0 {
                return fail("faults.for_s", "missing");
            }
            let whole =
                matches!(fault.what, What::DiscoveryDown | What::DiscoveryStale | What::Resets { .. });
            if !whole && fault.part.0 == 0.0 && fault.count.0 == 0.0 {
                return fail("faults.part", "give part or count");
            }
        }
        Ok(())
    }

    pub fn workers_count(&self) -> usize {
        self.pools.iter().map(|pool| pool.count.0 as usize).sum()
    }

    /// What the warm fleet can do, in core-seconds a second at the middle speed.
    pub fn capacity(&self) -> f64 {
        self.pools
            .iter()
            .map(|pool| pool.count.0 * pool.cores.0.min(pool.slots.0) * pool.middle_speed())
            .sum()
    }

    /// Mean work of a job, in core-seconds over all its slots.
    pub fn mean_work(&self) -> f64 {
        let weights: f64 = self.classes.iter().map(|c| c.weight.0).sum();
        let work = |c: &Class| c.weight.0 * c.work_ms.0 / 1e3 * c.slots.0;
        self.classes.iter().map(work).sum::<f64>() / weights
    }

    /// Jobs a second, on average.
    pub fn rate(&self) -> f64 {
        let by_load = self.traffic.load.map(|load| load.0 * self.capacity() / self.mean_work());
        self.traffic.per_s.map(|rate| rate.0).or(by_load).unwrap_or(0.0)
    }
}

impl Pool {
    pub fn middle_speed(&self) -> f64 {
        let (low, high) = self.speed.both();
        (low + high) / 2.0
    }
}
