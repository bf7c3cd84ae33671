//! The configuration of a scheduler: environment variables, the configuration file, and the dispatcher's
//! settings in it.

use std::net::SocketAddr;
use std::time::Duration;

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits, Settings, Tenant};
use thiserror::Error;

use crate::endpoint_list::{EndpointList, EntryNames};
use crate::json::{self, Field, JsonError};

/// Why the configuration could not be loaded.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable with the path of the file is not set.
    #[error("RELAY_CONFIG: not set")]
    NotSet,
    /// The file cannot be read.
    #[error("RELAY_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// The contents of the file are invalid.
    #[error("{path}: {error}")]
    InFile {
        /// The path of the file.
        path: String,
        /// What is invalid in the file.
        error: Box<ConfigError>,
    },
    /// A field of the file is invalid.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// An environment variable does not contain an address.
    #[error("{variable}: not an address with a port: {text}")]
    Address {
        /// The name of the variable.
        variable: String,
        /// The value of the variable.
        text: String,
    },
    /// The file belongs to another scheduler.
    #[error("name: the file belongs to {other}, not to {name}")]
    OtherScheduler {
        /// This scheduler's name.
        name: String,
        /// The name in the file.
        other: String,
    },
    /// The file belongs to another deployment.
    #[error("settings.{list}: shares no name with this deployment's")]
    OtherDeployment {
        /// The list that shares no name with the running deployment's.
        list: &'static str,
    },
}

/// The configuration of one scheduler.
pub struct Config {
    /// Identifies the scheduler and its deployment when the file is reloaded.
    pub identity: DeploymentIdentity,
    /// The name of this scheduler.
    pub name: String,
    /// The address on which the scheduler listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the scheduler's random numbers.
    pub seed: u64,
    /// The number of descriptors that the scheduler may use.
    pub max_descriptors: usize,
    /// The memory that the scheduler may use (bytes).
    pub max_memory_bytes: usize,
    /// The settings of the dispatcher.
    pub settings: Settings,
    /// The names of classes and tenants in requests.
    pub names: SettingNames,
    /// The timeouts of connections to workers.
    pub worker_connections: WorkerConnectionConfig,
    /// The names of zones and kinds in endpoint lists.
    pub entry_names: EntryNames,
    /// The last endpoint list that this scheduler received before its start.
    pub initial_endpoints: EndpointList,
}

/// Identifies the scheduler and the deployment of a configuration file by the names in the file.
#[derive(Clone)]
pub struct DeploymentIdentity {
    name: Option<String>,
    names: [(&'static str, Vec<String>); 4],
}

impl DeploymentIdentity {
    fn new(name: Option<String>, names: &SettingNames, entry_names: &EntryNames) -> Self {
        let names = [
            ("classes", names.classes.clone()),
            ("customers", names.tenants.clone()),
            ("zones", entry_names.zones.clone()),
            ("kinds", entry_names.kinds.clone()),
        ];
        DeploymentIdentity { name, names }
    }

    /// Checks that a reloaded file belongs to the same scheduler and deployment.
    fn check_same(&self, reloaded: &DeploymentIdentity) -> Result<(), ConfigError> {
        if let (Some(name), Some(other)) = (&self.name, &reloaded.name) {
            if name != other {
                return Err(ConfigError::OtherScheduler { name: name.clone(), other: other.clone() });
            }
        }
        for ((list, ours), (_, theirs)) in self.names.iter().zip(&reloaded.names) {
            let is_disjoint = !ours.iter().any(|name| theirs.contains(name));
            if is_disjoint && (!ours.is_empty() || !theirs.is_empty()) {
                return Err(ConfigError::OtherDeployment { list });
            }
        }
        Ok(())
    }
}

/// The names of classes and tenants, by which requests refer to the indices in the settings.
pub struct SettingNames {
    /// The names of the classes, in the order of their indices.
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of their indices.
    pub tenants: Vec<String>,
}

/// The timeouts of connections to workers.
#[derive(Clone, Copy)]
pub struct WorkerConnectionConfig {
    /// The time within which a connection must be established.
    pub connect_timeout: Duration,
    /// The time after which a worker closes an idle connection.
    pub idle_timeout: Duration,
    /// The time for which a scheduler may still send to a worker after it was notified that the worker is
    /// draining.
    pub drain_grace: Duration,
}

/// The number of descriptors if the file sets none: the usual limit of a process.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The memory if the file sets no limit (MiB).
const DEFAULT_MEMORY_MIB: usize = 1024;
/// The largest limit of memory that is told apart from none (MiB).
const MAX_MEMORY_MIB: usize = 1 << 20;
/// The largest time in a setting (ns), so that sums of times do not overflow.
const MAX_TIME_NS: u64 = 30 * 24 * 3600 * 1_000_000_000;

impl Config {
    /// Loads the file at the path in `RELAY_CONFIG`. The other environment variables override the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or one of its fields or a variable is invalid.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = env("RELAY_CONFIG").ok_or(ConfigError::NotSet)?;
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        Config::decode(&bytes, env).map_err(|error| ConfigError::InFile { path, error: Box::new(error) })
    }

    /// Decodes the contents of the file. Environment variables override them.
    ///
    /// # Errors
    ///
    /// Returns an error if a field or a variable is missing or invalid.
    pub fn decode(bytes: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let value = json::decode(bytes)?;
        let root = Field::root(&value);
        let seed = root.required("seed")?;
        let (max_descriptors, max_memory_mib) = match root.optional("limits")? {
            Some(limits) => (whole_number(&limits, "sockets")?, whole_number(&limits, "memory_mb")?),
            None => (None, None),
        };
        let max_memory_mib: usize = max_memory_mib.unwrap_or(DEFAULT_MEMORY_MIB);
        let settings = root.required("settings")?;
        let zones = strings(settings.optional("zones")?)?;
        let entry_names = EntryNames { zones, kinds: strings(settings.optional("kinds")?)? };
        let initial_endpoints = initial_endpoints(&root, &entry_names)?;
        let (caps, contract) = (settings.required("caps")?, settings.required("contract")?);
        let names = SettingNames {
            classes: names_of(settings.optional("classes")?)?,
            tenants: names_of(settings.optional("customers")?)?,
        };
        let name_in_file = root.optional("name")?.map(|name| name.string().map(str::to_owned)).transpose()?;
        Ok(Config {
            identity: DeploymentIdentity::new(name_in_file, &names, &entry_names),
            name: match env("RELAY_NAME") {
                Some(name) => name,
                None => root.required("name")?.string()?.to_owned(),
            },
            listen: address(&env, &root, "RELAY_LISTEN", "listen")?,
            discovery: address(&env, &root, "RELAY_DISCOVERY", "discovery")?,
            seed: u64::from_str_radix(seed.string()?, 16)
                .map_err(|_| seed.error("must be a hexadecimal number"))?,
            max_descriptors: max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
            max_memory_bytes: max_memory_mib.min(MAX_MEMORY_MIB) << 20,
            names,
            worker_connections: WorkerConnectionConfig {
                connect_timeout: Duration::from_nanos(time_ns(&caps, "connect_timeout_ns", 1_000_000_000)?),
                idle_timeout: Duration::from_nanos(time_ns(&caps, "conn_idle_ns", 10_000_000_000)?),
                drain_grace: Duration::from_nanos(time_ns(&contract, "stop_sending_within_ns", 500_000_000)?),
            },
            settings: dispatcher_settings(&settings)?,
            entry_names,
            initial_endpoints,
        })
    }
}

/// Reads an address from an environment variable or, where that is not set, from a field of the file.
fn address(
    env: impl Fn(&str) -> Option<String>,
    root: &Field,
    variable: &str,
    name: &str,
) -> Result<SocketAddr, ConfigError> {
    if let Some(text) = env(variable) {
        return text.parse().map_err(|_| ConfigError::Address { variable: variable.to_owned(), text });
    }
    let field = root.required(name)?;
    let address = field.string()?.parse();
    Ok(address.map_err(|_| field.error("must be an address with a port"))?)
}

/// Reads a list of strings. A missing list is empty.
fn strings(list: Option<Field>) -> Result<Vec<String>, JsonError> {
    let items = list.map_or(Ok(vec![]), |list| list.items())?;
    items.iter().map(|item| item.string().map(str::to_owned)).collect()
}

/// Reads the names of the objects in a list. A missing list is empty.
fn names_of(list: Option<Field>) -> Result<Vec<String>, JsonError> {
    let items = list.map_or(Ok(vec![]), |list| list.items())?;
    items.iter().map(|item| Ok(item.required("name")?.string()?.to_owned())).collect()
}

/// Reads the endpoint list in the file. Unlike a list from discovery, it must be valid in every entry.
fn initial_endpoints(root: &Field, names: &EntryNames) -> Result<EndpointList, JsonError> {
    let Some(known) = root.optional("known")? else {
        return Ok(EndpointList { version: 0, is_snapshot: true, entries: vec![], skipped: vec![] });
    };
    let known = EndpointList::decode(&known, names)?;
    match known.skipped.first() {
        Some(error) => Err(error.clone()),
        None => Ok(known),
    }
}

/// Reloads the file for a running scheduler and returns the address of discovery, the only setting that can
/// change while it runs. Here the file overrides `RELAY_DISCOVERY`, which is as old as the process.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is invalid in any field, or belongs to another scheduler or
/// deployment.
pub fn reload_discovery(
    env: impl Fn(&str) -> Option<String>,
    running: &DeploymentIdentity,
) -> Result<SocketAddr, ConfigError> {
    let env = |name: &str| env(name).filter(|_| name != "RELAY_DISCOVERY");
    let reloaded = Config::load(env)?;
    running.check_same(&reloaded.identity)?;
    Ok(reloaded.discovery)
}

/// Reads a time (ns), which may be missing.
fn time_ns(object: &Field, name: &str, default: u64) -> Result<u64, JsonError> {
    let Some(field) = object.optional(name)? else { return Ok(default) };
    match field.integer()? {
        ns if ns <= MAX_TIME_NS => Ok(ns),
        _ => Err(field.error("must be a time of at most 30 days")),
    }
}

/// Reads a whole number, which may be missing.
fn whole_number(object: &Field, name: &str) -> Result<Option<usize>, JsonError> {
    object.optional(name)?.map(|field| field.integer()).transpose()
}

fn number(object: &Field, name: &str, default: f64) -> Result<f64, JsonError> {
    object.optional(name)?.map_or(Ok(default), |field| field.number())
}

fn flag(object: &Field, name: &str) -> Result<bool, JsonError> {
    object.optional(name)?.map_or(Ok(false), |field| field.boolean())
}

/// Returns the value for a class from one of the lists in `specifics`, which have the same order as the
/// classes.
fn class_specific(specifics: Option<&Field>, list: &str, class: usize) -> Result<Option<f64>, JsonError> {
    let Some(specifics) = specifics else { return Ok(None) };
    let Some(list) = specifics.optional(list)? else { return Ok(None) };
    list.items()?.get(class).map(|value| value.number()).transpose()
}

/// Reads the class with this index.
fn class_settings(index: usize, class: &Field, specifics: Option<&Field>) -> Result<Class, JsonError> {
    let scope = match class.optional("group")? {
        Some(scope) => scope.one_of(&[
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ])?,
        None => DeduplicationScope::Cell,
    };
    let idempotencies = [
        ("pure", Idempotency::Idempotent),
        ("token", Idempotency::IdempotentWithKey(scope)),
        ("side_effect", Idempotency::NonIdempotent),
    ];
    let stretch = class_specific(specifics, "class_stretch", index)?.unwrap_or(0.0);
    class.required("deadline_ns")?;
    class.required("on_time_ns")?;
    Ok(Class {
        idempotency: class.required("effect")?.one_of(&idempotencies)?,
        deduplication_window: time_ns(class, "window_ns", 0)?,
        latency_objective: time_ns(class, "on_time_ns", 0)?,
        latency_stretch: number(class, "aim_stretch", stretch)?,
        deadline: time_ns(class, "deadline_ns", 0)?,
        priority_weight: number(class, "importance", 1.0)?,
        late_weight_share: number(class, "late_value", 0.0)?,
        required_kind: class_specific(specifics, "class_kind", index)?
            .filter(|kind| *kind >= 0.0)
            .map(|kind| kind as u32),
    })
}

/// Returns whether load reports contain the free slots.
fn reports_free_slots(settings: &Field) -> Result<bool, JsonError> {
    let Some(report) = settings.optional("load_report")? else { return Ok(false) };
    let is_reported = report.optional("how")?.map_or(Ok("silent"), |how| how.string())? != "silent";
    let fields = report.optional("fields")?.map_or(Ok(vec![]), |fields| fields.items())?;
    Ok(is_reported && fields.iter().any(|name| name.string() == Ok("x0")))
}

fn service_limits(contract: &Field) -> Result<ServiceLimits, JsonError> {
    Ok(ServiceLimits {
        slow_start_initial_share: number(contract, "cold_from", 1.0)?,
        slow_start_duration: time_ns(contract, "cold_ns", 0)?,
        overload_multiple: number(contract, "fall_multiple", 1.0)?,
        overload_duration: time_ns(contract, "fall_ns", 1_000_000_000)?,
        unsubscribed_list_validity: time_ns(contract, "must_ask_in_ns", 10_000_000_000)?,
    })
}

/// Reads the dispatcher's settings from the `settings` object, which has the form of the platform's first
/// message.
fn dispatcher_settings(settings: &Field) -> Result<Settings, JsonError> {
    let specifics = settings.optional("specifics")?;
    let tenants = settings.optional("customers")?.map_or(Ok(vec![]), |customers| customers.items())?;
    let tenant = |tenant: &Field| Ok(Tenant { quota_per_s: number(tenant, "quota_per_s", 0.0)? });
    let (caps, contract) = (settings.required("caps")?, settings.required("contract")?);
    let reports_free_slots = reports_free_slots(settings)?;
    // `live` weights change from list to list: if the placement of keys followed them, keys would be fetched
    // again with each list.
    let weights = settings.optional("weights")?.map_or(Ok("silent"), |weights| weights.string())?;
    let reports_registered_size = matches!(weights, "nominal" | "rough");
    let mode = settings.optional("membership_mode")?;
    let notifies_job_start = specifics.as_ref().map_or(Ok(false), |s| flag(s, "tells_start"))?;
    let progress_interval = specifics.as_ref().map_or(Ok(0), |s| time_ns(s, "progress_ns", 0))?;
    let class = |(index, class): (usize, &Field)| class_settings(index, class, specifics.as_ref());
    Ok(Settings {
        dispatchers: settings.required("balancers")?.integer()?,
        zone: settings.optional("az")?.map_or(Ok(0), |zone| zone.integer())?,
        classes: settings
            .required("classes")?
            .items()?
            .iter()
            .enumerate()
            .map(class)
            .collect::<Result<_, _>>()?,
        tenants: tenants.iter().map(tenant).collect::<Result<_, JsonError>>()?,
        limits: service_limits(&contract)?,
        requires_subscription: mode.map_or(Ok(""), |mode| mode.string())? == "on_request",
        can_probe: flag(&caps, "probing")?,
        reports_registered_size,
        reports_free_slots,
        notifies_job_start,
        progress_interval,
        can_cancel: flag(&caps, "cancel")?,
        allows_hedging: flag(&caps, "parallel_tries")?,
        max_attempts: caps.optional("most_tries")?.map_or(Ok(1), |tries| tries.integer())?,
        max_retry_after: time_ns(&caps, "max_retry_after_ns", 0)?,
        connect_timeout: time_ns(&caps, "connect_timeout_ns", 1_000_000_000)?,
        clock_resolution: time_ns(settings, "resolution_ns", 1_000_000)?,
    })
}
