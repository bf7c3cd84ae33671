//! The program as its users meet it: words in, figures, files and exit statuses out.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(words: &[&str]) -> Output {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    Command::new(env!("CARGO_BIN_EXE_nickelflow-simulator"))
        .current_dir(root)
        .args(words)
        .output()
        .expect("it starts")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// A folder of this test's own.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("nickelflow-simulator-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn text(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn results_go_to_json_csv_and_a_page_and_the_page_can_be_made_again() {
    let folder = folder("results");
    let file = |name: &str| folder.join(name).display().to_string();
    let (json, csv, page, again) = (file("a.json"), file("a.csv"), file("a.html"), file("b.html"));
    let words = [
        "run",
        "simulator/scenarios/hang.toml",
        "--seeds",
        "2",
        "--policy",
        "nickelflow",
        "--policy",
        "random",
    ];
    let output = lab(&[&words[..], &["--json", &json, "--csv", &csv, "--html", &page]].concat());
    assert!(output.status.success(), "{}", said(&output));
    assert_eq!(text(Path::new(&csv)).lines().count(), 1 + 2 * 2);
    let whole = text(Path::new(&page));
    assert_eq!(whole.matches("<svg").count(), 7, "seven plots");
    assert!(!whole.contains("src=") && !whole.contains("href="), "it needs nothing beside itself");
    assert!(whole.contains("hang 6.0 to 14.0 s"));
    assert!(lab(&["report", &json, "-o", &again]).status.success());
    assert_eq!(whole, text(Path::new(&again)), "the document holds all that the page shows");
    let both = lab(&["report", &json, &csv, "-o", &again]);
    assert!(!both.status.success() && said(&both).contains("a.csv"), "{}", said(&both));
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_comparison_s_exit_status_tells_better_worse_and_undecided() {
    let status = |a: &str, b: &str| {
        let words = ["compare", a, b, "--scenario", "simulator/scenarios/calm.toml", "--seeds", "5"];
        lab(&words).status.code()
    };
    assert_eq!(status("random", "oracle"), Some(0));
    assert_eq!(status("oracle", "random"), Some(3));
    assert_eq!(status("oracle", "oracle"), Some(4));
    assert_eq!(status("oracle", "prophet"), Some(1));
}

#[test]
fn a_sweep_changes_the_figure_and_refuses_one_that_is_not_there() {
    let sweep = |set: &str| lab(&["sweep", "simulator/scenarios/plain.toml", "--seeds", "1", "--set", set]);
    let output = sweep("traffic.load=0.3..0.9:0.6");
    let told = said(&output);
    assert!(output.status.success(), "{told}");
    assert!(
        told.contains("traffic.load=0.3000 plain") && told.contains("traffic.load=0.9000 plain"),
        "{told}"
    );
    for (wrong, names) in [
        ("traffic.laod=1..2:1", "laod"),
        ("traffic.load=2..1:1", "FROM..TO"),
        ("pools.7.count=1..2:1", "pools.7"),
    ] {
        let output = sweep(wrong);
        assert!(!output.status.success() && said(&output).contains(names), "{}", said(&output));
    }
}

#[test]
fn a_trace_tells_one_request_s_life() {
    let told = said(&lab(&["trace", "simulator/scenarios/calm.toml", "100"]));
    let order =
        ["asked of scheduler", "attempt 0 sent to worker", "starts on worker", "final answer written"];
    let places: Vec<Option<usize>> = order.iter().map(|what| told.find(what)).collect();
    assert!(places.iter().all(Option::is_some) && places.is_sorted(), "{told}");
    assert!(!lab(&["trace", "simulator/scenarios/calm.toml", "99999999"]).status.success());
}

#[test]
fn check_names_file_line_and_field() {
    let folder = folder("check");
    let sound = text(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../simulator/scenarios/calm.toml"));
    let broken = folder.join("broken.toml");
    std::fs::write(&broken, sound.replace("queue = 30.0", "queue = -3.0")).expect("a file");
    let output = lab(&["check", "simulator/scenarios/calm.toml", &broken.display().to_string()]);
    let told = said(&output);
    let line = sound.lines().position(|line| line.starts_with("queue")).expect("the line") + 1;
    assert_eq!(output.status.code(), Some(1));
    assert!(told.contains("calm.toml: sound"), "{told}");
    for part in ["broken.toml", "queue", &format!("line {line}"), "-3"] {
        assert!(told.contains(part), "{part} in {told}");
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_trace_of_recorded_arrivals_is_replayed_and_a_broken_one_refused() {
    let folder = folder("replay");
    let (rows, scenario) = (folder.join("rows.csv"), folder.join("replay.toml"));
    let sound = text(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../simulator/scenarios/calm.toml"));
    let shape = format!("shape = {{ replay = {{ file = {:?} }} }}", rows.display().to_string());
    std::fs::write(&scenario, sound.replace("load = 0.5", &shape).replace("warmup_s = 4.0", ""))
        .expect("a file");
    // 300 requests within 10 ms, and one after them.
    let burst: String =
        (0..300).map(|n| format!("{:.6},50,{},k{n}\n", 2.0 + f64::from(n) / 30_000.0, n % 6)).collect();
    std::fs::write(&rows, burst + "5.5,80,1,\n").expect("a file");
    let json = folder.join("r.json").display().to_string();
    let words = ["run", &scenario.display().to_string(), "--seeds", "1", "--json", &json];
    let output = lab(&words);
    assert!(output.status.success(), "{}", said(&output));
    assert!(text(Path::new(&json)).contains("\"requests\":301"));
    std::fs::write(&rows, "2.0,50,1,k\n1.0,50,1,k\n").expect("a file");
    let output = lab(&words);
    assert!(!output.status.success() && said(&output).contains("rows.csv:2"), "{}", said(&output));
    let _ = std::fs::remove_dir_all(folder);
}
