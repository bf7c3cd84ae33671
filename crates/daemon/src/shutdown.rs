//! Signals and the graceful shutdown. SIGTERM and SIGINT start the shutdown: at first, clients that do not
//! know of the shutdown are still served as before; then the listener is closed and all accepted jobs are
//! answered. SIGHUP reloads the configuration. SIGUSR1 prints the counters.

use std::time::{Duration, Instant};

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::info;

use crate::counters::SharedCounters;

/// The least time for which the listener stays open after the signal. New connections keep arriving for 0.2
/// to 0.4 s after the signal, and clients go on using open connections.
const SIGNAL_PROPAGATION: Duration = Duration::from_millis(450);
/// SIGKILL is sent no sooner than `KILL_DELAY` plus the longest deadline after the signal, where the longest
/// deadline counts up to [`MAX_COUNTED_DEADLINE`].
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The time to write the answers, from the time at which all jobs are answered to the earliest possible
/// SIGKILL.
const WRITE_TIME: Duration = Duration::from_millis(400);
/// The time from the close of the listener to the time at which all jobs are answered. The last jobs can be
/// served within `LAST_JOBS_TIME`.
const LAST_JOBS_TIME: Duration = Duration::from_millis(700);

/// The schedule of a graceful shutdown, counted from the signal that starts the shutdown. SIGKILL is not
/// announced, so the schedule must end before the earliest SIGKILL that the deadlines in the settings allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// The time for which the listener stays open. In a rolling restart the other schedulers may not be back
    /// yet, and a client that is turned away would find no other scheduler.
    pub stop_accepting_after: Duration,
    /// The time after which all jobs that are still open are answered.
    pub answer_all_after: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule for settings whose longest deadline is `longest_deadline`.
    pub fn new(longest_deadline: Duration) -> ShutdownSchedule {
        let earliest_kill = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let answer_all_after =
            earliest_kill.saturating_sub(WRITE_TIME).max(SIGNAL_PROPAGATION + Duration::from_millis(50));
        ShutdownSchedule {
            stop_accepting_after: answer_all_after.saturating_sub(LAST_JOBS_TIME).max(SIGNAL_PROPAGATION),
            answer_all_after,
        }
    }
}

#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum Stage {
    Serving,
    Draining { answer_deadline: Instant },
    Closing { answer_deadline: Instant },
}

/// The stage of the shutdown, observed by each part of the program that holds a clone.
#[derive(Clone)]
pub struct Shutdown(watch::Receiver<Stage>);

/// Starts the shutdown and advances the stage of the shutdown.
pub struct ShutdownTrigger(watch::Sender<Stage>, ShutdownSchedule);

/// Creates the two ends of a shutdown: the trigger that starts the shutdown and the handle that observes the
/// stage.
pub fn shutdown_channel(schedule: ShutdownSchedule) -> (ShutdownTrigger, Shutdown) {
    let (trigger, shutdown) = watch::channel(Stage::Serving);
    (ShutdownTrigger(trigger, schedule), Shutdown(shutdown))
}

impl ShutdownTrigger {
    /// Starts the shutdown, and requests the close of the listener after `stop_accepting_after`. The acceptor
    /// itself waits for the accepted jobs.
    pub async fn run(&self) {
        let answer_deadline = Instant::now() + self.1.answer_all_after;
        self.0.send_replace(Stage::Draining { answer_deadline });
        tokio::time::sleep(self.1.stop_accepting_after).await;
        self.0.send_replace(Stage::Closing { answer_deadline });
    }
}

impl Shutdown {
    /// Returns whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        *self.0.borrow() != Stage::Serving
    }

    /// Returns whether new connections are no longer accepted.
    pub fn is_closing(&self) -> bool {
        matches!(*self.0.borrow(), Stage::Closing { .. })
    }

    /// Returns when all jobs must be answered, if the shutdown has begun.
    pub fn answer_deadline(&self) -> Option<Instant> {
        match *self.0.borrow() {
            Stage::Serving => None,
            Stage::Draining { answer_deadline } | Stage::Closing { answer_deadline } => Some(answer_deadline),
        }
    }

    /// Waits until the shutdown begins, and returns the time by which all jobs must be answered.
    pub async fn wait_for_start(&self) -> Instant {
        let mut stage = self.0.clone();
        let begun = stage.wait_for(|stage| *stage != Stage::Serving).await.map(|stage| *stage);
        match begun {
            Ok(Stage::Draining { answer_deadline } | Stage::Closing { answer_deadline }) => answer_deadline,
            _ => std::future::pending().await,
        }
    }

    /// Waits until the time by which all jobs must be answered. No request is accepted after the answer
    /// deadline.
    pub async fn wait_for_answer_deadline(&self) {
        tokio::time::sleep_until(self.wait_for_start().await.into()).await;
    }

    /// Waits until new connections are no longer accepted.
    pub async fn wait_for_closing(&self) {
        let mut stage = self.0.clone();
        // A trigger that was dropped cannot close the listener.
        if stage.wait_for(|stage| matches!(stage, Stage::Closing { .. })).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// The signals that the program handles. Until the handlers are installed, each signal terminates the
/// program.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    print_counters: Signal,
}

impl Signals {
    /// Installs handlers for all signals.
    ///
    /// # Errors
    ///
    /// Returns the error of the first handler that could not be installed.
    pub fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            print_counters: signal(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the signal to shut down. Meanwhile calls `reload` on each SIGHUP and prints the counters on
    /// each SIGUSR1.
    pub async fn wait_for_termination(mut self, counters: SharedCounters, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
                _ = self.print_counters.recv() => info!("counters: {counters}"),
            }
        }
    }
}
