//! The soak: many schedulers under two or three troubles at a time, drawn from a seed.
//!
//! What is drawn is a drill as a scenario could hold it, the system calls that fail in each scheduler, and clients that behave
//! badly; one seed draws the same each time, whatever becomes of it. The bounds are those of the
//! [`crate::nemesis`], but that troubles come in groups that overlap.

use std::collections::BTreeMap;
use std::path::Path;

use nickelflow_simulator::random::{self, Concern, Random};
use nickelflow_simulator::scenario::Bounded;

use crate::misbehaving::{Conduct, Misbehaving};
use crate::nemesis;
use crate::processes::Faults;
use crate::scenario::{Drill, Event, What};

/// Between two groups of troubles, on average (s).
const GAP: f64 = 2.5;
/// Within a group troubles begin within this (s), so that the shortest still overlap.
const TOGETHER: f64 = 0.4;
/// From the begin and to the end of traffic nothing goes wrong for so long (s).
const CALM: f64 = 2.0;
/// Clients that behave badly come one each so often, on average (s).
const MISBEHAVING_GAP: f64 = 0.25;
/// How far a wall clock may be off (s).
const HOUR: i64 = 3_600;

/// What a soak plays.
#[derive(Clone, Debug, PartialEq)]
pub struct Soak {
    pub events: Vec<Event>,
    pub misbehaving: Vec<Misbehaving>,
    /// The plan of the fault shim by scheduler; others run without it.
    pub plans: BTreeMap<u32, String>,
}

/// Draws a soak for a drill's world.
pub fn draw(drill: &Drill, seed: u64) -> Soak {
    let mut random = random::stream(seed, Concern::Faults, 1);
    let end = drill.world.duration_s.0 - CALM;
    let (mut events, mut at) = (Vec::new(), CALM);
    loop {
        at += random::exponential(&mut random) * GAP;
        let group = group(drill, &mut random, at);
        if group.iter().any(|event| event.at_s.0 + event.for_s.0 > end) {
            break;
        }
        events.extend(group);
    }
    let misbehaving = misbehaving(&mut random, drill.schedulers(), end);
    let plans = (0..drill.schedulers()).filter_map(|n| Some((n, plan(&mut random, seed, n)?))).collect();
    Soak { events, misbehaving, plans }
}

/// Two or three troubles that overlap.
fn group(drill: &Drill, random: &mut Random, at: f64) -> Vec<Event> {
    let count = 2 + nemesis::below(random, 2);
    let event = |_| {
        let what = trouble(drill, random);
        let length = match what {
            // Held up for as long as the pages name, or for a second.
            What::Stop { .. } => [0.15, 1.0][nemesis::below(random, 2) as usize],
            _ => random::between(random, nemesis::LENGTH),
        };
        let at = at + random::unit(random) * TOGETHER;
        let round = |s: f64| Bounded((s * 1e3).round() / 1e3);
        Event { at_s: round(at), for_s: round(length), what }
    };
    (0..count).map(event).collect()
}

fn trouble(drill: &Drill, random: &mut Random) -> What {
    match nemesis::below(random, 5) {
        0 => What::HangUp {
            scheduler: nemesis::below(random, drill.schedulers()),
            times: 1 + nemesis::below(random, 5),
        },
        1 => What::Stop { schedulers: vec![nemesis::below(random, drill.schedulers())] },
        _ => nemesis::what(drill, random),
    }
}

fn misbehaving(random: &mut Random, schedulers: u32, end: f64) -> Vec<Misbehaving> {
    let (mut all, mut at) = (Vec::new(), CALM / 2.0);
    loop {
        at += random::exponential(random) * MISBEHAVING_GAP;
        if at > end {
            return all;
        }
        let conduct = Conduct::ALL[nemesis::below(random, Conduct::ALL.len() as u32) as usize];
        all.push(Misbehaving { at_s: at, scheduler: nemesis::below(random, schedulers), conduct });
    }
}

/// What fails in one scheduler; `None` for nothing.
fn plan(random: &mut Random, seed: u64, scheduler: u32) -> Option<String> {
    let own = format!("seed={}", seed.wrapping_mul(1_000).wrapping_add(u64::from(scheduler)));
    let hour = HOUR * [-1, 1][nemesis::below(random, 2) as usize];
    let words = match nemesis::below(random, 6) {
        0 | 1 => return None,
        2 => "accept=0.1 socket=0.1 connect=0.1".to_owned(),
        3 => "interrupt=0.2 short=0.3".to_owned(),
        4 => format!("wall_s={hour} step=6000:{}", -2 * hour),
        _ => format!("wall_s={hour} accept=0.05 socket=0.05 connect=0.05 interrupt=0.05 short=0.1"),
    };
    Some(format!("{own} {words}"))
}

/// The plans as the processes take them.
pub fn faults(soak: &Soak, library: &Path) -> BTreeMap<u32, Faults> {
    let fault = |plan: &String| Faults { library: library.to_owned(), plan: plan.clone() };
    soak.plans.iter().map(|(scheduler, plan)| (*scheduler, fault(plan))).collect()
}
