//! `hollow`: runs simulated peers for scale runs. They follow a protocol and its timing but do no work, so that one
//! process can run thousands of them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::{Args, Subcommand};
use nettleferry_hollow::process::Machine;
use nettleferry_hollow::{controllers, followers};

use super::console::read_file;
use super::error::{CommandError, UsageError};
use super::exit_code;

/// Run hollow peers, which follow a protocol and its timing but do no work; print JSON lines until standard input ends.
#[derive(Args)]
pub(crate) struct Hollow {
    #[command(subcommand)]
    role: Role,
}

#[derive(Subcommand)]
enum Role {
    /// Run controllers that follow an administration
    Followers(FollowersCommand),
    /// Run controllers that connect to a worker, and make calls and probes
    Controllers(ControllersCommand),
}

#[derive(Args)]
struct FollowersCommand {
    /// Address of the administration API
    #[arg(long, value_name = "ADDR:PORT")]
    administration: SocketAddr,
    /// API key with the role controller, NAME.SECRET, or a file that contains it
    #[arg(long, value_name = "TOKEN|FILE", env = "NETTLEFERRY_KEY", hide_env_values = true)]
    key: String,
    /// Number of followers
    #[arg(long)]
    count: u32,
    /// Controller number of the first follower; the others are numbered consecutively
    #[arg(long, default_value_t = 1)]
    first_number: u32,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// End after this many seconds; by default when standard input closes
    #[arg(long)]
    seconds: Option<u64>,
    /// Time over which the first requests are spread, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 1_000)]
    begin_within: u64,
    /// Continue to serve without a lease, like a controller with the setting (without-lease serve)
    #[arg(long)]
    goes_on: bool,
    /// Probability that a request or a response is lost; it arrives 200 ms later, like a TCP retransmission
    #[arg(long, value_name = "P", default_value_t = 0.0)]
    loss: f64,
    /// One-way delay in addition to that of loopback, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 0)]
    delay: u64,
}

#[derive(Args)]
struct ControllersCommand {
    /// Address of the worker
    #[arg(long, value_name = "ADDR:PORT")]
    worker: SocketAddr,
    /// Number of controllers
    #[arg(long)]
    count: u32,
    /// Controller number of the first controller; the others are numbered consecutively
    #[arg(long, default_value_t = 1)]
    first_number: u32,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// End after this many seconds; by default when standard input closes
    #[arg(long)]
    seconds: Option<u64>,
    /// Time over which connections are opened, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 1_000)]
    begin_within: u64,
    /// Calls per second of all controllers together
    #[arg(long, value_name = "R", default_value_t = 0.0)]
    calls_per_second: f64,
    /// Probes per second of all controllers together
    #[arg(long, value_name = "R", default_value_t = 0.0)]
    probes_per_second: f64,
    /// Name of the called model
    #[arg(long, default_value = "echo")]
    model: String,
    /// Deadline of a call, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 4_000)]
    deadline: u64,
}

impl Hollow {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        match self.role {
            Role::Followers(followers) => followers.run(),
            Role::Controllers(controllers) => controllers.run(),
        }
    }
}

impl FollowersCommand {
    fn run(self) -> Result<u8, CommandError> {
        let settings = followers::Settings {
            administration: self.administration,
            token: token(&self.key)?,
            count: self.count,
            first_number: self.first_number,
            seed: self.seed,
            duration: self.seconds.map(Duration::from_secs),
            begin_within: Duration::from_millis(self.begin_within),
            serves_without_lease: self.goes_on,
            loss: self.loss,
            delay: Duration::from_millis(self.delay),
        };
        settings.check(Machine::read()).map_err(UsageError::HollowPeers)?;
        let followers = followers::Followers::new(settings)
            .map_err(CommandError::system("can't start the hollow followers"))?;
        let result = followers.run(std::io::stdin(), std::io::stdout());
        result.map_err(CommandError::system("the run of hollow followers failed"))?;
        Ok(exit_code::SUCCESS)
    }
}

impl ControllersCommand {
    fn run(self) -> Result<u8, CommandError> {
        let settings = controllers::Settings {
            worker: self.worker,
            count: self.count,
            first_number: self.first_number,
            seed: self.seed,
            duration: self.seconds.map(Duration::from_secs),
            begin_within: Duration::from_millis(self.begin_within),
            calls_per_second: self.calls_per_second,
            probes_per_second: self.probes_per_second,
            model: self.model,
            deadline: Duration::from_millis(self.deadline),
        };
        settings.check(Machine::read()).map_err(UsageError::HollowPeers)?;
        let controllers = controllers::Controllers::new(settings)
            .map_err(CommandError::system("can't start the hollow controllers"))?;
        let result = controllers.run(std::io::stdin(), std::io::stdout());
        result.map_err(CommandError::system("the run of hollow controllers failed"))?;
        Ok(exit_code::SUCCESS)
    }
}

/// Returns `key` itself, or the content of the file if `key` is the path of one.
fn token(key: &str) -> Result<String, CommandError> {
    let path = Path::new(key);
    if path.is_file() { Ok(read_file(path)?.trim().to_owned()) } else { Ok(key.to_owned()) }
}
