//! Checks that kernel timestamps on loopback lie between the clock readings before and after the event.

use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use nettleferry_soak::audit::Interval;
use nettleferry_soak::kernel_time::{self, KernelTime, WallClock};

/// Maximum duration of a wait. Each wait ends with an event, so a greater value does not slow the tests down.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn sent_datagram_is_timestamped_within_its_send() {
    let began = Instant::now();
    let clock = WallClock::read(|| began.elapsed());
    let (from, to) = (UdpSocket::bind("127.0.0.1:0"), UdpSocket::bind("127.0.0.1:0"));
    let (from, to) = (from.expect("sending socket bound"), to.expect("receiving socket bound"));
    kernel_time::enable_send_timestamps(&from).expect("send timestamps enabled");
    assert_eq!(kernel_time::last_send(&from), None, "no datagram was sent");
    let before = began.elapsed();
    from.send_to(b"list", to.local_addr().expect("address of the bound socket")).expect("datagram sent");
    let timestamp = kernel_time::last_send(&from).expect("timestamp of the send");
    let sent = Interval { earliest: before, latest: began.elapsed() };
    assert!(clock.moment(timestamp, sent).is_some(), "{timestamp:?} in {sent:?}");
    assert_eq!(kernel_time::last_send(&from), None, "the timestamp was already taken");
}

#[test]
fn received_bytes_are_timestamped_at_arrival_and_not_at_the_read() {
    let began = Instant::now();
    let clock = WallClock::read(|| began.elapsed());
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let mut from = TcpStream::connect(listener.local_addr().expect("listening address"))
        .expect("connected to the listener");
    let (to, _) = listener.accept().expect("connection accepted");
    kernel_time::enable_receive_timestamps(&to).expect("receive timestamps enabled");
    // The kernel begins to timestamp with a delay after the first socket of the machine has enabled timestamps.
    let mut buffer = [0; 64];
    let is_timestamped = |from: &mut TcpStream, buffer: &mut [u8]| {
        from.write_all(b"early").expect("bytes written");
        kernel_time::read_with_timestamp(&to, buffer).expect("bytes read").1.is_some()
    };
    while !is_timestamped(&mut from, &mut buffer) {
        assert!(began.elapsed() < TEST_TIMEOUT, "the kernel timestamps received bytes in time");
    }
    from.write_all(b"command").expect("command written");
    let arrived = Interval { earliest: Duration::ZERO, latest: began.elapsed() };
    // Simulates a preempted reader.
    let late = arrived.latest + Duration::from_millis(100);
    while began.elapsed() < late {
        std::thread::yield_now();
    }
    let (length, timestamp) = kernel_time::read_with_timestamp(&to, &mut buffer).expect("command read");
    assert_eq!(&buffer[..length], b"command");
    assert!(
        clock.moment(timestamp.expect("timestamp of the receipt"), arrived).is_some(),
        "the timestamp lies within {arrived:?}, before the read"
    );
}

#[test]
fn timestamp_outside_the_observed_interval_is_rejected() {
    let clock = WallClock::read(|| Duration::ZERO);
    let observed = Interval { earliest: Duration::from_secs(1), latest: Duration::from_secs(2) };
    let at = |seconds: u64| wall_clock_now() + Duration::from_secs(seconds);
    assert_eq!(clock.moment(at(3_600), observed), None, "the wall clock was stepped");
    assert_eq!(clock.moment(Duration::ZERO, observed), None);
}

fn wall_clock_now() -> KernelTime {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970")
}
