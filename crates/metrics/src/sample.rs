//! Parser that splits the metrics text into samples. Remote write uses it, so that it sends the same series and
//! values as a scrape returns.

/// Type of a series, as declared in its `# TYPE` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeriesKind {
    /// A counter: a total that never decreases.
    Counter,
    /// A gauge, or a series of any other type.
    Gauge,
    /// A bucket, sum or count of a classic histogram.
    Histogram,
}

/// A sample parsed from one line of the metrics text.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSample {
    /// Name and labels of the series, exactly as they appear in the text.
    pub key: String,
    /// Names and unescaped values of the labels. The first one is `__name__`.
    pub labels: Vec<(String, String)>,
    /// Value of the sample.
    pub value: f64,
    /// Type of the series.
    pub kind: SeriesKind,
}

/// Parses the OpenMetrics text of [`crate::Metrics::text`]. Lines that can't be parsed as samples are ignored.
pub fn parse(text: &str) -> Vec<ParsedSample> {
    let mut kind = SeriesKind::Gauge;
    let mut samples = Vec::new();
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
            samples.push(sample);
        }
    }
    samples
}

/// Parses a sample line. Returns `None` if the line is malformed.
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

/// Unescapes a label value up to its closing quote. Returns the value and the text after the quote, or `None` if the
/// quote is missing.
fn unquote(text: &str) -> Option<(String, &str)> {
    let mut content = String::new();
    let mut chars = text.char_indices();
    while let Some((position, c)) = chars.next() {
        match c {
            '"' => return Some((content, &text[position + 1..])),
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
