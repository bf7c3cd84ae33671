//! What the voter that leads does: grants leases that a majority has confirmed, and goes on to the next step.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nickelflow_rollout::{LeaseConfig, LeaseRequest, LeaseTable, Nanos, RulesDocument, Version};
use openraft::error::{CheckIsLeaderError, ClientWriteError, RaftError};
use tokio::sync::{mpsc, oneshot};

use crate::messages::{Command, HolderStatus, LeaderStatus, PeerError, PeerResponse, MAX_DOCUMENT_BYTES};
use crate::raft::Raft;
use crate::state::{Applied, State};
use crate::Clock;

/// Longest wait for a majority. Whoever asks gives up before that.
const MAJORITY: Duration = Duration::from_secs(2);
/// Requests that one look at the majority confirms, at most; and how many may wait for it.
const CONFIRMED: usize = 1_024;
const WAITING: usize = 4_096;
/// How often it looks whether the next step may be put in force, while there is one.
const LOOK: Duration = Duration::from_millis(20);

type Confirm = oneshot::Sender<Result<(), PeerError>>;

/// One voter's side of leading; it knows when it does.
pub struct Chamber {
    id: u64,
    raft: Raft,
    state: State,
    terms: LeaseConfig,
    clock: Clock,
    /// Of the term in which this voter leads.
    grantor: Mutex<Option<(u64, LeaseTable)>>,
    confirm: mpsc::Sender<Confirm>,
}

/// The term in which a voter leads, if it does as far as it knows.
fn term(id: u64, raft: &Raft) -> Option<u64> {
    let metrics = raft.metrics();
    let metrics = metrics.borrow();
    (metrics.current_leader == Some(id)).then_some(metrics.current_term)
}

fn not_leading(leader: Option<u64>) -> PeerError {
    PeerError::NotLeader(leader)
}

impl Chamber {
    pub fn open(id: u64, raft: Raft, state: State, terms: LeaseConfig, clock: Clock) -> Arc<Chamber> {
        let (confirm, waiting) = mpsc::channel(WAITING);
        let grantor = Mutex::new(None);
        let chamber = Arc::new(Chamber { id, raft, state, terms, clock, grantor, confirm });
        tokio::spawn(confirming(id, chamber.raft.clone(), waiting));
        tokio::spawn(chamber.clone().going_on());
        chamber
    }

    fn term(&self) -> Option<u64> {
        term(self.id, &self.raft)
    }

    pub fn leader(&self) -> Option<u64> {
        self.raft.metrics().borrow().current_leader
    }

    /// Does something with what is known of holders in this voter's term.
    fn granting<T>(&self, act: impl FnOnce(&mut LeaseTable, Nanos) -> T) -> Option<T> {
        let term = self.term()?;
        let now = self.clock.now();
        let mut grantor = self.grantor.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *grantor {
            Some((of, grantor)) if *of == term => Some(act(grantor, now)),
            other => {
                // Newly elected: whatever was granted before was asked for before now.
                let (_, grantor) = other.insert((term, LeaseTable::new(self.terms, now)));
                Some(act(grantor, now))
            }
        }
    }

    /// Waits until a majority has confirmed that this voter leads and all that was decided before is in its state.
    async fn confirmed(&self) -> Result<(), PeerError> {
        let (sender, confirmed) = oneshot::channel();
        self.confirm.try_send(sender).map_err(|_| PeerError::NoQuorum("too many wait for one".to_owned()))?;
        confirmed.await.unwrap_or(Err(not_leading(None)))
    }

    /// Answers a holder.
    pub async fn ask(&self, holder: &str, request: LeaseRequest) -> Result<PeerResponse, PeerError> {
        if self.term().is_none() {
            return Err(not_leading(self.leader()));
        }
        self.confirmed().await?;
        if self.granting(|grantor, _| grantor.over(holder, &request)).unwrap_or(false) {
            return Err(PeerError::NameTaken);
        }
        // One that finds no seat asks again and again: the log must not grow by that.
        let sits = self.state.rules(|rules| rules.can_join(holder)).ok_or(PeerError::NotBootstrapped)?;
        if sits.map_err(PeerError::Rejected)? {
            self.command(Command::Join(holder.to_owned())).await?;
        }
        // Nothing may come between the look at what is in force and the note of what was granted.
        let granted = self.state.rules(|rules| {
            let (version, step) = rules.active();
            self.granting(|grantor, now| grantor.grant(now, holder, request, version, step))
        });
        match granted.flatten() {
            Some(Some(grant)) => Ok(PeerResponse::LeaseGranted(Box::new(grant))),
            Some(None) => Err(PeerError::NameTaken),
            None => Err(not_leading(self.leader())),
        }
    }

    /// Puts a command into the log, and tells the number that it has led to.
    pub async fn command(&self, command: Command) -> Result<u64, PeerError> {
        if let Command::Propose { document, .. } | Command::Bootstrap(document) = &command {
            small(document)?;
        }
        let left = match &command {
            Command::Leave(name) => Some(name.clone()),
            _ => None,
        };
        let written = tokio::time::timeout(MAJORITY, self.raft.client_write(command)).await;
        let written = written.map_err(|_| PeerError::NoQuorum("not written in time".to_owned()))?;
        let applied = written.map_err(|e| match e {
            RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => not_leading(to.leader_id),
            other => PeerError::NoQuorum(other.to_string()),
        })?;
        if let Some(name) = left {
            self.granting(|grantor, _| grantor.left(&name));
        }
        match applied.data {
            Applied::Done(number) => Ok(number),
            Applied::Nothing => Ok(0),
            Applied::Refused(why) => Err(PeerError::Rejected(why)),
            Applied::NotFounded => Err(PeerError::NotBootstrapped),
            Applied::Founded => Err(PeerError::AlreadyBootstrapped),
        }
    }

    /// Puts step after step in force, as long as this voter leads. At rest it waits for something to change.
    async fn going_on(self: Arc<Self>) {
        let mut changes = self.state.changes();
        let mut metrics = self.raft.metrics();
        loop {
            let coming = self.state.rules(|rules| rules.pending_steps() > 0).unwrap_or(false);
            if coming && self.term().is_some() {
                if let Some(command) = self.next() {
                    if self.command(command).await.is_ok() {
                        continue;
                    }
                    // It may have been overtaken, or lead no more: then whoever does goes on.
                }
                tokio::time::sleep(LOOK).await;
                continue;
            }
            let changed = tokio::select! {
                changed = changes.changed() => changed,
                changed = metrics.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// The next step's command, if nobody can hold a lease on an earlier version and nothing else is in its way.
    fn next(&self) -> Option<Command> {
        let next = self.state.rules(|rules| {
            let (version, _) = rules.active();
            self.granting(|grantor, now| {
                let settled = rules.members().all(|(name, _)| grantor.only(now, name, version).is_ok());
                let has = told(rules, grantor);
                let may = settled && rules.blocked_by(&has).is_none();
                may.then_some(Command::Advance { from: version, acknowledged: has })
            })
        });
        next.flatten().flatten()
    }

    /// How things stand, where this voter leads.
    pub fn lead(&self) -> Option<LeaderStatus> {
        let lead = self.state.rules(|rules| {
            self.granting(|grantor, now| {
                let has = told(rules, grantor);
                let until: BTreeMap<&str, Nanos> =
                    grantor.holders().map(|(name, _, until)| (name, until)).collect();
                let lease =
                    rules.members().find(|(name, _)| grantor.only(now, name, rules.active().0).is_err());
                let lease = lease.map(|(name, _)| format!("{name} may hold a lease on an earlier version"));
                LeaderStatus {
                    active: rules.active().0,
                    newest: rules.documents().last().map_or(0, |(number, _)| number),
                    pending_steps: rules.pending_steps() as u64,
                    blocked_by: lease
                        .or(rules.blocked_by(&has).map(|waits| waits.to_string()))
                        .filter(|_| rules.pending_steps() > 0),
                    holders: (rules.members())
                        .map(|(name, earliest)| HolderStatus {
                            name: name.to_owned(),
                            acknowledged: has.get(name).copied(),
                            earliest,
                            left_ms: until.get(name).map_or(0, |until| until.saturating_sub(now) / 1_000_000),
                        })
                        .collect(),
                }
            })
        });
        lead.flatten()
    }

    /// Proposals that are kept.
    pub async fn history(&self) -> Result<Vec<(u64, RulesDocument)>, PeerError> {
        self.confirmed().await?;
        let kept = self.state.rules(|rules| rules.documents().map(|(n, d)| (n, d.clone())).collect());
        kept.ok_or(PeerError::NotBootstrapped)
    }
}

/// What holders have told that they have.
fn told(rules: &nickelflow_rollout::RolloutState, grantor: &LeaseTable) -> BTreeMap<String, Version> {
    rules.members().filter_map(|(name, _)| Some((name.to_owned(), grantor.has(name)?))).collect()
}

pub fn small(document: &RulesDocument) -> Result<(), PeerError> {
    match postcard::to_stdvec(document) {
        Ok(bytes) if bytes.len() <= MAX_DOCUMENT_BYTES => Ok(()),
        _ => Err(PeerError::DocumentTooLarge),
    }
}

/// Asks the majority once for all that wait by then.
///
/// A process that led, died and comes back in the same term leads again at once, and the library then takes for decided
/// only what it knows to be: it would confirm an old state. So that all in its log is decided and applied, each process
/// first has a mark of its own decided in each term.
async fn confirming(id: u64, raft: Raft, mut waiting: mpsc::Receiver<Confirm>) {
    let mut batch = Vec::new();
    let mut marked = None;
    while waiting.recv_many(&mut batch, CONFIRMED).await > 0 {
        let term = term(id, &raft);
        let asked = async {
            if marked != term {
                raft.client_write(Command::ReadBarrier).await.map_err(|e| match e {
                    RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => not_leading(to.leader_id),
                    other => PeerError::NoQuorum(other.to_string()),
                })?;
            }
            raft.ensure_linearizable().await.map_err(|e| match e {
                RaftError::APIError(CheckIsLeaderError::ForwardToLeader(to)) => not_leading(to.leader_id),
                other => PeerError::NoQuorum(other.to_string()),
            })
        };
        let confirmed = match tokio::time::timeout(MAJORITY, asked).await {
            Ok(confirmed) => confirmed.map(|_| ()),
            Err(_) => Err(PeerError::NoQuorum("not confirmed in time".to_owned())),
        };
        if confirmed.is_ok() {
            marked = term;
        }
        for waits in batch.drain(..) {
            let _ = waits.send(confirmed.clone());
        }
    }
}
