//! What happens in a world, as the world itself saw it: the only thing that the auditor, traces and digests
//! look at. Nothing here comes from a policy, but the answers and attempts that it ordered.

use std::fmt;

use crate::time::{in_seconds, Nanos};

/// How an attempt ended, as its scheduler was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Error,
    TurnedAway,
    TimedOut,
    NoConnection,
    Reset,
    CalledOff,
}

impl Ending {
    /// Whether a scheduler that is told so knows that the attempt never ran.
    pub fn proves_unrun(self) -> bool {
        matches!(self, Ending::TurnedAway | Ending::NoConnection)
    }
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Served,
    /// With advice to come again after so many ns.
    Refused(Nanos),
    Failed,
}

/// What a list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// Jobs are tries: a client's retry is a job of its own, under the same request. Workers are machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Record {
    /// A job's last byte is written to a scheduler that lives.
    Asked {
        job: u64,
        request: u64,
        class: u32,
        tenant: u32,
        scheduler: u32,
        deadline: Nanos,
        retry: u32,
    },
    /// News of a worker has reached a scheduler; `started` is the start that it was told of.
    Told {
        scheduler: u32,
        worker: u32,
        standing: Standing,
        started: Option<Nanos>,
    },
    /// An attempt's first byte leaves for a machine.
    Sent {
        job: u64,
        attempt: u32,
        scheduler: u32,
        worker: u32,
    },
    /// It is whole at the machine, with so much work (ns of a standard core); taken or turned away.
    Reached {
        job: u64,
        attempt: u32,
        scheduler: u32,
        worker: u32,
        work: f64,
        taken: bool,
    },
    Started {
        job: u64,
        attempt: u32,
        worker: u32,
    },
    Finished {
        job: u64,
        attempt: u32,
        worker: u32,
    },
    /// It ended at the machine without a result: dropped, killed, handed back.
    Dropped {
        job: u64,
        attempt: u32,
        worker: u32,
    },
    /// Its scheduler has learnt how it ended.
    Ended {
        job: u64,
        attempt: u32,
        ending: Ending,
    },
    /// The policy has ordered a final answer.
    Decided {
        job: u64,
        answer: Final,
    },
    /// A final answer is written to the client.
    Answered {
        job: u64,
        answer: Final,
    },
    /// The client takes no answer any more: its time is over, or it left before.
    Left {
        job: u64,
        overdue: bool,
    },
    Killed {
        scheduler: u32,
    },
    Booted {
        scheduler: u32,
    },
    /// A connection has come up at a machine that now holds so many.
    Connected {
        worker: u32,
        open: u32,
    },
    /// A process has started on a machine.
    Up {
        worker: u32,
    },
    /// A cold worker was sent too much and stays down.
    Fell {
        worker: u32,
    },
}

impl Record {
    /// The job that it is about.
    pub fn job(&self) -> Option<u64> {
        match *self {
            Record::Asked { job, .. }
            | Record::Sent { job, .. }
            | Record::Reached { job, .. }
            | Record::Started { job, .. }
            | Record::Finished { job, .. }
            | Record::Dropped { job, .. }
            | Record::Ended { job, .. }
            | Record::Decided { job, .. }
            | Record::Answered { job, .. }
            | Record::Left { job, .. } => Some(job),
            _ => None,
        }
    }
}

/// A record with its time, as a line of a trace.
pub struct Line(pub Nanos, pub Record);

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>13.6} s  ", in_seconds(self.0))?;
        match self.1 {
            Record::Asked { request, class, tenant, scheduler, deadline, retry, .. } => write!(
                f,
                "asked of scheduler {scheduler} (request {request}, class {class}, tenant {tenant}, retry {retry}), \
                 for {:.3} s",
                in_seconds(deadline.saturating_sub(self.0))
            ),
            Record::Told { scheduler, worker, standing, .. } => {
                write!(f, "scheduler {scheduler} is told that worker {worker} is {standing:?}")
            }
            Record::Sent { attempt, worker, .. } => write!(f, "attempt {attempt} sent to worker {worker}"),
            Record::Reached { attempt, worker, taken, .. } => {
                let how = if taken { "taken" } else { "turned away" };
                write!(f, "attempt {attempt} {how} at worker {worker}")
            }
            Record::Started { attempt, worker, .. } => write!(f, "attempt {attempt} starts on worker {worker}"),
            Record::Finished { attempt, worker, .. } => write!(f, "attempt {attempt} done on worker {worker}"),
            Record::Dropped { attempt, worker, .. } => write!(f, "attempt {attempt} dropped at worker {worker}"),
            Record::Ended { attempt, ending, .. } => write!(f, "attempt {attempt} ended for its scheduler: {ending:?}"),
            Record::Decided { answer, .. } => write!(f, "final answer decided: {answer:?}"),
            Record::Answered { answer, .. } => write!(f, "final answer written: {answer:?}"),
            Record::Left { overdue: true, .. } => write!(f, "its client's time is over"),
            Record::Left { overdue: false, .. } => write!(f, "its client leaves"),
            Record::Killed { scheduler } => write!(f, "scheduler {scheduler} is killed"),
            Record::Booted { scheduler } => write!(f, "scheduler {scheduler} starts"),
            Record::Connected { worker, open } => write!(f, "worker {worker} holds {open} connections"),
            Record::Up { worker } => write!(f, "worker {worker} starts"),
            Record::Fell { worker } => write!(f, "worker {worker} falls over"),
        }
    }
}
