//! The fault plan: which calls fail, how often and when. It is a list of `name=value` settings separated by
//! whitespace, read once at the first intercepted call. `P` stands for a probability from 0 to 1.
//!
//! | setting | meaning |
//! | --- | --- |
//! | `seed=N` | seed of the random numbers |
//! | `accept=P`, `socket=P`, `connect=P` | probability that the call fails with a randomly chosen error |
//! | `interrupt=P` | probability that a wait, or a read or write on a socket, fails with EINTR |
//! | `short=P` | probability that a read or write on a socket transfers only a part of the bytes |
//! | `broken=P` | probability that a read or write on a socket breaks the connection |
//! | `files=P` | probability that a write or sync of a file fails with ENOSPC or EIO |
//! | `hold=P`, `hold_ms=N` | probability that a write on a socket is delayed, and the delay in ms |
//! | `tear=N` | the N-th write of a file writes half of its bytes, then the process is killed |
//! | `errno=NAME` | failing calls return this error; calls that cannot return it are left alone |
//! | `from_ms=N`, `to_ms=N` | random faults occur only from and before this time (ms after the first call) |
//! | `while=PATH` | random faults occur only while this file exists |
//! | `wall_s=N` | offset of the wall clock in s (negative: behind) |
//! | `step=MS:S` | steps the wall clock by S s, MS ms after the first call; may be repeated |

use std::fmt;

/// A kind of system call that fails with errors of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    Accept,
    Socket,
    Connect,
    FileWrite,
    FileSync,
    /// A read or write on a socket; the failure breaks the connection.
    SocketTransfer,
}

impl CallKind {
    /// Returns the errors that the manual pages document for this call and that can occur in the way the
    /// scheduler uses it.
    pub fn errors(self) -> &'static [Errno] {
        match self {
            CallKind::Accept => {
                &[Errno::ConnAborted, Errno::NFile, Errno::MFile, Errno::NoBufs, Errno::NoMem]
            }
            CallKind::Socket => &[Errno::NFile, Errno::MFile, Errno::NoBufs],
            CallKind::Connect => &[Errno::AddrNotAvail, Errno::NetUnreach],
            CallKind::FileWrite => &[Errno::NoSpc, Errno::Io],
            CallKind::FileSync => &[Errno::Io, Errno::NoSpc],
            CallKind::SocketTransfer => &[Errno::ConnReset, Errno::TimedOut, Errno::HostUnreach],
        }
    }
}

/// An error number that a plan can name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errno {
    ConnAborted,
    NFile,
    MFile,
    NoBufs,
    NoMem,
    AddrNotAvail,
    NetUnreach,
    NoSpc,
    Io,
    ConnReset,
    TimedOut,
    HostUnreach,
}

/// Each error with its name in a plan and the kernel's number.
const ERRNO_TABLE: [(&str, Errno, i32); 12] = [
    ("ECONNABORTED", Errno::ConnAborted, libc::ECONNABORTED),
    ("ENFILE", Errno::NFile, libc::ENFILE),
    ("EMFILE", Errno::MFile, libc::EMFILE),
    ("ENOBUFS", Errno::NoBufs, libc::ENOBUFS),
    ("ENOMEM", Errno::NoMem, libc::ENOMEM),
    ("EADDRNOTAVAIL", Errno::AddrNotAvail, libc::EADDRNOTAVAIL),
    ("ENETUNREACH", Errno::NetUnreach, libc::ENETUNREACH),
    ("ENOSPC", Errno::NoSpc, libc::ENOSPC),
    ("EIO", Errno::Io, libc::EIO),
    ("ECONNRESET", Errno::ConnReset, libc::ECONNRESET),
    ("ETIMEDOUT", Errno::TimedOut, libc::ETIMEDOUT),
    ("EHOSTUNREACH", Errno::HostUnreach, libc::EHOSTUNREACH),
];

impl Errno {
    /// Returns the kernel's number of the error.
    pub fn number(self) -> i32 {
        ERRNO_TABLE.iter().find(|(_, errno, _)| *errno == self).map_or(libc::EIO, |(_, _, number)| *number)
    }

    fn from_name(name: &str) -> Option<Errno> {
        ERRNO_TABLE.iter().find(|(known, _, _)| *known == name).map(|(_, errno, _)| *errno)
    }
}

/// The reason why a plan is invalid.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanError {
    /// The setting is not of the form `name=value`, or its name is unknown.
    UnknownSetting(String),
    /// The value is not valid for the setting.
    InvalidValue(String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::UnknownSetting(setting) => write!(f, "unknown setting {setting:?}"),
            PlanError::InvalidValue(setting) => write!(f, "invalid value in {setting:?}"),
        }
    }
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockStep {
    /// Time of the step (ms after the first call).
    pub at_ms: u64,
    /// Change of the wall clock (s).
    pub offset_s: i64,
}

/// The faults to inject. Rates are probabilities from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    pub seed: u64,
    pub accept_failure_rate: f64,
    pub socket_failure_rate: f64,
    pub connect_failure_rate: f64,
    pub interrupt_rate: f64,
    pub short_transfer_rate: f64,
    pub broken_connection_rate: f64,
    pub file_failure_rate: f64,
    pub write_delay_rate: f64,
    pub write_delay_ms: u64,
    /// Number of the torn write, counted from 1.
    pub torn_write: Option<u64>,
    /// The error that failing calls return; `None` chooses one at random.
    pub forced_errno: Option<Errno>,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    pub condition_file: Option<String>,
    pub wall_clock_offset_s: i64,
    pub clock_steps: Vec<ClockStep>,
}

impl FaultPlan {
    /// Parses a plan; an empty text injects no faults.
    pub fn parse(text: &str) -> Result<FaultPlan, PlanError> {
        let mut plan = FaultPlan::default();
        for setting in text.split_whitespace() {
            plan.apply_setting(setting)?;
        }
        Ok(plan)
    }

    fn apply_setting(&mut self, setting: &str) -> Result<(), PlanError> {
        let unknown = || PlanError::UnknownSetting(setting.to_owned());
        let invalid = || PlanError::InvalidValue(setting.to_owned());
        let (name, value) = setting.split_once('=').ok_or_else(unknown)?;
        let rate = || value.parse().ok().filter(|rate| (0.0..=1.0).contains(rate)).ok_or_else(invalid);
        let number = || value.parse().map_err(|_| invalid());
        match name {
            "seed" => self.seed = number()?,
            "accept" => self.accept_failure_rate = rate()?,
            "socket" => self.socket_failure_rate = rate()?,
            "connect" => self.connect_failure_rate = rate()?,
            "interrupt" => self.interrupt_rate = rate()?,
            "short" => self.short_transfer_rate = rate()?,
            "broken" => self.broken_connection_rate = rate()?,
            "files" => self.file_failure_rate = rate()?,
            "hold" => self.write_delay_rate = rate()?,
            "hold_ms" => self.write_delay_ms = number()?,
            "tear" => self.torn_write = Some(number()?),
            "errno" => self.forced_errno = Some(Errno::from_name(value).ok_or_else(invalid)?),
            "from_ms" => self.start_ms = number()?,
            "to_ms" => self.end_ms = Some(number()?),
            "while" => self.condition_file = Some(value.to_owned()),
            "wall_s" => self.wall_clock_offset_s = value.parse().map_err(|_| invalid())?,
            "step" => {
                let (time, offset) = value.split_once(':').ok_or_else(invalid)?;
                let (at_ms, offset_s) =
                    (time.parse().map_err(|_| invalid())?, offset.parse().map_err(|_| invalid())?);
                self.clock_steps.push(ClockStep { at_ms, offset_s });
            }
            _ => return Err(unknown()),
        }
        Ok(())
    }

    /// Returns whether random faults may occur at this time (ms after the first call).
    pub fn is_active_at(&self, elapsed_ms: u64) -> bool {
        elapsed_ms >= self.start_ms && self.end_ms.is_none_or(|end_ms| elapsed_ms < end_ms)
    }

    /// Returns the offset of the wall clock (s) at this time (ms after the first call).
    pub fn wall_clock_offset_s(&self, elapsed_ms: u64) -> i64 {
        let steps = self.clock_steps.iter().filter(|step| step.at_ms <= elapsed_ms);
        self.wall_clock_offset_s + steps.map(|step| step.offset_s).sum::<i64>()
    }

    /// Returns the error of a failing call, chosen by a random number; `None` if the plan forces an error
    /// that this call cannot return.
    pub fn choose_error(&self, call: CallKind, random: u64) -> Option<Errno> {
        let errors = call.errors();
        match self.forced_errno {
            Some(errno) => errors.contains(&errno).then_some(errno),
            None => errors.get(random as usize % errors.len()).copied(),
        }
    }
}

/// Returns the n-th random number of a seed (the finalizer of SplitMix64).
pub fn nth_random(seed: u64, n: u64) -> u64 {
    let mut x = seed.wrapping_add(n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a random number to the range from 0 (included) to 1 (excluded).
pub fn to_unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1u64 << 53) as f64
}
