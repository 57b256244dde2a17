//! Changes of tenants: what a request wants changed, under which condition, once per idempotency key.

use nettleferry_tenancy::{Applied, Change, Condition, IdempotentResponse};
use serde_json::Value;

use crate::message::{Answer, Request, Response};
use crate::problem::Problem;
use crate::routes::Operation;

use super::{
    Api, GRACE, Invocation, Keep, Live, MOST_GRACE, MOST_KEY, internal, json_body, serving, tenant, wants,
};

impl<K: Keep> Api<K> {
    /// Makes a change, or says what it would do.
    pub(super) fn change(
        &mut self,
        call: &Invocation<'_>,
        change: &Change,
        live: &impl Live,
    ) -> Result<Answer, Problem> {
        serving(live)
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
            && let Some(before) = self.keep.once(key).map_err(internal)?
        {
            return replayed(before, fingerprint);
        }
        let Applied { tenant: after, entry } =
            self.book.evaluate(change, condition, &call.caller.name, call.now)?;
        let after = after.ok_or_else(|| internal("a change left no tenant".to_owned()))?;
        let response = tenant(call.route.status, &after)?;
        if dry_run {
            return Ok(Answer::Now(Response { status: 200, ..response }));
        }
        // What was asked for was so already: it counts when it is so everywhere.
        let Some(entry) = entry else {
            return Ok(Answer::Changed { response, revision: after.revision, binds: true });
        };
        let once = key.as_ref().map(|key| {
            let (status, body, revision) = (response.status, response.body.clone(), after.revision);
            (key.as_str(), IdempotentResponse { fingerprint, status, revision, body, at_ms: call.now })
        });
        let kept = self.keep.commit(&entry, once.as_ref().map(|(key, once)| (*key, once)));
        kept.map_err(|what| {
            Problem::new(503, "not-kept", format!("the change was not kept, and has not happened: {what}"))
        })?;
        self.book.apply(&entry).map_err(|gap| internal(gap.to_string()))?;
        Ok(Answer::Changed { response, revision: entry.revision, binds: entry.restricts() })
    }
}

/// The key under which a creation happens once; `None`: it may happen again.
fn idempotency_key(call: &Invocation<'_>, dry_run: bool) -> Result<Option<String>, Problem> {
    let creates = call.route.operation == Operation::CreateTenant;
    match call.request.once.filter(|_| creates && !dry_run) {
        Some(key) if key.is_empty() || key.len() > MOST_KEY => {
            Err(Problem::field("Idempotency-Key", format!("1 to {MOST_KEY} bytes")))
        }
        // A key is its holder's own.
        Some(key) => Ok(Some(format!("{}/{key}", call.caller.name))),
        None => Ok(None),
    }
}

/// A body's checksum and length.
fn fingerprint(body: &[u8]) -> u64 {
    u64::from(crc32fast::hash(body)) << 32 | body.len() as u64
}

/// The answer that was given to the same request before.
fn replayed(before: IdempotentResponse, fingerprint: u64) -> Result<Answer, Problem> {
    if before.fingerprint != fingerprint {
        let detail = "this Idempotency-Key came before with another body";
        return Err(Problem {
            field: Some("Idempotency-Key".to_owned()),
            ..Problem::new(422, "key-reused", detail)
        });
    }
    let headers =
        vec![("ETag", format!("\"{}\"", before.revision)), ("Idempotency-Replayed", "true".to_owned())];
    let response = Response { status: before.status, kind: "application/json", headers, body: before.body };
    Ok(Answer::Changed { response, revision: before.revision, binds: true })
}

/// What a request wants created.
pub(super) fn creation(call: &Invocation<'_>) -> Result<Change, Problem> {
    let (name, spec) = new_tenant(call.request)?;
    Ok(Change::Create { name, spec })
}

/// What a request wants altered.
pub(super) fn patch(call: &Invocation<'_>) -> Result<Change, Problem> {
    wants(call.request, &["application/merge-patch+json", "application/json"])?;
    Ok(Change::Patch { name: call.name.to_owned(), patch: json_body(call.request.body)? })
}

/// What a request wants removed.
pub(super) fn removal(call: &Invocation<'_>) -> Result<Change, Problem> {
    let grace_ms = call.query.number("grace_ms", 0, MOST_GRACE, GRACE)?;
    Ok(Change::Remove { name: call.name.to_owned(), grace_ms })
}

fn condition(if_match: Option<&str>) -> Result<Condition, Problem> {
    let Some(told) = if_match else {
        let detail = "send If-Match with the tenant's ETag, or * to change it whatever it is";
        return Err(Problem::new(428, "condition-wanted", detail));
    };
    if told.trim() == "*" {
        return Ok(Condition::Any);
    }
    let number = told.trim().strip_prefix('"').and_then(|t| t.strip_suffix('"')).and_then(|t| t.parse().ok());
    let one =
        || Problem { status: 400, ..Problem::field("If-Match", "one ETag in quotes, such as \"17\", or *") };
    number.map(Condition::Is).ok_or_else(one)
}

fn new_tenant(request: &Request<'_>) -> Result<(String, Value), Problem> {
    wants(request, &["application/json"])?;
    let Value::Object(mut body) = json_body(request.body)? else {
        return Err(Problem::field("the body", "a JSON object with the tenant's name"));
    };
    match body.remove("name") {
        Some(Value::String(name)) => Ok((name, Value::Object(body))),
        Some(_) => Err(Problem::field("name", "is to be a string")),
        None => Err(Problem::field("name", "is missing")),
    }
}
