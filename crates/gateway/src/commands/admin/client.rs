//! A client of the administration API: one request at a time.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use nettleferry_net::http1_client::{Answer, Http1Client};
use serde_json::Value;

use super::super::console::read_file;
use super::super::error::{ApiError, CommandError, UsageError};

/// How long a response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Rows of one response.
const PAGE_ROWS: usize = 1_000;
/// The environment variable with the key.
const KEY_VARIABLE: &str = "NETTLEFERRY_KEY";

/// Where the API is, and the key.
#[derive(Args, Clone, Debug)]
pub(crate) struct Api {
    /// The administration's address
    #[arg(long, value_name = "ADDR:PORT", default_value = "127.0.0.1:8002")]
    api: SocketAddr,
    /// A file with the key, NAME.SECRET; else NETTLEFERRY_KEY of the environment
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
}

impl Api {
    /// The key of the file or of the environment.
    fn key(&self) -> Result<String, CommandError> {
        if let Some(file) = &self.key_file {
            return Ok(read_file(file)?.trim().to_owned());
        }
        std::env::var(KEY_VARIABLE).map_err(|_| UsageError::NoKey.into())
    }
}

/// The client.
pub(crate) struct Client {
    http_client: Http1Client,
    address: SocketAddr,
    /// The value of the Authorization header.
    authorization: String,
}

impl Client {
    /// A client that has no connection yet.
    pub(crate) fn new(api: &Api) -> Result<Self, CommandError> {
        let http_client =
            Http1Client::new(api.api, 1, RESPONSE_TIMEOUT).map_err(CommandError::system("can't poll"))?;
        Ok(Self { http_client, address: api.api, authorization: format!("Bearer {}", api.key()?) })
    }

    /// Reads a resource.
    pub(crate) fn get(&mut self, target: &str) -> Result<Value, CommandError> {
        self.request("GET", target, &[], None)
    }

    /// All rows of a list that comes in pages; `key` names the list in each page.
    pub(crate) fn get_pages(&mut self, path: &str, key: &str) -> Result<Vec<Value>, CommandError> {
        let (mut all, mut after) = (Vec::new(), String::new());
        loop {
            let mut page = self.get(&format!("{path}?limit={PAGE_ROWS}&after={after}"))?;
            if let Some(rows) = page[key].as_array_mut() {
                all.append(rows);
            }
            match page["next"].as_str() {
                Some(next) => after = escaped(next),
                None => return Ok(all),
            }
        }
    }

    /// Sends a request and waits for its response. A problem (RFC 9457) is an error with its status, title and detail.
    pub(crate) fn request(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Value, CommandError> {
        let content_type =
            if method == "PATCH" { "application/merge-patch+json" } else { "application/json" };
        let mut all_headers =
            vec![("Authorization", self.authorization.as_str()), ("Content-Type", content_type)];
        all_headers.extend_from_slice(headers);
        let body = body.map(Value::to_string).unwrap_or_default();
        self.http_client.send(0, method, target, &all_headers, body.as_bytes());
        let response = self.response()?;
        let content: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        if (200..300).contains(&response.status) {
            return Ok(content);
        }
        let text = |key: &str, default: &str| content[key].as_str().unwrap_or(default).to_owned();
        let problem = ApiError::Problem {
            status: response.status,
            title: text("title", ""),
            detail: text("detail", "no reason was given"),
        };
        Err(problem.into())
    }

    fn response(&mut self) -> Result<Answer, CommandError> {
        let mut responses = Vec::new();
        loop {
            self.http_client
                .poll(Some(RESPONSE_TIMEOUT), &mut responses)
                .map_err(CommandError::system("can't poll"))?;
            if let Some((_, response)) = responses.pop() {
                let no_response = |error| ApiError::NoResponse { address: self.address, error };
                return response.map_err(|error| no_response(error).into());
            }
        }
    }
}

/// A part of a path or a query, percent-encoded as RFC 3986 asks for.
pub(crate) fn escaped(part: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~');
    part.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}
