//! Parsing of query parameters.

use crate::problem::Problem;
use crate::routes::Route;

use super::limits::{DEFAULT_PAGE_ROWS, MAX_PAGE_ROWS};

/// The query parameters of a request. All are parameters of its route, and none is repeated.
pub(super) struct Query(Vec<(String, String)>);

impl Query {
    /// Parses a query string. Fails for a parameter that the route does not have, and for a repeated one.
    pub(super) fn read(query: &str, route: &Route) -> Result<Self, Problem> {
        let mut all: Vec<(String, String)> = Vec::new();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            if !route.query.iter().any(|known| known.name == name) {
                let known: Vec<&str> = route.query.iter().map(|known| known.name).collect();
                let known = if known.is_empty() { "none".to_owned() } else { known.join(", ") };
                return Err(Problem::field(&*name, format!("no such query parameter; known here: {known}")));
            }
            if all.iter().any(|(n, _)| *n == name) {
                return Err(Problem::field(&*name, "is given more than once"));
            }
            all.push((name.into_owned(), value.into_owned()));
        }
        Ok(Self(all))
    }

    /// The value of a parameter, without interpretation; `None` if the request omits it.
    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// An integer parameter between `min` and `max`; `default` if the request omits it.
    pub(super) fn number(&self, name: &str, min: u64, max: u64, default: u64) -> Result<u64, Problem> {
        let Some(text) = self.text(name) else { return Ok(default) };
        let number = text.parse().ok().filter(|n| (min..=max).contains(n));
        number.ok_or_else(|| {
            Problem::field(name, format!("must be a whole number from {min} to {max}, but is {text}"))
        })
    }

    /// The parameter `controller`, a controller's number. Fails if the request omits it.
    pub(super) fn controller(&self) -> Result<u32, Problem> {
        let number = self.number("controller", 0, u64::from(u32::MAX), u64::MAX)?;
        u32::try_from(number).map_err(|_| Problem::field("controller", "must be the number of a controller"))
    }

    /// The maximum number of rows of a page: the parameter `limit`, or [`DEFAULT_PAGE_ROWS`] without it.
    pub(super) fn rows(&self) -> Result<usize, Problem> {
        Ok(self.number("limit", 1, MAX_PAGE_ROWS as u64, DEFAULT_PAGE_ROWS as u64)? as usize)
    }

    /// Whether the request is a dry run, which changes nothing.
    pub(super) fn dry_run(&self) -> Result<bool, Problem> {
        match self.text("dry_run") {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(other) => Err(Problem::field("dry_run", format!("must be true or false, but is {other}"))),
        }
    }
}
