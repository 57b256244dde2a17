//! `hollow`: peers for scale runs that keep to a protocol and do no work, thousands in one process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::{Args, Subcommand};
use nettleferry_hollow::process::Machine;
use nettleferry_hollow::{controllers, followers};

use super::console::read_file;
use super::error::{CommandError, UsageError};
use super::exit_code;

/// Run hollow peers: they keep to a protocol and its timing and do no work; JSON lines, until standard input closes.
#[derive(Args)]
pub(crate) struct Hollow {
    #[command(subcommand)]
    role: Role,
}

#[derive(Subcommand)]
enum Role {
    /// Controllers that follow an administration
    Followers(FollowersCommand),
    /// Controllers with a connection to a worker each, which make calls and probes
    Controllers(ControllersCommand),
}

#[derive(Args)]
struct FollowersCommand {
    /// The administration's API
    #[arg(long, value_name = "ADDR:PORT")]
    administration: SocketAddr,
    /// Its key for controllers, NAME.SECRET, or a file that holds it
    #[arg(long, value_name = "TOKEN|FILE", env = "NETTLEFERRY_KEY", hide_env_values = true)]
    key: String,
    /// How many
    #[arg(long)]
    count: u32,
    /// The controller number of the first
    #[arg(long, default_value_t = 1)]
    first_number: u32,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// End after so many seconds; else when standard input closes
    #[arg(long)]
    seconds: Option<u64>,
    /// Their first requests are spread over this time
    #[arg(long, value_name = "MS", default_value_t = 1_000)]
    begin_within: u64,
    /// They go on serving without a lease, like (without-lease serve)
    #[arg(long)]
    goes_on: bool,
    /// The probability that a request or a response is lost, and comes 200 ms later as TCP sends it again
    #[arg(long, value_name = "P", default_value_t = 0.0)]
    loss: f64,
    /// Delay of one way, in addition to that of loopback
    #[arg(long, value_name = "MS", default_value_t = 0)]
    delay: u64,
}

#[derive(Args)]
struct ControllersCommand {
    /// The worker
    #[arg(long, value_name = "ADDR:PORT")]
    worker: SocketAddr,
    /// How many
    #[arg(long)]
    count: u32,
    /// The controller number of the first
    #[arg(long, default_value_t = 1)]
    first_number: u32,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// End after so many seconds; else when standard input closes
    #[arg(long)]
    seconds: Option<u64>,
    /// The opening of their connections is spread over this time
    #[arg(long, value_name = "MS", default_value_t = 1_000)]
    begin_within: u64,
    /// Calls a second, over all of them
    #[arg(long, value_name = "R", default_value_t = 0.0)]
    calls_per_second: f64,
    /// Probes a second, over all of them
    #[arg(long, value_name = "R", default_value_t = 0.0)]
    probes_per_second: f64,
    /// The model that is called
    #[arg(long, default_value = "echo")]
    model: String,
    /// The deadline of a call
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
            time: self.seconds.map(Duration::from_secs),
            begin_within: Duration::from_millis(self.begin_within),
            goes_on: self.goes_on,
            loss: self.loss,
            delay: Duration::from_millis(self.delay),
        };
        settings.check(Machine::read()).map_err(UsageError::HollowPeers)?;
        let followers = followers::Followers::new(settings).map_err(CommandError::system("can't begin"))?;
        let result = followers.run(std::io::stdin(), std::io::stdout());
        result.map_err(CommandError::system("the run ended"))?;
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
            time: self.seconds.map(Duration::from_secs),
            begin_within: Duration::from_millis(self.begin_within),
            calls_per_second: self.calls_per_second,
            probes_per_second: self.probes_per_second,
            model: self.model,
            deadline: Duration::from_millis(self.deadline),
        };
        settings.check(Machine::read()).map_err(UsageError::HollowPeers)?;
        let controllers =
            controllers::Controllers::new(settings).map_err(CommandError::system("can't begin"))?;
        let result = controllers.run(std::io::stdin(), std::io::stdout());
        result.map_err(CommandError::system("the run ended"))?;
        Ok(exit_code::SUCCESS)
    }
}

/// A token, or what the file of this name holds.
fn token(key: &str) -> Result<String, CommandError> {
    let path = Path::new(key);
    if path.is_file() { Ok(read_file(path)?.trim().to_owned()) } else { Ok(key.to_owned()) }
}
