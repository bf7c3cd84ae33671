//! Service clients that leave, with real connections: how long after a client's close an attempt of its job may still
//! begin. The term is 0.1 s, whatever the job is waiting for. What could begin it (an instance that opens, a connection
//! that comes up, a permit, an answer, a copy that is due) is timed so that it falls from 0.2 s after the close to just
//! before it; how clients close changes in turn: both directions, only the sending one, by a reset.
//!
//! `NICKELFLOW_DEPARTURES=1000` plays so many departures in each state instead of 50, and `NICKELFLOW_DEPARTURES_LOAD=32`
//! has so many threads spin beside it: four for each core leave one fifth of a core to a thread that wants to run; how
//! much it got is printed. Figures are in ms. Arrivals are taken where the stand-in reads, so that its own delays count:
//! how late a thread of the test itself woke up meanwhile at the worst is printed, and granted on top of the term.

mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use common::{config, head, job, narrow, Arrival, Discovery, Does, Program, Worker, PATIENCE};
use rstest::rstest;

/// The term.
const GONE: Duration = Duration::from_millis(100);
/// From the earliest close to what could begin an attempt, and from there to the latest.
const BEFORE: Duration = Duration::from_millis(200);
const AFTER: Duration = Duration::from_millis(20);
/// How long nothing more must arrive at the end.
const QUIET: Duration = Duration::from_millis(300);
const ROUND: usize = 50;
/// Of more silent jobs at once not each has its copy at its time.
const FEW: usize = 10;
/// One state at a time: what one does is no load for another.
static ALONE: Mutex<()> = Mutex::new(());

fn number(name: &str) -> Option<usize> {
    std::env::var(name).ok().map(|n| n.parse().unwrap_or_else(|_| panic!("{name}: a number")))
}

/// How late a thread that does nothing else wakes up at the worst.
struct Stall {
    ends: Arc<AtomicBool>,
    watcher: std::thread::JoinHandle<Duration>,
}

impl Stall {
    fn watch() -> Stall {
        let ends = Arc::<AtomicBool>::default();
        let until = ends.clone();
        let watcher = std::thread::spawn(move || {
            let (step, mut worst) = (Duration::from_millis(1), Duration::ZERO);
            while !until.load(Ordering::Relaxed) {
                let before = Instant::now();
                std::thread::sleep(step);
                worst = worst.max(before.elapsed() - step);
            }
            worst
        });
        Stall { ends, watcher }
    }

    fn worst(self) -> Duration {
        self.ends.store(true, Ordering::Relaxed);
        self.watcher.join().expect("the watcher")
    }
}

/// Some moment from 0.2 s before this one to shortly after it.
fn around(at: Instant) -> Instant {
    at - BEFORE + (BEFORE + AFTER).mul_f64(fastrand::f64())
}

/// A client whose close is a reset.
fn abrupt(address: &str) -> TcpStream {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    let stream = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_zero_linger().expect("its close");
        let stream = socket.connect(address.parse().expect("an address")).await.expect("to connect");
        stream.into_std().expect("a stream")
    });
    stream.set_nonblocking(false).expect("a stream");
    stream
}

/// What happens at some time among the leaves.
type Due<'a> = (Instant, &'a dyn Fn(&Round));

/// One run of the program, and what its log and the workers tell.
struct Round {
    discovery: Discovery,
    watch: Arc<Mutex<TcpStream>>,
    workers: Vec<Worker>,
    program: Program,
    arrivals: Receiver<Arrival>,
    clients: Vec<Option<TcpStream>>,
    half_closed: Vec<TcpStream>,
    /// Whose job is being handed in.
    submits: Option<usize>,
    /// By the jobs' numbers in the log: whose they are, when they were sent on last, when their client was missed.
    taken: HashMap<usize, usize>,
    sent: HashMap<usize, Instant>,
    gone: HashMap<usize, Instant>,
    /// By the jobs' numbers: when they were answered.
    answered: HashMap<usize, Instant>,
    closed: HashMap<String, Instant>,
}

impl Round {
    /// Starts the program and workers; `known` from the start, or told of later.
    fn start(replacements: &[(&str, &str)], listeners: Vec<TcpListener>, does: Does, known: bool) -> Round {
        let (sender, arrivals) = channel();
        let workers = listeners.into_iter().enumerate();
        let workers: Vec<_> = workers
            .map(|(n, listener)| Worker::start(&format!("w{n}"), listener, does, sender.clone()))
            .collect();
        let discovery = Discovery::default();
        let entries: Vec<_> = workers.iter().filter(|_| known).map(Worker::entry).collect();
        let program = Program::configured(&config(replacements), &discovery.address, &entries, None);
        let watch = discovery.watch();
        let (clients, half_closed, submits, taken, sent, gone, answered, closed) = Default::default();
        Round {
            discovery,
            watch,
            workers,
            program,
            arrivals,
            clients,
            half_closed,
            submits,
            taken,
            sent,
            gone,
            answered,
            closed,
        }
    }

    /// Takes note of the next line of the log.
    fn read(&mut self, within: Duration) -> bool {
        let Some((at, line)) = self.program.line(within) else { return false };
        let numbered = |word: &str| {
            let rest = line.split_once(word)?.1;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<usize>().ok()
        };
        if let Some(job) = numbered(": job accepted job=") {
            self.taken.extend(self.submits.take().map(|client| (job, client)));
        } else if let Some(job) = numbered(": sending attempt job=") {
            self.sent.insert(job, at);
        } else if let Some(job) = numbered(": client disconnected job=") {
            self.gone.insert(job, at);
        } else if let Some(job) = numbered(": answering job job=") {
            self.answered.insert(job, at);
        }
        true
    }

    /// How many jobs are over for their clients' departures: the departure was seen, or, where the check before the first
    /// byte saw it first, for each attempt that the job may have, the job was answered after its client had closed.
    fn over(&self) -> usize {
        let answered_after_close = |(job, answered): &(&usize, &Instant)| {
            let closed = self.taken.get(job).and_then(|client| self.closed.get(&Round::id(*client)));
            !self.gone.contains_key(job) && closed.is_some_and(|closed| closed <= *answered)
        };
        self.gone.len() + self.answered.iter().filter(answered_after_close).count()
    }

    fn wait(&mut self, what: &str, done: impl Fn(&Round) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !done(self) {
            let left = end.saturating_duration_since(Instant::now());
            assert!(
                self.read(left),
                "{what}: {} sent, {} gone of {}",
                self.sent.len(),
                self.gone.len(),
                self.taken.len()
            );
        }
    }

    /// A new client sends these bytes, which need not be a whole request.
    fn send(&mut self, bytes: &str) {
        let n = self.clients.len();
        let mut stream = match n % 3 {
            2 => abrupt(&self.program.address),
            _ => TcpStream::connect(&self.program.address).expect("to connect"),
        };
        stream.write_all(bytes.as_bytes()).expect("to write");
        self.clients.push(Some(stream));
    }

    /// A new client hands in a job, which the core has got when this returns.
    fn submit(&mut self, bytes: &str) {
        let before = self.taken.len();
        self.send(bytes);
        self.submits = Some(self.clients.len() - 1);
        self.wait("taken", |round| round.taken.len() > before);
    }

    /// A job that is served, whose client then rests.
    fn serve(&mut self, id: &str) {
        self.submit(&job(id, ""));
        let stream = self.clients.last_mut().and_then(Option::as_mut).expect("the client");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let mut answer = vec![0; 17];
        std::io::Read::read_exact(stream, &mut answer).expect("an answer");
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 200 OK\r\n");
    }

    fn id(n: usize) -> String {
        format!("j{n}")
    }

    /// Clients leave, each at its time; what else is due happens among them.
    fn leave(&mut self, mut leaves: Vec<(Instant, usize)>, due: Option<Due>) {
        let (mut due, clock) =
            (due, |at: Instant| std::thread::sleep(at.saturating_duration_since(Instant::now())));
        leaves.sort();
        for (at, n) in leaves {
            if let Some((when, happens)) = due.take_if(|(when, _)| *when <= at) {
                clock(when);
                happens(self);
            }
            clock(at);
            let stream = self.clients[n].take().expect("a client that has not left");
            self.closed.insert(Round::id(n), Instant::now());
            if n % 3 == 1 {
                stream.shutdown(Shutdown::Write).expect("to close");
                // It is kept, so that nothing but the end of its sending is seen.
                self.half_closed.push(stream);
            }
        }
        if let Some((when, happens)) = due {
            clock(when);
            happens(self);
        }
    }

    /// How long after its client's close each attempt came that came after it; and how long until the close was
    /// seen, by the log.
    fn end(mut self, figures: &mut Figures) {
        let quiet = Instant::now() + QUIET;
        let mut arrivals = vec![];
        while let Ok(arrival) = self.arrivals.recv_timeout(quiet.saturating_duration_since(Instant::now())) {
            arrivals.push(arrival);
        }
        while self.read(Duration::ZERO) {}
        for Arrival { id, at, .. } in arrivals {
            if let Some(late) = self.closed.get(&id).and_then(|closed| at.checked_duration_since(*closed)) {
                figures.late.push(late);
            }
        }
        for (job, at) in &self.gone {
            let client = self.taken.get(job);
            if let Some(closed) = client.and_then(|client| self.closed.get(&Round::id(*client))) {
                figures.seen.push(at.saturating_duration_since(*closed));
            }
        }
        figures.departures += self.closed.len();
        let (ran, waited) = self.program.ran();
        figures.ran += ran;
        figures.waited += waited;
    }
}

#[derive(Default)]
struct Figures {
    departures: usize,
    late: Vec<Duration>,
    seen: Vec<Duration>,
    ran: Duration,
    waited: Duration,
}

fn spread(times: &mut [Duration]) -> String {
    times.sort();
    let at = |part: f64| {
        let n = (times.len() as f64 * part).ceil() as usize;
        times.get(n.max(1) - 1).map_or("-".to_owned(), |t| format!("{:.2}", t.as_secs_f64() * 1e3))
    };
    format!("{} (min {} p50 {} p99 {} max {})", times.len(), at(0.0), at(0.5), at(0.99), at(1.0))
}

fn listeners(n: usize) -> Vec<TcpListener> {
    (0..n).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect()
}

const PATIENT: [(&str, &str); 2] = [
    ("\"tells_start\": true", "\"tells_start\": false"),
    ("\"progress_ns\": 2000000000", "\"progress_ns\": 20000000000"),
];
/// Without cancels an attempt that has not begun is held back by other means.
const SLOW_CONNECTS: [(&str, &str); 4] = [
    PATIENT[0],
    PATIENT[1],
    ("\"connect_timeout_ns\": 200000000", "\"connect_timeout_ns\": 5000000000"),
    ("\"cancel\": true", "\"cancel\": false"),
];

/// The jobs are held, for there is no instance; one opens.
fn held(n: usize, behind: &dyn Fn(usize) -> String, together: bool) -> Round {
    let mut round = Round::start(&PATIENT, listeners(1), Does::Waits, false);
    (0..n).for_each(|k| round.submit(&behind(k)));
    let opens = Instant::now() + BEFORE + AFTER;
    let at = around(opens);
    let leaves = (0..n).map(|k| (if together { at } else { around(opens) }, k)).collect();
    round.leave(
        leaves,
        Some((opens, &|round: &Round| {
            round.discovery.tell(&round.watch, &[round.workers[0].entry()]);
        })),
    );
    round.wait("gone", |round| round.over() == n);
    round
}

/// A request, with something unread behind it.
fn pipelined(n: usize) -> String {
    let (id, next) = (Round::id(n), job(&format!("next{n}"), ""));
    match n % 5 {
        0 => job(&id, "") + &next,
        1 => job(&id, "") + "POST /api HT",
        2 => job(&id, "") + "what is this\r\n\r\n",
        3 => job(&id, "") + &"x".repeat(65_537),
        _ => format!("{}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n{next}", head(&id)),
    }
}

/// The connections for the attempts do not come up, until the system tries again a second later.
fn connecting(n: usize) -> Round {
    let mut round = Round::start(&SLOW_CONNECTS, vec![narrow(128)], Does::Done, true);
    round.serve("first");
    round.workers[0].does(Does::Waits);
    round.workers[0].accepts(false);
    let (address, mut crowd) = (round.workers[0].address.parse().expect("an address"), vec![]);
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        crowd.push(stream);
    }
    (0..n).for_each(|k| round.submit(&job(&Round::id(k + 1), "")));
    round.wait("sent", |round| round.sent.len() == n + 1);
    round.workers[0].accepts(true);
    drop(crowd);
    let sent =
        round.taken.iter().filter(|(_, client)| **client > 0).map(|(job, client)| (round.sent[job], *client));
    let leaves = sent.map(|(sent, client)| (around(sent + Duration::from_secs(1)), client)).collect();
    round.leave(leaves, None);
    round.wait("gone", |round| round.gone.len() == n);
    round
}

/// All connections to instances are in use, of which 256 descriptors allow 83; they come free all at once.
fn permits(n: usize) -> Round {
    let few = [&SLOW_CONNECTS[..], &[("\"sockets\": 1024", "\"sockets\": 256")]].concat();
    let mut round = Round::start(&few, listeners(1), Does::Waits, true);
    (0..83).for_each(|k| round.submit(&job(&Round::id(k), "")));
    round.wait("sent", |round| round.sent.len() == 83);
    (83..83 + n).for_each(|k| round.submit(&job(&Round::id(k), "")));
    round.wait("sent", |round| round.sent.len() == 83 + n);
    let free = Instant::now() + BEFORE + AFTER;
    let leaves = (83..83 + n).map(|k| (around(free), k)).collect();
    round.leave(leaves, Some((free, &|round: &Round| round.workers[0].does(Does::Done))));
    round
}

/// Workers turn all away within 50 ms, so that one attempt follows another.
fn between(n: usize) -> Round {
    let turns_away = Does::TurnsAway(Duration::from_millis(50));
    let mut round = Round::start(&PATIENT, listeners(4), turns_away, true);
    (0..n).for_each(|k| round.submit(&job(&Round::id(k), "")));
    let by = Instant::now() + BEFORE;
    let leaves = (0..n).map(|k| (around(by), k)).collect();
    round.leave(leaves, None);
    round
}

/// Workers stay silent; after so long a copy goes to another.
fn copies(n: usize, due: Duration) -> Round {
    let mut round = Round::start(&[], listeners(2), Does::Waits, true);
    (0..n).for_each(|k| round.submit(&job(&Round::id(k), "")));
    round.wait("sent", |round| round.sent.len() == n);
    let sent = round.taken.iter().map(|(job, client)| (around(round.sent[job] + due), *client));
    let leaves = sent.collect();
    round.leave(leaves, None);
    round
}

/// From a job's first attempt to its copy, where nobody leaves.
fn copy_due() -> Duration {
    let mut round = Round::start(&[], listeners(2), Does::Waits, true);
    round.submit(&job("j0", ""));
    let first = round.arrivals.recv_timeout(PATIENCE).expect("an attempt");
    let second = round.arrivals.recv_timeout(PATIENCE).expect("a copy");
    assert_ne!(first.worker, second.worker);
    second.at - first.at
}

/// Half of the body has come; of every second one the rest comes too, right before the close.
fn bodies(n: usize) -> Round {
    let mut round = Round::start(&PATIENT, listeners(1), Does::Waits, true);
    let (half, start) = ("x".repeat(20_000), Instant::now());
    for k in 0..n {
        let head = head(&Round::id(k));
        round.send(&match k % 4 {
            0 | 1 => format!("{head}Content-Length: 40000\r\n\r\n{half}"),
            _ => format!("{head}Transfer-Encoding: chunked\r\n\r\n9c40\r\n{half}"),
        });
    }
    for k in 0..n {
        if k % 2 == 1 {
            let rest = if k % 4 == 1 { half.clone() } else { format!("{half}\r\n0\r\n\r\n") };
            let stream = round.clients[k].as_mut().expect("the client");
            stream.write_all(rest.as_bytes()).expect("to write");
        }
        round.leave(vec![(start, k)], None);
    }
    round
}

static COPY_DUE: OnceLock<Duration> = OnceLock::new();

fn play(state: &str, n: usize) -> Round {
    match state {
        "held" => held(n, &|k| job(&Round::id(k), ""), false),
        "pipelined" => held(n, &pipelined, false),
        "burst" => held(n, &|k| job(&Round::id(k), ""), true),
        "connecting" => connecting(n),
        "permits" => permits(n),
        "between" => between(n),
        "copies" => copies(n, *COPY_DUE.get_or_init(copy_due)),
        _ => bodies(n),
    }
}

#[rstest]
#[case("held", ROUND)]
#[case("connecting", ROUND)]
#[case("permits", 40)]
#[case("between", ROUND)]
#[case("copies", FEW)]
#[case("bodies", ROUND)]
#[case("pipelined", ROUND)]
#[case("burst", 200)]
fn no_attempt_begins_later_than_the_term_after_its_client_has_gone(
    #[case] state: &str,
    #[case] round: usize,
) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let total = number("NICKELFLOW_DEPARTURES").unwrap_or(ROUND);
    let spins = Arc::new(());
    for _ in 0..number("NICKELFLOW_DEPARTURES_LOAD").unwrap_or(0) {
        let spins = Arc::downgrade(&spins);
        std::thread::spawn(move || while spins.strong_count() > 0 {});
    }
    let (mut figures, stall) = (Figures::default(), Stall::watch());
    while figures.departures < total {
        play(state, round.min(total.max(round) - figures.departures)).end(&mut figures);
    }
    let Figures { departures, late, seen, ran, waited } = &mut figures;
    let stall = stall.worst();
    let share = ran.as_secs_f64() / (ran.as_secs_f64() + waited.as_secs_f64());
    println!(
        "{state}: {departures} departures; attempts begun after the close: {}; close seen: {}; share of a core when \
         it wanted to run: {share:.2}; own stall {:.2}",
        spread(late),
        spread(seen),
        stall.as_secs_f64() * 1e3,
    );
    let worst = late.last().copied().unwrap_or_default();
    assert!(worst <= GONE + stall, "{state}: an attempt began {worst:?} after its client had gone");
}
