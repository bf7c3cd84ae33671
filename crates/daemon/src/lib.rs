//! The dispatcher as a scheduler on real sockets: the scheduler loop, the parts around it, and how they are connected.

mod acceptor;
pub mod attempt;
mod client_connection;
pub mod config;
mod connection;
pub mod counters;
pub mod discovery;
mod early_rejection;
pub mod endpoint_list;
mod interrupted;
pub mod job_handler;
mod json;
mod line_reader;
pub mod listen;
mod request_reader;
pub mod rules_conversion;
pub mod scheduler_loop;
mod scheduler_messages;
pub mod shutdown;
pub mod start_times;
pub mod throttle;
mod violations;
mod worker_answer;
mod worker_pool;
pub mod write_guard;

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

use crate::attempt::WorkerClient;
use crate::client_connection::ClientConnection;
use crate::config::Config;
use crate::counters::SharedCounters;
use crate::discovery::{DiscoveryClient, WatchTiming};
use crate::job_handler::{JobHandler, OpenRequestIds};
use crate::scheduler_loop::{Command, Event, JobQueue, SchedulerLoop};
use crate::shutdown::Shutdown;

/// The division of the descriptors that the settings allow; no part takes from another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DescriptorBudget {
    /// The program's own: the standard streams, the listener, the runtime's, the signals' and the watch, 12 in all;
    /// at times another watch, a client that is being turned away and a file that is read again. What schedulers need
    /// that agree on rules comes out of the rest of it.
    pub reserved: usize,
    /// Client connections that are closing while others have taken their places.
    pub closing_clients: usize,
    /// Connections to workers, for attempts and probes.
    pub workers: usize,
    /// Connections of clients.
    pub clients: usize,
}

impl DescriptorBudget {
    /// Of fewer than 64 each part gets less; fewer than 32 do not suffice.
    pub fn for_limit(sockets: usize) -> DescriptorBudget {
        let reserved = (sockets / 2).min(32);
        let closing_clients = ((sockets - reserved) / 2).min(16);
        let shared = sockets - reserved - closing_clients;
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
    /// The settings are out of their range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The listener has no address.
    #[error("listen: {0}")]
    Listen(io::Error),
    /// The scheduler loop has ended, which it only does if the dispatcher panics.
    #[error("the core ended: {0:?}")]
    LoopEnded(Result<(), JoinError>),
}

/// Serves until the shutdown is complete and every job is answered. `active_rules` has the rules that all schedulers have adopted,
/// where they adopt rules.
///
/// # Errors
///
/// Returns an error if the settings are out of their range, or the scheduler loop has ended.
pub async fn run(
    config: Config,
    discovery: watch::Receiver<SocketAddr>,
    listener: TcpListener,
    counters: SharedCounters,
    shutdown: Shutdown,
    active_rules: Option<watch::Receiver<Option<ActiveRules>>>,
) -> Result<(), DaemonError> {
    let (queue, inputs) = mpsc::unbounded_channel();
    let (ask, asked) = mpsc::unbounded_channel();
    let descriptors = DescriptorBudget::for_limit(config.max_descriptors);
    let worker_client =
        WorkerClient::new(descriptors.workers, config.worker_connections, counters.clone(), queue.clone());
    tokio::spawn(worker_client.clone().sweep());
    let carry_out = move |order| match order {
        Command::StartAttempt(request) => drop(tokio::spawn(worker_client.clone().execute(request))),
        Command::Probe { worker, address } => {
            drop(tokio::spawn(worker_client.clone().probe(worker, address)));
        }
        Command::WatchList => drop(ask.send(())),
    };
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
        watch_requests: asked,
    };
    tokio::spawn(client.run(config.initial_endpoints));
    if let Some(active_rules) = active_rules {
        tokio::spawn(rules_conversion::forward_rules(
            active_rules,
            config.names.tenants.clone(),
            queue.clone(),
        ));
    }
    let ending = (shutdown.clone(), queue.clone());
    tokio::spawn(async move {
        let by = ending.0.answer_by().await;
        let _ = ending.1.send(Event::Shutdown { deadline: by });
    });
    let scheduler_loop = SchedulerLoop::new(config.settings, config.seed, counters.clone(), carry_out);
    let scheduler_loop = scheduler_loop?;
    let scheduler_loop = tokio::spawn(scheduler_loop.run(inputs));
    let address = listener.local_addr().map_err(DaemonError::Listen)?;
    info!(name = config.name, listen = %address, "serving");
    let handler = JobHandler {
        names: Arc::new(config.names),
        job_queue: JobQueue::new(queue),
        counters,
        shutdown,
        open: OpenRequestIds::default(),
        client_connection: ClientConnection::new(),
    };
    tokio::select! {
        () = acceptor::serve(listener, handler, descriptors) => Ok(()),
        // It runs as long as the queue has senders: if it ends, the module has panicked.
        ended = scheduler_loop => Err(DaemonError::LoopEnded(ended)),
    }
}
