//! The nemesis: draws faults from a seed, within stated bounds, as events that a scenario could hold. What it drew is
//! printed and can be played again.
//!
//! Bounds: one fault begins every `gap` on average and lasts 0.5 to 5 s; never are more than a third of the
//! schedulers killed or stopped by one event; workers are taken by the rack.

use nickelflow_simulator::random::{self, Concern, Random};
use nickelflow_simulator::scenario::Bounded;

use crate::scenario::{Drill, Event, Parties, Then, Way, What};

/// The shortest and the longest fault (s).
pub(crate) const LENGTH: (f64, f64) = (0.5, 5.0);
/// Between two proposals of other rules, where schedulers agree on some (ms).
const EACH_CHANGE_MS: f64 = 100.0;
/// From the begin and to the end of traffic nothing goes wrong for so long (s): to be well first, and to show that
/// all recovers.
const CALM: f64 = 2.0;

/// Draws events for a drill, one every `gap` seconds on average.
pub fn draw(drill: &Drill, seed: u64, gap: f64) -> Vec<Event> {
    let mut random = random::stream(seed, Concern::Faults, 0);
    let end = drill.world.duration_s.0 - CALM;
    let mut events = Vec::new();
    if drill.rules.is_some() {
        // Rules change all the while.
        let all = Bounded(drill.world.duration_s.0 - 2.0 * CALM);
        let what = What::Changes { every_ms: Bounded(EACH_CHANGE_MS) };
        events.push(Event { at_s: Bounded(CALM / 2.0), for_s: all, what });
    }
    let mut at = CALM;
    loop {
        at += random::exponential(&mut random) * gap.max(0.05);
        let length = random::between(&mut random, LENGTH);
        if at + length > end {
            return events;
        }
        let round = |s: f64| Bounded((s * 1e3).round() / 1e3);
        events.push(Event { at_s: round(at), for_s: round(length), what: what(drill, &mut random) });
    }
}

pub(crate) fn below(random: &mut Random, most: u32) -> u32 {
    ((random::unit(random) * f64::from(most)) as u32).min(most.saturating_sub(1))
}

/// Draws one trouble.
pub(crate) fn what(drill: &Drill, random: &mut Random) -> What {
    let schedulers = drill.schedulers();
    let racks: u32 = drill.world.pools.iter().map(|p| (p.count.0 / p.rack.0).ceil() as u32).sum();
    let one = Parties::Scheduler(below(random, schedulers));
    let rack = Parties::Rack(1 + below(random, racks.max(1)));
    let few = 1 + below(random, (schedulers / 3).max(1));
    let first = below(random, schedulers);
    let some: Vec<u32> = (0..few).map(|n| (first + n) % schedulers).collect();
    let way = [Way::Requests, Way::Answers, Way::Both][below(random, 3) as usize];
    let then = [Then::Deliver, Then::Reset][below(random, 2) as usize];
    let from = [one, Parties::Schedulers][below(random, 2) as usize];
    let peers = Parties::Schedulers;
    let kinds = if drill.rules.is_some() { 17 } else { 12 };
    match below(random, kinds) {
        0 => What::Kill { schedulers: some },
        1 => What::Stop { schedulers: some },
        2 => What::Restart { schedulers: some, older: false },
        3 => What::Cut { from: one, to: rack, way, then },
        4 => What::Cut { from: one, to: Parties::Discovery, way, then },
        5 => {
            let (by_ms, jitter_ms) = (Bounded(random::between(random, (5.0, 300.0)).round()), Bounded(50.0));
            What::Delay { from, to: rack, by_ms, jitter_ms }
        }
        6 => What::Slow { from, to: rack, bytes_per_s: 2_000 + below(random, 20_000) },
        7 => What::ResetAfter { from, to: rack, bytes: 200 + below(random, 5_000) },
        8 => What::ResetAtRandom { from, to: rack, part: Bounded(0.02) },
        9 => What::Refuse { from, to: rack },
        10 => [What::Crash { workers: rack }, What::Vanish { workers: rack }, What::Hang { workers: rack }]
            [below(random, 3) as usize]
            .clone(),
        11 => [What::Drain { workers: rack }, What::DiscoveryDown, What::DiscoveryStale]
            [below(random, 3) as usize]
            .clone(),
        12 => What::Cut { from: one, to: peers, way, then },
        13 => What::Cut { from: peers, to: one, way, then },
        14 => {
            let (by_ms, jitter_ms) =
                (Bounded(random::between(random, (5.0, 1_500.0)).round()), Bounded(200.0));
            What::Delay { from, to: peers, by_ms, jitter_ms }
        }
        15 => What::ResetAtRandom { from, to: peers, part: Bounded(0.05) },
        _ => What::Refuse { from: one, to: peers },
    }
}
