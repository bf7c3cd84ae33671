//! The name table: the list of instances as discovery tells it. It begins with what the scheduler knew at
//! its start, and is kept by a watch whenever the module asks for one, or discovery moves.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::{header, Request, StatusCode};
use nickelflow_engine::{ListKind, Membership};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tracing::{info, warn};

use crate::connection::{Connection, Lines, Unconnected};
use crate::core::{Entry, Input};
use crate::execution::host;
use crate::json::{self, Field};

/// Discovery writes at least an empty line this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// What a silent watch misses counts as told this long after it fell silent.
const TOLD: Duration = Duration::from_secs(6);
/// A call unanswered for this long is lost; and for this much longer for each scheduler that may have asked
/// before it. Discovery handles calls in turn, those that nobody waits for any more too: given up early and asked
/// again, each call costs it twice, and where all do so none is answered in time ever again.
const ANSWER: Duration = Duration::from_millis(1500);
const ANSWER_EACH: Duration = Duration::from_millis(100);
/// Those who lost their watches together come back spread out, by this much for each, and at most so far.
const SPREAD_EACH: Duration = Duration::from_millis(10);
const SPREAD: Duration = Duration::from_secs(1);
/// After a move of discovery what it has to tell counts as told 4 s later. The watch at the new address is
/// begun at once, and for this long it is begun again after a short pause, without the module's longer one.
const MOVING: Duration = Duration::from_secs(4);
const LONGEST_LINE: usize = 4 << 20;

/// How lists come, and the times that follow from it.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Lists are pushed to an agent beside the scheduler: what it has counts as told at once, and asking it
    /// costs nothing. Otherwise all schedulers ask one service.
    pub pushed: bool,
    /// How many may ask discovery at once.
    pub schedulers: u32,
    /// How long after a scheduler was told of it nothing must go to an instance that leaves.
    pub grace: Duration,
}

impl Pace {
    /// A watch that has been silent for this long is dead. A quarter of what is left after a missed heartbeat
    /// is for one that is late; the rest is for a new watch to be answered in.
    fn silent(&self) -> Duration {
        HEARTBEAT + (TOLD - HEARTBEAT) / 4
    }

    fn connect(&self) -> Duration {
        (self.grace / 2).clamp(Duration::from_millis(100), Duration::from_secs(1))
    }

    /// How long the head of an answer may take.
    fn answer(&self) -> Duration {
        match self.pushed {
            true => self.connect(),
            false => ANSWER.saturating_add(ANSWER_EACH.saturating_mul(self.schedulers)),
        }
    }

    /// From a watch that ended to the next one, where the module is not asked.
    fn pause(&self, rng: &mut fastrand::Rng) -> Duration {
        let least = (self.grace / 8).clamp(Duration::from_millis(20), Duration::from_millis(250));
        let others = if self.pushed { Duration::ZERO } else { SPREAD_EACH.saturating_mul(self.schedulers) };
        least + others.min(SPREAD).mul_f64(rng.f64())
    }
}

/// The names that stand in the list for the module's numbers.
#[derive(Clone)]
pub struct Words {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub struct List {
    pub index: u64,
    pub snapshot: bool,
    pub entries: Vec<Entry>,
    /// What was wrong with the entries that were left out.
    pub skipped: Vec<String>,
}

/// Reads one object of discovery's form.
pub fn list(list: &Field, words: &Words) -> Result<List, String> {
    let (mut entries, mut skipped) = (vec![], vec![]);
    for field in list.get("endpoints")?.items()? {
        match entry(&field, words) {
            Ok(entry) => entries.push(entry),
            Err(why) => skipped.push(why),
        }
    }
    let snapshot = list.opt("snapshot")?.map_or(Ok(false), |s| s.flag())?;
    let unlike = |e: &Entry| e.zone as usize == words.zones.len() && e.kind as usize == words.kinds.len();
    let named = !words.zones.is_empty() && !words.kinds.is_empty() && !entries.is_empty();
    if snapshot && named && entries.iter().all(unlike) {
        return Err(list.error("names no zone and no type of the settings: it is another deployment's"));
    }
    Ok(List { index: list.get("index")?.whole()?, snapshot, entries, skipped })
}

fn entry(field: &Field, words: &Words) -> Result<Entry, String> {
    let statuses =
        [("active", Membership::Ready), ("leaving", Membership::Draining), ("left", Membership::Gone)];
    let membership = field.get("status")?.word(&statuses)?;
    let number = |name: &str, words: &[String]| -> Result<u32, String> {
        let Some(field) = field.opt(name)? else { return Ok(0) };
        let text = field.text()?;
        // One that the settings do not name is unlike all that they do.
        Ok(words.iter().position(|word| word == text).unwrap_or(words.len()) as u32)
    };
    // Nothing new goes to one that leaves: that it does must not be missed for its address.
    let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let address = match (field.opt("address")?, membership) {
        (Some(address), membership) => match (address.text()?.parse(), membership) {
            (Ok(address), _) => address,
            (Err(_), Membership::Ready) => return Err(address.error("must be an address with a port")),
            (Err(_), _) => nowhere,
        },
        (None, Membership::Ready) => return Err(field.error("has no address")),
        (None, _) => nowhere,
    };
    let since: u64 = field.opt("since_ms")?.map_or(Ok(0), |since| since.whole())?;
    Ok(Entry {
        name: field.get("name")?.text()?.to_owned(),
        address,
        zone: number("zone", &words.zones)?,
        kind: number("type", &words.kinds)?,
        cell: field.opt("group")?.map_or(Ok(0), |cell| cell.whole())?,
        membership,
        weight: field.opt("weight")?.map_or(Ok(1.0), |weight| weight.number())?,
        started: (since > 0).then(|| since.saturating_mul(1_000_000)),
    })
}

pub struct NameTable<P> {
    /// Where discovery is, and whether it has moved.
    pub discovery: watch::Receiver<SocketAddr>,
    pub words: Words,
    pub pace: Pace,
    pub rng: fastrand::Rng,
    pub queue: mpsc::UnboundedSender<Input<P>>,
    /// The module's requests for a watch; where lists are pushed it makes none.
    pub asked: mpsc::UnboundedReceiver<()>,
}

/// One object of discovery's, as its lines come: it may be indented over several.
#[derive(Default)]
struct Object {
    bytes: BytesMut,
    nesting: json::Nesting,
}

impl Object {
    /// Takes a line; the object, if it is whole with it.
    fn take(&mut self, line: &[u8]) -> Result<Option<BytesMut>, String> {
        let blank = line.iter().all(u8::is_ascii_whitespace);
        if blank && self.bytes.is_empty() {
            return Ok(None);
        }
        // Both show that the rest of this one never came; waited for, it would hide all that follows.
        let another = || line.len() > 1 && line[0] == b'{' && is_list(line);
        if blank || !self.bytes.is_empty() && another() {
            return Err("an object without its end".to_owned());
        }
        self.bytes.extend_from_slice(line);
        self.bytes.extend_from_slice(b"\n");
        if self.bytes.len() > LONGEST_LINE {
            return Err(format!("an object of more than {LONGEST_LINE} bytes"));
        }
        let closed = self.nesting.closed(line)?;
        Ok(closed.then(|| std::mem::take(self).bytes))
    }
}

fn is_list(line: &[u8]) -> bool {
    json::decode(line).is_ok_and(|value| Field::root(&value).get("endpoints").is_ok())
}

/// How a watch was lost.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    /// Nothing was heard any more, or ever: what it misses counts as told all the same.
    Silent,
    /// It had lasted, and was ended.
    Ended,
    /// It did not come about, or not for long: discovery is down, or has too many callers.
    Failed,
}

impl<P> NameTable<P> {
    pub async fn run(mut self, known: List) {
        let mut index = known.index;
        self.tell(ListKind::Saved, known.entries);
        let mut moved_at = None;
        if !self.pace.pushed && !self.call(&mut moved_at).await {
            return;
        }
        loop {
            let address = *self.discovery.borrow_and_update();
            let mut discovery = self.discovery.clone();
            let (loss, why) = tokio::select! {
                lost = self.watch(address, &mut index) => lost,
                () = moved(&mut discovery) => {
                    moved_at = Some(Instant::now());
                    continue;
                }
            };
            warn!(%address, why, "watch ended");
            // What the module asked for while the watch was on, it asks for again when it hears of the loss.
            while self.asked.try_recv().is_ok() {}
            let moving = moved_at.is_some_and(|at: Instant| at.elapsed() < MOVING);
            if self.pace.pushed || moving || loss != Loss::Failed {
                let pause = self.pace.pause(&mut self.rng);
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    () = moved(&mut discovery) => moved_at = Some(Instant::now()),
                }
            } else {
                self.tell(ListKind::Failed, vec![]);
                if !self.call(&mut moved_at).await {
                    return;
                }
            }
            if self.queue.is_closed() {
                return;
            }
        }
    }

    fn tell(&self, kind: ListKind, entries: Vec<Entry>) {
        let _ = self.queue.send(Input::Listed { kind, entries });
    }

    /// Waits until the module asks for a watch, or discovery has moved; false at the end of the core.
    async fn call(&mut self, moved_at: &mut Option<Instant>) -> bool {
        tokio::select! {
            asked = self.asked.recv() => asked.is_some(),
            () = moved(&mut self.discovery) => {
                *moved_at = Some(Instant::now());
                true
            }
        }
    }

    /// Keeps a watch, from the given version on, until it is lost.
    async fn watch(&self, address: SocketAddr, index: &mut u64) -> (Loss, String) {
        let mut connection = match Connection::open(address, self.pace.connect()).await {
            Ok(connection) => connection,
            Err(why @ Unconnected::Silent) => return (Loss::Silent, why.to_string()),
            Err(why @ Unconnected::Refused(_)) => return (Loss::Failed, why.to_string()),
        };
        let mut request = Request::new(Full::<Bytes>::default());
        match format!("/v1/servers?follow=1&since={index}").parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(e) => return (Loss::Failed, format!("request: {e}")),
        }
        request.headers_mut().insert(header::HOST, host(address));
        let answer = match timeout(self.pace.answer(), connection.send(request, None)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(broken)) => return (Loss::Failed, broken.why),
            Err(_) => return (Loss::Silent, "no answer in time".to_owned()),
        };
        if answer.status() != StatusCode::OK {
            return (Loss::Failed, format!("status {}", answer.status().as_u16()));
        }
        info!(since = index, "watching");
        let since = Instant::now();
        let ended = || if since.elapsed() < HEARTBEAT { Loss::Failed } else { Loss::Ended };
        let mut lines = Lines::new(answer.into_body(), LONGEST_LINE);
        let mut object = Object::default();
        loop {
            let line = match timeout(self.pace.silent(), lines.next()).await {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => return (ended(), "discovery ended it".to_owned()),
                Ok(Err(why)) => return (ended(), why),
                Err(_) => return (Loss::Silent, "silent for too long".to_owned()),
            };
            // A broken line may have held changes: the next watch asks for all since the last good one.
            let list = match object.take(&line).and_then(|whole| match whole {
                Some(bytes) => list(&Field::root(&json::decode(&bytes)?), &self.words).map(Some),
                None => Ok(None),
            }) {
                Ok(Some(list)) => list,
                Ok(None) => continue,
                Err(why) => return (ended(), format!("broken line: {why}")),
            };
            for why in &list.skipped {
                warn!(why, "entry left out");
            }
            *index = list.index;
            // Only a whole snapshot is complete: what else a list leaves out has not gone.
            let whole = list.snapshot && list.skipped.is_empty();
            let kind = if whole { ListKind::Full } else { ListKind::Changes };
            self.tell(kind, list.entries);
        }
    }
}

/// Returns once discovery has moved; never if nothing is left that could move it.
async fn moved(discovery: &mut watch::Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pace(pushed: bool, schedulers: u32, grace_ms: u64) -> Pace {
        Pace { pushed, schedulers, grace: Duration::from_millis(grace_ms) }
    }

    #[test]
    fn the_last_of_many_that_ask_together_waits_for_its_turn() {
        // Discovery answered 15 calls a second on the days at size, given-up ones among them.
        for schedulers in [1, 2, 30, 100, 1_000] {
            let queue = Duration::from_secs(1) * schedulers / 15;
            let answer = pace(false, schedulers, 500).answer();
            assert!(answer > queue, "{schedulers} schedulers give up before their turn");
        }
        assert!(pace(false, u32::MAX, 500).answer() > ANSWER);
    }

    #[test]
    fn a_silent_watch_is_opened_anew_before_what_it_misses_counts() {
        let mut rng = fastrand::Rng::with_seed(1);
        for grace in [0, 200, 500, 2_000, 60_000] {
            for schedulers in [1, 2, 12] {
                let pace = pace(false, schedulers, grace);
                // Even where the first new connection does not come up, and the last of all is answered last.
                let queue = Duration::from_secs(1) * schedulers / 15;
                let anew = pace.silent() + 2 * (pace.pause(&mut rng) + pace.connect()) + queue;
                assert!(anew < TOLD + pace.grace, "{schedulers} schedulers, {grace} ms: {anew:?}");
            }
        }
    }

    #[test]
    fn an_agent_is_heard_again_within_the_grace() {
        let mut rng = fastrand::Rng::with_seed(1);
        for grace in [300, 500, 700, 2_000, 60_000] {
            let pace = pace(true, 300, grace);
            // A call that it left unanswered, and the next one.
            let heard = pace.answer() + pace.pause(&mut rng);
            assert!(heard < pace.grace * 3 / 4, "{grace} ms: {heard:?}");
        }
    }
}
