//! A process's part in the control plane: its thread, from the start to the shutdown.

use std::net::TcpListener;
use std::sync::{mpsc, Arc};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tracing::info;

use crate::active_rules::ActiveRules;
use crate::clock::{Clock, NANOS_PER_MS};
use crate::config::ControlPlaneConfig;
use crate::http_server::HttpServer;
use crate::lease_client::LeaseClient;
use crate::peer_client::PeerClient;
use crate::request_handler::RequestHandler;
use crate::voter::{OpenOutcome, VoterOpener, VoterSlot};

/// How long a process that shuts down tries to leave the membership: as long as a quorum is waited for, for a
/// member that stays holds up every lower limit. A process that must not wait is killed, and stays a member
/// as after any other kill.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long one voter is given to commit the leave, before it or another one is asked again.
const LEAVE_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long Raft, and then the runtime, are given to stop.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

const THREAD_NAME: &str = "rules";

/// Why the control plane has not started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listener cannot be used.
    #[error("listener: {0}")]
    Listener(#[source] std::io::Error),
    /// The runtime cannot be built.
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The thread cannot be started.
    #[error("thread: {0}")]
    Thread(#[source] std::io::Error),
    /// The thread has ended before it was ready.
    #[error("the thread of the rules has ended")]
    ThreadEnded,
}

/// The handle of a process's part in the control plane. Dropping it ends the thread in the same way as
/// [`shut_down`](Self::shut_down), but without waiting for it.
pub struct ControlPlane {
    /// The rules that the process may act on; `None` before its first lease.
    pub active_rules: watch::Receiver<Option<ActiveRules>>,
    shutdown: oneshot::Sender<()>,
    thread: std::thread::JoinHandle<()>,
}

impl ControlPlane {
    /// Leaves the membership and ends the thread. The caller must not act on any rules any more. Blocks for
    /// three seconds at most, which it takes if no quorum answers.
    pub fn shut_down(self) {
        drop(self.shutdown);
        // If the thread has panicked, there is nothing left to end.
        let _ = self.thread.join();
    }
}

/// Starts the control plane on a thread of its own, which answers other processes on this listener.
///
/// A voter whose data folder cannot be opened does not vote; its process holds leases all the same.
///
/// # Errors
///
/// Fails if the listener, the runtime or the thread cannot be set up.
pub fn start(config: ControlPlaneConfig, listener: TcpListener) -> Result<ControlPlane, StartError> {
    listener.set_nonblocking(true).map_err(StartError::Listener)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let (shutdown, shutdown_requested) = oneshot::channel();
    let (ready, started) = mpsc::channel();
    let work = move || {
        runtime.block_on(run(config, listener, &ready, shutdown_requested));
        runtime.shutdown_timeout(STOP_TIMEOUT);
    };
    let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(work);
    let thread = thread.map_err(StartError::Thread)?;
    let active_rules = started.recv().map_err(|_| StartError::ThreadEnded)?;
    Ok(ControlPlane { active_rules, shutdown, thread })
}

/// Runs the control plane until the sender of `shutdown_requested` is dropped. Sends the receiver of the
/// active rules once the voter was opened, or could not be.
async fn run(
    config: ControlPlaneConfig,
    listener: TcpListener,
    ready: &mpsc::Sender<watch::Receiver<Option<ActiveRules>>>,
    shutdown_requested: oneshot::Receiver<()>,
) {
    let config = Arc::new(config);
    let clock = Clock::start();
    let peers = PeerClient::new(config.fleet.clone(), config.voters.clone());
    let lease_client = LeaseClient::new(&config, clock, peers.clone());
    let max_overlap_ms = config.lease.max_overlap() / NANOS_PER_MS;
    info!(fleet = config.fleet, max_overlap_ms, "control plane started");

    // Dropped at the end of this function, which aborts what still runs.
    let mut tasks = JoinSet::new();
    let slot = Arc::new(VoterSlot::empty());
    if let Some(voter) = config.voter.clone() {
        let (config, lease_client, slot) = (config.clone(), lease_client.clone(), slot.clone());
        let opener = VoterOpener { config, voter, peers, clock, lease_client, slot };
        if opener.open().await == OpenOutcome::RetryLater {
            tasks.spawn(opener.retry());
        }
    }
    // Without a receiver the handle is gone, and the shutdown is requested already.
    let _ = ready.send(lease_client.subscribe());

    let renewals = tokio::spawn(lease_client.clone().renew_leases());
    let handler = Arc::new(RequestHandler::new(config, lease_client.clone(), slot.clone()));
    tasks.spawn(Arc::new(HttpServer::new(handler.clone())).listen(listener));

    // The sender is dropped and never used.
    let _ = shutdown_requested.await;
    // A renewal after the leave would make this process a member again, where another voter leads by then.
    renewals.abort();
    let _ = renewals.await;
    lease_client.leave(LEAVE_TIMEOUT, LEAVE_ATTEMPT_TIMEOUT).await;
    handler.shut_down();
    if let Ok(voter) = slot.get() {
        let _ = tokio::time::timeout(STOP_TIMEOUT, voter.raft.shutdown()).await;
    }
}
