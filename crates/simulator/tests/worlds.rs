//! Whole worlds: the same inputs give the same run, nothing is lost in the books, and the hard cases hold.

use nickelflow_simulator::policy::{self, Kind};
use nickelflow_simulator::runs::{compare, play, play_all, Figure, Judgement};
use nickelflow_simulator::scenario::Scenario;
use nickelflow_simulator::world::{Watch, World};
use proptest::prelude::*;
use rstest::rstest;

/// A small fleet in which all that a scenario knows can be turned on.
fn small(faults: &str, more: &str) -> Scenario {
    let text = format!(
        r#"
        name = "small"
        duration_s = 8.0
        schedulers = 3.0
        pools = [{{ count = 9.0, cores = 4.0, slots = 5.0, speed = [0.7, 1.1] }}]
        tenants = [{{ name = "a", share = 0.6 }}, {{ name = "b", share = 0.4 }}]
        traffic = {{ load = 0.7 }}
        data = {{ keys = 100.0, zipf = 0.9, kept = 30.0, fetch_ms = 80.0, streams = 20.0 }}
        {faults}
        {more}
        [[classes]]
        name = "keyed"
        weight = 3.0
        repeats = "rack"
        window_s = 7.5
        aim_ms = 200.0
        stretch = 2.5
        deadline_ms = 3000.0
        work_ms = 100.0
        size = {{ lognormal = {{ sigma = 0.6 }} }}
        keyed = true
        memory = 0.5
        [[classes]]
        name = "once"
        repeats = "never"
        aim_ms = 300.0
        deadline_ms = 2000.0
        work_ms = 60.0
        size = "exponential"
        [[classes]]
        name = "any"
        repeats = "harmless"
        aim_ms = 500.0
        deadline_ms = 2500.0
        work_ms = 150.0
        size = {{ pareto = {{ shape = 2.2 }} }}
        slots = 2.0
        "#
    );
    Scenario::parse(&text).expect("a sound scenario")
}

const ALL_FAULTS: &str = r#"
    faults = [
      { at_s = 1.0, for_s = 2.0, count = 1.0, what = "hang" },
      { at_s = 1.5, for_s = 3.0, part = 0.4, what = { stand_still = { pause_ms = [50.0, 150.0], every_s = [0.5, 1.0] } } },
      { at_s = 2.0, for_s = 3.0, part = 0.3, what = { neighbour = { share = [0.4, 0.7], on_s = [0.3, 0.8] } } },
      { at_s = 2.0, for_s = 2.0, part = 1.0, what = { late_reports = { by_s = 2.0 } } },
      { at_s = 2.5, for_s = 1.0, what = { resets = { part = 0.1 } } },
      { at_s = 3.0, for_s = 2.0, count = 1.0, what = "rack_lost" },
      { at_s = 3.5, for_s = 3.0, count = 3.0, what = { rolling_restart = { drain_s = 0.5, down_s = 0.3 } } },
      { at_s = 4.0, count = 1.0, what = "replace" },
      { at_s = 4.0, for_s = 1.0, count = 2.0, what = { partition = { direction = "answers" } } },
      { at_s = 4.5, for_s = 0.7, count = 1.0, what = "kill_scheduler" },
      { at_s = 2.0, for_s = 0.5, count = 1.0, what = "restart_scheduler" },
      { at_s = 5.0, for_s = 1.0, what = "discovery_down" },
      { at_s = 6.0, for_s = 1.0, what = "discovery_stale" },
    ]
"#;

#[rstest]
fn one_seed_is_one_run_on_any_number_of_threads(#[values(Kind::Nickelflow, Kind::Prequal)] kind: Kind) {
    let scenario = small(ALL_FAULTS, "");
    let digests = |threads: usize| -> Vec<u64> {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        let runs = pool.install(|| play_all(&scenario, kind, &[1, 2, 3, 4, 5, 6], true, |_| {}));
        runs.expect("it plays").iter().map(|run| run.digest).collect()
    };
    let one = digests(1);
    assert_eq!(one, digests(4));
    assert_eq!(one, digests(1));
    assert!(one.windows(2).all(|pair| pair[0] != pair[1]), "seeds differ");
}

#[rstest]
fn no_policy_breaks_a_rule_whatever_goes_wrong(
    #[values(
        Kind::Nickelflow,
        Kind::Random,
        Kind::RoundRobin,
        Kind::LeastOutstanding,
        Kind::TwoChoices,
        Kind::BoundedHashing,
        Kind::Prequal,
        Kind::Oracle
    )]
    kind: Kind,
    #[values(1, 2, 3)] seed: u64,
) {
    let run = play(&small(ALL_FAULTS, ""), kind, seed, true).expect("it plays");
    // Baselines know nothing of cold workers, and may push one over.
    let mut counts = run.verdict.counts.clone();
    if kind != Kind::Nickelflow {
        counts.remove(&nickelflow_simulator::audit::Rule::PushedOver);
    }
    let told: Vec<String> = run.verdict.findings.iter().take(2).map(ToString::to_string).collect();
    assert!(counts.is_empty(), "{counts:?}\n{}", told.join("\n"));
    let s = &run.summary;
    assert_eq!(s.requests, s.in_time + s.late + s.refused + s.failed + s.left);
    assert!(s.requests > 500 && s.in_time > 0, "{}", s.requests);
}

/// What comes in is what a policy cannot change: two of them meet the same requests.
#[test]
fn policies_meet_the_same_requests() {
    let scenario = small(ALL_FAULTS, "");
    let count = |kind| play(&scenario, kind, 5, false).expect("it plays").summary.requests;
    assert_eq!(count(Kind::Random), count(Kind::Nickelflow));
}

/// With answers lost on the way, the machine has done the job, its scheduler knows nothing of it, and the
/// client hears in time all the same.
#[test]
fn a_scheduler_that_hears_nothing_answers_in_time() {
    let cut = r#"faults = [{ at_s = 1.0, for_s = 6.0, part = 1.0, what = { partition = { direction = "answers" } } }]"#;
    let run = play(&small(cut, ""), Kind::Nickelflow, 1, true).expect("it plays");
    assert_eq!(run.verdict.broken(), 0, "{:?}", run.verdict.findings.first());
    assert!(run.summary.failed > 0);
}

/// Schedulers killed with answers on their way: what they held is asked for again, of another one, and served.
#[test]
fn what_a_killed_scheduler_held_is_served_by_another() {
    let kill = r#"faults = [{ at_s = 2.0, for_s = 1.0, count = 1.0, what = "kill_scheduler" }]"#;
    let scenario = small(kill, "clients = { retries = 1.0, front_notices_s = 0.0 }");
    let calm = small("", "");
    let (killed, whole) =
        (play(&scenario, Kind::Nickelflow, 3, true), play(&calm, Kind::Nickelflow, 3, true));
    let (killed, whole) = (killed.expect("it plays"), whole.expect("it plays"));
    assert_eq!(killed.verdict.broken(), 0, "{:?}", killed.verdict.findings.first());
    let served = |s: &nickelflow_simulator::stats::Summary| (s.in_time + s.late) as f64 / s.requests as f64;
    assert!(served(&killed.summary) > served(&whole.summary) - 0.05);
    // A request whose worker had said its last line when its scheduler died with the answer on the way: asked
    // again of another scheduler, and served once.
    let slow =
        small(kill, "clients = { retries = 1.0, front_notices_s = 0.0 }\nnetwork = { latency_ms = 10.0 }");
    let lives = |number| {
        let watch = Watch { audit: true, trace: Some(number) };
        let played = World::new(&slow, Kind::Nickelflow, 3, watch).expect("a world").play();
        assert_eq!(played.verdict.broken(), 0);
        played.trace
    };
    let crossed = |trace: &Vec<String>| {
        let at =
            |what: &str| -> Vec<usize> { (0..trace.len()).filter(|i| trace[*i].contains(what)).collect() };
        let (asked, served) = (at("asked of"), at("written: Served").len());
        assert!(served <= 1, "{trace:#?}");
        let &[first, second] = &asked[..] else { return false };
        let scheduler =
            |i: usize| trace[i].split("scheduler ").nth(1).and_then(|rest| rest.split(' ').next());
        let done = at("done on worker").iter().any(|done| *done < second);
        done && served == 1
            && at("written").iter().all(|answer| *answer > second)
            && scheduler(first) != scheduler(second)
    };
    assert!((150..400).map(lives).any(|trace| crossed(&trace)));
}

/// A machine that restarts under its name while attempts are out to its old process: those end as resets, and
/// no keyed job runs in two racks for it.
#[test]
fn restarts_under_one_name_double_nothing() {
    let faults = r#"faults = [{ at_s = 1.0, for_s = 6.0, part = 1.0, what = { rolling_restart = { drain_s = 0.0, down_s = 0.2 } } }]"#;
    let run =
        play(&small(faults, "discovery = { lag_s = 0.3 }"), Kind::Nickelflow, 2, true).expect("it plays");
    assert_eq!(run.verdict.broken(), 0, "{:?}", run.verdict.findings.first());
    assert_eq!(run.summary.counts.doubled, 0);
}

#[test]
fn a_comparison_tells_better_from_worse_and_from_neither() {
    let scenario = small("", "");
    let seeds: Vec<u64> = (1..=6).collect();
    let runs = |kind| play_all(&scenario, kind, &seeds, false, |_| {}).expect("it plays");
    let (random, oracle) = (runs(Kind::Random), runs(Kind::Oracle));
    assert_eq!(compare(Figure::Goodput, &random, &oracle).1, Judgement::Better);
    assert_eq!(compare(Figure::Goodput, &oracle, &random).1, Judgement::Worse);
    assert_eq!(compare(Figure::P99Ms, &random, &oracle).1, Judgement::Better, "less is better there");
    assert_eq!(compare(Figure::Goodput, &oracle, &oracle).1, Judgement::Undecided);
}

#[rstest]
#[case("load = 0.7", "laod = 0.7", "laod")]
#[case("duration_s = 8.0", "duration_s = -1.0", "duration_s")]
#[case("cores = 4.0", "cores = nan", "cores")]
#[case("shape = 2.2", "shape = 0.5", "shape")]
#[case("keyed = true", "keyed = 3", "keyed")]
#[case("[0.7, 1.1]", "[1.1, 0.7]", "range")]
#[case("schedulers = 3.0", "schedulers = 1e9", "schedulers")]
#[case("repeats = \"never\"", "repeats = \"sometimes\"", "sometimes")]
fn an_unknown_or_absurd_figure_is_refused_with_its_place(
    #[case] from: &str,
    #[case] to: &str,
    #[case] names: &str,
) {
    let text = include_str!("worlds.rs");
    let start = text.find("name = \"small\"").expect("the scenario");
    let end = text[start..].find("\"#").expect("its end") + start;
    let sound =
        text[start..end].replace("{{", "{").replace("}}", "}").replace("{faults}", "").replace("{more}", "");
    assert!(Scenario::parse(&sound).is_ok());
    let why = Scenario::parse(&sound.replacen(from, to, 1)).expect_err("it is refused");
    assert!(why.contains(names), "{why}");
}

#[test]
fn the_scenarios_of_the_repository_are_sound_and_play() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../simulator/scenarios");
    let files: Vec<_> =
        std::fs::read_dir(folder).expect("scenarios").map(|e| e.expect("a file").path()).collect();
    assert!(files.len() >= 11);
    for file in files {
        let mut scenario = Scenario::load(&file).unwrap_or_else(|e| panic!("{e}"));
        if scenario.workers_count() > 100 {
            continue;
        }
        scenario.duration_s.0 = 12.0;
        let run = play(&scenario, Kind::Nickelflow, 1, true).expect("it plays");
        assert_eq!(run.verdict.broken(), 0, "{}: {:?}", scenario.name, run.verdict.findings.first());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// Figures from all over their ranges: no run panics or loses a request from its books, and the module
    /// keeps the rules.
    #[test]
    fn any_world_keeps_its_books(
        seed in any::<u64>(),
        load in 0.05f64..2.5,
        queue in 0u32..40,
        latency in 0.0f64..20.0,
        resets in 0.0f64..0.3,
        retries in 0u32..3,
        impatient in 0.0f64..0.5,
        connections in 1u32..60,
        kind in prop::sample::select(policy::ALL.to_vec()),
    ) {
        let more = format!(
            "network = {{ latency_ms = {latency:.3}, resets = {resets:.3} }}\n\
             clients = {{ retries = {retries}.0, impatient = {impatient:.3} }}\n\
             workers = {{ queue = {queue}.0, connections = {connections}.0, thrash = 0.2, order = \"backfill\" }}\n"
        );
        let mut scenario = small(ALL_FAULTS, &more);
        scenario.duration_s.0 = 4.0;
        scenario.traffic.load = Some(nickelflow_simulator::scenario::Bounded(load));
        let run = play(&scenario, kind, seed, true).expect("it plays");
        let s = &run.summary;
        prop_assert_eq!(s.requests, s.in_time + s.late + s.refused + s.failed + s.left);
        if kind == Kind::Nickelflow {
            let first = run.verdict.findings.first().map(ToString::to_string);
            prop_assert_eq!(run.verdict.broken(), 0, "{:?}", first);
        }
    }
}

#[test]
fn a_try_that_comes_after_its_clients_time_is_nobodys_to_answer() {
    // Clients that retry to their last moment, on ways as long as what they have left.
    let more = "network = { latency_ms = 12.158, resets = 0.163 }\n\
                clients = { retries = 2.0, impatient = 0.430 }\n\
                workers = { queue = 16.0, connections = 25.0, thrash = 0.2, order = \"backfill\" }\n";
    let mut scenario = small(ALL_FAULTS, more);
    scenario.duration_s.0 = 4.0;
    scenario.traffic.load = Some(nickelflow_simulator::scenario::Bounded(1.5539960949665914));
    let run = play(&scenario, Kind::Nickelflow, 12064422243030519984, true).expect("it plays");
    let s = &run.summary;
    assert_eq!(s.requests, s.in_time + s.late + s.refused + s.failed + s.left);
    assert_eq!(run.verdict.broken(), 0, "{:?}", run.verdict.findings.first().map(ToString::to_string));
}
