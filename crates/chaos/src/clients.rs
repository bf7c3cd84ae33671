//! Stand-in clients: arrivals come when they come, whatever becomes of earlier ones; connections are kept; refused
//! requests come again, when they are told if they heed that. Latency counts from the intended time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use nickelflow_input_memory::read_body;
use nickelflow_simulator::random::{self, Random};
use nickelflow_simulator::scenario::Scenario;
use nickelflow_simulator::stats::{Fate, Settled, Stats};
use nickelflow_simulator::time::{millis, seconds, Nanos};
use nickelflow_simulator::traffic::{Arrival, Traffic};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::record::{lock, Record, Scribe};
use crate::workers::Work;

/// Requests that are open at once, at most: what comes beyond is not asked and counts as failed.
const OPEN: usize = 8_192;
/// A client waits for so much longer than it told, for an answer that is just in time.
const GRACE: Duration = Duration::from_millis(100);
/// Connections kept for each scheduler, at most.
const KEPT: usize = 256;
/// The longest answer that is read.
const LONGEST: usize = 64 << 10;

/// What the front knows of the schedulers: where each is reached, and whether it takes clients there.
pub struct Front {
    schedulers: Mutex<Vec<(SocketAddr, bool)>>,
}

impl Front {
    /// A front that sends clients to none yet.
    pub fn new(addresses: Vec<SocketAddr>) -> Arc<Front> {
        Arc::new(Front { schedulers: Mutex::new(addresses.into_iter().map(|a| (a, false)).collect()) })
    }

    fn schedulers(&self) -> MutexGuard<'_, Vec<(SocketAddr, bool)>> {
        self.schedulers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn admit(&self, scheduler: u32, admitted: bool) {
        if let Some(entry) = self.schedulers().get_mut(scheduler as usize) {
            entry.1 = admitted;
        }
    }

    /// The scheduler for a ticket from 0 to 1.
    fn pick(&self, ticket: f64) -> Option<(u32, SocketAddr)> {
        let schedulers = self.schedulers();
        let admitted: Vec<usize> = (0..schedulers.len()).filter(|n| schedulers[*n].1).collect();
        let index = *admitted.get((ticket * admitted.len() as f64) as usize)?;
        Some((index as u32, schedulers[index].0))
    }
}

type Sender = SendRequest<Full<Bytes>>;

struct Shared {
    scenario: Scenario,
    scribe: Scribe,
    front: Arc<Front>,
    kept: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
    stats: Mutex<Stats>,
}

/// Plays a scenario's traffic from now on, until the last request is settled.
pub async fn play(
    scenario: &Scenario,
    seed: u64,
    scribe: Scribe,
    front: Arc<Front>,
) -> Result<Stats, String> {
    let begin = scribe.now();
    let traffic = Traffic::new(scenario, seed)?;
    let stats =
        Stats::new(seconds(scenario.warmup_s.0), seconds(scenario.duration_s.0), scenario.tenants.len());
    let shared = Arc::new(Shared {
        scenario: scenario.clone(),
        scribe: scribe.clone(),
        front,
        kept: Mutex::default(),
        stats: Mutex::new(stats),
    });
    let places = Arc::new(Semaphore::new(OPEN));
    let mut requests = JoinSet::new();
    for (number, arrival) in traffic.enumerate() {
        tokio::time::sleep_until(scribe.moment(begin + arrival.at)).await;
        while requests.try_join_next().is_some() {}
        let Ok(place) = places.clone().try_acquire_owned() else {
            shared.settle(&arrival, arrival.at, Fate::Failed);
            continue;
        };
        let shared = shared.clone();
        let random = random::stream(seed, random::Concern::Clients, number as u64);
        requests.spawn(async move {
            shared.request(number as u64, arrival, begin, random).await;
            drop(place);
        });
    }
    // Each client gives up in time, so that this ends.
    while requests.join_next().await.is_some() {}
    let shared = Arc::into_inner(shared).ok_or("a client is left")?;
    Ok(shared.stats.into_inner().unwrap_or_else(PoisonError::into_inner))
}

/// How one try ended.
enum Tried {
    Served,
    /// It may come again, after so long if that is told.
    Refused(Option<f64>),
    Failed,
    Unreached,
}

impl Shared {
    /// One client's request with its retries.
    async fn request(&self, number: u64, arrival: Arrival, begin: Nanos, mut random: Random) {
        let clients = &self.scenario.clients;
        let class = &self.scenario.classes[arrival.class as usize];
        let deadline = begin + arrival.at + millis(class.deadline_ms.0);
        let (mut ticket, mut tries, mut fate) = (arrival.client, 0u32, Fate::Failed);
        while self.scribe.now() < deadline {
            let id = format!("{number:08x}{tries:02x}");
            let tried = match self.front.pick(ticket) {
                Some((scheduler, address)) => {
                    self.attempt(&id, scheduler, address, &arrival, deadline, tries).await
                }
                None => Tried::Unreached,
            };
            let (told, wanted) = match tried {
                Tried::Served => {
                    let wanted = millis(class.aim_ms.0) as f64 + class.stretch.0 * arrival.work;
                    let took = (self.scribe.now() - begin).saturating_sub(arrival.at);
                    fate = if took as f64 <= wanted { Fate::InTime } else { Fate::Late };
                    break;
                }
                Tried::Refused(after) => (after.filter(|_| arrival.honours), Fate::Refused),
                Tried::Unreached => (None, Fate::Failed),
                Tried::Failed => (None, Fate::Failed),
            };
            fate = wanted;
            let again = matches!(tried, Tried::Refused(_) | Tried::Unreached);
            if !again || f64::from(tries) >= clients.retries.0 {
                break;
            }
            let own = random::between(&mut random, clients.backoff_ms.both()) * f64::from(1 << tries.min(6));
            let told = told.map(|s| (s * 1e3).min(clients.max_retry_after_ms.0));
            tokio::time::sleep(Duration::from_nanos(millis(told.unwrap_or(own)))).await;
            ticket = random::unit(&mut random);
            tries += 1;
        }
        self.settle(&arrival, self.scribe.now() - begin, fate);
    }

    fn settle(&self, arrival: &Arrival, at: Nanos, fate: Fate) {
        let worth = if arrival.over { self.scenario.rules.over_share.0 } else { 1.0 };
        lock(&self.stats).settle(Settled {
            asked: arrival.at,
            at: at.max(arrival.at),
            tenant: arrival.tenant,
            work: arrival.work * arrival.slots,
            worth,
            within: !arrival.over,
            fate,
        });
    }

    /// One try at one scheduler: twice where a kept connection ends before a byte comes.
    async fn attempt(
        &self,
        id: &str,
        scheduler: u32,
        address: SocketAddr,
        arrival: &Arrival,
        deadline: Nanos,
        tries: u32,
    ) -> Tried {
        let give_up = self.scribe.moment(deadline) + GRACE;
        for fresh in [false, true] {
            // Each request that a client sends has an id of its own (protocol page).
            let id = &if fresh { format!("{id}f") } else { id.to_owned() };
            let (mut sender, kept) = match self.connection(scheduler, address, give_up, fresh).await {
                Some(connection) => connection,
                None => return Tried::Unreached,
            };
            let request = self.build(id, address, arrival, give_up, tries);
            let class = arrival.class;
            let tenant = self.scenario.tenants.get(arrival.tenant as usize).map(|tenant| tenant.name.clone());
            self.scribe.note(Record::Asked { id: id.to_owned(), scheduler, class, tenant, deadline });
            let answered = async {
                let answer = sender.send_request(request).await?;
                let (status, after) = (answer.status().as_u16(), retry_after(&answer));
                let body = read_body(answer.into_body(), LONGEST).await;
                Ok::<_, hyper::Error>((status, after, body.ok()))
            };
            match tokio::time::timeout_at(give_up, answered).await {
                Err(_) => {
                    self.scribe.note(Record::Left { id: id.to_owned() });
                    return Tried::Failed;
                }
                Ok(Ok((status, after, Some(body)))) => {
                    let served = status == 200;
                    let result = served.then(|| String::from_utf8_lossy(&body).into_owned());
                    self.scribe.note(Record::Answered { id: id.to_owned(), status, result });
                    if sender.ready().await.is_ok() {
                        let mut kept = lock(&self.kept);
                        let kept = kept.entry(address).or_default();
                        if kept.len() < KEPT {
                            kept.push(sender);
                        }
                    }
                    return match status {
                        200 => Tried::Served,
                        429 | 503 => Tried::Refused(after),
                        _ => Tried::Failed,
                    };
                }
                Ok(Ok((_, _, None))) => {
                    self.scribe.note(Record::Broken { id: id.to_owned(), crossed: false });
                    return Tried::Failed;
                }
                Ok(Err(_)) => {
                    self.scribe.note(Record::Broken { id: id.to_owned(), crossed: kept });
                    if !kept {
                        return Tried::Failed;
                    }
                }
            }
        }
        Tried::Failed
    }

    /// A connection, and whether it is a kept one.
    async fn connection(
        &self,
        scheduler: u32,
        address: SocketAddr,
        give_up: Instant,
        fresh: bool,
    ) -> Option<(Sender, bool)> {
        while let Some(sender) =
            if fresh { None } else { lock(&self.kept).get_mut(&address).and_then(Vec::pop) }
        {
            if sender.is_ready() {
                return Some((sender, true));
            }
        }
        let opened = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            handshake(TokioIo::new(stream)).await.ok()
        };
        let (sender, connection) = tokio::time::timeout_at(give_up, opened).await.ok()??;
        let scribe = self.scribe.clone();
        tokio::spawn(async move {
            // hyper tells of an answer without a request only in words.
            let ended = connection.await;
            if ended.is_err_and(|e| e.to_string().contains("unexpected message")) {
                scribe.note(Record::Unasked { scheduler });
            }
        });
        Some((sender, false))
    }

    fn build(
        &self,
        id: &str,
        address: SocketAddr,
        arrival: &Arrival,
        give_up: Instant,
        tries: u32,
    ) -> Request<Full<Bytes>> {
        let class = &self.scenario.classes[arrival.class as usize];
        let Arrival { work, slots, memory, key, .. } = *arrival;
        let body = serde_json::to_vec(&Work { work, slots, memory, key }).unwrap_or_default();
        let target = key.map_or("/api".to_owned(), |key| format!("/api?obj={key:016x}"));
        let left = (give_up - GRACE).saturating_duration_since(Instant::now()).as_secs_f64();
        let mut request = Request::post(target)
            .header("host", address.to_string())
            .header("request-id", id)
            .header("request-class", &class.name)
            .header("request-timeout", format!("{left:.3}"))
            .header("request-info", format!("slots={slots},memory={memory:.3}"));
        if let Some(tenant) = self.scenario.tenants.get(arrival.tenant as usize) {
            request = request.header("tenant", &tenant.name);
        }
        if class.keyed {
            request = request.header("idempotency-key", &id[..8]);
        }
        if tries > 0 && self.scenario.clients.marks_retry {
            request = request.header("client-retry", "1");
        }
        request.body(Full::from(body)).unwrap_or_default()
    }
}

fn retry_after<B>(answer: &hyper::Response<B>) -> Option<f64> {
    let after = answer.headers().get("retry-after")?.to_str().ok()?.parse::<f64>().ok()?;
    (after.is_finite() && after >= 0.0).then_some(after)
}
