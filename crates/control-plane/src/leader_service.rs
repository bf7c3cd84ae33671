//! The leader's service: grants leases after a quorum has confirmed its leadership, and advances the rollout.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nickelflow_rollout::{
    LeaseConfig, LeaseGrant, LeaseRequest, LeaseTable, Nanos, Proposal, RolloutState, RulesDocument, Version,
};
use tokio::task::JoinSet;

use crate::clock::{Clock, NANOS_PER_MS};
use crate::command::{Command, CommandOutcome};
use crate::peer_error::{PeerError, MAX_DOCUMENT_BYTES};
use crate::raft_types::Raft;
use crate::read_index::{convert_write_error, leading_term, LeadershipConfirmer, QUORUM_TIMEOUT};
use crate::state_machine::StateMachine;
use crate::status::{MemberStatus, RolloutStatus};

/// How often the leader checks whether the next step can be activated. It is short compared with the lease
/// duration, because a step mostly waits for leases to expire.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The part of a voter that acts as the leader. It serves requests only while its voter leads.
pub struct LeaderService {
    id: u64,
    raft: Raft,
    state_machine: StateMachine,
    lease: LeaseConfig,
    clock: Clock,
    /// The leases of the latest term in which the voter led, or `None` if it has never led.
    term_leases: Mutex<Option<TermLeases>>,
    confirmer: LeadershipConfirmer,
}

/// The leases that this voter granted in one term as the leader. It does not know the leases of earlier
/// terms.
struct TermLeases {
    term: u64,
    table: LeaseTable,
}

impl LeaderService {
    /// Starts the service of the voter `id`. Its background tasks are added to `tasks`.
    pub fn start(
        id: u64,
        raft: Raft,
        state_machine: StateMachine,
        lease: LeaseConfig,
        clock: Clock,
        tasks: &mut JoinSet<()>,
    ) -> Arc<LeaderService> {
        let confirmer = LeadershipConfirmer::start(id, raft.clone(), tasks);
        let term_leases = Mutex::new(None);
        let service = LeaderService { id, raft, state_machine, lease, clock, term_leases, confirmer };
        let service = Arc::new(service);
        tasks.spawn(service.clone().advance_rollout());
        service
    }

    fn term(&self) -> Option<u64> {
        leading_term(self.id, &self.raft)
    }

    /// Returns the id of the leader that this voter knows of.
    pub fn leader(&self) -> Option<u64> {
        self.raft.metrics().borrow().current_leader
    }

    fn not_leader(&self) -> PeerError {
        PeerError::NotLeader(self.leader())
    }

    /// Runs `operation` on the lease table of this term with the current time, under the table's lock.
    /// Returns `None` if this voter does not lead.
    fn with_lease_table<T>(&self, operation: impl FnOnce(&mut LeaseTable, Nanos) -> T) -> Option<T> {
        let term = self.term()?;
        let now = self.clock.now();
        let mut term_leases = self.term_leases.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *term_leases {
            Some(leases) if leases.term == term => Some(operation(&mut leases.table, now)),
            other => {
                // Newly elected: every lease of an earlier term was requested before this time.
                let leases = other.insert(TermLeases { term, table: LeaseTable::new(self.lease, now) });
                Some(operation(&mut leases.table, now))
            }
        }
    }

    /// Grants a lease on the active version to a scheduler, and adds it to the membership if necessary.
    ///
    /// # Errors
    ///
    /// Fails if this voter does not lead, no quorum confirms its leadership, there are no rules, the
    /// membership is full, or another process has taken the name.
    pub async fn grant_lease(&self, holder: &str, request: LeaseRequest) -> Result<LeaseGrant, PeerError> {
        if self.term().is_none() {
            return Err(self.not_leader());
        }
        self.confirmer.confirm().await?;
        if self.with_lease_table(|table, _| table.is_superseded(holder, &request)).unwrap_or(false) {
            return Err(PeerError::NameTaken);
        }
        self.ensure_member(holder).await?;
        // The lock of the state machine is held until the grant is recorded, so that no other version can be
        // activated after the active one was read.
        let granted = self.state_machine.with_rollout(|rollout| {
            let active = rollout.active();
            self.with_lease_table(|table, now| {
                table.grant(now, holder, request, active.version, &active.step)
            })
        });
        match granted.flatten() {
            Some(Some(grant)) => Ok(grant),
            Some(None) => Err(PeerError::NameTaken),
            None => Err(self.not_leader()),
        }
    }

    /// Adds a scheduler to the membership if it is not a member. Checks before writing that it can join: a
    /// scheduler that is turned away by a full membership keeps retrying, and its retries must not grow the
    /// log.
    async fn ensure_member(&self, holder: &str) -> Result<(), PeerError> {
        let can_join = self.state_machine.with_rollout(|rollout| rollout.can_join(holder));
        if can_join.ok_or(PeerError::NotBootstrapped)?.map_err(PeerError::Rejected)? {
            self.write(Command::Join(holder.to_owned())).await?;
        }
        Ok(())
    }

    /// Commits a command to the log, and returns the number of the proposal or version that it created, or 0.
    ///
    /// # Errors
    ///
    /// Fails if the command is rejected, its document is too large, this voter does not lead, or no quorum
    /// responds in time. In the last case the command may still be committed.
    pub async fn write(&self, command: Command) -> Result<u64, PeerError> {
        if let Command::Propose { document, .. } | Command::Bootstrap(document) = &command {
            check_document_size(document)?;
        }
        let leaving_member = match &command {
            Command::Leave(name) => Some(name.clone()),
            _ => None,
        };
        let written = tokio::time::timeout(QUORUM_TIMEOUT, self.raft.client_write(command)).await;
        let written = written.map_err(|_| PeerError::NoQuorum("not written in time".to_owned()))?;
        let response = written.map_err(convert_write_error)?;
        if let Some(name) = leaving_member {
            self.with_lease_table(|table, _| table.remove_departed(&name));
        }
        match response.data {
            CommandOutcome::Applied(number) => Ok(number),
            CommandOutcome::Nothing => Ok(0),
            CommandOutcome::Rejected(error) => Err(PeerError::Rejected(error)),
            CommandOutcome::NotBootstrapped => Err(PeerError::NotBootstrapped),
            CommandOutcome::AlreadyBootstrapped => Err(PeerError::AlreadyBootstrapped),
        }
    }

    /// Activates pending steps while this voter leads. Otherwise waits for a change of the state machine or
    /// of the leadership.
    async fn advance_rollout(self: Arc<Self>) {
        let mut state_changes = self.state_machine.subscribe();
        let mut raft_metrics = self.raft.metrics();
        loop {
            if self.has_pending_steps() && self.term().is_some() {
                if !self.activate_next_step().await {
                    tokio::time::sleep(ROLLOUT_POLL_INTERVAL).await;
                }
                continue;
            }
            // Both branches are cancel safe: a watch receiver marks a change as seen only when it returns it.
            let changed = tokio::select! {
                changed = state_changes.changed() => changed,
                changed = raft_metrics.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    fn has_pending_steps(&self) -> bool {
        self.state_machine.with_rollout(|rollout| rollout.pending_steps() > 0).unwrap_or(false)
    }

    /// Activates the next step if nothing blocks it, and returns whether it did. A failed write needs no
    /// further handling: if this voter has lost its leadership, the next leader continues.
    async fn activate_next_step(&self) -> bool {
        match self.next_step_command() {
            Some(command) => self.write(command).await.is_ok(),
            None => false,
        }
    }

    /// Returns the command that activates the next step, or `None` if a scheduler may still hold a lease on a
    /// version before the active one, or something else blocks the step.
    fn next_step_command(&self) -> Option<Command> {
        let command = self.state_machine.with_rollout(|rollout| {
            self.with_lease_table(|table, now| {
                let acknowledged = acknowledged_versions(rollout, table);
                let blocked = holder_of_prior_lease(rollout, table, now).is_some()
                    || rollout.blocked_by(&acknowledged).is_some();
                (!blocked).then(|| Command::Advance { from: rollout.active().version, acknowledged })
            })
        });
        command.flatten().flatten()
    }

    /// Returns the state of the rollout, or `None` if this voter does not lead or there are no rules.
    pub fn status(&self) -> Option<RolloutStatus> {
        let status = self.state_machine.with_rollout(|rollout| {
            self.with_lease_table(|table, now| RolloutStatus {
                active_version: rollout.active().version,
                newest_proposal: rollout.proposals().last().map_or(0, |proposal| proposal.number),
                pending_steps: rollout.pending_steps() as u64,
                blocked_by: blocking_reason(rollout, table, now),
                members: member_statuses(rollout, table, now),
            })
        });
        status.flatten()
    }

    /// Returns the cached proposals, newest last.
    ///
    /// # Errors
    ///
    /// Fails if this voter does not lead, no quorum confirms its leadership, or there are no rules.
    pub async fn history(&self) -> Result<Vec<Proposal>, PeerError> {
        self.confirmer.confirm().await?;
        let proposals = self.state_machine.with_rollout(|rollout| rollout.proposals().cloned().collect());
        proposals.ok_or(PeerError::NotBootstrapped)
    }
}

/// Returns the latest version that each member has acknowledged in this term.
fn acknowledged_versions(rollout: &RolloutState, table: &LeaseTable) -> BTreeMap<String, Version> {
    let acknowledged = |name: &str| Some((name.to_owned(), table.acknowledged(name)?));
    rollout.members().filter_map(|(name, _)| acknowledged(name)).collect()
}

/// Returns a member that may still hold a lease on a version before the active one.
fn holder_of_prior_lease<'a>(rollout: &'a RolloutState, table: &LeaseTable, now: Nanos) -> Option<&'a str> {
    let active = rollout.active().version;
    rollout.members().map(|(name, _)| name).find(|name| !table.prior_lease(now, name, active).is_over())
}

/// Describes what the next step waits for. Returns `None` if no step is pending or nothing blocks it.
fn blocking_reason(rollout: &RolloutState, table: &LeaseTable, now: Nanos) -> Option<String> {
    if rollout.pending_steps() == 0 {
        return None;
    }
    if let Some(name) = holder_of_prior_lease(rollout, table, now) {
        return Some(format!("{name} may hold a lease on an earlier version"));
    }
    let acknowledged = acknowledged_versions(rollout, table);
    rollout.blocked_by(&acknowledged).map(|reason| reason.to_string())
}

fn member_statuses(rollout: &RolloutState, table: &LeaseTable, now: Nanos) -> Vec<MemberStatus> {
    let expiries: BTreeMap<&str, Nanos> =
        table.outstanding_leases().map(|lease| (lease.holder, lease.expiry)).collect();
    let lease_remaining_ms = |name: &str| match expiries.get(name) {
        Some(expiry) => expiry.saturating_sub(now) / NANOS_PER_MS,
        None => 0,
    };
    let status = |(name, earliest_version): (&str, Version)| MemberStatus {
        name: name.to_owned(),
        acknowledged_version: table.acknowledged(name),
        earliest_version,
        lease_remaining_ms: lease_remaining_ms(name),
    };
    rollout.members().map(status).collect()
}

/// Checks that a document is small enough for a message.
///
/// # Errors
///
/// Fails if the document is larger than [`MAX_DOCUMENT_BYTES`].
pub fn check_document_size(document: &RulesDocument) -> Result<(), PeerError> {
    match postcard::to_stdvec(document) {
        Ok(bytes) if bytes.len() <= MAX_DOCUMENT_BYTES => Ok(()),
        _ => Err(PeerError::DocumentTooLarge),
    }
}
