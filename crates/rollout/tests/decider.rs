//! What is decided: two operators at once, a roll-back in the middle of a change, seats, and who is cut off.

use std::collections::BTreeMap;

use nickelflow_rollout::{Careful, Contradiction, Decider, Document, Refused, Standing, Use, Version, Waits};

fn document(quota: f64, workers: &[(&str, Standing)], core: &[&str]) -> Document {
    Document {
        schedulers: 3,
        quotas: BTreeMap::from([("a".to_owned(), quota), ("b".to_owned(), 10.0)]),
        workers: workers.iter().map(|(w, s)| ((*w).to_owned(), s.clone())).collect(),
        careful: Careful {
            share: 0.5,
            workers: core.iter().map(|w| (*w).to_owned()).collect(),
            others: false,
            unlimited: false,
        },
        ..Document::default()
    }
}

fn pinned(tenant: &str) -> Standing {
    Standing::Pinned(tenant.to_owned())
}

/// A table at which three sit, who all have what is in force.
fn table(first: Document) -> Decider {
    let mut decider = Decider::new(first);
    for name in ["s0", "s1", "s2"] {
        decider.sit(name).expect("a seat");
    }
    decider
}

fn told(decider: &Decider, names: &[&str]) -> BTreeMap<String, Version> {
    names.iter().map(|name| ((*name).to_owned(), decider.in_force().0)).collect()
}

/// Goes on for as long as nothing is waited for, all having told that they have each step.
fn finish(decider: &mut Decider) {
    while decider.coming() > 0 {
        let has = told(decider, &["s0", "s1", "s2"]);
        decider.advance(1, &has).expect("nothing to wait for");
    }
}

#[test]
fn of_two_operators_who_propose_at_once_the_second_is_told() {
    let mut decider = table(document(30.0, &[], &[]));
    assert_eq!(decider.propose(1, document(40.0, &[], &[])), Ok(2));
    assert_eq!(decider.propose(1, document(50.0, &[], &[])), Err(Refused::Changed(2)));
    assert_eq!(decider.propose(2, document(50.0, &[], &[])), Ok(3));
    finish(&mut decider);
    assert_eq!(decider.in_force().1.quotas["a"], 50.0);
}

#[test]
fn a_roll_back_in_the_middle_of_a_change_goes_on_from_where_that_stands() {
    let first = document(30.0, &[("w", pinned("a"))], &[]);
    let mut decider = table(first);
    decider.propose(1, document(30.0, &[("w", pinned("b"))], &[])).expect("on the newest");
    let has = told(&decider, &["s0", "s1", "s2"]);
    decider.advance(1, &has).expect("nothing to wait for");
    let between = decider.in_force().1.clone();
    assert_ne!(between.uses["w"], Use::Own("a".to_owned()));
    assert_eq!(decider.roll_back(2, 1), Ok(3));
    assert_eq!(decider.roll_back(3, 9), Err(Refused::Unknown(9)));
    let mut last = between;
    while decider.coming() > 0 {
        let has = told(&decider, &["s0", "s1", "s2"]);
        decider.advance(1, &has).expect("nothing to wait for");
        assert_eq!(last.contradicts(decider.in_force().1), None);
        last = decider.in_force().1.clone();
    }
    assert_eq!(last.uses["w"], Use::Own("a".to_owned()));
}

#[test]
fn a_hundred_changes_that_come_at_once_end_in_the_last() {
    let mut decider = table(document(30.0, &[], &[]));
    for n in 1..=100u32 {
        decider.propose(u64::from(n), document(30.0 + f64::from(n), &[], &[])).expect("on the newest");
    }
    assert!(decider.coming() <= 8, "{} steps wait", decider.coming());
    assert_eq!(decider.documents().count(), 32, "more are kept than a roll-back needs");
    finish(&mut decider);
    assert_eq!(decider.in_force().1.quotas["a"], 130.0);
}

#[test]
fn while_one_is_cut_off_what_its_careful_rules_allow_cannot_be_taken_away() {
    // s2 tells nothing from here on: its lease lapses, and it acts on the careful rules of the first step.
    let reach = |to: Document| {
        let mut decider = table(document(30.0, &[], &["core"]));
        decider.propose(1, to).expect("on the newest");
        loop {
            let has = told(&decider, &["s0", "s1"]);
            if let Some(waits) = decider.waits(&has) {
                return Some(waits);
            }
            decider.advance(1, &has)?;
        }
    };
    // Not its worker, and not below its share: that goes through.
    assert_eq!(reach(document(15.0, &[("other", Standing::Cordoned)], &["core"])), None);
    let quota = Contradiction::Quota("a".to_owned());
    assert_eq!(reach(document(14.9, &[], &["core"])), Some(Waits::CutOff("s2".to_owned(), quota)));
    let worker = Contradiction::Pinned("core".to_owned());
    let cordon = document(30.0, &[("core", Standing::Cordoned)], &[]);
    assert_eq!(reach(cordon.clone()), Some(Waits::CutOff("s2".to_owned(), worker)));
    let moved = Document { list: 7, ..document(30.0, &[], &["core"]) };
    assert_eq!(reach(moved), Some(Waits::CutOff("s2".to_owned(), Contradiction::Placed)));
    // Once the operator has made sure that it is down, its seat is taken and the change goes on.
    let mut decider = table(document(30.0, &[], &["core"]));
    decider.propose(1, cordon).expect("on the newest");
    decider.leave("s2");
    while decider.coming() > 0 {
        let has = told(&decider, &["s0", "s1"]);
        decider.advance(1, &has).expect("nothing to wait for");
    }
    assert!(decider.in_force().1.uses.contains_key("core"));
}

#[test]
fn seats_are_no_more_than_parts_and_fewer_only_when_enough_have_left() {
    let mut decider = table(document(30.0, &[], &[]));
    assert_eq!(decider.sit("s3"), Err(Refused::Full));
    assert_eq!(decider.sit("s0"), Ok(()), "it has its seat");
    decider.propose(1, Document { schedulers: 2, ..document(30.0, &[], &[]) }).expect("on the newest");
    let has = told(&decider, &["s0", "s1", "s2"]);
    assert_eq!(decider.waits(&has), Some(Waits::Seats));
    decider.leave("s2");
    assert_eq!(decider.sit("s3"), Err(Refused::Full), "one that comes meanwhile holds up the others");
    finish(&mut decider);
    assert_eq!((decider.in_force().1.seats, decider.in_force().1.parts), (2, 2));
    assert_eq!(decider.in_force().1.part("a"), 15.0);
}

#[test]
fn who_finds_no_seat_is_told_so_without_a_change() {
    let mut decider = Decider::new(Document { schedulers: 1, ..Document::default() });
    assert_eq!(decider.may_sit("a"), Ok(true));
    decider.sit("a").expect("a seat");
    assert_eq!(decider.may_sit("a"), Ok(false));
    let before = decider.clone();
    assert_eq!((decider.may_sit("b"), decider.sit("b")), (Err(Refused::Full), Err(Refused::Full)));
    assert_eq!(decider, before);
}
