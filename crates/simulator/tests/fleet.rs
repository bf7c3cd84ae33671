//! A hundred schedulers and 60 workers: what all of them do together stays within bounds, over ten seeds.

use nickelflow_simulator::policy::Kind;
use nickelflow_simulator::runs::play_all;
use nickelflow_simulator::scenario::Scenario;
use rstest::rstest;

/// Probes in the worst second; 60 workers that refresh their reports at most every 0.35 s have no more to tell.
/// Were each worker probed for a start by each scheduler, it would be 6,000 within 0.3 s.
const PROBES: f64 = 3_000.0;
/// Connections open at once: one for each scheduler and worker at the most.
const CONNECTIONS: f64 = 6_000.0;
/// Calls for the list: all schedulers ask once, and 70 that are killed some times while discovery cannot keep up.
const CALLS: u64 = 500;

#[rstest]
#[case::most_schedulers_are_killed_at_once(include_str!("../../../simulator/scenarios/vast-herd.toml"), true)]
#[case::racks_are_lost_and_back_cold(include_str!("../../../simulator/scenarios/vast-zone.toml"), true)]
#[case::most_workers_are_replaced(include_str!("../../../simulator/scenarios/vast-join.toml"), false)]
fn a_hundred_schedulers_stay_within_bounds_together(#[case] text: &str, #[case] all_told: bool) {
    let scenario = Scenario::parse(text).expect("a sound scenario");
    let seeds: Vec<u64> = (1..=10).collect();
    for run in play_all(&scenario, Kind::Nickelflow, &seeds, true, |_| ()).expect("it plays") {
        let (seed, counts) = (run.seed, run.summary.counts);
        let verdict = &run.verdict;
        assert_eq!(verdict.broken(), 0, "seed {seed}: {:?}", verdict.counts);
        // What takes over an address may be overrun by those who have not been told yet: the rule does not count
        // that, for no scheduler can know.
        let pressed = counts.pressed;
        assert!(pressed < 1.0 || !all_told, "seed {seed}: a cold worker is pressed to {pressed:.2}");
        let most = |of: fn(&nickelflow_simulator::stats::Second) -> f64| {
            run.summary.seconds.iter().map(of).fold(0.0, f64::max)
        };
        let (probes, connections) = (most(|s| s.probes), most(|s| s.connections));
        assert!(probes < PROBES, "seed {seed}: {probes} probes in one second");
        assert!(connections < CONNECTIONS, "seed {seed}: {connections} connections open at once");
        assert!(counts.calls < CALLS, "seed {seed}: {} calls for the list", counts.calls);
    }
}
