//! Executes the commands for versioned rules.

use std::fmt::Write;
use std::path::Path;

use nickelflow_control_plane::{prepare_data_dir, Command, PeerClient, PeerRequest, Proposal};
use nickelflow_rollout::RulesDocument;

use crate::arguments::RulesCommand;
use crate::document_file::load_document;
use crate::error::CliError;
use crate::leader_client::{apply_change, fetch_newest_proposal_number, fetch_proposals};
use crate::settings::RulesSettings;
use crate::status_report::status_report;

/// Executes a command, and returns the text to print.
///
/// # Errors
///
/// Fails with the [`CliError`] that describes why the command could not be executed.
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

/// Creates the data folder of the voter that the settings configure.
fn prepare_voter(settings: &RulesSettings) -> Result<String, CliError> {
    let (Some(voter_id), Some(data_dir)) = (settings.voter_id, &settings.data_dir) else {
        return Err(CliError::NotVoter);
    };
    let file = prepare_data_dir(data_dir, &settings.fleet, voter_id)?;
    Ok(format!("prepared {} for voter {voter_id}\n", file.display()))
}

/// Bootstraps the fleet with the document in a file as its first rules.
async fn bootstrap(peers: &PeerClient, file: &Path) -> Result<String, CliError> {
    let document = load_document(file)?;
    let number = apply_change(peers, || PeerRequest::Bootstrap(document.clone())).await?;
    Ok(format!("bootstrapped with proposal {number}\n"))
}

/// Formats the proposal with the requested number, or the newest proposal, as a document.
async fn show(peers: &PeerClient, requested: Option<u64>) -> Result<String, CliError> {
    let proposals = fetch_proposals(peers).await?;
    let found = match requested {
        Some(requested) => proposals.iter().find(|proposal| proposal.number == requested),
        None => proposals.last(),
    };
    let Proposal { number, document } = found.ok_or(CliError::UnknownProposal)?;
    Ok(format!("# proposal {number}\n{}", document.to_toml()))
}

/// Proposes the document in a file if the proposal `base` is still the newest. The default of `base` is the
/// newest proposal at the time of the command.
async fn propose(peers: &PeerClient, file: &Path, base: Option<u64>) -> Result<String, CliError> {
    let document = load_document(file)?;
    let base = match base {
        Some(base) => base,
        None => fetch_newest_proposal_number(peers).await?,
    };
    let new_request = || PeerRequest::Command(Command::Propose { base, document: document.clone() });
    let number = apply_change(peers, new_request).await?;
    Ok(format!("proposal {number}\n"))
}

/// Proposes the document of an earlier proposal again.
async fn roll_back(peers: &PeerClient, to: u64) -> Result<String, CliError> {
    let base = fetch_newest_proposal_number(peers).await?;
    let number = apply_change(peers, || PeerRequest::Command(Command::RollBack { base, to })).await?;
    Ok(format!("proposal {number}, the same as {to}\n"))
}

/// Lists the stored proposals, one per line.
async fn history(peers: &PeerClient) -> Result<String, CliError> {
    let mut report = String::new();
    for Proposal { number, document } in fetch_proposals(peers).await? {
        let _ = writeln!(report, "{number}: {}", summarize(&document));
    }
    Ok(report)
}

/// Summarizes a document in one line.
fn summarize(document: &RulesDocument) -> String {
    format!(
        "{} schedulers, {} tenants with a quota, {} restricted workers, list version {}",
        document.schedulers,
        document.quotas.len(),
        document.workers.len(),
        document.list_version
    )
}

/// Removes a scheduler from the members.
async fn remove_member(peers: &PeerClient, name: &str) -> Result<String, CliError> {
    apply_change(peers, || PeerRequest::Command(Command::Leave(name.to_owned()))).await?;
    Ok(format!("removed {name} from the members\n"))
}

/// Replaces the set of voters.
async fn change_voters(peers: &PeerClient, ids: &[u64]) -> Result<String, CliError> {
    apply_change(peers, || PeerRequest::ChangeVoters(ids.iter().copied().collect())).await?;
    Ok(format!("{} voters\n", ids.len()))
}
