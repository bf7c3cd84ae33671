//! Case 2: the open watches fall silent, workers begin to drain, and discovery goes down before the silence is noticed.
#[path = "../lab/lab.rs"]
mod lab;

use std::thread::sleep;
use std::time::{Duration, Instant};

use lab::{batch, config, finish, limit_time, ms, trouble, Discovery, Ending, Record, Scheduler, Worker};
use lab::{BROKEN, HELD, NOT_RUN};

/// A change counts as told at the latest so long after the watch that misses it fell silent, and so long after discovery had
/// the change and could be reached.
const TOLD_AFTER: Duration = Duration::from_millis(6_000);
/// `stop_sending_within_ns` of the settings, and what real sockets get on top.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// The class and the tenant of the jobs.
const JOBS: (&str, &str) = ("reading", "emmental");

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

fn main() {
    let record = Record::create();
    limit_time(&record, ms(60_000));
    let workers: Vec<_> =
        (0..12).map(|n| Worker::start(&record, &format!("w{n}"), n / 4, 5, ms(150))).collect();
    let discovery = Discovery::start(&record, &workers);
    let config = config(64, 640);
    let schedulers: Vec<_> =
        ["n0", "n1"].iter().map(|name| Scheduler::start(&record, name, &config, &discovery)).collect();
    sleep(ms(1_000));

    // Scales push their readings together, every now and then.
    let first = batch(&record, &schedulers, JOBS, 16, ms(1_000), ms(5_000));
    if !first.iter().all(|ending| matches!(ending, Ending::Answered(200, _))) {
        finish(&record, NOT_RUN, "jobs are not served before anything has happened");
    }

    // With trouble: all open watches fall silent here.
    let silent = if trouble() { discovery.silence_watches() } else { Instant::now() };
    record.note(if trouble() { "all open watches fall silent" } else { "no watch falls silent" });
    sleep_until(silent + ms(500));
    let leaving = &workers[..5];
    leaving.iter().for_each(|worker| worker.drain());
    discovery.change(leaving);
    let drained = Instant::now();
    record.note("five of twelve workers begin to drain, and discovery has it");

    // Discovery can be reached for another 1.5 s, and is down for 8 s then.
    sleep_until(silent + ms(2_000));
    if trouble() {
        discovery.go_down();
        record.note("discovery goes down: watches end, connections are refused");
    }
    let told = (silent + TOLD_AFTER).max(drained + TOLD_AFTER);
    record.note_at(told, "by now the scheduler counts as told that they drain");
    record.note_at(told + GRACE, "from now on nothing new may be sent to them");

    // The next readings.
    sleep_until(silent + ms(7_600));
    let second = batch(&record, &schedulers, JOBS, 16, ms(1_500), ms(5_000));
    sleep_until(silent + ms(10_000));
    if trouble() && !discovery.come_back() {
        finish(&record, NOT_RUN, "discovery does not come back");
    }
    record.note("discovery is up");
    sleep(ms(1_500));

    let served = second.iter().filter(|ending| matches!(ending, Ending::Answered(200, _))).count();
    record.note(format!("{served} of the {} later jobs are served", second.len()));
    if schedulers.iter().any(Scheduler::has_ended) {
        finish(&record, NOT_RUN, "a scheduler has ended");
    }
    let late: Vec<String> = leaving
        .iter()
        .flat_map(|worker| {
            let arrivals = worker.arrivals.lock().unwrap();
            let late = arrivals.iter().filter(|(at, _, _)| *at > told + GRACE);
            late.map(|(at, id, _)| {
                let after = at.saturating_duration_since(told).as_secs_f64();
                format!("job {id} at {} {after:.2} s after the scheduler counts as told", worker.name)
            })
            .collect::<Vec<_>>()
        })
        .collect();
    late.iter().for_each(|line| record.note(format!("sent to a worker that drains: {line}")));
    match late.first() {
        Some(first) => finish(&record, BROKEN, &format!("{} jobs sent to draining workers: {first}", late.len())),
        None => finish(&record, HELD, "nothing was sent to a draining worker after the grace"),
    }
}
