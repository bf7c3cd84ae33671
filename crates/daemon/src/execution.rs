//! Executions: one attempt each at an instance, over pooled connections; and probes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use nickelflow_engine::{Outcome, Report};
use tinyjson::JsonValue;
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tracing::{debug, warn};

use crate::config::Links;
use crate::connection::{Connection, Lines, Written};
use crate::core::{End, Execute, Input, Repeats, Stop, Under};
use crate::counters::Shared;
use crate::json;

/// What passes on unchanged, as the bytes that came.
pub struct Parcel {
    pub method: Method,
    pub target: PathAndQuery,
    pub request_id: HeaderValue,
    /// Further headers that go on as they came.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    pub body: Bytes,
}

/// The version of the rules that an attempt was decided under; absent where none are agreed on.
const RULES: HeaderName = HeaderName::from_static("nickelflow-rules");
/// The longest line and body read from an instance.
const LONGEST: usize = 64 << 10;
/// A probe is answered beside the queue; one that takes longer finds a stuck instance.
const PROBE: Duration = Duration::from_millis(250);
/// For how long the end of an answer is waited for, so that its connection can serve again.
const TAIL: Duration = Duration::from_secs(1);
/// A connection this near to the end of its idle time is not used again: a request that crosses the
/// instance's close ends as a reset, after which the job may have run.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// A second answer to a job may come some milliseconds after the first (the page on the trial). On a connection that has
/// carried none for so long it has shown: hyper closes one on which anything comes unasked for.
const SETTLED: Duration = Duration::from_millis(100);

struct Pooled {
    connection: Connection,
    since: Instant,
    /// When it last had the answer to a job.
    answered: Option<Instant>,
    permit: OwnedSemaphorePermit,
}

fn settled(answered: Option<Instant>) -> bool {
    answered.is_none_or(|at| at.elapsed() >= SETTLED)
}

/// For how long no kept connection is used again after one was reset under its next request.
const DISTRUST: Duration = Duration::from_secs(10);

/// The instances' side of the scheduler: its connections to all of them.
pub struct Instances {
    /// Until when kept connections are not trusted.
    distrust: Mutex<Option<Instant>>,
    pool: Mutex<HashMap<SocketAddr, Vec<Pooled>>>,
    permits: Arc<Semaphore>,
    links: Links,
    counters: Shared,
    queue: mpsc::UnboundedSender<Input<Parcel>>,
}

/// What is to be known of one attempt.
struct Attempt {
    number: (u64, u32),
    address: SocketAddr,
    until: Instant,
    stop: watch::Receiver<Stop>,
    under: Option<Under>,
    /// No byte of it is written from then on.
    by: Option<Instant>,
    repeats: Repeats,
}

/// Returns once an attempt may go no further than that.
async fn stopped(mut stop: watch::Receiver<Stop>, least: Stop) {
    // A sender that is gone can stop nothing any more.
    if stop.wait_for(|stop| *stop >= least).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// A connection in use. Dropped, it closes.
struct Lease {
    connection: Connection,
    permit: OwnedSemaphorePermit,
    address: SocketAddr,
    reused: bool,
    answered: Option<Instant>,
}

/// Which connection will do.
#[derive(Clone, Copy, PartialEq)]
enum Wanted {
    Any,
    /// A new one, or a kept one that has settled.
    Settled,
    New,
}

impl Instances {
    pub fn new(
        most: usize,
        links: Links,
        counters: Shared,
        queue: mpsc::UnboundedSender<Input<Parcel>>,
    ) -> Arc<Self> {
        let permits = Arc::new(Semaphore::new(most));
        Arc::new(Instances {
            distrust: Mutex::default(),
            pool: Mutex::default(),
            permits,
            links,
            counters,
            queue,
        })
    }

    /// Makes one attempt and reports its one end, whichever comes first of its own outcome, the module's
    /// cancel and its time running out.
    pub async fn execute(self: Arc<Self>, execute: Execute<Parcel>) {
        let Execute { job, attempt, address, until, send_by, stop, under, repeats, parcel } = execute;
        let lapses = under.as_ref().and_then(|under| under.lapses);
        let by = [send_by, lapses].into_iter().flatten().min();
        let made = Attempt { number: (job, attempt), address, until, stop: stop.clone(), under, by, repeats };
        let (end, tail) = tokio::select! {
            // An end that crosses the cancel counts: what it tells is known.
            biased;
            done = self.attempt(made, &parcel) => done,
            () = stopped(stop, Stop::Now) => (Outcome::Cancelled.into(), None),
            () = tokio::time::sleep_until(until.into()) => (Outcome::Timeout.into(), None),
        };
        let _ = self.queue.send(Input::Ended { job, attempt, end });
        if let Some((lines, lease)) = tail {
            self.finish(lines, lease).await;
        }
    }

    async fn attempt(&self, made: Attempt, parcel: &Parcel) -> (End, Option<(Lines, Lease)>) {
        let Attempt { number: (job, attempt), address, until, stop, under, by, repeats } = made;
        // What is not written by then is given up while it waits, too.
        let given_up = by.map_or(until, |by| by.min(until));
        // A kept connection may hold a late answer to what went before, and a job that must not run twice might run
        // twice for it.
        let mut wanted = if repeats == Repeats::Never { Wanted::Settled } else { Wanted::Any };
        let (lease, answer) = loop {
            // Whatever came in while a place or the connection was waited for is heeded before the first byte:
            // a cancel, the instance's leave, the client's. From here to the write nothing is waited for.
            let lease = tokio::select! {
                biased;
                () = stopped(stop.clone(), Stop::Unbegun) => Err(Outcome::NotSent),
                () = tokio::time::sleep_until(given_up.into()) => Err(Outcome::NotSent),
                lease = self.lease(address, wanted) => lease,
            };
            let mut lease = match lease {
                Ok(lease) => lease,
                Err(outcome) => return (outcome.into(), None),
            };
            // A process that stood still, or connected for long, sees here that it is too late.
            if by.is_some_and(|by| by <= Instant::now()) {
                self.give_back(lease);
                return (Outcome::NotSent.into(), None);
            }
            match lease.connection.send(parcel.request(address, until, under.as_ref()), by).await {
                Ok(answer) => break (lease, answer),
                Err(broken) if broken.written == Written::Late => {
                    debug!(%address, "not written in time");
                    return (Outcome::NotSent.into(), None);
                }
                // The instance closed it while it was idle and not a byte went out: nothing was sent yet.
                Err(broken) if lease.reused && broken.written == Written::Nothing => wanted = Wanted::New,
                Err(broken) => {
                    debug!(%address, why = %broken.why, written = ?broken.written, "connection broke");
                    let whole = broken.written == Written::Whole;
                    if lease.reused && whole {
                        self.distrust();
                    }
                    let outcome = if whole { Outcome::Reset } else { Outcome::ConnectFailed };
                    return (outcome.into(), None);
                }
            }
        };
        let (mut outcome, report) = (head_outcome(&answer), head_report(&answer));
        // A head names no job: this one may be of the job before, and proves nothing then.
        let foreign = !settled(lease.answered) && repeats != Repeats::Harmless;
        if foreign && outcome.is_some_and(Outcome::never_ran) {
            outcome = Some(Outcome::Reset);
        }
        let mut lines = Lines::new(answer.into_body(), LONGEST);
        if let Some(outcome) = outcome {
            return (End { outcome, result: None, report }, Some((lines, lease)));
        }
        loop {
            let line = match lines.next().await {
                Ok(Some(line)) if line.iter().all(u8::is_ascii_whitespace) => continue,
                Ok(Some(line)) => line,
                // Ended or broken before its last line: it may have run.
                Ok(None) | Err(_) => return (Outcome::Reset.into(), None),
            };
            match State::read(&line, parcel.request_id.as_bytes()) {
                Ok(State::Going) => {
                    let _ = self.queue.send(Input::Progress { job, attempt });
                }
                Ok(State::Ended(mut end)) => {
                    end.report = end.report.or(report);
                    return (end, Some((lines, lease)));
                }
                Err(why) => {
                    warn!(%address, why, "broken line from an instance");
                    return (Outcome::Reset.into(), None);
                }
            }
        }
    }

    /// Reads an answer to its end and keeps the connection.
    async fn finish(&self, mut lines: Lines, mut lease: Lease) {
        let tail = async {
            let mut left = 64;
            while let Ok(line) = lines.next().await {
                left -= 1;
                if line.is_none() {
                    return lease.connection.ready().await;
                } else if left == 0 {
                    return false;
                }
            }
            false
        };
        if timeout(TAIL, tail).await == Ok(true) {
            lease.answered = Some(Instant::now());
            self.give_back(lease);
        }
    }

    pub async fn probe(self: Arc<Self>, instance: u32, address: SocketAddr) {
        let (outcome, report) =
            timeout(PROBE, self.ask_load(address)).await.unwrap_or((Outcome::Timeout, None));
        if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed) {
            // It is stuck or has vanished. Back again, it resets what it had before: a job sent on one of
            // those would end as if it might have run.
            self.pool().remove(&address);
        }
        debug!(instance, ?outcome, ?report, "probed");
        let _ = self.queue.send(Input::Probed { instance, outcome, report });
    }

    async fn ask_load(&self, address: SocketAddr) -> (Outcome, Option<Report>) {
        let mut wanted = Wanted::Any;
        let (lease, answer) = loop {
            let mut lease = match self.lease(address, wanted).await {
                Ok(lease) => lease,
                Err(outcome) => return (outcome, None),
            };
            let mut request = Request::new(Full::default());
            *request.uri_mut() = Uri::from_static("/load");
            request.headers_mut().insert(HOST, host(address));
            match lease.connection.send(request, None).await {
                Ok(answer) => break (lease, answer),
                Err(broken) if lease.reused && broken.written == Written::Nothing => wanted = Wanted::New,
                Err(_) => return (Outcome::Reset, None),
            }
        };
        let (status, in_head) = (answer.status(), head_report(&answer));
        let Ok(body) = Limited::new(answer.into_body(), LONGEST).collect().await else {
            return (Outcome::Reset, None);
        };
        let mut lease = lease;
        if lease.connection.ready().await {
            self.give_back(lease);
        }
        let report = report_of(&body.to_bytes()).or(in_head);
        (if status == StatusCode::OK { Outcome::Ok } else { Outcome::Error }, report)
    }

    /// A connection to an instance, or what has become of the attempt without one.
    async fn lease(&self, address: SocketAddr, wanted: Wanted) -> Result<Lease, Outcome> {
        while let Some(pooled) = self.take(address, wanted) {
            if pooled.connection.usable() {
                self.counters.reuses.add();
                let Pooled { connection, permit, answered, .. } = pooled;
                return Ok(Lease { connection, permit, address, reused: true, answered });
            }
        }
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                // All descriptors are in use: an idle connection to some other instance gives way.
                self.drop_oldest();
                let permit = timeout(self.links.connect, self.permits.clone().acquire_owned()).await;
                // The instance has no part in that.
                permit.ok().and_then(Result::ok).ok_or(Outcome::NotSent)?
            }
        };
        self.counters.connects.add();
        let connection = Connection::open(address, self.links.connect).await.map_err(|why| {
            debug!(%address, %why, "could not connect");
            Outcome::ConnectFailed
        })?;
        Ok(Lease { connection, permit, address, reused: false, answered: None })
    }

    /// Instances that reset kept connections under the next request do so again, and nothing shows it before:
    /// each time a job may have run. A new connection costs a few milliseconds instead.
    fn distrust(&self) {
        self.counters.distrusts.add();
        let mut distrust = self.distrust.lock().unwrap_or_else(PoisonError::into_inner);
        *distrust = Some(Instant::now() + DISTRUST);
        self.pool().clear();
    }

    fn trusting(&self) -> bool {
        let distrust = self.distrust.lock().unwrap_or_else(PoisonError::into_inner);
        distrust.is_none_or(|until| until < Instant::now())
    }

    fn pool(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Pooled>>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection used last that will do: the others may then close for idleness.
    fn take(&self, address: SocketAddr, wanted: Wanted) -> Option<Pooled> {
        let will_do = |pooled: &Pooled| match wanted {
            Wanted::Any => true,
            Wanted::Settled => settled(pooled.answered),
            Wanted::New => false,
        };
        let usable = self.links.idle.saturating_sub(IDLE_MARGIN);
        let mut pool = self.pool();
        let idle = pool.get_mut(&address)?;
        let last = idle.iter().rposition(will_do)?;
        let pooled = idle.remove(last);
        (pooled.since.elapsed() < usable).then_some(pooled)
    }

    fn give_back(&self, lease: Lease) {
        let Lease { connection, permit, address, answered, .. } = lease;
        let pooled = Pooled { connection, since: Instant::now(), answered, permit };
        if !self.trusting() {
            return;
        }
        self.pool().entry(address).or_default().push(pooled);
    }

    fn drop_oldest(&self) {
        let mut pool = self.pool();
        let oldest = pool.iter().filter_map(|(address, idle)| Some((idle.first()?.since, *address))).min();
        if let Some(idle) = oldest.and_then(|(_, address)| pool.get_mut(&address)) {
            idle.remove(0);
        }
    }

    /// Closes, for as long as the program runs, what has been idle too long to be used again.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let usable = self.links.idle.saturating_sub(IDLE_MARGIN);
            self.pool().retain(|_, idle| {
                idle.retain(|pooled| pooled.since.elapsed() < usable && pooled.connection.usable());
                !idle.is_empty()
            });
        }
    }
}

/// The `Host` that stands for an address.
pub fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::try_from(address.to_string()).unwrap_or_else(|_| HeaderValue::from_static("instance"))
}

impl Parcel {
    fn request(&self, address: SocketAddr, until: Instant, under: Option<&Under>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let headers = request.headers_mut();
        headers.insert(HOST, host(address));
        headers.insert("request-id", self.request_id.clone());
        headers.extend(self.headers.iter().cloned());
        headers.extend(under.map(|under| (RULES, under.version.clone())));
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        if let Ok(left) = HeaderValue::try_from(format!("{left:.3}")) {
            headers.insert("request-timeout", left);
        }
        headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        request
    }
}

/// The outcome, where the head of the answer tells it; a stream of lines tells it later.
fn head_outcome(answer: &Response<Incoming>) -> Option<Outcome> {
    let unstarted = answer.headers().get("not-started").is_some_and(|v| v.as_bytes() == b"1");
    match answer.status().as_u16() {
        200 => None,
        503 | 504 if unstarted => Some(Outcome::Full),
        400 => Some(Outcome::Unusable),
        500 | 503 | 504 => Some(Outcome::Error),
        status => {
            warn!(status, "unexpected status from an instance");
            Some(Outcome::Error)
        }
    }
}

fn head_report(answer: &Response<Incoming>) -> Option<Report> {
    report_of(answer.headers().get("server-load")?.as_bytes())
}

/// A load report, as an object or as `name=value,name=value`.
fn report_of(bytes: &[u8]) -> Option<Report> {
    let mut report = Report::default();
    if bytes.first() == Some(&b'{') {
        fill(&mut report, &json::decode(bytes).ok()?);
        return Some(report);
    }
    let mut any = false;
    for (name, value) in std::str::from_utf8(bytes).ok()?.split(',').filter_map(|f| f.split_once('=')) {
        any = true;
        set(&mut report, name.trim(), value.trim().parse().ok());
    }
    any.then_some(report)
}

fn fill(report: &mut Report, object: &JsonValue) {
    for (name, value) in object.get::<HashMap<String, JsonValue>>().into_iter().flatten() {
        set(report, name, value.get::<f64>().copied());
    }
}

/// The settings name the fields in the simulator's words; the sockets carry the site's.
fn set(report: &mut Report, name: &str, value: Option<f64>) {
    match name {
        "x0" => report.free_slots = value,
        "x1" => report.free_memory = value,
        "q" | "queue" => report.queued = value,
        "rate" | "qps" => report.served_per_s = value,
        "fail_rate" | "eps" => report.errors_per_s = value,
        _ => {}
    }
}

/// What one line of an answer says.
enum State {
    Going,
    Ended(End),
}

impl State {
    fn read(line: &[u8], request_id: &[u8]) -> Result<State, String> {
        let value = json::decode(line)?;
        let object: &HashMap<String, JsonValue> = value.get().ok_or("not an object")?;
        let text = |name: &str| object.get(name).and_then(|v| v.get::<String>());
        if text("id").is_none_or(|id| id.as_bytes() != request_id) {
            return Err("it is not of this request".to_owned());
        }
        let mut end = match text("state").map(String::as_str) {
            Some("started" | "running") => return Ok(State::Going),
            Some("done") => {
                let result = text("result").ok_or("done without a result")?;
                let result = Some(Bytes::copy_from_slice(result.as_bytes()));
                End { outcome: Outcome::Ok, result, report: None }
            }
            Some("failed") => Outcome::Error.into(),
            Some("returned") => Outcome::Full.into(),
            Some("lost") => Outcome::Reset.into(),
            _ => return Err("no known state".to_owned()),
        };
        if let Some(load) = object.get("load") {
            fill(end.report.insert(Report::default()), load);
        }
        Ok(State::Ended(end))
    }
}
