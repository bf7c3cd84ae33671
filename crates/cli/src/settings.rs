//! The scheduler's own settings; `deploy/nickelflow.toml` is the commented example.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use nickelflow_rollout::LeaseConfig;
use serde::Deserialize;

use crate::{status, Failed};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub rules: Option<RulesSettings>,
}

/// How the schedulers of a fleet agree on rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesSettings {
    pub fleet: String,
    /// Its name, where it is not the one that RELAY_NAME or RELAY_CONFIG gives.
    pub name: Option<String>,
    /// Where others reach it.
    pub listen: SocketAddr,
    /// A voter's number and folder.
    pub voter: Option<u64>,
    pub data: Option<PathBuf>,
    #[serde(default = "lease")]
    pub lease_ms: u64,
    #[serde(default = "renewal")]
    pub renewal_ms: u64,
    #[serde(default = "drift")]
    pub drift: f64,
    /// For drills only: for how long this scheduler takes a lease to hold, against the rules, so that a drill can be seen
    /// to find what comes of it.
    pub drill_honour_ms: Option<u64>,
    /// All voters by number, where this scheduler reaches them.
    pub voters: BTreeMap<String, String>,
}

fn lease() -> u64 {
    2_000
}

fn renewal() -> u64 {
    500
}

fn drift() -> f64 {
    0.01
}

const MOST_VOTERS: usize = 9;
const LONGEST_MS: u64 = 600_000;

impl Settings {
    pub fn load(file: &Path) -> Result<Settings, Failed> {
        let name = file.display();
        let text = std::fs::read_to_string(file)
            .map_err(|e| Failed(status::USAGE, format!("{name}: cannot be read: {e}")))?;
        let settings: Settings =
            toml::from_str(&text).map_err(|e| Failed(status::USAGE, format!("{name}: {e}")))?;
        if let Some(rules) = &settings.rules {
            rules.check().map_err(|why| Failed(status::USAGE, format!("{name}: rules.{why}")))?;
        }
        Ok(settings)
    }
}

impl RulesSettings {
    fn check(&self) -> Result<(), String> {
        if self.fleet.is_empty() || self.fleet.len() > 64 || !self.fleet.bytes().all(|b| b.is_ascii_graphic())
        {
            return Err("fleet: must be 1 to 64 printable ASCII characters without blanks".to_owned());
        }
        if self.lease_ms > LONGEST_MS {
            return Err(format!("lease_ms: must be at most {LONGEST_MS}"));
        }
        self.terms()?;
        let voters = self.voters()?;
        if voters.is_empty() || voters.len() > MOST_VOTERS {
            return Err(format!("voters: must be 1 to {MOST_VOTERS}, better 3 or 5"));
        }
        match (self.voter, &self.data) {
            (Some(voter), Some(_)) if voters.contains_key(&voter) => Ok(()),
            (Some(voter), Some(_)) => Err(format!("voter: {voter} is not among the voters")),
            (None, None) => Ok(()),
            _ => Err("voter: goes with data, and neither without the other".to_owned()),
        }
    }

    pub fn terms(&self) -> Result<LeaseConfig, String> {
        let terms = LeaseConfig::new(
            self.lease_ms * 1_000_000,
            self.renewal_ms.min(LONGEST_MS) * 1_000_000,
            self.drift,
        );
        terms.ok_or_else(|| {
            "renewal_ms: must be above 0 and below lease_ms, and drift from 0 to 0.1".to_owned()
        })
    }

    pub fn honoured(&self) -> Result<LeaseConfig, String> {
        let terms = self.terms()?;
        let longer = self.drill_honour_ms.map(|ms| ms.min(LONGEST_MS) * 1_000_000);
        Ok(LeaseConfig { duration: longer.unwrap_or(terms.duration), ..terms })
    }

    pub fn voters(&self) -> Result<BTreeMap<u64, String>, String> {
        let voter = |(id, address): (&String, &String)| match (id.parse::<u64>(), address.rsplit_once(':')) {
            (Ok(id), Some((host, port))) if !host.is_empty() && port.parse::<u16>().is_ok() => {
                Ok((id, address.clone()))
            }
            (Err(_), _) => Err(format!("voters.{id}: must be a number")),
            _ => Err(format!("voters.{id}: must be host:port, and is {address}")),
        };
        self.voters.iter().map(voter).collect()
    }
}
