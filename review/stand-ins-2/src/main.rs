//! Stand-ins of the second review. Each subcommand is one process of a case's script.
//!
//! All records are lines of `TIME WHO WHAT key=value ...`, where TIME is in milliseconds since 1970.

mod client;
mod worker;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// The options of a subcommand, `--name value`.
pub struct Options(BTreeMap<String, String>);

impl Options {
    /// The value of an option; ends the process if it is missing.
    pub fn text(&self, name: &str) -> &str {
        self.0.get(name).unwrap_or_else(|| panic!("--{name} is missing"))
    }

    /// The value of an option, or a default.
    pub fn text_or<'a>(&'a self, name: &str, default: &'a str) -> &'a str {
        self.0.get(name).map_or(default, String::as_str)
    }

    /// The number that an option states, or a default.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        self.0.get(name).map_or(default, |value| value.parse().expect("a number"))
    }
}

/// The wall clock, in milliseconds since 1970.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_millis() as u64
}

/// Writes one line of the record to standard output.
pub fn record(line: &str) {
    println!("{} {line}", now_ms());
}

fn free_ports(count: usize) {
    let sockets: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    for socket in sockets {
        println!("{}", socket.local_addr().expect("a local address").port());
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let command = arguments.next().unwrap_or_default();
    let mut options = BTreeMap::new();
    while let Some(name) = arguments.next() {
        let name = name.strip_prefix("--").expect("an option").to_owned();
        options.insert(name, arguments.next().unwrap_or_default());
    }
    let options = Options(options);
    match command.as_str() {
        "ports" => free_ports(options.number("count", 1) as usize),
        "now" => println!("{}", now_ms()),
        "worker" => worker::run(&options),
        "client" => client::run(&options),
        "pair" => client::run_pair(&options),
        other => {
            eprintln!("unknown subcommand {other:?}");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
