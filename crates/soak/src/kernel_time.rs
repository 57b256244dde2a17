//! Kernel timestamps of bytes sent and received on sockets. A thread of the test that is preempted between a system
//! call and the next clock reading does not know when its bytes were sent or received. The kernel does.
//!
//! Kernel timestamps use the wall clock, and [`WallClock`] converts them to moments of a run. Without a timestamp, the
//! test's own clock readings are used.

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

/// Number of measurements of the clocks' offset, of which the one with the least uncertainty is used.
const CLOCK_READINGS: usize = 16;

/// A kernel timestamp: time since the Unix epoch.
pub type KernelTime = Duration;

/// The offset between the wall clock and the clock of a run, as measured by [`WallClock::read`].
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// Wall-clock time at moment zero of the run.
    zero: KernelTime,
    /// Maximum error of `zero`.
    uncertainty: Duration,
}

impl WallClock {
    /// Measures the offset. `now` reads the run's clock.
    pub fn read(now: impl Fn() -> Moment) -> Self {
        let measure = || {
            let before = now();
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let after = now();
            let uncertainty = (after - before) / 2;
            Self { zero: wall.saturating_sub(before + uncertainty), uncertainty }
        };
        let measurements = (0..CLOCK_READINGS).map(|_| measure());
        measurements.min_by_key(|clock| clock.uncertainty).unwrap_or_else(measure)
    }

    /// Converts a kernel timestamp to a moment within `observed`, the interval between the test's own clock readings.
    /// Returns `None` if the timestamp lies outside this interval, as after a step of the wall clock.
    pub fn moment(&self, timestamp: KernelTime, observed: Interval) -> Option<Moment> {
        let moment = timestamp.checked_sub(self.zero)?;
        let earliest = observed.earliest.saturating_sub(self.uncertainty);
        let is_possible = (earliest..=observed.latest + self.uncertainty).contains(&moment);
        is_possible.then(|| moment.clamp(observed.earliest, observed.latest))
    }

    /// Returns the change of the offset between two measurements.
    pub fn drift(&self, later: &Self) -> Duration {
        self.zero.abs_diff(later.zero)
    }
}

fn kernel_time(timestamp: TimeSpec) -> Option<KernelTime> {
    let seconds = u64::try_from(timestamp.tv_sec()).ok()?;
    let nanoseconds = u32::try_from(timestamp.tv_nsec()).ok()?;
    Some(Duration::new(seconds, nanoseconds))
}

/// Enables kernel timestamps for datagrams sent on `socket`.
///
/// # Errors
///
/// Returns an error if the kernel does not support the socket option.
pub fn enable_send_timestamps(socket: &UdpSocket) -> io::Result<()> {
    let flags = TimestampingFlag::SOF_TIMESTAMPING_TX_SOFTWARE
        | TimestampingFlag::SOF_TIMESTAMPING_SOFTWARE
        | TimestampingFlag::SOF_TIMESTAMPING_OPT_TSONLY;
    Ok(setsockopt(&socket.as_fd(), sockopt::Timestamping, &flags)?)
}

/// Removes all timestamps from the socket's queue and returns the newest: the kernel's time of the last datagram sent.
/// Returns `None` if the queue is empty.
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

/// Enables kernel timestamps for bytes received on `socket`.
///
/// # Errors
///
/// Returns an error if the kernel does not support the socket option.
pub fn enable_receive_timestamps(socket: &TcpStream) -> io::Result<()> {
    Ok(setsockopt(&socket.as_fd(), sockopt::ReceiveTimestampns, &true)?)
}

/// Reads into `buffer`. Returns the number of bytes and the kernel's time at which the last of them was received, or no
/// time if the kernel did not timestamp them. Zero bytes mean that the peer closed the connection.
///
/// # Errors
///
/// Returns any error of the read other than `EINTR`, which is retried.
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
