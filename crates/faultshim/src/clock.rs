//! Replacement for `clock_gettime`: shifts the wall clock by the plan's offset and steps, and leaves the
//! other clocks unchanged.

use std::ffi::{c_int, c_long};

use crate::syscalls;

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    // SAFETY: the caller's pointer is passed to the kernel unchanged.
    let result = unsafe { syscalls::invoke(libc::SYS_clock_gettime, clock.into(), time as c_long, 0, 0) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_s = crate::plan().wall_clock_offset_s(syscalls::elapsed_ms());
        // SAFETY: the kernel has just written to this address.
        unsafe { (*time).tv_sec = ((*time).tv_sec + offset_s).max(0) };
    }
    result as c_int
}
