//! The schedulers' processes. Each is ended by its id, also when the drill panics; it starts again under its name and
//! address, which is kept for it meanwhile.

use std::fs::{File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::links::bound;
use crate::record::{Life, Record, Scribe};

/// How long a process may take until it serves, and until it has ended after SIGTERM: more than its deadlines.
const START: Duration = Duration::from_secs(15);
const END: Duration = Duration::from_secs(20);
/// Between two looks at a process.
const LOOK: Duration = Duration::from_millis(10);

/// Which system calls of a process fail.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The fault shim.
    pub library: PathBuf,
    pub plan: String,
}

/// One scheduler.
pub struct Process {
    pub number: u32,
    /// Where it listens itself; others reach it through links.
    pub address: SocketAddr,
    binary: PathBuf,
    older: Option<PathBuf>,
    config: PathBuf,
    /// Its own settings, where it has any.
    pub own: Option<PathBuf>,
    /// Where it listens for other schedulers.
    pub peers: SocketAddr,
    log: PathBuf,
    scribe: Scribe,
    /// System calls that fail in it: the library to preload, and its plan.
    pub faults: Option<Faults>,
    /// What it logs, where that is not the usual.
    pub log_filter: Option<String>,
    child: Option<Child>,
    /// Keeps the address while no process has it.
    _held: [TcpSocket; 2],
}

/// What a process uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    pub peak_kib: u64,
    pub descriptors: u32,
}

impl Process {
    /// A scheduler that is not started yet; `folder` takes its configuration and log.
    pub fn new(
        number: u32,
        binary: &Path,
        older: Option<&Path>,
        folder: &Path,
        scribe: Scribe,
    ) -> std::io::Result<Process> {
        // Not the addresses that connections go out from: a port that is free now stays so.
        let own = SocketAddr::from((Ipv4Addr::new(127, 0, 2, (number + 1).min(254) as u8), 0));
        let held = [bound(own)?, bound(own)?];
        Ok(Process {
            number,
            address: held[0].local_addr()?,
            peers: held[1].local_addr()?,
            own: None,
            binary: binary.to_owned(),
            older: older.map(Path::to_owned),
            config: folder.join(format!("n{number}.json")),
            log: folder.join(format!("n{number}.log")),
            scribe,
            faults: None,
            log_filter: None,
            child: None,
            _held: held,
        })
    }

    /// The id of its process, while it has one.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Writes its configuration file.
    pub fn configure(&self, config: &Value) -> std::io::Result<()> {
        std::fs::write(&self.config, config.to_string())
    }

    /// Starts it and waits until it serves.
    pub async fn start(&mut self, older: bool) -> Result<(), String> {
        let binary = self.older.as_ref().filter(|_| older).unwrap_or(&self.binary);
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| format!("{}: {e}", self.log.display()))?;
        let own = self.own.iter().flat_map(|own| [std::ffi::OsStr::new("--config"), own.as_os_str()]);
        let mut command = Command::new(binary);
        command.args(own).env_clear();
        if let Some(Faults { library, plan }) = &self.faults {
            command.env("LD_PRELOAD", library).env("NICKELFLOW_FAULTS", plan);
        }
        if let Some(log) = &self.log_filter {
            command.env("NICKELFLOW_LOG", log);
        }
        let child = command
            .env("RELAY_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", binary.display()))?;
        self.child = Some(child);
        let ready = async {
            while !serves(self.address).await {
                if let Some(status) = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
                    return Err(format!("scheduler {} ended at its start: {status}", self.number));
                }
                tokio::time::sleep(LOOK).await;
            }
            Ok(())
        };
        let late = |_| format!("scheduler {} does not serve", self.number);
        tokio::time::timeout(START, ready).await.map_err(late)??;
        self.note(Life::Ready);
        Ok(())
    }

    fn note(&self, life: Life) {
        self.scribe.note(Record::Process { scheduler: self.number, life });
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // One that has just ended needs none.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// SIGKILL, and waits for its end.
    pub fn kill(&mut self) {
        self.note(Life::Killed);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGSTOP: it stands still until [`go_on`](Self::go_on).
    pub fn stop(&self) {
        self.signal(Signal::SIGSTOP);
        self.note(Life::Stopped);
    }

    pub fn go_on(&self) {
        self.note(Life::Continued);
        self.signal(Signal::SIGCONT);
    }

    /// SIGHUP: its file is to be read again.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Its log, of all its lives.
    pub fn log(&self) -> std::io::Result<String> {
        std::fs::read_to_string(&self.log)
    }

    /// Resident memory at its most (KiB), and open descriptors.
    pub fn resources(&self) -> Option<Resources> {
        let id = self.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_kib = line.trim().trim_end_matches(" kB").parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u32;
        Some(Resources { peak_kib, descriptors })
    }

    /// SIGTERM.
    pub fn tell_to_end(&self) {
        self.note(Life::ToldToEnd);
        self.signal(Signal::SIGTERM);
    }

    /// Waits for its end after [`tell_to_end`](Self::tell_to_end); the error is that of one that does not end.
    pub async fn ended(&mut self) -> Result<(), String> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        let end = tokio::time::Instant::now() + END;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => {
                    self.note(Life::Ended(status.code()));
                    return Ok(());
                }
                Ok(None) if tokio::time::Instant::now() < end => tokio::time::sleep(LOOK).await,
                _ => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return Err(format!("scheduler {} does not end", self.number));
                }
            }
        }
    }

    /// Notes the end of one that ended by itself, which nobody has asked of it.
    pub fn look(&mut self) {
        if let Some(status) = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
            self.child = None;
            self.note(Life::Ended(status.code()));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Whether `GET /healthz` is answered 200 there.
async fn serves(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: drill\r\nConnection: close\r\n\r\n").await?;
        let mut start = [0; 12];
        stream.read_exact(&mut start).await?;
        Ok::<_, std::io::Error>(start.starts_with(b"HTTP/1.1 200"))
    };
    matches!(tokio::time::timeout(Duration::from_secs(1), asked).await, Ok(Ok(true)))
}
