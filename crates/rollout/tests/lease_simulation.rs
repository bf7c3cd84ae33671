//! Holders, the one that decides, and a network that loses, doubles, delays beyond a lease and cuts one way, in virtual
//! time: whoever acts together agrees, and nobody acts on an old version beyond the bound. With a guard off that fails.

use std::collections::{BTreeMap, BinaryHeap};

use nickelflow_rollout::{
    DegradedRules, LeaseConfig, LeaseGrant, LeaseHolder, LeaseRequest, LeaseState, LeaseTable, Nanos,
    RolloutState, RulesDocument, RulesStep, Version, WorkerState,
};

const MS: Nanos = 1_000_000;
const HOLDERS: usize = 4;
const WORKERS: [&str; 3] = ["w1", "w2", "w3"];

/// What is switched off, so that the test can be seen to fail.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Guard {
    AllOn,
    /// Holders honour their leases for twice as long.
    LeaseTooLong,
    /// Holders count a lease from when it came, and not from when they asked.
    FromArrival,
    /// The next step is put in force without waiting for anybody.
    NoWaiting,
    /// One that no longer decides goes on granting what it knows.
    Unconfirmed,
    /// Who is cut off goes on by the full rules.
    NeverCareful,
    /// A holder that starts again cannot be told from the one before.
    SameLife,
}

#[derive(PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Renew(usize),
    Arrives(usize, usize, LeaseRequest),
    Granted(usize, u64),
    Propose,
    Advance,
    /// The one that decides is killed or cut off; another decides from now on.
    Elect,
    Restart(usize),
    Cut(usize, bool),
}

struct Clock {
    offset: Nanos,
    rate: f64,
}

impl Clock {
    fn at(&self, now: Nanos) -> Nanos {
        self.offset + (now as f64 * self.rate) as Nanos
    }
}

/// One that has decided or does, and what it knew when it last did.
struct Deciding {
    grantor: LeaseTable,
    clock: Clock,
    knows: (Version, RulesStep),
}

struct World {
    guard: Guard,
    terms: LeaseConfig,
    honoured: LeaseConfig,
    random: fastrand::Rng,
    now: Nanos,
    queue: BinaryHeap<std::cmp::Reverse<(Nanos, u64, Event)>>,
    serial: u64,
    grants: BTreeMap<u64, LeaseGrant>,
    decider: RolloutState,
    deciding: Vec<Deciding>,
    holders: Vec<(LeaseHolder, Clock, bool)>,
    /// When each version was decided.
    decided: BTreeMap<Version, Nanos>,
    steps: BTreeMap<Version, RulesStep>,
    /// The worst time that somebody acted on a version after the next had been decided.
    overlap: Nanos,
    advances: u32,
    broken: Option<String>,
}

fn document(random: &mut fastrand::Rng) -> RulesDocument {
    let mut document = RulesDocument { schedulers: 3 + random.u32(0..2), ..RulesDocument::default() };
    document.quotas.insert("emmental".to_owned(), 10.0 * f64::from(random.u32(1..10)));
    for worker in WORKERS {
        match random.u32(0..5) {
            0 => drop(document.workers.insert(worker.to_owned(), WorkerState::Cordoned)),
            1 => drop(document.workers.insert(worker.to_owned(), WorkerState::Pinned("emmental".to_owned()))),
            _ => {}
        }
    }
    let share = random.f64();
    let core = WORKERS.iter().filter(|w| !document.workers.contains_key(**w) && random.bool());
    let workers = core.map(|w| (*w).to_owned()).collect();
    document.degraded = DegradedRules {
        quota_share: share,
        allowed_workers: workers,
        allows_unlisted_workers: random.bool(),
        allows_unlimited_tenants: random.bool(),
    };
    document
}

impl World {
    fn new(seed: u64, guard: Guard) -> World {
        let mut random = fastrand::Rng::with_seed(seed);
        let terms = LeaseConfig::new(1_000 * MS, 300 * MS, 0.02).expect("sound terms");
        let honoured = match guard {
            Guard::LeaseTooLong => LeaseConfig::new(2_000 * MS, 300 * MS, 0.02).expect("sound terms"),
            _ => terms,
        };
        let decider = RolloutState::new(RulesDocument { schedulers: 3, ..document(&mut random) });
        let mut clock =
            || Clock { offset: random.u64(1..100_000 * MS), rate: 1.0 + 0.02 * (2.0 * random.f64() - 1.0) };
        let clocks: Vec<Clock> = (0..=HOLDERS).map(|_| clock()).collect();
        let mut clocks = clocks.into_iter();
        let first = clocks.next().expect("one for the first that decides");
        let (version, step) = decider.active();
        let mut world = World {
            guard,
            terms,
            honoured,
            random,
            now: 0,
            queue: BinaryHeap::new(),
            serial: 0,
            grants: BTreeMap::new(),
            decided: BTreeMap::from([(version, 0)]),
            steps: BTreeMap::from([(version, step.clone())]),
            deciding: vec![Deciding {
                grantor: LeaseTable::new(terms, first.at(0)),
                clock: first,
                knows: (version, step.clone()),
            }],
            decider,
            holders: clocks.map(|clock| (LeaseHolder::new(honoured, 0), clock, false)).collect(),
            overlap: 0,
            advances: 0,
            broken: None,
        };
        for holder in 0..HOLDERS {
            world.at(10 * MS, Event::Renew(holder));
        }
        world.at(3_000 * MS, Event::Propose);
        world.at(50 * MS, Event::Advance);
        world.at(8_000 * MS, Event::Elect);
        world.at(9_000 * MS, Event::Restart(0));
        for holder in 0..HOLDERS {
            let after = world.random.u64(1_000..20_000) * MS;
            world.at(after, Event::Cut(holder, true));
        }
        world
    }

    fn at(&mut self, after: Nanos, event: Event) {
        self.serial += 1;
        self.queue.push(std::cmp::Reverse((self.now + after, self.serial, event)));
    }

    /// A message's way: lost, doubled, mostly quick and at times longer than a lease.
    fn sends(&mut self, cut: bool, event: impl Fn() -> Event) {
        let copies =
            if cut || self.random.u32(0..20) == 0 { 0 } else { 1 + u32::from(self.random.u32(0..20) == 0) };
        for _ in 0..copies {
            let way = match self.random.u32(0..10) {
                0 => self.random.u64(0..4_000) * MS,
                _ => self.random.u64(0..30) * MS,
            };
            self.at(way, event());
        }
    }

    fn play(mut self, until: Nanos) -> World {
        while let Some(std::cmp::Reverse((at, _, event))) = self.queue.pop() {
            if at > until || self.broken.is_some() {
                break;
            }
            // Everybody goes on acting until something happens: looked at right before that.
            self.now = at;
            self.check();
            self.happen(event);
            self.check();
        }
        self
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Renew(n) => {
                let (holder, clock, cut) = &mut self.holders[n];
                let (request, cut) = (holder.next_request(clock.at(self.now)), *cut);
                let last = self.deciding.len() - 1;
                // It may still take one that no longer decides for the one that does.
                let to = if self.random.u32(0..4) == 0 { self.random.usize(0..=last) } else { last };
                self.sends(cut, || Event::Arrives(n, to, request));
                self.at(300 * MS, Event::Renew(n));
            }
            Event::Arrives(n, to, request) => self.asked(n, to, request),
            Event::Granted(n, grant) => {
                let Some(grant) = self.grants.get(&grant).cloned() else { return };
                let (holder, clock, _) = &mut self.holders[n];
                let now = clock.at(self.now);
                if self.guard == Guard::FromArrival {
                    // As if it had been asked for just now.
                    let request = holder.next_request(now);
                    holder.accept(
                        now,
                        LeaseGrant { incarnation: request.incarnation, sequence: request.sequence, ..grant },
                    );
                } else {
                    holder.accept(now, grant);
                }
            }
            Event::Propose => {
                let document = document(&mut self.random);
                let newest = self.decider.documents().last().map_or(0, |(number, _)| number);
                self.decider.propose(newest, document).expect("on the newest");
                let after = self.random.u64(500..9_000) * MS;
                self.at(after, Event::Propose);
            }
            Event::Advance => {
                self.advance();
                self.at(50 * MS, Event::Advance);
            }
            Event::Elect => {
                let rate = 1.0 + 0.02 * (2.0 * self.random.f64() - 1.0);
                let clock = Clock { offset: self.random.u64(1..100_000 * MS), rate };
                let (version, step) = self.decider.active();
                let knows = (version, step.clone());
                let grantor = LeaseTable::new(self.terms, clock.at(self.now));
                self.deciding.push(Deciding { grantor, clock, knows });
                let after = self.random.u64(500..12_000) * MS;
                self.at(after, Event::Elect);
            }
            Event::Restart(n) => {
                // It keeps its seat under its name and has forgotten all else.
                let life = if self.guard == Guard::SameLife { 0 } else { self.serial };
                self.holders[n].0 = LeaseHolder::new(self.honoured, life);
                let (next, after) = (self.random.usize(0..HOLDERS), self.random.u64(500..20_000) * MS);
                self.at(after, Event::Restart(next));
            }
            Event::Cut(n, cut) => {
                self.holders[n].2 = cut;
                let after = self.random.u64(500..8_000) * MS;
                self.at(after, Event::Cut(n, !cut));
            }
        }
    }

    fn asked(&mut self, n: usize, to: usize, request: LeaseRequest) {
        let confirmed = to + 1 == self.deciding.len();
        if !confirmed && self.guard != Guard::Unconfirmed {
            return;
        }
        let name = format!("s{n}");
        if confirmed {
            if self.decider.join(&name).is_err() {
                return;
            }
            let (version, step) = self.decider.active();
            self.deciding[to].knows = (version, step.clone());
        }
        let Deciding { grantor, clock, knows: (version, step) } = &mut self.deciding[to];
        // Of a life that another has taken the place of, by a message that was long on its way.
        let Some(grant) = grantor.grant(clock.at(self.now), &name, request, *version, step) else { return };
        let number = self.serial;
        self.grants.insert(number, grant);
        let cut = self.holders[n].2;
        self.sends(cut, || Event::Granted(n, number));
    }

    fn advance(&mut self) {
        let last = self.deciding.len() - 1;
        let Deciding { grantor, clock, .. } = &self.deciding[last];
        let (version, _) = self.decider.active();
        let names: Vec<String> = self.decider.members().map(|(name, _)| name.to_owned()).collect();
        let now = clock.at(self.now);
        let settled = names.iter().all(|name| grantor.prior_lease(now, name, version).is_ok());
        let has: BTreeMap<String, Version> = match self.guard {
            Guard::NoWaiting => names.iter().map(|name| (name.clone(), version)).collect(),
            _ => names.iter().filter_map(|name| Some((name.clone(), grantor.acknowledged(name)?))).collect(),
        };
        if !settled && self.guard != Guard::NoWaiting {
            return;
        }
        if let Some(version) = self.decider.advance(last as u64, &has) {
            self.advances += 1;
            self.decided.insert(version, self.now);
            self.steps.insert(version, self.decider.active().1.clone());
        }
    }

    /// Whether all who act at this moment may.
    fn check(&mut self) {
        let acting: Vec<LeaseState<'_>> =
            self.holders.iter().map(|(holder, clock, _)| holder.state(clock.at(self.now))).collect();
        let mut broken = None;
        for (n, one) in acting.iter().enumerate() {
            if let LeaseState::Active(version, _) = one {
                let next = self
                    .decided
                    .range((std::ops::Bound::Excluded(*version), std::ops::Bound::Unbounded))
                    .next();
                let since = next.map_or(0, |(_, decided)| self.now - decided);
                self.overlap = self.overlap.max(since);
                if since > self.terms.max_overlap() {
                    broken = Some(format!("s{n} acts on {version} {} ms after the next", since / MS));
                }
            }
            for (m, other) in acting.iter().enumerate().filter(|(m, _)| *m != n) {
                let why = match (one, other) {
                    (LeaseState::Active(_, a), LeaseState::Active(_, b)) => a.contradiction_with(b),
                    (LeaseState::Lapsed(_, a), LeaseState::Active(_, b))
                        if self.guard == Guard::NeverCareful =>
                    {
                        a.contradiction_with(b)
                    }
                    (LeaseState::Lapsed(later, a), LeaseState::Active(version, b)) if later >= version => {
                        // What it may do carefully is a part of what it might do in full.
                        a.contradiction_with(b)
                    }
                    (LeaseState::Lapsed(_, a), LeaseState::Active(_, b)) => a.degraded_contradiction_with(b),
                    _ => None,
                };
                if let Some(why) = why {
                    broken = Some(format!("s{n} on {one:?} and s{m} on {other:?}: {why}"));
                }
            }
        }
        let sum: f64 = acting
            .iter()
            .map(|acts| match acts {
                LeaseState::Active(_, step) => {
                    step.quotas.get("emmental").map_or(0.0, |_| step.member_quota("emmental"))
                }
                LeaseState::Lapsed(_, step) => step.degraded_member_quota("emmental"),
                LeaseState::NeverGranted => 0.0,
            })
            .sum();
        let full = |acts: &&LeaseState<'_>| matches!(acts, LeaseState::Active(..));
        let wholes = acting.iter().filter(full).filter_map(|acts| match acts {
            LeaseState::Active(_, step) => step.quotas.get("emmental").copied(),
            _ => None,
        });
        // A limit that has been raised counts as raised once that is decided.
        let decided = self.decider.active().1.quotas.get("emmental").copied().unwrap_or(0.0);
        let whole = wholes.fold(decided, f64::max);
        if whole > 0.0 && sum > whole * (1.0 + 1e-6) {
            broken = Some(format!("all together take {sum} of {whole}"));
        }
        if let Some(broken) = broken {
            self.broken.get_or_insert(format!("{} ms: {broken}", self.now / MS));
        }
    }
}

#[test]
fn who_acts_together_agrees_under_a_thousand_seeds_of_faults() {
    let (mut worst, mut advances) = (0, 0);
    for seed in 0..1_000 {
        let world = World::new(seed, Guard::AllOn).play(60_000 * MS);
        assert_eq!(world.broken, None, "seed {seed}");
        worst = world.overlap.max(worst);
        advances += world.advances;
    }
    // The bound is not idle: overlaps come near it, and changes do get through.
    let terms = LeaseConfig::new(1_000 * MS, 300 * MS, 0.02).expect("sound terms");
    assert!(
        worst <= terms.max_overlap() && worst > terms.max_overlap() / 2,
        "worst overlap {} ms",
        worst / MS
    );
    assert!(advances > 3_000, "{advances} steps in all");
}

#[test]
fn each_guard_is_needed() {
    for guard in [
        Guard::LeaseTooLong,
        Guard::FromArrival,
        Guard::NoWaiting,
        Guard::Unconfirmed,
        Guard::NeverCareful,
        Guard::SameLife,
    ] {
        let found = (0..2_000).any(|seed| World::new(seed, guard).play(60_000 * MS).broken.is_some());
        assert!(found, "nothing breaks with {guard:?}");
    }
}

#[test]
fn a_request_that_comes_late_takes_no_seat_again_for_one_that_has_left() {
    let terms = LeaseConfig::new(1_000 * MS, 300 * MS, 0.0).expect("sound terms");
    let step = RulesStep::from_document(&RulesDocument::default());
    let version = Version { term: 1, number: 1 };
    let mut grantor = LeaseTable::new(terms, 0);
    let (mut first, mut second) = (LeaseHolder::new(terms, 1), LeaseHolder::new(terms, 2));
    let late = first.next_request(1);
    assert!(grantor.grant(1, "a", late, version, &step).is_some());
    grantor.remove_departed("a");
    assert!(grantor.is_superseded("a", &late) && grantor.grant(2, "a", late, version, &step).is_none());
    // The next process of its name is another.
    let anew = second.next_request(3);
    assert!(grantor.grant(3, "a", anew, version, &step).is_some());
}
