//! The queue of events against a plain sort.

use nickelflow_simulator::queue::Queue;
use proptest::prelude::*;

proptest! {
    /// Against a plain sort, with pushes between pops, many at one moment and some far off.
    #[test]
    fn events_come_by_time_and_then_as_asked_for(
        steps in prop::collection::vec(prop_oneof![
            (0u64..50).prop_map(Some),
            (0u64..1 << 34).prop_map(Some),
            Just(None),
        ], 1..300),
    ) {
        let (mut queue, mut plain, mut now) = (Queue::new(), Vec::new(), 0);
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Some(ahead) => {
                    queue.push(now + ahead, number);
                    plain.push((now + ahead, number));
                }
                None => {
                    plain.sort_unstable();
                    let next = (!plain.is_empty()).then(|| plain.remove(0));
                    now = next.map_or(now, |(at, _)| at);
                    prop_assert_eq!(queue.pop(), next);
                }
            }
        }
    }
}
