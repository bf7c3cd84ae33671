//! The real calls, made by their numbers: through the C library they would come back here.

use std::ffi::{c_int, c_long};
use std::sync::atomic::{AtomicU64, Ordering};

use crate::plan::{nth_random, to_unit_interval};

/// Sets the calling thread's error and gives the result that goes with it.
pub fn fail(errno: c_int) -> c_long {
    // SAFETY: the C library gives the address of the calling thread's own error number.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// A system call with up to four arguments.
///
/// # Safety
///
/// The arguments must be sound for the call of that number.
pub unsafe fn call(number: c_long, a: c_long, b: c_long, c: c_long, d: c_long) -> c_long {
    // SAFETY: as the caller says.
    unsafe { libc::syscall(number, a, b, c, d) }
}

/// Writes a text to standard error.
pub fn say(text: &str) {
    // SAFETY: the pointer and length are those of a slice.
    unsafe { call(libc::SYS_write, 2, text.as_ptr() as c_long, text.len() as c_long, 0) };
}

/// Ends the process.
pub fn exit(status: c_int) -> ! {
    // SAFETY: this call takes no pointers, and does not return.
    unsafe { libc::_exit(status) }
}

/// Kills the process as SIGKILL does.
pub fn kill_self() -> ! {
    // SAFETY: neither call takes pointers.
    unsafe {
        call(libc::SYS_kill, c_long::from(libc::getpid()), c_long::from(libc::SIGKILL), 0, 0);
        libc::_exit(137)
    }
}

/// Holds the calling thread up for so long (ms).
pub fn hold(ms: u64) {
    let time = libc::timespec { tv_sec: (ms / 1_000) as i64, tv_nsec: (ms % 1_000 * 1_000_000) as i64 };
    // SAFETY: the pointer is that of a live value of the right type.
    unsafe { call(libc::SYS_nanosleep, &raw const time as c_long, 0, 0, 0) };
}

/// A clock's time (ns).
pub fn clock_ns(clock: libc::clockid_t) -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is that of a live value of the right type.
    unsafe { call(libc::SYS_clock_gettime, clock.into(), &raw mut time as c_long, 0, 0) };
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Time (ms) since the first call of this.
pub fn since_ms() -> u64 {
    static FIRST: AtomicU64 = AtomicU64::new(0);
    let now = clock_ns(libc::CLOCK_MONOTONIC).max(1);
    let first = FIRST.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    now.saturating_sub(first.err().unwrap_or(now)) / 1_000_000
}

/// The next drawn number.
pub fn drawn() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    nth_random(crate::plan().seed, COUNT.fetch_add(1, Ordering::Relaxed))
}

/// Draws whether a call fails that does so in this part of the cases, now.
pub fn fails(part: f64) -> bool {
    let plan = crate::plan();
    part > 0.0
        && plan.is_active_at(since_ms())
        && exists(plan.condition_file.as_deref())
        && to_unit_interval(drawn()) < part
}

/// Whether a file exists; one that is not named counts as there.
fn exists(path: Option<&str>) -> bool {
    let Some(path) = path else { return true };
    let Ok(path) = std::ffi::CString::new(path) else { return false };
    // SAFETY: the pointer is that of a live string with its end.
    let found = unsafe { call(libc::SYS_faccessat, libc::AT_FDCWD.into(), path.as_ptr() as c_long, 0, 0) };
    found == 0
}
