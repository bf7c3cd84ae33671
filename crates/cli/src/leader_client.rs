//! Sends requests to the leader from a process that does not know which voter is the leader.

use std::fmt::Write;
use std::time::{Duration, Instant};

use nickelflow_control_plane::{PeerClient, PeerError, PeerRequest, PeerResponse, Proposal};

use crate::error::CliError;

/// The timeout of one request. It is far longer than a slow quorum takes to confirm or reject a request.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the client searches for a leader. Several elections fit into this time.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_secs(15);
/// The delay before the client sends the request to all voters again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The result of an attempt to have one voter serve a request.
enum AttemptResult {
    /// The voter served the request.
    Answered(PeerResponse),
    /// The voter rejected the request for a reason for which any leader would reject it.
    Rejected(PeerError),
    /// The voter did not serve the request, but another voter may. Holds the reason.
    Unavailable(String),
}

/// Sends a request to all voters in turn until one of them, the leader, serves or rejects it.
///
/// # Errors
///
/// Fails with [`CliError::Rejected`] if the request was rejected, and with [`CliError::NoLeaderAnswered`] if
/// no leader answered in time.
pub(crate) async fn send_to_leader(
    peers: &PeerClient,
    new_request: impl Fn() -> PeerRequest,
) -> Result<PeerResponse, CliError> {
    let started_at = Instant::now();
    loop {
        let mut reasons = String::new();
        for address in peers.voters().values() {
            match send_to_voter(peers, address, &new_request()).await {
                AttemptResult::Answered(response) => return Ok(response),
                AttemptResult::Rejected(error) => return Err(CliError::Rejected(error)),
                AttemptResult::Unavailable(reason) => drop(writeln!(reasons, "{reason}")),
            }
        }
        if started_at.elapsed() > LEADER_SEARCH_TIMEOUT {
            return Err(CliError::NoLeaderAnswered(reasons.trim_end().to_owned()));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Sends a request to the voter at an address.
async fn send_to_voter(peers: &PeerClient, address: &str, request: &PeerRequest) -> AttemptResult {
    match peers.send(address, request, RESPONSE_TIMEOUT).await {
        Ok(PeerResponse::Error(
            error @ (PeerError::Rejected(_)
            | PeerError::NotBootstrapped
            | PeerError::AlreadyBootstrapped
            | PeerError::DocumentTooLarge),
        )) => AttemptResult::Rejected(error),
        Ok(PeerResponse::Error(error)) => AttemptResult::Unavailable(format!("{address}: {error}")),
        Ok(response) => AttemptResult::Answered(response),
        Err(error) => AttemptResult::Unavailable(error.to_string()),
    }
}

/// Sends a change to the leader. Returns the number of the proposal or version that the change created, or 0.
///
/// # Errors
///
/// Fails like [`send_to_leader`], and with [`CliError::UnexpectedResponse`].
pub(crate) async fn apply_change(
    peers: &PeerClient,
    new_request: impl Fn() -> PeerRequest,
) -> Result<u64, CliError> {
    match send_to_leader(peers, new_request).await? {
        PeerResponse::Applied(number) => Ok(number),
        _ => Err(CliError::UnexpectedResponse),
    }
}

/// Returns the stored proposals in the order of their numbers.
///
/// # Errors
///
/// Fails like [`send_to_leader`], and with [`CliError::UnexpectedResponse`].
pub(crate) async fn fetch_proposals(peers: &PeerClient) -> Result<Vec<Proposal>, CliError> {
    match send_to_leader(peers, || PeerRequest::History).await? {
        PeerResponse::History(proposals) => Ok(proposals),
        _ => Err(CliError::UnexpectedResponse),
    }
}

/// Returns the number of the newest proposal, or 0 if there is none.
///
/// # Errors
///
/// Fails like [`fetch_proposals`].
pub(crate) async fn fetch_newest_proposal_number(peers: &PeerClient) -> Result<u64, CliError> {
    Ok(fetch_proposals(peers).await?.last().map_or(0, |proposal| proposal.number))
}
