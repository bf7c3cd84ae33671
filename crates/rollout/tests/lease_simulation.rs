//! Simulates lease holders, leaders and a faulty network in virtual time. The network loses and duplicates messages, delays
//! them for longer than a lease, and disconnects single holders. Rules that are in effect at the same time must never
//! contradict each other, and no holder may apply an old version for longer than the bound. Each injected fault of the
//! protocol must lead to a violation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Bound;

use nickelflow_rollout::{
    DegradedRules, LeaseConfig, LeaseGrant, LeaseHolder, LeaseRequest, LeaseState, LeaseTable, Nanos,
    RolloutState, RulesDocument, RulesStep, Version, VersionedStep, WorkerState,
};

const MS: Nanos = 1_000_000;
const HOLDERS: usize = 4;
const WORKERS: [&str; 3] = ["w1", "w2", "w3"];
const TENANT: &str = "emmental";
const MAX_CLOCK_DRIFT: f64 = 0.02;
const RENEWAL_INTERVAL: Nanos = 300 * MS;
const ADVANCE_INTERVAL: Nanos = 50 * MS;
/// Virtual duration of one run.
const RUN_LENGTH: Nanos = 60_000 * MS;

/// The fault that is injected into the protocol, to show that the checks find it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    /// Holders use their leases for twice as long.
    LeaseUsedTooLong,
    /// The leases of holders start at the arrival of the grant instead of at the request.
    LeaseStartsAtArrival,
    /// The next step is activated without waiting for any holder.
    NoWaiting,
    /// A former leader continues to grant leases on the last step that it knows.
    UnconfirmedGrants,
    /// Holders continue to apply the full rules after their leases have expired.
    NeverDegraded,
    /// A restarted holder has the same incarnation as before.
    ReusedIncarnation,
}

#[derive(PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    /// A holder requests a lease.
    Renew(usize),
    /// A holder's request reaches a leader.
    RequestArrives {
        holder: usize,
        leader: usize,
        request: LeaseRequest,
    },
    /// The grant with this number reaches a holder.
    GrantArrives {
        holder: usize,
        grant: u64,
    },
    Propose,
    Advance,
    /// The leader is killed or disconnected, and another one takes over.
    ReplaceLeader,
    Restart(usize),
    SetDisconnected {
        holder: usize,
        disconnected: bool,
    },
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Nanos,
    /// Events at the same time are handled in the order in which they were scheduled.
    serial: u64,
    event: Event,
}

struct Clock {
    offset: Nanos,
    rate: f64,
}

impl Clock {
    fn random(random: &mut fastrand::Rng) -> Clock {
        let offset = random.u64(1..100_000 * MS);
        Clock { offset, rate: Clock::random_rate(random) }
    }

    fn random_rate(random: &mut fastrand::Rng) -> f64 {
        1.0 + MAX_CLOCK_DRIFT * (2.0 * random.f64() - 1.0)
    }

    fn at(&self, now: Nanos) -> Nanos {
        self.offset + (now as f64 * self.rate) as Nanos
    }
}

/// The current leader or a former one, with the last active step that it knows.
struct Leader {
    lease_table: LeaseTable,
    clock: Clock,
    known_step: VersionedStep,
}

struct Holder {
    lease: LeaseHolder,
    clock: Clock,
    disconnected: bool,
}

struct Simulation {
    fault: Fault,
    config: LeaseConfig,
    /// The configuration of holders. With an injected fault it differs from that of leaders.
    holder_config: LeaseConfig,
    random: fastrand::Rng,
    now: Nanos,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    serial: u64,
    grants: BTreeMap<u64, LeaseGrant>,
    state: RolloutState,
    /// All leaders so far; the last one is the current one.
    leaders: Vec<Leader>,
    holders: Vec<Holder>,
    /// The time at which each version was activated.
    activated_at: BTreeMap<Version, Nanos>,
    /// The longest time for which a holder applied a version after the next one had been activated.
    longest_overlap: Nanos,
    advances: u32,
    violation: Option<String>,
}

fn lease_config(duration: Nanos) -> LeaseConfig {
    LeaseConfig::new(duration, RENEWAL_INTERVAL, MAX_CLOCK_DRIFT).expect("a valid configuration")
}

fn random_document(random: &mut fastrand::Rng) -> RulesDocument {
    let mut document = RulesDocument { schedulers: 3 + random.u32(0..2), ..RulesDocument::default() };
    document.quotas.insert(TENANT.to_owned(), 10.0 * f64::from(random.u32(1..10)));
    for worker in WORKERS {
        match random.u32(0..5) {
            0 => drop(document.workers.insert(worker.to_owned(), WorkerState::Cordoned)),
            1 => drop(document.workers.insert(worker.to_owned(), WorkerState::Pinned(TENANT.to_owned()))),
            _ => {}
        }
    }
    let quota_share = random.f64();
    let allowed = WORKERS.iter().filter(|w| !document.workers.contains_key(**w) && random.bool());
    let allowed_workers = allowed.map(|w| (*w).to_owned()).collect();
    document.degraded = DegradedRules {
        quota_share,
        allowed_workers,
        allows_unlisted_workers: random.bool(),
        allows_unlimited_tenants: random.bool(),
    };
    document
}

impl Simulation {
    fn new(seed: u64, fault: Fault) -> Simulation {
        let mut random = fastrand::Rng::with_seed(seed);
        let config = lease_config(1_000 * MS);
        let holder_config = match fault {
            Fault::LeaseUsedTooLong => lease_config(2_000 * MS),
            _ => config,
        };
        let state = RolloutState::new(RulesDocument { schedulers: 3, ..random_document(&mut random) });
        let clocks: Vec<Clock> = (0..=HOLDERS).map(|_| Clock::random(&mut random)).collect();
        let mut clocks = clocks.into_iter();
        let first_clock = clocks.next().expect("a clock of the first leader");
        let first_leader = Leader {
            lease_table: LeaseTable::new(config, first_clock.at(0)),
            clock: first_clock,
            known_step: state.active().clone(),
        };
        let new_holder =
            |clock| Holder { lease: LeaseHolder::new(holder_config, 0), clock, disconnected: false };
        let mut simulation = Simulation {
            fault,
            config,
            holder_config,
            random,
            now: 0,
            queue: BinaryHeap::new(),
            serial: 0,
            grants: BTreeMap::new(),
            activated_at: BTreeMap::from([(state.active().version, 0)]),
            leaders: vec![first_leader],
            state,
            holders: clocks.map(new_holder).collect(),
            longest_overlap: 0,
            advances: 0,
            violation: None,
        };
        simulation.schedule_first_events();
        simulation
    }

    fn schedule_first_events(&mut self) {
        for holder in 0..HOLDERS {
            self.schedule(10 * MS, Event::Renew(holder));
        }
        self.schedule(3_000 * MS, Event::Propose);
        self.schedule(ADVANCE_INTERVAL, Event::Advance);
        self.schedule(8_000 * MS, Event::ReplaceLeader);
        self.schedule(9_000 * MS, Event::Restart(0));
        for holder in 0..HOLDERS {
            let after = self.random.u64(1_000..20_000) * MS;
            self.schedule(after, Event::SetDisconnected { holder, disconnected: true });
        }
    }

    fn schedule(&mut self, after: Nanos, event: Event) {
        self.serial += 1;
        let at = self.now + after;
        self.queue.push(Reverse(ScheduledEvent { at, serial: self.serial, event }));
    }

    /// Sends a message from or to a holder. Some messages are lost or duplicated. Most arrive soon, but some take longer
    /// than a lease.
    fn send(&mut self, disconnected: bool, event: impl Fn() -> Event) {
        let copies = if disconnected || self.random.u32(0..20) == 0 {
            0
        } else {
            1 + u32::from(self.random.u32(0..20) == 0)
        };
        for _ in 0..copies {
            let delay = match self.random.u32(0..10) {
                0 => self.random.u64(0..4_000) * MS,
                _ => self.random.u64(0..30) * MS,
            };
            self.schedule(delay, event());
        }
    }

    fn run(mut self, until: Nanos) -> Simulation {
        while let Some(Reverse(ScheduledEvent { at, event, .. })) = self.queue.pop() {
            if at > until || self.violation.is_some() {
                break;
            }
            // Holders apply their rules until the event happens, so they are checked before the event too.
            self.now = at;
            self.check();
            self.handle(event);
            self.check();
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Renew(holder) => self.renew(holder),
            Event::RequestArrives { holder, leader, request } => self.grant(holder, leader, request),
            Event::GrantArrives { holder, grant } => self.accept(holder, grant),
            Event::Propose => self.propose(),
            Event::Advance => {
                self.advance();
                self.schedule(ADVANCE_INTERVAL, Event::Advance);
            }
            Event::ReplaceLeader => self.replace_leader(),
            Event::Restart(holder) => self.restart(holder),
            Event::SetDisconnected { holder, disconnected } => {
                self.holders[holder].disconnected = disconnected;
                let after = self.random.u64(500..8_000) * MS;
                self.schedule(after, Event::SetDisconnected { holder, disconnected: !disconnected });
            }
        }
    }

    fn renew(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        let request = holder.lease.next_request(holder.clock.at(self.now));
        let disconnected = holder.disconnected;
        let last = self.leaders.len() - 1;
        // The holder may not know yet that the leader has changed.
        let leader = if self.random.u32(0..4) == 0 { self.random.usize(0..=last) } else { last };
        self.send(disconnected, || Event::RequestArrives { holder: index, leader, request });
        self.schedule(RENEWAL_INTERVAL, Event::Renew(index));
    }

    fn grant(&mut self, holder: usize, leader: usize, request: LeaseRequest) {
        let is_current_leader = leader + 1 == self.leaders.len();
        if !is_current_leader && self.fault != Fault::UnconfirmedGrants {
            return;
        }
        let name = format!("s{holder}");
        if is_current_leader {
            if self.state.join(&name).is_err() {
                return;
            }
            self.leaders[leader].known_step = self.state.active().clone();
        }
        let Leader { lease_table, clock, known_step } = &mut self.leaders[leader];
        let grant =
            lease_table.grant(clock.at(self.now), &name, request, known_step.version, &known_step.step);
        // The table grants nothing if the request was delayed until after one of a later incarnation.
        let Some(grant) = grant else { return };
        let number = self.serial;
        self.grants.insert(number, grant);
        let disconnected = self.holders[holder].disconnected;
        self.send(disconnected, || Event::GrantArrives { holder, grant: number });
    }

    fn accept(&mut self, holder: usize, grant: u64) {
        let Some(grant) = self.grants.get(&grant).cloned() else { return };
        let Holder { lease, clock, .. } = &mut self.holders[holder];
        let now = clock.at(self.now);
        if self.fault == Fault::LeaseStartsAtArrival {
            // Treats the grant as a response to a request that is sent now.
            let LeaseRequest { incarnation, sequence, .. } = lease.next_request(now);
            lease.accept(now, LeaseGrant { incarnation, sequence, ..grant });
        } else {
            lease.accept(now, grant);
        }
    }

    fn propose(&mut self) {
        let document = random_document(&mut self.random);
        let newest = self.state.proposals().last().map_or(0, |proposal| proposal.number);
        self.state.propose(newest, document).expect("based on the newest");
        let after = self.random.u64(500..9_000) * MS;
        self.schedule(after, Event::Propose);
    }

    fn replace_leader(&mut self) {
        let rate = Clock::random_rate(&mut self.random);
        let clock = Clock { offset: self.random.u64(1..100_000 * MS), rate };
        let lease_table = LeaseTable::new(self.config, clock.at(self.now));
        self.leaders.push(Leader { lease_table, clock, known_step: self.state.active().clone() });
        let after = self.random.u64(500..12_000) * MS;
        self.schedule(after, Event::ReplaceLeader);
    }

    /// Restarts a holder. It stays a member under its name and loses all other state.
    fn restart(&mut self, holder: usize) {
        let incarnation = if self.fault == Fault::ReusedIncarnation { 0 } else { self.serial };
        self.holders[holder].lease = LeaseHolder::new(self.holder_config, incarnation);
        let next_holder = self.random.usize(0..HOLDERS);
        let after = self.random.u64(500..20_000) * MS;
        self.schedule(after, Event::Restart(next_holder));
    }

    fn advance(&mut self) {
        let term = self.leaders.len() - 1;
        let Leader { lease_table, clock, .. } = &self.leaders[term];
        let version = self.state.active().version;
        let members: Vec<String> = self.state.members().map(|(name, _)| name.to_owned()).collect();
        let now = clock.at(self.now);
        let prior_leases_over =
            members.iter().all(|name| lease_table.prior_lease(now, name, version).is_over());
        let acknowledged: BTreeMap<String, Version> = match self.fault {
            Fault::NoWaiting => members.iter().map(|name| (name.clone(), version)).collect(),
            _ => members
                .iter()
                .filter_map(|name| Some((name.clone(), lease_table.acknowledged(name)?)))
                .collect(),
        };
        if !prior_leases_over && self.fault != Fault::NoWaiting {
            return;
        }
        if let Some(version) = self.state.advance(term as u64, &acknowledged) {
            self.advances += 1;
            self.activated_at.insert(version, self.now);
        }
    }

    /// Checks the rules that the holders may apply at this time, and records the longest overlap.
    fn check(&mut self) {
        let states: Vec<LeaseState<'_>> =
            self.holders.iter().map(|holder| holder.lease.state(holder.clock.at(self.now))).collect();
        let overlaps: Vec<Nanos> = states.iter().map(|state| self.overlap(state)).collect();
        let violation = self
            .exceeded_quota(&states)
            .or_else(|| self.contradicting_states(&states))
            .or_else(|| self.exceeded_overlap(&overlaps));
        let longest_overlap = overlaps.into_iter().fold(self.longest_overlap, Nanos::max);
        self.longest_overlap = longest_overlap;
        if let Some(violation) = violation {
            self.violation.get_or_insert(format!("{} ms: {violation}", self.now / MS));
        }
    }

    /// Returns how long ago the version after the one that a holder applies was activated.
    fn overlap(&self, state: &LeaseState<'_>) -> Nanos {
        let LeaseState::Active(version, _) = state else { return 0 };
        let mut later = self.activated_at.range((Bound::Excluded(*version), Bound::Unbounded));
        later.next().map_or(0, |(_, activated_at)| self.now - activated_at)
    }

    fn exceeded_overlap(&self, overlaps: &[Nanos]) -> Option<String> {
        let exceeded = overlaps.iter().position(|overlap| *overlap > self.config.max_overlap())?;
        Some(format!(
            "s{exceeded} applies its version {} ms after the next was activated",
            overlaps[exceeded] / MS
        ))
    }

    fn contradicting_states(&self, states: &[LeaseState<'_>]) -> Option<String> {
        for (n, state) in states.iter().enumerate() {
            for (m, other) in states.iter().enumerate().filter(|(m, _)| *m != n) {
                let contradiction = match (state, other) {
                    (LeaseState::Active(_, step), LeaseState::Active(_, active)) => {
                        step.contradiction_with(active)
                    }
                    (LeaseState::Lapsed(version, step), LeaseState::Active(active_version, active)) => {
                        // From the active version on, the degraded rules of a step allow no more than its full rules.
                        if self.fault == Fault::NeverDegraded || version >= active_version {
                            step.contradiction_with(active)
                        } else {
                            step.degraded_contradiction_with(active)
                        }
                    }
                    _ => None,
                };
                if let Some(contradiction) = contradiction {
                    return Some(format!("s{n} on {state:?} and s{m} on {other:?}: {contradiction}"));
                }
            }
        }
        None
    }

    fn exceeded_quota(&self, states: &[LeaseState<'_>]) -> Option<String> {
        let usable_quota = |state: &LeaseState<'_>| match state {
            LeaseState::Active(_, step) => step.quotas.get(TENANT).map_or(0.0, |_| step.member_quota(TENANT)),
            LeaseState::Lapsed(_, step) => step.degraded_member_quota(TENANT),
            LeaseState::NeverGranted => 0.0,
        };
        let sum: f64 = states.iter().map(usable_quota).sum();
        let applied_quotas = states.iter().filter_map(|state| match state {
            LeaseState::Active(_, step) => step.quotas.get(TENANT).copied(),
            _ => None,
        });
        // A raised quota counts as soon as its step is activated.
        let active_quota = self.state.active().step.quotas.get(TENANT).copied().unwrap_or(0.0);
        let quota = applied_quotas.fold(active_quota, f64::max);
        let exceeded = quota > 0.0 && sum > quota * (1.0 + 1e-6);
        exceeded.then(|| format!("all holders together may use {sum} of {quota}"))
    }
}

#[test]
fn concurrent_rules_never_contradict_each_other_under_a_thousand_seeds_of_faults() {
    let (mut longest_overlap, mut advances) = (0, 0);
    for seed in 0..1_000 {
        let simulation = Simulation::new(seed, Fault::None).run(RUN_LENGTH);
        assert_eq!(simulation.violation, None, "seed {seed}");
        longest_overlap = simulation.longest_overlap.max(longest_overlap);
        advances += simulation.advances;
    }
    // Overlaps come close to the bound, so it is not larger than necessary. Steps are activated despite the faults.
    let max_overlap = lease_config(1_000 * MS).max_overlap();
    assert!(
        longest_overlap <= max_overlap && longest_overlap > max_overlap / 2,
        "longest overlap {} ms",
        longest_overlap / MS
    );
    assert!(advances > 3_000, "only {advances} steps were activated");
}

#[test]
fn each_injected_fault_leads_to_a_violation() {
    for fault in [
        Fault::LeaseUsedTooLong,
        Fault::LeaseStartsAtArrival,
        Fault::NoWaiting,
        Fault::UnconfirmedGrants,
        Fault::NeverDegraded,
        Fault::ReusedIncarnation,
    ] {
        let found = (0..2_000).any(|seed| Simulation::new(seed, fault).run(RUN_LENGTH).violation.is_some());
        assert!(found, "no violation with {fault:?}");
    }
}

#[test]
fn a_late_request_of_a_departed_holder_is_rejected() {
    let config = LeaseConfig::new(1_000 * MS, RENEWAL_INTERVAL, 0.0).expect("a valid configuration");
    let step = RulesStep::from_document(&RulesDocument::default());
    let version = Version { term: 1, number: 1 };
    let mut lease_table = LeaseTable::new(config, 0);
    let (mut first, mut second) = (LeaseHolder::new(config, 1), LeaseHolder::new(config, 2));
    let late_request = first.next_request(1);
    assert!(lease_table.grant(1, "a", late_request, version, &step).is_some());
    lease_table.remove_departed("a");
    assert!(lease_table.is_superseded("a", &late_request));
    assert!(lease_table.grant(2, "a", late_request, version, &step).is_none());
    // The next process with the same name is another holder.
    let request = second.next_request(3);
    assert!(lease_table.grant(3, "a", request, version, &step).is_some());
}
