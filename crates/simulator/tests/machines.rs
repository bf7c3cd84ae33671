//! The worker and archive models, one behaviour at a time, against times worked out by hand.

use nickelflow_simulator::archive::Archive;
use nickelflow_simulator::scenario::Queueing;
use nickelflow_simulator::time::{Nanos, MS, SECOND};
use nickelflow_simulator::worker::{AttemptId, Effect, Make, Task, Up, Worker};
use rstest::rstest;

fn make() -> Make {
    Make {
        cores: 2.0,
        slots: 4.0,
        memory: 4.0,
        speed: 1.0,
        queue: 10,
        order: Queueing::Fifo,
        thrash: 0.0,
        idle_until: 0,
        cold_from: 0.2,
        cold: 0,
        keys_kept: 2,
        cancel_stops: true,
    }
}

fn id(job: u64) -> AttemptId {
    AttemptId { job, attempt: 0 }
}

fn task(job: u64) -> Task {
    Task { id: id(job), work: (100 * MS) as f64, slots: 1.0, memory: 1.0, key: None }
}

/// A worker with a clock: what it asks for is done when it is due.
struct Bench {
    worker: Worker,
    now: Nanos,
    due: Option<Nanos>,
    effects: Vec<Effect>,
    done: Vec<(u64, u64)>,
}

impl Bench {
    fn new(make: Make, started: Option<Nanos>) -> Bench {
        Bench { worker: Worker::new(make, started), now: 0, due: None, effects: vec![], done: vec![] }
    }

    fn with<T>(&mut self, act: impl FnOnce(&mut Worker, Nanos, &mut Vec<Effect>) -> T) -> T {
        self.worker.before(self.now);
        let out = act(&mut self.worker, self.now, &mut self.effects);
        if let Some(due) = self.worker.settle(self.now) {
            self.due = Some(due);
        }
        let done =
            self.effects.iter().filter_map(|e| if let Effect::Done(id) = e { Some(id.job) } else { None });
        self.done.extend(done.map(|job| (job, self.now / MS)));
        self.effects.retain(|e| !matches!(e, Effect::Done(_)));
        out
    }

    fn offer(&mut self, task: Task) -> bool {
        self.with(|worker, now, effects| worker.offer(now, task, effects))
    }

    /// Lets time pass; ends come when they are due.
    fn pass(&mut self, to_ms: u64) {
        while let Some(due) = self.due.filter(|due| *due <= to_ms * MS) {
            (self.now, self.due) = (due, None);
            if self.worker.wants(due) {
                self.with(|worker, now, effects| worker.finish(now, effects));
            }
        }
        self.now = to_ms * MS;
    }
}

#[test]
fn more_jobs_than_cores_share_them_evenly() {
    let mut bench = Bench::new(make(), None);
    bench.offer(task(1));
    bench.offer(task(2));
    bench.pass(50);
    // From here on four share two cores: the halves that are left take twice as long, and when they are done
    // the other two have their halves and a core each.
    bench.offer(task(3));
    bench.offer(task(4));
    bench.pass(1_000);
    assert_eq!(bench.done, [(1, 150), (2, 150), (3, 200), (4, 200)]);
}

#[test]
fn what_waits_starts_when_a_slot_comes_free_and_a_full_queue_turns_away() {
    let mut bench = Bench::new(Make { slots: 2.0, queue: 1, ..make() }, None);
    assert!(bench.offer(task(1)) && bench.offer(task(2)) && bench.offer(task(3)));
    assert!(!bench.offer(task(4)));
    bench.pass(1_000);
    assert_eq!(bench.done, [(1, 100), (2, 100), (3, 200)]);
}

#[rstest]
#[case(Queueing::Fifo, [1, 2, 3])]
#[case(Queueing::Backfill, [1, 3, 2])]
fn a_head_that_does_not_fit_waits_or_is_passed(#[case] order: Queueing, #[case] ends: [u64; 3]) {
    let mut bench = Bench::new(Make { order, ..make() }, None);
    bench.offer(Task { memory: 3.0, ..task(1) });
    bench.offer(Task { memory: 2.0, ..task(2) });
    bench.offer(Task { work: (150 * MS) as f64, ..task(3) });
    bench.pass(1_000);
    let mut starts: Vec<u64> = vec![];
    for effect in &bench.effects {
        if let Effect::Started(id) = effect {
            starts.push(id.job);
        }
    }
    assert_eq!(starts, ends);
}

#[test]
fn a_cold_worker_gains_its_capacity_evenly() {
    let mut bench = Bench::new(Make { cold: 10 * SECOND, ..make() }, Some(0));
    bench.offer(Task { work: (10 * SECOND) as f64, ..task(1) });
    // Capacity rises from 0.2 to 1 in 10 s: 6 s of work by then, and 4 s more at full speed.
    bench.pass(20_000);
    let (_, at) = bench.done[0];
    assert!((13_900..14_150).contains(&at), "{at}");
    assert!((bench.worker.warmth(5 * SECOND) - 0.6).abs() < 1e-9);
}

#[test]
fn a_crowd_a_neighbour_a_stand_still_and_a_hang_each_slow_it() {
    let end = |make: Make, act: fn(&mut Bench)| {
        let mut bench = Bench::new(make, None);
        bench.offer(task(1));
        act(&mut bench);
        bench.pass(5_000);
        bench.done.iter().find(|(job, _)| *job == 1).map(|(_, at)| *at)
    };
    assert_eq!(end(make(), |_| {}), Some(100));
    // Half of the machine taken: one core is left, which one job has for itself; of a whole core nothing is.
    assert_eq!(end(make(), |b| b.with(|w, _, _| w.neighbour = 0.5)), Some(100));
    assert_eq!(end(make(), |b| b.with(|w, _, _| w.neighbour = 0.75)), Some(200));
    let stand = |b: &mut Bench| {
        b.pass(20);
        b.with(|w, now, _| w.stalled = now + 30 * MS);
        b.pass(50);
        b.with(|w, now, effects| w.finish(now, effects));
    };
    assert_eq!(end(make(), stand), Some(130));
    assert_eq!(end(make(), |b| b.with(|w, _, _| w.hung = true)), None);
    // Twice as many held as there are slots: a fifth of the speed is lost, while that lasts.
    let crowd = |b: &mut Bench| (2..9).for_each(|job| assert!(b.offer(task(job))));
    let (calm, crowded) = (end(make(), crowd), end(Make { thrash: 0.2, ..make() }, crowd));
    assert_eq!((calm, crowded), (Some(200), Some(250)));
}

#[test]
fn the_least_recently_used_key_is_fetched_again() {
    let mut bench = Bench::new(make(), None);
    let mut fetched = vec![];
    for (job, key) in [(1, 10), (2, 20), (3, 10), (4, 30), (5, 10), (6, 20)] {
        bench.offer(Task { key: Some(key), ..task(job) });
        if bench.effects.contains(&Effect::Fetch(id(job))) {
            fetched.push(key);
            bench.with(|worker, now, _| worker.fetched(now, id(job)));
        }
        let now = bench.now / MS;
        bench.pass(now + 300);
    }
    assert_eq!(fetched, [10, 20, 30, 20]);
    assert_eq!(bench.done.len(), 6);
}

#[rstest]
#[case(true, Some(50 * MS))]
#[case(false, None)]
fn a_cancel_stops_what_runs_or_lets_it_run(#[case] stops: bool, #[case] wasted: Option<Nanos>) {
    let mut bench = Bench::new(Make { cancel_stops: stops, slots: 1.0, ..make() }, None);
    bench.offer(task(1));
    bench.offer(task(2));
    bench.offer(task(3));
    bench.pass(50);
    assert_eq!(bench.with(|worker, now, effects| worker.cancel(now, id(2), effects)), Some(0.0), "it waited");
    let told = bench.with(|worker, now, effects| worker.cancel(now, id(1), effects));
    assert_eq!(told.map(|work| work.round() as Nanos), wasted);
    bench.pass(1_000);
    assert_eq!(bench.done, if stops { vec![(3, 150)] } else { vec![(1, 100), (3, 200)] });
}

#[test]
fn a_crash_loses_all_and_a_drain_hands_back_what_waits() {
    let mut bench = Bench::new(Make { slots: 1.0, ..make() }, None);
    (1..=3).for_each(|job| assert!(bench.offer(task(job))));
    bench.worker.up = Up::Draining;
    assert!(!bench.offer(task(4)));
    assert_eq!(bench.worker.hand_back(), [id(2), id(3)]);
    bench.pass(40);
    let lost = bench.worker.crash(bench.now);
    assert_eq!(lost.iter().map(|(id, _)| id.job).collect::<Vec<_>>(), [1]);
    assert!((lost[0].1 - (40 * MS) as f64).abs() < 1.0);
    assert_eq!(bench.worker.held(), 0);
    assert_eq!(bench.worker.load().free_slots, 1.0);
}

#[test]
fn the_archive_serves_so_many_and_passes_over_the_forgotten() {
    let mut archive = Archive::new(100 * MS, 2);
    let asked: Vec<Option<Nanos>> = (0..5).map(|job| archive.ask(0, 7, id(job))).collect();
    assert_eq!(asked, [Some(100 * MS), Some(100 * MS), None, None, None]);
    archive.forget(id(2));
    assert_eq!(archive.served(100 * MS), Some((200 * MS, 7, id(3))));
    assert_eq!(archive.served(100 * MS), Some((200 * MS, 7, id(4))));
    assert_eq!(archive.served(200 * MS), None);
    assert_eq!(archive.ask(200 * MS, 7, id(9)), Some(300 * MS));
}
