//! Scenario files: those of the repository are sound, absurd ones are refused with their place, and what the nemesis
//! draws can be read again and is the same for a seed.

use std::path::{Path, PathBuf};

use nickelflow_chaos::nemesis::draw;
use nickelflow_chaos::scenario::{Drill, Event, What};
use rstest::rstest;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../chaos/scenarios")
}

fn nemesis() -> Drill {
    Drill::load(&folder().join("nemesis.toml")).expect("a sound drill")
}

#[rstest]
fn drills_of_the_repository_are_sound(#[files("../../chaos/scenarios/*.toml")] file: PathBuf) {
    Drill::load(&file).map(drop).expect("a sound drill");
}

#[rstest]
#[case::unknown_party("to = \"rack 1\"", "to = \"shelf 1\"", "shelf 1")]
#[case::no_such_scheduler("from = \"scheduler 0\"", "from = \"scheduler 7\"", "there is no scheduler 7")]
#[case::unknown_field("way = \"both\"", "way = \"both\", wya = 1", "wya")]
#[case::absurd_time("for_s = 2.0", "for_s = -1.0", "-1")]
#[case::too_many("schedulers = 5.0", "schedulers = 61.0", "over 60")]
#[case::faults_of_the_laboratory(
    "traffic = { load = 0.3 }",
    "traffic = { load = 0.3 }\nfaults = [{ at_s = 1.0, for_s = 1.0, part = 0.5, what = \"hang\" }]",
    "world.faults"
)]
fn what_cannot_be_is_refused_with_its_place(#[case] old: &str, #[case] new: &str, #[case] why: &str) {
    let text = std::fs::read_to_string(folder().join("links.toml")).expect("a drill");
    assert!(text.contains(old), "the drill has no {old:?}");
    let refused = Drill::parse(&text.replacen(old, new, 1)).map(drop).expect_err("it cannot be");
    assert!(refused.contains(why), "{refused}");
}

#[test]
fn what_the_nemesis_draws_is_the_same_for_a_seed_and_can_be_played_again() {
    #[derive(serde::Serialize, serde::Deserialize, PartialEq, Debug)]
    struct Events {
        events: Vec<Event>,
    }
    let mut drill = nemesis();
    drill.world.duration_s = nickelflow_simulator::scenario::Bounded(600.0);
    let drawn = Events { events: draw(&drill, 7, 1.0) };
    assert_eq!(draw(&drill, 7, 1.0), drawn.events);
    assert_ne!(draw(&drill, 8, 1.0), drawn.events);
    let text = toml::to_string(&drawn).expect("as TOML");
    assert_eq!(toml::from_str::<Events>(&text).expect("read again"), drawn);
    // Ten minutes hold every kind, and none outside its bounds.
    let mut names: Vec<&str> = drawn.events.iter().map(|event| event.what.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), 15, "{names:?}");
    for Event { at_s, for_s, what } in &drawn.events {
        assert!(at_s.0 + for_s.0 <= 598.0 && (0.5..=5.0).contains(&for_s.0));
        if let What::Kill { schedulers } | What::Stop { schedulers } = what {
            assert!(schedulers.len() as u32 <= drill.schedulers() / 3);
        }
    }
}
