//! The program as a child process, and stand-ins for workers and discovery on loopback.
#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Only so that a broken program fails the test instead of hanging it.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// By so much the results of jobs whose ids begin with `large` are longer.
pub const LARGE: usize = 60_000;

/// Whether the text is like the pattern, in which `*` stands for anything.
pub fn like(pattern: &str, text: &str) -> bool {
    match pattern.split_once('*') {
        None => pattern == text,
        Some((start, rest)) => text.strip_prefix(start).is_some_and(|text| {
            let mut ends = (0..=text.len()).filter(|n| text.is_char_boundary(*n));
            ends.any(|n| like(rest, &text[n..]))
        }),
    }
}

/// A listener whose queue takes so many connections and one, until they are accepted.
pub fn narrow(backlog: u32) -> TcpListener {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    let _inside = runtime.enter();
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let listener = socket.listen(backlog).expect("to listen").into_std().expect("a listener");
    listener.set_nonblocking(false).expect("a listener");
    listener
}

/// Accepts within the patience: a connection that never comes fails the test.
pub fn accept(listener: &TcpListener, who: &str) -> TcpStream {
    listener.set_nonblocking(true).expect("a listener");
    let end = Instant::now() + PATIENCE;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a stream");
                return stream;
            }
            Err(_) if Instant::now() < end => std::thread::sleep(Duration::from_millis(2)),
            Err(e) => panic!("{who}: no connection came: {e}"),
        }
    }
}

/// An active instance of the list, in discovery's form.
pub fn entry(name: &str, address: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"langnau","type":"w5","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// The tests' config with replacements `(OLD, NEW)`.
pub fn config(replacements: &[(&str, &str)]) -> String {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/config.json");
    let mut config = std::fs::read_to_string(path).expect("the config");
    for (old, new) in replacements {
        assert!(config.contains(old), "the config has no {old:?}");
        config = config.replace(old, new);
    }
    config
}

/// The library that makes system calls fail. Built here, for `cargo test` builds no shared libraries: into a folder of its
/// own, where no stale one of another build lies.
pub fn fault_shim() -> PathBuf {
    static SHIM: std::sync::OnceLock<PathBuf> = std::sync::OnceLock::new();
    let build = || {
        let own = std::env::current_exe().expect("this test's own path");
        let profile = own.parent().and_then(std::path::Path::parent).expect("the folder of the build");
        let target = profile.parent().expect("the target folder").join("faultshim");
        let built = Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--locked", "--package", "nickelflow-faultshim"])
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
            .env("CARGO_TARGET_DIR", &target)
            .status();
        assert!(built.expect("cargo runs").success(), "the fault shim can be built");
        target.join("debug/libnickelflow_faultshim.so")
    };
    SHIM.get_or_init(build).clone()
}

/// The program, run until it is dropped.
pub struct Program {
    pub child: Child,
    /// The lines of its log, with when they came.
    lines: Receiver<(Instant, String)>,
    /// What it logged before it listened.
    before: Vec<String>,
    /// The line by which it listens or ends, and the address in it.
    pub first: String,
    pub address: String,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    /// Starts it on a config file; `descriptors` is its own limit of the system's, where it differs.
    pub fn start(file: &std::path::Path, descriptors: Option<u32>) -> Program {
        Program::start_with(file, descriptors, None)
    }

    /// The same, with system calls that fail by a plan of the fault shim.
    pub fn start_with(file: &std::path::Path, descriptors: Option<u32>, faults: Option<&str>) -> Program {
        let program = env!("CARGO_BIN_EXE_nickelflow");
        let mut command = match descriptors {
            None => Command::new(program),
            Some(most) => {
                let mut command = Command::new("/bin/sh");
                command.args(["-c", &format!("ulimit -n {most}; exec \"$0\""), program]);
                command
            }
        };
        command.env_clear();
        if let Some(plan) = faults {
            command.env("LD_PRELOAD", fault_shim()).env("NICKELFLOW_FAULTS", plan);
        }
        let mut child = command
            .env("RELAY_CONFIG", file)
            // What has been decided is an event to wait for.
            .env("NICKELFLOW_LOG", "info,nickelflow_daemon::scheduler_loop=debug")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, lines) = channel();
        let log = BufReader::new(child.stderr.take().expect("its log"));
        std::thread::spawn(move || {
            let mut lines = log.lines().map_while(Result::ok);
            lines.try_for_each(|line| sender.send((Instant::now(), line)))
        });
        let mut before = vec![];
        let first = loop {
            let (_, line) = lines.recv_timeout(PATIENCE).expect("a line by which it listens or ends");
            if line.contains("listen=") || line.contains(" ERROR ") {
                break line;
            }
            before.push(line);
        };
        let address = first.rsplit("listen=").next().unwrap_or_default().to_owned();
        Program { child, lines, before, first, address }
    }

    /// Starts it on a config that stands in no file yet, told of a discovery and of instances.
    pub fn configured(config: &str, discovery: &str, known: &[String], descriptors: Option<u32>) -> Program {
        let config = config.replace("@discovery", discovery).replace("@known", &known.join(","));
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file: PathBuf =
            std::env::temp_dir().join(format!("nickelflow-{}-{number}.json", std::process::id()));
        std::fs::write(&file, config).expect("a config file");
        let program = Program::start(&file, descriptors);
        let _ = std::fs::remove_file(&file);
        assert!(program.first.contains("listen="), "{}", program.first);
        program
    }

    /// Waits for a line like this one; gives when it came, and the line.
    pub fn logs(&self, pattern: &str) -> (Instant, String) {
        if let Some(line) = self.before.iter().chain([&self.first]).find(|line| like(pattern, line)) {
            return (Instant::now(), line.clone());
        }
        let mut seen = vec![];
        let end = Instant::now() + PATIENCE;
        while let Ok((at, line)) = self.lines.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if like(pattern, &line) {
                return (at, line);
            }
            seen.push(line);
        }
        panic!("no line like {pattern:?} in {seen:#?}");
    }

    /// The next line of its log within a time.
    pub fn line(&self, within: Duration) -> Option<(Instant, String)> {
        self.lines.recv_timeout(within).ok()
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// Its counters, as it prints them when asked.
    pub fn counters(&self) -> HashMap<String, u64> {
        self.signal("-USR1");
        let (_, line) = self.logs("*counters: *");
        let (_, figures) = line.split_once("counters: ").expect("counters");
        let figures = figures.split(' ').filter_map(|figure| figure.split_once('='));
        figures.map(|(name, n)| (name.to_owned(), n.parse().expect("a number"))).collect()
    }

    fn proc(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).expect("its /proc")
    }

    /// The memory that it has in use (KiB).
    pub fn resident(&self) -> u64 {
        let status = self.proc("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS");
        line.trim().trim_end_matches(" kB").parse().expect("KiB")
    }

    /// The most memory that it has had in use (KiB).
    pub fn peak(&self) -> u64 {
        let status = self.proc("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("VmHWM");
        line.trim().trim_end_matches(" kB").parse().expect("KiB")
    }

    /// How long it has run on a processor, and how long it has waited for one.
    pub fn ran(&self) -> (Duration, Duration) {
        let figures = self.proc("schedstat");
        let mut figures = figures.split_whitespace().map(|n| Duration::from_nanos(n.parse().expect("ns")));
        (figures.next().expect("its run time"), figures.next().expect("its waits"))
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }
}

/// A head, and what of the body `content-length` announces; `None` at the end of the connection. With it, when its
/// first byte came.
pub fn request(stream: &mut impl Read) -> Option<(Instant, String)> {
    let (mut bytes, mut first) = (vec![], None);
    let mut space = [0; 16 << 10];
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some(head) = text.find("\r\n\r\n") {
            let lines = text[..head].lines();
            let length = lines.filter_map(|line| line.strip_prefix("content-length: ")).next();
            if text.len() >= head + 4 + length.map_or(0, |n| n.parse().expect("a length")) {
                return Some((first?, text.into_owned()));
            }
        }
        let n = stream.read(&mut space).ok().filter(|n| *n > 0)?;
        first.get_or_insert_with(Instant::now);
        bytes.extend_from_slice(&space[..n]);
    }
}

/// The value of a header in a message.
pub fn header<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    message.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// What a stand-in does with a job.
#[derive(Clone, Copy, PartialEq)]
pub enum Does {
    Done,
    /// Nothing, until it does something else.
    Waits,
    /// Turns it away unstarted, after a while of up to so long.
    TurnsAway(Duration),
}

/// One request at a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub worker: String,
    pub at: Instant,
    /// The deadline that it told.
    pub timeout: Option<Duration>,
}

/// So many connections a worker has at once; whoever accepts one reads it, so that no other thread has to wake up.
const THREADS: usize = 256;

/// A worker that serves probes, and notes when each job's first byte came.
pub struct Worker {
    pub name: String,
    pub address: String,
    does: Arc<(Mutex<Does>, Condvar)>,
    accepts: Arc<(Mutex<bool>, Condvar)>,
    ends: Arc<AtomicBool>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        self.does(Does::Done);
        self.accepts(true);
        for _ in 0..THREADS {
            let _ = TcpStream::connect(&self.address);
        }
    }
}

impl Worker {
    pub fn start(name: &str, listener: TcpListener, does: Does, arrivals: Sender<Arrival>) -> Worker {
        let address = listener.local_addr().expect("its address").to_string();
        let worker = Worker {
            name: name.to_owned(),
            address,
            does: Arc::new((Mutex::new(does), Condvar::new())),
            accepts: Arc::new((Mutex::new(true), Condvar::new())),
            ends: Arc::default(),
        };
        let listener = Arc::new(listener);
        for _ in 0..THREADS {
            let (name, does, accepts) = (worker.name.clone(), worker.does.clone(), worker.accepts.clone());
            let (ends, listener, arrivals) = (worker.ends.clone(), listener.clone(), arrivals.clone());
            std::thread::spawn(move || {
                while !ends.load(Ordering::Relaxed) {
                    drop(accepts.1.wait_while(accepts.0.lock().expect("a flag"), |accepts| !*accepts));
                    let Ok((stream, _)) = listener.accept() else { return };
                    serve(&name, stream, &does, &arrivals);
                }
            });
        }
        worker
    }

    pub fn entry(&self) -> String {
        entry(&self.name, &self.address, "active")
    }

    pub fn does(&self, does: Does) {
        *self.does.0.lock().expect("a flag") = does;
        self.does.1.notify_all();
    }

    /// Whether it takes new connections out of the queue; those that it waits for already it still takes.
    pub fn accepts(&self, accepts: bool) {
        *self.accepts.0.lock().expect("a flag") = accepts;
        self.accepts.1.notify_all();
    }
}

fn serve(name: &str, mut stream: TcpStream, does: &(Mutex<Does>, Condvar), arrivals: &Sender<Arrival>) {
    let _ = stream.set_nodelay(true);
    while let Some((at, request)) = request(&mut stream) {
        let Some(id) = header(&request, "request-id") else {
            let load = "busy=0.1,q=0,x0=100000,x1=100000.0";
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{load}", load.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        };
        let timeout = header(&request, "request-timeout").and_then(|told| told.parse().ok());
        let timeout = timeout.map(Duration::from_secs_f64);
        let _ = arrivals.send(Arrival { id: id.to_owned(), worker: name.to_owned(), at, timeout });
        let now = does.1.wait_while(does.0.lock().expect("a flag"), |does| *does == Does::Waits);
        let now = *now.expect("a flag");
        let answer = match now {
            Does::TurnsAway(within) => {
                std::thread::sleep(within.mul_f64(fastrand::f64()));
                "HTTP/1.1 503 Service Unavailable\r\nnot-started: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
                    .to_owned()
            }
            _ => {
                let large = if id.starts_with("large") { LARGE } else { 0 };
                let result = format!("r{id}") + &"x".repeat(large);
                let done = format!(r#"{{"id":"{id}","state":"done","result":"{result}"}}"#);
                let length = done.len();
                format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{done}")
            }
        };
        let _ = stream.write_all(answer.as_bytes());
        return;
    }
}

/// Discovery with one watch, which it keeps alive.
pub struct Discovery {
    pub listener: TcpListener,
    pub address: String,
    index: Mutex<u64>,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery::of(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }
}

impl Discovery {
    pub fn of(listener: TcpListener) -> Discovery {
        let address = listener.local_addr().expect("its address").to_string();
        Discovery { listener, address, index: Mutex::new(42) }
    }

    /// Answers the next watch; calls that have been given up meanwhile are passed over.
    pub fn watch(&self) -> Arc<Mutex<TcpStream>> {
        let mut stream = loop {
            let mut stream = accept(&self.listener, "the watch");
            let (_, request) = request(&mut stream).expect("a call");
            assert!(request.starts_with("GET /v1/servers?follow=1&"), "{request}");
            stream.set_nonblocking(true).expect("a stream");
            let given_up = stream.peek(&mut [0]).is_ok();
            stream.set_nonblocking(false).expect("a stream");
            if !given_up {
                break stream;
            }
        };
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").expect("to write");
        let watch = Arc::new(Mutex::new(stream));
        let beat = Arc::downgrade(&watch);
        std::thread::spawn(move || {
            while let Some(watch) = beat.upgrade() {
                if watch.lock().expect("a watch").write_all(b"1\r\n\n\r\n").is_err() {
                    return;
                }
                drop(watch);
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        watch
    }

    /// Tells of entries that have changed.
    pub fn tell(&self, watch: &Mutex<TcpStream>, entries: &[String]) {
        let mut index = self.index.lock().expect("its index");
        *index += 1;
        let entries = entries.join(",");
        let line = format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{entries}]}}\n");
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        watch.lock().expect("a watch").write_all(chunk.as_bytes()).expect("to write");
    }
}

/// A job as a client sends it, its body whole, with what stands behind the head.
pub fn job(id: &str, body: &str) -> String {
    format!("{}Content-Length: {}\r\n\r\n{body}", head(id), body.len())
}

/// The head of a job without its framing and end.
pub fn head(id: &str) -> String {
    let fields = "Host: b\r\nRequest-Class: reading\r\nTenant: emmental\r\nRequest-Timeout: 5\r\n";
    format!("POST /api HTTP/1.1\r\n{fields}Request-Id: {id}\r\n")
}
