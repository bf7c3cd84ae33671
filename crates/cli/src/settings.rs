//! The settings file of a scheduler. `deploy/nickelflow.toml` is an example with comments.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nickelflow_rollout::{LeaseConfig, Nanos};
use serde::Deserialize;
use thiserror::Error;

const NANOS_PER_MS: Nanos = 1_000_000;
/// The maximum number of voters. More voters only make each commit slower.
const MAX_VOTERS: usize = 9;
/// The maximum duration of a lease: no rollout should wait longer than ten minutes for a lease to expire.
const MAX_LEASE_MS: u64 = 600_000;
/// The maximum length of the fleet's name, which is sent in a header of each message.
const MAX_FLEET_NAME_BYTES: usize = 64;
const DEFAULT_LEASE_MS: u64 = 2_000;
const DEFAULT_RENEWAL_MS: u64 = 500;
const DEFAULT_MAX_CLOCK_DRIFT: f64 = 0.01;

/// An invalid value in the `rules` table. The error message begins with the key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The fleet's name is empty, too long or not printable.
    #[error("fleet: must be 1 to {MAX_FLEET_NAME_BYTES} printable ASCII characters without spaces")]
    InvalidFleet,
    /// The lease is too long.
    #[error("lease_ms: must be at most {MAX_LEASE_MS}")]
    LeaseTooLong,
    /// The renewal interval is zero or not below the lease duration, or the clock drift is out of range.
    #[error("renewal_ms: must be above 0 and below lease_ms, and drift from 0 to 0.1")]
    InvalidLease,
    /// There are no voters, or more than `MAX_VOTERS`.
    #[error("voters: must have 1 to {MAX_VOTERS} entries, preferably 3 or 5")]
    InvalidVoterCount,
    /// The scheduler's own voter id is not among the voters.
    #[error("voter: {0} is not among the voters")]
    UnknownVoter(u64),
    /// Only one of the voter id and the data folder is given.
    #[error("voter: must be given together with data")]
    IncompleteVoter,
    /// The key of a voter, its id, is not a number.
    #[error("voters.{id}: must be a number")]
    InvalidVoterId {
        /// The key.
        id: String,
    },
    /// The address of a voter does not have the form `host:port`.
    #[error("voters.{id}: must be host:port, and is {address}")]
    InvalidVoterAddress {
        /// The voter's key.
        id: String,
        /// The address.
        address: String,
    },
}

/// The reason why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum LoadSettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The path of the file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid TOML, or has unknown, missing or mistyped keys.
    #[error("{}: {source}", file.display())]
    Malformed {
        /// The path of the file.
        file: PathBuf,
        /// The error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// A value is invalid.
    #[error("{}: rules.{source}", file.display())]
    Invalid {
        /// The path of the file.
        file: PathBuf,
        /// The error in the value.
        source: SettingsError,
    },
}

/// The content of a settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The settings for sharing rules; without them, the scheduler shares no rules with other schedulers.
    pub rules: Option<RulesSettings>,
}

/// The settings for sharing rules between the schedulers of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesSettings {
    /// The name of the fleet; messages of other fleets are rejected.
    pub fleet: String,
    /// The scheduler's name in the fleet; the default is the name from RELAY_NAME or RELAY_CONFIG.
    pub name: Option<String>,
    /// The address on which the scheduler listens for other schedulers.
    pub listen: SocketAddr,
    /// The scheduler's voter id if it is a voter; required together with `data_dir`.
    #[serde(rename = "voter")]
    pub voter_id: Option<u64>,
    /// The data folder of the voter, which holds its log.
    #[serde(rename = "data")]
    pub data_dir: Option<PathBuf>,
    /// The duration of a lease, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// The time between two renewals of a lease, in milliseconds.
    #[serde(default = "default_renewal_ms")]
    pub renewal_ms: u64,
    /// The largest fraction by which a clock may run faster or slower than true time.
    #[serde(rename = "drift", default = "default_max_clock_drift")]
    pub max_clock_drift: f64,
    /// For fault injection only: the time in milliseconds for which this scheduler treats a lease as valid,
    /// in violation of the protocol. A test uses it to show that it detects the consequences.
    #[serde(rename = "drill_honour_ms")]
    pub injected_lease_ms: Option<u64>,
    /// The addresses of all voters by id, as reachable from this scheduler.
    pub voters: BTreeMap<String, String>,
}

fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

fn default_renewal_ms() -> u64 {
    DEFAULT_RENEWAL_MS
}

fn default_max_clock_drift() -> f64 {
    DEFAULT_MAX_CLOCK_DRIFT
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails with a [`LoadSettingsError`] if the file cannot be read or parsed, or has an invalid value.
    pub fn load(file: &Path) -> Result<Settings, LoadSettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| LoadSettingsError::Unreadable { file: file.to_owned(), source })?;
        let settings: Settings = toml::from_str(&text)
            .map_err(|e| LoadSettingsError::Malformed { file: file.to_owned(), source: Box::new(e) })?;
        if let Some(rules) = &settings.rules {
            rules
                .validate()
                .map_err(|source| LoadSettingsError::Invalid { file: file.to_owned(), source })?;
        }
        Ok(settings)
    }
}

impl RulesSettings {
    /// Validates all values.
    fn validate(&self) -> Result<(), SettingsError> {
        let is_printable = self.fleet.bytes().all(|byte| byte.is_ascii_graphic());
        if self.fleet.is_empty() || self.fleet.len() > MAX_FLEET_NAME_BYTES || !is_printable {
            return Err(SettingsError::InvalidFleet);
        }
        if self.lease_ms > MAX_LEASE_MS {
            return Err(SettingsError::LeaseTooLong);
        }
        self.lease_config()?;
        let voters = self.voters()?;
        if voters.is_empty() || voters.len() > MAX_VOTERS {
            return Err(SettingsError::InvalidVoterCount);
        }
        match (self.voter_id, &self.data_dir) {
            (Some(id), Some(_)) if voters.contains_key(&id) => Ok(()),
            (Some(id), Some(_)) => Err(SettingsError::UnknownVoter(id)),
            (None, None) => Ok(()),
            _ => Err(SettingsError::IncompleteVoter),
        }
    }

    /// Returns the timing of leases, which must be the same at all schedulers.
    ///
    /// # Errors
    ///
    /// Fails with [`SettingsError::InvalidLease`] if the renewal interval or the clock drift is out of range.
    pub fn lease_config(&self) -> Result<LeaseConfig, SettingsError> {
        let duration = self.lease_ms * NANOS_PER_MS;
        let renewal_interval = self.renewal_ms.min(MAX_LEASE_MS) * NANOS_PER_MS;
        LeaseConfig::new(duration, renewal_interval, self.max_clock_drift).ok_or(SettingsError::InvalidLease)
    }

    /// Returns the timing that this scheduler applies to its own lease: the same as
    /// [`RulesSettings::lease_config`] unless a fault is injected.
    ///
    /// # Errors
    ///
    /// Fails like [`RulesSettings::lease_config`].
    pub fn local_lease_config(&self) -> Result<LeaseConfig, SettingsError> {
        let config = self.lease_config()?;
        let injected = self.injected_lease_ms.map(|ms| ms.min(MAX_LEASE_MS) * NANOS_PER_MS);
        Ok(LeaseConfig { duration: injected.unwrap_or(config.duration), ..config })
    }

    /// Returns the addresses of all voters by id.
    ///
    /// # Errors
    ///
    /// Fails with [`SettingsError::InvalidVoterId`] or [`SettingsError::InvalidVoterAddress`] for the first
    /// invalid entry.
    pub fn voters(&self) -> Result<BTreeMap<u64, String>, SettingsError> {
        let entries = self.voters.iter();
        entries.map(|(id, address)| Ok((parse_voter_id(id)?, validate_address(id, address)?))).collect()
    }
}

/// Parses the key of a voter, which is its id.
fn parse_voter_id(id: &str) -> Result<u64, SettingsError> {
    id.parse().map_err(|_| SettingsError::InvalidVoterId { id: id.to_owned() })
}

/// Returns the address of a voter if it has the form `host:port`, and fails otherwise.
fn validate_address(id: &str, address: &str) -> Result<String, SettingsError> {
    let is_valid =
        address.rsplit_once(':').is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok());
    if !is_valid {
        return Err(SettingsError::InvalidVoterAddress { id: id.to_owned(), address: address.to_owned() });
    }
    Ok(address.to_owned())
}
