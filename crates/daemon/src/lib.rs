//! Runs the dispatcher as a scheduler on real sockets: the scheduler loop, the components around it, and
//! their wiring.

mod acceptor;
pub mod attempt;
mod client_connection;
pub mod config;
mod connection;
mod connection_slots;
pub mod counters;
pub mod discovery;
mod early_rejection;
pub mod endpoint_list;
mod interrupted;
pub mod job_handler;
mod json;
mod json_pieces;
mod line_reader;
mod list_freshness;
pub mod listen;
pub mod memory_plan;
pub mod plain_member;
mod probe;
pub mod request_ids;
mod request_reader;
pub mod result_memory;
pub mod rules_conversion;
pub mod scheduler_loop;
mod scheduler_messages;
pub mod shutdown;
pub mod start_times;
pub mod throttle;
mod violations;
mod watch_timing;
mod worker_answer;
mod worker_pool;
pub mod write_guard;
mod write_turns;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use nickelflow_control_plane::ActiveRules;
use nickelflow_engine::SettingsError;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinError;
use tracing::info;

use crate::attempt::{ForwardedRequest, WorkerClient};
use crate::client_connection::ClientConnection;
use crate::config::Config;
use crate::counters::SharedCounters;
use crate::discovery::{DiscoveryClient, WatchTiming};
use crate::job_handler::JobHandler;
use crate::memory_plan::SharedMemory;
use crate::request_ids::RequestIds;
use crate::scheduler_loop::{Command, Event, JobQueue, SchedulerLoop};
use crate::shutdown::Shutdown;

/// The division of the descriptors that the settings allow. No part can use the descriptors of another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DescriptorBudget {
    /// Descriptors of the program itself: the standard streams, the listener, the runtime, the signals and
    /// the watch use 12; at times there are also a second watch, a client that is being turned away and a
    /// file that is reloaded. The control plane uses the rest.
    pub reserved: usize,
    /// Client connections that are closing while new connections have taken their slots.
    pub closing_clients: usize,
    /// Connections to workers, for attempts and probes.
    pub workers: usize,
    /// Client connections that are not being closed.
    pub clients: usize,
}

impl DescriptorBudget {
    /// Divides the given number of descriptors. With fewer than 64 each part is smaller; fewer than 32 do not
    /// suffice.
    pub fn for_limit(max_descriptors: usize) -> DescriptorBudget {
        let reserved = (max_descriptors / 2).min(32);
        let closing_clients = ((max_descriptors - reserved) / 2).min(16);
        let shared = max_descriptors - reserved - closing_clients;
        let workers = (shared * 2 / 5).max(1);
        DescriptorBudget {
            reserved,
            closing_clients,
            workers,
            clients: shared.saturating_sub(workers).max(1),
        }
    }
}

/// Why a scheduler stopped serving.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A setting is out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The address of the listener could not be determined.
    #[error("listen: {0}")]
    Listen(io::Error),
    /// The acceptor has panicked.
    #[error("the acceptor ended: {0}")]
    AcceptorEnded(JoinError),
    /// The scheduler loop has ended, which happens only if the dispatcher panics.
    #[error("the scheduler loop ended: {0:?}")]
    LoopEnded(Result<(), JoinError>),
}

/// Returns the function that carries out the commands of the scheduler loop.
fn command_executor(
    worker_client: Arc<WorkerClient>,
    watch_requests: mpsc::UnboundedSender<()>,
    memory: SharedMemory,
) -> impl FnMut(Command<ForwardedRequest>) {
    move |command| match command {
        Command::StartAttempt(request) => drop(tokio::spawn(worker_client.clone().execute(request))),
        Command::Probe { worker, address } => {
            drop(tokio::spawn(worker_client.clone().probe(worker, address)));
        }
        Command::WatchList => drop(watch_requests.send(())),
        Command::ReserveForWorkers { count } => memory.reserve_for_workers(count),
    }
}

/// Tells the scheduler loop when the shutdown begins.
async fn announce_shutdown(shutdown: Shutdown, events: mpsc::UnboundedSender<Event<ForwardedRequest>>) {
    let deadline = shutdown.wait_for_start().await;
    let _ = events.send(Event::Shutdown { deadline });
}

/// Serves until the shutdown is complete and every job is answered. `active_rules` has the rules that all
/// schedulers have adopted; it is `None` without a control plane.
///
/// # Errors
///
/// Returns an error if a setting is out of range, or the scheduler loop has ended.
pub async fn run(
    config: Config,
    discovery: watch::Receiver<SocketAddr>,
    listener: TcpListener,
    counters: SharedCounters,
    shutdown: Shutdown,
    active_rules: Option<watch::Receiver<Option<ActiveRules>>>,
) -> Result<(), DaemonError> {
    let (queue, inputs) = mpsc::unbounded_channel();
    let (watch_requests, watch_requested) = mpsc::unbounded_channel();
    let descriptors = DescriptorBudget::for_limit(config.max_descriptors);
    let memory = SharedMemory::for_limit(config.max_memory_bytes, config.initial_endpoints.entries.len());
    counters.set_memory(memory.clone());
    let worker_client = WorkerClient::new(
        descriptors.workers,
        config.worker_connections,
        memory.clone(),
        counters.clone(),
        queue.clone(),
    );
    tokio::spawn(worker_client.clone().close_expired_connections());
    let execute_command = command_executor(worker_client, watch_requests, memory.clone());
    let timing = WatchTiming {
        uses_agent: !config.settings.requires_subscription,
        scheduler_count: config.settings.dispatchers,
        drain_grace: config.worker_connections.drain_grace,
    };
    let rng = fastrand::Rng::with_seed(config.seed);
    let client = DiscoveryClient {
        address: discovery,
        entry_names: config.entry_names,
        timing,
        rng,
        events: queue.clone(),
        watch_requests: watch_requested,
    };
    tokio::spawn(client.run(config.initial_endpoints));
    if let Some(active_rules) = active_rules {
        tokio::spawn(rules_conversion::forward_rules(
            active_rules,
            config.names.tenants.clone(),
            queue.clone(),
        ));
    }
    tokio::spawn(announce_shutdown(shutdown.clone(), queue.clone()));
    let scheduler_loop = SchedulerLoop::new(config.settings, config.seed, counters.clone(), execute_command);
    let scheduler_loop = scheduler_loop?;
    let scheduler_loop = tokio::spawn(scheduler_loop.run(inputs));
    let address = listener.local_addr().map_err(DaemonError::Listen)?;
    info!(name = config.name, listen = %address, "serving");
    let handler = JobHandler {
        names: Arc::new(config.names),
        job_queue: JobQueue::new(queue),
        counters,
        shutdown,
        request_ids: RequestIds::default(),
        client_connection: ClientConnection::new(),
        memory,
    };
    // As a task of its own, the acceptor has its turn after all that are ready. The future that the runtime blocks on
    // would go before them each time.
    let acceptor = tokio::spawn(acceptor::serve(listener, handler, descriptors));
    tokio::select! {
        ended = acceptor => ended.map_err(DaemonError::AcceptorEnded),
        // The loop runs as long as its queue has senders: if it ends here, the dispatcher has panicked.
        ended = scheduler_loop => Err(DaemonError::LoopEnded(ended)),
    }
}
