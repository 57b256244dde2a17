//! Changes of tenants: under the condition of If-Match, and once for each idempotency key.

use nettleferry_tenancy::{Applied, Change, Condition, IdempotentResponse};
use serde_json::Value;

use crate::message::{Answer, Request, Response};
use crate::problem::Problem;
use crate::routes::Operation;

use super::Api;
use super::invocation::{Invocation, expect_content_type, json_body};
use super::limits::{DEFAULT_GRACE_MS, MAX_GRACE_MS, MAX_IDEMPOTENCY_KEY_BYTES};
use super::ports::{ChangeStore, Runtime};
use super::responses::{JSON, MERGE_PATCH, internal, serving, tenant_response};

impl<S: ChangeStore> Api<S> {
    /// Creates a tenant.
    pub(super) fn create_tenant(
        &mut self,
        call: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Answer, Problem> {
        let (name, spec) = new_tenant(call.request)?;
        self.change(call, &Change::Create { name, spec }, runtime)
    }

    /// Changes a tenant by merge patch.
    pub(super) fn patch_tenant(
        &mut self,
        call: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Answer, Problem> {
        expect_content_type(call.request, &[MERGE_PATCH, JSON])?;
        let change = Change::Patch { name: call.name.to_owned(), patch: json_body(call.request.body)? };
        self.change(call, &change, runtime)
    }

    /// Removes a tenant; its open calls have a grace.
    pub(super) fn remove_tenant(
        &mut self,
        call: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Answer, Problem> {
        let grace_ms = call.query.number("grace_ms", 0, MAX_GRACE_MS, DEFAULT_GRACE_MS)?;
        self.change(call, &Change::Remove { name: call.name.to_owned(), grace_ms }, runtime)
    }

    /// Rejects new calls of a tenant.
    pub(super) fn suspend_tenant(
        &mut self,
        call: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Answer, Problem> {
        self.change(call, &Change::Suspend { name: call.name.to_owned() }, runtime)
    }

    /// Accepts calls of a suspended tenant again.
    pub(super) fn resume_tenant(
        &mut self,
        call: &Invocation<'_>,
        runtime: &impl Runtime,
    ) -> Result<Answer, Problem> {
        self.change(call, &Change::Resume { name: call.name.to_owned() }, runtime)
    }

    /// Commits a change, or returns what it would lead to.
    fn change(
        &mut self,
        call: &Invocation<'_>,
        change: &Change,
        runtime: &impl Runtime,
    ) -> Result<Answer, Problem> {
        serving(runtime)
            .map_err(|p| Problem { detail: format!("nothing can be changed: {}", p.detail), ..p })?;
        if let Some(why) = &self.read_only {
            return Err(Problem::new(503, "read-only", format!("nothing can be changed: {why}")));
        }
        let if_match = call.request.if_match;
        let condition = if call.route.conditional { condition(if_match)? } else { Condition::Any };
        let dry_run = call.query.dry_run()?;
        let key = idempotency_key(call, dry_run)?;
        let fingerprint = fingerprint(call.request.body);
        if let Some(key) = &key
            && let Some(before) = self.store.stored_response(key).map_err(internal)?
        {
            return repeated_response(before, fingerprint);
        }
        let Applied { tenant: after, entry } =
            self.snapshot.evaluate(change, condition, &call.caller.name, call.now)?;
        let after = after.ok_or_else(|| internal("a change left no tenant"))?;
        let response = tenant_response(call.route.status, &after)?;
        if dry_run {
            return Ok(Answer::Ready(Response { status: 200, ..response }));
        }
        // Nothing was changed: the response is complete once every controller acts on the state as it is.
        let Some(entry) = entry else {
            return Ok(Answer::Committed { response, revision: after.revision, restricts: true });
        };
        let once = key.as_ref().map(|key| {
            let (status, body, revision) = (response.status, response.body.clone(), after.revision);
            (key.as_str(), IdempotentResponse { fingerprint, status, revision, body, at_ms: call.now })
        });
        let committed = self.store.commit(&entry, once.as_ref().map(|(key, once)| (*key, once)));
        committed.map_err(|error| {
            Problem::new(503, "not-kept", format!("the change was not kept, and has not happened: {error}"))
        })?;
        self.snapshot.apply(&entry).map_err(internal)?;
        Ok(Answer::Committed { response, revision: entry.revision, restricts: entry.restricts() })
    }
}

/// The key under which a creation is executed once; `None`: there is none.
fn idempotency_key(call: &Invocation<'_>, dry_run: bool) -> Result<Option<String>, Problem> {
    let creates = call.route.operation == Operation::CreateTenant;
    match call.request.idempotency_key.filter(|_| creates && !dry_run) {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            Err(Problem::field("Idempotency-Key", format!("1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes")))
        }
        // Each caller has keys of its own.
        Some(key) => Ok(Some(format!("{}/{key}", call.caller.name))),
        None => Ok(None),
    }
}

/// A body's checksum and length.
fn fingerprint(body: &[u8]) -> u64 {
    u64::from(crc32fast::hash(body)) << 32 | body.len() as u64
}

/// The response that was given to the same request before.
fn repeated_response(before: IdempotentResponse, fingerprint: u64) -> Result<Answer, Problem> {
    if before.fingerprint != fingerprint {
        let detail = "this Idempotency-Key came before with another body";
        return Err(Problem {
            field: Some("Idempotency-Key".to_owned()),
            ..Problem::new(422, "key-reused", detail)
        });
    }
    let headers =
        vec![("ETag", format!("\"{}\"", before.revision)), ("Idempotency-Replayed", "true".to_owned())];
    let response = Response { status: before.status, content_type: JSON, headers, body: before.body };
    Ok(Answer::Committed { response, revision: before.revision, restricts: true })
}

/// The condition that If-Match states.
fn condition(if_match: Option<&str>) -> Result<Condition, Problem> {
    let Some(tag) = if_match else {
        let detail = "send If-Match with the tenant's ETag, or * to change it whatever it is";
        return Err(Problem::new(428, "condition-wanted", detail));
    };
    if tag.trim() == "*" {
        return Ok(Condition::Any);
    }
    let number = tag.trim().strip_prefix('"').and_then(|t| t.strip_suffix('"')).and_then(|t| t.parse().ok());
    let one =
        || Problem { status: 400, ..Problem::field("If-Match", "one ETag in quotes, such as \"17\", or *") };
    number.map(Condition::AtRevision).ok_or_else(one)
}

/// The name and the settings of the tenant that a body describes.
fn new_tenant(request: &Request<'_>) -> Result<(String, Value), Problem> {
    expect_content_type(request, &[JSON])?;
    let Value::Object(mut body) = json_body(request.body)? else {
        return Err(Problem::field("the body", "a JSON object with the tenant's name"));
    };
    match body.remove("name") {
        Some(Value::String(name)) => Ok((name, Value::Object(body))),
        Some(_) => Err(Problem::field("name", "is to be a string")),
        None => Err(Problem::field("name", "is missing")),
    }
}
