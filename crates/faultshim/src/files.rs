//! Writes and syncs of files.

use std::ffi::{c_int, c_long, c_void};
use std::sync::atomic::{AtomicU64, Ordering};

use crate::plan::CallKind;
use crate::real;

fn failure(call: CallKind) -> Option<c_int> {
    let plan = crate::plan();
    let fails = real::fails(plan.file_failure_rate);
    plan.choose_error(call, real::drawn()).filter(|_| fails).map(|errno| errno.number())
}

/// Whether this write of a file is the one at which the process is to be killed.
fn tears() -> bool {
    static WRITES: AtomicU64 = AtomicU64::new(0);
    crate::plan().torn_write.is_some_and(|nth| WRITES.fetch_add(1, Ordering::Relaxed) + 1 == nth)
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, length: usize, at: i64) -> isize {
    let write = |length: usize| {
        // SAFETY: the caller's pointer goes to the kernel as it came, with its length or less.
        unsafe { real::call(libc::SYS_pwrite64, fd.into(), bytes as c_long, length as c_long, at) as isize }
    };
    if tears() {
        write(length / 2);
        real::kill_self();
    }
    match failure(CallKind::FileWrite) {
        Some(errno) => real::fail(errno) as isize,
        None => write(length),
    }
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn pwrite(fd: c_int, bytes: *const c_void, length: usize, at: i64) -> isize {
    // SAFETY: as the caller says.
    unsafe { pwrite64(fd, bytes, length, at) }
}

fn sync(number: c_long, fd: c_int) -> c_int {
    match failure(CallKind::FileSync) {
        Some(errno) => real::fail(errno) as c_int,
        // SAFETY: this call takes no pointers.
        None => unsafe { real::call(number, fd.into(), 0, 0, 0) as c_int },
    }
}

#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    sync(libc::SYS_fsync, fd)
}

#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync(libc::SYS_fdatasync, fd)
}
