//! What a dispatcher may send a warming worker, and how it learns what workers can do.

mod common;

use common::{class, lognormal, settings, S};
use nickelflow_dispatcher::service_rate::*;
use nickelflow_dispatcher::slow_start::*;
use nickelflow_dispatcher::slow_start_admission::*;
use nickelflow_dispatcher::*;

const SECOND: f64 = 1e9;

/// Returns the settings of a fleet of dispatchers, with the limits of one service.
fn fleet_settings(dispatchers: u32) -> Settings {
    let limits = ServiceLimits {
        slow_start_initial_share: 0.14,
        slow_start_duration: 0,
        overload_multiple: 3.0,
        overload_duration: 1_500_000_000,
        unsubscribed_list_validity: 0,
    };
    Settings { dispatchers, limits, ..settings(vec![class(Idempotency::Idempotent)]) }
}

/// Returns the probability that more than `most` independent arrivals come, of so many on average.
fn probability_above(most: f64, mean: f64) -> f64 {
    let mut log = -mean;
    let mut below = log.exp();
    for n in 1..=most as u32 {
        log += (mean / f64::from(n)).ln();
        below += log.exp();
    }
    1.0 - below
}

#[test]
fn the_send_rates_of_all_dispatchers_stay_below_the_budget_by_the_margin_for_chance() {
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
                assert!(probability_above(most, drawn) < 1e-4, "{allowed}: {drawn}");
                // What is in the buckets comes on top: surely all right, or by chance alone. Up to twenty
                // buckets do not come independently, as that takes them to: what they send is held to the
                // bound in slow_start_fleet.
                let sure = 1.5 * bucket + f64::from(dispatchers) <= most + 1e-9;
                let by_chance = probability_above(most, 1.5 * bucket) < 1e-4;
                assert!(bucket > 0.0 && bucket <= allowed / 2.0 + 1e-9);
                assert!(dispatchers <= 20 || sure || by_chance, "{allowed}: {bucket}");
            }
        }
    }
}

#[test]
fn buckets_that_hold_less_than_a_job_do_not_all_have_one_at_once() {
    // A hundred, of which each has room for a tenth of a job in a window of a second.
    let at = |now: f64| (now * SECOND) as Nanos;
    let have = |now: f64| {
        let buckets = (0..100).map(|n| TokenBucket::new(100, f64::from(n) / 100.0, 0));
        buckets.filter(|bucket| bucket.level_at(at(now), 0.1, at(1.0), 1.0) >= 1.0).count()
    };
    assert_eq!(have(0.0), 0, "a job is there at the start");
    for tenth in 1..500 {
        let have = have(f64::from(tenth) / 10.0);
        assert!(have <= 6, "{have} of 100 have a job after {tenth} tenths of a second");
        assert!(tenth < 10 || have >= 4, "{have} of 100 have one after {tenth} tenths of a second");
    }
}

#[test]
fn a_mean_service_time_is_an_overestimate_on_average_from_the_first_job_on() {
    let mut rng = fastrand::Rng::with_seed(5);
    for variation in [0.5, 1.4, 2.8] {
        for deadline in [8.0, 20.0] {
            for jobs in [0, 1, 2, 4, 8, 16, 32, 64] {
                let mut rates = 0.0;
                for _ in 0..2_000 {
                    let mut time = MeanServiceTime::new((deadline * SECOND) as Nanos);
                    for _ in 0..jobs {
                        let took = lognormal(&mut rng, 1.0, variation).min(deadline);
                        time.job_started(0);
                        time.job_ended(
                            0,
                            (took * SECOND) as Nanos,
                            ServiceSample::Ran { completed: true, capacity_share: 1.0 },
                        );
                    }
                    rates += 1.0 / time.mean_s(0) / 2_000.0;
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
    // Half of the jobs take 0.1 s and half 3.9 s, 2 s on average; a second after they came only short ones
    // have ended.
    let mut time = MeanServiceTime::new(6 * S);
    for _ in 0..100 {
        time.job_started(0);
        time.job_ended(0, S / 10, ServiceSample::Ran { completed: true, capacity_share: 1.0 });
        time.job_started(0);
    }
    assert!(time.mean_s(S) > 1.0, "{:.2} s", time.mean_s(S));
    assert!(time.mean_s(3 * S) > 2.0, "{:.2} s", time.mean_s(3 * S));
    // What was rejected does not count, what was cancelled counts as long as it was there.
    for n in 0..100 {
        let sample = if n % 2 == 0 {
            ServiceSample::NeverRan
        } else {
            ServiceSample::Ran { completed: false, capacity_share: 1.0 }
        };
        time.job_ended(0, 3 * S, sample);
    }
    let mean = time.mean_s(9 * S);
    assert!(mean > 1.5 && mean < 3.0, "{mean:.2} s");
}

#[test]
fn a_worker_is_not_taken_to_complete_more_than_its_cores_can_whatever_its_slots_are() {
    // Two cores, one job a second each, and so many slots; a third to all of them in use.
    for slots in [2.0, 4.0, 7.0] {
        for others in 0..slots as u32 {
            let mut rates = ServiceRates::new(&settings(vec![class(Idempotency::Idempotent)]));
            rates.record_slots(0, slots);
            let report = LoadReport { free_slots: Some(slots - f64::from(others)), ..LoadReport::default() };
            let took = f64::from(others + 1).max(2.0) / 2.0;
            for _ in 0..200 {
                let jobs = rates.jobs_at_worker(0, &report);
                rates.job_started(0, 0, jobs, 0);
                rates.job_ended(
                    0,
                    0,
                    0,
                    (took * SECOND) as Nanos,
                    ServiceSample::Ran { completed: true, capacity_share: 1.0 },
                );
            }
            let known = rates.jobs_per_s(0, 0, 0);
            assert!(known < 2.1, "{slots} slots, {others} others: {known:.2} jobs a second");
            assert!(known > 0.9, "{slots} slots, {others} others: {known:.2} jobs a second");
        }
    }
}

#[test]
fn the_number_of_admitted_jobs_follows_the_rate_and_not_the_requests() {
    // Dispatchers that ask from once in five seconds to fifty times a second, evenly or all at once, for
    // sixty warming workers.
    for per_s in [0.2, 1.0, 5.0, 50.0] {
        for burst in [1, 20] {
            let mut rng = fastrand::Rng::with_seed(3);
            let (rate, workers, seconds) = (0.002, 60_usize, 20_000.0);
            let mut admission = SlowStartAdmission::default();
            admission.update(&WarmingSample {
                warming_weight: workers as f64,
                total_weight: 2.0 * workers as f64,
                scale: 1.0,
                candidates: 5,
            });
            let mut requests = vec![RequestFrequency::default(); workers];
            let (mut now, mut admitted, mut end) = (S, 0, false);
            while !end {
                now += (-(1.0 - rng.f64()).ln() * f64::from(burst) / per_s * SECOND) as Nanos;
                end = now as f64 > seconds * SECOND;
                for _ in 0..burst {
                    let worker_requests = &mut requests[rng.usize(0..workers)];
                    let request = AdmissionRequest {
                        now,
                        allowed_per_s: rate,
                        arrivals_per_s: per_s,
                        weight: 1.0,
                        random: rng.f64(),
                    };
                    admitted += u32::from(admission.try_admit(&request, worker_requests));
                }
            }
            let used = f64::from(admitted) / (rate * workers as f64 * seconds);
            assert!(used < 1.1, "{per_s} a second, {burst} at once: {used:.2} of the rate");
            assert!(per_s < 5.0 || burst > 1 || used > 0.7, "{per_s} a second: {used:.2} of the rate");
        }
    }
}
