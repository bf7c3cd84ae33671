//! Connections to workers: opened within the share of descriptors, kept for a while, and used again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nickelflow_engine::Outcome;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::config::WorkerConnectionConfig;
use crate::connection::{ConnectError, Connection};
use crate::counters::SharedCounters;
use crate::throttle::Throttle;

/// A connection this near to the end of its idle time is not used again: a request that crosses the
/// worker's close ends as a reset, after which the job may have run.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);
/// A second answer to a job may come some milliseconds after the first (the page on the trial). On a connection that has
/// carried none for so long it has shown: hyper closes one on which anything comes unasked for.
const SETTLED: Duration = Duration::from_millis(100);
/// For how long no kept connection is used again after one was reset under its next request.
const DISTRUST: Duration = Duration::from_secs(10);
/// A connection that could not be made for a shortage here is tried again this soon.
const LOCAL_PAUSE: Duration = Duration::from_millis(20);

struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// When it last had the answer to a job.
    answered: Option<Instant>,
    permit: OwnedSemaphorePermit,
}

/// Whether a connection that had its last answer then has settled.
pub fn settled(answered: Option<Instant>) -> bool {
    answered.is_none_or(|at| at.elapsed() >= SETTLED)
}

/// A connection in use. Dropped, it closes.
pub struct CheckedOutConnection {
    pub connection: Connection,
    permit: OwnedSemaphorePermit,
    pub address: SocketAddr,
    pub reused: bool,
    pub answered: Option<Instant>,
}

/// Which connection will do.
#[derive(Clone, Copy, PartialEq)]
pub enum ConnectionPreference {
    Any,
    /// A new one, or a kept one that has settled.
    Settled,
    New,
}

/// The connections to all workers.
pub struct WorkerPool {
    /// Until when kept connections are not trusted.
    distrust: Mutex<Option<Instant>>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    permits: Arc<Semaphore>,
    worker_connections: WorkerConnectionConfig,
    counters: SharedCounters,
    /// When a connection last came up.
    came_up: Mutex<Option<Instant>>,
    shortages: Mutex<Throttle>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerPool {
    /// One of at most so many connections.
    pub fn new(
        most: usize,
        worker_connections: WorkerConnectionConfig,
        counters: SharedCounters,
    ) -> WorkerPool {
        WorkerPool {
            distrust: Mutex::default(),
            idle: Mutex::default(),
            permits: Arc::new(Semaphore::new(most)),
            worker_connections,
            counters,
            came_up: Mutex::default(),
            shortages: Mutex::default(),
        }
    }

    /// A connection to a worker, or what has become of the attempt without one. What fails here is tried again for so long.
    pub async fn lease(
        &self,
        address: SocketAddr,
        wanted: ConnectionPreference,
        patience: Duration,
    ) -> Result<CheckedOutConnection, Outcome> {
        while let Some(pooled) = self.take(address, wanted) {
            if pooled.connection.usable() {
                self.counters.reuses.add();
                let IdleConnection { connection, permit, answered, .. } = pooled;
                return Ok(CheckedOutConnection { connection, permit, address, reused: true, answered });
            }
        }
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                // All descriptors are in use: an idle connection to some other worker gives way.
                self.drop_oldest();
                let permit =
                    timeout(self.worker_connections.connect_timeout, self.permits.clone().acquire_owned())
                        .await;
                // The worker has no part in that.
                permit.ok().and_then(Result::ok).ok_or(Outcome::NotSent)?
            }
        };
        let connection = self.open(address, patience).await?;
        Ok(CheckedOutConnection { connection, permit, address, reused: false, answered: None })
    }

    /// Opens a connection; a worker is not blamed for what this side lacks.
    async fn open(&self, address: SocketAddr, patience: Duration) -> Result<Connection, Outcome> {
        let began = Instant::now();
        loop {
            self.counters.connects.add();
            let error = match Connection::open(address, self.worker_connections.connect_timeout).await {
                Ok(connection) => {
                    *lock(&self.came_up) = Some(Instant::now());
                    return Ok(connection);
                }
                Err(error) => error,
            };
            if !error.is_local() {
                debug!(%address, %error, "could not connect");
                return Err(Outcome::ConnectFailed);
            }
            self.counters.local_failures.add();
            if let Some(left_out) = lock(&self.shortages).write(Instant::now()) {
                warn!(%address, %error, left_out, "no connection can be made from here");
            }
            if began.elapsed() + LOCAL_PAUSE >= patience {
                return Err(self.blame(&error, began));
            }
            tokio::time::sleep(LOCAL_PAUSE).await;
        }
    }

    /// What an attempt that could not be made for a local error comes to: no way to this worker, while there is one to
    /// others, is this worker's.
    fn blame(&self, error: &ConnectError, began: Instant) -> Outcome {
        let others_reached = lock(&self.came_up).is_some_and(|at| at >= began);
        match error {
            ConnectError::NoRoute(_) if others_reached => Outcome::ConnectFailed,
            _ => Outcome::NotSent,
        }
    }

    /// Workers that reset kept connections under the next request do so again, and nothing shows it before:
    /// each time a job may have run. A new connection costs a few milliseconds instead.
    pub fn distrust(&self) {
        self.counters.distrusts.add();
        *lock(&self.distrust) = Some(Instant::now() + DISTRUST);
        lock(&self.idle).clear();
    }

    fn trusting(&self) -> bool {
        lock(&self.distrust).is_none_or(|until| until < Instant::now())
    }

    /// The connection used last that will do: the others may then close for idleness.
    fn take(&self, address: SocketAddr, wanted: ConnectionPreference) -> Option<IdleConnection> {
        let will_do = |pooled: &IdleConnection| match wanted {
            ConnectionPreference::Any => true,
            ConnectionPreference::Settled => settled(pooled.answered),
            ConnectionPreference::New => false,
        };
        let usable = self.worker_connections.idle_timeout.saturating_sub(IDLE_MARGIN);
        let mut all = lock(&self.idle);
        let idle = all.get_mut(&address)?;
        let last = idle.iter().rposition(will_do)?;
        let pooled = idle.remove(last);
        (pooled.since.elapsed() < usable).then_some(pooled)
    }

    /// Keeps a connection on which nothing is open.
    pub fn give_back(&self, lease: CheckedOutConnection) {
        let CheckedOutConnection { connection, permit, address, answered, .. } = lease;
        let pooled = IdleConnection { connection, since: Instant::now(), answered, permit };
        if self.trusting() {
            lock(&self.idle).entry(address).or_default().push(pooled);
        }
    }

    /// Closes what is kept to a worker.
    pub fn forget(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    fn drop_oldest(&self) {
        let mut all = lock(&self.idle);
        let oldest = all.iter().filter_map(|(address, idle)| Some((idle.first()?.since, *address))).min();
        if let Some(idle) = oldest.and_then(|(_, address)| all.get_mut(&address)) {
            idle.remove(0);
        }
    }

    /// Closes, for as long as the program runs, what has been idle too long to be used again.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let usable = self.worker_connections.idle_timeout.saturating_sub(IDLE_MARGIN);
            lock(&self.idle).retain(|_, idle| {
                idle.retain(|pooled| pooled.since.elapsed() < usable && pooled.connection.usable());
                !idle.is_empty()
            });
        }
    }
}
