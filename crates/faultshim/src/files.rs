//! Replacements for the C library's functions that write and sync files.

use std::ffi::{c_int, c_long, c_void};
use std::sync::atomic::{AtomicU64, Ordering};

use crate::plan::CallKind;
use crate::syscalls;

/// Returns the error number if the call is to fail.
fn choose_failure(call: CallKind) -> Option<c_int> {
    let plan = crate::plan();
    let fails = syscalls::should_fail(plan.file_failure_rate);
    plan.choose_error(call, syscalls::next_random()).filter(|_| fails).map(|errno| errno.number())
}

/// Counts a write of a file, and returns whether it is the one during which the process is to be killed.
fn is_torn_write() -> bool {
    static WRITES: AtomicU64 = AtomicU64::new(0);
    crate::plan().torn_write.is_some_and(|nth| WRITES.fetch_add(1, Ordering::Relaxed) + 1 == nth)
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, length: usize, offset: i64) -> isize {
    let write = |length: usize| {
        // SAFETY: the caller's pointer is passed to the kernel unchanged, with its length or less.
        unsafe {
            syscalls::invoke(libc::SYS_pwrite64, fd.into(), bytes as c_long, length as c_long, offset)
                as isize
        }
    };
    if is_torn_write() {
        write(length / 2);
        syscalls::kill_self();
    }
    match choose_failure(CallKind::FileWrite) {
        Some(errno) => syscalls::fail_with(errno) as isize,
        None => write(length),
    }
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn pwrite(fd: c_int, bytes: *const c_void, length: usize, offset: i64) -> isize {
    // SAFETY: the caller guarantees the same conditions.
    unsafe { pwrite64(fd, bytes, length, offset) }
}

fn sync_file(syscall_number: c_long, fd: c_int) -> c_int {
    match choose_failure(CallKind::FileSync) {
        Some(errno) => syscalls::fail_with(errno) as c_int,
        // SAFETY: this call takes no pointers.
        None => unsafe { syscalls::invoke(syscall_number, fd.into(), 0, 0, 0) as c_int },
    }
}

#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    sync_file(libc::SYS_fsync, fd)
}

#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync_file(libc::SYS_fdatasync, fd)
}
