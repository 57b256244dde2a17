//! `top`: tenants, classes, workers and held calls on a terminal, live over the administration API.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use clap::Args;
use ratatui::Frame;
use ratatui::crossterm::event::{self, Event, KeyCode};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Style, Stylize};
use ratatui::widgets::{Block, Paragraph, Row, Table};
use serde_json::Value;

use super::CommandError;
use super::admin::{Api, Client};

/// Show tenants, classes, workers and held calls, live; q ends it.
#[derive(Args)]
pub struct Top {
    #[command(flatten)]
    api: Api,
    /// Seconds between two looks
    #[arg(long, default_value_t = 1.0)]
    every: f64,
}

/// What was seen at one look.
#[derive(Default)]
struct Seen {
    usage: Vec<Value>,
    workers: Vec<Value>,
    revision: u64,
    /// Calls taken a second since the last look, by tenant.
    rates: BTreeMap<String, f64>,
    /// Why the last look failed.
    error: Option<String>,
}

fn number(row: &Value, key: &str) -> u64 {
    row[key].as_u64().unwrap_or(0)
}

fn name(row: &Value, key: &str) -> String {
    row[key].as_str().unwrap_or("").to_owned()
}

impl Seen {
    fn look(&mut self, client: &mut Client, passed: f64) -> Result<(), CommandError> {
        let usage = client.pages("/v1/usage", "usage")?;
        let workers = client.get("/v1/workers")?;
        let controllers = client.get("/v1/controllers")?;
        let before: BTreeMap<String, u64> =
            self.usage.iter().map(|u| (name(u, "tenant"), number(u, "admitted"))).collect();
        self.rates = usage
            .iter()
            .filter_map(|u| {
                let taken = number(u, "admitted").saturating_sub(*before.get(&name(u, "tenant"))?);
                Some((name(u, "tenant"), taken as f64 / passed.max(1e-3)))
            })
            .collect();
        self.usage = usage;
        self.workers = workers["workers"].as_array().cloned().unwrap_or_default();
        self.revision = number(&controllers, "revision");
        Ok(())
    }
}

fn draw(frame: &mut Frame, seen: &Seen) {
    let classes: BTreeMap<String, u64> = seen
        .usage
        .iter()
        .flat_map(|u| u["open_by_class"].as_object().into_iter().flatten())
        .fold(BTreeMap::new(), |mut all, (class, open)| {
            *all.entry(class.clone()).or_default() += open.as_u64().unwrap_or(0);
            all
        });
    let sum = |key: &str| seen.usage.iter().map(|u| number(u, key)).sum::<u64>();
    let head = seen.error.clone().unwrap_or_else(|| {
        format!(
            "revision {}   {} tenants   open {}   held {}   refused {}   q ends",
            seen.revision,
            seen.usage.len(),
            sum("open_calls"),
            sum("held_calls"),
            sum("refused")
        )
    });
    let [top, tenants, below] =
        Layout::vertical([Constraint::Length(1), Constraint::Min(5), Constraint::Length(9)])
            .areas(frame.area());
    let [class_area, worker_area] =
        Layout::horizontal([Constraint::Length(30), Constraint::Min(30)]).areas(below);
    let style = if seen.error.is_some() { Style::new().red().bold() } else { Style::new().bold() };
    frame.render_widget(Paragraph::new(head).style(style), top);
    // The busiest first; who is idle goes by name.
    let mut busy: Vec<&Value> = seen.usage.iter().collect();
    busy.sort_by_key(|u| (std::cmp::Reverse(number(u, "open_calls")), name(u, "tenant")));
    let rows = busy.into_iter().map(|u| {
        let rate = seen.rates.get(&name(u, "tenant")).copied().unwrap_or(0.0);
        let memory = number(u, "loaded_memory_bytes") >> 20;
        let row = Row::new([
            name(u, "tenant"),
            format!("{rate:.0}"),
            number(u, "open_calls").to_string(),
            number(u, "held_calls").to_string(),
            number(u, "admitted").to_string(),
            number(u, "refused").to_string(),
            format!("{memory} MiB"),
        ]);
        if number(u, "held_calls") > 0 { row.yellow() } else { row }
    });
    let widths = [24, 9, 7, 7, 12, 12, 12].map(Constraint::Length);
    let header = Row::new(["TENANT", "CALLS/S", "OPEN", "HELD", "TAKEN", "REFUSED", "MODELS"]).bold();
    frame.render_widget(
        Table::new(rows, widths).header(header).block(Block::bordered().title("tenants")),
        tenants,
    );
    let rows = classes.into_iter().map(|(class, open)| Row::new([class, open.to_string()]));
    let widths = [Constraint::Length(18), Constraint::Length(8)];
    let header = Row::new(["CLASS", "OPEN"]).bold();
    frame.render_widget(
        Table::new(rows, widths).header(header).block(Block::bordered().title("classes")),
        class_area,
    );
    let rows = seen.workers.iter().map(|w| {
        let drained = w["drained"].as_bool() == Some(true);
        let state = if drained { "drained by hand".to_owned() } else { name(w, "listed") };
        let row = Row::new([name(w, "name"), name(w, "zone"), name(w, "address"), state]);
        if drained || name(w, "listed") != "on" { row.yellow() } else { row }
    });
    let widths = [16, 8, 22, 16].map(Constraint::Length);
    let header = Row::new(["WORKER", "ZONE", "ADDRESS", "STATE"]).bold();
    frame.render_widget(
        Table::new(rows, widths).header(header).block(Block::bordered().title("workers")),
        worker_area,
    );
}

impl Top {
    pub fn run(self) -> Result<u8, CommandError> {
        if !(0.1..=60.0).contains(&self.every) {
            return Err(CommandError::Usage("--every: from 0.1 to 60".to_owned()));
        }
        let mut client = Client::new(&self.api)?;
        let mut seen = Seen::default();
        // A first look before the screen is taken: what can't be asked at all is told as plain text.
        seen.look(&mut client, self.every)?;
        let failed = || CommandError::system("the terminal");
        let mut terminal = ratatui::try_init().map_err(failed())?;
        let every = Duration::from_secs_f64(self.every);
        let mut looked = Instant::now();
        let ended = loop {
            if let Err(error) = terminal.draw(|frame| draw(frame, &seen)) {
                break Err(failed()(std::io::Error::other(error.to_string())));
            }
            let wait = every.saturating_sub(looked.elapsed());
            match event::poll(wait).and_then(|came| if came { event::read().map(Some) } else { Ok(None) }) {
                Ok(Some(Event::Key(key))) if matches!(key.code, KeyCode::Char('q') | KeyCode::Esc) => {
                    break Ok(0);
                }
                Ok(Some(_)) => continue,
                Ok(None) => {}
                Err(error) => break Err(failed()(error)),
            }
            let passed = looked.elapsed().as_secs_f64();
            looked = Instant::now();
            seen.error = seen.look(&mut client, passed).err().map(|e| e.to_string());
        };
        ratatui::restore();
        ended
    }
}

#[cfg(test)]
mod tests;
