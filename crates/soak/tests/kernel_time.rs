//! Checks that kernel timestamps on loopback lie between the clock readings before and after the event.

use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use nettleferry_soak::audit::Interval;
use nettleferry_soak::kernel_time::{self, KernelTime, WallClock};

/// Limit on the waits of these tests, each of which ends with an event.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn sent_datagram_is_timestamped_within_its_send() {
    let began = Instant::now();
    let clock = WallClock::read(|| began.elapsed());
    let (from, to) = (UdpSocket::bind("127.0.0.1:0"), UdpSocket::bind("127.0.0.1:0"));
    let (from, to) = (from.expect("a port"), to.expect("a port"));
    kernel_time::enable_send_timestamps(&from).expect("the kernel timestamps");
    assert_eq!(kernel_time::last_send(&from), None, "nothing was sent");
    let before = began.elapsed();
    from.send_to(b"list", to.local_addr().expect("bound")).expect("sent");
    let timestamp = kernel_time::last_send(&from).expect("a timestamp");
    let sent = Interval { earliest: before, latest: began.elapsed() };
    assert!(clock.moment(timestamp, sent).is_some(), "{timestamp:?} in {sent:?}");
    assert_eq!(kernel_time::last_send(&from), None, "it is taken");
}

#[test]
fn received_bytes_are_timestamped_at_arrival_and_not_at_the_read() {
    let began = Instant::now();
    let clock = WallClock::read(|| began.elapsed());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut from = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let (to, _) = listener.accept().expect("connected");
    kernel_time::enable_receive_timestamps(&to).expect("the kernel timestamps");
    // The kernel begins to timestamp shortly after the machine's first socket has enabled it.
    let mut buffer = [0; 64];
    let is_timestamped = |from: &mut TcpStream, buffer: &mut [u8]| {
        from.write_all(b"early").expect("written");
        kernel_time::read_with_timestamp(&to, buffer).expect("it is there").1.is_some()
    };
    while !is_timestamped(&mut from, &mut buffer) {
        assert!(began.elapsed() < TEST_TIMEOUT, "the kernel timestamps");
    }
    from.write_all(b"command").expect("written");
    let arrived = Interval { earliest: Duration::ZERO, latest: began.elapsed() };
    // Simulates a preempted reader.
    let late = arrived.latest + Duration::from_millis(100);
    while began.elapsed() < late {
        std::thread::yield_now();
    }
    let (length, timestamp) = kernel_time::read_with_timestamp(&to, &mut buffer).expect("it is there");
    assert_eq!(&buffer[..length], b"command");
    assert!(
        clock.moment(timestamp.expect("a timestamp"), arrived).is_some(),
        "it had come before {arrived:?}"
    );
}

#[test]
fn timestamp_outside_the_observed_interval_is_rejected() {
    let clock = WallClock::read(|| Duration::ZERO);
    let seen = Interval { earliest: Duration::from_secs(1), latest: Duration::from_secs(2) };
    let at = |seconds: u64| wall_clock_now() + Duration::from_secs(seconds);
    assert_eq!(clock.moment(at(3_600), seen), None, "the wall clock was stepped");
    assert_eq!(clock.moment(Duration::ZERO, seen), None);
}

fn wall_clock_now() -> KernelTime {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970")
}
