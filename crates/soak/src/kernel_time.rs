//! The kernel's times of what passes a socket. A thread of the test that loses its core between a system call and the next
//! reading of the clock does not know when its bytes left or came; the kernel does.
//!
//! The kernel's times are of the wall clock. [`WallClock`] relates them to the moments of a run. Where the kernel gives
//! none, the test's own readings stand.

use std::io::{self, IoSliceMut};
use std::net::{TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::cmsg_space;
use nix::errno::Errno;
use nix::sys::socket::{
    ControlMessageOwned, MsgFlags, TimestampingFlag, Timestamps, recvmsg, setsockopt, sockopt,
};
use nix::sys::time::TimeSpec;

use crate::audit::{Interval, Moment};

/// Looks at both clocks, of which the closest counts.
const LOOKS: usize = 16;

/// A time of the kernel, since 1970.
pub type KernelTime = Duration;

/// The wall clock as it stood at the beginning of a run.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// Its time at the moment zero.
    zero: KernelTime,
    /// How far this may be off.
    uncertainty: Duration,
}

impl WallClock {
    /// Reads it. `now`: the run's clock.
    pub fn read(now: impl Fn() -> Moment) -> Self {
        let look = || {
            let before = now();
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let after = now();
            let uncertainty = (after - before) / 2;
            Self { zero: wall.saturating_sub(before + uncertainty), uncertainty }
        };
        let looks = (0..LOOKS).map(|_| look());
        looks.min_by_key(|clock| clock.uncertainty).unwrap_or_else(look)
    }

    /// When something happened that the kernel has timestamped, within the interval that the test itself has seen. A time
    /// outside of it is none: the wall clock was stepped.
    pub fn moment(&self, timestamp: KernelTime, seen: Interval) -> Option<Moment> {
        let moment = timestamp.checked_sub(self.zero)?;
        let earliest = seen.earliest.saturating_sub(self.uncertainty);
        let is_possible = (earliest..=seen.latest + self.uncertainty).contains(&moment);
        is_possible.then(|| moment.clamp(seen.earliest, seen.latest))
    }

    /// How far two readings of the wall clock are apart, beside the time between them.
    pub fn drift(&self, later: &Self) -> Duration {
        self.zero.abs_diff(later.zero)
    }
}

fn kernel_time(timestamp: TimeSpec) -> Option<KernelTime> {
    let seconds = u64::try_from(timestamp.tv_sec()).ok()?;
    let nanoseconds = u32::try_from(timestamp.tv_nsec()).ok()?;
    Some(Duration::new(seconds, nanoseconds))
}

/// Lets the kernel timestamp the datagrams that a socket sends.
///
/// # Errors
///
/// The kernel does not.
pub fn enable_send_timestamps(socket: &UdpSocket) -> io::Result<()> {
    let flags = TimestampingFlag::SOF_TIMESTAMPING_TX_SOFTWARE
        | TimestampingFlag::SOF_TIMESTAMPING_SOFTWARE
        | TimestampingFlag::SOF_TIMESTAMPING_OPT_TSONLY;
    Ok(setsockopt(&socket.as_fd(), sockopt::Timestamping, &flags)?)
}

/// When the last datagram left that a socket has sent. All timestamps that wait are taken.
pub fn last_send(socket: &UdpSocket) -> Option<KernelTime> {
    let mut last = None;
    while let Some(timestamp) = next_send(socket) {
        last = Some(timestamp);
    }
    last
}

fn next_send(socket: &UdpSocket) -> Option<KernelTime> {
    let mut space = cmsg_space!(Timestamps, [u8; 64]);
    let flags = MsgFlags::MSG_ERRQUEUE | MsgFlags::MSG_DONTWAIT;
    let received = recvmsg::<()>(socket.as_raw_fd(), &mut [], Some(&mut space), flags).ok()?;
    received.cmsgs().ok()?.find_map(|message| match message {
        ControlMessageOwned::ScmTimestampsns(timestamps) => kernel_time(timestamps.system),
        _ => None,
    })
}

/// Lets the kernel timestamp the bytes that a connection receives.
///
/// # Errors
///
/// The kernel does not.
pub fn enable_receive_timestamps(socket: &TcpStream) -> io::Result<()> {
    Ok(setsockopt(&socket.as_fd(), sockopt::ReceiveTimestampns, &true)?)
}

/// Reads bytes, and when the last of them had come.
///
/// # Errors
///
/// The connection broke.
pub fn read_with_timestamp(socket: &TcpStream, buffer: &mut [u8]) -> io::Result<(usize, Option<KernelTime>)> {
    let mut space = cmsg_space!(TimeSpec, [u8; 64]);
    loop {
        let mut slices = [IoSliceMut::new(buffer)];
        match recvmsg::<()>(socket.as_raw_fd(), &mut slices, Some(&mut space), MsgFlags::empty()) {
            Ok(received) => {
                let timestamp = received.cmsgs().ok().and_then(|mut messages| {
                    messages.find_map(|message| match message {
                        ControlMessageOwned::ScmTimestampns(timestamp) => kernel_time(timestamp),
                        _ => None,
                    })
                });
                return Ok((received.bytes, timestamp));
            }
            Err(Errno::EINTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
}
