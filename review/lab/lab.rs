//! Stand-ins for workers, discovery, clients and the platform, on loopback addresses and the real clock. The standard library
//! only. Each case includes this file as a module; `../build.sh` compiles it.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

/// The rule held, it was broken, or the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the case plays its disruption: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was sent, answered and run, with the seconds since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record at the path in the first argument of the program.
    pub fn create() -> Arc<Record> {
        let path = std::env::args().nth(1).unwrap_or_else(|| {
            eprintln!("usage: {} RECORD", std::env::args().next().unwrap_or_default());
            exit(NOT_RUN)
        });
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            exit(NOT_RUN)
        });
        Arc::new(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl AsRef<str>) {
        let line = format!("{:9.4} {}\n", self.seconds(at), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The processes that the case has started, so that each way to the end kills them.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
/// The temporary folders that the case has made.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

fn kill_children() {
    for child in CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    for folder in FOLDERS.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Ends the case: writes the last line of the record, kills what was started, and exits.
pub fn finish(record: &Record, status: i32, text: &str) -> ! {
    let verdict = match status {
        HELD => "HELD",
        BROKEN => "BROKEN",
        _ => "NOT RUN",
    };
    record.note(format!("{verdict}: {text}"));
    println!("{verdict}: {text}");
    kill_children();
    exit(status)
}

/// Ends the case as one that could not run, should it take longer than the time that it has.
pub fn limit_time(record: &Arc<Record>, limit: Duration) {
    let record = record.clone();
    thread::spawn(move || {
        sleep(limit);
        finish(&record, NOT_RUN, "the case took too long");
    });
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default(info);
        kill_children_from_panic();
    }));
}

fn kill_children_from_panic() {
    if let Ok(mut children) = CHILDREN.try_lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    exit(NOT_RUN)
}

/// A message's first line, its headers with names in lower case, and its body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a message whose body has a `Content-Length`, or none.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let line = |reader: &mut dyn BufRead| -> io::Result<String> {
        let mut text = String::new();
        if reader.read_line(&mut text)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(text.trim_end().to_owned())
    };
    let first = line(reader)?;
    let mut headers = HashMap::new();
    loop {
        let text = line(reader)?;
        match text.split_once(':') {
            Some((name, value)) => drop(headers.insert(name.to_lowercase(), value.trim().to_owned())),
            None if text.is_empty() => break,
            None => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
    let length = headers.get("content-length").map_or(Ok(0), |n| n.parse());
    let mut body = vec![0; length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?];
    reader.read_exact(&mut body)?;
    Ok(Message { first, headers, body })
}

/// A chunk with one line.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// One worker: it takes as many jobs at once as it has slots, lets others wait, and turns all away while it drains.
pub struct Worker {
    pub name: String,
    pub cell: u32,
    pub address: SocketAddr,
    slots: u32,
    run: Duration,
    busy: AtomicU32,
    waiting: AtomicU32,
    draining: AtomicBool,
    /// When the first byte of each job was read: when, its id, and whether the worker was draining then.
    pub arrivals: Mutex<Vec<(Instant, String, bool)>>,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(record: &Arc<Record>, name: &str, cell: u32, slots: u32, run: Duration) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            cell,
            address: listener.local_addr().expect("its address"),
            slots,
            run,
            busy: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let serving = accepting.clone();
                thread::spawn(move || drop(serving.serve(stream)));
            }
        });
        worker
    }

    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Its entry in a list.
    pub fn entry(&self) -> String {
        let status = if self.is_draining() { "leaving" } else { "active" };
        let Worker { name, address, cell, .. } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"langnau","type":"w5","group":{cell},"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            if reader.fill_buf()?.is_empty() {
                return Ok(());
            }
            let first_byte = Instant::now();
            let message = read_message(&mut reader)?;
            if message.first.starts_with("GET ") {
                self.answer_probe(&mut stream)?;
            } else {
                self.answer_job(first_byte, &message, &mut stream)?;
            }
        }
    }

    /// A worker that drains is not ready for work, and says so.
    fn answer_probe(&self, stream: &mut TcpStream) -> io::Result<()> {
        if self.is_draining() {
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        let busy = self.busy.load(Ordering::SeqCst);
        let free = self.slots.saturating_sub(busy);
        let queue = self.waiting.load(Ordering::SeqCst);
        let util = f64::from(busy) / f64::from(self.slots);
        let body = format!(r#"{{"util":{util:.2},"queue":{queue},"x0":{free},"x1":{free}.0}}"#);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes())
    }

    fn answer_job(&self, first_byte: Instant, message: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let (id, draining) = (message.header("request-id"), self.is_draining());
        let name = &self.name;
        self.arrivals.lock().unwrap().push((first_byte, id.to_owned(), draining));
        if draining {
            self.record.note_at(first_byte, format!("worker {name} drains and gets job {id}: turned away unstarted"));
            return stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        self.record.note_at(first_byte, format!("worker {name} gets job {id}"));
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        self.waiting.fetch_add(1, Ordering::SeqCst);
        while self
            .busy
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| (n < self.slots).then_some(n + 1))
            .is_err()
        {
            sleep(ms(2));
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let line = |state: &str| format!(r#"{{"id":"{id}","from":"{name}","state":{state}}}"#);
        let started = stream.write_all(chunk(&line(r#""started""#)).as_bytes());
        if started.is_ok() {
            sleep(self.run);
        }
        self.busy.fetch_sub(1, Ordering::SeqCst);
        started?;
        self.record.note(format!("worker {name} has run job {id}"));
        let last = chunk(&line(&format!(r#""done","result":"{id} by {name}""#))) + "0\r\n\r\n";
        stream.write_all(last.as_bytes())
    }
}

/// A watch that a scheduler has open.
struct Watch {
    stream: TcpStream,
    silent: bool,
}

/// Discovery: it answers each watch with the whole list, then with changes, and with an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    workers: Vec<Arc<Worker>>,
    index: AtomicU64,
    watches: Mutex<Vec<Watch>>,
    down: AtomicBool,
    mute: AtomicBool,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, workers: &[Arc<Worker>]) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("its address"),
            workers: workers.to_vec(),
            index: AtomicU64::new(1),
            watches: Mutex::default(),
            down: AtomicBool::new(false),
            mute: AtomicBool::new(false),
            record: record.clone(),
        });
        discovery.clone().accept(listener);
        let beating = discovery.clone();
        thread::spawn(move || loop {
            sleep(ms(2000));
            if !beating.mute.load(Ordering::SeqCst) {
                beating.write_to_all("");
            }
        });
        discovery
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            listener.set_nonblocking(true).expect("a listener");
            while !self.down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let serving = self.clone();
                        thread::spawn(move || drop(serving.open_watch(stream)));
                    }
                    Err(_) => sleep(ms(5)),
                }
            }
        });
    }

    fn open_watch(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let message = read_message(&mut BufReader::new(stream.try_clone()?))?;
        let mut stream = stream;
        while self.mute.load(Ordering::SeqCst) {
            sleep(ms(5));
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut watches = self.watches.lock().unwrap();
        stream.write_all(chunk(&self.list(true, &self.workers)).as_bytes())?;
        self.record.note(format!("discovery answers {:?} with the whole list", message.first));
        watches.push(Watch { stream, silent: false });
        Ok(())
    }

    pub fn list(&self, snapshot: bool, workers: &[Arc<Worker>]) -> String {
        let entries: Vec<String> = workers.iter().map(|worker| worker.entry()).collect();
        let index = self.index.load(Ordering::SeqCst);
        format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
    }

    fn write_to_all(&self, line: &str) {
        let mut watches = self.watches.lock().unwrap();
        watches.retain_mut(|watch| watch.silent || watch.stream.write_all(chunk(line).as_bytes()).is_ok());
    }

    /// Tells of workers whose entries have changed.
    pub fn change(&self, workers: &[Arc<Worker>]) {
        self.index.fetch_add(1, Ordering::SeqCst);
        self.write_to_all(&self.list(false, workers));
    }

    /// All open watches fall silent: they stay open, and nothing comes on them any more.
    pub fn silence_watches(&self) -> Instant {
        // The moment of silence is that of the last line.
        self.write_to_all("");
        let mut watches = self.watches.lock().unwrap();
        watches.iter_mut().for_each(|watch| watch.silent = true);
        Instant::now()
    }

    /// Discovery goes down: its watches end, and new connections are refused.
    pub fn go_down(&self) {
        self.down.store(true, Ordering::SeqCst);
        sleep(ms(20));
        for watch in self.watches.lock().unwrap().drain(..) {
            let _ = watch.stream.shutdown(Shutdown::Both);
        }
    }

    /// An agent says nothing while discovery is down. What was open stays open, and what comes up meanwhile is answered later.
    pub fn be_mute(&self, mute: bool) {
        self.mute.store(mute, Ordering::SeqCst);
    }

    /// Discovery is back at the same address.
    pub fn come_back(self: &Arc<Self>) -> bool {
        let end = Instant::now() + ms(2000);
        while Instant::now() < end {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.down.store(false, Ordering::SeqCst);
                self.clone().accept(listener);
                return true;
            }
            sleep(ms(20));
        }
        false
    }
}

/// The command of the deploy file by which one scheduler is started.
pub fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or_default();
    line.split('"').next().unwrap_or_default().to_owned()
}

/// One scheduler, started as the deploy file says.
pub struct Scheduler {
    pub name: String,
    pub address: SocketAddr,
    pub pid: u32,
}

/// A port on loopback that was free just now.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// A temporary folder of this case's own.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("nickelflow-review-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    FOLDERS.lock().unwrap().push(folder.clone());
    folder
}

impl Scheduler {
    /// Starts it with a configuration in which `@name`, `@listen`, `@discovery` and `@known` are filled in.
    pub fn start(record: &Arc<Record>, name: &str, config: &str, discovery: &Discovery) -> Scheduler {
        let (folder, address) = (temporary_folder(name), free_address());
        let file = folder.join("config.json");
        let config = config
            .replace("@name", name)
            .replace("@listen", &address.to_string())
            .replace("@discovery", &discovery.address.to_string())
            .replace("@known", &discovery.list(true, &discovery.workers));
        fs::write(&file, config).expect("a configuration");
        let log = File::create(folder.join("log")).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery.address.to_string())
            .env("RELAY_CONFIG", &file)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| finish(record, NOT_RUN, &format!("the scheduler does not start: {error}")));
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        let scheduler = Scheduler { name: name.to_owned(), address, pid };
        let end = Instant::now() + ms(10_000);
        while !scheduler.is_ready() {
            if Instant::now() > end {
                finish(record, NOT_RUN, &format!("{name} is not ready"));
            }
            sleep(ms(20));
        }
        record.note(format!("scheduler {name} is ready"));
        scheduler
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(ms(500)))?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")?;
            Ok(read_message(&mut BufReader::new(stream))?.first.contains(" 200 "))
        };
        ask().unwrap_or(false)
    }

    /// The memory that it has in use (KiB); 0 once it has ended.
    pub fn resident_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
    }

    /// Kills it outright, as the platform does.
    pub fn kill(&self) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some(child) = children.iter_mut().find(|child| child.id() == self.pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() == self.pid);
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

/// How one job ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The status of the whole answer, and its body.
    Answered(u16, String),
    /// The connection ended, or nothing came until long after the job's time.
    Lost(String),
}

/// A client that keeps its connection, and hands in one job at a time.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    record: Arc<Record>,
}

static JOBS: AtomicU64 = AtomicU64::new(0);

/// An id that no other request of this case has.
pub fn fresh_id() -> String {
    let number = JOBS.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", (u64::from(std::process::id()) << 32) + number)
}

impl Client {
    pub fn new(record: &Arc<Record>, address: SocketAddr) -> Client {
        Client { address, connection: None, record: record.clone() }
    }

    /// Hands in one job of the class, and waits for its answer until half a second after its time.
    pub fn ask(&mut self, class: &str, tenant: &str, wait: Duration) -> Ending {
        let id = fresh_id();
        let body = format!("{{\"hive\":\"{id}\",\"grams\":31250}}");
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nTenant: {tenant}\r\n\
             Request-Timeout: {:.3}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
            wait.as_secs_f64(),
            body.len()
        );
        self.record.note(format!("client sends job {id}"));
        let ending = match self.exchange(request.as_bytes(), wait + ms(500)) {
            Ok(message) => {
                let status = message.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
                if message.header("connection") == "close" {
                    self.connection = None;
                }
                Ending::Answered(status, String::from_utf8_lossy(&message.body).into_owned())
            }
            Err(error) => {
                self.connection = None;
                Ending::Lost(error.to_string())
            }
        };
        self.record.note(format!("job {id} ends for its client: {ending:?}"));
        ending
    }

    fn exchange(&mut self, request: &[u8], wait: Duration) -> io::Result<Message> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, ms(1000))?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let reader = self.connection.as_mut().expect("a connection");
        reader.get_ref().set_read_timeout(Some(wait))?;
        reader.get_mut().write_all(request)?;
        read_message(reader)
    }
}

/// Hands in `count` jobs at each scheduler, evenly over a time, each by a client of its own, and waits for all answers.
pub fn batch(
    record: &Arc<Record>,
    schedulers: &[Scheduler],
    (class, tenant): (&'static str, &'static str),
    count: u32,
    over: Duration,
    wait: Duration,
) -> Vec<Ending> {
    let mut clients: Vec<JoinHandle<Ending>> = vec![];
    for _ in 0..count {
        for scheduler in schedulers {
            let mut client = Client::new(record, scheduler.address);
            clients.push(thread::spawn(move || client.ask(class, tenant, wait)));
        }
        sleep(over / count);
    }
    clients.into_iter().filter_map(|client| client.join().ok()).collect()
}

/// Settings like those of a small deployment with two schedulers and one keyed class.
pub fn config(memory_mb: u32, sockets: u32) -> String {
    let limits = format!(r#""limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}}"#);
    format!(
        r#"{{"name":"@name","listen":"@listen","discovery":"@discovery","seed":"5d1c09be77a2f340",{limits},"known":@known,
"settings":{{"az":0,"zones":["langnau"],"kinds":["w5"],"balancers":2,"resolution_ns":2000000,
"membership_mode":"on_request","weights":"nominal","worth_by":"work","family":"jobs",
"caps":{{"cancel":true,"conn_idle_ns":10000000000,"connect_timeout_ns":200000000,"max_retry_after_ns":2000000000,
"most_tries":4,"parallel_tries":true,"peer_messages":false,"probing":true,"retry_after":true,"max_streams":1,"max_open":20000}},
"classes":[{{"name":"reading","effect":"token","group":"cell","window_ns":7500000000,"on_time_ns":200000000,
"deadline_ns":5000000000,"importance":1.0,"late_value":0.0,"stream":false}}],
"contract":{{"answer_slack_ns":8000000,"cold_from":0.14,"cold_ns":24000000000,"fall_multiple":3.0,"fall_ns":1500000000,
"must_ask_in_ns":10000000000,"stop_sending_within_ns":500000000}},
"customers":[{{"name":"bern-mittelland","portion":0.6,"quota_per_s":90.0}},{{"name":"emmental","portion":0.4,"quota_per_s":60.0}}],
"load_report":{{"fields":["busy","q","x0","x1"],"how":"pull"}},
"specifics":{{"class_kind":[-1],"class_priority":[0],"class_stretch":[2.5],"progress_ns":2000000000,"tells_start":true}}}}}}"#
    )
}
