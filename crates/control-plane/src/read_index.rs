//! Raft's read index: the confirmation by a quorum that a voter still leads, before it answers for its state.

use std::time::Duration;

use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use openraft::EmptyNode;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::command::Command;
use crate::peer_error::PeerError;
use crate::raft_types::Raft;

/// The longest wait for a quorum. Whoever asks waits longer than that.
pub const QUORUM_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests that one confirmation serves, at most.
const MAX_BATCH: usize = 1_024;
/// Requests that may wait for a confirmation: one of each scheduler of the largest fleet.
const MAX_WAITING: usize = 4_096;

/// Whether this process has committed a read barrier in its present term.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadBarrier {
    Committed,
    Missing,
}

/// The answer to one request.
type Confirmation = Result<(), PeerError>;

/// Confirms on request that this voter leads.
pub struct LeadershipConfirmer {
    requests: mpsc::Sender<oneshot::Sender<Confirmation>>,
}

impl LeadershipConfirmer {
    /// Starts the task that asks the quorum, for the voter `id`; `tasks` owns it.
    pub fn start(id: u64, raft: Raft, tasks: &mut JoinSet<()>) -> LeadershipConfirmer {
        let (requests, waiting) = mpsc::channel(MAX_WAITING);
        tasks.spawn(confirm_batches(id, raft, waiting));
        LeadershipConfirmer { requests }
    }

    /// Waits until a quorum has confirmed that this voter leads, and everything that was committed before is
    /// applied to its state machine.
    ///
    /// # Errors
    ///
    /// Fails if this voter does not lead, or no quorum answers in time, or too many requests wait already.
    pub async fn confirm(&self) -> Confirmation {
        let (sender, confirmation) = oneshot::channel();
        let queued = self.requests.try_send(sender);
        queued.map_err(|_| PeerError::NoQuorum("too many wait for one".to_owned()))?;
        confirmation.await.unwrap_or(Err(PeerError::NotLeader(None)))
    }
}

/// Returns the term in which the voter `id` leads, if it does as far as it knows.
pub fn leading_term(id: u64, raft: &Raft) -> Option<u64> {
    let metrics = raft.metrics();
    let metrics = metrics.borrow();
    (metrics.current_leader == Some(id)).then_some(metrics.current_term)
}

/// Converts the Raft library's reason for not committing an entry.
pub fn write_error(error: RaftError<u64, ClientWriteError<u64, EmptyNode>>) -> PeerError {
    match error {
        RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => PeerError::NotLeader(to.leader_id),
        other => PeerError::NoQuorum(other.to_string()),
    }
}

fn check_error(error: RaftError<u64, CheckIsLeaderError<u64, EmptyNode>>) -> PeerError {
    match error {
        RaftError::APIError(CheckIsLeaderError::ForwardToLeader(to)) => PeerError::NotLeader(to.leader_id),
        other => PeerError::NoQuorum(other.to_string()),
    }
}

/// Asks the quorum once for all requests that wait by then, until there are no senders any more.
async fn confirm_batches(id: u64, raft: Raft, mut waiting: mpsc::Receiver<oneshot::Sender<Confirmation>>) {
    let mut batch = Vec::new();
    let mut barrier_term = None;
    while waiting.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let term = leading_term(id, &raft);
        let barrier = if barrier_term == term { ReadBarrier::Committed } else { ReadBarrier::Missing };
        let asked = confirm_once(&raft, barrier);
        let confirmation = match tokio::time::timeout(QUORUM_TIMEOUT, asked).await {
            Ok(confirmation) => confirmation,
            Err(_) => Err(PeerError::NoQuorum("not confirmed in time".to_owned())),
        };
        if confirmation.is_ok() {
            barrier_term = term;
        }
        for request in batch.drain(..) {
            // One that waits no more needs no answer.
            let _ = request.send(confirmation.clone());
        }
    }
}

/// Asks the quorum once; in each term this voter first commits a read barrier.
///
/// A leader that was killed and comes back within its term leads again at once. The library then takes for
/// committed only what it knows to be, and would confirm an old state. Once an entry of this process is
/// committed, so is all of its log.
async fn confirm_once(raft: &Raft, barrier: ReadBarrier) -> Confirmation {
    if barrier == ReadBarrier::Missing {
        raft.client_write(Command::ReadBarrier).await.map_err(write_error)?;
    }
    raft.ensure_linearizable().await.map_err(check_error)?;
    Ok(())
}
