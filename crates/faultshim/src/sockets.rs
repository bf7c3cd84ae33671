//! Sockets and waits.

use std::ffi::{c_int, c_long, c_void};
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, AtomicU8, Ordering};

use crate::plan::CallKind;
use crate::syscalls;

/// Descriptors that are told apart; others pass unchanged.
const MOST: usize = 1 << 16;
/// What a descriptor is.
const OTHER: u8 = 0;
const STREAM: u8 = 1;
/// A connection that was said to be broken, and is.
const BROKEN: u8 = 2;

/// What is known of one descriptor: its kind, and how it is registered with `epoll`.
struct Descriptor {
    kind: AtomicU8,
    epoll: AtomicI32,
    events: AtomicU32,
    data: AtomicU64,
}

static DESCRIPTORS: [Descriptor; MOST] = [const {
    Descriptor {
        kind: AtomicU8::new(OTHER),
        epoll: AtomicI32::new(-1),
        events: AtomicU32::new(0),
        data: AtomicU64::new(0),
    }
}; MOST];

fn descriptor(fd: c_int) -> Option<&'static Descriptor> {
    DESCRIPTORS.get(usize::try_from(fd).ok()?)
}

fn kind(fd: c_int) -> u8 {
    descriptor(fd).map_or(OTHER, |known| known.kind.load(Ordering::Relaxed))
}

/// A new descriptor, of which no registration is known.
fn opened(fd: c_int, kind: u8) {
    if let Some(known) = descriptor(fd) {
        known.epoll.store(-1, Ordering::Relaxed);
        known.kind.store(kind, Ordering::Relaxed);
    }
}

/// Raises the edge of `epoll` again, for what can still be done there.
fn raise_edge(fd: c_int) {
    let Some(known) = descriptor(fd) else { return };
    let epoll = known.epoll.load(Ordering::Relaxed);
    let (events, data) = (known.events.load(Ordering::Relaxed), known.data.load(Ordering::Relaxed));
    let mut event = libc::epoll_event { events, u64: data };
    if epoll >= 0 {
        let (control, event) = (libc::EPOLL_CTL_MOD.into(), &raw mut event as c_long);
        // SAFETY: the pointer is that of a live value of the right type.
        unsafe { syscalls::invoke(libc::SYS_epoll_ctl, epoll.into(), control, fd.into(), event) };
    }
}

/// Breaks a connection: its peer gets a reset.
fn reset(fd: c_int) {
    let mut address = libc::sockaddr { sa_family: libc::AF_UNSPEC as u16, sa_data: [0; 14] };
    let length = size_of::<libc::sockaddr>() as c_long;
    // SAFETY: the pointer is that of a live value of the told size. An unspecified address disconnects.
    unsafe { syscalls::invoke(libc::SYS_connect, fd.into(), &raw mut address as c_long, length, 0) };
}

/// Whether the peer of a connection has closed or reset it, with nothing left to read.
fn peer_left(fd: c_int) -> bool {
    let mut byte = 0u8;
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    // SAFETY: the pointer is that of a live byte.
    let read =
        unsafe { libc::syscall(libc::SYS_recvfrom, fd, &raw mut byte, 1_usize, flags, 0_usize, 0_usize) };
    // SAFETY: the C library gives the address of the calling thread's own error number.
    read == 0 || read < 0 && unsafe { *libc::__errno_location() } != libc::EAGAIN
}

fn failure(call: CallKind, part: f64) -> Option<c_int> {
    let fails = syscalls::should_fail(part);
    crate::plan().choose_error(call, syscalls::next_random()).filter(|_| fails).map(|errno| errno.number())
}

/// What is to become of a read or write on a socket.
enum Transfer {
    Whole,
    /// So many bytes of it at most.
    Part(usize),
    Fails(c_int),
}

fn transfer(fd: c_int, length: usize) -> Transfer {
    let plan = crate::plan();
    if kind(fd) != STREAM {
        return Transfer::Whole;
    }
    if let Some(errno) = failure(CallKind::SocketTransfer, plan.broken_connection_rate) {
        if let Some(known) = descriptor(fd) {
            known.kind.store(BROKEN, Ordering::Relaxed);
        }
        reset(fd);
        return Transfer::Fails(errno);
    }
    if syscalls::should_fail(plan.interrupt_rate) {
        return Transfer::Fails(libc::EINTR);
    }
    if length > 1 && syscalls::should_fail(plan.short_transfer_rate) {
        return Transfer::Part(1 + syscalls::next_random() as usize % (length - 1));
    }
    Transfer::Whole
}

/// Does a read or write by `act`, which takes how many bytes it may be; `empty` is the result on a broken connection.
fn carry_out(fd: c_int, length: usize, empty: c_long, act: impl Fn(usize) -> c_long) -> isize {
    if kind(fd) == BROKEN {
        return empty as isize;
    }
    match transfer(fd, length) {
        Transfer::Whole => act(length) as isize,
        Transfer::Fails(errno) => syscalls::fail_with(errno) as isize,
        Transfer::Part(most) => {
            let done = act(most);
            if done >= 0 {
                raise_edge(fd);
            }
            done as isize
        }
    }
}

fn receive(fd: c_int, length: usize, act: impl Fn(usize) -> c_long) -> isize {
    carry_out(fd, length, 0, act)
}

fn give(fd: c_int, length: usize, act: impl Fn(usize) -> c_long) -> isize {
    if kind(fd) == STREAM && syscalls::should_fail(crate::plan().write_delay_rate) {
        syscalls::sleep_ms(crate::plan().write_delay_ms);
    }
    let broken = if kind(fd) == BROKEN { syscalls::fail_with(libc::EPIPE) } else { 0 };
    carry_out(fd, length, broken, act)
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    let accept = || {
        // SAFETY: the caller's pointers go to the kernel as they came.
        unsafe {
            syscalls::invoke(libc::SYS_accept4, fd.into(), address as c_long, length as c_long, flags.into())
                as c_int
        }
    };
    let Some(errno) = failure(CallKind::Accept, crate::plan().accept_failure_rate) else {
        let accepted = accept();
        opened(accepted, STREAM);
        return accepted;
    };
    if errno == libc::ECONNABORTED {
        // It concerns one client, which has gone: of one that is still there it would be a lie.
        let accepted = accept();
        if accepted < 0 || !peer_left(accepted) {
            opened(accepted, STREAM);
            return accepted;
        }
        reset(accepted);
        // SAFETY: this call takes no pointers; nobody else knows the descriptor.
        unsafe { syscalls::invoke(libc::SYS_close, accepted.into(), 0, 0, 0) };
    }
    syscalls::fail_with(errno) as c_int
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn accept(
    fd: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
) -> c_int {
    // SAFETY: as the caller says.
    unsafe { accept4(fd, address, length, 0) }
}

#[no_mangle]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let internet = domain == libc::AF_INET || domain == libc::AF_INET6;
    if let Some(errno) =
        internet.then(|| failure(CallKind::Socket, crate::plan().socket_failure_rate)).flatten()
    {
        return syscalls::fail_with(errno) as c_int;
    }
    // SAFETY: this call takes no pointers.
    let fd = unsafe {
        syscalls::invoke(libc::SYS_socket, domain.into(), kind.into(), protocol.into(), 0) as c_int
    };
    opened(fd, if internet { STREAM } else { OTHER });
    fd
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn connect(
    fd: c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> c_int {
    if kind(fd) == STREAM {
        if let Some(errno) = failure(CallKind::Connect, crate::plan().connect_failure_rate) {
            return syscalls::fail_with(errno) as c_int;
        }
    }
    // SAFETY: the caller's pointer goes to the kernel as it came.
    unsafe { syscalls::invoke(libc::SYS_connect, fd.into(), address as c_long, length.into(), 0) as c_int }
}

#[no_mangle]
pub extern "C" fn close(fd: c_int) -> c_int {
    opened(fd, OTHER);
    // SAFETY: this call takes no pointers.
    unsafe { syscalls::invoke(libc::SYS_close, fd.into(), 0, 0, 0) as c_int }
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, length: usize) -> isize {
    // SAFETY: the caller's pointer goes to the kernel as it came, with its length or less.
    receive(fd, length, |most| unsafe {
        syscalls::invoke(libc::SYS_read, fd.into(), bytes as c_long, most as c_long, 0)
    })
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> isize {
    // SAFETY: the caller's pointer goes to the kernel as it came, with its length or less.
    receive(fd, length, |most| unsafe {
        libc::syscall(libc::SYS_recvfrom, fd, bytes, most, flags, 0_usize, 0_usize)
    })
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: usize) -> isize {
    // SAFETY: the caller's pointer goes to the kernel as it came, with its length or less.
    give(fd, length, |most| unsafe {
        syscalls::invoke(libc::SYS_write, fd.into(), bytes as c_long, most as c_long, 0)
    })
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: usize, flags: c_int) -> isize {
    // SAFETY: the caller's pointer goes to the kernel as it came, with its length or less.
    give(fd, length, |most| unsafe {
        libc::syscall(libc::SYS_sendto, fd, bytes, most, flags, 0_usize, 0_usize)
    })
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> isize {
    // SAFETY: the caller's parts, as many as it says.
    let all = unsafe { std::slice::from_raw_parts(parts, usize::try_from(count).unwrap_or(0)) };
    let length = all.iter().map(|part| part.iov_len).sum();
    give(fd, length, |most| {
        let mut left = most;
        let shortened: Vec<libc::iovec> = (all.iter())
            .map(|part| {
                let iov_len = part.iov_len.min(left);
                left -= iov_len;
                libc::iovec { iov_base: part.iov_base, iov_len }
            })
            .filter(|part| part.iov_len > 0)
            .collect();
        let (parts, count) = (shortened.as_ptr() as c_long, shortened.len() as c_long);
        // SAFETY: parts of what the caller hands over, no longer than it says.
        unsafe { syscalls::invoke(libc::SYS_writev, fd.into(), parts, count, 0) }
    })
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    control: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    // SAFETY: the caller's pointer goes to the kernel as it came.
    let result = unsafe {
        syscalls::invoke(libc::SYS_epoll_ctl, epoll.into(), control.into(), fd.into(), event as c_long)
            as c_int
    };
    if let Some(known) = descriptor(fd).filter(|_| result == 0) {
        if control == libc::EPOLL_CTL_DEL {
            known.epoll.store(-1, Ordering::Relaxed);
        } else {
            // SAFETY: the kernel has just read there.
            let event = unsafe { *event };
            known.events.store(event.events, Ordering::Relaxed);
            known.data.store(event.u64, Ordering::Relaxed);
            known.epoll.store(epoll, Ordering::Relaxed);
        }
    }
    result
}

/// # Safety
///
/// As for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if syscalls::should_fail(crate::plan().interrupt_rate) {
        return syscalls::fail_with(libc::EINTR) as c_int;
    }
    // SAFETY: the caller's pointer goes to the kernel as it came.
    unsafe {
        syscalls::invoke(libc::SYS_epoll_wait, epoll.into(), events as c_long, most.into(), timeout.into())
            as c_int
    }
}
