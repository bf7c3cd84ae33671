//! One process: its thread, its listener, and what it answers to whom.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use nickelflow_rollout::LeaseConfig;
use openraft::error::{ClientWriteError, RaftError};
use openraft::{Config, EmptyNode, SnapshotPolicy};
use tokio::sync::{oneshot, watch, Semaphore};
use tracing::{info, warn};

use crate::chamber::{small, Chamber};
use crate::holding::Holding;
use crate::messages::{Command, PeerError, PeerRequest, PeerResponse, Status};
use crate::messages::{ALL_ELSE, BETWEEN_VOTERS, FORMAT, MAX_MESSAGE_BYTES};
use crate::peers::{Address, Peers, FLEET, FORMAT_HEADER};
use crate::raft::Raft;
use crate::state::State;
use crate::store::{NotOpened, Store};
use crate::{ActiveRules, Clock};

/// Connections from others at a time; more wait in the listener.
const CONNECTIONS: usize = 1_024;
/// Bodies of each kind that are read or answered at a time: each may be large.
const MESSAGES: usize = 64;
/// For a request's head, its body, and its answer. Slower ones are cut off.
const HEAD: Duration = Duration::from_secs(5);
const BODY: Duration = Duration::from_secs(10);
/// How long an ending process tries to give up its seat: as long as a majority is waited for, for a seat that stays taken
/// holds up every lower limit. Whoever may not wait kills it, and the seat stays as after any other kill.
const LEAVING: Duration = Duration::from_secs(2);
/// How long one voter is given to write the leave down before it, or another, is asked again.
const LEAVE_ATTEMPT: Duration = Duration::from_millis(500);
/// How long the parts of an ending process are given to stop.
const STOPPING: Duration = Duration::from_millis(500);

/// What a process is told of its fleet.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    pub fleet: String,
    /// Its own name, by which it has a seat.
    pub name: String,
    /// All voters by number, where this process reaches them.
    pub voters: BTreeMap<u64, Address>,
    pub voter: Option<VoterConfig>,
    pub lease: LeaseConfig,
    /// How this process takes its own leases to hold: the same but in drills, which show that it must be.
    pub local_lease: LeaseConfig,
    pub build: String,
}

/// A voter's own.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    pub id: u64,
    pub data_dir: PathBuf,
}

/// A running process's part in the agreement.
pub struct ControlPlane {
    /// What it may act on; `None` before its first lease.
    pub active_rules: watch::Receiver<Option<ActiveRules>>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ControlPlane {
    /// Gives the seat up and ends. To be called when nothing is sent any more. Blocks for three seconds at most, which it
    /// takes where no majority answers.
    pub fn shut_down(mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Begins, on a thread of its own, and answers others on this listener.
pub fn start(settings: ControlPlaneConfig, listener: TcpListener) -> Result<ControlPlane, String> {
    listener.set_nonblocking(true).map_err(|e| format!("listener: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let (end, ended) = oneshot::channel::<()>();
    let (tell, told) = std::sync::mpsc::channel();
    let work = move || {
        runtime.block_on(async {
            let node = Node::open(settings).await;
            let _ = tell.send(node.holding.told());
            let renewing = tokio::spawn(node.holding.clone().renewing());
            tokio::spawn(node.clone().listening(listener));
            // Its sender is dropped, never used.
            let _ = ended.await;
            // A renewal behind the leave would take the seat again, where another voter leads by then.
            renewing.abort();
            let _ = renewing.await;
            node.holding.leave(LEAVING, LEAVE_ATTEMPT).await;
            node.ending.store(true, Ordering::Relaxed);
            if let Ok(voter) = node.voter() {
                let _ = tokio::time::timeout(STOPPING, voter.raft.shutdown()).await;
            }
        });
        runtime.shutdown_timeout(STOPPING);
    };
    let thread = std::thread::Builder::new().name("rules".to_owned()).spawn(work);
    let thread = thread.map_err(|e| format!("thread: {e}"))?;
    let told = told.recv().map_err(|_| "the thread of the rules has ended".to_owned())?;
    Ok(ControlPlane { active_rules: told, end: Some(end), thread: Some(thread) })
}

type VotersFailed = RaftError<u64, ClientWriteError<u64, EmptyNode>>;

struct Vote {
    raft: Raft,
    chamber: Arc<Chamber>,
    store: Store,
}

/// How often a voter whose folder could not be opened tries it again.
const OPEN_AGAIN: Duration = Duration::from_secs(1);

struct Node {
    settings: ControlPlaneConfig,
    holding: Arc<Holding>,
    /// Or why it does not vote, yet or at all.
    voter: RwLock<Result<Arc<Vote>, String>>,
    messages: Semaphore,
    between_voters: Semaphore,
    /// It gives up its seat, and then its vote.
    ending: AtomicBool,
}

impl Node {
    async fn open(settings: ControlPlaneConfig) -> Arc<Node> {
        let clock = Clock::start();
        let peers = Peers::new(settings.fleet.clone(), settings.voters.clone());
        let (terms, honoured, name) = (settings.lease, settings.local_lease, settings.name.clone());
        let holding = Holding::new(name, terms, clock, peers.clone(), honoured);
        info!(
            fleet = settings.fleet,
            bound_ms = settings.lease.max_overlap() / 1_000_000,
            "rules with versions"
        );
        let node = Arc::new(Node {
            settings,
            holding,
            voter: RwLock::new(Err("it is not a voter".to_owned())),
            messages: Semaphore::new(MESSAGES),
            between_voters: Semaphore::new(MESSAGES),
            ending: AtomicBool::new(false),
        });
        if let Some(voting) = node.settings.voter.clone() {
            if let Err(NotOpened::Later(_)) = node.begin_to_vote(&voting, peers.clone(), clock).await {
                tokio::spawn(node.clone().voting_later(voting, peers, clock));
            }
        }
        node
    }

    fn voter(&self) -> Result<Arc<Vote>, String> {
        self.voter.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Opens the voter's folder, and votes from now on if it can.
    async fn begin_to_vote(&self, voting: &VoterConfig, peers: Peers, clock: Clock) -> Result<(), NotOpened> {
        let begun = vote(&self.settings, voting, peers, clock).await;
        let (voter, opened) = match begun {
            Ok(vote) => {
                self.holding.votes(voting.id, vote.chamber.clone());
                (Ok(Arc::new(vote)), Ok(()))
            }
            Err(failed) => {
                let (NotOpened::Later(why) | NotOpened::Never(why)) = &failed;
                warn!(voter = voting.id, why, "this voter does not vote");
                (Err(why.clone()), Err(failed))
            }
        };
        *self.voter.write().unwrap_or_else(PoisonError::into_inner) = voter;
        opened
    }

    /// Tries again to open the folder, until it can be opened or never will be.
    async fn voting_later(self: Arc<Self>, voting: VoterConfig, peers: Peers, clock: Clock) {
        loop {
            tokio::time::sleep(OPEN_AGAIN).await;
            match self.begin_to_vote(&voting, peers.clone(), clock).await {
                Err(NotOpened::Later(_)) => {}
                Err(NotOpened::Never(_)) => return,
                Ok(()) => return info!(voter = voting.id, "this voter votes"),
            }
        }
    }

    async fn listening(self: Arc<Self>, listener: TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        let places = Arc::new(Semaphore::new(CONNECTIONS));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((socket, _)) = listener.accept().await else {
                // Out of descriptors, mostly: wait for one.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let _ = socket.set_nodelay(true);
            let node = self.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| node.clone().serve(request));
                let served = hyper::server::conn::http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD)
                    .max_buf_size(64 << 10)
                    .serve_connection(TokioIo::new(socket), service)
                    .await;
                drop((served, place));
            });
        }
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let no = |status: StatusCode, why: &str| {
            let mut response = Response::new(Full::new(Bytes::from(why.to_owned())));
            *response.status_mut() = status;
            Ok(response)
        };
        let room = match (request.method(), request.uri().path()) {
            (&Method::POST, ALL_ELSE) => &self.messages,
            (&Method::POST, BETWEEN_VOTERS) => &self.between_voters,
            _ => return no(StatusCode::NOT_FOUND, "only POST /rules and /voters are answered here"),
        };
        let path = request.uri().path().to_owned();
        let said = |name: &str| request.headers().get(name).map_or(&b""[..], |value| value.as_bytes());
        if said(FLEET) != self.settings.fleet.as_bytes() {
            return no(StatusCode::FORBIDDEN, "this process belongs to another fleet");
        }
        if said(FORMAT_HEADER) != FORMAT.as_bytes() {
            return no(StatusCode::UPGRADE_REQUIRED, "this process speaks format 1");
        }
        if request.body().size_hint().lower() > MAX_MESSAGE_BYTES as u64 {
            return no(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        let Ok(_room) = room.acquire().await else {
            return no(StatusCode::SERVICE_UNAVAILABLE, "ending");
        };
        let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
        let body = match tokio::time::timeout(BODY, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return no(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large, or broke off"),
            Err(_) => return no(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
        };
        let call = postcard::from_bytes::<PeerRequest>(&body).ok().filter(|call| call.path() == path);
        let Some(call) = call else {
            return no(StatusCode::BAD_REQUEST, "the body cannot be read");
        };
        let answer = match tokio::time::timeout(BODY, self.answer(call)).await {
            Ok(answer) => answer,
            Err(_) => PeerResponse::Error(PeerError::NoQuorum("no answer in time".to_owned())),
        };
        match postcard::to_stdvec(&answer) {
            Ok(bytes) => Ok(Response::new(Full::new(Bytes::from(bytes)))),
            Err(_) => no(StatusCode::INTERNAL_SERVER_ERROR, "the answer cannot be written"),
        }
    }

    async fn answer(&self, call: PeerRequest) -> PeerResponse {
        if self.ending.load(Ordering::Relaxed) {
            return PeerResponse::Error(PeerError::NotVoter("it ends".to_owned()));
        }
        if let PeerRequest::Status = call {
            return PeerResponse::Status(Box::new(self.status()));
        }
        let vote = match self.voter() {
            Ok(vote) => vote,
            Err(why) => return PeerResponse::Error(PeerError::NotVoter(why)),
        };
        match call {
            PeerRequest::AppendEntries(rpc) => {
                PeerResponse::AppendEntries(vote.raft.append_entries(rpc).await)
            }
            PeerRequest::Vote(rpc) => PeerResponse::Vote(vote.raft.vote(rpc).await),
            PeerRequest::InstallSnapshot(rpc) => {
                PeerResponse::InstallSnapshot(vote.raft.install_snapshot(rpc).await)
            }
            PeerRequest::RequestLease { lease_duration: lease, .. }
                if lease != self.settings.lease.duration =>
            {
                PeerResponse::Error(PeerError::LeaseMismatch(self.settings.lease.duration / 1_000_000))
            }
            PeerRequest::RequestLease { holder, request, .. } => {
                vote.chamber.ask(&holder, request).await.unwrap_or_else(PeerResponse::Error)
            }
            PeerRequest::Command(command) => {
                vote.chamber.command(command).await.map_or_else(PeerResponse::Error, PeerResponse::Applied)
            }
            PeerRequest::Bootstrap(document) => {
                self.found(&vote, document).await.map_or_else(PeerResponse::Error, PeerResponse::Applied)
            }
            PeerRequest::ChangeVoters(ids) => match change_voters(&vote, ids).await {
                Ok(()) => PeerResponse::Applied(0),
                Err(e) => PeerResponse::Error(PeerError::NoQuorum(e.to_string())),
            },
            PeerRequest::History => {
                vote.chamber.history().await.map_or_else(PeerResponse::Error, PeerResponse::History)
            }
            PeerRequest::Status => PeerResponse::Status(Box::new(self.status())),
        }
    }

    /// Makes the configured voters the first ones, and this document the first rules.
    async fn found(
        &self,
        vote: &Vote,
        document: nickelflow_rollout::RulesDocument,
    ) -> Result<u64, PeerError> {
        small(&document)?;
        if !vote.raft.is_initialized().await.map_err(|e| PeerError::NoQuorum(e.to_string()))? {
            let voters: BTreeSet<u64> = self.settings.voters.keys().copied().collect();
            let begun = vote.raft.initialize(voters).await;
            begun.map_err(|e| PeerError::NoQuorum(e.to_string()))?;
        }
        // The first election takes a while.
        let led = vote.raft.wait(Some(BODY / 2)).metrics(|m| m.current_leader.is_some(), "a leader").await;
        led.map_err(|e| PeerError::NoQuorum(e.to_string()))?;
        vote.chamber.command(Command::Bootstrap(document)).await
    }

    fn status(&self) -> Status {
        let (version, left_ms, careful_ms) = self.holding.standing();
        let vote = self.voter();
        let vote = vote.as_ref();
        let trouble = vote.ok().and_then(|vote| vote.store.trouble());
        Status {
            name: self.settings.name.clone(),
            build: self.settings.build.clone(),
            version,
            left_ms,
            degraded_ms: careful_ms,
            max_overlap_ms: self.settings.lease.max_overlap() / 1_000_000,
            not_voting_reason: vote.err().cloned().or(trouble),
            voter: self.settings.voter.as_ref().map(|voting| voting.id),
            leader: vote.ok().and_then(|vote| vote.chamber.leader()),
            leader_status: vote.ok().and_then(|vote| vote.chamber.lead()),
        }
    }
}

/// Has new voters take the log over first, and then vote in the place of those that are not named any more.
async fn change_voters(vote: &Vote, ids: BTreeSet<u64>) -> Result<(), VotersFailed> {
    let known: BTreeSet<u64> = {
        let metrics = vote.raft.metrics();
        let metrics = metrics.borrow();
        metrics.membership_config.nodes().map(|(id, _)| *id).collect()
    };
    for new in ids.difference(&known) {
        vote.raft.add_learner(*new, EmptyNode {}, true).await?;
    }
    vote.raft.change_membership(ids, false).await?;
    Ok(())
}

/// Begins to vote; why not, if it cannot.
async fn vote(
    settings: &ControlPlaneConfig,
    voting: &VoterConfig,
    peers: Peers,
    clock: Clock,
) -> Result<Vote, NotOpened> {
    let never = |e: &dyn std::fmt::Display| NotOpened::Never(e.to_string());
    let store = Store::open(&voting.data_dir, &settings.fleet, voting.id)?;
    let state = State::load(store.clone()).await.map_err(|e| never(&e))?;
    let config = Config {
        cluster_name: settings.fleet.clone(),
        heartbeat_interval: 100,
        election_timeout_min: 500,
        election_timeout_max: 1_000,
        install_snapshot_timeout: 2_000,
        // Some documents of the largest size must fit into one message.
        max_payload_entries: 6,
        snapshot_max_chunk_size: 1 << 20,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(500),
        max_in_snapshot_log_to_keep: 100,
        ..Config::default()
    };
    let config = Arc::new(config.validate().map_err(|e| never(&e))?);
    let raft = Raft::new(voting.id, config, peers, store.clone(), state.clone()).await;
    let raft = raft.map_err(|e| never(&e))?;
    let chamber = Chamber::open(voting.id, raft.clone(), state, settings.lease, clock);
    Ok(Vote { raft, chamber, store })
}
