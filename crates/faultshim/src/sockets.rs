//! Replacements for the C library's functions on sockets and for waits.

use std::ffi::{c_int, c_long, c_void};
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, AtomicU8, Ordering};

use crate::plan::CallKind;
use crate::syscalls;

/// Number of descriptors whose state is recorded; calls on higher descriptors pass unchanged.
const MAX_DESCRIPTORS: usize = 1 << 16;
/// A descriptor on which no socket faults are injected.
const KIND_OTHER: u8 = 0;
/// An internet socket or an accepted connection.
const KIND_STREAM: u8 = 1;
/// A connection that was reported as broken and reset.
const KIND_BROKEN: u8 = 2;

/// The recorded state of one descriptor: its kind and its registration with `epoll`.
struct DescriptorState {
    kind: AtomicU8,
    epoll_fd: AtomicI32,
    events: AtomicU32,
    data: AtomicU64,
}

static DESCRIPTORS: [DescriptorState; MAX_DESCRIPTORS] = [const {
    DescriptorState {
        kind: AtomicU8::new(KIND_OTHER),
        epoll_fd: AtomicI32::new(-1),
        events: AtomicU32::new(0),
        data: AtomicU64::new(0),
    }
}; MAX_DESCRIPTORS];

fn descriptor_state(fd: c_int) -> Option<&'static DescriptorState> {
    DESCRIPTORS.get(usize::try_from(fd).ok()?)
}

fn descriptor_kind(fd: c_int) -> u8 {
    descriptor_state(fd).map_or(KIND_OTHER, |state| state.kind.load(Ordering::Relaxed))
}

/// Sets the kind of a descriptor that was opened or closed, and clears its `epoll` registration.
fn reset_descriptor_state(fd: c_int, kind: u8) {
    if let Some(state) = descriptor_state(fd) {
        state.epoll_fd.store(-1, Ordering::Relaxed);
        state.kind.store(kind, Ordering::Relaxed);
    }
}

/// Raises the `epoll` edge of a descriptor again if it is still ready.
fn raise_epoll_edge(fd: c_int) {
    let Some(state) = descriptor_state(fd) else { return };
    let epoll_fd = state.epoll_fd.load(Ordering::Relaxed);
    let (events, data) = (state.events.load(Ordering::Relaxed), state.data.load(Ordering::Relaxed));
    let mut event = libc::epoll_event { events, u64: data };
    if epoll_fd >= 0 {
        let (operation, event) = (libc::EPOLL_CTL_MOD.into(), &raw mut event as c_long);
        // SAFETY: the pointer refers to a live value of the expected type.
        unsafe { syscalls::invoke(libc::SYS_epoll_ctl, epoll_fd.into(), operation, fd.into(), event) };
    }
}

/// Breaks a connection; its peer gets a reset.
fn reset_connection(fd: c_int) {
    let mut address = libc::sockaddr { sa_family: libc::AF_UNSPEC as u16, sa_data: [0; 14] };
    let length = size_of::<libc::sockaddr>() as c_long;
    // SAFETY: the pointer refers to a live value of this size. An unspecified address disconnects the socket.
    unsafe { syscalls::invoke(libc::SYS_connect, fd.into(), &raw mut address as c_long, length, 0) };
}

/// Returns whether the peer has closed or reset the connection and nothing is left to read.
fn peer_has_disconnected(fd: c_int) -> bool {
    let mut byte = 0u8;
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    // SAFETY: the pointer refers to a live byte.
    let read =
        unsafe { libc::syscall(libc::SYS_recvfrom, fd, &raw mut byte, 1_usize, flags, 0_usize, 0_usize) };
    // SAFETY: the C library returns the address of the calling thread's own `errno`.
    read == 0 || read < 0 && unsafe { *libc::__errno_location() } != libc::EAGAIN
}

/// Returns the error number if the call is to fail, decided at random with the probability `rate`.
fn choose_failure(call: CallKind, rate: f64) -> Option<c_int> {
    let fails = syscalls::should_fail(rate);
    crate::plan().choose_error(call, syscalls::next_random()).filter(|_| fails).map(|errno| errno.number())
}

/// The outcome of a read or write on a socket.
enum TransferOutcome {
    Full,
    /// Transfers at most this number of bytes.
    Short(usize),
    /// Fails with this error number.
    Failed(c_int),
}

/// Chooses the outcome of a read or write, and breaks the connection if the outcome requires it.
fn choose_transfer_outcome(fd: c_int, length: usize) -> TransferOutcome {
    let plan = crate::plan();
    if descriptor_kind(fd) != KIND_STREAM {
        return TransferOutcome::Full;
    }
    if let Some(errno) = choose_failure(CallKind::SocketTransfer, plan.broken_connection_rate) {
        if let Some(state) = descriptor_state(fd) {
            state.kind.store(KIND_BROKEN, Ordering::Relaxed);
        }
        reset_connection(fd);
        return TransferOutcome::Failed(errno);
    }
    if syscalls::should_fail(plan.interrupt_rate) {
        return TransferOutcome::Failed(libc::EINTR);
    }
    if length > 1 && syscalls::should_fail(plan.short_transfer_rate) {
        return TransferOutcome::Short(1 + syscalls::next_random() as usize % (length - 1));
    }
    TransferOutcome::Full
}

/// Performs a read or write with the chosen outcome. `transfer` makes the system call for at most the given
/// number of bytes; `broken_result` is the result on a broken connection.
fn perform_transfer(
    fd: c_int,
    length: usize,
    broken_result: c_long,
    transfer: impl Fn(usize) -> c_long,
) -> isize {
    if descriptor_kind(fd) == KIND_BROKEN {
        return broken_result as isize;
    }
    match choose_transfer_outcome(fd, length) {
        TransferOutcome::Full => transfer(length) as isize,
        TransferOutcome::Failed(errno) => syscalls::fail_with(errno) as isize,
        TransferOutcome::Short(max_length) => {
            let transferred = transfer(max_length);
            if transferred >= 0 {
                raise_epoll_edge(fd);
            }
            transferred as isize
        }
    }
}

fn perform_read(fd: c_int, length: usize, transfer: impl Fn(usize) -> c_long) -> isize {
    perform_transfer(fd, length, 0, transfer)
}

fn perform_write(fd: c_int, length: usize, transfer: impl Fn(usize) -> c_long) -> isize {
    if descriptor_kind(fd) == KIND_STREAM && syscalls::should_fail(crate::plan().write_delay_rate) {
        syscalls::sleep_ms(crate::plan().write_delay_ms);
    }
    let broken_result = if descriptor_kind(fd) == KIND_BROKEN { syscalls::fail_with(libc::EPIPE) } else { 0 };
    perform_transfer(fd, length, broken_result, transfer)
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    let accept = || {
        // SAFETY: the caller's pointers are passed to the kernel unchanged.
        unsafe {
            syscalls::invoke(libc::SYS_accept4, fd.into(), address as c_long, length as c_long, flags.into())
                as c_int
        }
    };
    let Some(errno) = choose_failure(CallKind::Accept, crate::plan().accept_failure_rate) else {
        let accepted = accept();
        reset_descriptor_state(accepted, KIND_STREAM);
        return accepted;
    };
    if errno == libc::ECONNABORTED {
        // ECONNABORTED means that this client has disconnected, so it is reported only if that is the case.
        let accepted = accept();
        if accepted < 0 || !peer_has_disconnected(accepted) {
            reset_descriptor_state(accepted, KIND_STREAM);
            return accepted;
        }
        reset_connection(accepted);
        // SAFETY: this call takes no pointers; no other code uses the descriptor.
        unsafe { syscalls::invoke(libc::SYS_close, accepted.into(), 0, 0, 0) };
    }
    syscalls::fail_with(errno) as c_int
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn accept(
    fd: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
) -> c_int {
    // SAFETY: the caller guarantees the same conditions.
    unsafe { accept4(fd, address, length, 0) }
}

#[no_mangle]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_internet = domain == libc::AF_INET || domain == libc::AF_INET6;
    if let Some(errno) =
        is_internet.then(|| choose_failure(CallKind::Socket, crate::plan().socket_failure_rate)).flatten()
    {
        return syscalls::fail_with(errno) as c_int;
    }
    // SAFETY: this call takes no pointers.
    let fd = unsafe {
        syscalls::invoke(libc::SYS_socket, domain.into(), kind.into(), protocol.into(), 0) as c_int
    };
    reset_descriptor_state(fd, if is_internet { KIND_STREAM } else { KIND_OTHER });
    fd
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn connect(
    fd: c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> c_int {
    if descriptor_kind(fd) == KIND_STREAM {
        if let Some(errno) = choose_failure(CallKind::Connect, crate::plan().connect_failure_rate) {
            return syscalls::fail_with(errno) as c_int;
        }
    }
    // SAFETY: the caller's pointer is passed to the kernel unchanged.
    unsafe { syscalls::invoke(libc::SYS_connect, fd.into(), address as c_long, length.into(), 0) as c_int }
}

#[no_mangle]
pub extern "C" fn close(fd: c_int) -> c_int {
    reset_descriptor_state(fd, KIND_OTHER);
    // SAFETY: this call takes no pointers.
    unsafe { syscalls::invoke(libc::SYS_close, fd.into(), 0, 0, 0) as c_int }
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, length: usize) -> isize {
    // SAFETY: the caller's pointer is passed to the kernel unchanged, with its length or less.
    perform_read(fd, length, |max_length| unsafe {
        syscalls::invoke(libc::SYS_read, fd.into(), bytes as c_long, max_length as c_long, 0)
    })
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> isize {
    // SAFETY: the caller's pointer is passed to the kernel unchanged, with its length or less.
    perform_read(fd, length, |max_length| unsafe {
        libc::syscall(libc::SYS_recvfrom, fd, bytes, max_length, flags, 0_usize, 0_usize)
    })
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: usize) -> isize {
    // SAFETY: the caller's pointer is passed to the kernel unchanged, with its length or less.
    perform_write(fd, length, |max_length| unsafe {
        syscalls::invoke(libc::SYS_write, fd.into(), bytes as c_long, max_length as c_long, 0)
    })
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: usize, flags: c_int) -> isize {
    // SAFETY: the caller's pointer is passed to the kernel unchanged, with its length or less.
    perform_write(fd, length, |max_length| unsafe {
        libc::syscall(libc::SYS_sendto, fd, bytes, max_length, flags, 0_usize, 0_usize)
    })
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const libc::iovec, count: c_int) -> isize {
    // SAFETY: the caller guarantees that `buffers` points to `count` elements.
    let buffers = unsafe { std::slice::from_raw_parts(buffers, usize::try_from(count).unwrap_or(0)) };
    let length = buffers.iter().map(|buffer| buffer.iov_len).sum();
    perform_write(fd, length, |max_length| {
        let mut remaining = max_length;
        let shortened: Vec<libc::iovec> = (buffers.iter())
            .map(|buffer| {
                let iov_len = buffer.iov_len.min(remaining);
                remaining -= iov_len;
                libc::iovec { iov_base: buffer.iov_base, iov_len }
            })
            .filter(|buffer| buffer.iov_len > 0)
            .collect();
        let (buffers, count) = (shortened.as_ptr() as c_long, shortened.len() as c_long);
        // SAFETY: the shortened buffers lie within the caller's buffers.
        unsafe { syscalls::invoke(libc::SYS_writev, fd.into(), buffers, count, 0) }
    })
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll_fd: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    // SAFETY: the caller's pointer is passed to the kernel unchanged.
    let result = unsafe {
        syscalls::invoke(libc::SYS_epoll_ctl, epoll_fd.into(), operation.into(), fd.into(), event as c_long)
            as c_int
    };
    if let Some(state) = descriptor_state(fd).filter(|_| result == 0) {
        if operation == libc::EPOLL_CTL_DEL {
            state.epoll_fd.store(-1, Ordering::Relaxed);
        } else {
            // SAFETY: the kernel has just read from this address.
            let event = unsafe { *event };
            state.events.store(event.events, Ordering::Relaxed);
            state.data.store(event.u64, Ordering::Relaxed);
            state.epoll_fd.store(epoll_fd, Ordering::Relaxed);
        }
    }
    result
}

/// # Safety
///
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll_fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if syscalls::should_fail(crate::plan().interrupt_rate) {
        return syscalls::fail_with(libc::EINTR) as c_int;
    }
    let no_signal_mask = std::ptr::null::<libc::sigset_t>();
    // SAFETY: the caller's pointer is passed to the kernel unchanged. Without a signal mask this is `epoll_wait`,
    // which has no system call of its own on some architectures.
    unsafe {
        libc::syscall(libc::SYS_epoll_pwait, epoll_fd, events, max_events, timeout, no_signal_mask, 0_usize)
            as c_int
    }
}
