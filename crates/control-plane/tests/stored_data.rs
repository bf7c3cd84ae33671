//! Voter folders recorded at commit 04e006e: a later program must open them, show the same rules and go on from there.
//!
//! `data/founded-<id>.redb.gz` is the `rules.redb` of voter `<id>` of a fleet of three that was founded with
//! [`founding_document`], was proposed [`proposed_document`], and ended once the proposal was in force. The log holds
//! the vote, the first membership, and commands of the kinds `Found`, `Sit`, `Propose`, `Advance` and `Leave`.
//! `data/snapshot-<id>.redb.gz` is the same after 520 more `Mark` commands, by which the voter has built a snapshot and
//! purged the log up to 100 entries before it. Addresses are settings and not stored, so any free ports will do.

use std::collections::BTreeMap;
use std::future::Future;
use std::io::Read;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use flate2::read::GzDecoder;
use nickelflow_control_plane::{
    start, Command, ControlPlane, ControlPlaneConfig, LeaderStatus, PeerError, PeerRequest, PeerResponse,
    Peers, Status, VoterConfig,
};
use nickelflow_rollout::{LeaseConfig, RolloutState, RulesDocument, Version};
use openraft::{EmptyNode, LogId, SnapshotMeta, StoredMembership};
use redb::{ReadableTable, ReadableTableMetadata, TableDefinition};

/// Only so that a test that hangs ends.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const VOTERS: [u64; 3] = [1, 2, 3];

const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const KEPT_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

/// One recorded set of folders.
struct Recording {
    /// The name in the files, and of the fleet that the files are stamped with.
    name: &'static str,
    /// The version in force when the fleet ended.
    in_force: Version,
}

const FOUNDED: Recording = Recording { name: "founded", in_force: Version { number: 6, term: 1 } };
const SNAPSHOT: Recording = Recording { name: "snapshot", in_force: Version { number: 6, term: 1 } };

fn parse(text: &str) -> RulesDocument {
    RulesDocument::parse(text).expect("a sound document")
}

/// The rules that the recorded fleets were founded with.
fn founding_document() -> RulesDocument {
    parse(
        "schedulers = 4\nlist = 7\nattempts = 3\nretry_after_ms = [10, 1500]\n\
         [tenants.milk]\nquota_per_s = 100\n[tenants.cream]\nquota_per_s = 12.5\n\
         [workers.a]\nstanding = \"cordoned\"\n[workers.b]\nstanding = \"drained\"\n[workers.c]\nstanding = \"never\"\n\
         [workers.d]\nstanding = \"pinned\"\ntenant = \"milk\"\n",
    )
}

/// The rules that were proposed after them.
fn proposed_document() -> RulesDocument {
    parse(
        "schedulers = 4\nlist = 8\nattempts = 5\nretry_after_ms = [20, 1000]\n\
         [tenants.milk]\nquota_per_s = 50\n[tenants.cream]\nquota_per_s = 25\n\
         [workers.a]\nstanding = \"drained\"\n[workers.d]\nstanding = \"pinned\"\ntenant = \"cream\"\n",
    )
}

/// The rules that the tests propose to a fleet that runs on recorded folders.
fn next_document() -> RulesDocument {
    parse("schedulers = 4\n[tenants.milk]\nquota_per_s = 33\n")
}

fn recorded_file(name: &str, id: u64) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/data/{name}-{id}.redb.gz"))
}

/// Unpacks a recorded file into a voter's folder.
fn unpack(name: &str, id: u64, folder: &Path) -> PathBuf {
    let packed = std::fs::File::open(recorded_file(name, id)).expect("a recorded file");
    let mut bytes = Vec::new();
    GzDecoder::new(packed).read_to_end(&mut bytes).expect("sound gzip");
    std::fs::create_dir_all(folder).expect("a folder");
    let file = folder.join("rules.redb");
    std::fs::write(&file, bytes).expect("written");
    file
}

/// A socket that keeps a port for its owner while nobody listens there.
fn reserve_port() -> tokio::net::TcpSocket {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an address that may be listened on");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    socket
}

/// Three voters on copies of recorded folders.
struct Fleet {
    name: &'static str,
    /// Removed when the fleet is dropped.
    _folder: tempfile::TempDir,
    /// Kept so that no other process takes a voter's port.
    _ports: Vec<tokio::net::TcpSocket>,
    addresses: BTreeMap<u64, String>,
    running: BTreeMap<u64, ControlPlane>,
}

impl Fleet {
    /// Starts three voters; `fill` makes the folder of each.
    fn start(name: &'static str, fill: impl Fn(u64, &Path)) -> Fleet {
        let folder = tempfile::tempdir().expect("a folder");
        let ports: Vec<_> = VOTERS.iter().map(|_| reserve_port()).collect();
        let address = |port: &tokio::net::TcpSocket| port.local_addr().expect("an address").to_string();
        let addresses: BTreeMap<u64, String> = VOTERS.into_iter().zip(ports.iter().map(address)).collect();
        let mut running = BTreeMap::new();
        for (id, address) in &addresses {
            let data = folder.path().join(id.to_string());
            fill(*id, &data);
            let listener = TcpListener::bind(address).expect("its own port");
            let settings = settings(name, &addresses, VoterConfig { id: *id, data_dir: data });
            running.insert(*id, start(settings, listener).expect("it starts"));
        }
        Fleet { name, _folder: folder, _ports: ports, addresses, running }
    }

    fn on_recorded(recording: &Recording) -> Fleet {
        Fleet::start(recording.name, |id, folder| {
            unpack(recording.name, id, folder);
        })
    }

    async fn ask(&self, id: u64, call: &PeerRequest) -> PeerResponse {
        let peers = Peers::new(self.name.to_owned(), self.addresses.clone());
        peers.ask(&self.addresses[&id], call, CALL_TIMEOUT).await.expect("an answer")
    }

    /// Asks the voters in turn until the leader has answered.
    async fn ask_leader(&self, call: &PeerRequest) -> PeerResponse {
        until(|| async {
            for id in VOTERS {
                match self.ask(id, call).await {
                    PeerResponse::Error(PeerError::NotLeader(_) | PeerError::NoQuorum(_)) => {}
                    answer => return Some(answer),
                }
            }
            None
        })
        .await
    }

    async fn status(&self, id: u64) -> Status {
        match self.ask(id, &PeerRequest::Status).await {
            PeerResponse::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    /// The status of the leader once all three voters hold leases and no step is pending.
    async fn settled_leader(&self) -> LeaderStatus {
        until(|| async {
            for id in VOTERS {
                let lead = self.status(id).await.leader_status;
                let settled =
                    |lead: &LeaderStatus| lead.pending_steps == 0 && lead.holders.len() == VOTERS.len();
                if let Some(lead) = lead.filter(settled) {
                    return Some(lead);
                }
            }
            None
        })
        .await
    }

    async fn history(&self) -> Vec<(u64, RulesDocument)> {
        match self.ask_leader(&PeerRequest::History).await {
            PeerResponse::History(history) => history,
            other => panic!("{other:?}"),
        }
    }

    async fn propose(&self, base: u64, document: RulesDocument) -> u64 {
        match self.ask_leader(&PeerRequest::Command(Command::Propose { base, document })).await {
            PeerResponse::Applied(number) => number,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until every voter holds a lease on rules with this limit for the tenant `milk`.
    async fn all_act_on(&self, quota: f64) {
        for council in self.running.values() {
            let mut told = council.active_rules.clone();
            let acts = told.wait_for(|told| {
                told.as_ref().is_some_and(|told| {
                    told.step.quotas.get("milk") == Some(&quota) && Instant::now() < told.lease_expiry
                })
            });
            tokio::time::timeout(TEST_TIMEOUT, acts).await.expect("in time").expect("it runs");
        }
    }
}

fn settings(fleet: &str, addresses: &BTreeMap<u64, String>, voting: VoterConfig) -> ControlPlaneConfig {
    let terms = LeaseConfig::new(1_000_000_000, 200_000_000, 0.01).expect("sound terms");
    ControlPlaneConfig {
        fleet: fleet.to_owned(),
        name: format!("v{}", voting.id),
        voters: addresses.clone(),
        voter: Some(voting),
        lease: terms,
        local_lease: terms,
        build: "test".to_owned(),
    }
}

async fn until<T, F: Future<Output = Option<T>>>(mut look: impl FnMut() -> F) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "it never came");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Starts a fleet on recorded folders, compares its rules with those recorded, and changes them once more.
async fn goes_on_from(recording: &Recording) {
    let fleet = Fleet::on_recorded(recording);
    let mut recorded = vec![(1, founding_document()), (2, proposed_document())];
    assert_eq!(fleet.history().await, recorded);
    fleet.all_act_on(50.0).await;
    let lead = fleet.settled_leader().await;
    assert_eq!((lead.active, lead.newest, lead.blocked_by), (recording.in_force, 2, None));
    for id in VOTERS {
        let status = fleet.status(id).await;
        assert_eq!((status.not_voting_reason, status.voter), (None, Some(id)));
    }
    assert_eq!(fleet.propose(2, next_document()).await, 3);
    fleet.all_act_on(33.0).await;
    recorded.push((3, next_document()));
    assert_eq!(fleet.history().await, recorded);
}

#[tokio::test]
async fn voters_go_on_from_recorded_logs() {
    goes_on_from(&FOUNDED).await;
}

#[tokio::test]
async fn voters_go_on_from_recorded_snapshots() {
    goes_on_from(&SNAPSHOT).await;
}

/// The state machine as a snapshot stores it: postcard writes a struct as its fields in order.
type StoredState = (Option<RolloutState>, Option<LogId<u64>>, StoredMembership<u64, EmptyNode>);

#[test]
fn recorded_snapshots_hold_the_rules_and_are_written_alike() {
    for id in VOTERS {
        let folder = tempfile::tempdir().expect("a folder");
        let file = unpack(SNAPSHOT.name, id, folder.path());
        let database = redb::Database::open(file).expect("a sound file");
        let transaction = database.begin_read().expect("it can be read");
        let log = transaction.open_table(LOG_TABLE).expect("a log");
        let kept = transaction.open_table(KEPT_TABLE).expect("kept values");
        let first = log.first().expect("it can be read").expect("entries").0.value();
        assert!(first > 300 && log.len().expect("it can be read") >= 100, "the log was purged up to {first}");

        let bytes = kept.get("snapshot").expect("it can be read").expect("a snapshot").value().to_vec();
        let (meta, data): (SnapshotMeta<u64, EmptyNode>, Vec<u8>) =
            postcard::from_bytes(&bytes).expect("a snapshot");
        assert_eq!(postcard::to_stdvec(&(&meta, &data)).expect("encoded"), bytes);
        let state: StoredState = postcard::from_bytes(&data).expect("a state");
        assert_eq!(postcard::to_stdvec(&state).expect("encoded"), data);

        let (decider, last, membership) = state;
        assert_eq!((last, &membership), (meta.last_log_id, &meta.last_membership));
        assert_eq!(membership.voter_ids().collect::<Vec<_>>(), VOTERS);
        let decider = decider.expect("founded");
        assert_eq!(decider.active().0, SNAPSHOT.in_force);
        let documents: Vec<_> =
            decider.documents().map(|(number, document)| (number, document.clone())).collect();
        assert_eq!(documents, [(1, founding_document()), (2, proposed_document())]);
        assert_eq!(decider.members().map(|(name, _)| name).collect::<Vec<_>>(), ["v1", "v2", "v3"]);
    }
}
