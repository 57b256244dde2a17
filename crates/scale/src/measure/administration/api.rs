//! Client of the administration's HTTP API, with the requests that the measure needs.

use std::net::SocketAddr;
use std::time::Duration;

use nettleferry_net::http1_client::{Answer, Http1Client, Http1Error};
use serde::Deserialize;
use serde_json::json;

use crate::context::Context;
use crate::measure::MeasureError;

/// Timeout of a request. It is longer than the administration waits for a change to be in force everywhere.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a waiting request checks the limits of the run.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Limit of open calls before the first change; each change lowers it by one.
const INITIAL_LIMIT: u64 = 1_000_000_000;

/// Client that authenticates with an API key of the role `admin`.
pub struct Api {
    client: Http1Client,
    authorization: String,
    limit: u64,
}

/// The part of the response to `GET /v1/fleet` that the measure needs.
#[derive(Deserialize)]
struct Fleet {
    leases: u64,
}

impl Api {
    /// Creates a client of the administration at this address, authorized by `token`.
    pub fn new(administration: SocketAddr, token: &str) -> Result<Self, MeasureError> {
        let client = Http1Client::new(administration, 1, REQUEST_TIMEOUT)
            .map_err(MeasureError::system("can't create an HTTP client"))?;
        Ok(Self { client, authorization: format!("Bearer {token}"), limit: INITIAL_LIMIT })
    }

    /// Creates a tenant with this name.
    pub fn create_tenant(&mut self, name: &str, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let body = json!({ "name": name, "note": "a tenant of a scale run" }).to_string();
        let answer = self.request("POST", "/v1/tenants", "application/json", body.as_bytes(), context)?;
        expect_status(&answer, &[201, 202])
    }

    /// Lowers the limit of open calls of a tenant, and returns whether the response reports that the change is in force
    /// everywhere, which means that no controller applies the old limit any longer.
    pub fn lower_limit(&mut self, name: &str, context: &mut Context<'_>) -> Result<bool, MeasureError> {
        self.limit -= 1;
        let body = json!({ "limits": { "open_calls": self.limit } }).to_string();
        let target = format!("/v1/tenants/{name}");
        let answer =
            self.request("PATCH", &target, "application/merge-patch+json", body.as_bytes(), context)?;
        expect_status(&answer, &[200, 202])?;
        Ok(answer.header("nettleferry-in-force") == Some("everywhere"))
    }

    /// Requests the number of incarnations that hold a lease.
    pub fn leases(&mut self, context: &mut Context<'_>) -> Result<u64, MeasureError> {
        let answer = self.request("GET", "/v1/fleet", "application/json", b"", context)?;
        expect_status(&answer, &[200])?;
        let fleet: Fleet = serde_json::from_slice(&answer.body).map_err(|error| {
            MeasureError::Unexpected(format!("can't parse the response to GET /v1/fleet: {error}"))
        })?;
        Ok(fleet.leases)
    }

    /// Sends a request, and retries it once if the connection broke: the server may have closed it as idle.
    fn request(
        &mut self,
        method: &str,
        target: &str,
        content_type: &str,
        body: &[u8],
        context: &mut Context<'_>,
    ) -> Result<Answer, MeasureError> {
        let first = self.exchange(method, target, content_type, body, context)?;
        let answer = match first {
            Err(Http1Error::Broken(_)) => self.exchange(method, target, content_type, body, context)?,
            result => result,
        };
        answer.map_err(|error| MeasureError::Unexpected(format!("{method} {target}: {error}")))
    }

    /// Sends a request and waits for its response. Fails early if [`Context::check`] does.
    fn exchange(
        &mut self,
        method: &str,
        target: &str,
        content_type: &str,
        body: &[u8],
        context: &mut Context<'_>,
    ) -> Result<Result<Answer, Http1Error>, MeasureError> {
        let headers = [
            ("Authorization", self.authorization.as_str()),
            ("Content-Type", content_type),
            ("If-Match", "*"),
        ];
        self.client.send(0, method, target, &headers, body);
        let mut events = Vec::new();
        loop {
            let polled = self.client.poll(Some(POLL_INTERVAL), &mut events);
            polled.map_err(MeasureError::system("can't poll the HTTP client"))?;
            if let Some((_, answer)) = events.pop() {
                return Ok(answer);
            }
            context.check()?;
        }
    }
}

fn expect_status(answer: &Answer, statuses: &[u16]) -> Result<(), MeasureError> {
    if statuses.contains(&answer.status) {
        return Ok(());
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Err(MeasureError::Unexpected(format!(
        "the administration responded with status {}: {body}",
        answer.status
    )))
}
