//! Usual clients get large results while bad clients stop in the middle of a request. Does the scheduler's memory stay
//! within the limit of its configuration?

use crate::stand::*;

const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 1024;
const WORKERS: usize = 20;
const SLOTS: usize = 10;
const RUN: Duration = Duration::from_millis(300);
const RESULT: usize = 65_000;
/// At most a third of the descriptors are held by clients for requests.
const USUAL_CLIENTS: usize = 200;
const BAD_CLIENTS: usize = 250;
/// A bad client announces the largest body, and sends so much of it.
const BODY: usize = 64 << 10;
const HALF_BODY: usize = 60_000;
const BUSY: Duration = Duration::from_secs(20);
const BAD_AFTER: Duration = Duration::from_secs(5);
/// Before a usual client that was turned away tries again.
const PAUSE: Duration = Duration::from_millis(100);

/// The settings of the page on the wire without tenants, and with the limits of this case.
fn config(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"NAME","listen":"LISTEN","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},
"known":{{"index":0,"snapshot":true,"endpoints":[]}},
"settings":{{"az":0,"zones":["langnau"],"kinds":["w5","w4-slow"],"balancers":2,"resolution_ns":2000000,"membership_mode":"on_request",
"caps":{{"cancel":true,"conn_idle_ns":10000000000,"connect_timeout_ns":200000000,"max_retry_after_ns":2000000000,"most_tries":4,"parallel_tries":true,"probing":true,"retry_after":true}},
"classes":[{{"name":"reading","effect":"token","group":"cell","window_ns":7500000000,"on_time_ns":200000000,"deadline_ns":5000000000,"importance":1.0,"late_value":0.0}}],
"contract":{{"answer_slack_ns":8000000,"cold_from":0.14,"cold_ns":24000000000,"fall_multiple":3.0,"fall_ns":1500000000,"must_ask_in_ns":10000000000,"stop_sending_within_ns":500000000}},
"customers":[],
"load_report":{{"fields":["busy","q","x0"],"how":"pull"}},"weights":"nominal",
"specifics":{{"class_kind":[-1],"class_stretch":[2.5],"progress_ns":2000000000,"tells_start":true}}}}}}"#
    )
}

/// What was sent, run and answered. Single jobs are recorded for the first two of each client, and where one was not served.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    run: AtomicU64,
    answers: Mutex<BTreeMap<u16, u32>>,
}

fn start_workers(run: &Run, discovery: &Discovery, counts: &Arc<Counts>) {
    for number in 0..WORKERS {
        let name = format!("w{number}");
        let running = Arc::new(AtomicUsize::new(0));
        let (probed, record, own_name) = (running.clone(), run.record.clone(), name.clone());
        let counts = counts.clone();
        let address = start_worker(
            move || {
                let busy = probed.load(Ordering::Relaxed);
                let (queued, free) = (busy.saturating_sub(SLOTS), SLOTS.saturating_sub(busy));
                Some(format!("{{\"busy\":0.5,\"q\":{queued},\"x0\":{free}}}"))
            },
            move |message, stream| {
                let id = message.header("request-id").unwrap_or("").to_owned();
                counts.run.fetch_add(1, Ordering::Relaxed);
                if is_recorded(&id) {
                    record.add(format!("{own_name} runs {id}"));
                }
                running.fetch_add(1, Ordering::Relaxed);
                run_job_for(stream, &own_name, &id, RUN, &"r".repeat(RESULT), String::new);
                running.fetch_sub(1, Ordering::Relaxed);
            },
        );
        discovery.set(&name, entry(&name, address, "active", number as u32 / 4, 0));
    }
}

/// Returns whether a job is one of the first two of its client.
fn is_recorded(id: &str) -> bool {
    id.get(6..).is_some_and(|number| number <= "0000000001")
}

/// Hands in one job after the other.
fn usual_client(run: &Run, address: SocketAddr, client: usize, until: Instant, counts: &Counts) {
    let mut kept = None;
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("{client:06x}{number:010x}");
        let more = format!("Idempotency-Key: {client:016x}{number:016x}\r\n");
        let job = job(&id, "reading", "", 5.0, &more, &[b'x'; 212]);
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let status =
            send_job(address, &mut kept, &job, Duration::from_secs(6)).map_or(0, |(status, _)| status);
        if is_recorded(&id) || status != 200 {
            run.record.add(format!("client has {status} for {id}"));
        }
        *counts.answers.lock().unwrap().entry(status).or_default() += 1;
        if status != 200 {
            std::thread::sleep(PAUSE);
        }
    }
}

/// Sends most of a request, waits for an error or a close, and comes again.
fn bad_client(address: SocketAddr, client: usize, until: Instant) {
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut request = job(&format!("half{client:012x}"), "reading", "", 5.0, "", &vec![b'x'; BODY]);
        request.truncate(request.len() - BODY + HALF_BODY);
        let _ = stream.write_all(&request);
        let _ = stream.read(&mut [0; 1024]);
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(run: &Run) -> bool {
    let discovery = Discovery::start();
    let counts = Arc::new(Counts::default());
    start_workers(run, &discovery, &counts);
    // The second scheduler of the deployment has no clients here.
    let mut scheduler = Scheduler::start(&run.folder, "n0", &config(discovery.address));
    let _other = Scheduler::start(&run.folder, "n1", &config(discovery.address));
    std::thread::sleep(Duration::from_secs(2));
    let (address, until) = (scheduler.address, Instant::now() + BUSY);
    let (mut most, mut most_before, mut ended) = (0, 0, false);
    std::thread::scope(|scope| {
        for client in 0..USUAL_CLIENTS {
            let counts = &counts;
            scope.spawn(move || usual_client(run, address, client, until, counts));
        }
        let bad_from = until - BUSY + BAD_AFTER;
        let mut bad_clients = run.trouble;
        let mut next_line = Instant::now();
        while Instant::now() < until && !ended {
            if bad_clients && Instant::now() >= bad_from {
                bad_clients = false;
                run.record
                    .add(format!("{BAD_CLIENTS} bad clients come, and stop in the middle of a request"));
                (0..BAD_CLIENTS)
                    .for_each(|client| drop(scope.spawn(move || bad_client(address, client, until))));
            }
            std::thread::sleep(Duration::from_millis(20));
            ended = scheduler.has_ended();
            let memory = scheduler.memory_kib();
            most = most.max(memory);
            if Instant::now() < bad_from {
                most_before = most;
            }
            if Instant::now() >= next_line {
                next_line += Duration::from_secs(1);
                let (sent, ran) = (counts.sent.load(Ordering::Relaxed), counts.run.load(Ordering::Relaxed));
                let answers = counts.answers.lock().unwrap().clone();
                run.record.add(format!(
                    "memory {memory} KiB; sent {sent}, run {ran}, answers by status {answers:?}"
                ));
            }
        }
    });
    let limit_kib = MEMORY_MB << 10;
    let text = format!(
        "most memory {most} KiB, limit {limit_kib} KiB, in the first {BAD_AFTER:?} {most_before} KiB; answers {:?}; ended by itself: {ended}",
        counts.answers.lock().unwrap()
    );
    println!("{text}");
    run.record.add(text);
    most <= limit_kib && !ended
}
