//! Several schedulers in one process, over real sockets: what they agree on, and what happens when one is
//! killed, comes back, loses its data folder, or belongs to another fleet.

mod common;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::Path;
use std::time::Instant;

use common::{
    acts_on_milk_quota, document, lease_config, milk_quota, until, Fleet, REQUEST_TIMEOUT, TEST_TIMEOUT,
};
use nickelflow_control_plane::{
    prepare_data_dir, start, Command, ControlPlane, ControlPlaneConfig, PeerClient, PeerError, PeerRequest,
    PeerResponse, VoterConfig,
};
use nickelflow_rollout::{CommandError, LeaseConfig, RulesDocument, WorkerState};

const FLEET: &str = "emmental";

#[tokio::test]
async fn proposals_reach_all_schedulers_and_none_acts_before_the_bootstrap() {
    let fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    until(|| async {
        match fleet.ask(1, &PeerRequest::History).await {
            PeerResponse::Error(PeerError::NotLeader(None)) => Some(()),
            _ => None,
        }
    })
    .await;
    assert!(scheduler.active_rules.borrow().is_none());
    fleet.bootstrap(1, milk_quota(100)).await;
    assert!(matches!(
        fleet.ask_leader(&PeerRequest::Bootstrap(milk_quota(1))).await,
        PeerResponse::Error(PeerError::AlreadyBootstrapped)
    ));
    let mut versions = vec![acts_on_milk_quota(&scheduler, 100.0).await];
    fleet.propose(milk_quota(50)).await;
    for scheduler in fleet.running.values().chain([&scheduler]) {
        versions.push(acts_on_milk_quota(scheduler, 50.0).await);
    }
    assert!(versions[1] > versions[0], "{versions:?}");
    let rolled_back = fleet.ask_leader(&PeerRequest::Command(Command::RollBack { base: 2, to: 1 })).await;
    assert!(matches!(rolled_back, PeerResponse::Applied(3)), "{rolled_back:?}");
    acts_on_milk_quota(&scheduler, 100.0).await;
    // An operator who has not seen the roll-back proposes too late.
    let late = PeerRequest::Command(Command::Propose { base: 2, document: milk_quota(7) });
    let late = fleet.ask_leader(&late).await;
    assert!(matches!(late, PeerResponse::Error(PeerError::Rejected(CommandError::Conflict(3)))), "{late:?}");
}

#[tokio::test]
async fn another_voter_leads_after_a_killed_leader_which_recovers_its_log() {
    let mut fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    fleet.bootstrap(2, milk_quota(100)).await;
    fleet.acts_on_milk_quota(&scheduler, 100.0).await;
    let killed = fleet.leader().await;
    fleet.stop_voter(killed);
    fleet.propose(milk_quota(60)).await;
    fleet.acts_on_milk_quota(&scheduler, 60.0).await;
    fleet.start_voter(killed);
    fleet.acts_on_milk_quota(&fleet.running[&killed], 60.0).await;
    // Only with what it had on disk can it be one of a quorum again.
    let other = *fleet.running.keys().find(|id| **id != killed && **id != 2).unwrap_or(&2);
    fleet.stop_voter(other);
    fleet.propose(milk_quota(70)).await;
    fleet.acts_on_milk_quota(&scheduler, 70.0).await;
}

#[tokio::test]
async fn a_leader_restarted_at_once_grants_no_earlier_version() {
    let mut fleet = Fleet::bootstrapped(milk_quota(100)).await;
    for quota in 2..6 {
        fleet.propose(milk_quota(quota)).await;
        acts_on_milk_quota(&fleet.running[&2], f64::from(quota)).await;
        // Before its election timeout is over at the others.
        let leader = fleet.leader().await;
        fleet.stop_voter(leader);
        fleet.start_voter(leader);
        let mut active_rules = fleet.running[&leader].active_rules.clone();
        let first = active_rules.wait_for(Option::is_some);
        let first = tokio::time::timeout(TEST_TIMEOUT, first).await.expect("in time");
        let first = first.expect("it runs").clone().expect("rules");
        assert_eq!(first.step.quotas["milk"], f64::from(quota));
    }
}

#[tokio::test]
async fn without_a_quorum_leases_lapse_and_nothing_is_committed() {
    let mut fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    fleet.bootstrap(1, milk_quota(100)).await;
    acts_on_milk_quota(&scheduler, 100.0).await;
    for id in [1, 2] {
        fleet.stop_voter(id);
    }
    let active_rules = scheduler.active_rules.clone();
    until(|| async {
        let lapsed = active_rules.borrow().as_ref().is_some_and(|rules| rules.lease_expiry <= Instant::now());
        lapsed.then_some(())
    })
    .await;
    let request = PeerRequest::Command(Command::Propose { base: 1, document: milk_quota(5) });
    assert!(matches!(fleet.ask(3, &request).await, PeerResponse::Error(_)));
    fleet.start_voter(1);
    acts_on_milk_quota(&scheduler, 100.0).await;
}

#[tokio::test]
async fn a_process_whose_name_another_takes_gets_no_lease_any_more() {
    let fleet = Fleet::start();
    let first = fleet.start_scheduler("h");
    fleet.bootstrap(1, milk_quota(100)).await;
    acts_on_milk_quota(&first, 100.0).await;
    let second = fleet.start_scheduler("h");
    acts_on_milk_quota(&second, 100.0).await;
    fleet.propose(milk_quota(50)).await;
    acts_on_milk_quota(&second, 50.0).await;
    let last = first.active_rules.borrow().clone().expect("rules");
    assert_eq!(last.step.quotas["milk"], 100.0);
    until(|| async { (last.lease_expiry <= Instant::now()).then_some(()) }).await;
    assert_eq!(first.active_rules.borrow().as_ref().map(|now| now.lease_expiry), Some(last.lease_expiry));
}

#[tokio::test]
async fn a_scheduler_that_shuts_down_leaves_the_membership() {
    let fleet = Fleet::bootstrapped(document("schedulers = 4\n")).await;
    let has_rules = |scheduler: &ControlPlane| scheduler.active_rules.borrow().is_some();
    until(|| async { fleet.running.values().all(has_rules).then_some(()) }).await;
    let (fourth, fifth) = (fleet.start_scheduler("h4"), fleet.start_scheduler("h5"));
    let fourth_is_member =
        until(|| async { (has_rules(&fourth) || has_rules(&fifth)).then(|| has_rules(&fourth)) }).await;
    let (member, waiting) = if fourth_is_member { (fourth, fifth) } else { (fifth, fourth) };
    assert!(!has_rules(&waiting), "five members where four are allowed");
    tokio::task::spawn_blocking(|| member.shut_down()).await.expect("it ends");
    until(|| async { has_rules(&waiting).then_some(()) }).await;
}

#[tokio::test]
async fn a_voter_can_be_replaced_by_one_with_another_number() {
    let mut fleet = Fleet::bootstrapped(milk_quota(100)).await;
    acts_on_milk_quota(&fleet.running[&2], 100.0).await;
    // All must be able to reach it before it is one of them: here by starting again with its address.
    fleet.prepare_voter(4);
    fleet.start_voter(4);
    for id in [1, 2, 3] {
        fleet.stop_voter(id);
        fleet.start_voter(id);
        acts_on_milk_quota(&fleet.running[&id], 100.0).await;
    }
    let changed = fleet.ask_leader(&PeerRequest::ChangeVoters([1, 2, 4].into())).await;
    assert!(matches!(changed, PeerResponse::Applied(_)), "{changed:?}");
    fleet.stop_voter(3);
    fleet.stop_voter(1);
    fleet.propose(milk_quota(30)).await;
    acts_on_milk_quota(&fleet.running[&4], 30.0).await;
}

#[tokio::test]
async fn a_voter_without_its_data_folder_holds_leases_and_does_not_vote() {
    let mut fleet = Fleet::bootstrapped(milk_quota(100)).await;
    acts_on_milk_quota(&fleet.running[&3], 100.0).await;
    fleet.stop_voter(3);
    std::fs::remove_dir_all(fleet.data_dir(3)).expect("it was there");
    fleet.start_voter(3);
    acts_on_milk_quota(&fleet.running[&3], 100.0).await;
    let why = fleet.status(3).await.not_voting_reason.expect("it does not vote");
    assert!(why.contains("replace it"), "{why}");
}

/// Starts voter 1 of [`FLEET`] on a data folder, and returns why it does not vote.
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
    let scheduler = start(config, listener).expect("it starts all the same");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let peers = PeerClient::new(FLEET.to_owned(), BTreeMap::new());
    let response = runtime.block_on(peers.send(&address, &PeerRequest::Status, REQUEST_TIMEOUT));
    scheduler.shut_down();
    let response = response.expect("an answer");
    let PeerResponse::Status(status) = response else { panic!("{response:?}") };
    status.not_voting_reason.expect("it does not vote")
}

#[test]
fn a_voter_does_not_vote_with_the_folder_of_another_voter_or_fleet_or_a_damaged_one() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, fleet, voter, expected) in
        [("a", "gruyere", 1, "of fleet gruyere"), ("b", FLEET, 2, "voter 2")]
    {
        let path = folder.path().join(name);
        prepare_data_dir(&path, fleet, voter).expect("a new folder");
        let why = not_voting_reason(&path);
        assert!(why.contains(expected), "{why}");
        let error = prepare_data_dir(&path, FLEET, 1).expect_err("not over another's").to_string();
        assert!(error.contains("already"), "{error}");
    }
    let path = folder.path().join("c");
    std::fs::create_dir(&path).expect("a folder");
    std::fs::write(path.join("rules.redb"), b"not a database, whatever else it is").expect("written");
    assert!(!not_voting_reason(&path).is_empty());
}

#[tokio::test]
async fn malformed_and_foreign_requests_are_rejected_without_harm() {
    let fleet = Fleet::bootstrapped(milk_quota(100)).await;
    acts_on_milk_quota(&fleet.running[&1], 100.0).await;
    let other = PeerClient::new("gruyere".to_owned(), BTreeMap::new());
    let error = other.send(&fleet.addresses[&1], &PeerRequest::Status, REQUEST_TIMEOUT).await;
    let why = error.expect_err("another fleet's").to_string();
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
        assert!(status_line.ends_with(status), "{status_line} instead of {status} to {request}");
    }
    let quotas = (0..200_000).map(|n| (format!("a tenant with a rather long name {n}"), 1.0)).collect();
    let large = RulesDocument { quotas, ..RulesDocument::default() };
    let request = PeerRequest::Command(Command::Propose { base: 1, document: large });
    let rejected = fleet.ask_leader(&request).await;
    assert!(matches!(rejected, PeerResponse::Error(PeerError::DocumentTooLarge)));
    fleet.propose(milk_quota(50)).await;
    acts_on_milk_quota(&fleet.running[&1], 50.0).await;
}

/// Writes bytes to a connection, and returns the first 12 of the answer, which end with the status.
async fn raw_exchange(address: &str, request: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut socket = tokio::net::TcpStream::connect(address).await.expect("it listens");
    socket.write_all(request.as_bytes()).await.expect("written");
    let mut answer = vec![0; 12];
    let read = tokio::time::timeout(TEST_TIMEOUT, socket.read_exact(&mut answer)).await.expect("in time");
    read.expect("an answer");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn a_scheduler_with_another_lease_duration_gets_no_lease() {
    let fleet = Fleet::bootstrapped(milk_quota(100)).await;
    let longer = LeaseConfig::new(5_000_000_000, 200_000_000, 0.01).expect("sound times");
    let config = ControlPlaneConfig { lease: longer, local_lease: longer, ..fleet.config("h", None) };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let other = start(config, listener).expect("it starts");
    let scheduler = fleet.start_scheduler("g");
    acts_on_milk_quota(&scheduler, 100.0).await;
    fleet.propose(milk_quota(50)).await;
    acts_on_milk_quota(&scheduler, 50.0).await;
    assert!(other.active_rules.borrow().is_none());
}

#[tokio::test]
async fn a_hundred_proposals_at_once_take_few_steps_and_the_last_one_wins() {
    let fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    fleet.bootstrap(1, milk_quota(1_000)).await;
    let first = acts_on_milk_quota(&scheduler, 1_000.0).await;
    for quota in 1..=100 {
        fleet.propose(milk_quota(quota)).await;
    }
    let last = acts_on_milk_quota(&scheduler, 100.0).await;
    // Each has three steps at the most, and none waits in a queue.
    assert!(last.number - first.number <= 300, "{first} to {last}");
    let leader = fleet.leader().await;
    let status =
        until(|| async { fleet.status(leader).await.rollout.filter(|status| status.pending_steps == 0) })
            .await;
    assert_eq!(status.newest_proposal, 101);
}

#[tokio::test]
async fn a_document_of_ten_thousand_workers_reaches_all_schedulers() {
    let fleet = Fleet::start();
    let scheduler = fleet.start_scheduler("h");
    fleet.bootstrap(1, milk_quota(100)).await;
    acts_on_milk_quota(&scheduler, 100.0).await;
    let mut large = milk_quota(50);
    for n in 0..10_000 {
        large.workers.insert(format!("worker-with-a-name-{n}"), WorkerState::Cordoned);
    }
    fleet.propose(large).await;
    for scheduler in fleet.running.values().chain([&scheduler]) {
        acts_on_milk_quota(scheduler, 50.0).await;
        let rules = scheduler.active_rules.borrow().clone().expect("rules");
        assert_eq!(rules.step.worker_access.len(), 10_000);
    }
}
