//! Case 1: a hundred bad clients send bodies of 60 MB, in small pieces and at full speed, beside the usual clients.
#[path = "../lab/lab.rs"]
mod lab;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Instant;

use lab::{config, finish, fresh_id, limit_time, ms, trouble, Client, Discovery, Ending, Record, Scheduler, Worker};
use lab::{BROKEN, HELD, NOT_RUN};

/// Memory and descriptors of each scheduler, as the bench gives them on a day with bad clients.
const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 640;
/// How many bad clients come, all to one scheduler.
const BAD_CLIENTS: usize = 100;
/// How much each has to send.
const BODY_BYTES: usize = 60_000_000;

/// What became of the bad clients: on how many connections they came, on how many of them an error or a close came within 6 s, and
/// how much they sent.
#[derive(Default)]
struct Bad {
    connections: AtomicU64,
    let_go: AtomicU64,
    sent: AtomicU64,
}

/// One bad client, that comes again as soon as it is turned away.
fn misbehave(address: SocketAddr, bad: &Bad) {
    let come = Instant::now();
    while come.elapsed() < ms(6_000) && send_body(address, bad) {}
}

/// Sends one body on a connection of its own, and reads whatever comes. Returns whether the scheduler accepted the connection.
fn send_body(address: SocketAddr, bad: &Bad) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let started = Instant::now();
    let Ok(mut reader) = stream.try_clone() else { return false };
    let reading = thread::spawn(move || {
        let mut space = [0; 4_096];
        while reader.read(&mut space).is_ok_and(|n| n > 0) {}
    });
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {}\r\nRequest-Class: reading\r\nTenant: emmental\r\n\
         Request-Timeout: 5.000\r\nTransfer-Encoding: chunked\r\n\r\n",
        fresh_id()
    );
    let pieces = b"1\r\nx\r\n".repeat(1_000);
    let mut body = 0;
    if stream.write_all(head.as_bytes()).is_ok() {
        while body < BODY_BYTES && stream.write_all(&pieces).is_ok() {
            body += 1_000;
        }
    }
    drop(stream.shutdown(std::net::Shutdown::Write));
    drop(reading.join());
    bad.connections.fetch_add(1, Ordering::Relaxed);
    bad.sent.fetch_add(body as u64, Ordering::Relaxed);
    if started.elapsed() < ms(6_000) {
        bad.let_go.fetch_add(1, Ordering::Relaxed);
    }
    true
}

fn main() {
    let record = Record::create();
    limit_time(&record, ms(60_000));
    let workers: Vec<_> =
        (0..12).map(|n| Worker::start(&record, &format!("w{n}"), n / 4, 5, ms(400))).collect();
    let discovery = Discovery::start(&record, &workers);
    let config = config(MEMORY_MB, SOCKETS);
    let schedulers: Arc<Vec<_>> = Arc::new(
        ["n0", "n1"].iter().map(|name| Scheduler::start(&record, name, &config, &discovery)).collect(),
    );
    sleep(ms(1_000));

    // The platform: it kills a scheduler that goes over its memory.
    let (over, most, ended) = (Arc::new(Mutex::new(None)), Arc::new(AtomicU64::new(0)), Arc::<AtomicBool>::default());
    {
        let (record, schedulers) = (record.clone(), schedulers.clone());
        let (over, most, ended) = (over.clone(), most.clone(), ended.clone());
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                for scheduler in schedulers.iter() {
                    let kib = scheduler.resident_kib();
                    if kib > most.fetch_max(kib, Ordering::SeqCst) + 4_096 {
                        record.note(format!("{} has {} MiB in use", scheduler.name, kib >> 10));
                    }
                    if kib > u64::from(MEMORY_MB) << 10 {
                        scheduler.kill();
                        let what = format!("{} uses {} of {MEMORY_MB} MiB and is killed", scheduler.name, kib >> 10);
                        record.note(format!("platform: {what}"));
                        over.lock().unwrap().get_or_insert(what);
                    }
                }
                sleep(ms(10));
            }
        });
    }

    // The usual clients: ten at each scheduler, each with one job after the other.
    let endings: Arc<Mutex<Vec<(usize, Ending)>>> = Arc::default();
    let mut clients = vec![];
    for number in 0..20 {
        let which = number % schedulers.len();
        let mut client = Client::new(&record, schedulers[which].address);
        let (endings, ended) = (endings.clone(), ended.clone());
        clients.push(thread::spawn(move || {
            sleep(ms(20) * number as u32);
            while !ended.load(Ordering::SeqCst) {
                let ending = client.ask("reading", "bern-mittelland", ms(5_000));
                let is_lost = matches!(ending, Ending::Lost(_));
                endings.lock().unwrap().push((which, ending));
                if is_lost {
                    break;
                }
                sleep(ms(100));
            }
        }));
    }
    sleep(ms(3_000));

    // The bad ones.
    let bad = Arc::new(Bad::default());
    let mut bad_clients = vec![];
    if trouble() {
        record.note(format!("{BAD_CLIENTS} bad clients come to n0, each with a body of 60 MB in small pieces"));
        for _ in 0..BAD_CLIENTS {
            let (bad, address) = (bad.clone(), schedulers[0].address);
            bad_clients.push(thread::spawn(move || misbehave(address, &bad)));
        }
    }
    let come = Instant::now();
    while come.elapsed() < ms(8_000) && over.lock().unwrap().is_none() {
        sleep(ms(10));
    }
    sleep(ms(1_000));
    ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    bad_clients.into_iter().for_each(|client| drop(client.join()));

    let endings = endings.lock().unwrap();
    let count = |wanted: &dyn Fn(&Ending) -> bool| endings.iter().filter(|(_, ending)| wanted(ending)).count();
    let served = count(&|ending| matches!(ending, Ending::Answered(200, _)));
    let lost = count(&|ending| matches!(ending, Ending::Lost(_)));
    record.note(format!("{} jobs of usual clients: {served} served, {lost} lost", endings.len()));
    record.note(format!(
        "bad clients: {} connections, {} of them ended within 6 s, {} bytes of bodies written",
        bad.connections.load(Ordering::Relaxed),
        bad.let_go.load(Ordering::Relaxed),
        bad.sent.load(Ordering::Relaxed)
    ));
    let most = most.load(Ordering::SeqCst) >> 10;
    let over = over.lock().unwrap().clone();
    match over {
        Some(what) => finish(&record, BROKEN, &format!("{what}; {lost} accepted jobs are lost with it")),
        None if schedulers.iter().any(Scheduler::has_ended) => finish(&record, BROKEN, "a scheduler has ended"),
        None if served == 0 => finish(&record, NOT_RUN, "no job was served"),
        None => finish(&record, HELD, &format!("at most {most} of {MEMORY_MB} MiB in use; {served} jobs served, {lost} lost")),
    }
}
