//! The unmodified system calls, made by number: the C library's functions of these names would call this
//! library again.

use std::ffi::{c_int, c_long};
use std::sync::atomic::{AtomicU64, Ordering};

use crate::plan::{nth_random, to_unit_interval};

/// Sets `errno` of the calling thread and returns -1, the result of a failed call.
pub fn fail_with(errno: c_int) -> c_long {
    // SAFETY: the C library returns the address of the calling thread's own `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Makes a system call with up to four arguments.
///
/// # Safety
///
/// The arguments must be valid for the system call of this number.
pub unsafe fn invoke(number: c_long, a: c_long, b: c_long, c: c_long, d: c_long) -> c_long {
    // SAFETY: the caller guarantees that the arguments are valid.
    unsafe { libc::syscall(number, a, b, c, d) }
}

/// Writes text to standard error.
pub fn write_stderr(text: &str) {
    // SAFETY: the pointer and the length come from the same slice.
    unsafe { invoke(libc::SYS_write, 2, text.as_ptr() as c_long, text.len() as c_long, 0) };
}

/// Ends the process.
pub fn exit(status: c_int) -> ! {
    // SAFETY: this call takes no pointers and does not return.
    unsafe { libc::_exit(status) }
}

/// Kills the process as SIGKILL does.
pub fn kill_self() -> ! {
    // SAFETY: neither call takes pointers.
    unsafe {
        invoke(libc::SYS_kill, c_long::from(libc::getpid()), c_long::from(libc::SIGKILL), 0, 0);
        libc::_exit(137)
    }
}

/// Suspends the calling thread for this time (ms).
pub fn sleep_ms(ms: u64) {
    let time = libc::timespec { tv_sec: (ms / 1_000) as i64, tv_nsec: (ms % 1_000 * 1_000_000) as i64 };
    // SAFETY: the pointer refers to a live value of the expected type.
    unsafe { invoke(libc::SYS_nanosleep, &raw const time as c_long, 0, 0, 0) };
}

/// Returns the time of a clock (ns).
pub fn clock_time_ns(clock: libc::clockid_t) -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer refers to a live value of the expected type.
    unsafe { invoke(libc::SYS_clock_gettime, clock.into(), &raw mut time as c_long, 0, 0) };
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Returns the time since the first call of this function (ms).
pub fn elapsed_ms() -> u64 {
    static FIRST_CALL: AtomicU64 = AtomicU64::new(0);
    let now = clock_time_ns(libc::CLOCK_MONOTONIC).max(1);
    let first = FIRST_CALL.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    now.saturating_sub(first.err().unwrap_or(now)) / 1_000_000
}

/// Returns the next random number of the plan's seed.
pub fn next_random() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    nth_random(crate::plan().seed, COUNT.fetch_add(1, Ordering::Relaxed))
}

/// Returns whether a call fails now, decided at random with the probability `rate`. No call fails outside the
/// plan's period or while its condition file is missing.
pub fn should_fail(rate: f64) -> bool {
    let plan = crate::plan();
    rate > 0.0
        && plan.is_active_at(elapsed_ms())
        && file_exists(plan.condition_file.as_deref())
        && to_unit_interval(next_random()) < rate
}

/// Returns whether a file exists; no path counts as an existing file.
fn file_exists(path: Option<&str>) -> bool {
    let Some(path) = path else { return true };
    let Ok(path) = std::ffi::CString::new(path) else { return false };
    // SAFETY: the pointer refers to a live, null-terminated string.
    let found = unsafe { invoke(libc::SYS_faccessat, libc::AT_FDCWD.into(), path.as_ptr() as c_long, 0, 0) };
    found == 0
}
