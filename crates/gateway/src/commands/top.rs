//! `top`: shows tenants, classes, workers and held calls on a terminal, refreshed over the administration API.

mod screen;

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use clap::Args;
use ratatui::crossterm::event::{self, Event, KeyCode};
use serde_json::Value;

use super::admin::{Api, Client};
use super::error::{CommandError, UsageError};
use super::exit_code;

/// Range of `--every`, in seconds.
const REFRESH_INTERVAL_SECONDS: std::ops::RangeInclusive<f64> = 0.1..=60.0;
/// Shortest time over which a rate is computed, in seconds; it prevents a division by zero.
const MIN_RATE_SPAN_SECONDS: f64 = 1e-3;

/// Show tenants, classes, workers and held calls, refreshed periodically; press q to quit.
#[derive(Args)]
pub(crate) struct Top {
    #[command(flatten)]
    api: Api,
    /// Time between refreshes, in seconds
    #[arg(long, default_value_t = 1.0)]
    every: f64,
}

/// Values of the last successful refresh, and the error of the last one if it failed.
#[derive(Default)]
struct Sample {
    usage: Vec<Value>,
    workers: Vec<Value>,
    revision: u64,
    /// Calls accepted per second since the previous refresh, by tenant.
    rates: BTreeMap<String, f64>,
    /// Error of the last refresh.
    error: Option<String>,
}

impl Sample {
    /// Fetches all values; `seconds` is the time since the previous refresh, for the rates. An error leaves all values
    /// unchanged.
    fn refresh(&mut self, client: &mut Client, seconds: f64) -> Result<(), CommandError> {
        let usage = client.get_pages("/v1/usage", "usage")?;
        let workers = client.get("/v1/workers")?;
        let controllers = client.get("/v1/controllers")?;
        let previously_accepted: BTreeMap<String, u64> =
            self.usage.iter().map(|row| (text(row, "tenant"), number(row, "admitted"))).collect();
        let rate = |row: &Value| {
            let tenant = text(row, "tenant");
            let accepted = number(row, "admitted").saturating_sub(*previously_accepted.get(&tenant)?);
            Some((tenant, accepted as f64 / seconds.max(MIN_RATE_SPAN_SECONDS)))
        };
        self.rates = usage.iter().filter_map(rate).collect();
        self.usage = usage;
        self.workers = workers["workers"].as_array().cloned().unwrap_or_default();
        self.revision = number(&controllers, "revision");
        Ok(())
    }
}

fn number(row: &Value, key: &str) -> u64 {
    row[key].as_u64().unwrap_or(0)
}

fn text(row: &Value, key: &str) -> String {
    row[key].as_str().unwrap_or("").to_owned()
}

/// Why a wait for terminal input ended.
enum Wake {
    Quit,
    /// Another key was pressed, or the terminal was resized.
    Redraw,
    Timeout,
}

impl Top {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        if !REFRESH_INTERVAL_SECONDS.contains(&self.every) {
            return Err(UsageError::RefreshInterval(self.every).into());
        }
        let mut client = Client::new(&self.api)?;
        let mut sample = Sample::default();
        // The first refresh precedes the switch to full screen, so that an unreachable API is reported as plain text.
        sample.refresh(&mut client, self.every)?;
        let failed = CommandError::system("can't use the terminal");
        let mut terminal = match ratatui::try_init() {
            Ok(terminal) => terminal,
            Err(error) => return Err(failed(error)),
        };
        let outcome = self.show(&mut terminal, &mut client, &mut sample);
        ratatui::restore();
        outcome.map_err(failed)?;
        Ok(exit_code::SUCCESS)
    }

    /// Draws and refreshes until the user quits.
    fn show(
        &self,
        terminal: &mut ratatui::DefaultTerminal,
        client: &mut Client,
        sample: &mut Sample,
    ) -> io::Result<()> {
        let interval = Duration::from_secs_f64(self.every);
        let mut refreshed_at = Instant::now();
        loop {
            let drawn = terminal.draw(|frame| screen::draw(frame, sample));
            drawn.map_err(|error| io::Error::other(error.to_string()))?;
            match wait(interval.saturating_sub(refreshed_at.elapsed()))? {
                Wake::Quit => return Ok(()),
                Wake::Redraw => continue,
                Wake::Timeout => {}
            }
            let seconds = refreshed_at.elapsed().as_secs_f64();
            refreshed_at = Instant::now();
            sample.error = sample.refresh(client, seconds).err().map(|error| error.to_string());
        }
    }
}

/// Waits for terminal input, for at most `timeout`.
fn wait(timeout: Duration) -> io::Result<Wake> {
    if !event::poll(timeout)? {
        return Ok(Wake::Timeout);
    }
    Ok(match event::read()? {
        Event::Key(key) if matches!(key.code, KeyCode::Char('q') | KeyCode::Esc) => Wake::Quit,
        _ => Wake::Redraw,
    })
}
