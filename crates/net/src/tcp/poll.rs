//! One iteration of the event loop: flush, poll, read, and alarms.

use std::io;
use std::time::{Duration, Instant};

use super::connection::Stage;
use super::last_poll::PollResult;
use super::{ConnectionFailure, LISTENERS, SOURCES, Tcp, TcpEvent};
use crate::clock::shorter_timeout;

/// A poll that was interrupted, or overslept, is followed by so many at the most that do not sleep: each may be interrupted
/// in its turn.
const MAX_SECOND_POLLS: usize = 8;

impl Tcp {
    /// One iteration: writes what is queued, polls (for at most `timeout`, and less where something is due), and reads what
    /// has arrived. Appends what happened to `out`.
    pub fn poll(&mut self, timeout: Option<Duration>, out: &mut Vec<TcpEvent>) -> io::Result<()> {
        self.now = Instant::now();
        for key in std::mem::take(&mut self.to_remove) {
            self.remove(key, None);
        }
        self.flush_all();
        let busy = !self.out.is_empty() || !self.ready.is_empty() || !self.unfinished_accepts.is_empty();
        let alarm = self.alarms.first().map(|(at, _)| *at);
        let connect_retry = self.connect_retries.first().map(|(at, _)| *at);
        let due = [alarm, connect_retry, self.accept_at];
        let wait = if busy { Some(Duration::ZERO) } else { shorter_timeout(timeout, self.now, &due) };
        let mut outdated = self.poll_once(wait)?;
        // Whoever acts on what is due acts on what has come by then, such as the end of a client.
        for _ in 0..MAX_SECOND_POLLS {
            if !outdated {
                break;
            }
            let earliest_arrival = self.earliest_arrival;
            outdated = self.poll_once(Some(Duration::ZERO))?;
            // What the polls before have reported is read with the rest.
            self.earliest_arrival = self.earliest_arrival.min(earliest_arrival);
        }
        self.retry_connects();
        for _ in 0..self.ready.len() {
            let Some(key) = self.ready.pop_front() else { break };
            self.process(key);
        }
        // Alarms come last: a request and the end of its connection's idle time may fall into one poll, and a connection
        // may have been established in the poll in which its time is over.
        self.fire_alarms();
        out.append(&mut self.out);
        Ok(())
    }

    /// Polls once, and notes what is reported. Returns whether more may have come by the time of its return.
    fn poll_once(&mut self, wait: Option<Duration>) -> io::Result<bool> {
        let began = Instant::now();
        let interrupted = match self.poll.poll(&mut self.events, wait) {
            Ok(()) => false,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => true,
            Err(e) => return Err(e),
        };
        self.now = Instant::now();
        let result = PollResult { began, returned: self.now, wait, interrupted };
        self.earliest_arrival = self.last_poll.record(result);
        if !interrupted {
            self.read_events();
        }
        Ok(result.is_outdated())
    }

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
                conn.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
                conn.read_closed |= event.is_read_closed() || event.is_error();
                conn.writable |= event.is_writable() || event.is_write_closed() || event.is_error();
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
        // What waited to be accepted has waited since accepting was last left unfinished.
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
