//! Stand-in discovery: the list and the watch of the platform's protocol, over the laboratory's model of a registry
//! that is late and answers calls in turn. It names each worker to each scheduler by the address of their link.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use nickelflow_simulator::discovery::{Call, Discovery as Model, Listing};
use nickelflow_simulator::record::Standing as Listed;
use nickelflow_simulator::scenario::Scenario;
use nickelflow_simulator::time::{millis, seconds, Nanos};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::http::{self, Body};
use crate::links::{self, bound, listen};
use crate::record::{Record, Scribe, Standing};
use crate::scenario::zone_name;

/// An empty line comes this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);
/// What is listed: a worker, as far as discovery knows it.
pub trait Instance: Send + Sync {
    fn number(&self) -> u32;
    fn name(&self) -> &str;
    fn rack(&self) -> u32;
    fn zone(&self) -> u32;
    fn cores(&self) -> f64;
    /// When its process started, if that is not long ago.
    fn started(&self) -> Option<Nanos>;
}

/// Pieces of a watch that wait for a slow reader, at most; one that is further behind is cut off.
const PIECES: usize = 64;

/// What those who watch look at.
#[derive(Clone, Copy)]
struct News {
    version: u64,
    /// Grows when all watches end.
    ended: u64,
}

pub struct Discovery {
    pub address: SocketAddr,
    model: Mutex<Model>,
    news: watch::Sender<News>,
    lag: Nanos,
    scribe: Scribe,
    workers: Vec<Arc<dyn Instance>>,
    /// The address of each link, by scheduler and worker.
    links: HashMap<(u32, u32), SocketAddr>,
}

impl Discovery {
    /// A service that lists all workers as ready.
    pub fn start(
        scenario: &Scenario,
        scribe: Scribe,
        workers: Vec<Arc<dyn Instance>>,
        links: HashMap<(u32, u32), SocketAddr>,
    ) -> std::io::Result<Arc<Discovery>> {
        let figures = &scenario.discovery;
        let mut model =
            Model::new(millis(figures.call_ms.0), millis(figures.lines_ms.0), millis(figures.wait_ms.0));
        for worker in &workers {
            model.begin(listing(worker.as_ref(), Listed::Ready));
        }
        let held = bound(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = held.local_addr()?;
        let (news, _) = watch::channel(News { version: model.version(), ended: 0 });
        let lag = seconds(figures.lag_s.0);
        let discovery =
            Arc::new(Discovery { address, model: Mutex::new(model), news, lag, scribe, workers, links });
        let listener = listen(address, 1024)?;
        drop(held);
        tokio::spawn(discovery.clone().serve(listener));
        Ok(discovery)
    }

    fn model(&self) -> MutexGuard<'_, Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something has become of a worker: listed after the lag.
    pub fn changed(self: &Arc<Self>, worker: &dyn Instance, standing: Listed) {
        self.model().changed(listing(worker, standing));
        let discovery = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_nanos(discovery.lag)).await;
            let (told, version) = {
                let mut model = discovery.model();
                (model.publish(), model.version())
            };
            if told {
                discovery.news.send_modify(|news| news.version = version);
            }
        });
    }

    /// Calls fail, and watches end, until it is up again.
    pub fn down(&self, down: bool) {
        self.model().down = down;
        let version = self.model().version();
        self.news.send_modify(|news| {
            news.ended += u64::from(down);
            news.version = version;
        });
    }

    /// Nothing new is listed, until it is no longer stale.
    pub fn stale(&self, stale: bool) {
        let mut model = self.model();
        if stale {
            model.stale = true;
        } else if model.thaw() {
            let version = model.version();
            drop(model);
            self.news.send_modify(|news| news.version = version);
        }
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let discovery = self.clone();
            let service = service_fn(move |request| discovery.clone().answer(request, peer));
            tokio::spawn(async move {
                // Who reads too slowly or leaves ends it.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Body>, Infallible> {
        let known = links::scheduler_at(peer).filter(|_| request.uri().path() == "/v1/servers");
        let Some(scheduler) = known.filter(|_| request.method() == Method::GET) else {
            return Ok(http::answer(StatusCode::NOT_FOUND, ""));
        };
        let query = request.uri().query().unwrap_or_default();
        let field = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let follow = field("follow") == Some("1");
        // Versions count from 1 on the wire: who asks for what changed since 0 has no list yet.
        let since = field("since").and_then(|since| since.parse::<u64>().ok()).filter(|_| follow);
        let since = since.and_then(|since| since.checked_sub(1));
        // The watch begins with the call, so that nothing falls between its first object and the next.
        let news = self.news.subscribe();
        let now = self.scribe.now();
        let call = {
            let mut model = self.model();
            let lines =
                since.and_then(|since| model.since(since)).map_or(self.workers.len(), |list| list.len());
            model.call(now, lines)
        };
        let Call::Answered(at) = call else {
            return Ok(http::answer(StatusCode::SERVICE_UNAVAILABLE, ""));
        };
        tokio::time::sleep_until(self.scribe.moment(at)).await;
        if !follow {
            let (body, _) = self.object(scheduler, None);
            return Ok(http::answer(StatusCode::OK, body));
        }
        let (sender, pieces) = mpsc::channel(PIECES);
        tokio::spawn(self.follow(scheduler, since, news, sender));
        Ok(http::streamed(pieces))
    }

    async fn follow(
        self: Arc<Self>,
        scheduler: u32,
        since: Option<u64>,
        mut news: watch::Receiver<News>,
        pieces: mpsc::Sender<Bytes>,
    ) {
        let ended = news.borrow_and_update().ended;
        let (first, mut version) = self.object(scheduler, since);
        if pieces.send(first).await.is_err() {
            return;
        }
        loop {
            let piece = tokio::select! {
                changed = news.changed() => {
                    if changed.is_err() || news.borrow_and_update().ended != ended {
                        return;
                    }
                    let (piece, now) = self.object(scheduler, Some(version));
                    version = now;
                    piece
                }
                () = tokio::time::sleep(BEAT) => Bytes::from_static(b"\n"),
                () = pieces.closed() => return,
            };
            if pieces.try_send(piece).is_err() {
                return;
            }
        }
    }

    /// One line: what changed since a version, or the whole list; and the version that it tells. Notes that the
    /// scheduler is told.
    fn object(&self, scheduler: u32, since: Option<u64>) -> (Bytes, u64) {
        let (list, snapshot, version) = {
            let model = self.model();
            let changes = since.and_then(|since| model.since(since));
            let snapshot = changes.is_none();
            (changes.unwrap_or_else(|| model.list().collect()), snapshot, model.version())
        };
        let told: Vec<u32> = list.iter().map(|entry| entry.machine).collect();
        for entry in &list {
            self.told(scheduler, entry.machine, entry.standing);
        }
        if snapshot {
            for worker in self.workers.iter().filter(|w| !told.contains(&w.number())) {
                self.told(scheduler, worker.number(), Listed::Gone);
            }
        }
        let entries: Vec<Value> = list.iter().filter_map(|entry| self.entry(scheduler, entry)).collect();
        let object = json!({"index": version + 1, "snapshot": snapshot, "endpoints": entries});
        (Bytes::from(format!("{object}\n")), version)
    }

    fn told(&self, scheduler: u32, worker: u32, standing: Listed) {
        let standing = match standing {
            Listed::Ready => Standing::Ready,
            Listed::Draining => Standing::Draining,
            Listed::Gone => Standing::Gone,
        };
        self.scribe.note(Record::Told { scheduler, worker, standing });
    }

    fn entry(&self, scheduler: u32, listing: &Listing) -> Option<Value> {
        let worker = self.workers.get(listing.machine as usize)?;
        let status = match listing.standing {
            Listed::Ready => "active",
            Listed::Draining => "leaving",
            Listed::Gone => "left",
        };
        Some(json!({
            "name": worker.name(),
            "address": self.links.get(&(scheduler, worker.number()))?.to_string(),
            "zone": zone_name(worker.zone()),
            "type": "stand-in",
            "group": worker.rack(),
            "status": status,
            "weight": worker.cores(),
            "since_ms": listing.started.map_or(0, |started| self.scribe.unix_ms(started)),
        }))
    }
}

fn listing(worker: &dyn Instance, standing: Listed) -> Listing {
    Listing { machine: worker.number(), address: worker.number(), standing, started: worker.started() }
}
