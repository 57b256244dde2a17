//! One iteration of the event loop: poll, read events, fire alarms, and poll the connections and streams that
//! are due.

use std::io;
use std::time::{Duration, Instant};

use super::conn::AcceptedStream;
use super::stream::Stream;
use super::{CloseReason, ConnKey, Hub, LISTENERS, NetEvent, SOURCES, StreamError, StreamKey, WAKE};
use crate::clock::shorter_timeout;
use crate::framing::FrameError;
use crate::wake::Due;

/// Maximum passes through the due queue in one iteration, so that peers that keep waking each other can't
/// starve the timers.
const MAX_DUE_PASSES: usize = 64;
/// Time without progress after which a connection is closed whose client was asked by GOAWAY to close it.
const GO_AWAY_TIMEOUT: Duration = Duration::from_secs(10);

impl Hub {
    /// Runs one iteration: polls due connections and streams, waits for socket events for at most `timeout`
    /// (less if anything is due earlier), and polls those that have become due. Appends the events to `out`.
    pub fn poll(&mut self, timeout: Option<Duration>, out: &mut Vec<NetEvent>) -> io::Result<()> {
        self.now = Instant::now();
        self.run_due();
        let busy = !self.out.is_empty() || !self.due.is_empty();
        let alarm = self.alarms.first().map(|(at, _)| *at);
        let wait = if busy {
            Some(Duration::ZERO)
        } else {
            shorter_timeout(timeout, self.now, &[alarm, self.accept_at])
        };
        match self.poll.poll(&mut self.events, wait) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.counters.wakeups += 1;
        self.now = Instant::now();
        self.read_events();
        self.fire_alarms();
        self.run_due();
        out.append(&mut self.out);
        Ok(())
    }

    /// Records the readiness of the reported sockets, and accepts pending connections.
    pub(super) fn read_events(&mut self) {
        let mut accept = Vec::new();
        for event in &self.events {
            let token = event.token().0;
            if event.token() == WAKE {
                self.out.push(NetEvent::Woken);
            } else if token >= SOURCES {
                self.out.push(NetEvent::Source(token - SOURCES));
            } else if token >= LISTENERS {
                accept.push(token - LISTENERS);
            } else if let Some(conn) = self.conns.get(token) {
                // An event of a closed connection with the same index only causes a needless poll of the new
                // one.
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    conn.shared.readable.set(true);
                }
                if event.is_writable() || event.is_write_closed() || event.is_error() {
                    conn.shared.writable.set(true);
                }
                conn.waker.wake_by_ref();
            }
        }
        for index in accept {
            self.accept(index);
        }
        if self.accept_at.is_some_and(|at| at <= self.now) {
            self.accept_at = None;
            for index in 0..self.listeners.len() {
                self.accept(index);
            }
        }
    }

    /// Polls due connections and streams until the queue is empty or [`MAX_DUE_PASSES`] is reached.
    pub(super) fn run_due(&mut self) {
        for _ in 0..MAX_DUE_PASSES {
            let mut taken = std::mem::take(&mut self.taken);
            self.due.take(&mut taken);
            if taken.is_empty() {
                self.taken = taken;
                return;
            }
            for due in taken.drain(..) {
                match due {
                    Due::Stream(key) => self.poll_stream(StreamKey(key)),
                    Due::Conn(key) => self.poll_conn(ConnKey(key)),
                }
            }
            self.taken = taken;
        }
    }

    /// Polls a stream, and removes it if it has ended.
    pub(super) fn poll_stream(&mut self, key: StreamKey) {
        let Some(stream) = self.streams.get_mut(key.index()).filter(|s| s.key == key) else { return };
        let written = self.conns.get(stream.conn.index()).map_or(0, |c| c.shared.written.get());
        let has_ended = stream.poll(written, &self.limits, &mut self.counters, &mut self.out);
        let held = stream.incomplete_bytes();
        self.received_held = self.received_held + held - std::mem::replace(&mut stream.held, held);
        if has_ended {
            let stream = self.remove_stream(key);
            self.unlink(&stream);
        }
        self.keep_message_sum();
    }

    /// Removes a stream that exists.
    pub(super) fn remove_stream(&mut self, key: StreamKey) -> Stream {
        let stream = self.streams.remove(key.index());
        self.received_held -= stream.held;
        stream
    }

    /// Gives up incomplete messages while those of all clients together exceed
    /// [`crate::NetLimits::message_sum`]: the largest first. No call has been opened for them.
    fn keep_message_sum(&mut self) {
        while self.received_held > self.limits.message_sum {
            let largest = self.streams.iter_mut().max_by_key(|(index, stream)| (stream.held, *index));
            let Some((_, stream)) = largest else { return };
            stream.give_up_message(&self.limits);
            self.received_held -= std::mem::take(&mut stream.held);
            self.counters.over_message_sum += 1;
            self.out.push(NetEvent::Malformed { stream: stream.key, error: FrameError::NoRoom });
        }
    }

    /// Removes a stream that has ended from its connection, whose idle time starts after the last one.
    pub(super) fn unlink(&mut self, stream: &Stream) {
        let Some(conn) = self.conns.get_mut(stream.conn.index()).filter(|c| c.key == stream.conn) else {
            return;
        };
        conn.streams.remove(&stream.key);
        if stream.is_waiting() {
            conn.waiting.retain(|k| *k != stream.key);
        }
        if conn.streams.is_empty() && conn.is_established() {
            self.alarms.remove(&(conn.alarm, conn.key));
            conn.alarm = self.now + self.limits.idle;
            self.alarms.insert((conn.alarm, conn.key));
        }
    }

    /// Polls a connection, and reports its establishment, new streams, streams that failed to start, and its
    /// end.
    pub(super) fn poll_conn(&mut self, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key.index()).filter(|c| c.key == key) else { return };
        let ended = conn.poll(&mut self.streams);
        if conn.just_established {
            conn.just_established = false;
            self.alarms.remove(&(conn.alarm, key));
            conn.alarm = self.now + self.limits.idle;
            self.alarms.insert((conn.alarm, key));
            if conn.listener.is_none() {
                self.out.push(NetEvent::Connected { conn: key });
            }
        }
        let accepted_streams = std::mem::take(&mut conn.accepted_streams);
        let failed = std::mem::take(&mut conn.failed);
        for AcceptedStream { request, response } in accepted_streams {
            self.generation = self.generation.wrapping_add(1);
            let entry = self.streams.vacant_entry();
            let stream = StreamKey::new(self.generation, entry.key());
            let waker = self.due.waker(Due::Stream(stream.0));
            let (head, body) = request.into_parts();
            entry.insert(Stream::incoming(stream, key, waker, body, response, &self.limits));
            conn.streams.insert(stream);
            self.counters.streams += 1;
            self.out.push(NetEvent::Request { conn: key, stream, head });
            if let Some(s) = self.streams.get(stream.index()) {
                s.waker.wake_by_ref();
            }
        }
        for (stream, why) in failed {
            if self.is_open(stream) {
                let failed_stream = self.remove_stream(stream);
                self.unlink(&failed_stream);
                self.out.push(NetEvent::Failed { stream, why });
            }
        }
        if let Some(why) = ended {
            self.close_conn(key, why);
        }
    }

    /// Closes and removes a connection; its open streams fail.
    pub(super) fn close_conn(&mut self, key: ConnKey, why: CloseReason) {
        // Data already received for its streams is reported first, as are streams that have ended by
        // themselves.
        let streams: Vec<StreamKey> = self.conns[key.index()].streams.iter().copied().collect();
        for stream in streams.iter().copied() {
            self.poll_stream(stream);
        }
        let mut conn = self.conns.remove(key.index());
        self.alarms.remove(&(conn.alarm, key));
        match why {
            CloseReason::NotConnected => self.counters.connect_failures += 1,
            CloseReason::Protocol => self.counters.protocol_errors += 1,
            CloseReason::Handshake => self.counters.handshake_timeouts += 1,
            CloseReason::Idle => self.counters.idle_closed += 1,
            CloseReason::Ended => {}
        }
        let written = conn.shared.written.get();
        for stream in streams {
            if self.is_open(stream) {
                let failed_stream = self.remove_stream(stream);
                let why = if why == CloseReason::NotConnected && failed_stream.is_waiting() {
                    StreamError::NotConnected
                } else if failed_stream.is_unwritten(written) {
                    StreamError::NotWritten
                } else {
                    StreamError::Broken
                };
                self.out.push(NetEvent::Failed { stream, why });
            }
        }
        conn.close();
        self.out.push(NetEvent::Closed { conn: key, why });
    }

    /// Closes connections whose handshake has timed out. Closes established ones that are idle: an accepted one
    /// by GOAWAY, so that a request which its client is sending is still served.
    pub(super) fn fire_alarms(&mut self) {
        while let Some(&(at, key)) = self.alarms.first() {
            if at > self.now {
                return;
            }
            self.alarms.pop_first();
            let Some(conn) = self.conns.get(key.index()).filter(|c| c.key == key) else { continue };
            if conn.is_going_away() {
                self.close_if_stalled(key);
            } else if !conn.is_established() {
                let why =
                    if conn.listener.is_some() { CloseReason::Handshake } else { CloseReason::NotConnected };
                self.close_conn(key, why);
            } else if conn.streams.is_empty() && conn.listener.is_some() {
                self.counters.idle_closed += 1;
                self.go_away_idle(key);
            } else if conn.streams.is_empty() {
                self.close_conn(key, CloseReason::Idle);
            }
            // The alarm of a connection with open streams is set again when the last of them ends.
        }
    }

    /// Asks the client of an idle connection to close it.
    fn go_away_idle(&mut self, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key.index()).filter(|c| c.key == key) else { return };
        conn.go_away();
        // Progress is counted from here.
        conn.stalled_for(self.now);
        conn.alarm = self.now + GO_AWAY_TIMEOUT;
        self.alarms.insert((conn.alarm, key));
    }

    /// Closes a connection that is going away, has no streams and makes no progress any more. Otherwise its
    /// alarm is set again.
    fn close_if_stalled(&mut self, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key.index()).filter(|c| c.key == key) else { return };
        if conn.stalled_for(self.now) >= GO_AWAY_TIMEOUT && conn.streams.is_empty() {
            return self.close_conn(key, CloseReason::Ended);
        }
        conn.alarm = self.now + GO_AWAY_TIMEOUT;
        self.alarms.insert((conn.alarm, key));
    }
}
