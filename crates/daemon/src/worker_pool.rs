//! A pool of connections to workers. It opens connections within the workers' share of file descriptors,
//! keeps idle ones for a limited time, and reuses them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nickelflow_engine::Outcome;
use nickelflow_input_memory::{Eviction, MemoryAccount, MemoryBudget, MemoryOwner};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::config::WorkerConnectionConfig;
use crate::connection::{ConnectError, Connection};
use crate::counters::SharedCounters;
use crate::memory_plan::WORKER_CONNECTION_BYTES;
use crate::throttle::Throttle;

/// A connection is not reused this close to the end of its idle timeout: if the request crosses the worker's
/// close, the attempt ends with a reset, after which the job may have run.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);
/// A worker may send a second response to a job some milliseconds after the first. On a connection without a
/// response for this long, a second one would have arrived, and hyper closes a connection that receives an
/// unsolicited response.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// How long no idle connection is reused after a worker reset one under its next request.
const REUSE_SUSPENSION: Duration = Duration::from_secs(10);
/// How often a new connection that waits for memory looks for some.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The time between attempts to open a connection that fails for a local reason.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An open connection that carries no request.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// When the last response to a job was completely read.
    last_response_at: Option<Instant>,
    permit: OwnedSemaphorePermit,
}

/// Returns whether a connection with its last response at this time can no longer receive a second one.
pub fn is_settled(last_response_at: Option<Instant>) -> bool {
    last_response_at.is_none_or(|at| at.elapsed() >= SETTLE_TIME)
}

/// A connection in use. Dropping it closes the connection.
pub struct CheckedOutConnection {
    pub connection: Connection,
    permit: OwnedSemaphorePermit,
    /// The address of the worker.
    pub address: SocketAddr,
    /// Whether the connection has carried a request before.
    pub reused: bool,
    /// When the last response to a job was completely read.
    pub last_response_at: Option<Instant>,
}

/// Which connections a caller accepts.
#[derive(Clone, Copy, PartialEq)]
pub enum ConnectionPreference {
    /// Any connection, reused if possible.
    Any,
    /// A new connection, or an idle one that has settled (see [`is_settled`]).
    Settled,
    /// A new connection.
    New,
}

/// The connections to all workers.
pub struct WorkerPool {
    /// When idle connections may be reused again; `None` if reuse was never suspended.
    reuse_suspended_until: Mutex<Option<Instant>>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// One permit per connection that may be open.
    permits: Arc<Semaphore>,
    worker_connections: WorkerConnectionConfig,
    /// What connections are charged to.
    connection_memory: Arc<MemoryBudget>,
    counters: SharedCounters,
    /// When a connection to any worker was last established.
    last_connected_at: Mutex<Option<Instant>>,
    /// Limits the log lines about local failures.
    local_failure_log: Mutex<Throttle>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerPool {
    /// Creates a pool of at most `max_connections` connections, idle ones included, which are charged to
    /// `connection_memory`.
    pub fn new(
        max_connections: usize,
        worker_connections: WorkerConnectionConfig,
        connection_memory: Arc<MemoryBudget>,
        counters: SharedCounters,
    ) -> WorkerPool {
        WorkerPool {
            reuse_suspended_until: Mutex::default(),
            idle: Mutex::default(),
            permits: Arc::new(Semaphore::new(max_connections)),
            worker_connections,
            connection_memory,
            counters,
            last_connected_at: Mutex::default(),
            local_failure_log: Mutex::default(),
        }
    }

    /// Takes an idle connection to a worker or opens a new one. Local failures to open one are retried for
    /// `local_retry_limit`.
    ///
    /// # Errors
    ///
    /// Returns the outcome of an attempt for which there is no connection.
    pub async fn check_out(
        &self,
        address: SocketAddr,
        preference: ConnectionPreference,
        local_retry_limit: Duration,
    ) -> Result<CheckedOutConnection, Outcome> {
        while let Some(pooled) = self.take_idle(address, preference) {
            // Forbidden first: from then on the connection is not closed for others that need its memory.
            pooled.connection.set_eviction(Eviction::Forbidden);
            if pooled.connection.is_usable() {
                self.counters.reuses.add();
                let IdleConnection { connection, permit, last_response_at, .. } = pooled;
                return Ok(CheckedOutConnection {
                    connection,
                    permit,
                    address,
                    reused: true,
                    last_response_at,
                });
            }
        }
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                // All permits are in use: an idle connection to any worker is closed to free one.
                self.close_longest_idle();
                let permit =
                    timeout(self.worker_connections.connect_timeout, self.permits.clone().acquire_owned())
                        .await;
                // The worker is not the cause, so that this does not count as a connect failure.
                permit.ok().and_then(Result::ok).ok_or(Outcome::NotSent)?
            }
        };
        let memory = self.charge_connection().await.ok_or(Outcome::NotSent)?;
        let connection = self.open(address, Arc::new(memory), local_retry_limit).await?;
        Ok(CheckedOutConnection { connection, permit, address, reused: false, last_response_at: None })
    }

    /// Opens a connection. A local failure is retried, and counts against the worker only as
    /// [`Self::outcome_of_local_failure`] decides.
    async fn open(
        &self,
        address: SocketAddr,
        memory: Arc<MemoryAccount>,
        local_retry_limit: Duration,
    ) -> Result<Connection, Outcome> {
        let started_at = Instant::now();
        loop {
            self.counters.connects.add();
            let connect_timeout = self.worker_connections.connect_timeout;
            let error = match Connection::open(address, connect_timeout, Some(memory.clone())).await {
                Ok(connection) => {
                    *lock(&self.last_connected_at) = Some(Instant::now());
                    return Ok(connection);
                }
                Err(error) => error,
            };
            if !error.is_local() {
                debug!(%address, %error, "cannot connect to the worker");
                return Err(Outcome::ConnectFailed);
            }
            self.counters.local_failures.add();
            if let Some(left_out) = lock(&self.local_failure_log).record(Instant::now()) {
                warn!(%address, %error, left_out, "cannot open a connection because of a local failure");
            }
            if started_at.elapsed() + LOCAL_RETRY_INTERVAL >= local_retry_limit {
                return Err(self.outcome_of_local_failure(&error, started_at));
            }
            tokio::time::sleep(LOCAL_RETRY_INTERVAL).await;
        }
    }

    /// Charges a new connection, once there is memory for it. Returns `None` if there is none within the connect
    /// timeout.
    async fn charge_connection(&self) -> Option<MemoryAccount> {
        let memory = self.connection_memory.open_account(MemoryOwner::WorkerConnection, Eviction::Forbidden);
        let wait = async {
            while memory.resize_urgently(WORKER_CONNECTION_BYTES).is_err() {
                tokio::time::sleep(MEMORY_RETRY_INTERVAL).await;
            }
        };
        timeout(self.worker_connections.connect_timeout, wait).await.ok()?;
        Some(memory)
    }

    /// Returns the outcome of an attempt without a connection because of a local failure. A missing route
    /// counts as a failure of the worker if another connection was established in the meantime.
    fn outcome_of_local_failure(&self, error: &ConnectError, started_at: Instant) -> Outcome {
        let others_connected = lock(&self.last_connected_at).is_some_and(|at| at >= started_at);
        match error {
            ConnectError::NoRoute(_) if others_connected => Outcome::ConnectFailed,
            _ => Outcome::NotSent,
        }
    }

    /// Closes all idle connections and suspends their reuse for a while. A worker that resets an idle
    /// connection under its next request is likely to do so again, nothing indicates it beforehand, and each
    /// time the job may have run. A new connection costs only a few milliseconds.
    pub fn suspend_reuse(&self) {
        self.counters.distrusts.add();
        *lock(&self.reuse_suspended_until) = Some(Instant::now() + REUSE_SUSPENSION);
        lock(&self.idle).clear();
    }

    /// Returns whether idle connections may be reused.
    fn reuse_allowed(&self) -> bool {
        lock(&self.reuse_suspended_until).is_none_or(|suspended_until| suspended_until < Instant::now())
    }

    /// Takes the most recently used idle connection that the caller accepts, so that the others can reach
    /// their idle timeout.
    fn take_idle(&self, address: SocketAddr, preference: ConnectionPreference) -> Option<IdleConnection> {
        let is_acceptable = |pooled: &IdleConnection| match preference {
            ConnectionPreference::Any => true,
            ConnectionPreference::Settled => is_settled(pooled.last_response_at),
            ConnectionPreference::New => false,
        };
        let max_idle = self.worker_connections.idle_timeout.saturating_sub(IDLE_MARGIN);
        let mut idle_by_address = lock(&self.idle);
        let idle = idle_by_address.get_mut(&address)?;
        let position = idle.iter().rposition(is_acceptable)?;
        let pooled = idle.remove(position);
        (pooled.idle_since.elapsed() < max_idle).then_some(pooled)
    }

    /// Returns a connection without a request in flight to the pool.
    pub fn give_back(&self, checked_out: CheckedOutConnection) {
        let CheckedOutConnection { connection, permit, address, last_response_at, .. } = checked_out;
        let pooled = IdleConnection { connection, idle_since: Instant::now(), last_response_at, permit };
        if self.reuse_allowed() {
            pooled.connection.set_eviction(Eviction::IfIdle);
            lock(&self.idle).entry(address).or_default().push(pooled);
        }
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Closes the connection that has been idle for longest.
    fn close_longest_idle(&self) {
        let mut idle_by_address = lock(&self.idle);
        let oldest = idle_by_address
            .iter()
            .filter_map(|(address, idle)| Some((idle.first()?.idle_since, *address)))
            .min();
        if let Some(idle) = oldest.and_then(|(_, address)| idle_by_address.get_mut(&address)) {
            idle.remove(0);
        }
    }

    /// Periodically closes connections that have been idle for too long to be reused. Never returns.
    pub async fn close_expired_connections(&self) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let max_idle = self.worker_connections.idle_timeout.saturating_sub(IDLE_MARGIN);
            lock(&self.idle).retain(|_, idle| {
                idle.retain(|pooled| pooled.idle_since.elapsed() < max_idle && pooled.connection.is_usable());
                !idle.is_empty()
            });
        }
    }
}
