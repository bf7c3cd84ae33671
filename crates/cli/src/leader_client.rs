//! Requests to the leader from a process that does not know which voter leads.

use std::fmt::Write;
use std::time::{Duration, Instant};

use nickelflow_control_plane::{PeerClient, PeerError, PeerRequest, PeerResponse, Proposal};

use crate::error::CliError;

/// The longest wait for one response: a quorum that is slow to confirm answers or fails well within it.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a leader is searched for: several elections fit into it.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause before all voters are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What a voter's response to a request means for the search for the leader.
enum Attempt {
    /// The voter leads and has answered.
    Answered(PeerResponse),
    /// Every leader would reject the request.
    Rejected(PeerError),
    /// Another voter may answer; holds the reason why this one did not.
    Unavailable(String),
}

/// Sends a request to all voters in turn until the leader has answered.
///
/// # Errors
///
/// [`CliError::Rejected`] if it rejected the request, [`CliError::NoLeaderAnswered`] if no leader answered in time.
pub(crate) async fn ask_leader(
    peers: &PeerClient,
    new_request: impl Fn() -> PeerRequest,
) -> Result<PeerResponse, CliError> {
    let started = Instant::now();
    loop {
        let mut reasons = String::new();
        for address in peers.voters().values() {
            match attempt(peers, address, &new_request()).await {
                Attempt::Answered(response) => return Ok(response),
                Attempt::Rejected(error) => return Err(CliError::Rejected(error)),
                Attempt::Unavailable(reason) => drop(writeln!(reasons, "{reason}")),
            }
        }
        if started.elapsed() > LEADER_TIMEOUT {
            return Err(CliError::NoLeaderAnswered(reasons.trim_end().to_owned()));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Sends a request to one voter.
async fn attempt(peers: &PeerClient, address: &str, request: &PeerRequest) -> Attempt {
    match peers.send(address, request, RESPONSE_TIMEOUT).await {
        Ok(PeerResponse::Error(
            error @ (PeerError::Rejected(_)
            | PeerError::NotBootstrapped
            | PeerError::AlreadyBootstrapped
            | PeerError::DocumentTooLarge),
        )) => Attempt::Rejected(error),
        Ok(PeerResponse::Error(error)) => Attempt::Unavailable(format!("{address}: {error}")),
        Ok(response) => Attempt::Answered(response),
        Err(error) => Attempt::Unavailable(error.to_string()),
    }
}

/// Has the leader apply a change; returns the number that it resulted in.
///
/// # Errors
///
/// Those of [`ask_leader`], and [`CliError::UnexpectedResponse`].
pub(crate) async fn apply(
    peers: &PeerClient,
    new_request: impl Fn() -> PeerRequest,
) -> Result<u64, CliError> {
    match ask_leader(peers, new_request).await? {
        PeerResponse::Applied(number) => Ok(number),
        _ => Err(CliError::UnexpectedResponse),
    }
}

/// The stored proposals by number, the newest last.
///
/// # Errors
///
/// Those of [`ask_leader`], and [`CliError::UnexpectedResponse`].
pub(crate) async fn proposals(peers: &PeerClient) -> Result<Vec<Proposal>, CliError> {
    match ask_leader(peers, || PeerRequest::History).await? {
        PeerResponse::History(proposals) => Ok(proposals),
        _ => Err(CliError::UnexpectedResponse),
    }
}

/// The number of the newest proposal.
///
/// # Errors
///
/// Those of [`proposals`].
pub(crate) async fn newest_proposal(peers: &PeerClient) -> Result<u64, CliError> {
    Ok(proposals(peers).await?.last().map_or(0, |proposal| proposal.number))
}
