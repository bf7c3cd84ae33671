//! The commands for versioned rules.

use std::fmt::Write;
use std::path::Path;

use nickelflow_control_plane::{prepare_data_dir, Command, PeerClient, PeerRequest, Proposal};
use nickelflow_rollout::RulesDocument;

use crate::arguments::RulesCommand;
use crate::document_file::load_document;
use crate::error::CliError;
use crate::leader_client::{apply, newest_proposal, proposals};
use crate::settings::RulesSettings;
use crate::status_report::status_report;

/// Executes a command; returns what is to be printed.
///
/// # Errors
///
/// [`CliError`], of which each variant says which command it belongs to.
pub async fn run_rules_command(settings: &RulesSettings, command: RulesCommand) -> Result<String, CliError> {
    let peers = PeerClient::new(settings.fleet.clone(), settings.voters()?);
    match command {
        RulesCommand::Prepare => prepare_voter(settings),
        RulesCommand::Bootstrap { file } => bootstrap(&peers, &file).await,
        RulesCommand::Show { proposal } => show(&peers, proposal).await,
        RulesCommand::Propose { file, base } => propose(&peers, &file, base).await,
        RulesCommand::Rollback { proposal } => roll_back(&peers, proposal).await,
        RulesCommand::History => history(&peers).await,
        RulesCommand::Status => status_report(&peers).await,
        RulesCommand::RemoveMember { name } => remove_member(&peers, &name).await,
        RulesCommand::ChangeVoters { ids } => change_voters(&peers, &ids).await,
    }
}

/// Creates the data folder of this voter.
fn prepare_voter(settings: &RulesSettings) -> Result<String, CliError> {
    let (Some(voter_id), Some(data_dir)) = (settings.voter_id, &settings.data_dir) else {
        return Err(CliError::NotVoter);
    };
    let file = prepare_data_dir(data_dir, &settings.fleet, voter_id)?;
    Ok(format!("prepared {} for voter {voter_id}\n", file.display()))
}

/// Makes a document the first rules.
async fn bootstrap(peers: &PeerClient, file: &Path) -> Result<String, CliError> {
    let document = load_document(file)?;
    let number = apply(peers, || PeerRequest::Bootstrap(document.clone())).await?;
    Ok(format!("founded with proposal {number}\n"))
}

/// Prints the newest or another proposal as a document.
async fn show(peers: &PeerClient, wanted: Option<u64>) -> Result<String, CliError> {
    let proposals = proposals(peers).await?;
    let found = match wanted {
        Some(wanted) => proposals.iter().find(|proposal| proposal.number == wanted),
        None => proposals.last(),
    };
    let Proposal { number, document } = found.ok_or(CliError::UnknownProposal)?;
    Ok(format!("# proposal {number}\n{}", document.to_toml()))
}

/// Proposes a document.
async fn propose(peers: &PeerClient, file: &Path, base: Option<u64>) -> Result<String, CliError> {
    let document = load_document(file)?;
    let base = match base {
        Some(base) => base,
        None => newest_proposal(peers).await?,
    };
    let new_request = || PeerRequest::Command(Command::Propose { base, document: document.clone() });
    let number = apply(peers, new_request).await?;
    Ok(format!("proposal {number}\n"))
}

/// Proposes an earlier document again.
async fn roll_back(peers: &PeerClient, to: u64) -> Result<String, CliError> {
    let base = newest_proposal(peers).await?;
    let number = apply(peers, || PeerRequest::Command(Command::RollBack { base, to })).await?;
    Ok(format!("proposal {number}, the same as {to}\n"))
}

/// Lists the stored proposals.
async fn history(peers: &PeerClient) -> Result<String, CliError> {
    let mut report = String::new();
    for Proposal { number, document } in proposals(peers).await? {
        let _ = writeln!(report, "{number}: {}", summary(&document));
    }
    Ok(report)
}

/// The extent of a document in one line.
fn summary(document: &RulesDocument) -> String {
    format!(
        "{} schedulers, {} tenants limited, {} workers set apart, list {}",
        document.schedulers,
        document.quotas.len(),
        document.workers.len(),
        document.list_version
    )
}

/// Removes a scheduler that is down from the members.
async fn remove_member(peers: &PeerClient, name: &str) -> Result<String, CliError> {
    apply(peers, || PeerRequest::Command(Command::Leave(name.to_owned()))).await?;
    Ok(format!("{name} has no seat any more\n"))
}

/// Replaces the set of voters.
async fn change_voters(peers: &PeerClient, ids: &[u64]) -> Result<String, CliError> {
    apply(peers, || PeerRequest::ChangeVoters(ids.iter().copied().collect())).await?;
    Ok(format!("{} voters\n", ids.len()))
}
