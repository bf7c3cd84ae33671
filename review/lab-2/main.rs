//! The tests of the second review: one word names the case, and the exit status is its verdict.

mod memory;
mod no_probes;
mod one_slot;
mod quiet_drain;
mod results;
mod stand;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let settings = stand::Run::from_environment();
    let held = match case.as_str() {
        "quiet_drain" => quiet_drain::run(&settings),
        "memory" => memory::run(&settings),
        "no_probes" => no_probes::run(&settings),
        "one_slot" => one_slot::run(&settings),
        "results" => results::run(&settings),
        _ => stand::cannot_run("no such case"),
    };
    settings.record.save(&settings.record_file);
    println!("{}", if held { "the rule held" } else { "the rule was broken" });
    std::process::exit(if held { 0 } else { 1 });
}
