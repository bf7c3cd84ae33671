//! The file that a scheduler is started with, made from a world.

use std::net::SocketAddr;

use nickelflow_simulator::policy;
use nickelflow_simulator::scenario::{Repeats, Scenario};
use serde_json::{json, Value};

use crate::scenario::zone_name;

/// Descriptors and memory of one scheduler.
pub const SOCKETS: u32 = 1024;
pub const MEMORY_MB: u32 = 192;

/// What one scheduler is told.
pub fn of(
    world: &Scenario,
    zones: u32,
    scheduler: u32,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
) -> Value {
    let settings = policy::settings(world);
    let classes: Vec<Value> = (settings.classes.iter().zip(&world.classes))
        .map(|(class, told)| {
            let (effect, group) = match told.repeats {
                Repeats::Harmless => ("pure", "all"),
                Repeats::Rack => ("token", "cell"),
                Repeats::Never => ("side_effect", "all"),
            };
            json!({"name": told.name, "effect": effect, "group": group, "window_ns": class.deduplication_window,
                "on_time_ns": class.latency_objective, "deadline_ns": class.deadline, "importance": class.priority_weight,
                "late_value": class.late_weight_share})
        })
        .collect();
    let customers: Vec<Value> = (settings.tenants.iter().zip(&world.tenants))
        .map(|(tenant, told)| json!({"name": told.name, "quota_per_s": tenant.quota_per_s}))
        .collect();
    let names: Vec<String> = (0..zones).map(zone_name).collect();
    let stretch: Vec<f64> = settings.classes.iter().map(|class| class.latency_stretch).collect();
    let contract = &settings.limits;
    json!({
        "name": format!("n{scheduler}"),
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"index": 0, "snapshot": true, "endpoints": []},
        "settings": {
            "az": scheduler % zones, "zones": names, "kinds": ["stand-in"],
            "balancers": settings.dispatchers, "resolution_ns": settings.clock_resolution,
            "membership_mode": "on_request", "weights": "nominal",
            "caps": {"cancel": settings.can_cancel, "probing": settings.can_probe,
                "parallel_tries": settings.allows_hedging, "most_tries": settings.max_attempts,
                "conn_idle_ns": (world.network.idle_s.0 * 1e9) as u64,
                "connect_timeout_ns": (world.network.connect_timeout_ms.0 * 1e6) as u64,
                "max_retry_after_ns": settings.max_retry_after},
            "classes": classes, "customers": customers,
            "contract": {"cold_from": contract.slow_start_initial_share, "cold_ns": contract.slow_start_duration,
                "fall_multiple": contract.overload_multiple, "fall_ns": contract.overload_duration,
                "must_ask_in_ns": contract.unsubscribed_list_validity},
            "load_report": {"fields": ["busy", "q", "x0", "x1"], "how": "pull"},
            "specifics": {"class_kind": vec![-1; stretch.len()], "class_stretch": stretch,
                "tells_start": settings.notifies_job_start, "progress_ns": settings.progress_interval},
        },
    })
}
