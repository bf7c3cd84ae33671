//! The name table: the list of instances as discovery tells it. It begins with what the scheduler knew at
//! its start, and is kept by a watch whenever the module asks for one.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, Request, StatusCode};
use nickelflow::{ListKind, Membership};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::connection::{Connection, Lines};
use crate::core::{Entry, Input};
use crate::json::{self, Field};

/// Discovery writes at least an empty line every 2 s. A peer that has vanished says nothing at all, so a
/// watch that has been silent for well over that is dead.
const SILENT: Duration = Duration::from_secs(5);
const CONNECT: Duration = Duration::from_secs(1);
const LONGEST_LINE: usize = 4 << 20;

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
    let address = match (field.opt("address")?, membership) {
        (Some(address), _) => {
            address.text()?.parse().map_err(|_| address.error("must be an address with a port"))?
        }
        (None, Membership::Gone) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        (None, _) => return Err(field.error("has no address")),
    };
    let since: u64 = field.opt("since_ms")?.map_or(Ok(0), |since| since.whole())?;
    Ok(Entry {
        name: field.get("name")?.text()?.to_owned(),
        address,
        zone: number("zone", &words.zones)?,
        kind: number("type", &words.kinds)?,
        cell: field.opt("group")?.map_or(Ok(0), |cell| cell.whole())?,
        membership,
        started: (since > 0).then(|| since.saturating_mul(1_000_000)),
    })
}

pub struct NameTable<P> {
    pub discovery: SocketAddr,
    pub words: Words,
    pub queue: mpsc::UnboundedSender<Input<P>>,
    /// The module's requests for a watch.
    pub asked: mpsc::UnboundedReceiver<()>,
}

impl<P> NameTable<P> {
    pub async fn run(mut self, known: List) {
        let mut index = known.index;
        self.tell(ListKind::Saved, known.entries);
        while self.asked.recv().await.is_some() {
            let why = self.follow(&mut index).await;
            warn!(why, "watch ended");
            self.tell(ListKind::Failed, vec![]);
        }
    }

    fn tell(&self, kind: ListKind, entries: Vec<Entry>) {
        let _ = self.queue.send(Input::Listed { kind, entries });
    }

    /// Watches from the given version on; returns why the watch ended.
    async fn follow(&self, index: &mut u64) -> String {
        match self.watch(index).await {
            Ok(()) => "discovery ended it".to_owned(),
            Err(why) => why,
        }
    }

    async fn watch(&self, index: &mut u64) -> Result<(), String> {
        let mut connection = Connection::open(self.discovery, CONNECT).await?;
        let request = Request::get(format!("/v1/servers?follow=1&since={index}"))
            .header(header::HOST, self.discovery.to_string())
            .body(Full::<Bytes>::default())
            .map_err(|e| e.to_string())?;
        let silent = |_| "silent for too long".to_owned();
        let answer = timeout(SILENT, connection.send(request)).await.map_err(silent)?;
        let answer = answer.map_err(|broken| broken.why.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("status {}", answer.status().as_u16()));
        }
        info!(since = index, "watching");
        let mut lines = Lines::new(answer.into_body(), LONGEST_LINE);
        while let Some(line) = timeout(SILENT, lines.next()).await.map_err(silent)?? {
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            // A broken line may have held changes: the next watch asks for all since the last good one.
            let value = json::decode(&line).map_err(|e| format!("broken line: {e}"))?;
            let list = list(&Field::root(&value), &self.words).map_err(|e| format!("broken line: {e}"))?;
            for why in &list.skipped {
                warn!(why, "entry left out");
            }
            *index = list.index;
            // Only a snapshot is complete: what a list of changes leaves out has not gone.
            let kind = if list.snapshot { ListKind::Full } else { ListKind::Changes };
            self.tell(kind, list.entries);
        }
        Ok(())
    }
}
