//! A toy fleet to try nickelflow with: a discovery service on 127.0.0.1:8500 and two instances that take
//! half a second for each job. See examples/README.md.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const INSTANCES: [(&str, &str); 2] = [("s-toy-a", "127.0.0.1:3101"), ("s-toy-b", "127.0.0.1:3102")];
const SLOTS: usize = 4;

/// Reads one request: its first line, its id and its body. `None` when the connection has ended.
fn request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<(String, String, Vec<u8>)>> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    if stream.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => id = value.to_owned(),
            "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), id, body)))
}

fn chunk(stream: &mut impl Write, line: &str) -> io::Result<()> {
    write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)
}

const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One connection to discovery: the list, then an empty line every 2 s.
fn discovery(stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let Some((first, ..)) = request(&mut reader)? else { return Ok(()) };
    println!("discovery: {first}");
    let entry = |(name, address): &(&str, &str)| {
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"langnau","type":"w5","group":1,"status":"active","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries = INSTANCES.iter().map(entry).collect::<Vec<_>>().join(",");
    stream.write_all(STREAM.as_bytes())?;
    chunk(&mut stream, &format!(r#"{{"index":1,"snapshot":true,"endpoints":[{entries}]}}"#))?;
    loop {
        thread::sleep(Duration::from_secs(2));
        chunk(&mut stream, "")?;
    }
}

/// One connection to an instance.
fn instance(name: &str, busy: &AtomicUsize, stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some((first, id, body)) = request(&mut reader)? {
        println!("{name}: {first}");
        if first.starts_with("GET ") {
            let free = SLOTS.saturating_sub(busy.load(Ordering::Relaxed));
            let report = format!("busy=0.5,q=0,x0={free},x1={free}");
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len())?;
            continue;
        }
        busy.fetch_add(1, Ordering::Relaxed);
        stream.write_all(STREAM.as_bytes())?;
        chunk(&mut stream, &format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#))?;
        thread::sleep(Duration::from_millis(500));
        busy.fetch_sub(1, Ordering::Relaxed);
        let result = format!("{name} has stored {} bytes", body.len());
        chunk(
            &mut stream,
            &format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{result}"}}"#),
        )?;
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Serves each connection in a thread of its own; one that breaks is only said to have ended.
fn serve(
    address: &str,
    each: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || {
                if let Err(e) = each(stream) {
                    println!("a connection ended: {e}");
                }
            });
        }
    });
    Ok(())
}

fn main() -> io::Result<()> {
    serve(DISCOVERY, discovery)?;
    for (name, address) in INSTANCES {
        let busy = AtomicUsize::new(0);
        serve(address, move |stream| instance(name, &busy, stream))?;
    }
    println!("discovery on {DISCOVERY}, instances {INSTANCES:?}; Ctrl-C ends it");
    loop {
        thread::park();
    }
}
