//! A fleet of schedulers that runs in the test process and uses real sockets.

// Each test file uses only some of these items.
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

/// The timeout that ends a test that hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The timeout of one request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The ids of the voters of a new fleet.
pub const VOTER_IDS: [u64; 3] = [1, 2, 3];

/// Returns lease timing with leases of one second.
pub fn lease_config() -> LeaseConfig {
    LeaseConfig::new(1_000_000_000, 200_000_000, 0.01).expect("valid lease timing")
}

/// Parses a rules document.
pub fn document(text: &str) -> RulesDocument {
    RulesDocument::parse(text).expect("a valid document")
}

/// Returns rules with this quota for the tenant `milk`.
pub fn document_with_quota(quota: u32) -> RulesDocument {
    document(&format!("schedulers = 4\n[tenants.milk]\nquota_per_s = {quota}\n"))
}

/// Returns a fleet name that no other test uses. Tests run concurrently and must reject each other's
/// messages.
pub fn fleet_name() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    format!("test-fleet-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed))
}

/// Returns a socket that reserves a port while nothing listens on it.
fn reserve_port() -> tokio::net::TcpSocket {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("a reusable address");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    socket
}

/// Polls until `poll` returns a value.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(mut poll: impl FnMut() -> F) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "no value within {TEST_TIMEOUT:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A fleet of voters, some of which may be stopped.
pub struct Fleet {
    pub name: String,
    folder: tempfile::TempDir,
    /// The voters' ports. Without the reservation, another test's voter could listen on the port of a stopped
    /// voter that still receives messages.
    reserved_ports: Vec<tokio::net::TcpSocket>,
    pub addresses: BTreeMap<u64, String>,
    pub running_voters: BTreeMap<u64, ControlPlane>,
}

impl Fleet {
    /// Creates a fleet without voters.
    pub fn empty(name: String) -> Fleet {
        let folder = tempfile::tempdir().expect("a temporary folder");
        Fleet {
            name,
            folder,
            reserved_ports: Vec::new(),
            addresses: BTreeMap::new(),
            running_voters: BTreeMap::new(),
        }
    }

    /// Prepares and starts three voters, without any rules.
    pub fn start() -> Fleet {
        let mut fleet = Fleet::empty(fleet_name());
        VOTER_IDS.into_iter().for_each(|id| fleet.prepare_voter(id));
        VOTER_IDS.into_iter().for_each(|id| fleet.start_voter(id));
        fleet
    }

    /// Starts a fleet like [`Fleet::start`], and bootstraps it with these rules.
    pub async fn start_bootstrapped(rules: RulesDocument) -> Fleet {
        let fleet = Fleet::start();
        fleet.bootstrap(1, rules).await;
        fleet
    }

    /// Bootstraps the fleet with these rules through a voter.
    pub async fn bootstrap(&self, id: u64, rules: RulesDocument) {
        let response = self.send(id, &PeerRequest::Bootstrap(rules)).await;
        assert!(matches!(response, PeerResponse::Applied(1)), "{response:?}");
    }

    /// Reserves the port of a new voter and creates its data folder.
    pub fn prepare_voter(&mut self, id: u64) {
        self.reserve_address(id);
        prepare_data_dir(&self.data_dir(id), &self.name, id).expect("a new folder");
    }

    /// Reserves the port of a new voter.
    pub fn reserve_address(&mut self, id: u64) {
        let port = reserve_port();
        self.addresses.insert(id, port.local_addr().expect("an address").to_string());
        self.reserved_ports.push(port);
    }

    /// Returns the path of a voter's data folder, which may not exist.
    pub fn data_dir(&self, id: u64) -> PathBuf {
        self.folder.path().join(id.to_string())
    }

    /// Returns the configuration of a scheduler of this fleet.
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

    /// Starts or restarts a voter.
    pub fn start_voter(&mut self, id: u64) {
        let listener = TcpListener::bind(&self.addresses[&id]).expect("the reserved port");
        let voter = VoterConfig { id, data_dir: self.data_dir(id) };
        let config = self.config(&format!("v{id}"), Some(voter));
        self.running_voters.insert(id, start(config, listener).expect("a started control plane"));
    }

    /// Shuts a voter down.
    pub fn stop_voter(&mut self, id: u64) {
        self.running_voters.remove(&id).expect("a running voter").shut_down();
    }

    /// Starts a scheduler that is not a voter.
    pub fn start_scheduler(&self, name: &str) -> ControlPlane {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        start(self.config(name, None), listener).expect("a started control plane")
    }

    /// Sends a request to a voter, which must respond.
    pub async fn send(&self, id: u64, request: &PeerRequest) -> PeerResponse {
        let peers = PeerClient::new(self.name.clone(), self.addresses.clone());
        peers.send(&self.addresses[&id], request, REQUEST_TIMEOUT).await.expect("a response")
    }

    /// Sends a request to each voter in turn until the leader has responded.
    pub async fn send_to_leader(&self, request: &PeerRequest) -> PeerResponse {
        wait_for(|| async {
            for id in self.running_voters.keys() {
                match self.send(*id, request).await {
                    PeerResponse::Error(PeerError::NotLeader(_) | PeerError::NoQuorum(_)) => {}
                    response => return Some(response),
                }
            }
            None
        })
        .await
    }

    /// Returns the cached proposals, newest last.
    pub async fn history(&self) -> Vec<Proposal> {
        match self.send_to_leader(&PeerRequest::History).await {
            PeerResponse::History(history) => history,
            other => panic!("{other:?}"),
        }
    }

    /// Proposes a document on top of the newest proposal.
    pub async fn propose(&self, document: RulesDocument) -> u64 {
        let base = self.history().await.last().expect("rules").number;
        self.propose_over(base, document).await
    }

    /// Proposes a document on top of the proposal `base`, which must be the newest.
    pub async fn propose_over(&self, base: u64, document: RulesDocument) -> u64 {
        match self.send_to_leader(&PeerRequest::Command(Command::Propose { base, document })).await {
            PeerResponse::Applied(number) => number,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the status of a voter.
    pub async fn status(&self, id: u64) -> SchedulerStatus {
        match self.send(id, &PeerRequest::Status).await {
            PeerResponse::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until a voter leads, and returns its id.
    pub async fn wait_for_leader(&self) -> u64 {
        wait_for(|| async {
            for id in self.running_voters.keys() {
                if self.status(*id).await.rollout.is_some() {
                    return Some(*id);
                }
            }
            None
        })
        .await
    }

    /// Does the same as [`wait_for_quota`], and shows the status of each voter if it fails.
    pub async fn wait_for_quota(&self, scheduler: &ControlPlane, quota: f64) -> Version {
        let timeout = TEST_TIMEOUT - REQUEST_TIMEOUT;
        if let Ok(version) = tokio::time::timeout(timeout, wait_for_quota(scheduler, quota)).await {
            return version;
        }
        let mut statuses = Vec::new();
        for id in self.running_voters.keys() {
            statuses.push(self.status(*id).await);
        }
        panic!(
            "no quota of {quota} in time; the scheduler has {:?}; {statuses:#?}",
            *scheduler.active_rules.borrow()
        );
    }
}

/// Waits until a scheduler has a lease on rules with this quota for the tenant `milk`.
pub async fn wait_for_quota(scheduler: &ControlPlane, quota: f64) -> Version {
    let mut active_rules = scheduler.active_rules.clone();
    let has_quota = active_rules.wait_for(|rules| {
        rules.as_ref().is_some_and(|rules| {
            rules.step.quotas.get("milk") == Some(&quota) && Instant::now() < rules.lease_expiry
        })
    });
    let rules = tokio::time::timeout(TEST_TIMEOUT, has_quota)
        .await
        .expect("a lease in time")
        .expect("a running scheduler");
    rules.as_ref().expect("rules").version
}
