//! Reads the sockets and passes the resulting events to the engine, in a fixed order.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nettleferry::ListForm;
use nettleferry_engine::{ClientDisconnect, Event, FinalAnswer, NewCall, Refusal};
use nettleferry_net::tcp::{ConnectionFailure, TcpEvent, TcpKey};
use tracing::info;

use super::{Node, PendingEvents, SIGNALS};
use crate::front::{ClientEvent, FrontContext, IncomingRequest};
use crate::limits::{OPENS_PER_ITERATION, time_before_kill};
use crate::pools::PoolContext;
use crate::reasons::{CloseReason, EndReason};

/// The answer to a request that has no time left when it is to be opened.
const NO_TIME_LEFT: FinalAnswer = FinalAnswer::Refused { reason: Refusal::NoCapacity, retry_after: None };

impl Node {
    /// Reads the sockets of these events. Nothing is passed to the engine or forwarded yet.
    pub(super) fn read_events(&mut self, mut events: Vec<TcpEvent>) -> PendingEvents {
        let mut pending = PendingEvents { list: self.discovery.has_more(), ..PendingEvents::default() };
        // New connections come last: at the connection limit each one evicts another, and the choice depends
        // on what was read from the others.
        let new: BTreeSet<TcpKey> = events.iter().filter_map(accepted).collect();
        let is_new = |event: &TcpEvent| event.key().is_some_and(|key| new.contains(&key));
        for event in events.iter().filter(|event| !is_new(event)) {
            self.read_event(*event, &mut pending);
        }
        for event in events.drain(..).filter(is_new) {
            self.read_event(event, &mut pending);
        }
        let (tcp, events_of_clients, counters) = (&mut self.tcp, &mut self.client_events, &mut self.counters);
        self.front.close_stalled_frames(&mut FrontContext { tcp, events: events_of_clients, counters });
        self.tcp_events = events;
        pending
    }

    fn read_event(&mut self, event: TcpEvent, pending: &mut PendingEvents) {
        let client = event.key().is_some_and(|key| self.front.owns(key));
        if client && matches!(event, TcpEvent::Data(_)) || matches!(event, TcpEvent::Accepted(_)) {
            self.last_client_activity = Instant::now();
        }
        match event {
            TcpEvent::Accepted(key) => self.front.accepted(&mut self.tcp, key, &mut self.counters),
            TcpEvent::Connected(key) => pending.connected.push(key),
            TcpEvent::Source(SIGNALS) => self.handle_signal_wakeup(),
            TcpEvent::Source(_) => pending.list = true,
            event if client => self.read_client_event(event),
            event => self.read_invoker_event(event),
        }
    }

    fn read_client_event(&mut self, event: TcpEvent) {
        let (tcp, events, counters) = (&mut self.tcp, &mut self.client_events, &mut self.counters);
        let context = &mut FrontContext { tcp, events, counters };
        match event {
            TcpEvent::Data(key) => self.front.data(context, key),
            TcpEvent::Alarm(key) => self.front.alarm_due(context, key),
            TcpEvent::Ending(key) => self.front.client_disconnecting(context, key),
            TcpEvent::Ended(key) => {
                self.front.close_after_answers(context, key, CloseReason::ClientEnded);
            }
            TcpEvent::Closed(key, _) => self.front.connection_closed(context, key),
            TcpEvent::Accepted(_) | TcpEvent::Connected(_) | TcpEvent::Source(_) => {}
        }
    }

    fn read_invoker_event(&mut self, event: TcpEvent) {
        let (tcp, events, counters) = (&mut self.tcp, &mut self.engine_events, &mut self.counters);
        let context = &mut PoolContext { tcp, events, counters };
        match event {
            TcpEvent::Data(key) => self.pools.data(context, key),
            TcpEvent::Alarm(key) => self.pools.alarm_due(context, key),
            TcpEvent::Ended(key) => {
                self.pools.connection_closed(context, key, ConnectionFailure::Broken);
                context.tcp.close(key);
            }
            TcpEvent::Closed(key, reason) => self.pools.connection_closed(context, key, reason),
            TcpEvent::Accepted(_) | TcpEvent::Connected(_) | TcpEvent::Ending(_) | TcpEvent::Source(_) => {}
        }
    }

    /// Handles the events of one iteration, in the order described at [`Node::iterate`].
    pub(super) fn dispatch(&mut self, pending: PendingEvents) {
        self.dispatch_client_events();
        if pending.list {
            self.dispatch_list();
        }
        self.run_engine();
        for key in pending.connected {
            let (is_awaited, now) = (|call| self.front.is_awaited(call), self.clock.now());
            let (tcp, events, counters) = (&mut self.tcp, &mut self.engine_events, &mut self.counters);
            let context = &mut PoolContext { tcp, events, counters };
            self.pools.connected(context, key, now, is_awaited);
            self.run_engine();
        }
        if !self.requests.is_empty() {
            self.dispatch_requests();
        }
    }

    fn dispatch_client_events(&mut self) {
        let mut clients = Vec::new();
        for event in self.client_events.drain(..) {
            match event {
                // The connection may have broken since: then no answer can be sent.
                ClientEvent::Disconnected(client) => {
                    let expects_answer = client.expects_answer && self.front.is_awaited(client.call);
                    clients.push(ClientDisconnect { expects_answer, ..client });
                }
                ClientEvent::Request(request) => self.requests.push(request),
            }
        }
        if !clients.is_empty() {
            self.send_to_engine(Event::ClientsDisconnected { clients });
        }
    }

    fn dispatch_list(&mut self) {
        let list = self.discovery.receive(&mut self.counters);
        self.pools.list_confirmed(self.discovery.confirmed_at());
        let Some(list) = list else { return };
        info!(serial = list.serial, invokers = list.invokers.len(), "invoker list changed");
        self.apply_list(ListForm::Complete, &list);
    }

    fn dispatch_requests(&mut self) {
        self.send_to_engine(Event::Tick);
        self.run_engine();
        self.write_queued();
        // Drops requests that were cancelled after they were read. A flood of them would otherwise use up the
        // requests opened per iteration and delay all requests behind them.
        self.requests.retain(|request| self.front.is_waiting(request.token));
        for _ in 0..OPENS_PER_ITERATION {
            let Some(request) = self.requests.pop() else { break };
            self.open_request(request);
        }
        self.run_engine();
    }

    fn open_request(&mut self, request: IncomingRequest) {
        let token = request.token;
        if !self.front.is_waiting(token) {
            return;
        }
        // Read the clock once: the process may be suspended between two reads, and the results would not
        // match.
        let now = Instant::now();
        let waited = now.saturating_duration_since(request.arrived).as_micros() as u64;
        self.counters.longest_read_delay = self.counters.longest_read_delay.max(waited);
        let time_left = self.limit_to_kill(now, request.time_left.saturating_sub(waited));
        self.front.limit_deadline(token, now + Duration::from_micros(time_left));
        if time_left == 0 {
            // An attempt could not be answered in time. Nothing has run, so the client may safely retry
            // elsewhere.
            let (tcp, counters) = (&mut self.tcp, &mut self.counters);
            let reason = EndReason::NoTime;
            return self.front.answer_with_reason(tcp, token, &NO_TIME_LEFT, reason, counters);
        }
        let new_call = NewCall {
            front_token: token.0,
            class: request.class,
            tenant: request.tenant,
            model: request.function,
            version: Arc::from(""),
            time_left,
            cost_hint: request.cost_hint,
            lanes: request.lanes,
            load_time: request.load_time,
            is_retry: request.is_retry,
            has_idempotency_key: request.has_idempotency_key,
            group: 0,
            streamed: false,
            body: request.body,
        };
        let call = self.engine.open(self.clock.at(now), new_call, &mut self.commands);
        self.front.opened(token, call);
        self.execute_commands();
    }

    /// Returns the time left for a call in microseconds. For a request that arrives late after SIGTERM it is
    /// limited to the time until the platform may kill this process, so that the request is still answered.
    fn limit_to_kill(&mut self, now: Instant, time_left: u64) -> u64 {
        let Some(since) = self.kill_counts_from else { return time_left };
        let limited = time_before_kill(since, now, self.longest_deadline, time_left);
        self.counters.after_end += u64::from(limited < time_left);
        limited
    }
}

fn accepted(event: &TcpEvent) -> Option<TcpKey> {
    if let TcpEvent::Accepted(key) = event { Some(*key) } else { None }
}
