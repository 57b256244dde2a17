//! The registry's text as single samples: remote write sends what is scraped.

/// The type of a series, by its TYPE line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeriesKind {
    /// Only grows.
    Counter,
    /// Goes up and down.
    Gauge,
    /// A part of a classic histogram.
    Histogram,
}

/// A sample of the text.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSample {
    /// The series as the text writes it: name and labels.
    pub key: String,
    /// Its labels, `__name__` first.
    pub labels: Vec<(String, String)>,
    /// Its value.
    pub value: f64,
    /// The type of the series.
    pub kind: SeriesKind,
}

/// Parses the OpenMetrics text of [`crate::Metrics::text`]. Lines that are no samples are ignored.
pub fn parse(text: &str) -> Vec<ParsedSample> {
    let mut kind = SeriesKind::Gauge;
    let mut all = Vec::new();
    for line in text.lines() {
        if let Some(declaration) = line.strip_prefix("# TYPE ") {
            kind = match declaration.rsplit(' ').next() {
                Some("counter") => SeriesKind::Counter,
                Some("histogram") => SeriesKind::Histogram,
                _ => SeriesKind::Gauge,
            };
        } else if !line.starts_with('#')
            && let Some(sample) = parse_sample(line, kind)
        {
            all.push(sample);
        }
    }
    all
}

/// The sample of a line, of a series of this type.
fn parse_sample(line: &str, kind: SeriesKind) -> Option<ParsedSample> {
    let (key, value) = line.rsplit_once(' ')?;
    let value = value.parse().ok()?;
    let (name, labels_text) = key.split_once('{').unwrap_or((key, ""));
    let mut labels = vec![("__name__".to_owned(), name.to_owned())];
    let mut rest = labels_text.strip_suffix('}').unwrap_or(labels_text);
    while !rest.is_empty() {
        let (label, after) = rest.split_once("=\"")?;
        let (content, after) = unquote(after)?;
        labels.push((label.to_owned(), content));
        rest = after.strip_prefix(',').unwrap_or(after);
    }
    Some(ParsedSample { key: key.to_owned(), labels, value, kind })
}

/// The content up to the closing quote, and what follows it.
fn unquote(text: &str) -> Option<(String, &str)> {
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
