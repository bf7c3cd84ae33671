//! The network layer of the Raft library: sends each of its remote procedure calls as one HTTP request.

use std::time::Duration;

use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::EmptyNode;

use crate::messages::{PeerRequest, PeerResponse};
use crate::peer_client::{PeerClient, TransportError};
use crate::raft_types::TypeConfig;

/// The backoff after a voter could not be reached. It is short so that a restored link does not cause an
/// election.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The client for one voter.
pub struct VoterConnection {
    peers: PeerClient,
    id: u64,
}

type RpcError<E = openraft::error::Infallible> = RPCError<u64, EmptyNode, RaftError<u64, E>>;

fn unreachable<E: std::error::Error>(error: TransportError) -> RpcError<E> {
    RPCError::Unreachable(Unreachable::new(&std::io::Error::other(error.to_string())))
}

fn unexpected_response<E: std::error::Error>(response: &PeerResponse) -> RpcError<E> {
    let reason = match response {
        PeerResponse::Error(error) => error.to_string(),
        _ => "unexpected response type".to_owned(),
    };
    RPCError::Network(NetworkError::new(&std::io::Error::other(reason)))
}

impl VoterConnection {
    async fn send(&self, request: &PeerRequest, option: &RPCOption) -> Result<PeerResponse, TransportError> {
        self.peers.send_to_voter(self.id, request, option.hard_ttl()).await
    }
}

impl RaftNetwork<TypeConfig> for VoterConnection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RpcError> {
        match self.send(&PeerRequest::AppendEntries(rpc), &option).await.map_err(unreachable)? {
            PeerResponse::AppendEntries(result) => result.map_err(|e| RemoteError::new(self.id, e).into()),
            other => Err(unexpected_response(&other)),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RpcError<InstallSnapshotError>> {
        match self.send(&PeerRequest::InstallSnapshot(rpc), &option).await.map_err(unreachable)? {
            PeerResponse::InstallSnapshot(result) => result.map_err(|e| RemoteError::new(self.id, e).into()),
            other => Err(unexpected_response(&other)),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RpcError> {
        match self.send(&PeerRequest::Vote(rpc), &option).await.map_err(unreachable)? {
            PeerResponse::Vote(result) => result.map_err(|e| RemoteError::new(self.id, e).into()),
            other => Err(unexpected_response(&other)),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(UNREACHABLE_RETRY_DELAY))
    }
}

impl RaftNetworkFactory<TypeConfig> for PeerClient {
    type Network = VoterConnection;

    async fn new_client(&mut self, target: u64, _node: &EmptyNode) -> VoterConnection {
        VoterConnection { peers: self.clone(), id: target }
    }
}
