//! What all dispatchers of a fleet together send to workers that have just started, in virtual time.
//!
//! Real `Dispatcher`s, and stand-ins for the rest: workers with slots, a queue, a capacity that rises from
//! `slow_start_initial_share` to all of it and a report that is the same for all for a second; clients whose
//! requests come at random and who come again, at another dispatcher, after a rejection, a failure or the end
//! of their dispatcher. A third of the workers is replaced by ones that have just started at one moment.
//!
//! A warming worker fails when, in a time `overload_s`, it gets more than `N + 2 * sqrt(N) + 2` calls; `N` is
//! what the settings allow it: `overload_multiple` times its capacity times `overload_s`, in requests of mean
//! work. Each window that begins with a call is judged by the capacity at its beginning, when it is least. A
//! figure is `(calls - N) / (2 * sqrt(N) + 2)`, and must not be above 1.
//!
//! One seed and four sizes of each case run by default. The whole table, with a hundred seeds of each:
//! `SLOW_START_FLEET_SEEDS=100 SLOW_START_FLEET_SIZES=2,5,20,30,100,300 cargo test -p nickelflow-dispatcher
//! --test slow_start_fleet -- --nocapture --test-threads 3`; `SLOW_START_FLEET_SEEDS=50,100` are the seeds
//! from 50 to 99. Each line is: deployment, load, keys, dispatchers, traffic, dispatchers that change; the
//! worst figure of calls, and of calls and probes together; the part of the budget that is used, in all and
//! in the first quarter; the part that is served.
//!
//! Beside the table, drawn deployments: `SLOW_START_FLEET_DRAWS=0,200` plays the numbers from 0 to 199, of
//! which each is played again by itself with `SLOW_START_FLEET_DRAWS=N,N+1`.

#[path = "../common/mod.rs"]
mod common;
mod deployment;
mod fleet;

use deployment::{drawn, long_jobs, quick_jobs, short_jobs, Deployment};
use fleet::{Case, Figures, Fleet};
use rstest::rstest;

/// Returns what the seeds of a case come to.
fn measure(case: &Case, seeds: std::ops::Range<u64>) -> Figures {
    let mut all = Figures { worst_calls: f64::MIN, worst_with_probes: f64::MIN, ..Figures::default() };
    for seed in seeds {
        all.add(Fleet::new(case.clone(), seed).run());
    }
    all
}

fn setting(name: &str, usual: &str) -> Vec<u64> {
    let text = std::env::var(name).unwrap_or_else(|_| usual.into());
    text.split(',').map(|n| n.parse().expect("a whole number")).collect()
}

fn seeds() -> std::ops::Range<u64> {
    match setting("SLOW_START_FLEET_SEEDS", "1")[..] {
        [from, to] => from..to,
        [to] => 0..to,
        _ => panic!("SLOW_START_FLEET_SEEDS is how many, or the first and the one after the last"),
    }
}

#[rstest]
fn what_all_dispatchers_send_to_a_warming_worker_stays_within_its_budget(
    #[values(short_jobs(), long_jobs(), quick_jobs())] deployment: Deployment,
    #[values((0.7, false), (0.7, true), (1.3, false))] traffic: (f64, bool),
) {
    let (load, hot_keys) = traffic;
    let mut over = vec![];
    for dispatchers in setting("SLOW_START_FLEET_SIZES", "2,5,20,100").into_iter().map(|n| n as u32) {
        for (uneven, churn) in [(false, false), (true, false), (false, true), (true, true)] {
            let case = Case { deployment: deployment.clone(), dispatchers, uneven, churn, load, hot_keys };
            let f = measure(&case, seeds());
            let line = format!(
                "| {} | {load} | {} | {dispatchers} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
                deployment.name,
                if hot_keys { "few hot" } else { "alike" },
                if uneven { "uneven" } else { "even" },
                if churn { "join, die, restart" } else { "stay" },
                f.worst_calls,
                f.worst_with_probes,
                f.calls / f.allowed,
                f.early_calls / f.early_allowed,
                f.served / f.requests,
            );
            println!("{line}");
            if f.worst_calls > 1.0 {
                over.push(line);
            }
        }
    }
    assert!(over.is_empty(), "more than the budget and chance:\n{}", over.join("\n"));
}

/// Without a limit of what each sends, a hundred sent long jobs up to 1.2 times what is put down to chance.
#[rstest]
fn a_hundred_dispatchers_of_an_overloaded_fleet_do_not_overload_a_warming_worker(
    #[values(false, true)] uneven: bool,
) {
    let traffic =
        Case { deployment: long_jobs(), dispatchers: 100, uneven, churn: false, load: 1.3, hot_keys: false };
    let figures = measure(&traffic, 0..8);
    assert!(figures.worst_calls <= 1.0, "{:.2} of what is put down to chance", figures.worst_calls);
    let used = figures.calls / figures.allowed;
    assert!(used > 0.01, "{used:.2} of the budget is used");
}

/// How a drawn deployment is used: by how many dispatchers, and with how much traffic.
fn drawn_case(number: u64) -> Case {
    let mut rng = fastrand::Rng::with_seed(number ^ 0xd15b);
    let dispatchers = (2.0 * 175.0_f64.powf(rng.f64())).round() as u32;
    let mut deployment = drawn(number);
    let load = 0.5 + 0.7 * rng.f64();
    // As many jobs as can be played.
    let capacity: f64 = (0..deployment.workers).map(|n| deployment.capacity(n)).sum();
    let most = MOST_JOBS_PER_S * deployment.mean_work() / load;
    deployment.workers =
        deployment.workers.min((f64::from(deployment.workers) * most / capacity) as u32).max(24);
    deployment.replaced = deployment.replaced.min(deployment.workers * 3 / 5);
    Case { deployment, dispatchers, uneven: rng.bool(), churn: rng.bool(), load, hot_keys: rng.bool() }
}

const MOST_JOBS_PER_S: f64 = 800.0;

#[test]
fn in_drawn_deployments_all_dispatchers_together_stay_within_the_budget() {
    let range = setting("SLOW_START_FLEET_DRAWS", "0,16");
    let mut over = vec![];
    for number in range[0]..range[1] {
        let case = drawn_case(number);
        let figures = measure(&case, 0..1);
        let line = format!(
            "{number}: calls {:.2}, work {:.2}, with probes {:.2}, used {:.2}, served {:.2}; {} dispatchers, load {:.2}, \
             uneven {}, churn {}, hot keys {}; {:?}",
            figures.worst_calls,
            figures.worst_work,
            figures.worst_with_probes,
            figures.calls / figures.allowed,
            figures.served / figures.requests,
            case.dispatchers,
            case.load,
            case.uneven,
            case.churn,
            case.hot_keys,
            case.deployment,
        );
        println!("{line}");
        if figures.worst_calls > 1.0 {
            over.push(line);
        }
    }
    assert!(over.is_empty(), "more than the budget and chance:\n{}", over.join("\n"));
}
