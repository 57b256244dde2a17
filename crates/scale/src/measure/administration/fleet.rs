//! The processes of the measure: an administration, real followers, and processes of hollow followers.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nettleferry_hollow::followers::report::Summary;
use nettleferry_hollow::report::Line;
use rand::RngExt;

use super::Script;
use super::api::Api;
use crate::children::ChildId;
use crate::context::Context;
use crate::measure::MeasureError;

/// Maximum number of hollow followers in one process.
pub const FOLLOWERS_PER_PROCESS: u64 = 500;
/// Time within which a process must print an expected line, and all followers must have a lease.
const PATIENCE: Duration = Duration::from_secs(30);
/// Interval at which the number of leases is polled.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Settings shared by all real processes. The worker list is empty because the measure makes no calls.
const SETTINGS: &str = "(listen (grpc \"127.0.0.1:0\"))\n(workers (file \"workers.sexp\"))\n\
    (class quick (effect safe) (aim 1s) (deadline 20s))\n(model \"echo\" (class quick) (lanes 64))\n";

/// The running processes of the measure.
pub struct Fleet {
    /// Process of the administration.
    pub administration: ChildId,
    /// Client of the administration's API.
    pub api: Api,
    /// Processes of real followers, one each.
    pub real: Vec<ChildId>,
    /// Processes of hollow followers, up to [`FOLLOWERS_PER_PROCESS`] each.
    pub hollow: Vec<ChildId>,
    address: SocketAddr,
    key_file: PathBuf,
}

/// An API key: the token of the client, and the form for the administration's settings.
struct ApiKey {
    token: String,
    settings: String,
}

impl Fleet {
    /// Starts the administration and creates the tenants of the script.
    pub fn start(script: &Script, size: u64, context: &mut Context<'_>) -> Result<Self, MeasureError> {
        let (admin, follower) =
            (generate_key("scale", "admin", context)?, generate_key("fleet", "controller", context)?);
        let key_file = context.folder().join("key");
        write(&key_file, &follower.token)?;
        let controllers = size + u64::from(script.real) + 1;
        let settings = format!(
            "(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") (lease {}us) {} {})\n\
             (controller (number 0) (of {controllers}))\n",
            script.lease, admin.settings, follower.settings
        );
        let administration = serve("administration", &settings, context)?;
        let address = address(administration, "listening admin ", context)?;
        let mut api = Api::new(address, &admin.token)?;
        for n in 0..script.tenants {
            api.create(&tenant(n), context)?;
        }
        Ok(Self { administration, api, real: Vec::new(), hollow: Vec::new(), address, key_file })
    }

    /// Starts all followers and waits until each has a lease.
    pub fn start_followers(
        &mut self,
        script: &Script,
        size: u64,
        context: &mut Context<'_>,
    ) -> Result<(), MeasureError> {
        let controllers = size + u64::from(script.real) + 1;
        for number in 1..=script.real {
            let settings = format!(
                "(admin (follow \"{}\") (key-file \"{}\") (kept \"kept.json\") (without-lease refuse))\n\
                 (controller (number {number}) (of {controllers}))\n",
                self.address,
                self.key_file.display()
            );
            let child = serve(&format!("follower-{number}"), &settings, context)?;
            address(child, "listening grpc ", context)?;
            self.real.push(child);
        }
        let mut started = 0;
        while started < size {
            let count = FOLLOWERS_PER_PROCESS.min(size - started);
            let child = self.start_hollow(count, u64::from(script.real) + 1 + started, context)?;
            self.hollow.push(child);
            started += count;
        }
        self.wait_for_leases(size + u64::from(script.real), context)
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

    fn wait_for_leases(&mut self, wanted: u64, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let until = std::time::Instant::now() + PATIENCE;
        loop {
            let leases = self.api.leases(context)?;
            if leases >= wanted {
                return Ok(());
            }
            if std::time::Instant::now() > until {
                let what = format!("{leases} of {wanted} followers have a lease after {PATIENCE:?}");
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
        self.hollow.iter().map(|child| summary(*child, context)).collect()
    }
}

/// Name of the `n`th tenant.
pub fn tenant(n: u64) -> String {
    format!("tenant-{n}")
}

/// Generates an API key with the program's `admin key` command.
fn generate_key(name: &str, role: &str, context: &mut Context<'_>) -> Result<ApiKey, MeasureError> {
    let child = context.children.start(&format!("key {name}"), ["admin", "key", name, role])?;
    let (mut token, mut settings) = (None, None);
    while token.is_none() || settings.is_none() {
        let line = context.children.next_line(child, PATIENCE)?;
        token = token.or(line.strip_prefix("token: ").map(str::to_owned));
        settings = settings.or(line.strip_prefix("settings: ").map(str::to_owned));
    }
    context.children.stop(child);
    Ok(ApiKey { token: token.unwrap_or_default(), settings: settings.unwrap_or_default() })
}

/// Starts a `serve` process in its own folder.
fn serve(label: &str, settings: &str, context: &mut Context<'_>) -> Result<ChildId, MeasureError> {
    let folder = context.folder().join(label);
    fs::create_dir_all(&folder).map_err(MeasureError::system("a folder for files"))?;
    write(&folder.join("workers.sexp"), "")?;
    let file = folder.join("settings.sexp");
    write(&file, &format!("{SETTINGS}{settings}"))?;
    context.children.start(label, [Path::new("serve"), &file])
}

/// Reads a process's output up to the line that begins with `words`, and returns the address that follows them.
fn address(child: ChildId, words: &str, context: &mut Context<'_>) -> Result<SocketAddr, MeasureError> {
    loop {
        let line = context.children.next_line(child, PATIENCE)?;
        let address = line.strip_prefix(words).map(|address| address.parse());
        match address {
            Some(Ok(address)) => return Ok(address),
            Some(Err(_)) => {
                return Err(context
                    .children
                    .child_error(child, &format!("no address in the output: {line}")));
            }
            None => {}
        }
    }
}

fn summary(child: ChildId, context: &mut Context<'_>) -> Result<Summary, MeasureError> {
    loop {
        let line = context.children.next_line(child, PATIENCE)?;
        match serde_json::from_str::<Line>(&line) {
            Ok(Line::FollowersSummary(summary)) => return Ok(*summary),
            Ok(_) => {}
            Err(error) => return Err(context.children.child_error(child, &format!("{error}: {line}"))),
        }
    }
}

fn write(path: &Path, text: &str) -> Result<(), MeasureError> {
    fs::write(path, text).map_err(MeasureError::system(format!("can't write {}", path.display())))
}
