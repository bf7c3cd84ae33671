//! Idle clients that come in hundreds and take every descriptor that they can get while discovery is down: the watch,
//! probes, executions and working clients have theirs all the same. The limit of the settings is also the system's
//! for the process, so that one descriptor too many fails for real.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{accept, config, entry, job, Discovery, Does, Program, Worker, PATIENCE};
use nickelflow_daemon::DescriptorBudget;
use rstest::rstest;

/// How discovery is down: its port is closed, or it takes calls and says nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Down {
    Refuses,
    Hangs,
}

/// In this time the idle ones do nothing; how much of it the program may be running.
const REST: Duration = Duration::from_secs(1);
const MOST_RUNNING: f64 = 0.2;
/// Of memory for all (KiB); the settings of the platform allow as little as 32 MiB.
const MOST_MEMORY: u64 = 32 << 10;
const JOBS: usize = 20;

/// What an idle client brings before it rests.
fn idle(n: usize, address: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    let brings = match n % 4 {
        0 => String::new(),
        1 => "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n".to_owned(),
        2 => "POST /api HTTP/1.1\r\nHost: b\r\n".to_owned(),
        _ => job(&format!("idle{n}"), ""),
    };
    stream.write_all(brings.as_bytes()).ok()?;
    Some(stream)
}

/// Whether the other side has closed it.
fn closed(stream: &mut TcpStream) -> bool {
    let mut space = [0; 1 << 10];
    stream.set_nonblocking(true).expect("a stream");
    loop {
        match stream.read(&mut space) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// The answer's first line, on a new connection.
fn ask(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("to connect");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream.write_all(request.as_bytes()).expect("to write");
    let mut answer = vec![];
    while !answer.ends_with(b"\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => answer.push(byte[0]),
            end => return format!("{end:?} after {}", String::from_utf8_lossy(&answer)),
        }
    }
    String::from_utf8_lossy(&answer).trim_end().to_owned()
}

#[rstest]
fn idle_clients_take_no_descriptor_that_another_needs(
    #[values(32, 64, 256, 1024)] most: u32,
    #[values(Down::Refuses, Down::Hangs)] down: Down,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    let inside = runtime.enter();
    // Bound and not listening, it refuses.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = socket.local_addr().expect("its address").to_string();
    let listen = || {
        let listener = socket.listen(64).expect("to listen").into_std().expect("a listener");
        listener.set_nonblocking(false).expect("a listener");
        Discovery::of(listener)
    };

    let (sender, arrivals) = channel();
    let start = |name| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        Worker::start(name, listener, Does::Done, sender.clone())
    };
    let (old, new) = (start("old"), start("new"));
    let limits = format!("\"sockets\": {most}");
    let config = config(&[("\"sockets\": 1024", &limits)]);
    let (mut discovery, mut listen) = (None, Some(listen));
    if down == Down::Hangs {
        discovery = listen.take().map(|listen| listen());
    }
    let program = Program::configured(&config, &address, &[old.entry()], Some(most));
    let at_rest = program.descriptors();
    let hung = discovery.as_ref().map(|discovery| accept(&discovery.listener, "a call"));

    let (count, most_open) = (most as usize + 200, AtomicUsize::new(0));
    let sample = || most_open.fetch_max(program.descriptors(), Ordering::Relaxed);
    let mut idlers: Vec<_> = (0..count).map(|n| (idle(n, &program.address), sample()).0).collect();
    // They come again as soon as they are turned away, a bounded number of times.
    let mut again = count;
    for n in (0..count).cycle().take(2 * count) {
        if again > 0 && idlers[n].as_mut().is_none_or(closed) {
            idlers[n] = idle(n, &program.address);
            again -= 1;
            sample();
        }
    }

    let (ran, _) = program.ran();
    std::thread::sleep(REST);
    let ran = (program.ran().0 - ran).as_secs_f64() / REST.as_secs_f64();
    let open_idle = program.descriptors();

    // Working clients, one after another and together, beside the idle ones that still come again.
    let mut worked = vec![];
    for (n, idler) in idlers.iter_mut().enumerate().take(JOBS) {
        *idler = idle(n, &program.address);
        worked.push(ask(&program.address, &job(&format!("one{n}"), "")));
        sample();
    }
    let together: Vec<_> = (0..(most / 8).min(8))
        .map(|n| {
            let address = program.address.clone();
            std::thread::spawn(move || ask(&address, &job(&format!("together{n}"), "")))
        })
        .collect();
    worked.extend(together.into_iter().map(|asks| asks.join().expect("an answer")));
    let served = worked.iter().filter(|answer| *answer == "HTTP/1.1 200 OK").count();

    // Discovery returns, and clients go on coming.
    let ends = Arc::new(AtomicBool::new(false));
    let coming = {
        let (address, ends) = (program.address.clone(), ends.clone());
        std::thread::spawn(move || {
            let mut idlers = vec![];
            for n in 0..400 {
                if ends.load(Ordering::Relaxed) {
                    break;
                }
                idlers.push(idle(4 * n, &address));
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let returned = Instant::now();
    drop(hung);
    let discovery = discovery.or_else(|| listen.take().map(|listen| listen())).expect("discovery");
    let watch = discovery.watch();
    let opened = returned.elapsed();
    discovery.tell(&watch, &[new.entry(), entry("old", &old.address, "leaving")]);
    // Held until the new instance has answered its probe.
    let after: Vec<_> = (0..4).map(|n| ask(&program.address, &job(&format!("after{n}"), ""))).collect();
    sample();
    ends.store(true, Ordering::Relaxed);
    coming.join().expect("they end");

    let (counters, resident) = (program.counters(), program.resident());
    drop(inside);
    println!(
        "{most} descriptors, discovery {down:?}: {} idle clients and {} more; open {at_rest} at the start, at most {}, {open_idle} with all \
         idle; running {ran:.3} of the time then; served {served} of {}; the watch came {:.0} ms after the return; \
         {resident} KiB; accept errors {}, shed {}, turned away {}",
        count,
        count - again,
        most_open.load(Ordering::Relaxed),
        worked.len(),
        opened.as_secs_f64() * 1e3,
        counters["accept_errors"],
        counters["shed"],
        counters["turned_away"],
    );
    assert_eq!(counters["accept_errors"], 0);
    assert!(most_open.load(Ordering::Relaxed) <= most as usize);
    assert!(ran <= MOST_RUNNING, "it runs {ran} of the time for nothing");
    assert_eq!(served, worked.len(), "{worked:?}");
    assert!(after.iter().all(|answer| answer == "HTTP/1.1 200 OK"), "{after:?}");
    assert!(arrivals.try_iter().any(|arrival| arrival.worker == "new"));
    assert!(resident <= MOST_MEMORY, "{resident} KiB");
    assert!(opened <= Duration::from_secs(6), "the watch came after {opened:?}");
}

#[test]
fn the_parts_add_up_and_none_is_empty() {
    for sockets in 32..=70_000 {
        let DescriptorBudget { reserved, closing_clients, workers, clients } =
            DescriptorBudget::for_limit(sockets);
        assert_eq!(reserved + closing_clients + workers + clients, sockets);
        // At rest 11 are open, and a client that is turned away holds one more.
        assert!(
            reserved >= 12 && closing_clients >= 1 && workers >= 2 && clients >= 3,
            "{:?}",
            DescriptorBudget::for_limit(sockets)
        );
    }
    let of = |sockets| {
        (DescriptorBudget::for_limit(sockets).workers, DescriptorBudget::for_limit(sockets).clients)
    };
    assert_eq!((of(64), of(256), of(1024)), ((6, 10), (83, 125), (390, 586)));
    // Too few, but no reason to panic.
    for sockets in 0..32 {
        let _ = DescriptorBudget::for_limit(sockets);
    }
}
