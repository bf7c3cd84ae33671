//! What several test files need.
#![allow(dead_code)] // Each test file uses a part of it.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The scheduler that the workspace's tests have built, beside the tests; else the release build.
pub fn binary() -> PathBuf {
    let own = std::env::current_exe().expect("this test's own path");
    let beside = own.parent().and_then(Path::parent).map(|folder| folder.join("nickelflow"));
    let release = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/nickelflow");
    let found = beside.into_iter().chain([release]).find(|path| path.exists());
    found.expect("the scheduler is built: cargo build --release, or cargo test --workspace")
}

/// The library that makes system calls fail. Built here, for `cargo test` builds no shared libraries: into a folder of its
/// own, where no stale one of another build lies.
pub fn fault_shim() -> PathBuf {
    static SHIM: std::sync::OnceLock<PathBuf> = std::sync::OnceLock::new();
    let build = || {
        let own = std::env::current_exe().expect("this test's own path");
        let profile = own.parent().and_then(std::path::Path::parent).expect("the folder of the build");
        let target = profile.parent().expect("the target folder").join("faultshim");
        let built = Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--locked", "--package", "nickelflow-faultshim"])
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
            .env("CARGO_TARGET_DIR", &target)
            .status();
        assert!(built.expect("cargo runs").success(), "the fault shim can be built");
        target.join("debug/libnickelflow_faultshim.so")
    };
    SHIM.get_or_init(build).clone()
}
