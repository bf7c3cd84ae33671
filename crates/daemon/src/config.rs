//! The configuration of a scheduler: environment variables, the file, and the dispatcher's settings in it.

use std::net::SocketAddr;
use std::time::Duration;

use nickelflow_dispatcher::{Class, DeduplicationScope, Idempotency, ServiceLimits, Settings, Tenant};
use thiserror::Error;

use crate::endpoint_list::{EndpointList, EntryNames};
use crate::json::{self, Field, JsonError};

/// Why the configuration could not be taken.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
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
    /// Something in the file is wrong.
    #[error("{path}: {error}")]
    InFile {
        /// The path of the file.
        path: String,
        /// What is wrong in it.
        error: Box<ConfigError>,
    },
    /// A field of the file is wrong.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// An environment variable is no address.
    #[error("{variable}: not an address with a port: {text}")]
    Address {
        /// The name of the variable.
        variable: String,
        /// Its text.
        text: String,
    },
    /// The file is that of another scheduler.
    #[error("name: the file is that of {other}, not of {name}")]
    OtherScheduler {
        /// This scheduler's name.
        name: String,
        /// The name in the file.
        other: String,
    },
    /// The file is that of another deployment.
    #[error("settings.{list}: shares no name with this deployment's")]
    OtherDeployment {
        /// The list in which all names are foreign.
        list: &'static str,
    },
}

/// The configuration of one scheduler.
pub struct Config {
    /// What identifies the scheduler and its deployment in later files.
    pub identity: DeploymentIdentity,
    /// The name of this scheduler.
    pub name: String,
    /// The address on which it listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of its random choices.
    pub seed: u64,
    /// The number of descriptors that it may use.
    pub max_descriptors: usize,
    /// The settings of the dispatcher.
    pub settings: Settings,
    /// The names of classes and tenants in requests.
    pub names: SettingNames,
    /// The times of its connections to workers.
    pub worker_connections: WorkerConnectionConfig,
    /// The names of zones and kinds in endpoint lists.
    pub entry_names: EntryNames,
    /// The endpoint list as this scheduler last had it.
    pub initial_endpoints: EndpointList,
}

/// Identifies the scheduler and the deployment of a file, by the names in it.
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

    /// Checks that a later file is of the same scheduler and deployment.
    fn same(&self, later: &DeploymentIdentity) -> Result<(), ConfigError> {
        if let (Some(name), Some(other)) = (&self.name, &later.name) {
            if name != other {
                return Err(ConfigError::OtherScheduler { name: name.clone(), other: other.clone() });
            }
        }
        for ((what, ours), (_, theirs)) in self.names.iter().zip(&later.names) {
            let foreign = !ours.iter().any(|name| theirs.contains(name));
            if foreign && (!ours.is_empty() || !theirs.is_empty()) {
                return Err(ConfigError::OtherDeployment { list: what });
            }
        }
        Ok(())
    }
}

/// The names that stand in requests for the indices in the settings.
pub struct SettingNames {
    /// The names of the classes, in the order of their indices.
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of their indices.
    pub tenants: Vec<String>,
}

/// The times of connections to workers.
#[derive(Clone, Copy)]
pub struct WorkerConnectionConfig {
    /// The time within which a connection must be established.
    pub connect_timeout: Duration,
    /// A worker closes a connection that has been idle for this long.
    pub idle_timeout: Duration,
    /// How long after a scheduler was notified that a worker drains it may still send to it.
    pub drain_grace: Duration,
}

/// The number of descriptors where the file sets none: the usual limit of a process.
const DEFAULT_SOCKETS: usize = 1024;
/// The largest time that makes sense in a setting (ns): later sums of times must not overflow.
const MAX_TIME_NS: u64 = 30 * 24 * 3600 * 1_000_000_000;

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. The other variables override the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or one of its fields or a variable is wrong.
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
    /// Returns an error if a field or a variable is missing or wrong.
    pub fn decode(bytes: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let value = json::decode(bytes)?;
        let root = Field::root(&value);
        let seed = root.required("seed")?;
        let max_descriptors = match root.optional("limits")? {
            Some(limits) => limits.optional("sockets")?.map(|sockets| sockets.integer()).transpose()?,
            None => None,
        };
        let settings = root.required("settings")?;
        let zones = texts(settings.optional("zones")?)?;
        let entry_names = EntryNames { zones, kinds: texts(settings.optional("kinds")?)? };
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
            max_descriptors: max_descriptors.unwrap_or(DEFAULT_SOCKETS),
            names,
            worker_connections: WorkerConnectionConfig {
                connect_timeout: Duration::from_nanos(time(&caps, "connect_timeout_ns", 1_000_000_000)?),
                idle_timeout: Duration::from_nanos(time(&caps, "conn_idle_ns", 10_000_000_000)?),
                drain_grace: Duration::from_nanos(time(&contract, "stop_sending_within_ns", 500_000_000)?),
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

/// Reads a list of texts; one that is missing is empty.
fn texts(list: Option<Field>) -> Result<Vec<String>, JsonError> {
    let items = list.map_or(Ok(vec![]), |list| list.items())?;
    items.iter().map(|item| item.string().map(str::to_owned)).collect()
}

/// Reads the names of the objects in a list; one that is missing is empty.
fn names_of(list: Option<Field>) -> Result<Vec<String>, JsonError> {
    let items = list.map_or(Ok(vec![]), |list| list.items())?;
    items.iter().map(|item| Ok(item.required("name")?.string()?.to_owned())).collect()
}

/// Reads the endpoint list in the file. Unlike one from discovery it must be sound in every entry.
fn initial_endpoints(root: &Field, names: &EntryNames) -> Result<EndpointList, JsonError> {
    let Some(known) = root.optional("known")? else {
        return Ok(EndpointList { version: 0, is_snapshot: true, entries: vec![], skipped: vec![] });
    };
    let known = EndpointList::decode(&known, names)?;
    match known.skipped.first() {
        Some(why) => Err(why.clone()),
        None => Ok(known),
    }
}

/// Reads the file again for a running scheduler and returns the only thing it takes from it, the address of discovery. Here
/// the file overrides `RELAY_DISCOVERY`, which is as old as the process.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is wrong in any field, or is that of another scheduler or deployment.
pub fn reload_discovery(
    env: impl Fn(&str) -> Option<String>,
    running: &DeploymentIdentity,
) -> Result<SocketAddr, ConfigError> {
    let env = |name: &str| env(name).filter(|_| name != "RELAY_DISCOVERY");
    let later = Config::load(env)?;
    running.same(&later.identity)?;
    Ok(later.discovery)
}

fn time(object: &Field, name: &str, default: u64) -> Result<u64, JsonError> {
    let Some(field) = object.optional(name)? else { return Ok(default) };
    match field.integer()? {
        ns if ns <= MAX_TIME_NS => Ok(ns),
        _ => Err(field.error("must be a time of at most 30 days")),
    }
}

fn number(object: &Field, name: &str, default: f64) -> Result<f64, JsonError> {
    object.optional(name)?.map_or(Ok(default), |field| field.number())
}

fn flag(object: &Field, name: &str) -> Result<bool, JsonError> {
    object.optional(name)?.map_or(Ok(false), |field| field.boolean())
}

/// Returns a figure of a class from one of the lists in `specifics`, which are ordered as the classes are.
fn class_specific(specifics: Option<&Field>, list: &str, class: usize) -> Result<Option<f64>, JsonError> {
    let Some(specifics) = specifics else { return Ok(None) };
    let Some(list) = specifics.optional(list)? else { return Ok(None) };
    list.items()?.get(class).map(|figure| figure.number()).transpose()
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
        deduplication_window: time(class, "window_ns", 0)?,
        latency_objective: time(class, "on_time_ns", 0)?,
        latency_stretch: number(class, "aim_stretch", stretch)?,
        deadline: time(class, "deadline_ns", 0)?,
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
        slow_start_duration: time(contract, "cold_ns", 0)?,
        overload_multiple: number(contract, "fall_multiple", 1.0)?,
        overload_duration: time(contract, "fall_ns", 1_000_000_000)?,
        unsubscribed_list_validity: time(contract, "must_ask_in_ns", 10_000_000_000)?,
    })
}

/// Reads the dispatcher's settings from the object of the platform's first message.
fn dispatcher_settings(settings: &Field) -> Result<Settings, JsonError> {
    let specifics = settings.optional("specifics")?;
    let tenants = settings.optional("customers")?.map_or(Ok(vec![]), |customers| customers.items())?;
    let tenant = |tenant: &Field| Ok(Tenant { quota_per_s: number(tenant, "quota_per_s", 0.0)? });
    let (caps, contract) = (settings.required("caps")?, settings.required("contract")?);
    let reports_free_slots = reports_free_slots(settings)?;
    // `live` figures shift from list to list: keys that followed them would be fetched anew with each.
    let weights = settings.optional("weights")?.map_or(Ok("silent"), |weights| weights.string())?;
    let reports_registered_size = matches!(weights, "nominal" | "rough");
    let mode = settings.optional("membership_mode")?;
    let notifies_job_start = specifics.as_ref().map_or(Ok(false), |s| flag(s, "tells_start"))?;
    let progress_interval = specifics.as_ref().map_or(Ok(0), |s| time(s, "progress_ns", 0))?;
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
        max_retry_after: time(&caps, "max_retry_after_ns", 0)?,
        connect_timeout: time(&caps, "connect_timeout_ns", 1_000_000_000)?,
        clock_resolution: time(settings, "resolution_ns", 1_000_000)?,
    })
}
