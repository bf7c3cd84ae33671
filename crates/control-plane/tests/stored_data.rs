//! Data folders of voters, recorded at commit 04e006e. Later versions of the program must open them, report
//! the same rules and continue from there.
//!
//! `data/founded-<id>.redb.gz` is the `rules.redb` of voter `<id>` of a fleet of three that was bootstrapped
//! with [`bootstrap_document`], was proposed [`proposed_document`], and ended once the proposal was active.
//! The log holds the vote, the first membership, and commands of the kinds `Bootstrap`, `Join`, `Propose`,
//! `Advance` and `Leave`. `data/snapshot-<id>.redb.gz` is the same after 520 more `ReadBarrier` commands, by
//! which the voter has built a snapshot and purged the log up to 100 entries before it. Addresses are
//! settings and not stored, so any free ports will do.

mod common;

use std::io::Read;
use std::path::{Path, PathBuf};

use common::{document, document_with_quota, wait_for, wait_for_quota, Fleet, VOTER_IDS};
use flate2::read::GzDecoder;
use nickelflow_control_plane::{Proposal, RolloutStatus};
use nickelflow_rollout::{RolloutState, RulesDocument, Version};
use openraft::{EmptyNode, LogId, SnapshotMeta, StoredMembership};
use redb::{ReadableTable, ReadableTableMetadata, TableDefinition};

const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const VALUES_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

/// The recorded data folders of one fleet.
struct Recording {
    /// The prefix of the file names, and the fleet name in the files' headers.
    name: &'static str,
    /// The active version when the fleet was shut down.
    active: Version,
}

const BOOTSTRAPPED: Recording = Recording { name: "founded", active: Version { number: 6, term: 1 } };
const SNAPSHOT: Recording = Recording { name: "snapshot", active: Version { number: 6, term: 1 } };

/// Returns the rules that the recorded fleets were bootstrapped with.
fn bootstrap_document() -> RulesDocument {
    document(
        "schedulers = 4\nlist = 7\nattempts = 3\nretry_after_ms = [10, 1500]\n\
         [tenants.milk]\nquota_per_s = 100\n[tenants.cream]\nquota_per_s = 12.5\n\
         [workers.a]\nstanding = \"cordoned\"\n[workers.b]\nstanding = \"drained\"\n[workers.c]\nstanding = \"never\"\n\
         [workers.d]\nstanding = \"pinned\"\ntenant = \"milk\"\n",
    )
}

/// Returns the rules that were proposed after the bootstrap.
fn proposed_document() -> RulesDocument {
    document(
        "schedulers = 4\nlist = 8\nattempts = 5\nretry_after_ms = [20, 1000]\n\
         [tenants.milk]\nquota_per_s = 50\n[tenants.cream]\nquota_per_s = 25\n\
         [workers.a]\nstanding = \"drained\"\n[workers.d]\nstanding = \"pinned\"\ntenant = \"cream\"\n",
    )
}

fn recorded_file(name: &str, id: u64) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/data/{name}-{id}.redb.gz"))
}

/// Decompresses a recorded file into a voter's data folder, and returns its path.
fn decompress(name: &str, id: u64, data_dir: &Path) -> PathBuf {
    let compressed = std::fs::File::open(recorded_file(name, id)).expect("a recorded file");
    let mut bytes = Vec::new();
    GzDecoder::new(compressed).read_to_end(&mut bytes).expect("valid gzip");
    std::fs::create_dir_all(data_dir).expect("a folder");
    let file = data_dir.join("rules.redb");
    std::fs::write(&file, bytes).expect("written");
    file
}

/// Starts a fleet with copies of the recorded data folders.
fn start_recorded(recording: &Recording) -> Fleet {
    let mut fleet = Fleet::empty(recording.name.to_owned());
    for id in VOTER_IDS {
        fleet.reserve_address(id);
        decompress(recording.name, id, &fleet.data_dir(id));
    }
    VOTER_IDS.into_iter().for_each(|id| fleet.start_voter(id));
    fleet
}

/// Waits until all three voters hold leases and no step is pending, and returns the status of the rollout.
async fn wait_for_settled_rollout(fleet: &Fleet) -> RolloutStatus {
    wait_for(|| async {
        for id in VOTER_IDS {
            let status = fleet.status(id).await.rollout;
            let is_settled =
                |status: &RolloutStatus| status.pending_steps == 0 && status.members.len() == VOTER_IDS.len();
            if let Some(status) = status.filter(is_settled) {
                return Some(status);
            }
        }
        None
    })
    .await
}

/// Waits until every voter holds a lease on rules with this quota for the tenant `milk`.
async fn wait_for_quota_on_all(fleet: &Fleet, quota: f64) {
    for voter in fleet.running_voters.values() {
        wait_for_quota(voter, quota).await;
    }
}

/// Starts a fleet with recorded data folders, compares its rules with the recorded ones, and commits another
/// proposal.
async fn assert_resumes_from(recording: &Recording) {
    let fleet = start_recorded(recording);
    let proposal = |number, document| Proposal { number, document };
    let mut recorded = vec![proposal(1, bootstrap_document()), proposal(2, proposed_document())];
    assert_eq!(fleet.history().await, recorded);
    wait_for_quota_on_all(&fleet, 50.0).await;
    let leader = wait_for_settled_rollout(&fleet).await;
    assert_eq!(
        (leader.active_version, leader.newest_proposal, leader.blocked_by),
        (recording.active, 2, None)
    );
    for id in VOTER_IDS {
        let status = fleet.status(id).await;
        assert_eq!((status.not_voting_reason, status.voter_id), (None, Some(id)));
    }
    assert_eq!(fleet.propose_over(2, document_with_quota(33)).await, 3);
    wait_for_quota_on_all(&fleet, 33.0).await;
    recorded.push(proposal(3, document_with_quota(33)));
    assert_eq!(fleet.history().await, recorded);
}

#[tokio::test]
async fn voters_resume_from_recorded_logs() {
    assert_resumes_from(&BOOTSTRAPPED).await;
}

#[tokio::test]
async fn voters_resume_from_recorded_snapshots() {
    assert_resumes_from(&SNAPSHOT).await;
}

/// The state machine as stored in a snapshot: postcard encodes a struct as its fields in order.
type StoredState = (Option<RolloutState>, Option<LogId<u64>>, StoredMembership<u64, EmptyNode>);

#[test]
fn recorded_snapshots_hold_the_rules_and_are_encoded_to_the_same_bytes() {
    for id in VOTER_IDS {
        let folder = tempfile::tempdir().expect("a folder");
        let file = decompress(SNAPSHOT.name, id, folder.path());
        let database = redb::Database::open(file).expect("a valid database");
        let transaction = database.begin_read().expect("a read transaction");
        let log = transaction.open_table(LOG_TABLE).expect("a log");
        let values = transaction.open_table(VALUES_TABLE).expect("values");
        let first = log.first().expect("a readable log").expect("entries").0.value();
        assert!(first > 300 && log.len().expect("a readable log") >= 100, "the log was purged up to {first}");

        let bytes = values.get("snapshot").expect("a readable table").expect("a snapshot").value().to_vec();
        let (meta, data): (SnapshotMeta<u64, EmptyNode>, Vec<u8>) =
            postcard::from_bytes(&bytes).expect("a snapshot");
        assert_eq!(postcard::to_stdvec(&(&meta, &data)).expect("encoded"), bytes);
        let state: StoredState = postcard::from_bytes(&data).expect("a state");
        assert_eq!(postcard::to_stdvec(&state).expect("encoded"), data);

        let (rollout, last, membership) = state;
        assert_eq!((last, &membership), (meta.last_log_id, &meta.last_membership));
        assert_eq!(membership.voter_ids().collect::<Vec<_>>(), VOTER_IDS);
        let rollout = rollout.expect("rules");
        assert_eq!(rollout.active().version, SNAPSHOT.active);
        let documents: Vec<_> =
            rollout.proposals().map(|proposal| (proposal.number, proposal.document.clone())).collect();
        assert_eq!(documents, [(1, bootstrap_document()), (2, proposed_document())]);
        assert_eq!(rollout.members().map(|(name, _)| name).collect::<Vec<_>>(), ["v1", "v2", "v3"]);
    }
}
