//! What the scheduler is told at its start: environment, config file, and the module's settings in it.

use std::net::SocketAddr;
use std::time::Duration;

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits, Settings, Tenant};

use crate::endpoint_list::{EndpointList, EntryNames};
use crate::json::{self, Field};

pub struct Config {
    pub identity: DeploymentIdentity,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub settings: Settings,
    pub names: SettingNames,
    pub worker_connections: WorkerConnectionConfig,
    pub entry_names: EntryNames,
    /// The list of instances as this scheduler last had it.
    pub known: EndpointList,
}

/// What tells whose file it is: the names in it.
#[derive(Clone)]
pub struct DeploymentIdentity {
    name: Option<String>,
    names: [(&'static str, Vec<String>); 4],
}

impl DeploymentIdentity {
    /// Whether a later file is of the same scheduler and deployment, or what shows that it is not.
    fn same(&self, later: &DeploymentIdentity) -> Result<(), String> {
        if let (Some(name), Some(other)) = (&self.name, &later.name) {
            if name != other {
                return Err(format!("name: the file is that of {other}, not of {name}"));
            }
        }
        for ((what, ours), (_, theirs)) in self.names.iter().zip(&later.names) {
            let foreign = !ours.iter().any(|name| theirs.contains(name));
            if foreign && (!ours.is_empty() || !theirs.is_empty()) {
                return Err(format!("settings.{what}: shares no name with this deployment's"));
            }
        }
        Ok(())
    }
}

/// What stands on the sockets for the module's numbers.
pub struct SettingNames {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
}

/// Figures of the connections to instances.
#[derive(Clone, Copy)]
pub struct WorkerConnectionConfig {
    pub connect: Duration,
    /// An instance closes a connection that has stood idle this long.
    pub idle: Duration,
    /// How long after a scheduler was told of it nothing must go to an instance that leaves.
    pub grace: Duration,
}

/// The largest time that makes sense in a setting (ns): later sums of times must not overflow.
const LONGEST: u64 = 30 * 24 * 3600 * 1_000_000_000;

impl Config {
    /// Reads the file that `RELAY_CONFIG` names; the other variables go before what stands in it.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let path = env("RELAY_CONFIG").ok_or("RELAY_CONFIG: not set")?;
        let bytes = std::fs::read(&path).map_err(|e| format!("RELAY_CONFIG: cannot read {path}: {e}"))?;
        Config::decode(&bytes, env).map_err(|e| format!("{path}: {e}"))
    }

    pub fn decode(bytes: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let value = json::decode(bytes)?;
        let root = Field::root(&value);
        let address = |variable: &str, name: &str| -> Result<SocketAddr, String> {
            if let Some(text) = env(variable) {
                return text.parse().map_err(|_| format!("{variable}: not an address with a port: {text}"));
            }
            let field = root.get(name)?;
            field.text()?.parse().map_err(|_| field.error("must be an address with a port"))
        };
        let seed = root.get("seed")?;
        let sockets = match root.opt("limits")? {
            Some(limits) => limits.opt("sockets")?.map(|s| s.whole()).transpose()?,
            None => None,
        };
        let settings = root.get("settings")?;
        let named = |list: Option<Field>| -> Result<Vec<String>, String> {
            list.map_or(Ok(vec![]), |l| l.items())?.iter().map(|f| f.text().map(str::to_owned)).collect()
        };
        let named_in = |list: Option<Field>| -> Result<Vec<String>, String> {
            let items = list.map_or(Ok(vec![]), |l| l.items())?;
            items.iter().map(|f| Ok(f.get("name")?.text()?.to_owned())).collect()
        };
        let entry_names =
            EntryNames { zones: named(settings.opt("zones")?)?, kinds: named(settings.opt("kinds")?)? };
        let known = match root.opt("known")? {
            Some(known) => EndpointList::decode(&known, &entry_names)?,
            None => EndpointList { index: 0, snapshot: true, entries: vec![], skipped: vec![] },
        };
        if let Some(why) = known.skipped.first() {
            return Err(why.clone());
        }
        let (caps, contract) = (settings.get("caps")?, settings.get("contract")?);
        let names = SettingNames {
            classes: named_in(settings.opt("classes")?)?,
            tenants: named_in(settings.opt("customers")?)?,
        };
        let identity = DeploymentIdentity {
            name: root.opt("name")?.map(|name| name.text().map(str::to_owned)).transpose()?,
            names: [
                ("classes", names.classes.clone()),
                ("customers", names.tenants.clone()),
                ("zones", entry_names.zones.clone()),
                ("kinds", entry_names.kinds.clone()),
            ],
        };
        Ok(Config {
            identity,
            name: match env("RELAY_NAME") {
                Some(name) => name,
                None => root.get("name")?.text()?.to_owned(),
            },
            listen: address("RELAY_LISTEN", "listen")?,
            discovery: address("RELAY_DISCOVERY", "discovery")?,
            seed: u64::from_str_radix(seed.text()?, 16)
                .map_err(|_| seed.error("must be a hexadecimal number"))?,
            sockets: sockets.unwrap_or(1024),
            names,
            worker_connections: WorkerConnectionConfig {
                connect: Duration::from_nanos(time(&caps, "connect_timeout_ns", 1_000_000_000)?),
                idle: Duration::from_nanos(time(&caps, "conn_idle_ns", 10_000_000_000)?),
                grace: Duration::from_nanos(time(&contract, "stop_sending_within_ns", 500_000_000)?),
            },
            settings: module_settings(&settings)?,
            entry_names,
            known,
        })
    }
}

/// What a running scheduler takes from its file when told to read it again: where discovery is. The file must
/// be sound as a whole and of the same deployment, and goes before `RELAY_DISCOVERY`, which is as old as the process.
pub fn discovery_again(
    env: impl Fn(&str) -> Option<String>,
    running: &DeploymentIdentity,
) -> Result<SocketAddr, String> {
    let env = |name: &str| env(name).filter(|_| name != "RELAY_DISCOVERY");
    let later = Config::load(env)?;
    running.same(&later.identity)?;
    Ok(later.discovery)
}

fn time(object: &Field, name: &str, default: u64) -> Result<u64, String> {
    let Some(field) = object.opt(name)? else { return Ok(default) };
    match field.whole()? {
        ns if ns <= LONGEST => Ok(ns),
        _ => Err(field.error("must be a time of at most 30 days")),
    }
}

fn number(object: &Field, name: &str, default: f64) -> Result<f64, String> {
    object.opt(name)?.map_or(Ok(default), |field| field.number())
}

fn flag(object: &Field, name: &str) -> Result<bool, String> {
    object.opt(name)?.map_or(Ok(false), |field| field.flag())
}

/// The object of the simulator's first message, as the module's settings.
fn module_settings(settings: &Field) -> Result<Settings, String> {
    let specifics = settings.opt("specifics")?;
    let of_class = |list: &str, number: usize| -> Result<Option<f64>, String> {
        let Some(list) = specifics.as_ref().map_or(Ok(None), |s| s.opt(list))? else { return Ok(None) };
        list.items()?.get(number).map(|field| field.number()).transpose()
    };
    let class = |(number, class): (usize, &Field)| -> Result<Class, String> {
        let group = match class.opt("group")? {
            Some(group) => group.word(&[
                ("all", DeduplicationScope::All),
                ("zone", DeduplicationScope::Zone),
                ("cell", DeduplicationScope::Cell),
            ])?,
            None => DeduplicationScope::Cell,
        };
        let effects = [
            ("pure", Idempotency::Idempotent),
            ("token", Idempotency::IdempotentWithKey(group)),
            ("side_effect", Idempotency::NonIdempotent),
        ];
        let stretch = of_class("class_stretch", number)?.unwrap_or(0.0);
        class.get("deadline_ns")?;
        class.get("on_time_ns")?;
        Ok(Class {
            idempotency: class.get("effect")?.word(&effects)?,
            deduplication_window: time(class, "window_ns", 0)?,
            latency_objective: time(class, "on_time_ns", 0)?,
            latency_stretch: self::number(class, "aim_stretch", stretch)?,
            deadline: time(class, "deadline_ns", 0)?,
            priority_weight: self::number(class, "importance", 1.0)?,
            late_weight_share: self::number(class, "late_value", 0.0)?,
            required_kind: of_class("class_kind", number)?
                .filter(|kind| *kind >= 0.0)
                .map(|kind| kind as u32),
        })
    };
    let tenants = settings.opt("customers")?.map_or(Ok(vec![]), |customers| customers.items())?;
    let tenant = |t: &Field| Ok(Tenant { quota_per_s: number(t, "quota_per_s", 0.0)? });
    let (caps, contract) = (settings.get("caps")?, settings.get("contract")?);
    let reports_slots = match settings.opt("load_report")? {
        Some(report) => {
            let told = report.opt("how")?.map_or(Ok("silent"), |how| how.text())? != "silent";
            let fields = report.opt("fields")?.map_or(Ok(vec![]), |fields| fields.items())?;
            told && fields.iter().any(|name| name.text() == Ok("x0"))
        }
        None => false,
    };
    // `live` figures shift from list to list: keys that followed them would be fetched anew with each.
    let weights = settings.opt("weights")?.map_or(Ok("silent"), |weights| weights.text())?;
    let tells_size = matches!(weights, "nominal" | "rough");
    let mode = settings.opt("membership_mode")?;
    let tells_start = specifics.as_ref().map_or(Ok(false), |s| flag(s, "tells_start"))?;
    let progress = specifics.as_ref().map_or(Ok(0), |s| time(s, "progress_ns", 0))?;
    Ok(Settings {
        dispatchers: settings.get("balancers")?.whole()?,
        zone: settings.opt("az")?.map_or(Ok(0), |zone| zone.whole())?,
        classes: settings.get("classes")?.items()?.iter().enumerate().map(class).collect::<Result<_, _>>()?,
        tenants: tenants.iter().map(tenant).collect::<Result<_, String>>()?,
        limits: ServiceLimits {
            slow_start_initial_share: number(&contract, "cold_from", 1.0)?,
            slow_start_duration: time(&contract, "cold_ns", 0)?,
            overload_multiple: number(&contract, "fall_multiple", 1.0)?,
            overload_duration: time(&contract, "fall_ns", 1_000_000_000)?,
            unsubscribed_list_validity: time(&contract, "must_ask_in_ns", 10_000_000_000)?,
        },
        requires_subscription: mode.map_or(Ok(""), |mode| mode.text())? == "on_request",
        can_probe: flag(&caps, "probing")?,
        reports_registered_size: tells_size,
        reports_free_slots: reports_slots,
        notifies_job_start: tells_start,
        progress_interval: progress,
        can_cancel: flag(&caps, "cancel")?,
        allows_hedging: flag(&caps, "parallel_tries")?,
        max_attempts: caps.opt("most_tries")?.map_or(Ok(1), |tries| tries.whole())?,
        max_retry_after: time(&caps, "max_retry_after_ns", 0)?,
        connect_timeout: time(&caps, "connect_timeout_ns", 1_000_000_000)?,
        clock_resolution: time(settings, "resolution_ns", 1_000_000)?,
    })
}
