//! The transport to other processes: one HTTP request, bounded in size and time.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use thiserror::Error;

use crate::messages::{PeerRequest, PeerResponse, FLEET_HEADER, FORMAT, FORMAT_HEADER, MAX_MESSAGE_BYTES};

/// Where a process listens for the others: `host:port`.
pub type Address = String;

/// The longest wait for a connection: as long as the shortest election timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an unused connection is kept open: far longer than the pause between two heartbeats or renewals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Unused connections to one process that are kept open, so that Raft's and other requests have one each.
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 2;
/// Bytes of the text of a rejection that are quoted.
const MAX_QUOTED_BYTES: usize = 200;

/// Why a process could not be asked, or its answer not be read.
#[derive(Debug, Error)]
pub enum TransportError {
    /// No voter is configured, so that there is nobody to ask.
    #[error("no voter is configured")]
    NoVoters,
    /// The voter of this number is not configured.
    #[error("no address of voter {0} is configured")]
    UnknownVoter(u64),
    /// The peer has not answered in time.
    #[error("{peer}: no answer within {} ms", .limit.as_millis())]
    Timeout {
        /// The address of the peer, or `voter` and its number.
        peer: String,
        /// How long it was given.
        limit: Duration,
    },
    /// The request is larger than `MAX_MESSAGE_BYTES`.
    #[error("{address}: the message is too large")]
    TooLarge {
        /// The address of the peer.
        address: Address,
    },
    /// The peer has rejected the request before it was read.
    #[error("{address}: {reason}")]
    Rejected {
        /// The address of the peer.
        address: Address,
        /// The beginning of the response's body.
        reason: String,
    },
    /// The message cannot be written or read, or the connection failed.
    #[error("{address}: {source}")]
    Exchange {
        /// The address of the peer.
        address: Address,
        /// What failed.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// The transport to other processes of one fleet.
#[derive(Clone)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    fleet: String,
    voters: BTreeMap<u64, Address>,
}

impl PeerClient {
    /// Creates the transport of a fleet; `voters` are the addresses of the voters by number.
    pub fn new(fleet: String, voters: BTreeMap<u64, Address>) -> PeerClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_HOST)
            .build(connector);
        PeerClient { client, fleet, voters }
    }

    /// Returns the addresses of the voters by number.
    pub fn voters(&self) -> &BTreeMap<u64, Address> {
        &self.voters
    }

    /// Asks the process at an address.
    ///
    /// # Errors
    ///
    /// Fails if the exchange fails or takes longer than `limit`; its connection is closed then. An answer
    /// that says no is an [`Ok`] with a [`PeerResponse::Error`].
    pub async fn send(
        &self,
        address: &str,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, TransportError> {
        let exchange = tokio::time::timeout(limit, self.exchange(address, request)).await;
        exchange.unwrap_or_else(|_| Err(TransportError::Timeout { peer: address.to_owned(), limit }))
    }

    /// Asks a voter by its number; else the same as [`send`](Self::send).
    ///
    /// # Errors
    ///
    /// Fails as [`send`](Self::send) does, and if the voter is not configured.
    pub async fn send_to_voter(
        &self,
        id: u64,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, TransportError> {
        let address = self.voters.get(&id).ok_or(TransportError::UnknownVoter(id))?;
        self.send(address, request, limit).await
    }

    async fn exchange(&self, address: &str, request: &PeerRequest) -> Result<PeerResponse, TransportError> {
        let body = postcard::to_stdvec(request).map_err(|e| exchange_error(address, e))?;
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(TransportError::TooLarge { address: address.to_owned() });
        }
        let request = Request::post(format!("http://{address}{}", request.path()))
            .header(FLEET_HEADER, &self.fleet)
            .header(FORMAT_HEADER, FORMAT)
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| exchange_error(address, e))?;
        let response = self.client.request(request).await.map_err(|e| exchange_error(address, e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
        let body = body.map_err(|e| exchange_error(address, e))?.to_bytes();
        if status != StatusCode::OK {
            let reason = String::from_utf8_lossy(&body[..body.len().min(MAX_QUOTED_BYTES)]).into_owned();
            return Err(TransportError::Rejected { address: address.to_owned(), reason });
        }
        postcard::from_bytes(&body).map_err(|e| exchange_error(address, e))
    }
}

fn exchange_error(
    address: &str,
    source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> TransportError {
    TransportError::Exchange { address: address.to_owned(), source: source.into() }
}
