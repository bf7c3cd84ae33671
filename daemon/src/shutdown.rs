//! The planned end: SIGTERM or SIGINT, then a while in which clients that have not heard of it are still
//! served as ever, then the door is closed and what has been taken is answered.

use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tracing::info;

use crate::counters::Shared;

/// For 0.2 to 0.4 s after the signal new connections keep arriving.
const CROSSING: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum Stage {
    Serving,
    Begun,
    Closing,
}

/// How far the shutdown has come; every part of the program that must know holds a clone.
#[derive(Clone)]
pub struct Shutdown(watch::Receiver<Stage>);

/// Begins the shutdown.
pub struct Trigger(watch::Sender<Stage>);

pub fn shutdown() -> (Trigger, Shutdown) {
    let (trigger, shutdown) = watch::channel(Stage::Serving);
    (Trigger(trigger), Shutdown(shutdown))
}

impl Trigger {
    /// Runs through the stages; what follows waits for what was taken by itself.
    pub async fn pull(&self) {
        self.0.send_replace(Stage::Begun);
        tokio::time::sleep(CROSSING).await;
        self.0.send_replace(Stage::Closing);
    }
}

impl Shutdown {
    pub fn begun(&self) -> bool {
        *self.0.borrow() >= Stage::Begun
    }

    /// Returns once no new work is taken any more.
    pub async fn closing(&self) {
        let mut stage = self.0.clone();
        // A trigger that is gone can close nothing.
        if stage.wait_for(|stage| *stage == Stage::Closing).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Waits for the signal to end; prints the counters on each SIGUSR1 meanwhile.
pub async fn signalled(counters: Shared) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut print = signal(SignalKind::user_defined1())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = print.recv() => info!("counters: {counters}"),
        }
    }
}
