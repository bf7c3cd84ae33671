//! The indexes against models that are too plain to be wrong.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use nickelflow::index::{Hold, Pool, Ring};
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
    fn a_ring_goes_round_once_from_any_place(
        changes in prop::collection::vec((0u64..20, 0usize..30, any::<bool>()), 0..100),
        from in prop_oneof![0u64..22, Just(u64::MAX)],
    ) {
        let (mut ring, mut model) = (Ring::default(), BTreeSet::new());
        for (place, number, member) in changes {
            ring.set(place, number, member);
            if member { model.insert((place, number)); } else { model.remove(&(place, number)); }
        }
        let mut sorted: Vec<(u64, usize)> = model.iter().copied().collect();
        sorted.sort_by_key(|(place, number)| (*place < from, *place, *number));
        let round: Vec<usize> = sorted.into_iter().map(|(_, number)| number).collect();
        prop_assert_eq!(ring.from(from).collect::<Vec<_>>(), round);
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
