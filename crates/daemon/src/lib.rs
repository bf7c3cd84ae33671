//! The dispatcher as a scheduler on real sockets: the parts round its core, and how they are joined.
#![forbid(unsafe_code)]

pub mod agreed;
pub mod config;
mod connection;
pub mod core;
pub mod counters;
pub mod discovery;
pub mod execution;
mod inlet;
mod json;
pub mod list;
mod places;
pub mod service_client;
pub mod shutdown;

use std::net::SocketAddr;
use std::sync::Arc;

use nickelflow_council::Told;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tracing::info;

use crate::config::Config;
use crate::core::{Core, Entrance, Input, Order};
use crate::counters::Shared;
use crate::discovery::{DiscoveryClient, WatchTiming};
use crate::execution::Instances;
use crate::inlet::Visit;
use crate::service_client::{Front, OpenIds};
use crate::shutdown::Shutdown;

/// Descriptors that neither clients nor instances get: the listener, the watch, the runtime's own, the
/// standard streams, and client connections that are closing while others have taken their places.
const RESERVED: usize = 48;

pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

/// Serves until the shutdown has run its course and all that was taken is answered. `told` is what schedulers agree on,
/// where they do.
pub async fn run(
    config: Config,
    discovery: watch::Receiver<SocketAddr>,
    listener: TcpListener,
    counters: Shared,
    shutdown: Shutdown,
    told: Option<watch::Receiver<Option<Told>>>,
) -> Result<(), String> {
    let (queue, inputs) = mpsc::unbounded_channel();
    let (ask, asked) = mpsc::unbounded_channel();
    let shared = config.sockets.saturating_sub(RESERVED).max(16);
    let for_instances = shared * 2 / 5;
    let instances = Instances::new(for_instances, config.links, counters.clone(), queue.clone());
    tokio::spawn(instances.clone().sweep());
    let carry_out = move |order| match order {
        Order::Execute(execute) => drop(tokio::spawn(instances.clone().execute(execute))),
        Order::Probe { instance, address } => {
            drop(tokio::spawn(instances.clone().probe(instance, address)));
        }
        Order::Watch => drop(ask.send(())),
    };
    let timing = WatchTiming {
        pushed: !config.settings.must_subscribe,
        schedulers: config.settings.dispatchers,
        grace: config.links.grace,
    };
    let rng = fastrand::Rng::with_seed(config.seed);
    let client =
        DiscoveryClient { discovery, names: config.entry_names, timing, rng, queue: queue.clone(), asked };
    tokio::spawn(client.run(config.known));
    if let Some(told) = told {
        tokio::spawn(agreed::tell(told, config.names.tenants.clone(), queue.clone()));
    }
    let ending = (shutdown.clone(), queue.clone());
    tokio::spawn(async move {
        let by = ending.0.answer_by().await;
        let _ = ending.1.send(Input::Ending { by });
    });
    let core = Core::new(config.settings, config.seed, counters.clone(), carry_out);
    let core = core.map_err(|e| format!("settings: {e}"))?;
    let core = tokio::spawn(core.run(inputs));
    let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    info!(name = config.name, listen = %address, "serving");
    let front = Front {
        names: Arc::new(config.names),
        entrance: Entrance::new(queue),
        counters,
        shutdown,
        open: OpenIds::default(),
        visit: Visit::begin(),
    };
    tokio::select! {
        () = places::serve(listener, front, shared - for_instances) => Ok(()),
        // It runs as long as the queue has senders: if it ends, the module has panicked.
        ended = core => Err(format!("the core ended: {ended:?}")),
    }
}
