//! Clients that do not read their answers for a while: what has been begun is written to its end, whatever would end
//! the connection meanwhile.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use common::{config, head, job, Arrival, Discovery, Does, Program, Worker, LARGE, PATIENCE};
use rstest::rstest;

/// So many requests in one go, of which no one's answer is read: more than the system buffers.
const REQUESTS: usize = 100;
/// Nothing arrives at the worker for this long: the answers do not get out any more.
const QUIET: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ends {
    /// Newcomers need its place.
    Shed,
    /// SIGTERM, and the door closes.
    Stop,
    /// Its last request is one that its connection has to end with.
    Chunked,
}

/// A client that sends jobs and does not read, and how many of them have come to the worker when nothing moves any more.
fn slow(program: &Program, jobs: &str, arrivals: &Receiver<Arrival>) -> (TcpStream, usize) {
    let mut stream = TcpStream::connect(&program.address).expect("to connect");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream.write_all(jobs.as_bytes()).expect("to write");
    let mut came = 0;
    while arrivals.recv_timeout(QUIET).is_ok() {
        came += 1;
    }
    (stream, came)
}

/// How many whole answers there are up to the end, or as many as are wanted, and how much of another.
fn answers(stream: &mut TcpStream, wanted: usize) -> (usize, usize) {
    let (mut bytes, mut space, mut whole) = (vec![], vec![0; 1 << 20], 0);
    loop {
        while let Some(blank) = bytes.windows(4).position(|end| end == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..blank]).into_owned();
            let length = common::header(&text, "content-length").expect("a length");
            let end = blank + 4 + length.parse::<usize>().expect("a length");
            if bytes.len() < end {
                break;
            }
            assert!(text.starts_with("HTTP/1.1 200 OK") && end > LARGE, "{text}");
            bytes.drain(..end);
            whole += 1;
        }
        if whole == wanted {
            return (whole, bytes.len());
        }
        match stream.read(&mut space) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&space[..n]),
            _ => return (whole, bytes.len()),
        }
    }
}

#[rstest]
fn an_answer_that_has_begun_is_written_to_its_end(
    #[values(Ends::Shed, Ends::Stop, Ends::Chunked)] ends: Ends,
) {
    let (sender, arrivals) = channel();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let worker = Worker::start("w", listener, Does::Done, sender);
    let discovery = Discovery::default();
    let patient = [
        ("\"sockets\": 1024", "\"sockets\": 64"),
        ("\"tells_start\": true", "\"tells_start\": false"),
        ("\"progress_ns\": 2000000000", "\"progress_ns\": 20000000000"),
    ];
    let program = Program::configured(&config(&patient), &discovery.address, &[worker.entry()], None);
    let jobs = |n: usize| (0..n).map(|n| job(&format!("large{n}"), "")).collect::<String>();
    let (mut stream, mut came) = slow(&program, &jobs(REQUESTS), &arrivals);
    if ends == Ends::Chunked {
        // The one that got stuck, now without a length: nothing behind it can be read.
        let last = format!("{}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head("large"));
        (stream, came) = slow(&program, &(jobs(came - 1) + &last), &arrivals);
    }
    println!("{ends:?}: {came} of {REQUESTS} begun when its answers got out no more");
    assert!(came < REQUESTS, "the system took all the answers");
    let wanted = match ends {
        Ends::Shed => {
            let others = (0..12).map(|n| {
                let mut other = TcpStream::connect(&program.address).expect("to connect");
                other.write_all(job(&format!("o{n}"), "").as_bytes()).expect("to write");
                let mut status = [0; 12];
                other.read_exact(&mut status).expect("an answer");
                (other, String::from_utf8_lossy(&status).into_owned())
            });
            let others: Vec<_> = others.collect();
            assert!(others.iter().all(|(_, status)| status == "HTTP/1.1 200"), "{others:?}");
            assert!(program.counters()["shed"] > 0);
            // It was not, and is served to its end.
            REQUESTS
        }
        Ends::Stop => {
            program.signal("-TERM");
            // An idle one ends when the door closes.
            let mut idle = TcpStream::connect(&program.address).expect("to connect");
            idle.write_all(b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").expect("to write");
            let _ = idle.read_to_end(&mut vec![]);
            // Later than half a head would get, and before all must be answered.
            std::thread::sleep(Duration::from_millis(400));
            came
        }
        Ends::Chunked => came,
    };
    let (whole, rest) = answers(&mut stream, wanted);
    println!("{ends:?}: {whole} whole answers, and {rest} bytes of another");
    assert!(whole >= wanted && rest == 0, "{whole} of {wanted} whole answers, and {rest} bytes of another");
}
