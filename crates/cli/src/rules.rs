//! The commands for rules with versions. Each asks the voters in turn until one that leads has answered.

use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use nickelflow_control_plane::{
    prepare, Command, PeerError, PeerRequest, PeerResponse, Peers, Proposal, Status,
};
use nickelflow_rollout::RulesDocument;

use crate::options::RulesDo;
use crate::settings::RulesSettings;
use crate::{status, Failed};

/// For one answer, and for one that leads to be found.
const ANSWER: Duration = Duration::from_secs(5);
const LEADER: Duration = Duration::from_secs(15);
const AGAIN: Duration = Duration::from_millis(200);

/// Reads a document; all that is wrong is told by file, line and field.
pub fn check(file: &Path) -> Result<RulesDocument, Failed> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|e| Failed(status::USAGE, format!("{name}: cannot be read: {e}")))?;
    RulesDocument::parse(&text).map_err(|faults| {
        let told: Vec<String> = faults.errors.iter().map(|fault| format!("{name}: {fault}")).collect();
        Failed(status::USAGE, told.join("\n"))
    })
}

/// Does what an operator wants with the rules; tells what is to be printed.
pub async fn rules(settings: &RulesSettings, to_do: RulesDo) -> Result<String, Failed> {
    let usage = |why: String| Failed(status::USAGE, why);
    let voters = settings.voters().map_err(usage)?;
    let peers = Peers::new(settings.fleet.clone(), voters);
    let said = match to_do {
        RulesDo::Prepare => {
            let (Some(voter), Some(data)) = (settings.voter, &settings.data) else {
                return Err(usage("this scheduler is no voter: it needs no folder".to_owned()));
            };
            let file =
                prepare(data, &settings.fleet, voter).map_err(|e| Failed(status::FAILED, e.to_string()))?;
            format!("prepared {} for voter {voter}\n", file.display())
        }
        RulesDo::Found { file } => {
            let document = check(&file)?;
            let number = done(&peers, || PeerRequest::Bootstrap(document.clone())).await?;
            format!("founded with proposal {number}\n")
        }
        RulesDo::Show { proposal } => {
            let kept = history(&peers).await?;
            let found = match proposal {
                Some(wanted) => kept.iter().find(|proposal| proposal.number == wanted),
                None => kept.last(),
            };
            let Proposal { number, document } =
                found.ok_or(Failed(status::REFUSED, "this proposal is not kept".to_owned()))?;
            format!("# proposal {number}\n{}", document.to_toml())
        }
        RulesDo::Propose { file, over } => {
            let document = check(&file)?;
            let base = match over {
                Some(base) => base,
                None => newest(&peers).await?,
            };
            let command = || PeerRequest::Command(Command::Propose { base, document: document.clone() });
            format!("proposal {}\n", done(&peers, command).await?)
        }
        RulesDo::Rollback { proposal } => {
            let base = newest(&peers).await?;
            let command = || PeerRequest::Command(Command::RollBack { base, to: proposal });
            format!("proposal {}, the same as {proposal}\n", done(&peers, command).await?)
        }
        RulesDo::History => {
            let kept = history(&peers).await?;
            kept.iter().fold(String::new(), |mut all, Proposal { number, document }| {
                let (tenants, workers) = (document.quotas.len(), document.workers.len());
                let _ = writeln!(
                    all,
                    "{number}: {} schedulers, {tenants} tenants limited, {workers} workers set apart, list {}",
                    document.schedulers, document.list_version
                );
                all
            })
        }
        RulesDo::Status => return state(&peers).await,
        RulesDo::Unseat { name } => {
            done(&peers, || PeerRequest::Command(Command::Leave(name.clone()))).await?;
            format!("{name} has no seat any more\n")
        }
        RulesDo::Voters { ids } => {
            done(&peers, || PeerRequest::ChangeVoters(ids.iter().copied().collect())).await?;
            format!("{} voters\n", ids.len())
        }
    };
    Ok(said)
}

/// Asks the voters in turn until one has answered that leads, or all time for that is over.
async fn lead(peers: &Peers, call: impl Fn() -> PeerRequest) -> Result<PeerResponse, Failed> {
    let begun = Instant::now();
    let mut why;
    loop {
        why = String::new();
        for address in peers.voters().values() {
            match peers.ask(address, &call(), ANSWER).await {
                Ok(PeerResponse::Error(PeerError::Rejected(why))) => {
                    return Err(Failed(status::REFUSED, why.to_string()))
                }
                Ok(PeerResponse::Error(
                    no @ (PeerError::NotBootstrapped
                    | PeerError::AlreadyBootstrapped
                    | PeerError::DocumentTooLarge),
                )) => return Err(Failed(status::REFUSED, no.to_string())),
                Ok(PeerResponse::Error(no)) => drop(writeln!(why, "{address}: {no}")),
                Ok(answer) => return Ok(answer),
                Err(failed) => drop(writeln!(why, "{failed}")),
            }
        }
        if begun.elapsed() > LEADER {
            return Err(Failed(status::FAILED, why.trim_end().to_owned()));
        }
        tokio::time::sleep(AGAIN).await;
    }
}

fn odd() -> Failed {
    Failed(status::FAILED, "a voter has answered something else".to_owned())
}

async fn done(peers: &Peers, call: impl Fn() -> PeerRequest) -> Result<u64, Failed> {
    match lead(peers, call).await? {
        PeerResponse::Applied(number) => Ok(number),
        _ => Err(odd()),
    }
}

async fn history(peers: &Peers) -> Result<Vec<Proposal>, Failed> {
    match lead(peers, || PeerRequest::History).await? {
        PeerResponse::History(kept) => Ok(kept),
        _ => Err(odd()),
    }
}

async fn newest(peers: &Peers) -> Result<u64, Failed> {
    Ok(history(peers).await?.last().map_or(0, |proposal| proposal.number))
}

/// How all voters stand, and by the one that leads all holders; fails if no voter can be reached.
async fn state(peers: &Peers) -> Result<String, Failed> {
    let (mut all, mut reached) = (String::new(), 0);
    for (id, address) in peers.voters() {
        match peers.ask(address, &PeerRequest::Status, ANSWER).await {
            Ok(PeerResponse::Status(status)) => {
                reached += 1;
                voter(&mut all, *id, &status);
            }
            Ok(_) => drop(writeln!(all, "voter {id} at {address}: has answered something else")),
            Err(why) => drop(writeln!(all, "voter {id}: not reached: {why}")),
        }
    }
    if reached == 0 {
        return Err(Failed(status::FAILED, all.trim_end().to_owned()));
    }
    Ok(all)
}

fn voter(all: &mut String, id: u64, status: &Status) {
    let Status {
        name,
        build,
        version,
        left_ms,
        degraded_ms: careful_ms,
        max_overlap_ms: bound_ms,
        not_voting_reason: not_voting,
        leader,
        leader_status: leads,
        ..
    } = status;
    let acts = match version {
        None => "acts on nothing yet".to_owned(),
        Some(version) if *left_ms > 0 => format!("acts on {version}, {left_ms} ms of its lease left"),
        Some(version) => format!("acts carefully on {version} for {careful_ms} ms"),
    };
    let _ = writeln!(all, "voter {id} ({name}, {build}): {acts}");
    match (not_voting, leader) {
        (Some(why), _) => drop(writeln!(all, "  does not vote: {why}")),
        (None, Some(leader)) => drop(writeln!(all, "  voter {leader} leads")),
        (None, None) => drop(writeln!(all, "  knows nobody that leads")),
    }
    let Some(lead) = leads else { return };
    let (in_force, newest, coming) = (lead.active, lead.newest, lead.pending_steps);
    let _ = writeln!(
        all,
        "  in force {in_force}, proposal {newest} is the newest, {coming} steps to come; T {bound_ms} ms"
    );
    if let Some(waits) = &lead.blocked_by {
        let _ = writeln!(all, "  the next step waits: {waits}");
    }
    for holder in &lead.holders {
        let has = holder.acknowledged.map_or("nothing heard".to_owned(), |has| format!("has {has}"));
        let left = match holder.left_ms {
            0 => "its lease is over".to_owned(),
            left => format!("its lease is over in {left} ms at the latest"),
        };
        let _ =
            writeln!(all, "  {}: {has}, {left}, may act on {} at the earliest", holder.name, holder.earliest);
    }
}
