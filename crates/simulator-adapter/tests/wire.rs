//! Runs the adapter as the external simulator does and checks its output lines, error messages and exit codes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

/// Runs the adapter with the given input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nickelflow-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all input, so a failed write is ignored. The tests check the
    // adapter's output and exit code instead.
    let _ = child.stdin.take().expect("stdin").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// Returns the settings of an instance, with fields that the adapter does not know.
fn environment() -> Value {
    json!({
        "az": 0, "balancers": 2, "unheard_of": {"x": [1]}, "membership_mode": "on_request",
        "caps": {"cancel": true, "max_retry_after_ns": 2_000_000_000u64, "most_tries": 3, "parallel_tries": true,
                 "probing": true, "peer_messages": null},
        "classes": [{"deadline_ns": 5_000_000_000u64, "effect": "side_effect", "group": "all", "importance": 1.0,
                     "late_value": 0.0, "name": "c", "on_time_ns": 100_000_000, "stream": false,
                     "window_ns": 5_000_000_000u64}],
        "contract": {"answer_slack_ns": 20_000_000, "cold_from": 0.2, "cold_ns": 8_000_000_000u64,
                     "fall_multiple": 3.0, "fall_ns": 1_000_000_000, "must_ask_in_ns": 10_000_000_000u64},
        "customers": null, "load_report": {"fields": ["x0", "q"], "how": "pull"}, "resolution_ns": 1_000_000,
        "specifics": {"class_kind": [-1], "class_stretch": [2.0], "progress_ns": 1_000_000_000,
                      "tells_start": true}
    })
}

/// Returns one input line.
fn batch(number: u64, time_ns: u64, groups: &[(u64, Vec<Value>)]) -> String {
    let groups: Vec<Value> =
        groups.iter().map(|(d, inbox)| json!({"dispatcher": d, "inbox": inbox})).collect();
    json!({"t_ns": time_ns, "batch": number, "groups": groups}).to_string() + "\n"
}

/// Returns the events that start an instance with one ready worker in its cached endpoint list.
fn boot_events() -> Vec<Value> {
    let node = json!({"runner": "10.0.0.1:80", "hall": 0, "flavor": 0, "block": 0, "state": "ready",
                      "nominal": 1, "born_ns": null, "later": 1});
    vec![
        json!({"event_type": "boot", "random_seed": 5, "env": environment()}),
        json!({"event_type": "directory_update", "kind": "SAVED", "seq_no": 1, "nodes_list": [node]}),
    ]
}

/// Returns the arrival of a job.
fn ingress_event(id: &str) -> Value {
    json!({"event_type": "ingress", "id": id, "service": 0, "mem": null, "left_ns": 5_000_000_000u64,
           "write": false, "returned": false, "work_hint_ns": null, "cores_needed": 1, "owner": null,
           "retry": false, "item": null, "new_field": "skipped"})
}

/// Returns the steps of each reply, by instance.
fn parse_replies(output: &Output) -> Vec<Vec<(u64, Vec<Value>)>> {
    let text = String::from_utf8(output.stdout.clone()).expect("UTF-8");
    let mut all = vec![];
    for line in text.lines() {
        let reply: Value = serde_json::from_str(line).expect("JSON");
        let groups = reply["groups"].as_array().expect("groups").iter();
        let groups = groups.map(|g| {
            (g["dispatcher"].as_u64().expect("number"), g["steps"].as_array().expect("steps").clone())
        });
        all.push(groups.collect());
    }
    all
}

/// Returns input in which each instance probes its worker and serves one job.
fn scenario_input(instances: &[u64]) -> String {
    let for_each_instance = |events: Vec<Value>| -> Vec<(u64, Vec<Value>)> {
        instances.iter().map(|i| (*i, events.clone())).collect()
    };
    let sampled = json!({"event_type": "sampled", "runner": "10.0.0.1:80", "code": "pass",
                         "latency_ns": 1, "health_info": {"x0": 3, "q": null, "other": "text"}});
    let resolved = json!({"event_type": "resolved", "id": "a", "finished": true, "code": "pass",
                          "latency_ns": 9, "info": null, "runner": "10.0.0.1:80", "seq_no": 0,
                          "health_info": null});
    let mut text = batch(1, 1_000_000_000, &for_each_instance(boot_events()));
    text += &batch(2, 1_100_000_000, &for_each_instance(vec![json!({"event_type": "timer", "key_back": 0})]));
    text += &batch(3, 1_101_000_000, &for_each_instance(vec![sampled, ingress_event("a")]));
    text += &batch(4, 1_200_000_000, &for_each_instance(vec![resolved, json!({"event_type": "invented"})]));
    text
}

#[test]
fn routes_a_request_to_a_probed_worker_and_exits_successfully_at_end_of_input() {
    let output = run_adapter(&scenario_input(&[0]));
    assert!(output.status.success());
    let replies = parse_replies(&output);
    assert_eq!(replies.len(), 4);
    let steps = |n: usize| &replies[n][0].1;
    assert!(steps(0).contains(&json!({"event_type": "follow", "active": true})));
    assert!(steps(1).contains(&json!({"event_type": "inspect", "runner": "10.0.0.1:80"})));
    let route =
        json!({"event_type": "route", "id": "a", "runner": "10.0.0.1:80", "max_wait_ns": 5_000_000_000u64});
    assert!(steps(2).contains(&route), "{:?}", steps(2));
}

#[test]
fn replies_to_an_empty_batch_and_to_the_stop_of_an_instance() {
    let stop = vec![json!({"event_type": "stop"})];
    let text = batch(7, 1, &[]) + &batch(8, 2, &[(3, boot_events())]) + &batch(9, 3, &[(3, stop)]);
    let output = run_adapter(&text);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("{\"batch\":7,\"groups\":[]}\n"));
    assert!(parse_replies(&output)[2].is_empty());
}

#[test]
fn instances_do_not_affect_each_other() {
    let alone = parse_replies(&run_adapter(&scenario_input(&[4])));
    let together = parse_replies(&run_adapter(&scenario_input(&[1, 4, 6])));
    for (alone, together) in alone.iter().zip(&together) {
        let instance_4 = |groups: &[(u64, Vec<Value>)]| groups.iter().find(|(d, _)| *d == 4).cloned();
        assert_eq!(instance_4(alone), instance_4(together));
    }
}

#[test]
fn exits_with_a_one_line_error_message_on_an_invalid_line() {
    let missing_code = batch(1, 5, &[(0, vec![json!({"event_type": "resolved", "id": "a"})])]);
    let without_classes = {
        let mut env = environment();
        env["classes"] = json!([]);
        batch(1, 5, &[(0, vec![json!({"event_type": "boot", "random_seed": 1, "env": env})])])
    };
    let negative_class = batch(
        1,
        5,
        &[(
            0,
            vec![json!({"event_type": "ingress", "id": "a", "service": -1,
                                                 "left_ns": 5})],
        )],
    );
    for (invalid_line, expected_text) in [
        ("not json\n", "expected"),
        ("{\"t_ns\":1,\"groups\":[]}\n", "batch"),
        (&missing_code, "code"),
        (&without_classes, "classes"),
        (&negative_class, "-1"),
    ] {
        let output = run_adapter(&(batch(0, 1, &[]) + invalid_line));
        assert!(!output.status.success(), "{invalid_line}");
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(
            message.contains("line 2") && message.contains(expected_text) && !message.contains("panicked"),
            "{message}"
        );
        assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 1);
    }
}
