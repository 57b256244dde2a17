//! A controller that is asked to end leaves when its clients have their responses, and not because of clients that are
//! owed nothing.

mod common;
use common::*;

use std::time::{Duration, Instant};

use nettleferry_net::grpc::Code;
use nettleferry_test_servers::ObservationKind;

/// Size of a large response: more than the buffers of sockets and streams hold.
const LARGE: usize = 8 << 20;
/// How long a client does not read after the signal. It is longer than the time that clients without undelivered
/// responses have to close their connections.
const NOT_READING: Duration = Duration::from_secs(2);
const QUICK: &str = "(listen \"127.0.0.1:0\") (cores 8) (model \"\" (lanes 64) (load-time 1ms) (work 50ms))";

fn is_answered(observation: &ObservationKind) -> bool {
    matches!(observation, ObservationKind::Answered { .. })
}

/// A controller with one worker that has answered a large call of each of some clients, which have read nothing of it.
struct Answered {
    gateway: Program,
    _fleet: Fleet,
    clients: Vec<(Caller, u64)>,
}

impl Answered {
    fn new(settings: &str, models: &[&str]) -> Self {
        let mut fleet = Fleet::new(1, QUICK);
        let gateway = serve(settings, &fleet.list());
        let mut clients = Vec::new();
        for model in models {
            let mut caller = Caller::new(gateway.address);
            let rpc = caller.start_rpc(client_request("ModelInfer", &echo(model, "large", LARGE)));
            caller.client.set_reading(rpc, false);
            clients.push((caller, rpc));
        }
        eventually("the worker has answered all calls", || {
            clients.iter_mut().for_each(|(caller, _)| caller.poll_once());
            fleet.count(is_answered) == models.len()
        });
        Self { gateway, _fleet: fleet, clients }
    }

    /// Asks the controller to end, and waits until it drains.
    fn terminate(&self) {
        self.gateway.signal("TERM");
        eventually("the gateway drains", || std::net::TcpStream::connect(self.gateway.address).is_err());
    }
}

/// Guards against responses that are lost because the process ends while its clients still read them.
#[test]
fn responses_that_clients_read_late_are_complete_before_the_process_ends() {
    let mut answered = Answered::new(SETTINGS, &["echo", "echo-once", "echo", "echo-once"]);
    answered.terminate();
    let until = Instant::now() + NOT_READING;
    while Instant::now() < until {
        answered.clients.iter_mut().for_each(|(caller, _)| caller.poll_once());
    }
    for (caller, rpc) in &mut answered.clients {
        caller.client.set_reading(*rpc, true);
        assert!(caller.message(*rpc).len() > LARGE);
        assert_eq!(caller.status(*rpc).0.code, Code::Ok);
    }
    eventually("the end of the process", || {
        answered.clients.iter_mut().for_each(|(caller, _)| caller.poll_once());
        answered.gateway.has_ended()
    });
    assert_eq!(answered.gateway.wait().code(), Some(0));
}

/// Guards against a call without a status, because it is sent by a client that has yet to read GOAWAY while a response is
/// still being sent on its connection.
#[test]
fn call_that_crosses_go_away_is_refused_while_a_response_drains() {
    let mut answered = Answered::new(SETTINGS, &["echo"]);
    answered.terminate();
    let (mut caller, rpc) = answered.clients.remove(0);
    // The client sends the request before it reads what has arrived.
    let late = caller.unary("echo-once");
    assert_eq!(caller.status(late).0.code, Code::Unavailable);
    caller.client.set_reading(rpc, true);
    assert!(caller.message(rpc).len() > LARGE);
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
    caller.until("the end of the process", || answered.gateway.has_ended());
    assert_eq!(answered.gateway.wait().code(), Some(0));
}

/// Guards against a client that takes nothing and so keeps the process, or the responses of others, for ever.
#[test]
fn client_that_stops_reading_is_given_up_and_others_get_their_responses() {
    let settings = format!("{SETTINGS}(limits (drain 3s))");
    let mut answered = Answered::new(&settings, &["echo", "echo"]);
    answered.terminate();
    let (_stopped, (mut sound, rpc)) = (answered.clients.remove(0), answered.clients.remove(0));
    sound.client.set_reading(rpc, true);
    assert_eq!(sound.status(rpc).0.code, Code::Ok);
    sound.until("the end of the process", || answered.gateway.has_ended());
    assert_eq!(answered.gateway.wait().code(), Some(130), "a response was lost");
    let log = answered.gateway.log();
    assert!(log.contains("clients given up"), "{log}");
}

/// Guards against a client that is owed nothing and holds up the end of the process.
#[test]
fn client_that_is_owed_nothing_does_not_hold_up_the_shutdown() {
    let fleet = Fleet::new(1, QUICK);
    let settings = format!("{SETTINGS}(limits (drain 25s))");
    let mut gateway = serve(&settings, &fleet.list());
    // A client whose call was answered before, and that reacts to nothing from now on.
    let mut idle = Caller::new(gateway.address);
    let rpc = idle.unary("echo");
    assert_eq!(idle.status(rpc).0.code, Code::Ok);
    let asked = Instant::now();
    gateway.signal("TERM");
    assert_eq!(gateway.wait().code(), Some(0));
    assert!(
        asked.elapsed() < Duration::from_secs(10),
        "it did not wait for the client: {:?}",
        asked.elapsed()
    );
}

/// Guards against a drain that waits for the response of a call that its client has cancelled.
#[test]
fn response_that_is_cancelled_while_it_drains_is_not_waited_for() {
    let mut answered = Answered::new(SETTINGS, &["echo"]);
    answered.terminate();
    let (mut caller, rpc) = answered.clients.remove(0);
    caller.client.cancel(rpc);
    caller.until("the end of the process", || answered.gateway.has_ended());
    assert_eq!(answered.gateway.wait().code(), Some(0));
}
