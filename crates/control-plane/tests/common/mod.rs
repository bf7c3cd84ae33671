//! A fleet of schedulers in one process, over real sockets.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use nickelflow_control_plane::{
    prepare_data_dir, start, Command, ControlPlane, ControlPlaneConfig, PeerClient, PeerError, PeerRequest,
    PeerResponse, Proposal, SchedulerStatus, VoterConfig,
};
use nickelflow_rollout::{LeaseConfig, RulesDocument, Version};

/// Only so that a test that hangs ends.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// How long one request may take.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The numbers of the voters that a fleet begins with.
pub const VOTERS: [u64; 3] = [1, 2, 3];

/// Leases of one second.
pub fn lease_config() -> LeaseConfig {
    LeaseConfig::new(1_000_000_000, 200_000_000, 0.01).expect("sound times")
}

/// Parses a rules document.
pub fn document(text: &str) -> RulesDocument {
    RulesDocument::parse(text).expect("a sound document")
}

/// Rules with this limit for the tenant `milk`.
pub fn milk_quota(quota: u32) -> RulesDocument {
    document(&format!("schedulers = 4\n[tenants.milk]\nquota_per_s = {quota}\n"))
}

/// A name that no other fleet has: tests run side by side, and must not understand each other's messages.
pub fn fleet_name() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    format!("emmental-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed))
}

/// A socket that keeps a port for its owner while nobody listens there.
fn reserve_port() -> tokio::net::TcpSocket {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an address that may be listened on");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    socket
}

/// Polls until there is a value.
pub async fn until<T, F: Future<Output = Option<T>>>(mut poll: impl FnMut() -> F) -> T {
    let begun = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "it never came");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Voters that run or are killed, and what other schedulers need to reach them.
pub struct Fleet {
    pub name: String,
    folder: tempfile::TempDir,
    /// The voters' ports: without them another test's voter could listen where a killed one is still written
    /// to.
    ports: Vec<tokio::net::TcpSocket>,
    pub addresses: BTreeMap<u64, String>,
    pub running: BTreeMap<u64, ControlPlane>,
}

impl Fleet {
    /// A fleet without voters.
    pub fn empty(name: String) -> Fleet {
        let folder = tempfile::tempdir().expect("a folder");
        Fleet { name, folder, ports: Vec::new(), addresses: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// Three voters that are prepared and run, without any rules.
    pub fn start() -> Fleet {
        let mut fleet = Fleet::empty(fleet_name());
        VOTERS.into_iter().for_each(|id| fleet.prepare_voter(id));
        VOTERS.into_iter().for_each(|id| fleet.start_voter(id));
        fleet
    }

    /// The same with these rules.
    pub async fn bootstrapped(rules: RulesDocument) -> Fleet {
        let fleet = Fleet::start();
        fleet.bootstrap(1, rules).await;
        fleet
    }

    /// Has a voter make these the first rules.
    pub async fn bootstrap(&self, id: u64, rules: RulesDocument) {
        let response = self.ask(id, &PeerRequest::Bootstrap(rules)).await;
        assert!(matches!(response, PeerResponse::Applied(1)), "{response:?}");
    }

    /// Gives a new voter its port and its data folder.
    pub fn prepare_voter(&mut self, id: u64) {
        self.reserve_address(id);
        prepare_data_dir(&self.data_dir(id), &self.name, id).expect("a new folder");
    }

    /// Gives a new voter its port.
    pub fn reserve_address(&mut self, id: u64) {
        let port = reserve_port();
        self.addresses.insert(id, port.local_addr().expect("an address").to_string());
        self.ports.push(port);
    }

    /// The data folder of a voter, which may not exist.
    pub fn data_dir(&self, id: u64) -> PathBuf {
        self.folder.path().join(id.to_string())
    }

    /// The configuration of a scheduler of this fleet.
    pub fn config(&self, name: &str, voter: Option<VoterConfig>) -> ControlPlaneConfig {
        ControlPlaneConfig {
            fleet: self.name.clone(),
            name: name.to_owned(),
            voters: self.addresses.clone(),
            voter,
            lease: lease_config(),
            local_lease: lease_config(),
            program_version: "test".to_owned(),
        }
    }

    /// Starts a voter, for the first time or again.
    pub fn start_voter(&mut self, id: u64) {
        let listener = TcpListener::bind(&self.addresses[&id]).expect("its own port");
        let voter = VoterConfig { id, data_dir: self.data_dir(id) };
        let config = self.config(&format!("v{id}"), Some(voter));
        self.running.insert(id, start(config, listener).expect("it starts"));
    }

    /// Shuts a voter down.
    pub fn stop_voter(&mut self, id: u64) {
        self.running.remove(&id).expect("it runs").shut_down();
    }

    /// Starts a scheduler that is no voter.
    pub fn start_scheduler(&self, name: &str) -> ControlPlane {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        start(self.config(name, None), listener).expect("it starts")
    }

    /// Asks a voter, which must answer.
    pub async fn ask(&self, id: u64, request: &PeerRequest) -> PeerResponse {
        let peers = PeerClient::new(self.name.clone(), self.addresses.clone());
        peers.send(&self.addresses[&id], request, REQUEST_TIMEOUT).await.expect("an answer")
    }

    /// Asks the voters in turn until the leader has answered.
    pub async fn ask_leader(&self, request: &PeerRequest) -> PeerResponse {
        until(|| async {
            for id in self.running.keys() {
                match self.ask(*id, request).await {
                    PeerResponse::Error(PeerError::NotLeader(_) | PeerError::NoQuorum(_)) => {}
                    response => return Some(response),
                }
            }
            None
        })
        .await
    }

    /// The cached proposals, the newest last.
    pub async fn history(&self) -> Vec<Proposal> {
        match self.ask_leader(&PeerRequest::History).await {
            PeerResponse::History(history) => history,
            other => panic!("{other:?}"),
        }
    }

    /// Proposes a document over the newest proposal.
    pub async fn propose(&self, document: RulesDocument) -> u64 {
        let base = self.history().await.last().expect("rules").number;
        self.propose_over(base, document).await
    }

    /// Proposes a document over this proposal, which must be the newest.
    pub async fn propose_over(&self, base: u64, document: RulesDocument) -> u64 {
        match self.ask_leader(&PeerRequest::Command(Command::Propose { base, document })).await {
            PeerResponse::Applied(number) => number,
            other => panic!("{other:?}"),
        }
    }

    /// The status of a voter.
    pub async fn status(&self, id: u64) -> SchedulerStatus {
        match self.ask(id, &PeerRequest::Status).await {
            PeerResponse::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until a voter leads.
    pub async fn leader(&self) -> u64 {
        until(|| async {
            for id in self.running.keys() {
                if self.status(*id).await.rollout.is_some() {
                    return Some(*id);
                }
            }
            None
        })
        .await
    }

    /// As [`acts_on_milk_quota`], and shows what the voters report where that never comes.
    pub async fn acts_on_milk_quota(&self, scheduler: &ControlPlane, quota: f64) -> Version {
        let limit = TEST_TIMEOUT - REQUEST_TIMEOUT;
        if let Ok(version) = tokio::time::timeout(limit, acts_on_milk_quota(scheduler, quota)).await {
            return version;
        }
        let mut statuses = Vec::new();
        for id in self.running.keys() {
            statuses.push(self.status(*id).await);
        }
        panic!(
            "no limit of {quota} in time; the scheduler has {:?}; {statuses:#?}",
            *scheduler.active_rules.borrow()
        );
    }
}

/// Waits until a scheduler has a lease on rules with this limit for the tenant `milk`.
pub async fn acts_on_milk_quota(scheduler: &ControlPlane, quota: f64) -> Version {
    let mut active_rules = scheduler.active_rules.clone();
    let acts = active_rules.wait_for(|rules| {
        rules.as_ref().is_some_and(|rules| {
            rules.step.quotas.get("milk") == Some(&quota) && Instant::now() < rules.lease_expiry
        })
    });
    let rules = tokio::time::timeout(TEST_TIMEOUT, acts).await.expect("in time").expect("it runs");
    rules.as_ref().expect("rules").version
}
