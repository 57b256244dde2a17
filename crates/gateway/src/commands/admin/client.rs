//! A client of the administration API: one request at a time.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use nettleferry_net::post::Poster;
use serde_json::Value;

use super::CommandError;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(20);

/// Where the API is, and the key.
#[derive(Args, Clone, Debug)]
pub struct Api {
    /// The administration's address
    #[arg(long, value_name = "ADDR:PORT", default_value = "127.0.0.1:8002")]
    pub api: SocketAddr,
    /// A file with the key, NAME.SECRET; else NETTLEFERRY_KEY of the environment
    #[arg(long, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
}

/// The client.
pub struct Client {
    poster: Poster,
    to: SocketAddr,
    key: String,
}

impl Client {
    /// A client that has not asked anything.
    pub fn new(api: &Api) -> Result<Self, CommandError> {
        let poster = Poster::new(api.api, 1, PATIENCE).map_err(CommandError::system("can't poll"))?;
        Ok(Self { poster, to: api.api, key: format!("Bearer {}", super::token(api)?) })
    }

    /// Reads.
    pub fn get(&mut self, target: &str) -> Result<Value, CommandError> {
        self.ask("GET", target, &[], None)
    }

    /// All rows of a list that comes in pages.
    pub fn pages(&mut self, path: &str, key: &str) -> Result<Vec<Value>, CommandError> {
        let (mut all, mut after) = (Vec::new(), String::new());
        loop {
            let mut page = self.get(&format!("{path}?limit=1000&after={after}"))?;
            if let Some(rows) = page[key].as_array_mut() {
                all.append(rows);
            }
            match page["next"].as_str() {
                Some(next) => after = escaped(next),
                None => return Ok(all),
            }
        }
    }

    /// Asks; a problem is an error in its own words.
    pub fn ask(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Value, CommandError> {
        let kind = if method == "PATCH" { "application/merge-patch+json" } else { "application/json" };
        let mut all = vec![("Authorization", self.key.as_str()), ("Content-Type", kind)];
        all.extend_from_slice(headers);
        let body = body.map(Value::to_string).unwrap_or_default();
        self.poster.send(0, method, target, &all, body.as_bytes());
        let mut heard = Vec::new();
        while heard.is_empty() {
            self.poster.turn(Some(PATIENCE), &mut heard).map_err(CommandError::system("can't poll"))?;
        }
        let answer = match heard.remove(0).1 {
            Ok(answer) => answer,
            Err(error) => return Err(CommandError::Api(format!("{}: {error}", self.to))),
        };
        let told: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if (200..300).contains(&answer.status) {
            return Ok(told);
        }
        let detail = told["detail"].as_str().unwrap_or("no reason was told");
        Err(CommandError::Api(format!(
            "{} {}: {detail}",
            answer.status,
            told["title"].as_str().unwrap_or("")
        )))
    }
}

/// A part of a path or a query, as RFC 3986 wants it.
pub fn escaped(part: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~');
    part.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}
