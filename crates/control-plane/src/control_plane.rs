//! The control plane's thread, from start to shutdown.

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

/// How long a process that shuts down tries to leave the membership. It equals the quorum timeout, because a
/// member that stays delays every reduction of a limit. A process that must stop at once can be killed; it
/// then stays a member.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of one attempt to leave. After it the request is sent again, to the same or another voter.
const LEAVE_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long Raft, and then the runtime, may take to stop.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

const THREAD_NAME: &str = "rules";

/// Why the control plane could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listener cannot be switched to non-blocking mode.
    #[error("listener: {0}")]
    Listener(#[source] std::io::Error),
    /// The runtime cannot be built.
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The thread cannot be started.
    #[error("thread: {0}")]
    Thread(#[source] std::io::Error),
    /// The thread ended before it was ready.
    #[error("the control plane thread ended before it was ready")]
    ThreadEnded,
}

/// A handle to the running control plane. Dropping it shuts the control plane down as
/// [`shut_down`](Self::shut_down) does, but without waiting for the thread.
pub struct ControlPlane {
    /// The rules that the process may act on, or `None` before its first lease.
    pub active_rules: watch::Receiver<Option<ActiveRules>>,
    shutdown: oneshot::Sender<()>,
    thread: std::thread::JoinHandle<()>,
}

impl ControlPlane {
    /// Leaves the membership and stops the thread. The caller must have stopped acting on rules. Blocks for
    /// three seconds at most, which it takes if no quorum responds.
    pub fn shut_down(self) {
        drop(self.shutdown);
        // If the thread has panicked, there is nothing left to stop.
        let _ = self.thread.join();
    }
}

/// Starts the control plane on a new thread, which serves requests of other processes on `listener`.
///
/// A voter whose data folder cannot be opened does not vote, but its process still holds leases.
///
/// # Errors
///
/// Fails if the listener, the runtime or the thread cannot be set up.
pub fn start(config: ControlPlaneConfig, listener: TcpListener) -> Result<ControlPlane, StartError> {
    listener.set_nonblocking(true).map_err(StartError::Listener)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let (shutdown, shutdown_requested) = oneshot::channel();
    let (ready, ready_receiver) = mpsc::channel();
    let run_thread = move || {
        runtime.block_on(run(config, listener, &ready, shutdown_requested));
        runtime.shutdown_timeout(STOP_TIMEOUT);
    };
    let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(run_thread);
    let thread = thread.map_err(StartError::Thread)?;
    let active_rules = ready_receiver.recv().map_err(|_| StartError::ThreadEnded)?;
    Ok(ControlPlane { active_rules, shutdown, thread })
}

/// Runs the control plane until the sender of `shutdown_requested` is dropped. After the attempt to open the
/// voter, sends the receiver of the active rules to `ready`, whether the attempt succeeded or not.
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

    // Dropping the set at the end of this function aborts the tasks that still run.
    let mut tasks = JoinSet::new();
    let voter_slot = Arc::new(VoterSlot::empty());
    if let Some(voter) = config.voter.clone() {
        let (config, lease_client, voter_slot) = (config.clone(), lease_client.clone(), voter_slot.clone());
        let opener = VoterOpener { config, voter, peers, clock, lease_client, voter_slot };
        if opener.open().await == OpenOutcome::RetryLater {
            tasks.spawn(opener.retry());
        }
    }
    // If the receiver is gone, so is the handle, and the shutdown has already been requested.
    let _ = ready.send(lease_client.subscribe());

    let renewal_task = tokio::spawn(lease_client.clone().renew_leases());
    let handler = Arc::new(RequestHandler::new(config, lease_client.clone(), voter_slot.clone()));
    tasks.spawn(Arc::new(HttpServer::new(handler.clone())).listen(listener));

    // Nothing is ever sent: dropping the sender requests the shutdown.
    let _ = shutdown_requested.await;
    // A lease request after the leave would add this process to the membership again, if another voter leads
    // by then.
    renewal_task.abort();
    let _ = renewal_task.await;
    lease_client.leave(LEAVE_TIMEOUT, LEAVE_ATTEMPT_TIMEOUT).await;
    handler.shut_down();
    if let Ok(voter) = voter_slot.get() {
        let _ = tokio::time::timeout(STOP_TIMEOUT, voter.raft.shutdown()).await;
    }
}
