//! All signals. The planned end: SIGTERM or SIGINT, then a while in which clients that have not heard of it
//! are still served as ever, then the door is closed and what has been taken is answered. SIGHUP: the
//! configuration is read again. SIGUSR1: the counters are printed.

use std::time::{Duration, Instant};

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::info;

use crate::counters::SharedCounters;

/// For 0.2 to 0.4 s after the signal new connections keep arriving; clients go on using those that they have.
const CROSSING: Duration = Duration::from_millis(450);
/// SIGKILL comes no sooner than this long after the longest deadline, which counts up to `LONGEST`.
const KILL: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// From the answers that are forced to the SIGKILL that may come, for them to be written in.
const WRITING: Duration = Duration::from_millis(400);
/// From the close of the door to those answers: what came last gets that long to be served.
const LAST: Duration = Duration::from_millis(700);

/// The times of a planned end, counted from its signal. SIGKILL is not announced: they must fit before the
/// soonest one that the deadlines in the settings allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Until then the door stays open: in a rolling restart the others may not be back yet, and whoever is
    /// sent away then finds nobody.
    pub stop_accepting_after: Duration,
    /// All that is still open then is answered.
    pub answer_all_after: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule for settings in which no deadline is longer than this.
    pub fn new(longest_deadline: Duration) -> ShutdownSchedule {
        let kill = longest_deadline.min(LONGEST) + KILL;
        let answered = kill.saturating_sub(WRITING).max(CROSSING + Duration::from_millis(50));
        ShutdownSchedule {
            stop_accepting_after: answered.saturating_sub(LAST).max(CROSSING),
            answer_all_after: answered,
        }
    }
}

#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum Stage {
    Serving,
    Begun { answer_by: Instant },
    Closing { answer_by: Instant },
}

/// How far the shutdown has come; every part of the program that must know holds a clone.
#[derive(Clone)]
pub struct Shutdown(watch::Receiver<Stage>);

/// Begins the shutdown.
pub struct ShutdownTrigger(watch::Sender<Stage>, ShutdownSchedule);

/// Creates the two ends of a shutdown: what begins it and what observes it.
pub fn shutdown(terms: ShutdownSchedule) -> (ShutdownTrigger, Shutdown) {
    let (trigger, shutdown) = watch::channel(Stage::Serving);
    (ShutdownTrigger(trigger, terms), Shutdown(shutdown))
}

impl ShutdownTrigger {
    /// Runs through the stages; what follows waits for what was taken by itself.
    pub async fn pull(&self) {
        let answer_by = Instant::now() + self.1.answer_all_after;
        self.0.send_replace(Stage::Begun { answer_by });
        tokio::time::sleep(self.1.stop_accepting_after).await;
        self.0.send_replace(Stage::Closing { answer_by });
    }
}

impl Shutdown {
    /// Returns whether the shutdown has begun.
    pub fn begun(&self) -> bool {
        *self.0.borrow() != Stage::Serving
    }

    /// Whether no new connections are taken any more.
    pub fn is_closing(&self) -> bool {
        matches!(*self.0.borrow(), Stage::Closing { .. })
    }

    /// When all must be answered, if the end has begun.
    pub fn answered_by(&self) -> Option<Instant> {
        match *self.0.borrow() {
            Stage::Serving => None,
            Stage::Begun { answer_by } | Stage::Closing { answer_by } => Some(answer_by),
        }
    }

    /// Returns at the begin of the end, with the time by which all must be answered.
    pub async fn answer_by(&self) -> Instant {
        let mut stage = self.0.clone();
        let begun = stage.wait_for(|stage| *stage != Stage::Serving).await.map(|stage| *stage);
        match begun {
            Ok(Stage::Begun { answer_by } | Stage::Closing { answer_by }) => answer_by,
            _ => std::future::pending().await,
        }
    }

    /// Returns once the time is over in which a request may still be taken.
    pub async fn over(&self) {
        tokio::time::sleep_until(self.answer_by().await.into()).await;
    }

    /// Returns once no new work is taken any more.
    pub async fn closing(&self) {
        let mut stage = self.0.clone();
        // A trigger that is gone can close nothing.
        if stage.wait_for(|stage| matches!(stage, Stage::Closing { .. })).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// The signals that this program takes. Until they are installed, each of them ends it.
pub struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
    print: Signal,
}

impl Signals {
    /// Installs handlers for all signals.
    ///
    /// # Errors
    ///
    /// Returns the error of the first handler that could not be installed.
    pub fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            print: signal(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the signal to end; meanwhile calls `read_again` on each SIGHUP, and prints the counters on
    /// each SIGUSR1.
    pub async fn end(mut self, counters: SharedCounters, read_again: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => read_again(),
                _ = self.print.recv() => info!("counters: {counters}"),
            }
        }
    }
}
