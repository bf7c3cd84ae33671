//! Scenarios of drills, as TOML: a world in the laboratory's language, and what goes wrong between processes.

use std::fmt;
use std::path::Path;

use nickelflow_simulator::scenario::{Bounded, Millis, Part, Scenario, Seconds};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::agreement::Agreement;

/// A drill.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drill {
    /// What takes part. Its own `faults` are the laboratory's and must be empty here.
    pub world: Scenario,
    /// Zones that the racks are dealt to in turn.
    #[serde(default = "one")]
    pub zones: Bounded<1_000, 26_000>,
    /// Rules that the schedulers agree on; without them they do not know each other.
    pub rules: Option<Agreement>,
    #[serde(default)]
    pub events: Vec<Event>,
}

fn one() -> Bounded<1_000, 26_000> {
    Bounded(1.0)
}

/// Something that goes wrong, from a time on and for a while.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    #[serde(with = "plain")]
    pub at_s: Seconds,
    /// How long it lasts, or until what was ended starts again.
    #[serde(with = "plain")]
    pub for_s: Seconds,
    pub what: What,
}

/// Who of many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parties {
    Clients,
    Discovery,
    Schedulers,
    Scheduler(u32),
    Workers,
    Worker(u32),
    Rack(u32),
    /// By its place in the alphabet: `zone a` is 0.
    Zone(u32),
}

impl fmt::Display for Parties {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Parties::Clients => write!(f, "clients"),
            Parties::Discovery => write!(f, "discovery"),
            Parties::Schedulers => write!(f, "schedulers"),
            Parties::Scheduler(n) => write!(f, "scheduler {n}"),
            Parties::Workers => write!(f, "workers"),
            Parties::Worker(n) => write!(f, "worker {n}"),
            Parties::Rack(n) => write!(f, "rack {n}"),
            Parties::Zone(n) => write!(f, "zone {}", zone_name(*n)),
        }
    }
}

impl std::str::FromStr for Parties {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || {
            format!(
                "{text:?} is none of: clients, discovery, schedulers, workers, scheduler N, worker N, rack N, zone X"
            )
        };
        match text {
            "clients" => return Ok(Parties::Clients),
            "discovery" => return Ok(Parties::Discovery),
            "schedulers" => return Ok(Parties::Schedulers),
            "workers" => return Ok(Parties::Workers),
            _ => {}
        }
        let (kind, which) = text.split_once(' ').ok_or_else(wrong)?;
        let number = || which.parse().map_err(|_| wrong());
        match kind {
            "scheduler" => Ok(Parties::Scheduler(number()?)),
            "worker" => Ok(Parties::Worker(number()?)),
            "rack" => Ok(Parties::Rack(number()?)),
            "zone" => match which.as_bytes() {
                [letter @ b'a'..=b'z'] => Ok(Parties::Zone(u32::from(letter - b'a'))),
                _ => Err(wrong()),
            },
            _ => Err(wrong()),
        }
    }
}

/// The name of a zone by its number.
pub fn zone_name(number: u32) -> String {
    char::from(b'a' + number.min(25) as u8).to_string()
}

impl<'de> Deserialize<'de> for Parties {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}

impl Serialize for Parties {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Which way nothing passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// From the one who connects.
    Requests,
    /// Back to it.
    Answers,
    Both,
}

/// What becomes of connections that were open through a cut, when it is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Then {
    /// What was sent meanwhile arrives, late, as repeated by TCP.
    Deliver,
    Reset,
}

/// What goes wrong. Links are named by who connects (`from`) and who is connected to (`to`).
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// SIGKILL; the same name and address starts again after `for_s`.
    Kill {
        schedulers: Vec<u32>,
    },
    /// SIGSTOP, and SIGCONT after `for_s`.
    Stop {
        schedulers: Vec<u32>,
    },
    /// SIGHUP so many times, within a second; the file is as it was.
    HangUp {
        scheduler: u32,
        times: u32,
    },
    /// SIGTERM; once it has ended, it starts again after `for_s`; with `older`, the older build if one is given.
    Restart {
        schedulers: Vec<u32>,
        #[serde(default)]
        older: bool,
    },
    /// Nothing passes and no new connection comes up; nobody is told.
    Cut {
        from: Parties,
        to: Parties,
        way: Way,
        then: Then,
    },
    /// Each piece comes later by this, and up to `jitter_ms` more.
    Delay {
        from: Parties,
        to: Parties,
        #[serde(with = "plain")]
        by_ms: Millis,
        #[serde(with = "plain")]
        jitter_ms: Millis,
    },
    /// No more than so many bytes a second each way.
    Slow {
        from: Parties,
        to: Parties,
        bytes_per_s: u32,
    },
    /// Each connection is reset once it has carried so many bytes.
    ResetAfter {
        from: Parties,
        to: Parties,
        bytes: u32,
    },
    /// This part of the pieces resets its connection instead of arriving.
    ResetAtRandom {
        from: Parties,
        to: Parties,
        #[serde(with = "plain")]
        part: Part,
    },
    /// New connections are refused; open ones go on.
    Refuse {
        from: Parties,
        to: Parties,
    },
    /// The workers' processes end, and start again cold after `for_s`.
    Crash {
        workers: Parties,
    },
    /// The workers' machines are silent, and return cold after `for_s`; connections are then reset.
    Vanish {
        workers: Parties,
    },
    /// They take work and answer nothing.
    Hang {
        workers: Parties,
    },
    /// They are listed as draining, end, and start again cold after `for_s`.
    Drain {
        workers: Parties,
    },
    /// The operator proposes this document.
    Propose {
        document: String,
    },
    /// The operator wants an earlier proposal again.
    RollBack {
        to: u32,
    },
    /// The operator proposes drawn documents, one each so often.
    Changes {
        #[serde(with = "plain")]
        every_ms: Millis,
    },
    DiscoveryDown,
    /// Nothing new is listed.
    DiscoveryStale,
}

impl What {
    /// Its name, for reports.
    pub fn name(&self) -> &'static str {
        match self {
            What::Kill { .. } => "kill",
            What::Stop { .. } => "stop",
            What::HangUp { .. } => "hang up",
            What::Restart { .. } => "restart",
            What::Cut { .. } => "cut",
            What::Delay { .. } => "delay",
            What::Slow { .. } => "slow",
            What::ResetAfter { .. } => "reset after",
            What::ResetAtRandom { .. } => "reset at random",
            What::Refuse { .. } => "refuse",
            What::Crash { .. } => "crash",
            What::Vanish { .. } => "vanish",
            What::Hang { .. } => "hang",
            What::Drain { .. } => "drain",
            What::Propose { .. } => "propose",
            What::RollBack { .. } => "roll back",
            What::Changes { .. } => "changes",
            What::DiscoveryDown => "discovery down",
            What::DiscoveryStale => "discovery stale",
        }
    }
}

/// Bounded figures as plain numbers, both ways.
mod plain {
    use super::{Bounded, Deserialize, Deserializer, Serializer};

    pub fn deserialize<'de, D: Deserializer<'de>, const L: i64, const H: i64>(
        deserializer: D,
    ) -> Result<Bounded<L, H>, D::Error> {
        Bounded::deserialize(deserializer)
    }

    pub fn serialize<S: Serializer, const L: i64, const H: i64>(
        figure: &Bounded<L, H>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(figure.0)
    }
}

/// The most processes, workers and links that a drill may have: they are real, and so are their descriptors.
pub const MOST_SCHEDULERS: u32 = 60;
pub const MOST_WORKERS: u32 = 400;
pub const MOST_LINKS: u32 = 6_000;

impl Drill {
    pub fn load(path: &Path) -> Result<Drill, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Drill::parse(&text).map_err(|why| format!("{}: {}", path.display(), why.trim_end()))
    }

    /// Reads a drill; the error names line and field.
    pub fn parse(text: &str) -> Result<Drill, String> {
        let drill: Drill = toml::from_str(text).map_err(|e| e.to_string())?;
        drill.check()?;
        Ok(drill)
    }

    pub fn schedulers(&self) -> u32 {
        self.world.schedulers.0 as u32
    }

    /// What no single figure shows.
    fn check(&self) -> Result<(), String> {
        self.world.check().map_err(|why| format!("world.{why}"))?;
        if !self.world.faults.is_empty() {
            return Err("world.faults: a drill's faults are its events".to_owned());
        }
        let (schedulers, workers) = (self.schedulers(), self.world.workers_count() as u32);
        if schedulers > MOST_SCHEDULERS {
            return Err(format!("world.schedulers: over {MOST_SCHEDULERS}"));
        }
        if workers > MOST_WORKERS || workers * schedulers > MOST_LINKS {
            return Err(format!("world.pools: over {MOST_WORKERS} workers or {MOST_LINKS} links to them"));
        }
        if self.rules.as_ref().is_some_and(|rules| rules.voters.0 as u32 > schedulers) {
            return Err("rules.voters: more than there are schedulers".to_owned());
        }
        for (number, event) in self.events.iter().enumerate() {
            self.sound(&event.what).map_err(|why| format!("events[{number}].{why}"))?;
        }
        Ok(())
    }

    fn sound(&self, what: &What) -> Result<(), String> {
        let known = |field: &str, parties: Parties| {
            let (n, most) = match parties {
                Parties::Scheduler(n) => (n, self.schedulers()),
                Parties::Worker(n) => (n, self.world.workers_count() as u32),
                Parties::Zone(n) => (n, self.zones.0 as u32),
                _ => return Ok(()),
            };
            if n < most {
                Ok(())
            } else {
                Err(format!("{field}: there is no {parties}"))
            }
        };
        let only_workers = |parties: Parties| match parties {
            Parties::Workers | Parties::Worker(_) | Parties::Rack(_) | Parties::Zone(_) => Ok(()),
            _ => Err(format!("workers: {parties} are none")),
        };
        match what {
            What::Kill { schedulers } | What::Stop { schedulers } | What::Restart { schedulers, .. } => {
                schedulers.iter().try_for_each(|n| known("schedulers", Parties::Scheduler(*n)))
            }
            What::HangUp { scheduler, .. } => known("scheduler", Parties::Scheduler(*scheduler)),
            What::Cut { from, to, .. }
            | What::Delay { from, to, .. }
            | What::Slow { from, to, .. }
            | What::ResetAfter { from, to, .. }
            | What::ResetAtRandom { from, to, .. }
            | What::Refuse { from, to } => known("from", *from).and_then(|()| known("to", *to)),
            What::Crash { workers }
            | What::Vanish { workers }
            | What::Hang { workers }
            | What::Drain { workers } => only_workers(*workers).and_then(|()| known("workers", *workers)),
            What::Propose { .. } | What::RollBack { .. } | What::Changes { .. } if self.rules.is_none() => {
                Err("there are no rules to change".to_owned())
            }
            What::Propose { .. } | What::RollBack { .. } | What::Changes { .. } => Ok(()),
            What::DiscoveryDown | What::DiscoveryStale => Ok(()),
        }
    }
}
