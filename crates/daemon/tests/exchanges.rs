//! Plays recorded byte exchanges against the program on loopback and compares what it says.
//!
//! A file is a list of blocks, each `--- WHO VERB`, then lines. WHO is a service client (`c1`), a connection
//! to an instance (`a.1`, in the order of accepting), the watch (`d.1`) or the `program`. Verbs:
//! `sends` (the lines with CR LF), `gets` (one whole message, compared; `*` stands for anything), `chunk`
//! (each line as a chunk), `ends` (the last chunk), `closes` (with a reset if so given), `closed` (by a reset or not), `ended`
//! (closed without one); `crowds` and `clears` (new
//! connections to an instance whose name begins with x do not come up in between). The
//! program: `config` (replacements `OLD -> NEW` in config.json), `knows` (instances), `stops` (SIGTERM),
//! `prints` (SIGUSR1), `pauses` and `resumes` (SIGSTOP, SIGCONT), `passes` (so many ms: for times of the settings), `rereads` (a new file and
//! SIGHUP: the name of a new discovery and replacements for this once, or the file as it stands), `logs` (waits for a line like it), `exits` (with that status),
//! `faults` (system calls that fail, as a plan of the fault shim, before it starts; `@flag` is a file that is there from `fails` to
//! `works`).

mod common;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use common::{accept, like, narrow, Program, PATIENCE};
use rstest::rstest;

/// A connection that is not up by then waits for its place; on loopback others take microseconds.
const CROWDED: Duration = Duration::from_millis(300);

struct Play {
    config: String,
    file: PathBuf,
    known: Vec<String>,
    listeners: HashMap<String, TcpListener>,
    streams: HashMap<String, BufReader<TcpStream>>,
    program: Option<Program>,
    /// What keeps others from connecting.
    crowd: Vec<TcpStream>,
    /// Which system calls of the program fail.
    faults: Option<String>,
}

impl Drop for Play {
    fn drop(&mut self) {
        self.program = None;
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.flag());
    }
}

impl Play {
    fn listener(&mut self, name: &str) -> String {
        let listen = || {
            if name.starts_with('x') {
                narrow(0)
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
        let flag = self.flag();
        let faults = self.faults.as_ref().map(|plan| plan.replace("@flag", &flag.to_string_lossy()));
        let program = Program::start_with(&self.file, None, faults.as_deref());
        if !program.first.contains("listen=") {
            eprintln!("{}", program.first);
        }
        self.program = Some(program);
    }

    /// The file that is there while system calls fail.
    fn flag(&self) -> PathBuf {
        self.file.with_extension("fails")
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
        common::entry(name, &address, status)
    }

    fn program(&mut self) -> &mut Program {
        self.program.as_mut().expect("a program")
    }

    fn stream(&mut self, who: &str) -> &mut BufReader<TcpStream> {
        if !self.streams.contains_key(who) {
            let stream = match who.split_once('.') {
                Some((name, _)) => accept(&self.listeners[name], who),
                None => TcpStream::connect(&self.program.as_ref().expect("a program").address)
                    .expect("to connect"),
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

    /// Plays one block of an exchange. The first that does not configure the program starts it.
    fn block(&mut self, who: &str, verb: &str, lines: &[&str]) {
        match (who, verb) {
            ("program", "config") => return self.replace(lines),
            ("program", "faults") => return self.faults = Some(lines.join(" ")),
            ("program", "knows") => return self.known = lines.iter().map(|l| (*l).to_owned()).collect(),
            _ => self.start(),
        }
        match who {
            "program" => self.program_block(verb, lines),
            _ => self.peer_block(who, verb, lines),
        }
    }

    fn program_block(&mut self, verb: &str, lines: &[&str]) {
        match verb {
            "stops" => self.program().signal("-TERM"),
            "prints" => self.program().signal("-USR1"),
            "pauses" => self.program().signal("-STOP"),
            "fails" => std::fs::write(self.flag(), "").expect("a flag"),
            "works" => std::fs::remove_file(self.flag()).expect("a flag"),
            "resumes" => self.program().signal("-CONT"),
            "passes" => std::thread::sleep(Duration::from_millis(lines[0].parse().expect("milliseconds"))),
            "rereads" => {
                match lines[0].strip_prefix('{') {
                    Some(_) => std::fs::write(&self.file, lines[0]).expect("a config file"),
                    None => {
                        let own = self.config.clone();
                        self.replace(&lines[1..]);
                        self.write_config(lines[0]);
                        self.config = own;
                    }
                }
                self.program().signal("-HUP");
            }
            "logs" => lines.iter().for_each(|line| drop(self.program().logs(line))),
            "exits" => {
                let status = self.program().child.wait().expect("its status");
                assert_eq!(status.code().map(|code| code.to_string()).as_deref(), Some(lines[0]));
            }
            _ => panic!("no verb program {verb}"),
        }
    }

    fn peer_block(&mut self, who: &str, verb: &str, lines: &[&str]) {
        match verb {
            "sends" => {
                let fill =
                    |line: &str| line.split_once("^64KiB").map(|(a, b)| [a, &"x".repeat(65537), b].concat());
                let lines: Vec<_> = lines.iter().map(|l| fill(l).unwrap_or((*l).to_owned())).collect();
                self.write(who, lines.join("\r\n").as_bytes());
            }
            "chunk" => {
                for line in lines {
                    let line = match line.split_once('@') {
                        Some((start, entry)) => format!("{start}{}]}}", self.entry(entry)),
                        None => line.replace("^deep", &"[".repeat(50_000)),
                    };
                    self.write(who, format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
                }
            }
            "crowds" => {
                let address = self.listeners[who].local_addr().expect("its address");
                while let Ok(stream) = TcpStream::connect_timeout(&address, CROWDED) {
                    self.crowd.push(stream);
                }
            }
            "clears" => {
                for stream in std::mem::take(&mut self.crowd) {
                    let (own, accepted) =
                        (stream.local_addr(), accept(&self.listeners[who], who).peer_addr());
                    assert_eq!(own.ok(), accepted.ok(), "{who}: another came before");
                }
            }
            "ends" => self.write(who, b"0\r\n\r\n"),
            "closes" => self.stream(who).get_mut().shutdown(Shutdown::Both).expect("to close"),
            "closed" => {
                let mut rest = vec![];
                let read = self.stream(who).read_to_end(&mut rest);
                // A reset closes as well; a time-out does not.
                let timed_out = |e: &std::io::Error| e.kind() == std::io::ErrorKind::WouldBlock;
                assert!(!read.as_ref().is_err_and(timed_out) && rest.is_empty(), "{who}: {read:?} {rest:?}");
            }
            "ended" => {
                let mut rest = vec![];
                let read = self.stream(who).read_to_end(&mut rest);
                assert!(read.is_ok() && rest.is_empty(), "{who}: {read:?} {rest:?}");
            }
            "gets" => {
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
    let mut play = Play {
        config: common::config(&[]),
        file: PathBuf::new(),
        known: vec![],
        listeners: HashMap::new(),
        streams: HashMap::new(),
        program: None,
        crowd: vec![],
        faults: None,
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
