//! The dispatcher's collections against models that are too plain to be wrong.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use nickelflow_dispatcher::hash_ring::{mix, HashRing};
use nickelflow_dispatcher::hold_queue::HoldQueue;
use nickelflow_dispatcher::index_set::IndexSet;
use nickelflow_dispatcher::key_frequency::KeyFrequency;
use nickelflow_dispatcher::timers::TimerQueue;
use proptest::prelude::*;

proptest! {
    #[test]
    fn an_index_set_is_a_set(changes in prop::collection::vec((0usize..40, any::<bool>()), 0..200)) {
        let (mut set, mut model) = (IndexSet::default(), BTreeSet::new());
        for (index, is_member) in changes {
            if is_member {
                set.insert(index);
                model.insert(index);
            } else {
                set.remove(index);
                model.remove(&index);
            }
            let members: BTreeSet<usize> = set.members().iter().copied().collect();
            prop_assert_eq!(set.members().len(), members.len(), "each once");
            prop_assert_eq!(&members, &model);
            prop_assert!((0..41).all(|index| set.contains(index) == model.contains(&index)));
        }
    }

    #[test]
    fn a_hash_ring_ranks_the_nearest_entries_with_a_weight_by_one_hash(
        changes in prop::collection::vec((any::<u64>(), 0usize..30, any::<bool>()), 0..60),
        (key, max_entries, odd_only) in (any::<u64>(), 0usize..40, any::<bool>()),
    ) {
        let (mut ring, mut model) = (HashRing::default(), BTreeSet::new());
        for (position, index, is_member) in changes {
            if is_member {
                ring.insert(position, index);
                model.insert((position, index));
            } else {
                ring.remove(position, index);
                model.remove(&(position, index));
            }
        }
        let has_weight = |index: usize| !odd_only || index % 2 == 1;
        let mut nearest: Vec<(u64, usize)> =
            model.iter().copied().filter(|(_, index)| has_weight(*index)).collect();
        nearest.sort_by_key(|(position, index)| (*position < mix(key), *position, *index));
        nearest.truncate(max_entries);
        nearest.sort_by_key(|(position, index)| std::cmp::Reverse((mix(key ^ position), *index)));
        let ranked: Vec<usize> = nearest.into_iter().map(|(_, index)| index).collect();
        prop_assert_eq!(ring.rank(key, max_entries, |index| has_weight(index).then_some(1.0)), ranked);
        prop_assert_eq!(ring.len(), model.len());
        prop_assert_eq!(ring.is_empty(), model.is_empty());
    }

    #[test]
    fn a_hold_queue_gives_each_worker_what_may_go_to_it_in_order(
        changes in prop::collection::vec((0u64..30, prop::collection::btree_set(0usize..5, 0..3), any::<bool>()), 0..80),
        worker in 0usize..6,
    ) {
        let (mut queue, mut model) = (HoldQueue::default(), BTreeMap::<u64, Vec<usize>>::new());
        for (position, workers, is_put) in changes {
            match model.remove(&position) {
                Some(workers) => queue.remove(position, &workers),
                None if is_put => {
                    let workers: Vec<usize> = workers.into_iter().collect();
                    queue.insert(position, position * 10, &workers);
                    model.insert(position, workers);
                }
                None => {}
            }
            prop_assert_eq!((queue.len(), queue.is_empty()), (model.len(), model.is_empty()));
        }
        let (mut seen, mut after) = (vec![], Bound::Unbounded);
        while let Some((position, item)) = queue.next(worker, after) {
            prop_assert_eq!(item, position * 10);
            seen.push(position);
            after = Bound::Excluded(position);
        }
        let may = model.iter().filter(|(_, workers)| workers.is_empty() || workers.contains(&worker));
        prop_assert_eq!(seen, may.map(|(position, _)| *position).collect::<Vec<_>>());
    }
}

proptest! {
    #[test]
    fn a_timer_queue_returns_each_timer_once_in_time_and_requests_no_wake_up_twice(
        steps in prop::collection::vec((0u64..50, 0u64..20), 1..60),
    ) {
        let (mut timers, mut model, mut now, mut requested) = (TimerQueue::default(), Vec::new(), 0, u64::MAX);
        for (n, (delay, passed)) in steps.into_iter().enumerate() {
            now += passed;
            requested = if requested <= now { u64::MAX } else { requested };
            timers.record_wake(now);
            timers.start(now + delay, n);
            model.push((now + delay, n));
            model.sort_unstable();
            while let Some(timer) = timers.pop_expired(now) {
                prop_assert_eq!(model.remove(0).1, timer);
            }
            prop_assert!(model.iter().all(|(at, _)| *at > now), "an expired timer was not returned");
            match timers.request_wake(now) {
                Some(at) => {
                    prop_assert!(at < requested);
                    requested = at;
                }
                None => prop_assert!(model.first().is_none_or(|(at, _)| *at >= requested)),
            }
        }
    }

    #[test]
    fn a_key_frequency_stays_within_its_capacity_and_finds_a_frequent_key(
        others in prop::collection::vec(2u64.., 300..1_000),
    ) {
        let mut frequency = KeyFrequency::new(100.0);
        for key in others {
            frequency.add(key);
            frequency.add(1);
            prop_assert!(frequency.len() <= 200);
        }
        prop_assert!(frequency.share(1, 0.0) > 0.4);
        prop_assert!(frequency.share(0, 0.0) == 0.0);
    }
}

#[test]
fn a_hash_ring_ranks_by_weight_and_moves_only_what_a_changed_weight_takes_or_leaves() {
    let mut ring = HashRing::default();
    (0..20).for_each(|index| ring.insert(mix(index as u64), index));
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
