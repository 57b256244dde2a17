//! A client of the administration API that sends one request at a time.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use nettleferry_net::http1_client::{Answer, Http1Client};
use serde_json::Value;

use super::super::console::read_file;
use super::super::error::{ApiError, CommandError, UsageError};

/// How long a request waits for its complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of rows requested in one page of a list.
const PAGE_ROWS: usize = 1_000;
/// Environment variable that contains the API key.
const KEY_VARIABLE: &str = "NETTLEFERRY_KEY";

/// Address of the administration API, and the key for it.
#[derive(Args, Clone, Debug)]
pub(crate) struct Api {
    /// Address of the administration API
    #[arg(long, value_name = "ADDR:PORT", default_value = "127.0.0.1:8002")]
    api: SocketAddr,
    /// File that contains the API key, NAME.SECRET; by default the environment variable NETTLEFERRY_KEY is used
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
}

impl Api {
    /// Reads the API key from the file, or from the environment if no file is named.
    fn key(&self) -> Result<String, CommandError> {
        if let Some(file) = &self.key_file {
            return Ok(read_file(file)?.trim().to_owned());
        }
        std::env::var(KEY_VARIABLE).map_err(|_| UsageError::NoKey.into())
    }
}

/// A client with one connection to the administration API.
pub(crate) struct Client {
    http_client: Http1Client,
    address: SocketAddr,
    /// Value of the `Authorization` header.
    authorization: String,
}

impl Client {
    /// Creates a client; the connection is established by the first request. Fails without an API key.
    pub(crate) fn new(api: &Api) -> Result<Self, CommandError> {
        let http_client = Http1Client::new(api.api, 1, RESPONSE_TIMEOUT)
            .map_err(CommandError::system("can't create the HTTP client"))?;
        Ok(Self { http_client, address: api.api, authorization: format!("Bearer {}", api.key()?) })
    }

    /// Sends a GET request and returns the JSON of the response.
    pub(crate) fn get(&mut self, target: &str) -> Result<Value, CommandError> {
        self.request("GET", target, &[], None)
    }

    /// Fetches all pages of a list and returns the rows; `key` is the field of a page that contains its rows.
    pub(crate) fn get_pages(&mut self, path: &str, key: &str) -> Result<Vec<Value>, CommandError> {
        let (mut all_rows, mut after) = (Vec::new(), String::new());
        loop {
            let mut page = self.get(&format!("{path}?limit={PAGE_ROWS}&after={after}"))?;
            if let Some(rows) = page[key].as_array_mut() {
                all_rows.append(rows);
            }
            match page["next"].as_str() {
                Some(next) => after = percent_encoded(next),
                None => return Ok(all_rows),
            }
        }
    }

    /// Sends a request and returns the JSON of the response, or null if its body is not JSON. A status other than 2xx
    /// is returned as [`ApiError::Problem`], with the title and detail of the body (RFC 9457).
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
            detail: text("detail", "the response has no detail"),
        };
        Err(problem.into())
    }

    /// Waits for the response to the request that was sent last.
    fn response(&mut self) -> Result<Answer, CommandError> {
        let mut responses = Vec::new();
        loop {
            self.http_client
                .poll(Some(RESPONSE_TIMEOUT), &mut responses)
                .map_err(CommandError::system("can't poll the connection to the administration"))?;
            if let Some((_, response)) = responses.pop() {
                let no_response = |error| ApiError::NoResponse { address: self.address, error };
                return response.map_err(|error| no_response(error).into());
            }
        }
    }
}

/// Percent-encodes a path segment or a query value (RFC 3986).
pub(crate) fn percent_encoded(part: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~');
    part.bytes()
        .map(|b| if is_unreserved(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}
