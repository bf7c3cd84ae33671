//! Raft's read index: a quorum confirms that this voter still leads before it serves a read of its state.

use std::time::Duration;

use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use openraft::EmptyNode;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::command::Command;
use crate::peer_error::PeerError;
use crate::raft_types::Raft;

/// The longest wait for a quorum. Clients must use longer timeouts.
pub const QUORUM_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of requests that one confirmation serves.
const MAX_BATCH_SIZE: usize = 1_024;
/// The maximum number of queued requests: one from each scheduler of the largest fleet.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Whether this process has committed a read barrier in the current term.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadBarrier {
    Committed,
    NotCommitted,
}

/// The result of one request for confirmation.
type Confirmation = Result<(), PeerError>;

/// Confirms the leadership of this voter on request. Concurrent requests share one round to the quorum.
pub struct LeadershipConfirmer {
    requests: mpsc::Sender<oneshot::Sender<Confirmation>>,
}

impl LeadershipConfirmer {
    /// Starts the confirmer of the voter `id`. Its task is added to `tasks`.
    pub fn start(id: u64, raft: Raft, tasks: &mut JoinSet<()>) -> LeadershipConfirmer {
        let (requests, request_receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        tasks.spawn(confirm_batches(id, raft, request_receiver));
        LeadershipConfirmer { requests }
    }

    /// Waits until a quorum has confirmed that this voter leads, and every entry that was committed before
    /// the call has been applied to its state machine.
    ///
    /// # Errors
    ///
    /// Fails if this voter does not lead, no quorum responds in time, or the queue of requests is full.
    pub async fn confirm(&self) -> Confirmation {
        let (sender, confirmation) = oneshot::channel();
        let queued = self.requests.try_send(sender);
        queued.map_err(|_| PeerError::NoQuorum("too many wait for one".to_owned()))?;
        confirmation.await.unwrap_or(Err(PeerError::NotLeader(None)))
    }
}

/// Returns the current term if the voter `id` considers itself the leader.
pub fn leading_term(id: u64, raft: &Raft) -> Option<u64> {
    let metrics = raft.metrics();
    let metrics = metrics.borrow();
    (metrics.current_leader == Some(id)).then_some(metrics.current_term)
}

/// Converts the Raft library's error for an entry that was not committed.
pub fn convert_write_error(error: RaftError<u64, ClientWriteError<u64, EmptyNode>>) -> PeerError {
    match error {
        RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => PeerError::NotLeader(to.leader_id),
        other => PeerError::NoQuorum(other.to_string()),
    }
}

fn convert_check_error(error: RaftError<u64, CheckIsLeaderError<u64, EmptyNode>>) -> PeerError {
    match error {
        RaftError::APIError(CheckIsLeaderError::ForwardToLeader(to)) => PeerError::NotLeader(to.leader_id),
        other => PeerError::NoQuorum(other.to_string()),
    }
}

/// Confirms the leadership once for all requests that are queued by then, in a loop. Returns when all senders
/// have been dropped.
async fn confirm_batches(
    id: u64,
    raft: Raft,
    mut request_receiver: mpsc::Receiver<oneshot::Sender<Confirmation>>,
) {
    let mut batch = Vec::new();
    let mut barrier_term = None;
    while request_receiver.recv_many(&mut batch, MAX_BATCH_SIZE).await > 0 {
        let term = leading_term(id, &raft);
        let barrier = if barrier_term == term { ReadBarrier::Committed } else { ReadBarrier::NotCommitted };
        let confirming = confirm_once(&raft, barrier);
        let confirmation = match tokio::time::timeout(QUORUM_TIMEOUT, confirming).await {
            Ok(confirmation) => confirmation,
            Err(_) => Err(PeerError::NoQuorum("not confirmed in time".to_owned())),
        };
        if confirmation.is_ok() {
            barrier_term = term;
        }
        for request in batch.drain(..) {
            // A requester that has stopped waiting needs no result.
            let _ = request.send(confirmation.clone());
        }
    }
}

/// Confirms the leadership with one round to the quorum. In each term this voter first commits a read
/// barrier.
///
/// A leader that is killed and restarted within its term leads again at once. The library then treats as
/// committed only the entries that it knows to be committed, and would confirm an old state. When an entry of
/// this process is committed, the whole log before that entry is committed too.
async fn confirm_once(raft: &Raft, barrier: ReadBarrier) -> Confirmation {
    if barrier == ReadBarrier::NotCommitted {
        raft.client_write(Command::ReadBarrier).await.map_err(convert_write_error)?;
    }
    raft.ensure_linearizable().await.map_err(convert_check_error)?;
    Ok(())
}
