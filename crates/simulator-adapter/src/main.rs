//! nickelflow-simulator-adapter: runs one nickelflow `Dispatcher` per instance on the wire protocol of an
//! external simulator. The adapter only translates messages; it makes no scheduling decisions.
// Left over: not yet documented and split (see DEVELOPERS.md, "Lints").
#![allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines, clippy::type_complexity)]

mod instance;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use instance::Instance;

/// Processes one line of input and writes the reply. Returns a description of the error if the line is
/// invalid or the reply cannot be written.
fn process_line(
    line: &[u8],
    instances: &mut BTreeMap<u64, Instance>,
    out: &mut impl Write,
) -> Result<(), String> {
    let batch: wire::Batch = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    let mut dispatchers = Vec::with_capacity(batch.groups.len());
    for group in batch.groups {
        let instance = instances.entry(group.dispatcher).or_default();
        instance.process_events(batch.t_ns, group.inbox)?;
        dispatchers.push(group.dispatcher);
    }
    dispatchers.dedup();
    let mut groups = Vec::with_capacity(dispatchers.len());
    for dispatcher in &dispatchers {
        let steps = instances[dispatcher].steps();
        if !steps.is_empty() {
            groups.push(wire::InstanceSteps { dispatcher: *dispatcher, steps });
        }
    }
    let reply = wire::Reply { batch: batch.batch, groups };
    serde_json::to_writer(&mut *out, &reply).map_err(|e| e.to_string())?;
    out.write_all(b"\n").and_then(|()| out.flush()).map_err(|e| e.to_string())?;
    for dispatcher in &dispatchers {
        if let Some(instance) = instances.get_mut(dispatcher) {
            instance.clear_outputs();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic of the dispatcher is reported in the reply as a `GiveIn` step. Nothing else
    // may be printed to stdout.
    std::panic::set_hook(Box::new(|info| eprintln!("nickelflow-simulator-adapter: {info}")));
    let mut input = io::stdin().lock();
    let mut out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut instances = BTreeMap::new();
    let mut line = Vec::new();
    for line_number in 1u64.. {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(e) => {
                eprintln!("nickelflow-simulator-adapter: line {line_number}: {e}");
                return ExitCode::FAILURE;
            }
        }
        if let Err(reason) = process_line(&line, &mut instances, &mut out) {
            eprintln!("nickelflow-simulator-adapter: line {line_number}: {reason}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
