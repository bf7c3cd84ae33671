//! The settings allow no probes, and load reports come with answers. For one second connections are reset under requests
//! that have begun. Then all workers are sound again.

use crate::stand::*;

const WORKERS: usize = 6;
const SLOTS: usize = 4;
const RUN: Duration = Duration::from_millis(150);
const JOBS_PER_S: u32 = 15;
const BUSY: Duration = Duration::from_secs(40);
const RESETS_FROM: Duration = Duration::from_secs(5);
const RESETS_UNTIL: Duration = Duration::from_secs(6);

fn config(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"NAME","listen":"LISTEN","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"index":0,"snapshot":true,"endpoints":[]}},
"settings":{{"az":0,"zones":["langnau"],"kinds":["w5"],"balancers":1,"resolution_ns":2000000,"membership_mode":"on_request",
"caps":{{"cancel":true,"conn_idle_ns":10000000000,"connect_timeout_ns":200000000,"max_retry_after_ns":2000000000,"most_tries":3,"parallel_tries":true,"probing":false,"retry_after":true}},
"classes":[{{"name":"lookup","effect":"pure","on_time_ns":300000000,"deadline_ns":5000000000,"importance":1.0,"late_value":0.0}}],
"contract":{{"cold_from":0.14,"cold_ns":24000000000,"fall_multiple":3.0,"fall_ns":1500000000,"must_ask_in_ns":10000000000,"stop_sending_within_ns":500000000}},
"customers":[],"load_report":{{"fields":["rif","q","x0"],"how":"piggyback"}},
"specifics":{{"class_kind":[-1],"class_stretch":[2.0],"progress_ns":2000000000,"tells_start":true}}}}}}"#
    )
}

pub fn run(run: &Run) -> bool {
    let discovery = Discovery::start();
    let attempts: Attempts = Arc::default();
    let resetting = Arc::new(AtomicBool::new(false));
    for number in 0..WORKERS {
        let name = format!("w{number}");
        let (record, attempts, own_name) = (run.record.clone(), attempts.clone(), name.clone());
        let (resetting, running) = (resetting.clone(), Arc::new(AtomicUsize::new(0)));
        let address = start_worker(
            || None,
            move |message, stream| {
                let id = message.header("request-id").unwrap_or("").to_owned();
                attempts.lock().unwrap().push((0, record.now()));
                if resetting.load(Ordering::Relaxed) {
                    record.add(format!("{own_name} begins {id}, and its connection is reset"));
                    std::thread::sleep(Duration::from_millis(20));
                    return reset(stream);
                }
                record.add(format!("{own_name} runs {id}"));
                running.fetch_add(1, Ordering::Relaxed);
                run_job(stream, &own_name, &id, RUN, || {
                    let busy = running.fetch_sub(1, Ordering::Relaxed) - 1;
                    format!("{{\"rif\":{busy},\"q\":0,\"x0\":{}}}", SLOTS.saturating_sub(busy))
                });
            },
        );
        discovery.set(&name, entry(&name, address, "active", 1, 0));
    }
    let scheduler = Scheduler::start(&run.folder, "n0", &config(discovery.address));
    std::thread::sleep(Duration::from_secs(2));
    let answers = std::thread::scope(|scope| {
        let clients = scope.spawn(|| clients(run, 0, scheduler.address, JOBS_PER_S, BUSY, &[""], 5.0));
        if run.trouble {
            std::thread::sleep(RESETS_FROM);
            resetting.store(true, Ordering::Relaxed);
            run.record.add("from now on connections are reset under requests");
            std::thread::sleep(RESETS_UNTIL - RESETS_FROM);
            resetting.store(false, Ordering::Relaxed);
            run.record.add("all workers are sound again");
        }
        clients.join().unwrap_or_default()
    });
    !is_stuck(run, 0, &answers, &attempts)
}
