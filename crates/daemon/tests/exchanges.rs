//! Plays recorded byte exchanges against the program on loopback and compares what it says.
//!
//! A file is a list of blocks, each `--- WHO VERB`, then lines. WHO is a service client (`c1`), a connection
//! to an instance (`a.1`, in the order of accepting), the watch (`d.1`) or the `program`. Verbs:
//! `sends` (the lines with CR LF), `gets` (one whole message, compared; `*` stands for anything), `chunk`
//! (each line as a chunk), `ends` (the last chunk), `closes` (with a reset if so given), `closed`; `crowds` and `clears` (new
//! connections to an instance whose name begins with x do not come up in between). The
//! program: `config` (replacements `OLD -> NEW` in config.json), `knows` (instances), `stops` (SIGTERM),
//! `prints` (SIGUSR1), `pauses` and `resumes` (SIGSTOP, SIGCONT), `passes` (so many ms: for times of the settings), `rereads` (a new file and
//! SIGHUP: the name of a new discovery and replacements for this once, or the file as it stands), `logs` (waits for a line like it), `exits` (with that status).

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use rstest::rstest;

/// Only so that a broken program fails the test instead of hanging it.
const PATIENCE: Duration = Duration::from_secs(10);
/// A connection that is not up by then waits for its place; on loopback others take microseconds.
const CROWDED: Duration = Duration::from_millis(300);

struct Play {
    config: String,
    file: PathBuf,
    known: Vec<String>,
    listeners: HashMap<String, TcpListener>,
    streams: HashMap<String, BufReader<TcpStream>>,
    program: Option<(Child, Receiver<String>, String)>,
    /// What keeps others from connecting.
    crowd: Vec<TcpStream>,
}

impl Drop for Play {
    fn drop(&mut self) {
        if let Some((child, ..)) = &mut self.program {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Whether the text is like the pattern, in which `*` stands for anything.
fn like(pattern: &str, text: &str) -> bool {
    match pattern.split_once('*') {
        None => pattern == text,
        Some((start, rest)) => text.strip_prefix(start).is_some_and(|text| {
            let mut ends = (0..=text.len()).filter(|n| text.is_char_boundary(*n));
            ends.any(|n| like(rest, &text[n..]))
        }),
    }
}

/// A listener that a single connection fills, until it is accepted.
fn narrow() -> TcpListener {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    let _inside = runtime.enter();
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let listener = socket.listen(0).expect("to listen").into_std().expect("a listener");
    listener.set_nonblocking(false).expect("a listener");
    listener
}

/// Accepts within the patience: a connection that never comes fails the test.
fn accept(listener: &TcpListener, who: &str) -> TcpStream {
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

impl Play {
    fn listener(&mut self, name: &str) -> String {
        let listen = || {
            if name.starts_with('x') {
                narrow()
            } else {
                TcpListener::bind("127.0.0.1:0").expect("a port")
            }
        };
        let listener = self.listeners.entry(name.to_owned()).or_insert_with(listen);
        listener.local_addr().expect("its address").to_string()
    }

    /// Starts the program; what it cannot log at its start is waited for by `exits`.
    fn start(&mut self) {
        if self.program.is_some() {
            return;
        }
        let own = self.listener("d").replace(':', "-");
        self.file = std::env::temp_dir().join(format!("nickelflow-{own}.json"));
        self.write_config("d");
        let mut child = Command::new(env!("CARGO_BIN_EXE_nickelflow"))
            .env_clear()
            .env("RELAY_CONFIG", &self.file)
            // What has been decided is an event to wait for.
            .env("NICKELFLOW_LOG", "info,nickelflow_daemon::core=debug")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, lines) = channel();
        let log = BufReader::new(child.stderr.take().expect("its log"));
        std::thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let first = lines.recv_timeout(PATIENCE).expect("a first line");
        let address = first.rsplit("listen=").next().unwrap_or_default().to_owned();
        if !first.contains("listen=") {
            eprintln!("{first}");
        }
        self.program = Some((child, lines, if first.contains("listen=") { address } else { first }));
    }

    fn replace(&mut self, lines: &[&str]) {
        for line in lines {
            let (old, new) = line.split_once(" -> ").expect("OLD -> NEW");
            assert!(self.config.contains(old), "the config has no {old:?}");
            self.config = self.config.replace(old, new);
        }
    }

    fn write_config(&mut self, discovery: &str) {
        let known = self.known.clone().into_iter().map(|name| self.entry(&name));
        let known = known.collect::<Vec<_>>().join(",");
        let discovery = self.listener(discovery);
        let config = self.config.replace("@discovery", &discovery).replace("@known", &known);
        std::fs::write(&self.file, config).expect("a config file");
    }

    /// An entry of the list: the name, then what differs from the usual.
    fn entry(&mut self, text: &str) -> String {
        let (name, status) = text.split_once(' ').unwrap_or((text, "active"));
        let address = self.listener(name);
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"langnau","type":"w5","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    }

    fn stream(&mut self, who: &str) -> &mut BufReader<TcpStream> {
        if !self.streams.contains_key(who) {
            let stream = match who.split_once('.') {
                Some((name, _)) => accept(&self.listeners[name], who),
                None => TcpStream::connect(&self.program.as_ref().expect("a program").2).expect("to connect"),
            };
            stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            self.streams.insert(who.to_owned(), BufReader::new(stream));
        }
        self.streams.get_mut(who).expect("it is there")
    }

    fn write(&mut self, who: &str, bytes: &[u8]) {
        self.stream(who).get_mut().write_all(bytes).expect("to write");
    }

    /// One message as lines, the body as the last.
    fn message(&mut self, who: &str) -> Vec<String> {
        let stream = self.stream(who);
        let (mut lines, mut length) = (vec![], 0);
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).unwrap_or_else(|e| panic!("{who}: {e}, after {lines:?}"));
            assert!(!line.is_empty(), "{who}: closed after {lines:?}");
            let line = line.trim_end().to_owned();
            if let Some(n) = line.strip_prefix("content-length: ") {
                length = n.parse().expect("a length");
            }
            if line.is_empty() {
                break;
            }
            lines.push(line);
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).expect("the body");
        lines.extend((length > 0).then(|| String::from_utf8_lossy(&body).trim_end().to_owned()));
        lines
    }

    fn logs(&mut self, pattern: &str) {
        let (_, lines, first) = self.program.as_ref().expect("a program");
        if like(pattern, first) {
            return;
        }
        let mut seen = vec![];
        let end = Instant::now() + PATIENCE;
        while let Ok(line) = lines.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if like(pattern, &line) {
                return;
            }
            seen.push(line);
        }
        panic!("no line like {pattern:?} in {seen:#?}");
    }

    fn signal(&mut self, signal: &str) {
        let pid = self.program.as_ref().expect("a program").0.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    fn block(&mut self, who: &str, verb: &str, lines: &[&str]) {
        match (who, verb) {
            ("program", "config") => return self.replace(lines),
            ("program", "knows") => return self.known = lines.iter().map(|l| (*l).to_owned()).collect(),
            _ => self.start(),
        }
        match (who, verb) {
            ("program", "stops") => self.signal("-TERM"),
            ("program", "prints") => self.signal("-USR1"),
            ("program", "pauses") => self.signal("-STOP"),
            ("program", "resumes") => self.signal("-CONT"),
            ("program", "passes") => {
                std::thread::sleep(Duration::from_millis(lines[0].parse().expect("milliseconds")));
            }
            ("program", "rereads") => {
                match lines[0].strip_prefix('{') {
                    Some(_) => std::fs::write(&self.file, lines[0]).expect("a config file"),
                    None => {
                        let own = self.config.clone();
                        self.replace(&lines[1..]);
                        self.write_config(lines[0]);
                        self.config = own;
                    }
                }
                self.signal("-HUP");
            }
            ("program", "logs") => lines.iter().for_each(|line| self.logs(line)),
            ("program", "exits") => {
                let status = self.program.as_mut().expect("a program").0.wait().expect("its status");
                assert_eq!(status.code().map(|code| code.to_string()).as_deref(), Some(lines[0]));
            }
            (_, "sends") => {
                let fill =
                    |line: &str| line.split_once("^64KiB").map(|(a, b)| [a, &"x".repeat(65537), b].concat());
                let lines: Vec<_> = lines.iter().map(|l| fill(l).unwrap_or((*l).to_owned())).collect();
                self.write(who, lines.join("\r\n").as_bytes());
            }
            (_, "chunk") => {
                for line in lines {
                    let line = match line.split_once('@') {
                        Some((start, entry)) => format!("{start}{}]}}", self.entry(entry)),
                        None => line.replace("^deep", &"[".repeat(50_000)),
                    };
                    self.write(who, format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
                }
            }
            (_, "crowds") => {
                let address = self.listeners[who].local_addr().expect("its address");
                while let Ok(stream) = TcpStream::connect_timeout(&address, CROWDED) {
                    self.crowd.push(stream);
                }
            }
            (_, "clears") => {
                for stream in std::mem::take(&mut self.crowd) {
                    let (own, accepted) =
                        (stream.local_addr(), accept(&self.listeners[who], who).peer_addr());
                    assert_eq!(own.ok(), accepted.ok(), "{who}: another came before");
                }
            }
            (_, "ends") => self.write(who, b"0\r\n\r\n"),
            (_, "closes") => self.stream(who).get_mut().shutdown(Shutdown::Both).expect("to close"),
            (_, "closed") => {
                let mut rest = vec![];
                let read = self.stream(who).read_to_end(&mut rest);
                // A reset closes as well; a time-out does not.
                let timed_out = |e: &std::io::Error| e.kind() == std::io::ErrorKind::WouldBlock;
                assert!(!read.as_ref().is_err_and(timed_out) && rest.is_empty(), "{who}: {read:?} {rest:?}");
            }
            (_, "gets") => {
                let got = self.message(who);
                let same = got.len() == lines.len() && lines.iter().zip(&got).all(|(p, line)| like(p, line));
                assert!(same, "{who} gets\n{got:#?}\nand not\n{lines:#?}");
            }
            _ => panic!("no verb {who} {verb}"),
        }
    }
}

#[rstest]
fn exchange(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the exchange");
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/config.json");
    let config = std::fs::read_to_string(config).expect("the config");
    let mut play = Play {
        config,
        file: PathBuf::new(),
        known: vec![],
        listeners: HashMap::new(),
        streams: HashMap::new(),
        program: None,
        crowd: vec![],
    };
    for block in text.split("--- ").skip(1) {
        let mut lines = block.lines().collect::<Vec<_>>();
        // A comment, or the empty line that parts two blocks; a message's own empty line stands as a dot.
        lines.retain(|line| !line.is_empty() && !line.starts_with("# "));
        let lines: Vec<_> = lines.iter().map(|line| if *line == "." { "" } else { line }).collect();
        let (who, verb) = lines[0].split_once(' ').expect("WHO VERB");
        eprintln!("--- {} {who} {verb}", path.display());
        play.block(who, verb, &lines[1..]);
    }
}
