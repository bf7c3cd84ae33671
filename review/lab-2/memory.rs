//! Bad clients send the same again as soon as they are turned away. Does the scheduler's memory stay within the limit of
//! its configuration?

use crate::stand::*;

const MEMORY_MB: u64 = 32;
const WORKERS: usize = 4;
const SLOTS: usize = 4;
const RUN: Duration = Duration::from_secs(2);
/// The time after which a client of the class gives up, and what is left of it for those that come again (s).
const DEADLINE_S: u64 = 120;
const BAD_TIMEOUT_S: f64 = 100.0;
const BAD_CLIENTS: usize = 8;
const QUIET: Duration = Duration::from_secs(3);
const FLOOD: Duration = Duration::from_secs(90);
/// Jobs of the usual clients, and how long one of them waits at most in this test.
const USUAL_EVERY: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_secs(12);

fn config(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"NAME","listen":"LISTEN","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":1024}},
"known":{{"index":0,"snapshot":true,"endpoints":[]}},
"settings":{{"az":0,"zones":["langnau"],"kinds":["w5"],"balancers":2,"resolution_ns":2000000,"membership_mode":"on_request",
"caps":{{"cancel":true,"conn_idle_ns":5000000000,"connect_timeout_ns":250000000,"max_retry_after_ns":2000000000,"most_tries":3,"parallel_tries":true,"probing":true,"retry_after":true}},
"classes":[{{"name":"payout","effect":"side_effect","on_time_ns":1000000000,"deadline_ns":{DEADLINE_S}000000000,"importance":2.0,"late_value":0.0}}],
"contract":{{"cold_from":0.12,"cold_ns":23000000000,"fall_multiple":2.5,"fall_ns":1000000000,"must_ask_in_ns":10000000000,"stop_sending_within_ns":2000000000}},
"customers":[],"load_report":{{"fields":["lat_ms","q","x0"],"how":"pull"}},
"specifics":{{"class_kind":[-1],"class_stretch":[2.0],"progress_ns":1000000000,"tells_start":true}}}}}}"#
    )
}

/// What the bad clients did.
#[derive(Default)]
struct Flood {
    ended: AtomicBool,
    sent: AtomicU64,
    turned_away: AtomicU64,
}

/// Sends a job again, as a new request, as soon as it has its answer.
fn repeat(address: SocketAddr, client: usize, flood: &Flood) {
    let mut kept = None;
    for number in 0u64.. {
        if flood.ended.load(Ordering::Relaxed) {
            return;
        }
        let job = job(&format!("bad{client:x}{number:012x}"), "payout", "", BAD_TIMEOUT_S, "", b"x");
        flood.sent.fetch_add(1, Ordering::Relaxed);
        match send_job(address, &mut kept, &job, PATIENCE) {
            Some((429 | 503, _)) => drop(flood.turned_away.fetch_add(1, Ordering::Relaxed)),
            Some(_) => {}
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

/// Hands in jobs at an even pace until the flood has ended, and returns how many had no answer.
fn usual_clients(run: &Run, address: SocketAddr, flood: &Flood) -> usize {
    let mut jobs = vec![];
    for number in 0.. {
        if flood.ended.load(Ordering::Relaxed) {
            break;
        }
        let record = run.record.clone();
        jobs.push(std::thread::spawn(move || {
            let id = format!("0a{number:014x}");
            record.add(format!("client sends {id}"));
            let job = job(&id, "payout", "", DEADLINE_S as f64, "", b"x");
            let answer = send_job(address, &mut None, &job, PATIENCE);
            record.add(format!("client has {} for {id}", answer.as_ref().map_or(0, |(status, _)| *status)));
            answer.is_none()
        }));
        std::thread::sleep(USUAL_EVERY);
    }
    jobs.into_iter().filter_map(|job| job.join().ok()).filter(|is_unanswered| *is_unanswered).count()
}

fn start_workers(run: &Run, discovery: &Discovery) {
    for number in 0..WORKERS {
        let name = format!("w{number}");
        let running = Arc::new(AtomicUsize::new(0));
        let (probed, record, own_name) = (running.clone(), run.record.clone(), name.clone());
        let address = start_worker(
            move || {
                let busy = probed.load(Ordering::Relaxed);
                let (queued, free) = (busy.saturating_sub(SLOTS), SLOTS.saturating_sub(busy));
                Some(format!("{{\"lat_ms\":2000,\"q\":{queued},\"x0\":{free}}}"))
            },
            move |message, stream| {
                let id = message.header("request-id").unwrap_or("").to_owned();
                record.add(format!("{own_name} runs {id}"));
                running.fetch_add(1, Ordering::Relaxed);
                run_job(stream, &own_name, &id, RUN, String::new);
                running.fetch_sub(1, Ordering::Relaxed);
            },
        );
        discovery.set(&name, entry(&name, address, "active", 1, 0));
    }
}

pub fn run(run: &Run) -> bool {
    let discovery = Discovery::start();
    start_workers(run, &discovery);
    let mut scheduler = Scheduler::start(&run.folder, "n0", &config(discovery.address));
    let address = scheduler.address;
    std::thread::sleep(QUIET);
    let flood = Arc::new(Flood::default());
    if run.trouble {
        run.record.add(format!(
            "{BAD_CLIENTS} clients begin to send the same again as soon as they are turned away"
        ));
        for client in 0..BAD_CLIENTS {
            let flood = flood.clone();
            std::thread::spawn(move || repeat(address, client, &flood));
        }
    }
    let limit_kib = MEMORY_MB << 10;
    let (mut most, mut ended) = (0, false);
    let unanswered = std::thread::scope(|scope| {
        let usual = scope.spawn(|| usual_clients(run, address, &flood));
        let until = Instant::now() + FLOOD;
        let mut next_line = Instant::now();
        // A tenth more than the limit is enough to see; the platform would have killed the process before.
        while Instant::now() < until && !ended && most <= limit_kib * 11 / 10 {
            std::thread::sleep(Duration::from_millis(100));
            ended = scheduler.has_ended();
            most = most.max(scheduler.memory_kib());
            if Instant::now() >= next_line {
                next_line += Duration::from_secs(2);
                let (sent, away) =
                    (flood.sent.load(Ordering::Relaxed), flood.turned_away.load(Ordering::Relaxed));
                let memory = scheduler.memory_kib();
                run.record.add(format!(
                    "memory {memory} KiB; bad clients sent {sent}, were turned away {away} times"
                ));
            }
        }
        flood.ended.store(true, Ordering::Relaxed);
        usual.join().unwrap_or(usize::MAX)
    });
    let text = format!(
        "most memory {most} KiB, limit {limit_kib} KiB; ended by itself: {ended}; bad clients sent {}; usual jobs without an answer: {unanswered}",
        flood.sent.load(Ordering::Relaxed)
    );
    println!("{text}");
    run.record.add(text);
    most <= limit_kib && !ended
}
