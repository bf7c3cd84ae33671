//! The wall clock, stepped; the monotonic one runs on.

use std::ffi::{c_int, c_long};

use crate::real;

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    // SAFETY: the caller's pointer goes to the kernel as it came.
    let result = unsafe { real::call(libc::SYS_clock_gettime, clock.into(), time as c_long, 0, 0) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset = crate::plan().wall_clock_offset_s(real::since_ms());
        // SAFETY: the kernel has just written there.
        unsafe { (*time).tv_sec = ((*time).tv_sec + offset).max(0) };
    }
    result as c_int
}
