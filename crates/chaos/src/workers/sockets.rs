//! A stand-in worker's sockets: connections, probes, and attempts that are told of line by line.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use nickelflow_simulator::time::{millis, seconds};
use nickelflow_simulator::worker::{AttemptId, Task, Up};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::{Note, Phase, Work, Worker, LINES};
use crate::http::{self, Body};
use crate::links::{self, listen};
use crate::record::{lock, Record};

impl Worker {
    /// Accepts for as long as the worker lives.
    pub(super) async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        held: tokio::net::TcpSocket,
        mut phase: watch::Receiver<Phase>,
    ) {
        let mut listener = Some(listener);
        loop {
            let Phase { life, listening } = *phase.borrow_and_update();
            if !listening {
                listener = None;
            } else if listener.is_none() {
                listener = listen(self.address, 1024).ok();
            }
            let accepted = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = phase.changed() => {
                    if changed.is_err() {
                        drop(held);
                        return;
                    }
                }
                accepted = accepted => {
                    if let Ok((stream, peer)) = accepted {
                        tokio::spawn(self.clone().connection(stream, peer, life));
                    }
                }
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, peer: SocketAddr, life: u64) {
        let scheduler = links::scheduler_at(peer);
        let most = self.fleet.scenario.workers.connections.0 as u32;
        let handshake = millis(self.fleet.scenario.workers.handshake_ms.0) as f64;
        let taken = self.with(|state, now, _| {
            state.model.connections += 1;
            state.model.burden(now, handshake);
            state.model.connections <= most
        });
        if taken {
            let twin = stream.into_std().and_then(|stream| Ok((stream.try_clone()?, stream)));
            let opened = twin.and_then(|(twin, stream)| Ok((twin, TcpStream::from_std(stream)?)));
            if let Ok((twin, stream)) = opened {
                let _ = stream.set_nodelay(true);
                let worker = self.clone();
                let service = service_fn(move |request| worker.clone().answer(request, scheduler));
                let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                let mut phase = self.phase.subscribe();
                tokio::select! {
                    _ = served => {}
                    _ = phase.wait_for(|phase| phase.life != life) => {
                        let _ = socket2::SockRef::from(&twin).set_linger(Some(std::time::Duration::ZERO));
                    }
                }
            }
        }
        let mut state = lock(&self.state);
        state.model.connections = state.model.connections.saturating_sub(1);
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        scheduler: Option<u32>,
    ) -> Result<Response<Body>, Infallible> {
        // One that hangs or is gone says nothing at all; its connection says when that is over.
        let silent = || {
            let state = lock(&self.state);
            state.model.hung || matches!(state.model.up, Up::Vanished | Up::Stopped)
        };
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/load" | "/healthz") if silent() => std::future::pending().await,
            (&Method::GET, "/load") => {
                let probe = millis(self.fleet.scenario.workers.probe_ms.0) as f64;
                let (load, slots) = self.with(|state, now, _| {
                    state.model.burden(now, probe);
                    (state.reports.back().copied().unwrap_or_default(), state.model.make.slots)
                });
                let util = 1.0 - load.free_slots / slots;
                let report = json!({"util": util, "queue": load.queued, "x0": load.free_slots, "x1": load.free_memory});
                http::answer(StatusCode::OK, report.to_string())
            }
            (&Method::GET, "/healthz") => http::answer(StatusCode::OK, ""),
            (&Method::POST, _) => self.job(request, scheduler).await,
            _ => http::answer(StatusCode::NOT_FOUND, ""),
        })
    }

    /// An attempt: taken or turned away, then told of line by line.
    async fn job(self: Arc<Self>, request: Request<Incoming>, scheduler: Option<u32>) -> Response<Body> {
        let header = |name: &str| Some(request.headers().get(name)?.to_str().ok()?.to_owned());
        let Some(id) = header("request-id") else { return http::answer(StatusCode::NOT_FOUND, "") };
        let version = header("nickelflow-rules");
        let timeout = header("request-timeout").and_then(|told| told.parse().ok()).map(seconds);
        let work = match http::whole(request.into_body()).await {
            Some(body) => serde_json::from_slice::<Work>(&body).ok(),
            // It broke before its last byte: nothing has come.
            None => return http::answer(StatusCode::BAD_REQUEST, ""),
        };
        let Some(Work { work, slots, memory, key }) = work else {
            return http::answer(StatusCode::BAD_REQUEST, "");
        };
        let run = self.fleet.runs.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let attempt = AttemptId { job: run, attempt: 0 };
        let (sender, notes) = mpsc::unbounded_channel();
        let scribe = self.fleet.scribe.clone();
        let (taken, fell) = self.with(|state, now, effects| {
            state.told.insert(attempt, sender);
            let (gone, warm) = (state.model.up == Up::Vanished, state.model.warmth(now) >= 1.0);
            let pressed = if warm || gone {
                0.0
            } else {
                let rules = &self.fleet.scenario.rules;
                let (multiple, window) = (rules.fall_multiple.0, seconds(rules.fall_s.0));
                state.pressure.add(now, work * slots, state.model.capacity(now), multiple, window)
            };
            let taken = state.model.offer(now, Task { id: attempt, work, slots, memory, key }, effects);
            // Under the model's lock, so that its start cannot stand before it in the record.
            let (scheduler, worker) = (scheduler.unwrap_or(u32::MAX), self.number);
            let (taken, work) = (taken || gone, work * slots);
            scribe.note(Record::Reached {
                id: id.clone(),
                run,
                scheduler,
                worker,
                taken,
                work,
                version,
                timeout,
            });
            (taken, pressed > 1.0)
        });
        if fell {
            scribe.note(Record::Fell { worker: self.number });
            self.crash();
        }
        if !taken {
            if lock(&self.state).model.hung {
                return std::future::pending().await;
            }
            lock(&self.state).told.remove(&attempt);
            let mut away = http::answer(StatusCode::SERVICE_UNAVAILABLE, "");
            away.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
            return away;
        }
        let (lines, pieces) = mpsc::channel(LINES);
        tokio::spawn(self.tell(id, attempt, notes, lines));
        http::streamed(pieces)
    }

    /// Tells of an attempt until it has ended or nobody listens.
    async fn tell(
        self: Arc<Self>,
        id: String,
        attempt: AttemptId,
        mut notes: mpsc::UnboundedReceiver<Note>,
        lines: mpsc::Sender<Bytes>,
    ) {
        let gap =
            std::time::Duration::from_nanos(millis(self.fleet.scenario.workers.progress_ms.0).max(1_000_000));
        let mut progress = tokio::time::interval_at(tokio::time::Instant::now() + gap, gap);
        let (say_start, say_progress) = {
            let workers = &self.fleet.scenario.workers;
            (workers.tells_start, workers.progress_ms.0 > 0.0)
        };
        let line = |mut object: serde_json::Value| {
            object["id"] = json!(id);
            object["from"] = json!(self.name);
            Bytes::from(format!("{object}\n"))
        };
        loop {
            let said = tokio::select! {
                note = notes.recv() => match note {
                    Some(Note::Started) if say_start => Some(json!({"state": "started"})),
                    Some(Note::Started) => None,
                    Some(Note::Done(result)) => {
                        let _ = lines.send(line(json!({"state": "done", "result": result}))).await;
                        return;
                    }
                    Some(Note::HandedBack) => {
                        self.fleet.scribe.note(Record::HandedBack { run: attempt.job });
                        let _ = lines.send(line(json!({"state": "returned"}))).await;
                        return;
                    }
                    // Its process has ended.
                    None => {
                        let _ = lines.send(line(json!({"state": "lost"}))).await;
                        return;
                    }
                },
                () = lines.closed() => {
                    self.give_up(attempt);
                    return;
                }
                _ = progress.tick(), if say_progress => {
                    let state = lock(&self.state);
                    let stands = state.model.stands(self.fleet.scribe.now());
                    let share = state.model.share(attempt).filter(|_| !stands);
                    share.map(|share| json!({"state": "running", "share": share}))
                }
            };
            if let Some(said) = said {
                if lines.send(line(said)).await.is_err() {
                    self.give_up(attempt);
                    return;
                }
            }
        }
    }

    /// Nobody waits for an attempt any more.
    fn give_up(self: &Arc<Self>, id: AttemptId) {
        self.with(|state, now, effects| {
            state.told.remove(&id);
            // `None` is one that runs on, or has ended.
            if state.model.cancel(now, id, effects).is_some() {
                lock(&self.fleet.archive).forget(id);
                self.fleet.scribe.note(Record::Dropped { run: id.job });
            }
        });
    }
}
