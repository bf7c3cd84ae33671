//! Several councils in one process, over real sockets: what they agree on, and what happens when one is killed, comes
//! back, loses its folder, or is somebody else's.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use nickelflow_control_plane::{
    prepare, start, Command, ControlPlane, ControlPlaneConfig, PeerError, PeerRequest, PeerResponse, Peers,
    Status, VoterConfig,
};
use nickelflow_rollout::{CommandError, LeaseConfig, RulesDocument, Version, WorkerState};

const FLEET: &str = "emmental";
/// Only so that a test that hangs ends.
const LONG: Duration = Duration::from_secs(30);
const LIMIT: Duration = Duration::from_secs(5);

fn terms() -> LeaseConfig {
    LeaseConfig::new(1_000_000_000, 200_000_000, 0.01).expect("sound terms")
}

fn document(text: &str) -> RulesDocument {
    RulesDocument::parse(text).expect("a sound document")
}

fn limit(quota: u32) -> RulesDocument {
    document(&format!("schedulers = 4\n[tenants.milk]\nquota_per_s = {quota}\n"))
}

/// A socket that keeps a port for its owner while nobody listens there.
fn reserve_port() -> tokio::net::TcpSocket {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an address that may be listened on");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    socket
}

/// A name that no other fleet has: tests run side by side, and must not understand each other's messages.
fn fleet_name() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    format!("{FLEET}-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed))
}

struct Fleet {
    name: String,
    folder: tempfile::TempDir,
    /// The voters' ports: without them another test's voter could listen where a killed one is still written to.
    ports: Vec<tokio::net::TcpSocket>,
    voters: BTreeMap<u64, String>,
    running: BTreeMap<u64, ControlPlane>,
}

impl Fleet {
    /// Three voters that are prepared and run; nothing is founded.
    fn begin() -> Fleet {
        let folder = tempfile::tempdir().expect("a folder");
        let (ports, voters, running) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        let mut fleet = Fleet { name: fleet_name(), folder, ports, voters, running };
        (1..=3).for_each(|id| fleet.prepare(id));
        (1..=3).for_each(|id| fleet.restart(id));
        fleet
    }

    /// A new voter's folder and port.
    fn prepare(&mut self, id: u64) {
        let port = reserve_port();
        self.voters.insert(id, port.local_addr().expect("an address").to_string());
        self.ports.push(port);
        prepare(&self.data(id), &self.name, id).expect("a new folder");
    }

    fn data(&self, id: u64) -> std::path::PathBuf {
        self.folder.path().join(id.to_string())
    }

    fn settings(&self, name: &str, voting: Option<VoterConfig>) -> ControlPlaneConfig {
        ControlPlaneConfig {
            fleet: self.name.clone(),
            name: name.to_owned(),
            voters: self.voters.clone(),
            voter: voting,
            lease: terms(),
            local_lease: terms(),
            build: "test".to_owned(),
        }
    }

    fn start(&mut self, id: u64, listener: TcpListener) {
        let settings = self.settings(&format!("v{id}"), Some(VoterConfig { id, data_dir: self.data(id) }));
        self.running.insert(id, start(settings, listener).expect("it starts"));
    }

    fn restart(&mut self, id: u64) {
        let listener = TcpListener::bind(&self.voters[&id]).expect("its own port again");
        self.start(id, listener);
    }

    fn holder(&self, name: &str) -> ControlPlane {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        start(self.settings(name, None), listener).expect("it starts")
    }

    async fn ask(&self, id: u64, call: &PeerRequest) -> PeerResponse {
        let peers = Peers::new(self.name.clone(), self.voters.clone());
        peers.ask(&self.voters[&id], call, LIMIT).await.expect("an answer")
    }

    /// Asks the voters in turn until one that leads has answered.
    async fn lead(&self, call: impl Fn() -> PeerRequest) -> PeerResponse {
        until(|| async {
            for id in self.running.keys() {
                match self.ask(*id, &call()).await {
                    PeerResponse::Error(PeerError::NotLeader(_) | PeerError::NoQuorum(_)) => {}
                    answer => return Some(answer),
                }
            }
            None
        })
        .await
    }

    async fn propose(&self, document: RulesDocument) -> u64 {
        let PeerResponse::History(kept) = self.lead(|| PeerRequest::History).await else {
            panic!("no history")
        };
        let base = kept.last().expect("founded").0;
        let call = || PeerRequest::Command(Command::Propose { base, document: document.clone() });
        match self.lead(call).await {
            PeerResponse::Applied(number) => number,
            other => panic!("{other:?}"),
        }
    }

    async fn status(&self, id: u64) -> Status {
        match self.ask(id, &PeerRequest::Status).await {
            PeerResponse::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    async fn leader(&self) -> u64 {
        until(|| async {
            for id in self.running.keys() {
                if self.status(*id).await.leader_status.is_some() {
                    return Some(*id);
                }
            }
            None
        })
        .await
    }
}

async fn until<T, F: Future<Output = Option<T>>>(mut look: impl FnMut() -> F) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(begun.elapsed() < LONG, "it never came");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until this one acts on a document's limit in full.
async fn acts(council: &ControlPlane, quota: f64) -> Version {
    let mut told = council.active_rules.clone();
    let settled = told.wait_for(|told| {
        told.as_ref().is_some_and(|told| {
            told.step.quotas.get("milk") == Some(&quota) && Instant::now() < told.lease_expiry
        })
    });
    let told = tokio::time::timeout(LONG, settled).await.expect("in time").expect("it runs");
    told.as_ref().expect("told").version
}

/// The same, and what the voters say of themselves where it never comes.
async fn acts_in(fleet: &Fleet, council: &ControlPlane, quota: f64) -> Version {
    let asked = tokio::time::timeout(LONG - LIMIT, acts(council, quota)).await;
    let Ok(version) = asked else {
        let mut all = Vec::new();
        for id in fleet.running.keys() {
            all.push(fleet.status(*id).await);
        }
        panic!("no limit of {quota} in time; the holder has {:?}; {all:#?}", *council.active_rules.borrow());
    };
    version
}

#[tokio::test]
async fn all_act_on_what_was_proposed_and_on_nothing_before_it_was_founded() {
    let fleet = Fleet::begin();
    let holder = fleet.holder("h");
    let refused = until(|| async {
        match fleet.ask(1, &PeerRequest::History).await {
            PeerResponse::Error(PeerError::NotLeader(None)) => Some(()),
            _ => None,
        }
    });
    refused.await;
    assert!(holder.active_rules.borrow().is_none());
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    assert!(matches!(
        fleet.lead(|| PeerRequest::Bootstrap(limit(1))).await,
        PeerResponse::Error(PeerError::AlreadyBootstrapped)
    ));
    let mut versions = vec![acts(&holder, 100.0).await];
    fleet.propose(limit(50)).await;
    for council in fleet.running.values().chain([&holder]) {
        versions.push(acts(council, 50.0).await);
    }
    assert!(versions[1] > versions[0], "{versions:?}");
    let back = fleet.lead(|| PeerRequest::Command(Command::RollBack { base: 2, to: 1 })).await;
    assert!(matches!(back, PeerResponse::Applied(3)), "{back:?}");
    acts(&holder, 100.0).await;
    // Somebody who has not seen the roll-back proposes too late.
    let late = fleet.lead(|| PeerRequest::Command(Command::Propose { base: 2, document: limit(7) })).await;
    assert!(matches!(late, PeerResponse::Error(PeerError::Rejected(CommandError::Conflict(3)))), "{late:?}");
}

#[tokio::test]
async fn a_killed_leader_is_followed_by_another_and_takes_its_own_log_up_again() {
    let mut fleet = Fleet::begin();
    let holder = fleet.holder("h");
    assert!(matches!(fleet.ask(2, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    acts_in(&fleet, &holder, 100.0).await;
    let killed = fleet.leader().await;
    fleet.running.remove(&killed).expect("it runs").shut_down();
    fleet.propose(limit(60)).await;
    acts_in(&fleet, &holder, 60.0).await;
    fleet.restart(killed);
    acts_in(&fleet, &fleet.running[&killed], 60.0).await;
    // Only with what it had on disk can it be one of a majority again.
    let other = *fleet.running.keys().find(|id| **id != killed && **id != 2).unwrap_or(&2);
    fleet.running.remove(&other).expect("it runs").shut_down();
    fleet.propose(limit(70)).await;
    acts_in(&fleet, &holder, 70.0).await;
}

#[tokio::test]
async fn one_that_leads_and_comes_back_at_once_grants_nothing_of_before() {
    let mut fleet = Fleet::begin();
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    for quota in 2..6 {
        fleet.propose(limit(quota)).await;
        acts(&fleet.running[&2], f64::from(quota)).await;
        // Sooner than anybody misses it.
        let leader = fleet.leader().await;
        fleet.running.remove(&leader).expect("it runs").shut_down();
        fleet.restart(leader);
        let mut told = fleet.running[&leader].active_rules.clone();
        let first = tokio::time::timeout(LONG, told.wait_for(Option::is_some)).await.expect("in time");
        let first = first.expect("it runs").clone().expect("told");
        assert_eq!(first.step.quotas["milk"], f64::from(quota));
    }
}

#[tokio::test]
async fn without_a_majority_leases_lapse_and_nothing_is_decided() {
    let mut fleet = Fleet::begin();
    let holder = fleet.holder("h");
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    acts(&holder, 100.0).await;
    for id in [1, 2] {
        fleet.running.remove(&id).expect("it runs").shut_down();
    }
    let told = holder.active_rules.clone();
    until(|| async {
        let lapsed = told.borrow().as_ref().is_some_and(|told| told.lease_expiry <= Instant::now());
        lapsed.then_some(())
    })
    .await;
    let base = 1;
    let call = PeerRequest::Command(Command::Propose { base, document: limit(5) });
    assert!(matches!(fleet.ask(3, &call).await, PeerResponse::Error(_)));
    fleet.restart(1);
    acts(&holder, 100.0).await;
}

#[tokio::test]
async fn a_name_that_another_process_takes_gives_its_first_one_no_lease_any_more() {
    let fleet = Fleet::begin();
    let first = fleet.holder("h");
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    acts(&first, 100.0).await;
    let second = fleet.holder("h");
    acts(&second, 100.0).await;
    fleet.propose(limit(50)).await;
    acts(&second, 50.0).await;
    let told = first.active_rules.borrow().clone().expect("told");
    assert_eq!(told.step.quotas["milk"], 100.0);
    let lapsed = until(|| async { (told.lease_expiry <= Instant::now()).then_some(()) });
    lapsed.await;
    assert_eq!(first.active_rules.borrow().as_ref().map(|now| now.lease_expiry), Some(told.lease_expiry));
}

#[tokio::test]
async fn an_ended_scheduler_gives_its_seat_up() {
    let fleet = Fleet::begin();
    let four = document("schedulers = 4\n");
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(four)).await, PeerResponse::Applied(1)));
    let told = |id: u64| fleet.running[&id].active_rules.borrow().is_some();
    until(|| async { (1..=3).all(told).then_some(()) }).await;
    let (fourth, fifth) = (fleet.holder("h4"), fleet.holder("h5"));
    let seated = |council: &ControlPlane| council.active_rules.borrow().is_some();
    let first_seated = until(|| async { (seated(&fourth) || seated(&fifth)).then(|| seated(&fourth)) }).await;
    let (sits, waits) = if first_seated { (fourth, fifth) } else { (fifth, fourth) };
    assert!(!seated(&waits), "five sit on four seats");
    tokio::task::spawn_blocking(|| sits.shut_down()).await.expect("it ends");
    until(|| async { seated(&waits).then_some(()) }).await;
}

#[tokio::test]
async fn a_voter_is_replaced_by_one_with_another_number() {
    let mut fleet = Fleet::begin();
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    acts(&fleet.running[&2], 100.0).await;
    // All must be able to reach it before it is one of them: here by starting again with its address.
    fleet.prepare(4);
    fleet.restart(4);
    for id in [1, 2, 3] {
        fleet.running.remove(&id).expect("it runs").shut_down();
        fleet.restart(id);
        acts(&fleet.running[&id], 100.0).await;
    }
    let changed = fleet.lead(|| PeerRequest::ChangeVoters([1, 2, 4].into())).await;
    assert!(matches!(changed, PeerResponse::Applied(_)), "{changed:?}");
    fleet.running.remove(&3).expect("it runs").shut_down();
    fleet.running.remove(&1).expect("it runs").shut_down();
    fleet.propose(limit(30)).await;
    acts(&fleet.running[&4], 30.0).await;
}

#[tokio::test]
async fn a_voter_without_its_folder_holds_leases_and_does_not_vote() {
    let mut fleet = Fleet::begin();
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    acts(&fleet.running[&3], 100.0).await;
    fleet.running.remove(&3).expect("it runs").shut_down();
    std::fs::remove_dir_all(fleet.data(3)).expect("it was there");
    fleet.restart(3);
    acts(&fleet.running[&3], 100.0).await;
    let why = fleet.status(3).await.not_voting_reason.expect("it does not vote");
    assert!(why.contains("replace it"), "{why}");
}

fn stamped_otherwise(path: &Path) -> String {
    let settings = ControlPlaneConfig {
        fleet: FLEET.to_owned(),
        name: "v1".to_owned(),
        voters: BTreeMap::new(),
        voter: Some(VoterConfig { id: 1, data_dir: path.to_owned() }),
        lease: terms(),
        local_lease: terms(),
        build: "test".to_owned(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let council = start(settings, listener).expect("it starts all the same");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let peers = Peers::new(FLEET.to_owned(), BTreeMap::new());
    let answer = runtime.block_on(peers.ask(&address, &PeerRequest::Status, LIMIT)).expect("an answer");
    council.shut_down();
    let PeerResponse::Status(status) = answer else { panic!("{answer:?}") };
    status.not_voting_reason.expect("it does not vote")
}

#[test]
fn a_folder_of_another_voter_or_fleet_or_one_that_cannot_be_read_is_not_voted_with() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, fleet, voter, told) in [("a", "gruyere", 1, "of fleet gruyere"), ("b", FLEET, 2, "voter 2")] {
        let path = folder.path().join(name);
        prepare(&path, fleet, voter).expect("a new folder");
        let why = stamped_otherwise(&path);
        assert!(why.contains(told), "{why}");
        let error = prepare(&path, FLEET, 1).expect_err("not over another's");
        assert!(error.to_string().contains("already"), "{error}");
    }
    let path = folder.path().join("c");
    std::fs::create_dir(&path).expect("a folder");
    std::fs::write(path.join("rules.redb"), b"not a database, whatever else it is").expect("written");
    assert!(!stamped_otherwise(&path).is_empty());
}

#[tokio::test]
async fn rubbish_and_others_messages_are_refused_and_do_no_harm() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = Fleet::begin();
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    acts(&fleet.running[&1], 100.0).await;
    let other = Peers::new("gruyere".to_owned(), BTreeMap::new());
    let why = other.ask(&fleet.voters[&1], &PeerRequest::Status, LIMIT).await.expect_err("another fleet's");
    let why = why.to_string();
    assert!(why.contains("another fleet"), "{why}");
    let head = format!("POST /rules HTTP/1.1\r\nhost: x\r\nnickelflow-fleet: {}\r\n", fleet.name);
    for (request, told) in [
        (format!("{head}nickelflow-format: 1\r\ncontent-length: 3\r\n\r\n\u{7f}\u{7f}\u{7f}"), "400"),
        (format!("{head}nickelflow-format: 1\r\ncontent-length: 99999999999\r\n\r\n"), "413"),
        (format!("{head}nickelflow-format: 9\r\ncontent-length: 0\r\n\r\n"), "426"),
        ("GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), "404"),
        ("\u{1}\u{2}\u{3}\r\n\r\n".to_owned(), "400"),
    ] {
        let mut socket = tokio::net::TcpStream::connect(&fleet.voters[&1]).await.expect("it listens");
        socket.write_all(request.as_bytes()).await.expect("written");
        let mut answer = vec![0; 12];
        let read = tokio::time::timeout(LONG, socket.read_exact(&mut answer)).await.expect("in time");
        read.expect("an answer");
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(answer.ends_with(told), "{answer} instead of {told} to {request}");
    }
    let long = PeerRequest::Command(Command::Propose {
        base: 1,
        document: RulesDocument {
            quotas: (0..200_000).map(|n| (format!("a tenant with a rather long name {n}"), 1.0)).collect(),
            ..RulesDocument::default()
        },
    });
    let refused = fleet.lead(|| match &long {
        PeerRequest::Command(command) => PeerRequest::Command(command.clone()),
        _ => PeerRequest::Status,
    });
    assert!(matches!(refused.await, PeerResponse::Error(PeerError::DocumentTooLarge)));
    fleet.propose(limit(50)).await;
    acts(&fleet.running[&1], 50.0).await;
}

#[tokio::test]
async fn one_with_other_terms_gets_no_lease() {
    let fleet = Fleet::begin();
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    let longer = LeaseConfig::new(5_000_000_000, 200_000_000, 0.01).expect("sound terms");
    let settings = ControlPlaneConfig { lease: longer, local_lease: longer, ..fleet.settings("h", None) };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let other = start(settings, listener).expect("it starts");
    let holder = fleet.holder("g");
    acts(&holder, 100.0).await;
    fleet.propose(limit(50)).await;
    acts(&holder, 50.0).await;
    assert!(other.active_rules.borrow().is_none());
}

#[tokio::test]
async fn a_hundred_changes_at_once_become_few_steps_and_the_last_one_holds() {
    let fleet = Fleet::begin();
    let holder = fleet.holder("h");
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(1_000))).await, PeerResponse::Applied(1)));
    let first = acts(&holder, 1_000.0).await;
    for quota in 1..=100 {
        fleet.propose(limit(quota)).await;
    }
    let last = acts(&holder, 100.0).await;
    // Each has three steps at the most, and none waits in a queue.
    assert!(last.number - first.number <= 300, "{first} to {last}");
    let leader = fleet.leader().await;
    let lead =
        until(|| async { fleet.status(leader).await.leader_status.filter(|lead| lead.pending_steps == 0) })
            .await;
    assert_eq!(lead.newest, 101);
}

#[tokio::test]
async fn a_document_of_ten_thousand_workers_reaches_all() {
    let fleet = Fleet::begin();
    let holder = fleet.holder("h");
    assert!(matches!(fleet.ask(1, &PeerRequest::Bootstrap(limit(100))).await, PeerResponse::Applied(1)));
    acts(&holder, 100.0).await;
    let mut large = limit(50);
    for n in 0..10_000 {
        large.workers.insert(format!("worker-with-a-name-{n}"), WorkerState::Cordoned);
    }
    fleet.propose(large).await;
    for council in fleet.running.values().chain([&holder]) {
        acts(council, 50.0).await;
        let told = council.active_rules.borrow().clone().expect("told");
        assert_eq!(told.step.worker_access.len(), 10_000);
    }
}
