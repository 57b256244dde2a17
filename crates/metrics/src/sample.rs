//! The registry's text as single samples: what is pushed is what is scraped.

/// What a series is, by its TYPE line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only grows.
    Counter,
    /// Goes up and down.
    Gauge,
    /// A part of a classic histogram.
    Histogram,
}

/// A series and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Sampled {
    /// The series as it stands in the text: name and labels.
    pub key: String,
    /// Its labels, `__name__` first.
    pub labels: Vec<(String, String)>,
    /// Its value.
    pub value: f64,
    /// What it is.
    pub kind: Kind,
}

/// Reads the OpenMetrics text that [`crate::Figures::text`] gives. Lines that are no samples are passed over.
pub fn read(text: &str) -> Vec<Sampled> {
    let mut kind = Kind::Gauge;
    let mut all = Vec::new();
    for line in text.lines() {
        if let Some(told) = line.strip_prefix("# TYPE ") {
            kind = match told.rsplit(' ').next() {
                Some("counter") => Kind::Counter,
                Some("histogram") => Kind::Histogram,
                _ => Kind::Gauge,
            };
        } else if !line.starts_with('#')
            && let Some(sampled) = sample(line, kind)
        {
            all.push(sampled);
        }
    }
    all
}

fn sample(line: &str, kind: Kind) -> Option<Sampled> {
    let (key, value) = line.rsplit_once(' ')?;
    let value = value.parse().ok()?;
    let (name, rest) = key.split_once('{').unwrap_or((key, ""));
    let mut labels = vec![("__name__".to_owned(), name.to_owned())];
    let mut rest = rest.strip_suffix('}').unwrap_or(rest);
    while !rest.is_empty() {
        let (label, after) = rest.split_once("=\"")?;
        let (content, after) = quoted(after)?;
        labels.push((label.to_owned(), content));
        rest = after.strip_prefix(',').unwrap_or(after);
    }
    Some(Sampled { key: key.to_owned(), labels, value, kind })
}

/// The content up to the closing quote, and what follows it.
fn quoted(text: &str) -> Option<(String, &str)> {
    let mut content = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((content, &text[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => content.push('\n'),
                other => content.push(other),
            },
            c => content.push(c),
        }
    }
    None
}

#[cfg(test)]
mod tests;
