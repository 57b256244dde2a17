//! The metrics endpoint, read as a scraper reads it.

mod common;
use common::*;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use nettleferry_net::grpc::Code;

fn scrape(address: SocketAddr) -> String {
    let mut socket = TcpStream::connect(address).expect("connection opened");
    socket.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
    socket.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("request sent");
    let mut text = String::new();
    socket.read_to_string(&mut text).expect("response readable as UTF-8");
    text
}

/// The value in the first line that starts with `series`: a metric name, and its labels if they are needed.
fn value(text: &str, series: &str) -> f64 {
    let line = text
        .lines()
        .find(|l| l.starts_with(series))
        .unwrap_or_else(|| panic!("no series {series} in {text}"));
    line.rsplit(' ').next().and_then(|v| v.parse().ok()).expect("a numeric value")
}

#[test]
fn idle_controller_has_all_series_and_calls_are_counted_once() {
    let fleet = Fleet::new(1, SPEC);
    let settings = format!("{SETTINGS}(tenant kalahari) (figures (scrape \"127.0.0.1:0\"))");
    let gateway = serve(&settings, &fleet.list());
    let address = gateway.scrape();
    let series_names = |text: &str| -> Vec<String> {
        let series = text.lines().filter(|l| l.starts_with("nettleferry_") && !l.contains("bucket"));
        series.filter_map(|l| l.rsplit_once(' ').map(|(name, _)| name.to_owned())).collect()
    };
    let before_calls = scrape(address);
    assert!(before_calls.contains("application/openmetrics-text; version=1.0.0"), "{before_calls}");
    assert!(before_calls.contains("nettleferry_calls_total{class=\"once\",end=\"served_late\""));
    let mut caller = Caller::new(gateway.address);
    for _ in 0..5 {
        let rpc = caller.unary("echo");
        assert_eq!(caller.status(rpc).0.code, Code::Ok);
    }
    let invalid = caller.start_rpc(client_request("ModelInfer", &climb("climb", "x", 0)));
    assert_eq!(caller.status(invalid).0.code, Code::InvalidArgument);
    let served = "nettleferry_calls_total{class=\"quick\",end=\"served_in_time\",tenant=\"none\",model_group=\"echo\"}";
    eventually("five calls are counted", || value(&scrape(address), served) == 5.0);
    let after_calls = scrape(address);
    assert_eq!(series_names(&before_calls), series_names(&after_calls));
    let rejected =
        "nettleferry_calls_total{class=\"quick\",end=\"rejected\",tenant=\"none\",model_group=\"climb\"}";
    assert_eq!(value(&after_calls, rejected), 1.0);
    assert_eq!(value(&after_calls, "nettleferry_attempts_total{reason=\"first\"}"), 6.0);
    assert_eq!(value(&after_calls, "nettleferry_answers_by_copy_total{note=\"began\"}"), 1.0);
    assert_eq!(value(&after_calls, "nettleferry_call_duration_seconds_count{class=\"quick\"}"), 5.0);
    eventually("the worker is counted as serving", || {
        value(&scrape(address), "nettleferry_workers{health=\"serving\"}") == 1.0
    });
}

#[test]
fn other_requests_than_scrapes_are_rejected() {
    let gateway = serve(&format!("{SETTINGS}(figures (scrape \"127.0.0.1:0\"))"), "");
    let address = gateway.scrape();
    let status = |request: &str| {
        let mut socket = TcpStream::connect(address).expect("connection opened");
        socket.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("socket option set");
        socket.write_all(request.as_bytes()).expect("request sent");
        let mut text = String::new();
        socket.read_to_string(&mut text).expect("response readable as UTF-8");
        text.split(' ').nth(1).expect("a status line").to_owned()
    };
    assert_eq!(status("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "404");
    assert_eq!(status("PUT /metrics HTTP/1.1\r\nConnection: close\r\n\r\n"), "405");
    assert_eq!(status("\0\0\r\n\r\n"), "400");
}
