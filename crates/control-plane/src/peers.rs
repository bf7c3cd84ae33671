//! Asking another process: one HTTP request, bounded in size and time.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::EmptyNode;

use crate::messages::{PeerRequest, PeerResponse, FORMAT, MAX_MESSAGE_BYTES};
use crate::raft::Types;

/// Where a process listens for the others: `host:port`.
pub type Address = String;

/// Headers that tell whose message it is.
pub const FLEET: &str = "nickelflow-fleet";
pub const FORMAT_HEADER: &str = "nickelflow-format";

const CONNECT: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_secs(30);

/// The way to other processes of one fleet.
#[derive(Clone)]
pub struct Peers {
    client: Client<HttpConnector, Full<Bytes>>,
    fleet: String,
    voters: BTreeMap<u64, Address>,
}

impl Peers {
    /// `voters` by number, where this process reaches them.
    pub fn new(fleet: String, voters: BTreeMap<u64, Address>) -> Peers {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(2)
            .build(connector);
        Peers { client, fleet, voters }
    }

    pub fn voters(&self) -> &BTreeMap<u64, Address> {
        &self.voters
    }

    /// Asks the process at an address; what takes longer than `limit` has failed, and its connection is closed.
    pub async fn ask(
        &self,
        address: &str,
        call: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, String> {
        let asked = tokio::time::timeout(limit, self.exchange(address, call)).await;
        asked.unwrap_or_else(|_| Err(format!("{address}: no answer within {} ms", limit.as_millis())))
    }

    async fn exchange(&self, address: &str, call: &PeerRequest) -> Result<PeerResponse, String> {
        let failed = |e: &dyn std::fmt::Display| format!("{address}: {e}");
        let body = postcard::to_stdvec(call).map_err(|e| failed(&e))?;
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(failed(&"the message is too large"));
        }
        let request = Request::post(format!("http://{address}{}", call.path()))
            .header(FLEET, &self.fleet)
            .header(FORMAT_HEADER, FORMAT)
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| failed(&e))?;
        let response = self.client.request(request).await.map_err(|e| failed(&e))?;
        let status = response.status();
        let body =
            Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await.map_err(|e| failed(&e))?;
        let body = body.to_bytes();
        if status != StatusCode::OK {
            return Err(failed(&String::from_utf8_lossy(&body[..body.len().min(200)])));
        }
        postcard::from_bytes(&body).map_err(|e| failed(&e))
    }
}

/// The way to one voter, for the consensus library.
pub struct Voter {
    peers: Peers,
    id: u64,
}

type RpcFailed<E = openraft::error::Infallible> = RPCError<u64, EmptyNode, RaftError<u64, E>>;

fn unreachable<E: std::error::Error>(why: String) -> RpcFailed<E> {
    RPCError::Unreachable(Unreachable::new(&std::io::Error::other(why)))
}

fn odd<E: std::error::Error>(answer: &PeerResponse) -> RpcFailed<E> {
    let why = match answer {
        PeerResponse::Error(why) => why.to_string(),
        _ => "answered something else".to_owned(),
    };
    RPCError::Network(NetworkError::new(&std::io::Error::other(why)))
}

impl Voter {
    async fn ask(&self, call: &PeerRequest, option: &RPCOption) -> Result<PeerResponse, String> {
        let address = self.peers.voters.get(&self.id);
        let address = address.ok_or_else(|| format!("no address of voter {} is configured", self.id))?;
        self.peers.ask(address, call, option.hard_ttl()).await
    }
}

impl RaftNetwork<Types> for Voter {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RpcFailed> {
        match self.ask(&PeerRequest::AppendEntries(rpc), &option).await.map_err(unreachable)? {
            PeerResponse::AppendEntries(done) => done.map_err(|e| RemoteError::new(self.id, e).into()),
            other => Err(odd(&other)),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RpcFailed<InstallSnapshotError>> {
        match self.ask(&PeerRequest::InstallSnapshot(rpc), &option).await.map_err(unreachable)? {
            PeerResponse::InstallSnapshot(done) => done.map_err(|e| RemoteError::new(self.id, e).into()),
            other => Err(odd(&other)),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RpcFailed> {
        match self.ask(&PeerRequest::Vote(rpc), &option).await.map_err(unreachable)? {
            PeerResponse::Vote(done) => done.map_err(|e| RemoteError::new(self.id, e).into()),
            other => Err(odd(&other)),
        }
    }

    /// After one that could not be reached: soon, for a link that is mended must not cost an election.
    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(Duration::from_millis(200)))
    }
}

impl RaftNetworkFactory<Types> for Peers {
    type Network = Voter;

    async fn new_client(&mut self, target: u64, _node: &EmptyNode) -> Voter {
        Voter { peers: self.clone(), id: target }
    }
}
