//! Rules that the schedulers of a drill agree on: their settings, and the operator, who speaks through the program's own
//! commands and notes what it was told.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nickelflow_simulator::random::{self, Random};
use nickelflow_simulator::scenario::{Bounded, Millis};
use serde::Deserialize;
use tokio::process::Command;

use crate::record::{Record, Scribe};

/// For one command of the operator's, which gives up by itself before that.
const COMMAND: Duration = Duration::from_secs(30);
/// Between two looks at whether a change is in force.
const LOOK: Duration = Duration::from_millis(100);

/// How the schedulers of a drill agree.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// The first so many schedulers vote.
    pub voters: Bounded<1_000, 9_000>,
    #[serde(default = "lease")]
    pub lease_ms: Millis,
    #[serde(default = "renewal")]
    pub renewal_ms: Millis,
    #[serde(default = "drift")]
    pub drift: Bounded<0, 100>,
    /// For how long schedulers that do not vote honour a lease, against the rules: what a drill must then find.
    pub honour_ms: Option<Millis>,
    /// The document that all begin with.
    pub document: String,
}

fn lease() -> Millis {
    Bounded(1_000.0)
}

fn renewal() -> Millis {
    Bounded(250.0)
}

fn drift() -> Bounded<0, 100> {
    Bounded(0.01)
}

impl Agreement {
    /// T (ns), as the design note derives it; the auditor's own sum.
    pub fn bound(&self) -> u64 {
        (self.lease_ms.0 * 1e6 / (1.0 - self.drift.0)).ceil() as u64
    }

    /// The file of one scheduler. `voters` are where it reaches them.
    pub fn settings(
        &self,
        scheduler: u32,
        listen: SocketAddr,
        voters: &[SocketAddr],
        folder: &Path,
    ) -> String {
        let votes = scheduler < self.voters.0 as u32;
        let mut text = format!(
            "[rules]\nfleet = \"drill\"\nname = \"n{scheduler}\"\nlisten = \"{listen}\"\nlease_ms = {}\n\
             renewal_ms = {}\ndrift = {}\n",
            self.lease_ms.0, self.renewal_ms.0, self.drift.0
        );
        if votes {
            let data = folder.join(format!("n{scheduler}.rules"));
            text += &format!("voter = {}\ndata = {:?}\n", scheduler + 1, data.display().to_string());
        } else if let Some(honour) = self.honour_ms {
            text += &format!("drill_honour_ms = {}\n", honour.0);
        }
        text += "[rules.voters]\n";
        for (n, address) in voters.iter().enumerate() {
            text += &format!("{} = \"{address}\"\n", n + 1);
        }
        text
    }
}

/// The operator.
pub struct Operator {
    binary: PathBuf,
    folder: PathBuf,
    config: PathBuf,
    scribe: Scribe,
    documents: AtomicU64,
}

impl Operator {
    /// One that reaches the voters at these addresses.
    pub fn new(
        agreement: &Agreement,
        binary: &Path,
        folder: &Path,
        voters: &[SocketAddr],
        scribe: Scribe,
    ) -> std::io::Result<Operator> {
        let config = folder.join("operator.toml");
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        std::fs::write(&config, agreement.settings(u32::MAX, listen, voters, folder))?;
        let (binary, folder) = (binary.to_owned(), folder.to_owned());
        Ok(Operator { binary, folder, config, scribe, documents: AtomicU64::new(0) })
    }

    /// One command with a scheduler's settings, or the operator's own; what it printed, or what it said went wrong.
    pub async fn command(&self, config: Option<&Path>, words: &[&str]) -> Result<String, String> {
        let mut command = Command::new(&self.binary);
        command.arg("--config").arg(config.unwrap_or(&self.config)).arg("rules").args(words);
        let output = command.env_clear().stdin(Stdio::null()).kill_on_drop(true).output();
        let output = tokio::time::timeout(COMMAND, output).await.map_err(|_| format!("{words:?}: no end"))?;
        let output = output.map_err(|e| format!("{words:?}: {e}"))?;
        match output.status.success() {
            true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
            false => Err(format!("{words:?}: {}", String::from_utf8_lossy(&output.stderr).trim())),
        }
    }

    fn write(&self, document: &str) -> Result<String, String> {
        let number = self.documents.fetch_add(1, Ordering::Relaxed);
        let file = self.folder.join(format!("rules{number}.toml"));
        std::fs::write(&file, document).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(file.display().to_string())
    }

    pub async fn found(&self, document: &str) -> Result<(), String> {
        let file = self.write(document)?;
        self.command(None, &["found", &file]).await?;
        Ok(())
    }

    /// Proposes a document, waits until it is told to be in force or another has taken its place, and notes both. No
    /// majority is no fault of a drill's.
    pub async fn propose(&self, document: &str) -> Result<(), String> {
        let file = self.write(document)?;
        self.scribe.note(Record::Proposing);
        let Ok(said) = self.command(None, &["propose", &file]).await else { return Ok(()) };
        let number = said.trim().strip_prefix("proposal ").and_then(|n| n.parse::<u64>().ok());
        let number = number.ok_or_else(|| format!("propose: {said}"))?;
        self.scribe.note(Record::Proposed { number, document: document.to_owned() });
        self.await_force(number).await;
        Ok(())
    }

    /// Has an earlier proposal put in force again, and notes the same.
    pub async fn roll_back(&self, to: u32) -> Result<(), String> {
        let Ok(document) = self.command(None, &["show", &to.to_string()]).await else { return Ok(()) };
        self.scribe.note(Record::Proposing);
        let Ok(said) = self.command(None, &["rollback", &to.to_string()]).await else { return Ok(()) };
        let number = said.strip_prefix("proposal ").and_then(|said| said.split_once(','));
        let number = number.and_then(|(number, _)| number.parse::<u64>().ok());
        let number = number.ok_or_else(|| format!("rollback: {said}"))?;
        self.scribe.note(Record::Proposed { number, document });
        self.await_force(number).await;
        Ok(())
    }

    /// Notes when a proposal is in force, as the one that leads tells it.
    async fn await_force(&self, number: u64) {
        let waited = async {
            loop {
                if let Ok(said) = self.command(None, &["status"]).await {
                    match in_force(&said) {
                        Some((version, newest, 0)) if newest == number => {
                            return self.scribe.note(Record::InForce { number, version });
                        }
                        Some((_, newest, _)) if newest > number => return,
                        _ => {}
                    }
                }
                tokio::time::sleep(LOOK).await;
            }
        };
        let _ = tokio::time::timeout(COMMAND, waited).await;
    }

    /// Proposes drawn documents, one after the other, for as long as this is polled.
    pub async fn changes(
        &self,
        tenants: &[String],
        workers: &[String],
        seed: u64,
        every: Duration,
    ) -> Result<(), String> {
        let mut random = random::stream(seed, random::Concern::Faults, 7);
        loop {
            let begun = tokio::time::Instant::now();
            let file = self.write(&draw(tenants, workers, &mut random))?;
            let text = std::fs::read_to_string(&file).map_err(|e| e.to_string())?;
            self.scribe.note(Record::Proposing);
            if let Ok(said) = self.command(None, &["propose", &file]).await {
                if let Some(number) = said.trim().strip_prefix("proposal ").and_then(|n| n.parse().ok()) {
                    self.scribe.note(Record::Proposed { number, document: text });
                }
                if let Some((version, newest, 0)) =
                    self.command(None, &["status"]).await.ok().as_deref().and_then(in_force)
                {
                    self.scribe.note(Record::InForce { number: newest, version });
                }
            }
            tokio::time::sleep_until(begun + every).await;
        }
    }
}

/// Version, newest proposal and steps to come, from what `status` prints.
pub fn in_force(said: &str) -> Option<(String, u64, u64)> {
    let line = said.lines().find_map(|line| line.trim().strip_prefix("in force "))?;
    let (version, line) = line.split_once(", proposal ")?;
    let (newest, line) = line.split_once(" is the newest, ")?;
    let (coming, _) = line.split_once(" steps")?;
    Some((version.to_owned(), newest.parse().ok()?, coming.parse().ok()?))
}

/// Some workers set apart, some limits; what a cut off scheduler may do is all or half of it.
fn draw(tenants: &[String], workers: &[String], random: &mut Random) -> String {
    let schedulers = 60;
    let mut text = format!("schedulers = {schedulers}\nattempts = 4\n[careful]\n");
    text += ["share = 1.0\nothers = true\n", "share = 0.5\nothers = false\n"]
        [usize::from(random::unit(random) < 0.5)];
    for tenant in tenants {
        text += &format!(
            "[tenants.{tenant}]\nquota_per_s = {}\n",
            6_000 + (random::unit(random) * 6_000.0) as u32
        );
    }
    for worker in workers {
        if random::unit(random) < 0.1 {
            text += &format!("[workers.{worker}]\nstanding = \"cordoned\"\n");
        }
    }
    text
}
