//! Stand-ins for clients, workers and discovery, and what all cases of the review share.
//! Only the standard library is used. Everything listens on 127.0.0.1, on free ports.

pub use std::collections::BTreeMap;
pub use std::io::{Read, Write};
pub use std::net::{SocketAddr, TcpListener, TcpStream};
pub use std::process::{Child, Command, Stdio};
pub use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
pub use std::sync::{Arc, Condvar, Mutex};
pub use std::time::{Duration, Instant};

/// What happened, in the order of its times.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
    pub fn add(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.start.elapsed(), text.into()));
    }
    /// Writes the file. Times are milliseconds since the start.
    pub fn save(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, l)| format!("{:>10.3} {l}\n", at.as_secs_f64() * 1e3)).collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("{path}: {error}");
        }
    }
}

/// How a case is run.
pub struct Run {
    /// Whether the disruption happens.
    pub trouble: bool,
    /// A temporary folder.
    pub folder: String,
    pub record_file: String,
    pub record: Record,
}

impl Run {
    pub fn from_environment() -> Run {
        let variable =
            |name: &str| std::env::var(name).unwrap_or_else(|_| cannot_run(&format!("{name} is not set")));
        Run {
            trouble: std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
            folder: variable("CASE_FOLDER"),
            record_file: variable("CASE_RECORD"),
            record: Record::new(),
        }
    }
}

/// Ends the case with status 2: it could not be run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

/// A message of HTTP/1.1 with its body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message whose body has a length. `pending` keeps what came behind it.
pub fn read_message(stream: &mut TcpStream, pending: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    let mut chunk = [0; 16 << 10];
    loop {
        if let Some(end) = pending.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&pending[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or("").to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                .collect();
            let length: usize = headers
                .iter()
                .find(|(n, _)| n.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, v)| v.parse().ok())
                .unwrap_or(0);
            if pending.len() >= end + 4 + length {
                let body = pending[end + 4..end + 4 + length].to_vec();
                pending.drain(..end + 4 + length);
                return Ok(Some(Message { first, headers, body }));
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => pending.extend_from_slice(&chunk[..n]),
        }
    }
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("no port: {e}")));
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// One line of a chunked body.
pub fn chunk(text: &str) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", text.len()).into_bytes();
    bytes.extend_from_slice(text.as_bytes());
    bytes.extend_from_slice(b"\r\n");
    bytes
}

#[derive(Default)]
struct DiscoveryState {
    index: u64,
    /// All entries by name, with the version of their last change.
    entries: BTreeMap<String, (u64, String)>,
    calls: u64,
}

/// Discovery: the list, and watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let (listener, address) = listener();
        let state: Arc<(Mutex<DiscoveryState>, Condvar)> = Arc::default();
        state.0.lock().unwrap().index = 1;
        let shared = state.clone();
        serve(listener, move |stream| {
            let _ = Discovery::watch(stream, &shared);
        });
        Discovery { address, state }
    }
    /// Sets the entry of a worker, in discovery's form, and returns the new version.
    pub fn set(&self, name: &str, entry: String) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.entries.insert(name.to_owned(), (index, entry));
        self.state.1.notify_all();
        index
    }
    fn watch(mut stream: TcpStream, state: &(Mutex<DiscoveryState>, Condvar)) -> std::io::Result<()> {
        let Some(request) = read_message(&mut stream, &mut vec![])? else { return Ok(()) };
        let follows = request.path().contains("follow=1");
        let mut guard = state.0.lock().unwrap();
        guard.calls += 1;
        let all: Vec<String> =
            guard.entries.values().map(|(_, e)| e.clone()).filter(|e| !e.contains("\"left\"")).collect();
        let mut sent = guard.index;
        let list = format!("{{\"index\":{sent},\"snapshot\":true,\"endpoints\":[{}]}}\n", all.join(","));
        drop(guard);
        if !follows {
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        stream.write_all(&chunk(&list))?;
        loop {
            let guard = state.0.lock().unwrap();
            let (guard, _) =
                state.1.wait_timeout_while(guard, Duration::from_secs(2), |s| s.index == sent).unwrap();
            let changed: Vec<String> =
                guard.entries.values().filter(|(at, _)| *at > sent).map(|(_, e)| e.clone()).collect();
            sent = guard.index;
            drop(guard);
            let line = match changed.is_empty() {
                true => "\n".to_owned(),
                false => {
                    format!("{{\"index\":{sent},\"snapshot\":false,\"endpoints\":[{}]}}\n", changed.join(","))
                }
            };
            stream.write_all(&chunk(&line))?;
        }
    }
}

/// An entry of the list.
pub fn entry(name: &str, address: SocketAddr, status: &str, group: u32, since_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"langnau\",\"type\":\"w5\",\"group\":{group},\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{since_ms}}}"
    )
}

/// Answers a job as a worker does that tells of its start, runs it for `time`, and has a result. `load` is the load
/// report of the last line, or empty.
pub fn run_job(stream: &mut TcpStream, name: &str, id: &str, time: Duration, load: impl FnOnce() -> String) {
    run_job_for(stream, name, id, time, &format!("result of {id}"), load);
}

/// The same with this result.
pub fn run_job_for(
    stream: &mut TcpStream,
    name: &str,
    id: &str,
    time: Duration,
    result: &str,
    load: impl FnOnce() -> String,
) {
    let line = |state: &str| format!("{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":{state}}}\n");
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let _ = stream.write_all(&chunk(&line("\"started\"")));
    std::thread::sleep(time);
    let load = load();
    let load = if load.is_empty() { load } else { format!(",\"load\":{load}") };
    let _ = stream.write_all(&chunk(&line(&format!("\"done\",\"result\":\"{result}\"{load}"))));
    let _ = stream.write_all(b"0\r\n\r\n");
}

/// Starts a worker. `probe` is the answer to a probe: a load report, or `None` where the settings allow no probes.
pub fn start_worker(
    probe: impl Fn() -> Option<String> + Send + Sync + 'static,
    work: impl Fn(&Message, &mut TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let (listener, address) = listener();
    serve(listener, move |mut stream| {
        let mut pending = vec![];
        while let Ok(Some(message)) = read_message(&mut stream, &mut pending) {
            if message.first.starts_with("GET ") {
                let _ = match probe() {
                    Some(load) => {
                        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}", load.len())
                    }
                    None => write!(stream, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
                };
            } else {
                work(&message, &mut stream);
            }
        }
    });
    address
}

/// Sends one job on a connection of its own, or on `kept`, and returns the status and the body of the answer.
pub fn send_job(
    address: SocketAddr,
    kept: &mut Option<TcpStream>,
    job: &[u8],
    patience: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?,
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    stream.write_all(job).ok()?;
    let answer = read_message(&mut stream, &mut vec![]).ok()??;
    if answer.header("connection") != Some("close") {
        *kept = Some(stream);
    }
    Some((answer.status(), answer.body))
}

/// When each scheduler made an attempt. The ids of its clients' jobs begin with its number, in four digits.
pub type Attempts = Arc<Mutex<Vec<(usize, Duration)>>>;

/// Hands in jobs of class `lookup` at an even pace, each on a connection of its own, and returns when each was handed in
/// and the status of its answer (0: none), in order. The tenants take turns.
pub fn clients(
    run: &Run,
    scheduler: usize,
    address: SocketAddr,
    jobs_per_s: u32,
    busy: Duration,
    tenants: &[&'static str],
    timeout_s: f64,
) -> Vec<(Duration, u16)> {
    let begin = Instant::now();
    let jobs: Vec<_> = (0..busy.as_secs() as u32 * jobs_per_s)
        .map(|number| {
            let due = begin + Duration::from_secs(1) / jobs_per_s * number;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let (record, tenant) = (run.record.clone(), tenants[number as usize % tenants.len()]);
            std::thread::spawn(move || {
                let id = format!("{scheduler:04x}{number:012x}");
                let sent_at = record.now();
                record.add(format!("client sends {id} to n{scheduler}"));
                let job = job(&id, "lookup", tenant, timeout_s, "", b"x");
                let answer = send_job(address, &mut None, &job, Duration::from_secs(7));
                let status = answer.map_or(0, |(status, _)| status);
                record.add(format!("client has {status} for {id}"));
                (sent_at, status)
            })
        })
        .collect();
    let mut answers: Vec<(Duration, u16)> = jobs.into_iter().filter_map(|job| job.join().ok()).collect();
    answers.sort_unstable();
    answers
}

/// The span, and the number of jobs in it, of the rule that a scheduler may not reject all without an attempt.
const SPAN: Duration = Duration::from_secs(4);
const LEAST_JOBS: usize = 15;

/// Returns whether there is a span in which a scheduler rejected all jobs and made no attempt. A job may wait in it, so
/// that attempts count up to a second after the span.
pub fn is_stuck(run: &Run, scheduler: usize, answers: &[(Duration, u16)], attempts: &Attempts) -> bool {
    let attempts = attempts.lock().unwrap();
    let own: Vec<Duration> = attempts.iter().filter(|(n, _)| *n == scheduler).map(|(_, at)| *at).collect();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    println!("n{scheduler}: {} jobs, {served} served, {} attempts", answers.len(), own.len());
    let broken = answers.iter().find_map(|(from, _)| {
        let to = *from + SPAN;
        let within: Vec<u16> =
            answers.iter().filter(|(at, _)| at >= from && *at < to).map(|(_, s)| *s).collect();
        let is_whole = answers.iter().any(|(at, _)| *at >= to);
        let all_rejected = within.iter().all(|status| matches!(status, 429 | 503));
        let is_idle = !own.iter().any(|at| at >= from && *at < to + Duration::from_secs(1));
        (is_whole && within.len() >= LEAST_JOBS && all_rejected && is_idle).then_some((*from, within.len()))
    });
    if let Some((from, count)) = broken {
        let last = own.last().map_or("never before".to_owned(), |at| format!("last {at:.3?}"));
        let text =
            format!("n{scheduler} rejected all {count} jobs of {SPAN:?} from {from:.3?} on, without an attempt ({last})");
        println!("{text}");
        run.record.add(text);
    }
    broken.is_some()
}

/// Resets a connection.
pub fn reset(stream: &mut TcpStream) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // SAFETY: the pointer refers to a live value of the size that SO_LINGER takes.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
    // The last handle of the socket: another one would keep the connection open.
    unsafe { close_now(stream) };
}

/// Closes the socket of a stream now, and leaves the stream with an end of file.
///
/// # Safety
///
/// The descriptor is replaced in one step, so that the stream still owns a valid one.
unsafe fn close_now(stream: &mut TcpStream) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn dup2(from: i32, to: i32) -> i32;
    }
    if let Ok(null) = std::fs::File::open("/dev/null") {
        unsafe { dup2(null.as_raw_fd(), stream.as_raw_fd()) };
    }
}

/// The scheduler under test, started by the command of the deploy file. Ended when it is dropped.
pub struct Scheduler {
    pub child: Child,
    pub address: SocketAddr,
    /// A file named by its process, which `run.sh` ends if this program could not.
    process_file: String,
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.process_file);
    }
}

pub fn free_address() -> SocketAddr {
    listener().1
}

impl Scheduler {
    /// Starts it and waits until it is ready. `folder` is a temporary folder.
    pub fn start(folder: &str, name: &str, config: &str) -> Scheduler {
        let address = free_address();
        let file = format!("{folder}/{name}.json");
        let text = config.replace("LISTEN", &address.to_string()).replace("NAME", name);
        std::fs::write(&file, &text).unwrap_or_else(|e| cannot_run(&format!("{file}: {e}")));
        let log = std::fs::File::create(format!("{folder}/{name}.log"))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let run = run_command();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("RELAY_CONFIG", &file)
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("NICKELFLOW_LOG", std::env::var("NICKELFLOW_LOG").unwrap_or("info".into()))
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the scheduler: {e}")));
        let process_file = format!("{folder}/process.{}", child.id());
        let _ = std::fs::write(&process_file, name);
        let mut scheduler = Scheduler { child, address, process_file };
        let until = Instant::now() + Duration::from_secs(20);
        while !scheduler.is_ready() {
            if Instant::now() > until || scheduler.has_ended() {
                cannot_run("the scheduler is not ready");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        scheduler
    }
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
        matches!(read_message(&mut stream, &mut vec![]), Ok(Some(m)) if m.status() == 200)
    }
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }
    /// Resident memory (KiB).
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
        line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

/// The `run` line of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let line =
        text.lines().find_map(|l| l.strip_prefix("run = ")).unwrap_or_else(|| cannot_run("no run line"));
    line.trim().trim_matches('"').to_owned()
}

/// A job as a client hands it in.
pub fn job(id: &str, class: &str, tenant: &str, timeout_s: f64, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /api?obj={id} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n{}Request-Timeout: {timeout_s:.3}\r\n{more}Content-Length: {}\r\n\r\n",
        if tenant.is_empty() { String::new() } else { format!("Tenant: {tenant}\r\n") },
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
