//! The child processes of the measure: an administration, real followers, and processes of hollow followers.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nettleferry_hollow::followers::report::Summary;
use nettleferry_hollow::report::Line;
use rand::RngExt;

use super::Parameters;
use super::api::Api;
use crate::children::ChildId;
use crate::context::Context;
use crate::measure::MeasureError;

/// Maximum number of hollow followers in one process.
pub const FOLLOWERS_PER_PROCESS: u64 = 500;
/// Time within which a process must print an expected line, and within which all followers must get a lease.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the number of leases is polled.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Settings that all real processes have in common. The worker list is empty because the measure makes no calls.
const SETTINGS: &str = "(listen (grpc \"127.0.0.1:0\"))\n(workers (file \"workers.sexp\"))\n\
    (class quick (effect safe) (aim 1s) (deadline 20s))\n(model \"echo\" (class quick) (lanes 64))\n";

/// The running processes of the measure.
pub struct Fleet {
    /// Process of the administration.
    pub administration: ChildId,
    /// Client of the administration's API.
    pub api: Api,
    /// Processes of the real followers, each with one follower.
    pub real: Vec<ChildId>,
    /// Processes of the hollow followers, each with up to [`FOLLOWERS_PER_PROCESS`] of them.
    pub hollow: Vec<ChildId>,
    /// Address of the administration's API.
    address: SocketAddr,
    /// File with the token of the followers.
    key_file: PathBuf,
}

/// An API key.
struct ApiKey {
    /// Token with which a client authenticates.
    token: String,
    /// Form that admits the key in the settings of the administration.
    settings: String,
}

impl Fleet {
    /// Starts the administration and creates the tenants.
    pub fn start(
        parameters: &Parameters,
        size: u64,
        context: &mut Context<'_>,
    ) -> Result<Self, MeasureError> {
        let admin_key = generate_key("scale", "admin", context)?;
        let follower_key = generate_key("fleet", "controller", context)?;
        let key_file = context.folder().join("key");
        write(&key_file, &follower_key.token)?;
        let controllers = size + u64::from(parameters.real) + 1;
        let settings = format!(
            "(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") (lease {}us) {} {})\n\
             (controller (number 0) (of {controllers}))\n",
            parameters.lease, admin_key.settings, follower_key.settings
        );
        let administration = serve("administration", &settings, context)?;
        let address = read_address(administration, "listening admin ", context)?;
        let mut api = Api::new(address, &admin_key.token)?;
        for n in 0..parameters.tenants {
            api.create_tenant(&tenant_name(n), context)?;
        }
        Ok(Self { administration, api, real: Vec::new(), hollow: Vec::new(), address, key_file })
    }

    /// Starts all followers and waits until each has a lease. `size` is the number of hollow followers.
    pub fn start_followers(
        &mut self,
        parameters: &Parameters,
        size: u64,
        context: &mut Context<'_>,
    ) -> Result<(), MeasureError> {
        let controllers = size + u64::from(parameters.real) + 1;
        for number in 1..=parameters.real {
            let settings = format!(
                "(admin (follow \"{}\") (key-file \"{}\") (kept \"kept.json\") (without-lease refuse))\n\
                 (controller (number {number}) (of {controllers}))\n",
                self.address,
                self.key_file.display()
            );
            let child = serve(&format!("follower-{number}"), &settings, context)?;
            read_address(child, "listening grpc ", context)?;
            self.real.push(child);
        }
        let mut started = 0;
        while started < size {
            let count = FOLLOWERS_PER_PROCESS.min(size - started);
            let child = self.start_hollow(count, u64::from(parameters.real) + 1 + started, context)?;
            self.hollow.push(child);
            started += count;
        }
        self.wait_for_leases(size + u64::from(parameters.real), context)
    }

    fn start_hollow(
        &self,
        count: u64,
        first_number: u64,
        context: &mut Context<'_>,
    ) -> Result<ChildId, MeasureError> {
        let seed = context.random.random::<u32>();
        let arguments = [
            "hollow".to_owned(),
            "followers".to_owned(),
            format!("--administration={}", self.address),
            format!("--key={}", self.key_file.display()),
            format!("--count={count}"),
            format!("--first-number={first_number}"),
            format!("--seed={seed}"),
        ];
        context.children.start(&format!("hollow followers from {first_number}"), arguments)
    }

    fn wait_for_leases(&mut self, expected: u64, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        loop {
            let leases = self.api.leases(context)?;
            if leases >= expected {
                return Ok(());
            }
            if Instant::now() > deadline {
                let what =
                    format!("{leases} of {expected} followers have a lease after {RESPONSE_TIMEOUT:?}");
                return Err(context.children.child_error(self.administration, &what));
            }
            context.wait(LEASE_POLL_INTERVAL)?;
        }
    }

    /// Requests the counts of the hollow followers since the last request, one summary for each process.
    pub fn summaries(&self, context: &mut Context<'_>) -> Result<Vec<Summary>, MeasureError> {
        for child in &self.hollow {
            context.children.write_line(*child, "summary")?;
        }
        self.hollow.iter().map(|child| read_summary(*child, context)).collect()
    }
}

/// Name of the tenant with this number, counted from 0.
pub fn tenant_name(n: u64) -> String {
    format!("tenant-{n}")
}

/// Generates an API key with the command `admin key`.
fn generate_key(name: &str, role: &str, context: &mut Context<'_>) -> Result<ApiKey, MeasureError> {
    let child = context.children.start(&format!("key {name}"), ["admin", "key", name, role])?;
    let (mut token, mut settings) = (None, None);
    while token.is_none() || settings.is_none() {
        let line = context.children.next_line(child, RESPONSE_TIMEOUT)?;
        token = token.or(line.strip_prefix("token: ").map(str::to_owned));
        settings = settings.or(line.strip_prefix("settings: ").map(str::to_owned));
    }
    context.children.stop(child);
    Ok(ApiKey { token: token.unwrap_or_default(), settings: settings.unwrap_or_default() })
}

/// Starts a `serve` process with a folder of its own, which is named by `label`.
fn serve(label: &str, settings: &str, context: &mut Context<'_>) -> Result<ChildId, MeasureError> {
    let folder = context.folder().join(label);
    fs::create_dir_all(&folder)
        .map_err(MeasureError::system(format!("can't create {}", folder.display())))?;
    write(&folder.join("workers.sexp"), "")?;
    let file = folder.join("settings.sexp");
    write(&file, &format!("{SETTINGS}{settings}"))?;
    context.children.start(label, [Path::new("serve"), &file])
}

/// Reads the output of a process up to the line that begins with `prefix`, and returns the address that follows it.
fn read_address(child: ChildId, prefix: &str, context: &mut Context<'_>) -> Result<SocketAddr, MeasureError> {
    loop {
        let line = context.children.next_line(child, RESPONSE_TIMEOUT)?;
        let address = line.strip_prefix(prefix).map(|address| address.parse());
        match address {
            Some(Ok(address)) => return Ok(address),
            Some(Err(_)) => {
                return Err(context
                    .children
                    .child_error(child, &format!("invalid address in the output line {line:?}")));
            }
            None => {}
        }
    }
}

/// Reads the output of a process of hollow followers up to its next summary.
fn read_summary(child: ChildId, context: &mut Context<'_>) -> Result<Summary, MeasureError> {
    loop {
        let line = context.children.next_line(child, RESPONSE_TIMEOUT)?;
        match serde_json::from_str::<Line>(&line) {
            Ok(Line::FollowersSummary(summary)) => return Ok(*summary),
            Ok(_) => {}
            Err(error) => {
                return Err(context
                    .children
                    .child_error(child, &format!("can't parse the output line {line:?}: {error}")));
            }
        }
    }
}

fn write(path: &Path, text: &str) -> Result<(), MeasureError> {
    fs::write(path, text).map_err(MeasureError::system(format!("can't write {}", path.display())))
}
