//! The lines of a drill's record as JSON, one of each kind of entry, compared with a recorded file.

use nickelflow_chaos::record::{Entry, Life, Party, Record, Standing};

const RECORDED: &str = include_str!("data/record.jsonl");

fn id() -> String {
    "9b1f".to_owned()
}

/// One of each kind, and of each value that an entry names.
fn every_kind() -> Vec<Record> {
    let link = |from, to, fault: Option<&str>| Record::Link { from, to, fault: fault.map(str::to_owned) };
    let told = |worker, standing| Record::Told { scheduler: 1, worker, standing };
    let process = |life| Record::Process { scheduler: 1, life };
    vec![
        Record::Asked { id: id(), scheduler: 1, class: 2, tenant: Some("emmental".to_owned()), deadline: 7 },
        Record::Answered { id: id(), status: 200, result: Some("r".to_owned()) },
        Record::Broken { id: id(), crossed: true },
        Record::Left { id: id() },
        Record::Forgotten { id: id() },
        Record::Stayed { scheduler: 1, since: 5, waited: 6, answered: true },
        Record::Uses { scheduler: 1, peak_kib: 2048, descriptors: 40 },
        Record::Violation { scheduler: 1, line: "a line".to_owned() },
        Record::Unasked { scheduler: 1 },
        Record::Reached {
            id: id(),
            run: 3,
            scheduler: 1,
            worker: 2,
            taken: true,
            work: 1.5,
            version: Some("1.2".to_owned()),
            timeout: Some(9),
        },
        Record::Started { run: 3 },
        Record::Finished { run: 3, result: "r".to_owned() },
        Record::HandedBack { run: 3 },
        Record::Dropped { run: 3 },
        Record::Up { worker: 2 },
        Record::Fell { worker: 2 },
        told(2, Standing::Ready),
        told(3, Standing::Draining),
        told(4, Standing::Gone),
        process(Life::Ready),
        process(Life::Killed),
        process(Life::Stopped),
        process(Life::Continued),
        process(Life::ToldToEnd),
        process(Life::Ended(Some(1))),
        link(Party::Clients, Party::Scheduler(1), Some("cut")),
        link(Party::Worker(2), Party::Discovery, None),
        Record::Proposing,
        Record::Proposed { number: 4, document: "list = 1".to_owned() },
        Record::InForce { number: 4, version: "1.2".to_owned() },
        Record::Fault { number: 5, name: "kill".to_owned(), begins: true },
    ]
}

fn entries() -> Vec<Entry> {
    (10..).zip(every_kind()).map(|(at, what)| Entry { at, what }).collect()
}

#[test]
fn written_entries_equal_the_recorded_lines() {
    let written: Vec<String> =
        entries().iter().map(|entry| serde_json::to_string(entry).expect("as JSON")).collect();
    assert_eq!(written, RECORDED.lines().collect::<Vec<_>>(), "now:\n{}", written.join("\n"));
}

#[test]
fn the_recorded_lines_read_back_to_the_same_entries() {
    let read: Vec<Entry> =
        RECORDED.lines().map(|line| serde_json::from_str(line).expect("an entry")).collect();
    assert_eq!(read, entries());
}
