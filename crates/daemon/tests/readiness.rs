//! How soon started processes are ready, whatever discovery does. Nine in ten have to be within 10 s.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::{config, Program, PATIENCE};
use rstest::rstest;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Discovery {
    Answers,
    Refuses,
    /// Accepts, and says nothing.
    Hangs,
    /// Answers 503.
    Fails,
    /// Works calls off one by one, 15 a second.
    HasTooManyCallers,
}

/// Plays discovery until the test has ended.
fn discovery(does: Discovery) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    if does == Discovery::Refuses {
        return address;
    }
    std::thread::spawn(move || {
        let mut open = vec![];
        for mut stream in listener.incoming().map_while(Result::ok) {
            let answer = match does {
                Discovery::Fails => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                _ => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n",
            };
            if does == Discovery::HasTooManyCallers {
                std::thread::sleep(Duration::from_secs(1) / 15);
            }
            if does != Discovery::Hangs && stream.read(&mut [0; 1024]).is_ok_and(|n| n > 0) {
                let _ = stream.write_all(answer.as_bytes());
            }
            open.push(stream);
        }
    });
    address
}

/// Starts one, and how long it took to answer 200.
fn start(discovery: SocketAddr) -> (Program, Duration) {
    let began = Instant::now();
    let program = Program::configured(
        &config(&[("\"balancers\": 1", "\"balancers\": 30")]),
        &discovery.to_string(),
        &[],
        None,
    );
    let mut stream = TcpStream::connect(&program.address).expect("to connect");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").expect("to ask");
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("an answer");
    assert_eq!(&head, b"HTTP/1.1 200");
    (program, began.elapsed())
}

#[rstest]
fn nine_in_ten_are_ready_within_ten_seconds(
    #[values(20, 30)] processes: usize,
    #[values(true, false)] at_once: bool,
    #[values(
        Discovery::Answers,
        Discovery::Refuses,
        Discovery::Hangs,
        Discovery::Fails,
        Discovery::HasTooManyCallers
    )]
    does: Discovery,
) {
    let address = discovery(does);
    let started: Vec<(Program, Duration)> = if at_once {
        std::thread::scope(|scope| {
            let starting: Vec<_> = (0..processes).map(|_| scope.spawn(|| start(address))).collect();
            starting.into_iter().map(|one| one.join().expect("it is ready")).collect()
        })
    } else {
        (0..processes).map(|_| start(address)).collect()
    };
    let mut took: Vec<Duration> = started.iter().map(|(_, took)| *took).collect();
    took.sort_unstable();
    let part = |tenths: usize| took[(processes * tenths).div_ceil(10) - 1];
    let (p50, p90, worst) = (part(5), part(9), part(10));
    println!("{processes}, at once {at_once}, {does:?}: p50 {p50:?}, p90 {p90:?}, worst {worst:?}");
    assert!(p90 <= Duration::from_secs(10), "{took:?}");
}
