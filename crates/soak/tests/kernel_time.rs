//! The kernel's times on loopback: they lie between the readings of the clock around what they are of.

use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use nettleferry_soak::audit::Interval;
use nettleferry_soak::kernel_time::{self, KernelTime, WallClock};

/// No wait of these tests is longer; each is for an event.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn datagram_that_was_sent_is_stamped_within_its_sending() {
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
fn bytes_are_stamped_when_they_come_and_not_when_they_are_read() {
    let began = Instant::now();
    let clock = WallClock::read(|| began.elapsed());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut from = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let (to, _) = listener.accept().expect("connected");
    kernel_time::enable_receive_timestamps(&to).expect("the kernel timestamps");
    // The kernel begins a moment after the first socket of the machine has asked for it.
    let mut buffer = [0; 64];
    let is_timestamped = |from: &mut TcpStream, buffer: &mut [u8]| {
        from.write_all(b"early").expect("written");
        kernel_time::read_with_timestamp(&to, buffer).expect("it is there").1.is_some()
    };
    while !is_timestamped(&mut from, &mut buffer) {
        assert!(began.elapsed() < TEST_TIMEOUT, "the kernel timestamps");
    }
    from.write_all(b"command").expect("written");
    let come = Interval { earliest: Duration::ZERO, latest: began.elapsed() };
    // The reader loses its core.
    let late = come.latest + Duration::from_millis(100);
    while began.elapsed() < late {
        std::thread::yield_now();
    }
    let (length, timestamp) = kernel_time::read_with_timestamp(&to, &mut buffer).expect("it is there");
    assert_eq!(&buffer[..length], b"command");
    assert!(clock.moment(timestamp.expect("a timestamp"), come).is_some(), "it had come before {come:?}");
}

#[test]
fn time_outside_of_what_was_seen_is_none() {
    let clock = WallClock::read(|| Duration::ZERO);
    let seen = Interval { earliest: Duration::from_secs(1), latest: Duration::from_secs(2) };
    let at = |seconds: u64| wall() + Duration::from_secs(seconds);
    assert_eq!(clock.moment(at(3_600), seen), None, "the wall clock was stepped");
    assert_eq!(clock.moment(Duration::ZERO, seen), None);
}

fn wall() -> KernelTime {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970")
}
