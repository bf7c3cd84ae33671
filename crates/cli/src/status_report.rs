//! The report of the `status` command. Other programs parse it, so its wording must not change.

use std::fmt::Write;

use nickelflow_control_plane::{
    MemberStatus, PeerClient, PeerRequest, PeerResponse, RolloutStatus, SchedulerStatus,
};

use crate::error::CliError;
use crate::leader_client::RESPONSE_TIMEOUT;

/// Reports the status of each voter and, as known to the leader, of the rollout and all members.
///
/// # Errors
///
/// Fails with [`CliError::NoVoterAnswered`] if no voter answered.
pub(crate) async fn status_report(peers: &PeerClient) -> Result<String, CliError> {
    let mut report = String::new();
    let mut answered_count = 0;
    for (id, address) in peers.voters() {
        match peers.send(address, &PeerRequest::Status, RESPONSE_TIMEOUT).await {
            Ok(PeerResponse::Status(status)) => {
                answered_count += 1;
                write_voter(&mut report, *id, &status);
            }
            Ok(_) => drop(writeln!(report, "voter {id} at {address}: has answered something else")),
            Err(error) => drop(writeln!(report, "voter {id}: not reached: {error}")),
        }
    }
    if answered_count == 0 {
        return Err(CliError::NoVoterAnswered(report.trim_end().to_owned()));
    }
    Ok(report)
}

/// Writes the status of one voter.
fn write_voter(report: &mut String, id: u64, status: &SchedulerStatus) {
    let lease = match status.version {
        None => "acts on nothing yet".to_owned(),
        Some(version) if status.lease_remaining_ms > 0 => {
            format!("acts on {version}, {} ms of its lease left", status.lease_remaining_ms)
        }
        Some(version) => format!("acts carefully on {version} for {} ms", status.degraded_ms),
    };
    let _ = writeln!(report, "voter {id} ({}, {}): {lease}", status.name, status.program_version);
    let _ = match (&status.not_voting_reason, status.leader_id) {
        (Some(reason), _) => writeln!(report, "  does not vote: {reason}"),
        (None, Some(leader)) => writeln!(report, "  voter {leader} leads"),
        (None, None) => writeln!(report, "  knows nobody that leads"),
    };
    if let Some(rollout) = &status.rollout {
        write_rollout(report, rollout, status.max_overlap_ms);
    }
}

/// Writes the status of the rollout and of its members, as known to the leader.
fn write_rollout(report: &mut String, status: &RolloutStatus, max_overlap_ms: u64) {
    let RolloutStatus { active_version: active, newest_proposal, pending_steps, blocked_by, members } =
        status;
    let _ = writeln!(
        report,
        "  in force {active}, proposal {newest_proposal} is the newest, {pending_steps} steps to come; \
        T {max_overlap_ms} ms"
    );
    if let Some(reason) = blocked_by {
        let _ = writeln!(report, "  the next step waits: {reason}");
    }
    for member in members {
        write_member(report, member);
    }
}

/// Writes the status of one member.
fn write_member(report: &mut String, member: &MemberStatus) {
    let acknowledged = match member.acknowledged_version {
        None => "nothing heard".to_owned(),
        Some(version) => format!("has {version}"),
    };
    let lease = match member.lease_remaining_ms {
        0 => "its lease is over".to_owned(),
        remaining_ms => format!("its lease is over in {remaining_ms} ms at the latest"),
    };
    let MemberStatus { name, earliest_version: earliest, .. } = member;
    let _ = writeln!(report, "  {name}: {acknowledged}, {lease}, may act on {earliest} at the earliest");
}
