//! A scheduler's side: asks for its lease in time, and publishes what it may act on.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use nickelflow_rollout::{LeaseConfig, LeaseGrant, LeaseHolder, LeaseState, Version};
use tokio::sync::watch;
use tracing::{info, warn};

use crate::chamber::Chamber;
use crate::messages::{Command, PeerError, PeerRequest, PeerResponse};
use crate::peers::Peers;
use crate::{ActiveRules, Clock};

/// After a voter that did not grant the next one is asked this soon, at least: all holders lose their leases together.
const AGAIN: Duration = Duration::from_millis(20);

pub struct Holding {
    name: String,
    terms: LeaseConfig,
    clock: Clock,
    peers: Peers,
    /// Where this process votes itself.
    own: OnceLock<(u64, Arc<Chamber>)>,
    holder: Mutex<LeaseHolder>,
    told: watch::Sender<Option<ActiveRules>>,
    /// The voter that granted last, or is said to lead.
    leader: Mutex<Option<u64>>,
}

impl Holding {
    pub fn new(
        name: String,
        terms: LeaseConfig,
        clock: Clock,
        peers: Peers,
        honoured: LeaseConfig,
    ) -> Arc<Holding> {
        let holder = Mutex::new(LeaseHolder::new(honoured, fastrand::u64(..)));
        let told = watch::channel(None).0;
        let (own, leader) = (OnceLock::new(), Mutex::new(None));
        Arc::new(Holding { name, terms, clock, peers, own, holder, told, leader })
    }

    /// This process votes itself from now on.
    pub fn votes(&self, id: u64, chamber: Arc<Chamber>) {
        let _ = self.own.set((id, chamber));
    }

    pub fn told(&self) -> watch::Receiver<Option<ActiveRules>> {
        self.told.subscribe()
    }

    fn holder(&self) -> MutexGuard<'_, LeaseHolder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it was granted last, what is left of that, and since when it is careful (ms).
    pub fn standing(&self) -> (Option<Version>, u64, u64) {
        let (holder, now) = (self.holder(), self.clock.now());
        let (version, careful) = match holder.in_force(now) {
            LeaseState::Active(version, _) => (Some(version), 0),
            LeaseState::Lapsed(version, _) => (Some(version), now - holder.until()),
            LeaseState::NeverGranted => (None, 0),
        };
        (version, holder.left(now) / 1_000_000, careful / 1_000_000)
    }

    /// Asks again and again, one request after the other: each has the time of a renewal, and where a voter does not
    /// grant, another is asked soon.
    pub async fn renewing(self: Arc<Self>) {
        let limit = Duration::from_nanos(self.terms.renewal_interval);
        loop {
            let request = self.holder().ask(self.clock.now());
            let asked = tokio::time::Instant::now();
            let call = PeerRequest::RequestLease {
                holder: self.name.clone(),
                lease_duration: self.terms.duration,
                request,
            };
            match self.lead(&call, limit).await {
                Ok(PeerResponse::LeaseGranted(grant)) => {
                    self.take(*grant);
                    // Not all at the same moment, though all may have begun together.
                    tokio::time::sleep_until(asked + limit.mul_f64(0.75 + 0.25 * fastrand::f64())).await;
                }
                Ok(PeerResponse::Error(PeerError::NameTaken)) => {
                    warn!(
                        name = self.name,
                        "another process has this scheduler's name: it gets no lease any more"
                    );
                    tokio::time::sleep(limit).await;
                }
                Ok(PeerResponse::Error(why @ PeerError::LeaseMismatch(_))) => {
                    warn!(%why, "no lease for this scheduler");
                    tokio::time::sleep(limit).await;
                }
                // No seat, or no rules: neither changes soon.
                Ok(PeerResponse::Error(PeerError::Rejected(_) | PeerError::NotBootstrapped)) => {
                    tokio::time::sleep(limit).await;
                }
                Ok(PeerResponse::Error(PeerError::NotLeader(Some(_)))) => tokio::time::sleep(AGAIN).await,
                Ok(PeerResponse::Error(_)) | Ok(_) | Err(_) => {
                    let pause = AGAIN + limit.mul_f64(0.25 * fastrand::f64());
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    fn take(&self, grant: LeaseGrant) {
        let mut holder = self.holder();
        let now = self.clock.now();
        let new = holder.granted(now, grant);
        let until = self.clock.instant(holder.until());
        let told = match (holder.in_force(now), new) {
            (LeaseState::Active(version, step), true) => {
                info!(%version, "rules in force");
                Some(ActiveRules { version, step: Arc::new(step.clone()), lease_expiry: until })
            }
            _ => None,
        };
        drop(holder);
        self.told.send_modify(|old| match (told, old) {
            (Some(told), old) => *old = Some(told),
            (None, Some(old)) => old.lease_expiry = until,
            (None, None) => {}
        });
    }

    /// Asks the voter that leads, as far as is known; else any.
    pub async fn lead(&self, call: &PeerRequest, limit: Duration) -> Result<PeerResponse, String> {
        let known = *self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        let voters: Vec<u64> = self.peers.voters().keys().copied().collect();
        let Some(voter) = known.or_else(|| fastrand::choice(&voters).copied()) else {
            return Err("no voter is configured".to_owned());
        };
        let late = |_| Err(format!("voter {voter}: no answer within {} ms", limit.as_millis()));
        let answer = match (self.own.get(), call) {
            // Not over its own listener, but with no more time than over another's.
            (Some((id, chamber)), PeerRequest::RequestLease { holder, request, .. }) if *id == voter => {
                let asked = tokio::time::timeout(limit, chamber.ask(holder, *request)).await;
                asked.map_or_else(late, |answer| Ok(answer.unwrap_or_else(PeerResponse::Error)))
            }
            (Some((id, chamber)), PeerRequest::Command(command)) if *id == voter => {
                let asked = tokio::time::timeout(limit, chamber.command(command.clone())).await;
                asked.map_or_else(late, |answer| {
                    Ok(answer.map_or_else(PeerResponse::Error, PeerResponse::Applied))
                })
            }
            _ => match self.peers.voters().get(&voter) {
                Some(address) => self.peers.ask(address, call, limit).await,
                None => Err(format!("no address of voter {voter} is configured")),
            },
        };
        let leader = match &answer {
            Ok(PeerResponse::Error(PeerError::NotLeader(leader))) => leader.filter(|leader| *leader != voter),
            Ok(PeerResponse::Error(
                PeerError::Rejected(_) | PeerError::NameTaken | PeerError::NotBootstrapped,
            )) => Some(voter),
            Ok(PeerResponse::Error(_)) | Err(_) => None,
            Ok(_) => Some(voter),
        };
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
        answer
    }

    /// Gives the seat up; whoever calls acts on nothing any more. Tries within `limit`, each voter for `attempt`. Not
    /// heard, the seat stays taken until the operator takes it, or the scheduler comes again under its name.
    pub async fn leave(&self, limit: Duration, attempt: Duration) {
        let call = PeerRequest::Command(Command::Leave(self.name.clone()));
        let left = tokio::time::timeout(limit, async {
            while !matches!(self.lead(&call, attempt).await, Ok(PeerResponse::Applied(_))) {
                tokio::time::sleep(AGAIN).await;
            }
        });
        if left.await.is_err() {
            warn!(name = self.name, "no voter has heard that this scheduler gives up its seat");
        }
    }
}
