//! The client for requests to other processes: one HTTP request per message, limited in size and time.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use nickelflow_input_memory::read_body;
use thiserror::Error;

use crate::messages::{PeerRequest, PeerResponse, FLEET_HEADER, FORMAT, FORMAT_HEADER, MAX_MESSAGE_BYTES};

/// The address on which a process listens for other processes: `host:port`.
pub type Address = String;

/// The timeout for connecting. It equals the shortest election timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection stays open. It is far longer than the interval of heartbeats and of renewals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of idle connections per process: one for Raft requests and one for other requests.
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 2;
/// How much of a rejection's text is quoted in an error.
const MAX_QUOTED_BYTES: usize = 200;

/// Why a request could not be sent, or its response not be received.
#[derive(Debug, Error)]
pub enum TransportError {
    /// No voter is configured.
    #[error("no voter is configured")]
    NoVoters,
    /// No address is configured for the voter with this id.
    #[error("no address is configured for voter {0}")]
    UnknownVoter(u64),
    /// The peer did not respond in time.
    #[error("{peer}: no response within {} ms", .timeout.as_millis())]
    Timeout {
        /// The address of the peer, or `voter` and its id.
        peer: String,
        /// The timeout of the request.
        timeout: Duration,
    },
    /// The encoded request is larger than `MAX_MESSAGE_BYTES`.
    #[error("{address}: the message is too large")]
    TooLarge {
        /// The address of the peer.
        address: Address,
    },
    /// The peer rejected the HTTP request, so that its response is not a message.
    #[error("{address}: {reason}")]
    Rejected {
        /// The address of the peer.
        address: Address,
        /// The first bytes of the response's body.
        reason: String,
    },
    /// A message could not be encoded or decoded, or the connection failed.
    #[error("{address}: {source}")]
    RequestFailed {
        /// The address of the peer.
        address: Address,
        /// The underlying error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// A client for requests to the processes of one fleet. Clones share its connections.
#[derive(Clone)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    fleet: String,
    voters: BTreeMap<u64, Address>,
}

impl PeerClient {
    /// Creates the client of a fleet. `voters` holds the addresses of the voters by id.
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

    /// Returns the addresses of the voters by id.
    pub fn voters(&self) -> &BTreeMap<u64, Address> {
        &self.voters
    }

    /// Sends a request to the process at an address, and returns its response.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or takes longer than `timeout`; its connection is closed then. A request
    /// that the peer declines is an [`Ok`] with a [`PeerResponse::Error`].
    pub async fn send(
        &self,
        address: &str,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, TransportError> {
        let result = tokio::time::timeout(timeout, self.send_without_timeout(address, request)).await;
        result.unwrap_or_else(|_| Err(TransportError::Timeout { peer: address.to_owned(), timeout }))
    }

    /// Sends a request to the voter with an id, and returns its response.
    ///
    /// # Errors
    ///
    /// Fails as [`send`](Self::send) does, and if no address is configured for the voter.
    pub async fn send_to_voter(
        &self,
        id: u64,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, TransportError> {
        let address = self.voters.get(&id).ok_or(TransportError::UnknownVoter(id))?;
        self.send(address, request, timeout).await
    }

    async fn send_without_timeout(
        &self,
        address: &str,
        request: &PeerRequest,
    ) -> Result<PeerResponse, TransportError> {
        let body = postcard::to_stdvec(request).map_err(|e| request_failed(address, e))?;
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(TransportError::TooLarge { address: address.to_owned() });
        }
        let request = Request::post(format!("http://{address}{}", request.path()))
            .header(FLEET_HEADER, &self.fleet)
            .header(FORMAT_HEADER, FORMAT)
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| request_failed(address, e))?;
        let response = self.client.request(request).await.map_err(|e| request_failed(address, e))?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_MESSAGE_BYTES).await;
        let body = body.map_err(|e| request_failed(address, e))?;
        if status != StatusCode::OK {
            let reason = String::from_utf8_lossy(&body[..body.len().min(MAX_QUOTED_BYTES)]).into_owned();
            return Err(TransportError::Rejected { address: address.to_owned(), reason });
        }
        postcard::from_bytes(&body).map_err(|e| request_failed(address, e))
    }
}

fn request_failed(
    address: &str,
    source: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> TransportError {
    TransportError::RequestFailed { address: address.to_owned(), source: source.into() }
}
