//! The program as a process of its own, with `config.json` as its file.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Only so that a broken program fails the test instead of hanging it.
pub const PATIENCE: Duration = Duration::from_secs(10);

pub struct Program {
    child: Child,
    file: PathBuf,
    log: Receiver<String>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Program {
    /// Starts one that knows no instance. What is replaced in its file is given as old and new.
    pub fn start(discovery: SocketAddr, replaced: &[(&str, &str)]) -> Program {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let own = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/config.json");
        let mut config = std::fs::read_to_string(own).expect("the config");
        for (old, new) in replaced {
            assert!(config.contains(old), "the config has no {old:?}");
            config = config.replace(old, new);
        }
        let config = config.replace("@discovery", &discovery.to_string()).replace("@known", "");
        let file = std::env::temp_dir().join(format!("nickelflow-{}-{number}.json", std::process::id()));
        std::fs::write(&file, config).expect("a config file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_nickelflow"))
            .env_clear()
            .env("RELAY_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        Program { child, file, log }
    }

    /// Waits for a line with a text in it.
    pub fn logs(&self, text: &str) -> String {
        let (mut seen, end) = (vec![], Instant::now() + PATIENCE);
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if line.contains(text) {
                return line;
            }
            seen.push(line);
        }
        panic!("no line with {text:?} in {seen:#?}");
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        let line = self.logs("listen=");
        line.rsplit("listen=").next().and_then(|address| address.parse().ok()).expect("its address")
    }
}
