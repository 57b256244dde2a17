//! One iteration of the event loop: flush, poll, read, fire alarms.

use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};

use super::connection::Stage;
use super::last_poll::PollResult;
use super::{ConnectionFailure, LISTENERS, MIN_READ_QUOTA, SOURCES, Tcp, TcpEvent, TcpKey};
use crate::clock::shorter_timeout;

/// Maximum non-blocking polls after one that was interrupted or overslept, as each may be interrupted as
/// well.
const MAX_REPEATED_POLLS: usize = 8;

impl Tcp {
    /// Runs one iteration: sends queued bytes, polls for at most `timeout` (less if an alarm, a retry or
    /// unfinished work is due earlier), and reads received bytes. Appends the events to `out`.
    pub fn poll(&mut self, timeout: Option<Duration>, out: &mut Vec<TcpEvent>) -> io::Result<()> {
        self.now = Instant::now();
        for key in std::mem::take(&mut self.to_remove) {
            self.remove(key, None);
        }
        self.flush_all();
        self.account_lent_input();
        let busy = !self.out.is_empty() || !self.ready.is_empty() || !self.unfinished_accepts.is_empty();
        let alarm = self.alarms.first().map(|(at, _)| *at);
        let connect_retry = self.connect_retries.first().map(|(at, _)| *at);
        let due = [alarm, connect_retry, self.accept_at];
        let wait = if busy { Some(Duration::ZERO) } else { shorter_timeout(timeout, self.now, &due) };
        let mut outdated = self.poll_once(wait)?;
        // Timers must not act on outdated information, such as missing the end of a client that had already
        // arrived.
        for _ in 0..MAX_REPEATED_POLLS {
            if !outdated {
                break;
            }
            let earliest_arrival = self.earliest_arrival;
            outdated = self.poll_once(Some(Duration::ZERO))?;
            // The events of the earlier polls are read together with those of this one.
            self.earliest_arrival = self.earliest_arrival.min(earliest_arrival);
        }
        self.retry_connects();
        self.process_ready();
        self.report_endings();
        // Alarms fire last, because one poll may report both a request and the idle timeout of its
        // connection, or both an established connection and its connect timeout.
        self.fire_alarms();
        out.append(&mut self.out);
        Ok(())
    }

    /// Reports the connections whose peer has closed them and that have bytes left to read.
    fn report_endings(&mut self) {
        for key in std::mem::take(&mut self.ending) {
            if self.get(key).is_some_and(|conn| conn.stage == Stage::Open && !conn.input_ended) {
                self.out.push(TcpEvent::Ending(key));
            }
        }
    }

    /// Processes the connections that are ready. Outgoing connections have bytes of their own, so that a flood of
    /// the clients does not delay the answers to them.
    fn process_ready(&mut self) {
        let ready = std::mem::take(&mut self.ready);
        let is_accepted = |key: &TcpKey| self.get(*key).is_some_and(|conn| conn.accepted);
        let (accepted, outgoing): (VecDeque<_>, VecDeque<_>) = ready.into_iter().partition(is_accepted);
        let mut left = self.process_within(outgoing);
        left.append(&mut self.process_within(accepted));
        if !left.is_empty() {
            self.counters.over_read_sum += 1;
        }
        left.append(&mut self.ready);
        self.ready = left;
    }

    /// Processes connections until [`super::TcpLimits::read_sum`] is reached. Returns the others.
    fn process_within(&mut self, mut ready: VecDeque<TcpKey>) -> VecDeque<TcpKey> {
        let share = self.limits.read_sum / ready.len().max(1);
        let quota = share.max(MIN_READ_QUOTA).min(self.limits.read_quota);
        let mut bytes_read = 0;
        while bytes_read < self.limits.read_sum {
            let Some(key) = ready.pop_front() else { break };
            bytes_read += self.process(key, quota);
        }
        ready
    }

    /// Polls once and records the reported events. Returns whether further events may have occurred by its
    /// return.
    fn poll_once(&mut self, timeout: Option<Duration>) -> io::Result<bool> {
        let began = Instant::now();
        let interrupted = match self.poll.poll(&mut self.events, timeout) {
            Ok(()) => false,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => true,
            Err(e) => return Err(e),
        };
        self.now = Instant::now();
        let result = PollResult { began, returned: self.now, timeout, interrupted };
        self.earliest_arrival = self.last_poll.record(result);
        if !interrupted {
            self.read_events();
        }
        Ok(result.is_outdated())
    }

    /// Records the readiness of the reported sockets, and accepts pending connections.
    fn read_events(&mut self) {
        let mut accept = std::mem::take(&mut self.unfinished_accepts);
        let mut ready = Vec::new();
        for event in &self.events {
            let token = event.token().0;
            if token >= SOURCES {
                self.out.push(TcpEvent::Source(token - SOURCES));
            } else if token >= LISTENERS {
                if !accept.contains(&(token - LISTENERS)) {
                    accept.push(token - LISTENERS);
                }
            } else if let Some(conn) = self.conns.get_mut(token) {
                let was_closed = conn.read_closed;
                conn.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
                conn.read_closed |= event.is_read_closed() || event.is_error();
                conn.writable |= event.is_writable() || event.is_write_closed() || event.is_error();
                if conn.accepted && conn.read_closed && !was_closed && conn.stage == Stage::Open {
                    self.ending.push(conn.key);
                }
                ready.push(token);
            }
        }
        for token in ready {
            self.make_ready(token);
        }
        if self.accept_at.is_some_and(|at| at <= self.now) {
            self.accept_at = None;
            accept = (0..self.listeners.len()).collect();
        }
        // Pending connections may have waited since accepting was last left unfinished.
        let earliest_arrival = self.earliest_arrival;
        self.earliest_arrival = self.unaccepted_since.map_or(earliest_arrival, |at| at.min(earliest_arrival));
        for index in accept {
            self.accept(index);
        }
        self.earliest_arrival = earliest_arrival;
        if self.accept_at.is_none() && self.unfinished_accepts.is_empty() {
            self.unaccepted_since = None;
        }
    }

    /// Reports the alarms that have expired, and closes connections whose internal deadline is over.
    fn fire_alarms(&mut self) {
        while let Some(&(at, key)) = self.alarms.first() {
            if at > self.now {
                return;
            }
            self.alarms.pop_first();
            let Some(conn) = self.get_mut(key) else { continue };
            if conn.alarm == Some(at) {
                conn.alarm = None;
                self.out.push(TcpEvent::Alarm(key));
            }
            let Some(conn) = self.get_mut(key) else { continue };
            if conn.deadline == Some(at) {
                conn.deadline = None;
                if conn.stage == Stage::Connecting {
                    self.counters.connect_failures += 1;
                    self.remove(key, Some(ConnectionFailure::NotConnected));
                } else if conn.stage == Stage::Lingering {
                    self.remove(key, None);
                }
            }
        }
    }
}
