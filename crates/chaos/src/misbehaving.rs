//! Clients that behave badly, beside those that bring the traffic: each has a connection of its own to one scheduler and
//! notes what became of it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::record::{Record, Scribe};

/// What such a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Says nothing at all, and stays.
    Silent,
    /// Stops in the middle of a head, and stays.
    HalfHead,
    /// Stops in the middle of a body, and stays.
    HalfBody,
    /// Sends what is no request.
    Rubbish,
    /// Sends a sound request, and leaves before the answer.
    Leaves,
}

impl Conduct {
    pub const ALL: [Conduct; 5] =
        [Conduct::Silent, Conduct::HalfHead, Conduct::HalfBody, Conduct::Rubbish, Conduct::Leaves];
}

/// One such client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Misbehaving {
    /// When it comes, counted from the begin of traffic.
    pub at_s: f64,
    pub scheduler: u32,
    pub conduct: Conduct,
}

/// The first class and tenant of the world, for requests that are sound.
#[derive(Clone)]
pub struct Names {
    pub class: String,
    pub tenant: Option<String>,
}

/// A client is owed an answer or a close within 3 s; it stays for so long to see it.
const STAYS: Duration = Duration::from_secs(4);
/// How long one that leaves waits for its answer first.
const LEAVES_AFTER: Duration = Duration::from_millis(30);
const WAITS: f64 = 2.0;

fn head(names: &Names, id: &str, length: usize) -> String {
    let tenant = names.tenant.as_ref().map_or(String::new(), |tenant| format!("Tenant: {tenant}\r\n"));
    format!(
        "POST /api?obj={id} HTTP/1.1\r\nHost: drill\r\nRequest-Id: {id}\r\nRequest-Class: {}\r\n{tenant}\
         Request-Timeout: {WAITS:.3}\r\nIdempotency-Key: {id}\r\nContent-Length: {length}\r\n\r\n",
        names.class
    )
}

impl Misbehaving {
    /// Plays it.
    pub async fn play(self, number: usize, address: SocketAddr, names: Names, scribe: Scribe) {
        let id = format!("m{number:07x}");
        let body = r#"{"work":20000000.0,"slots":1.0,"memory":0.1,"key":null}"#;
        let whole = head(&names, &id, body.len());
        let bytes = match self.conduct {
            Conduct::Silent => String::new(),
            Conduct::HalfHead => whole[..whole.len() / 2].to_owned(),
            Conduct::HalfBody => format!("{whole}{}", &body[..body.len() / 2]),
            Conduct::Rubbish => "\u{1}\u{2} no request\r\n\r\n".to_owned(),
            Conduct::Leaves => format!("{whole}{body}"),
        };
        let Ok(Ok(mut stream)) = timeout(STAYS, TcpStream::connect(address)).await else { return };
        let since = scribe.now();
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        if self.conduct == Conduct::Leaves {
            return self.leave(id, stream, scribe).await;
        }
        let begun = Instant::now();
        let mut space = [0; 1_024];
        let answered = timeout(STAYS, stream.read(&mut space)).await.is_ok();
        let waited = begun.elapsed().as_nanos() as u64;
        scribe.note(Record::Stayed { scheduler: self.scheduler, since, waited, answered });
    }

    async fn leave(self, id: String, mut stream: TcpStream, scribe: Scribe) {
        let deadline = scribe.now() + (WAITS * 1e9) as u64;
        let scheduler = self.scheduler;
        scribe.note(Record::Asked { id: id.clone(), scheduler, class: 0, tenant: None, deadline });
        let mut space = [0; 1_024];
        if timeout(LEAVES_AFTER, stream.read(&mut space)).await.is_err() {
            drop(stream);
            scribe.note(Record::Left { id });
        } else {
            scribe.note(Record::Forgotten { id });
        }
    }
}
