//! Hollow workers: many names in one process that speak the platform's protocol, answer at once and do no work, and
//! count what each scheduler sends them. Each has an address of its own for each scheduler, for schedulers keep
//! their connections by address, and so it is known who speaks.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use nickelflow_simulator::time::Nanos;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::discovery::Instance;
use crate::http::{self, Body};
use crate::links::listen;

/// Connections that wait to be accepted by one worker, at most.
const BACKLOG: u32 = 64;
/// What a hollow worker is registered with.
pub const CORES: f64 = 4.0;
/// Workers of a rack.
const RACK: u32 = 8;

/// Messages with their bytes as the scheduler sees them, and connections that it opened for such messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    pub messages: f64,
    pub bytes_out: f64,
    pub bytes_in: f64,
    pub connections: f64,
}

impl Counts {
    pub fn since(self, earlier: Counts) -> Counts {
        Counts {
            messages: self.messages - earlier.messages,
            bytes_out: self.bytes_out - earlier.bytes_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            connections: self.connections - earlier.connections,
        }
    }
}

#[derive(Default)]
struct Counter {
    messages: AtomicU64,
    bytes_out: AtomicU64,
    bytes_in: AtomicU64,
    connections: AtomicU64,
}

impl Counter {
    fn read(&self) -> Counts {
        let figure = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
        Counts {
            messages: figure(&self.messages),
            bytes_out: figure(&self.bytes_out),
            bytes_in: figure(&self.bytes_in),
            connections: figure(&self.connections),
        }
    }
}

/// What one scheduler has sent to all workers.
#[derive(Default)]
pub struct Meter {
    probes: Counter,
    jobs: Counter,
}

impl Meter {
    pub fn probes(&self) -> Counts {
        self.probes.read()
    }

    pub fn jobs(&self) -> Counts {
        self.jobs.read()
    }
}

const NOTHING_YET: u8 = 0;
const PROBE: u8 = 1;
const JOB: u8 = 2;

/// One connection's bytes on their way to the counter of the request that they belong to.
struct Wire {
    meter: Arc<Meter>,
    kind: AtomicU8,
    /// Read and not yet known to belong to something.
    unread: AtomicU64,
}

impl Wire {
    fn counter(&self) -> Option<&Counter> {
        match self.kind.load(Ordering::Relaxed) {
            PROBE => Some(&self.meter.probes),
            JOB => Some(&self.meter.jobs),
            _ => None,
        }
    }

    /// The head of a request has been read.
    fn begin(&self, kind: u8) {
        let first = self.kind.swap(kind, Ordering::Relaxed) == NOTHING_YET;
        if let Some(counter) = self.counter() {
            counter.messages.fetch_add(1, Ordering::Relaxed);
            counter.connections.fetch_add(u64::from(first), Ordering::Relaxed);
        }
        self.whole();
    }

    /// All that has been read until now belongs to the request.
    fn whole(&self) {
        if let Some(counter) = self.counter() {
            counter.bytes_out.fetch_add(self.unread.swap(0, Ordering::Relaxed), Ordering::Relaxed);
        }
    }

    fn wrote(&self, written: &Poll<std::io::Result<usize>>) {
        if let (Poll::Ready(Ok(bytes)), Some(counter)) = (written, self.counter()) {
            counter.bytes_in.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

struct Counted {
    stream: TcpStream,
    wire: Arc<Wire>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.wire.unread.fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.wire.wrote(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// One worker, as discovery lists it.
pub struct Hollow {
    number: u32,
    name: String,
}

impl Instance for Hollow {
    fn number(&self) -> u32 {
        self.number
    }

    fn name(&self) -> &str {
        &self.name
    }

    fn rack(&self) -> u32 {
        self.number / RACK
    }

    fn zone(&self) -> u32 {
        0
    }

    fn cores(&self) -> f64 {
        CORES
    }

    fn started(&self) -> Option<Nanos> {
        None
    }
}

/// All hollow workers of a run. Dropped, they stop listening.
pub struct Fleet {
    pub workers: Vec<Arc<Hollow>>,
    /// By scheduler and worker.
    pub addresses: HashMap<(u32, u32), SocketAddr>,
    /// By scheduler.
    pub meters: Vec<Arc<Meter>>,
    _listening: JoinSet<()>,
}

impl Fleet {
    pub fn start(workers: u32, schedulers: u32) -> std::io::Result<Fleet> {
        let all = (0..workers).map(|number| Hollow { number, name: format!("w-{number:05}") });
        let workers: Vec<Arc<Hollow>> = all.map(Arc::new).collect();
        let meters: Vec<Arc<Meter>> = (0..schedulers).map(|_| Arc::default()).collect();
        let (mut addresses, mut listening) = (HashMap::new(), JoinSet::new());
        for (scheduler, meter) in (0..schedulers).zip(&meters) {
            for worker in &workers {
                let own = Ipv4Addr::new(127, 1, scheduler as u8, (worker.number % 250 + 1) as u8);
                let listener = listen(SocketAddr::from((own, 0)), BACKLOG)?;
                addresses.insert((scheduler, worker.number), listener.local_addr()?);
                listening.spawn(serve(worker.clone(), meter.clone(), listener));
            }
        }
        Ok(Fleet { workers, addresses, meters, _listening: listening })
    }
}

async fn serve(worker: Arc<Hollow>, meter: Arc<Meter>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, say: it passes.
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        let _ = stream.set_nodelay(true);
        let (meter, worker) = (meter.clone(), worker.clone());
        let wire = Arc::new(Wire { meter, kind: AtomicU8::new(NOTHING_YET), unread: AtomicU64::new(0) });
        let counted = Counted { stream, wire: wire.clone() };
        let service = service_fn(move |request| answer(worker.clone(), wire.clone(), request));
        connections.spawn(async move {
            // Its scheduler ends it.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(counted), service).await;
        });
    }
}

async fn answer(
    worker: Arc<Hollow>,
    wire: Arc<Wire>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    Ok(match (request.method(), request.uri().path()) {
        (&Method::GET, "/load") => {
            wire.begin(PROBE);
            let report = json!({"util": 0.0, "queue": 0, "x0": CORES, "x1": CORES});
            http::answer(StatusCode::OK, report.to_string())
        }
        (&Method::GET, "/healthz") => {
            wire.begin(PROBE);
            http::answer(StatusCode::OK, "")
        }
        (&Method::POST, _) => {
            wire.begin(JOB);
            let id = request.headers().get("request-id").and_then(|id| id.to_str().ok().map(str::to_owned));
            let body = http::whole(request.into_body()).await;
            wire.whole();
            match (id, body) {
                (Some(id), Some(_)) => {
                    let line = |state: &str| json!({"id": id, "from": worker.name, "state": state});
                    let mut done = line("done");
                    done["result"] = json!(format!("{}/{id}", worker.name));
                    http::answer(StatusCode::OK, format!("{}\n{done}\n", line("started")))
                }
                _ => http::answer(StatusCode::BAD_REQUEST, ""),
            }
        }
        _ => http::answer(StatusCode::NOT_FOUND, ""),
    })
}
