//! What a dispatcher may send a cold worker, and how it learns what workers do.

mod common;

use common::{class, lognormal, settings, S};
use nickelflow_dispatcher::cold_start::*;
use nickelflow_dispatcher::service_rate::*;
use nickelflow_dispatcher::*;

const SECOND: f64 = 1e9;

/// Settings of a fleet of dispatchers, with the figures of one contract.
fn fleet_settings(dispatchers: u32) -> Settings {
    let contract = ServiceLimits {
        slow_start_initial_share: 0.14,
        slow_start_duration: 0,
        overload_multiple: 3.0,
        overload_duration: 1_500_000_000,
        unsubscribed_list_validity: 0,
    };
    Settings { dispatchers, limits: contract, ..settings(vec![class(Idempotency::Idempotent)]) }
}

/// The chance that as many independent arrivals or more come as are given, of so many on average.
fn more_than(most: f64, mean: f64) -> f64 {
    let mut log = -mean;
    let mut below = log.exp();
    for n in 1..=most as u32 {
        log += (mean / f64::from(n)).ln();
        below += log.exp();
    }
    1.0 - below
}

#[test]
fn what_all_send_a_cold_worker_on_average_is_its_budget_with_chance_taken_off() {
    for dispatchers in [2, 5, 20, 30, 100, 300, 350, 1024] {
        let settings = fleet_settings(dispatchers);
        for slots in [0.2, 0.7, 1.0, 3.0, 10.0, 40.0] {
            for work in [0.05, 0.25, 1.0, 3.0] {
                let jobs_per_s = slots * 0.6 / work;
                let allowed = 3.0 * jobs_per_s * 1.5;
                let mean = |pacing| send_rate(&settings, jobs_per_s, pacing) * 1.5 * f64::from(dispatchers);
                let (drawn, bucket) = (mean(Pacing::RandomDraw), mean(Pacing::TokenBucket));
                let most = (allowed + 2.0 * allowed.sqrt() + 2.0).floor();
                assert!(drawn > 0.0 && drawn <= allowed / 2.0 + 1e-9);
                assert!(more_than(most, drawn) < 1e-4, "{allowed}: {drawn}");
                // What is in the buckets comes on top: surely all right, or by chance alone. Up to twenty buckets do not
                // come independently, as that takes them to: what they send is held to the bound in cold_fleet.rs.
                let sure = 1.5 * bucket + f64::from(dispatchers) <= most + 1e-9;
                let by_chance = more_than(most, 1.5 * bucket) < 1e-4;
                assert!(bucket > 0.0 && bucket <= allowed / 2.0 + 1e-9);
                assert!(dispatchers <= 20 || sure || by_chance, "{allowed}: {bucket}");
            }
        }
    }
}

#[test]
fn buckets_of_less_than_a_job_do_not_all_have_one_at_once() {
    // A hundred, of which each has room for a tenth of a job in a window of a second.
    let at = |now: f64| (now * SECOND) as Nanos;
    let have = |now: f64| {
        let buckets = (0..100).map(|n| TokenBucket::new(100, f64::from(n) / 100.0, 0));
        buckets.filter(|bucket| bucket.refilled(at(now), 0.1, at(1.0), 1.0) >= 1.0).count()
    };
    assert_eq!(have(0.0), 0, "a job is there at the start");
    for tenth in 1..500 {
        let have = have(f64::from(tenth) / 10.0);
        assert!(have <= 6, "{have} of 100 have a job after {tenth} tenths of a second");
        assert!(tenth < 10 || have >= 4, "{have} of 100 have one after {tenth} tenths of a second");
    }
}

#[test]
fn a_mean_time_is_careful_on_average_from_the_first_job_on() {
    let mut rng = fastrand::Rng::with_seed(5);
    for variation in [0.5, 1.4, 2.8] {
        for deadline in [8.0, 20.0] {
            for jobs in [0, 1, 2, 4, 8, 16, 32, 64] {
                let mut rates = 0.0;
                for _ in 0..2_000 {
                    let mut time = MeanTime::new((deadline * SECOND) as Nanos);
                    for _ in 0..jobs {
                        let took = lognormal(&mut rng, 1.0, variation).min(deadline);
                        time.begin(0);
                        time.end(0, (took * SECOND) as Nanos, Stay::Ran { done: true, capacity: 1.0 });
                    }
                    rates += 1.0 / time.mean(0) / 2_000.0;
                }
                // Of the heaviest tails the deadline cuts off a part.
                assert!(rates < 1.25, "cv {variation}, {deadline} s, {jobs} jobs: {rates:.2} of the rate");
                assert!(jobs < 16 || rates > 0.7, "cv {variation}, {deadline} s, {jobs} jobs: {rates:.2}");
            }
        }
    }
}

#[test]
fn jobs_that_still_run_count_beside_the_short_ones_that_have_ended() {
    // Half of the jobs take 0.1 s and half 3.9 s, 2 s on average; a second after they came only short ones have ended.
    let mut time = MeanTime::new(6 * S);
    for _ in 0..100 {
        time.begin(0);
        time.end(0, S / 10, Stay::Ran { done: true, capacity: 1.0 });
        time.begin(0);
    }
    assert!(time.mean(S) > 1.0, "{:.2} s", time.mean(S));
    assert!(time.mean(3 * S) > 2.0, "{:.2} s", time.mean(3 * S));
    // What was refused does not count, what was cancelled counts as long as it was there.
    for n in 0..100 {
        let stay = if n % 2 == 0 { Stay::Refused } else { Stay::Ran { done: false, capacity: 1.0 } };
        time.end(0, 3 * S, stay);
    }
    let mean = time.mean(9 * S);
    assert!(mean > 1.5 && mean < 3.0, "{mean:.2} s");
}

#[test]
fn a_worker_is_not_taken_to_do_more_than_its_cores_whatever_its_slots_are() {
    // Two cores, one job a second each, and so many slots; a third to all of them in use.
    for slots in [2.0, 4.0, 7.0] {
        for others in 0..slots as u32 {
            let mut rates = ServiceRates::new(&settings(vec![class(Idempotency::Idempotent)]));
            rates.seen_slots(0, slots);
            let report = LoadReport { free_slots: Some(slots - f64::from(others)), ..LoadReport::default() };
            let took = f64::from(others + 1).max(2.0) / 2.0;
            for _ in 0..200 {
                let present = rates.present(0, &report);
                rates.begin(0, 0, present, 0);
                rates.end(0, 0, 0, (took * SECOND) as Nanos, Stay::Ran { done: true, capacity: 1.0 });
            }
            let known = rates.jobs_per_s(0, 0, 0);
            assert!(known < 2.1, "{slots} slots, {others} others: {known:.2} jobs a second");
            assert!(known > 0.9, "{slots} slots, {others} others: {known:.2} jobs a second");
        }
    }
}

#[test]
fn what_is_admitted_follows_the_rate_and_not_the_asks() {
    // Dispatchers that ask from once in five seconds to fifty times a second, evenly or all at once, for sixty cold workers.
    for per_s in [0.2, 1.0, 5.0, 50.0] {
        for burst in [1, 20] {
            let mut rng = fastrand::Rng::with_seed(3);
            let (rate, workers, seconds) = (0.002, 60_usize, 20_000.0);
            let mut admission = Admission::default();
            admission.weigh(workers as f64, 2.0 * workers as f64, 1.0, 5);
            let mut each = vec![AskCount::default(); workers];
            let (mut now, mut admitted, mut end) = (S, 0, false);
            while !end {
                now += (-(1.0 - rng.f64()).ln() * f64::from(burst) / per_s * SECOND) as Nanos;
                end = now as f64 > seconds * SECOND;
                for _ in 0..burst {
                    let asks = &mut each[rng.usize(0..workers)];
                    admitted += u32::from(admission.draw(now, rate, per_s, 1.0, asks, rng.f64()));
                }
            }
            let used = f64::from(admitted) / (rate * workers as f64 * seconds);
            assert!(used < 1.1, "{per_s} a second, {burst} at once: {used:.2} of the rate");
            assert!(per_s < 5.0 || burst > 1 || used > 0.7, "{per_s} a second: {used:.2} of the rate");
        }
    }
}
