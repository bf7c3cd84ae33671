//! The indexes against models that are too plain to be wrong.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use nickelflow_dispatcher::index::{mix, Agenda, Counts, Hold, Pool, Ring};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_pool_is_a_set(changes in prop::collection::vec((0usize..40, any::<bool>()), 0..200)) {
        let (mut pool, mut model) = (Pool::default(), BTreeSet::new());
        for (number, member) in changes {
            pool.set(number, member);
            if member { model.insert(number); } else { model.remove(&number); }
            let members: BTreeSet<usize> = pool.members().iter().copied().collect();
            prop_assert_eq!(pool.members().len(), members.len(), "each once");
            prop_assert_eq!(&members, &model);
            prop_assert!((0..41).all(|n| pool.contains(n) == model.contains(&n)));
        }
    }

    #[test]
    fn a_ring_ranks_the_nearest_of_those_kept_by_one_hash(
        changes in prop::collection::vec((any::<u64>(), 0usize..30, any::<bool>()), 0..60),
        (key, near, odd) in (any::<u64>(), 0usize..40, any::<bool>()),
    ) {
        let (mut ring, mut model) = (Ring::default(), BTreeSet::new());
        for (place, number, member) in changes {
            ring.set(place, number, member);
            if member { model.insert((place, number)); } else { model.remove(&(place, number)); }
        }
        let kept = |number: usize| !odd || number % 2 == 1;
        let mut round: Vec<(u64, usize)> = model.iter().copied().filter(|(_, n)| kept(*n)).collect();
        round.sort_by_key(|(place, number)| (*place < mix(key), *place, *number));
        round.truncate(near);
        round.sort_by_key(|(place, number)| std::cmp::Reverse((mix(key ^ place), *number)));
        let ranked: Vec<usize> = round.into_iter().map(|(_, number)| number).collect();
        prop_assert_eq!(ring.rank(key, near, |n| kept(n).then_some(1.0)), ranked);
        prop_assert_eq!(ring.len(), model.len());
        prop_assert_eq!(ring.is_empty(), model.is_empty());
    }

    #[test]
    fn a_hold_gives_each_worker_what_may_go_to_it_in_order(
        changes in prop::collection::vec((0u64..30, prop::collection::btree_set(0usize..5, 0..3), any::<bool>()), 0..80),
        worker in 0usize..6,
    ) {
        let (mut hold, mut model) = (Hold::default(), BTreeMap::<u64, Vec<usize>>::new());
        for (place, workers, put) in changes {
            match model.remove(&place) {
                Some(workers) => hold.remove(place, &workers),
                None if put => {
                    let workers: Vec<usize> = workers.into_iter().collect();
                    hold.insert(place, place * 10, &workers);
                    model.insert(place, workers);
                }
                None => {}
            }
            prop_assert_eq!((hold.len(), hold.is_empty()), (model.len(), model.is_empty()));
        }
        let (mut seen, mut after) = (vec![], Bound::Unbounded);
        while let Some((place, what)) = hold.next(worker, after) {
            prop_assert_eq!(what, place * 10);
            seen.push(place);
            after = Bound::Excluded(place);
        }
        let may = model.iter().filter(|(_, workers)| workers.is_empty() || workers.contains(&worker));
        prop_assert_eq!(seen, may.map(|(place, _)| *place).collect::<Vec<_>>());
    }
}

proptest! {
    #[test]
    fn an_agenda_gives_each_entry_once_in_time_and_asks_for_no_wake_twice(
        steps in prop::collection::vec((0u64..50, 0u64..20), 1..60),
    ) {
        let (mut agenda, mut model, mut now, mut armed) = (Agenda::default(), Vec::new(), 0, u64::MAX);
        for (n, (delay, passed)) in steps.into_iter().enumerate() {
            now += passed;
            armed = if armed <= now { u64::MAX } else { armed };
            agenda.woken(now);
            agenda.put(now + delay, n);
            model.push((now + delay, n));
            model.sort_unstable();
            while let Some(what) = agenda.next(now) {
                prop_assert_eq!(model.remove(0).1, what);
            }
            prop_assert!(model.iter().all(|(at, _)| *at > now), "one that was due stayed");
            match agenda.wake(now) {
                Some(at) => {
                    prop_assert!(at < armed);
                    armed = at;
                }
                None => prop_assert!(model.first().is_none_or(|(at, _)| *at >= armed)),
            }
        }
    }

    #[test]
    fn counts_stay_within_their_places_and_find_a_frequent_key(
        others in prop::collection::vec(2u64.., 300..1_000),
    ) {
        let mut counts = Counts::new(100.0);
        for key in others {
            counts.add(key);
            counts.add(1);
            prop_assert!(counts.len() <= 200);
        }
        prop_assert!(counts.share(1, 0.0) > 0.4);
        prop_assert!(counts.share(0, 0.0) == 0.0);
    }
}

#[test]
fn a_ring_ranks_by_weight_and_moves_only_what_a_changed_weight_takes_or_leaves() {
    let mut ring = Ring::default();
    (0..20).for_each(|n| ring.set(mix(n as u64), n, true));
    let first = |key: u64, heavy: f64| ring.rank(key, 20, |n| Some(if n == 7 { heavy } else { 1.0 }))[0];
    let count = |heavy| (0..8_000).filter(|key| first(*key, heavy) == 7).count();
    for (heavy, least, most) in [(0.14, 20, 100), (1.0, 300, 500), (4.0, 1_200, 1_600)] {
        let part = count(heavy);
        assert!((least..most).contains(&part), "{part} of 8,000 keys at a weight of {heavy} among 19 of 1");
    }
    for key in 0..8_000 {
        let (before, after) = (first(key, 1.0), first(key, 2.0));
        assert!(before == after || after == 7, "key {key} went from {before} to {after}");
    }
}
