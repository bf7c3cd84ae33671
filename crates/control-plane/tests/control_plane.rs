//! Tests of a fleet of schedulers that run in one process and use real sockets: agreement on rules, and the
//! behaviour when a scheduler is stopped, restarts, loses its data folder or belongs to another fleet.

mod common;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::Path;
use std::time::Instant;

use common::{
    document, document_with_quota, lease_config, wait_for, wait_for_quota, Fleet, REQUEST_TIMEOUT,
    TEST_TIMEOUT,
};
use nickelflow_control_plane::{
    prepare_data_dir, start, Command, ControlPlane, ControlPlaneConfig, PeerClient, PeerError, PeerRequest,
    PeerResponse, VoterConfig,
};
use nickelflow_rollout::{CommandError, LeaseConfig, RulesDocument, WorkerState};

const FLEET: &str = "test-fleet";

#[tokio::test]
async fn schedulers_get_no_rules_before_the_bootstrap_and_each_proposal_after_it() {
    let fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    wait_for(|| async {
        match fleet.send(1, &PeerRequest::History).await {
            PeerResponse::Error(PeerError::NotLeader(None)) => Some(()),
            _ => None,
        }
    })
    .await;
    assert!(scheduler.active_rules.borrow().is_none());
    fleet.bootstrap(1, document_with_quota(100)).await;
    assert!(matches!(
        fleet.send_to_leader(&PeerRequest::Bootstrap(document_with_quota(1))).await,
        PeerResponse::Error(PeerError::AlreadyBootstrapped)
    ));
    let mut versions = vec![wait_for_quota(&scheduler, 100.0).await];
    fleet.propose(document_with_quota(50)).await;
    for scheduler in fleet.running_voters.values().chain([&scheduler]) {
        versions.push(wait_for_quota(scheduler, 50.0).await);
    }
    assert!(versions[1] > versions[0], "{versions:?}");
    let rolled_back = fleet.send_to_leader(&PeerRequest::Command(Command::RollBack { base: 2, to: 1 })).await;
    assert!(matches!(rolled_back, PeerResponse::Applied(3)), "{rolled_back:?}");
    wait_for_quota(&scheduler, 100.0).await;
    // A proposal whose base is older than the roll-back is rejected.
    let outdated = PeerRequest::Command(Command::Propose { base: 2, document: document_with_quota(7) });
    let rejected = fleet.send_to_leader(&outdated).await;
    assert!(
        matches!(rejected, PeerResponse::Error(PeerError::Rejected(CommandError::Conflict(3)))),
        "{rejected:?}"
    );
}

#[tokio::test]
async fn another_voter_leads_after_the_leader_stops_and_the_restarted_leader_recovers_its_log() {
    let mut fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    fleet.bootstrap(2, document_with_quota(100)).await;
    fleet.wait_for_quota(&scheduler, 100.0).await;
    let stopped = fleet.wait_for_leader().await;
    fleet.stop_voter(stopped);
    fleet.propose(document_with_quota(60)).await;
    fleet.wait_for_quota(&scheduler, 60.0).await;
    fleet.start_voter(stopped);
    fleet.wait_for_quota(&fleet.running_voters[&stopped], 60.0).await;
    // The restarted voter can complete the quorum only if it has recovered its log from disk.
    let other = *fleet.running_voters.keys().find(|id| **id != stopped && **id != 2).unwrap_or(&2);
    fleet.stop_voter(other);
    fleet.propose(document_with_quota(70)).await;
    fleet.wait_for_quota(&scheduler, 70.0).await;
}

#[tokio::test]
async fn a_leader_that_restarts_before_an_election_grants_no_earlier_version() {
    let mut fleet = Fleet::start_bootstrapped(document_with_quota(100)).await;
    for quota in 2..6 {
        fleet.propose(document_with_quota(quota)).await;
        wait_for_quota(&fleet.running_voters[&2], f64::from(quota)).await;
        // The restart takes less time than the other voters' election timeouts.
        let leader = fleet.wait_for_leader().await;
        fleet.stop_voter(leader);
        fleet.start_voter(leader);
        let mut active_rules = fleet.running_voters[&leader].active_rules.clone();
        let first = active_rules.wait_for(Option::is_some);
        let first = tokio::time::timeout(TEST_TIMEOUT, first).await.expect("in time");
        let first = first.expect("a running scheduler").clone().expect("rules");
        assert_eq!(first.step.quotas["milk"], f64::from(quota));
    }
}

#[tokio::test]
async fn leases_expire_and_nothing_is_committed_without_a_quorum() {
    let mut fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    fleet.bootstrap(1, document_with_quota(100)).await;
    wait_for_quota(&scheduler, 100.0).await;
    for id in [1, 2] {
        fleet.stop_voter(id);
    }
    let active_rules = scheduler.active_rules.clone();
    wait_for(|| async {
        let lapsed = active_rules.borrow().as_ref().is_some_and(|rules| rules.lease_expiry <= Instant::now());
        lapsed.then_some(())
    })
    .await;
    let request = PeerRequest::Command(Command::Propose { base: 1, document: document_with_quota(5) });
    assert!(matches!(fleet.send(3, &request).await, PeerResponse::Error(_)));
    fleet.start_voter(1);
    wait_for_quota(&scheduler, 100.0).await;
}

#[tokio::test]
async fn a_process_gets_no_lease_after_another_process_takes_its_name() {
    let fleet = Fleet::start();
    let first = fleet.start_scheduler("h");
    fleet.bootstrap(1, document_with_quota(100)).await;
    wait_for_quota(&first, 100.0).await;
    let second = fleet.start_scheduler("h");
    wait_for_quota(&second, 100.0).await;
    fleet.propose(document_with_quota(50)).await;
    wait_for_quota(&second, 50.0).await;
    let last = first.active_rules.borrow().clone().expect("rules");
    assert_eq!(last.step.quotas["milk"], 100.0);
    wait_for(|| async { (last.lease_expiry <= Instant::now()).then_some(()) }).await;
    assert_eq!(first.active_rules.borrow().as_ref().map(|now| now.lease_expiry), Some(last.lease_expiry));
}

#[tokio::test]
async fn a_scheduler_that_shuts_down_leaves_the_membership() {
    let fleet = Fleet::start_bootstrapped(document("schedulers = 4\n")).await;
    let has_rules = |scheduler: &ControlPlane| scheduler.active_rules.borrow().is_some();
    wait_for(|| async { fleet.running_voters.values().all(has_rules).then_some(()) }).await;
    let (fourth, fifth) = (fleet.start_scheduler("h4"), fleet.start_scheduler("h5"));
    let fourth_is_member =
        wait_for(|| async { (has_rules(&fourth) || has_rules(&fifth)).then(|| has_rules(&fourth)) }).await;
    let (member, waiting) = if fourth_is_member { (fourth, fifth) } else { (fifth, fourth) };
    assert!(!has_rules(&waiting), "five members, but the limit is four");
    tokio::task::spawn_blocking(|| member.shut_down()).await.expect("a completed shutdown");
    wait_for(|| async { has_rules(&waiting).then_some(()) }).await;
}

#[tokio::test]
async fn a_voter_can_be_replaced_by_one_with_another_id() {
    let mut fleet = Fleet::start_bootstrapped(document_with_quota(100)).await;
    wait_for_quota(&fleet.running_voters[&2], 100.0).await;
    // The other voters learn the new voter's address by restarting, before the new voter joins.
    fleet.prepare_voter(4);
    fleet.start_voter(4);
    for id in [1, 2, 3] {
        fleet.stop_voter(id);
        fleet.start_voter(id);
        wait_for_quota(&fleet.running_voters[&id], 100.0).await;
    }
    let changed = fleet.send_to_leader(&PeerRequest::ChangeVoters([1, 2, 4].into())).await;
    assert!(matches!(changed, PeerResponse::Applied(_)), "{changed:?}");
    fleet.stop_voter(3);
    fleet.stop_voter(1);
    fleet.propose(document_with_quota(30)).await;
    wait_for_quota(&fleet.running_voters[&4], 30.0).await;
}

#[tokio::test]
async fn a_voter_without_its_data_folder_holds_leases_and_does_not_vote() {
    let mut fleet = Fleet::start_bootstrapped(document_with_quota(100)).await;
    wait_for_quota(&fleet.running_voters[&3], 100.0).await;
    fleet.stop_voter(3);
    std::fs::remove_dir_all(fleet.data_dir(3)).expect("an existing data folder");
    fleet.start_voter(3);
    wait_for_quota(&fleet.running_voters[&3], 100.0).await;
    let why = fleet.status(3).await.not_voting_reason.expect("a reason for not voting");
    assert!(why.contains("replace it"), "{why}");
}

/// Starts voter 1 of [`FLEET`] with a data folder, and returns its reason for not voting.
fn not_voting_reason(data_dir: &Path) -> String {
    let config = ControlPlaneConfig {
        fleet: FLEET.to_owned(),
        name: "v1".to_owned(),
        voters: BTreeMap::new(),
        voter: Some(VoterConfig { id: 1, data_dir: data_dir.to_owned() }),
        lease: lease_config(),
        local_lease: lease_config(),
        program_version: "test".to_owned(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let scheduler = start(config, listener).expect("a started control plane");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let peers = PeerClient::new(FLEET.to_owned(), BTreeMap::new());
    let response = runtime.block_on(peers.send(&address, &PeerRequest::Status, REQUEST_TIMEOUT));
    scheduler.shut_down();
    let response = response.expect("a response");
    let PeerResponse::Status(status) = response else { panic!("{response:?}") };
    status.not_voting_reason.expect("a reason for not voting")
}

#[test]
fn a_voter_does_not_vote_with_a_data_folder_that_is_damaged_or_belongs_to_another_voter_or_fleet() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, fleet, voter, expected) in
        [("a", "other-fleet", 1, "of fleet other-fleet"), ("b", FLEET, 2, "voter 2")]
    {
        let path = folder.path().join(name);
        prepare_data_dir(&path, fleet, voter).expect("a new folder");
        let why = not_voting_reason(&path);
        assert!(why.contains(expected), "{why}");
        let error = prepare_data_dir(&path, FLEET, 1).expect_err("no second preparation").to_string();
        assert!(error.contains("already"), "{error}");
    }
    let path = folder.path().join("c");
    std::fs::create_dir(&path).expect("a folder");
    std::fs::write(path.join("rules.redb"), b"not a database").expect("written");
    assert!(!not_voting_reason(&path).is_empty());
}

#[tokio::test]
async fn malformed_requests_and_requests_of_other_fleets_are_rejected() {
    let fleet = Fleet::start_bootstrapped(document_with_quota(100)).await;
    wait_for_quota(&fleet.running_voters[&1], 100.0).await;
    let other_fleet_client = PeerClient::new("other-fleet".to_owned(), BTreeMap::new());
    let error = other_fleet_client.send(&fleet.addresses[&1], &PeerRequest::Status, REQUEST_TIMEOUT).await;
    let why = error.expect_err("a rejection").to_string();
    assert!(why.contains("another fleet"), "{why}");
    let head = format!("POST /rules HTTP/1.1\r\nhost: x\r\nnickelflow-fleet: {}\r\n", fleet.name);
    for (request, status) in [
        (format!("{head}nickelflow-format: 1\r\ncontent-length: 3\r\n\r\n\u{7f}\u{7f}\u{7f}"), "400"),
        (format!("{head}nickelflow-format: 1\r\ncontent-length: 99999999999\r\n\r\n"), "413"),
        (format!("{head}nickelflow-format: 9\r\ncontent-length: 0\r\n\r\n"), "426"),
        ("GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), "404"),
        ("\u{1}\u{2}\u{3}\r\n\r\n".to_owned(), "400"),
    ] {
        let status_line = raw_exchange(&fleet.addresses[&1], &request).await;
        assert!(status_line.ends_with(status), "{status_line} instead of {status} for {request}");
    }
    let quotas = (0..200_000).map(|n| (format!("a tenant with a rather long name {n}"), 1.0)).collect();
    let large = RulesDocument { quotas, ..RulesDocument::default() };
    let request = PeerRequest::Command(Command::Propose { base: 1, document: large });
    let rejected = fleet.send_to_leader(&request).await;
    assert!(matches!(rejected, PeerResponse::Error(PeerError::DocumentTooLarge)));
    fleet.propose(document_with_quota(50)).await;
    wait_for_quota(&fleet.running_voters[&1], 50.0).await;
}

/// Writes a request to a connection, and returns the first 12 bytes of the response, which end with the
/// status code.
async fn raw_exchange(address: &str, request: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut socket = tokio::net::TcpStream::connect(address).await.expect("a listening socket");
    socket.write_all(request.as_bytes()).await.expect("written");
    let mut response = vec![0; 12];
    let read = tokio::time::timeout(TEST_TIMEOUT, socket.read_exact(&mut response))
        .await
        .expect("a response in time");
    read.expect("a response");
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test]
async fn a_scheduler_with_another_lease_duration_gets_no_lease() {
    let fleet = Fleet::start_bootstrapped(document_with_quota(100)).await;
    let longer = LeaseConfig::new(5_000_000_000, 200_000_000, 0.01).expect("valid lease timing");
    let config = ControlPlaneConfig { lease: longer, local_lease: longer, ..fleet.config("h", None) };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let other = start(config, listener).expect("a started control plane");
    let scheduler = fleet.start_scheduler("g");
    wait_for_quota(&scheduler, 100.0).await;
    fleet.propose(document_with_quota(50)).await;
    wait_for_quota(&scheduler, 50.0).await;
    assert!(other.active_rules.borrow().is_none());
}

#[tokio::test]
async fn a_hundred_successive_proposals_take_few_steps_and_the_last_one_wins() {
    let fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    fleet.bootstrap(1, document_with_quota(1_000)).await;
    let first = wait_for_quota(&scheduler, 1_000.0).await;
    for quota in 1..=100 {
        fleet.propose(document_with_quota(quota)).await;
    }
    let last = wait_for_quota(&scheduler, 100.0).await;
    // Each proposal has three steps at most, and the steps of superseded proposals are not queued.
    assert!(last.number - first.number <= 300, "{first} to {last}");
    let leader = fleet.wait_for_leader().await;
    let status =
        wait_for(|| async { fleet.status(leader).await.rollout.filter(|status| status.pending_steps == 0) })
            .await;
    assert_eq!(status.newest_proposal, 101);
}

#[tokio::test]
async fn a_document_of_ten_thousand_workers_reaches_all_schedulers() {
    let fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    fleet.bootstrap(1, document_with_quota(100)).await;
    wait_for_quota(&scheduler, 100.0).await;
    let mut large = document_with_quota(50);
    for n in 0..10_000 {
        large.workers.insert(format!("worker-with-a-name-{n}"), WorkerState::Cordoned);
    }
    fleet.propose(large).await;
    for scheduler in fleet.running_voters.values().chain([&scheduler]) {
        wait_for_quota(scheduler, 50.0).await;
        let rules = scheduler.active_rules.borrow().clone().expect("rules");
        assert_eq!(rules.step.worker_access.len(), 10_000);
    }
}
