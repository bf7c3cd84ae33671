//! nickelflow-simulator-adapter: runs one nickelflow `Dispatcher` per instance on the bench's wire. It translates, and
//! decides nothing.
// Left over: not yet documented and split (see DEVELOPERS.md, "Lints").
#![allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines, clippy::type_complexity)]

mod instance;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use instance::Instance;

/// Answers one line of input. An `Err` says what is wrong with the line.
fn answer(line: &[u8], instances: &mut BTreeMap<u64, Instance>, out: &mut impl Write) -> Result<(), String> {
    let batch: wire::Batch = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    let mut touched = Vec::with_capacity(batch.groups.len());
    for group in batch.groups {
        let instance = instances.entry(group.dispatcher).or_default();
        instance.take(batch.t_ns, group.inbox)?;
        touched.push(group.dispatcher);
    }
    touched.dedup();
    let mut groups = Vec::with_capacity(touched.len());
    for dispatcher in &touched {
        let steps = instances[dispatcher].steps();
        if !steps.is_empty() {
            groups.push(wire::Outbox { dispatcher: *dispatcher, steps });
        }
    }
    let reply = wire::Reply { batch: batch.batch, groups };
    serde_json::to_writer(&mut *out, &reply).map_err(|e| e.to_string())?;
    out.write_all(b"\n").and_then(|()| out.flush()).map_err(|e| e.to_string())?;
    for dispatcher in &touched {
        if let Some(instance) = instances.get_mut(dispatcher) {
            instance.sent();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic of the module goes out as the wire's own action; nothing else may be printed.
    std::panic::set_hook(Box::new(|info| eprintln!("nickelflow-simulator-adapter: {info}")));
    let mut input = io::stdin().lock();
    let mut out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut instances = BTreeMap::new();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(e) => {
                eprintln!("nickelflow-simulator-adapter: line {number}: {e}");
                return ExitCode::FAILURE;
            }
        }
        if let Err(what) = answer(&line, &mut instances, &mut out) {
            eprintln!("nickelflow-simulator-adapter: line {number}: {what}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
