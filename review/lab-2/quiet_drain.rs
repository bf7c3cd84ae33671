//! Workers begin to drain in a quiet hour, before the schedulers have had any job. Then the day's jobs come.

use crate::stand::*;

const WORKERS: usize = 12;
/// Nearly half of them.
const DRAINING: usize = 5;
const SCHEDULERS: usize = 2;
/// How long it is quiet, and after how much of it the workers begin to drain.
const QUIET: Duration = Duration::from_secs(10);
const DRAIN_AT: Duration = Duration::from_secs(4);
/// Jobs a second of each scheduler, and for how long.
const JOBS_PER_S: u32 = 5;
const BUSY: Duration = Duration::from_secs(40);

fn config(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"NAME","listen":"LISTEN","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"index":0,"snapshot":true,"endpoints":[]}},
"settings":{{"az":0,"zones":["langnau"],"kinds":["w5"],"balancers":{SCHEDULERS},"resolution_ns":2000000,"membership_mode":"on_request",
"caps":{{"cancel":true,"conn_idle_ns":10000000000,"connect_timeout_ns":200000000,"max_retry_after_ns":2000000000,"most_tries":4,"parallel_tries":true,"probing":true,"retry_after":true}},
"classes":[{{"name":"lookup","effect":"pure","on_time_ns":300000000,"deadline_ns":5000000000,"importance":1.0,"late_value":0.0}}],
"contract":{{"cold_from":0.14,"cold_ns":24000000000,"fall_multiple":3.0,"fall_ns":1500000000,"must_ask_in_ns":10000000000,"stop_sending_within_ns":500000000}},
"customers":[{{"name":"north","portion":0.5,"quota_per_s":6.3}},{{"name":"south","portion":0.5,"quota_per_s":6.3}}],
"load_report":{{"fields":["busy","q","x0"],"how":"pull"}},
"specifics":{{"class_kind":[-1],"class_stretch":[2.0],"progress_ns":2000000000,"tells_start":true}}}}}}"#
    )
}

pub fn run(run: &Run) -> bool {
    let discovery = Discovery::start();
    let attempts: Attempts = Arc::default();
    let workers: Vec<(String, SocketAddr)> = (0..WORKERS)
        .map(|number| {
            let name = format!("w{number}");
            let (record, attempts, own_name) = (run.record.clone(), attempts.clone(), name.clone());
            let address = start_worker(
                || Some("{\"busy\":0.1,\"q\":0,\"x0\":4}".to_owned()),
                move |message, stream| {
                    let id = message.header("request-id").unwrap_or("").to_owned();
                    record.add(format!("{own_name} runs {id}"));
                    let scheduler =
                        usize::from_str_radix(id.get(..4).unwrap_or(""), 16).unwrap_or(usize::MAX);
                    attempts.lock().unwrap().push((scheduler, record.now()));
                    run_job(stream, &own_name, &id, Duration::from_millis(150), String::new);
                },
            );
            discovery.set(&name, entry(&name, address, "active", number as u32 / 4, 0));
            (name, address)
        })
        .collect();
    let schedulers: Vec<Scheduler> = (0..SCHEDULERS)
        .map(|n| Scheduler::start(&run.folder, &format!("n{n}"), &config(discovery.address)))
        .collect();
    run.record.add("all schedulers are ready; it is quiet");
    std::thread::sleep(DRAIN_AT);
    if run.trouble {
        for (name, address) in &workers[..DRAINING] {
            discovery.set(name, entry(name, *address, "leaving", 0, 0));
            run.record.add(format!("discovery tells that {name} is leaving"));
        }
    }
    std::thread::sleep(QUIET - DRAIN_AT);
    let stuck = std::thread::scope(|scope| {
        let clients: Vec<_> = schedulers
            .iter()
            .enumerate()
            .map(|(number, scheduler)| {
                let address = scheduler.address;
                scope.spawn(move || clients(run, number, address, JOBS_PER_S, BUSY, &["north", "south"], 5.0))
            })
            .collect();
        let answers = clients.into_iter().map(|client| client.join().unwrap_or_default());
        answers.enumerate().filter(|(number, answers)| is_stuck(run, *number, answers, &attempts)).count()
    });
    // One in ten may: of two, none.
    stuck * 10 <= SCHEDULERS
}
