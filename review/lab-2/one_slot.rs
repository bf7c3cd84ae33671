//! Workers with one slot each, and clients whose tries have only a part of the class's deadline.

use crate::stand::*;

const WORKERS: usize = 12;
const SCHEDULERS: usize = 2;
const RUN: Duration = Duration::from_millis(150);
const JOBS_PER_S: u32 = 5;
const BUSY: Duration = Duration::from_secs(30);
/// The time after which a client of the class gives up, and that of those who give up early (s).
const DEADLINE_S: u64 = 5;
const EARLY_S: f64 = 3.0;

fn config(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"NAME","listen":"LISTEN","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"index":0,"snapshot":true,"endpoints":[]}},
"settings":{{"az":0,"zones":["langnau"],"kinds":["w5"],"balancers":{SCHEDULERS},"resolution_ns":2000000,"membership_mode":"on_request",
"caps":{{"cancel":true,"conn_idle_ns":10000000000,"connect_timeout_ns":200000000,"max_retry_after_ns":2000000000,"most_tries":4,"parallel_tries":true,"probing":true,"retry_after":true}},
"classes":[{{"name":"lookup","effect":"pure","on_time_ns":300000000,"deadline_ns":{DEADLINE_S}000000000,"importance":1.0,"late_value":0.0}}],
"contract":{{"cold_from":0.14,"cold_ns":24000000000,"fall_multiple":3.0,"fall_ns":1500000000,"must_ask_in_ns":10000000000,"stop_sending_within_ns":500000000}},
"customers":[],"load_report":{{"fields":["busy","q","x0"],"how":"pull"}},
"specifics":{{"class_kind":[-1],"class_stretch":[2.0],"progress_ns":2000000000,"tells_start":true}}}}}}"#
    )
}

pub fn run(run: &Run) -> bool {
    let discovery = Discovery::start();
    let attempts: Attempts = Arc::default();
    for number in 0..WORKERS {
        let name = format!("w{number}");
        let running = Arc::new(AtomicUsize::new(0));
        let (record, attempts, own_name, probed) =
            (run.record.clone(), attempts.clone(), name.clone(), running.clone());
        let address = start_worker(
            move || {
                let busy = probed.load(Ordering::Relaxed);
                Some(format!(
                    "{{\"busy\":{}.0,\"q\":{},\"x0\":{}}}",
                    busy.min(1),
                    busy.saturating_sub(1),
                    1 - busy.min(1)
                ))
            },
            move |message, stream| {
                let id = message.header("request-id").unwrap_or("").to_owned();
                record.add(format!("{own_name} runs {id}"));
                let scheduler = usize::from_str_radix(id.get(..4).unwrap_or(""), 16).unwrap_or(usize::MAX);
                attempts.lock().unwrap().push((scheduler, record.now()));
                running.fetch_add(1, Ordering::Relaxed);
                run_job(stream, &own_name, &id, RUN, String::new);
                running.fetch_sub(1, Ordering::Relaxed);
            },
        );
        discovery.set(&name, entry(&name, address, "active", 1, 0));
    }
    let schedulers: Vec<Scheduler> = (0..SCHEDULERS)
        .map(|n| Scheduler::start(&run.folder, &format!("n{n}"), &config(discovery.address)))
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let timeout_s = if run.trouble { EARLY_S } else { DEADLINE_S as f64 };
    let stuck = std::thread::scope(|scope| {
        let all: Vec<_> = schedulers
            .iter()
            .enumerate()
            .map(|(number, scheduler)| {
                let address = scheduler.address;
                scope.spawn(move || clients(run, number, address, JOBS_PER_S, BUSY, &[""], timeout_s))
            })
            .collect();
        let answers = all.into_iter().map(|client| client.join().unwrap_or_default());
        answers.enumerate().filter(|(number, answers)| is_stuck(run, *number, answers, &attempts)).count()
    });
    stuck * 10 <= SCHEDULERS
}
