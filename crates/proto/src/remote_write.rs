//! Prometheus remote write, both versions: series to a compressed body and back.
//!
//! Source: "Prometheus Remote-Write Specification" 1.0 and 2.0. A body is one protobuf message in snappy's block
//! format. Labels are sorted by name, the metric's name is the label `__name__`, times are milliseconds since
//! 1970.

use std::collections::HashMap;

use prost::Message;

/// Messages of version 1.0.
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/prometheus.rs"));
}

/// Messages of version 2.0.
pub mod v2 {
    include!(concat!(env!("OUT_DIR"), "/io.prometheus.write.v2.rs"));
}

/// The versions, in the order in which a sender prefers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// `io.prometheus.write.v2.Request`.
    Two,
    /// `prometheus.WriteRequest`.
    One,
}

impl Version {
    /// Content-Type of a body.
    pub fn content_type(self) -> &'static str {
        match self {
            Self::Two => "application/x-protobuf;proto=io.prometheus.write.v2.Request",
            Self::One => "application/x-protobuf;proto=prometheus.WriteRequest",
        }
    }

    /// `X-Prometheus-Remote-Write-Version`.
    pub fn header(self) -> &'static str {
        match self {
            Self::Two => "2.0.0",
            Self::One => "0.1.0",
        }
    }
}

/// What a series is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only grows.
    Counter,
    /// Goes up and down.
    Gauge,
    /// A part of a classic histogram.
    Histogram,
}

/// A series with its samples in order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Labels, `__name__` among them.
    pub labels: Vec<(String, String)>,
    /// Time and value.
    pub samples: Vec<(i64, f64)>,
    /// Time and native histogram; carried by version 2.0 alone.
    pub natives: Vec<(i64, Native)>,
    /// What it is; told by version 2.0 alone.
    pub kind: Kind,
    /// When its counter began; told by version 2.0 alone.
    pub created_ms: Option<i64>,
}

/// A native histogram of whole counts with positive exponential buckets: bucket `i` holds values up to
/// `2^(i / 2^schema)`.
#[derive(Clone, Debug, PartialEq)]
pub struct Native {
    /// From -4 to 8.
    pub schema: i32,
    /// Observations.
    pub count: u64,
    /// Their sum. A staleness marker here ends the series.
    pub sum: f64,
    /// Buckets by index, each with its own count.
    pub buckets: Vec<(i32, u64)>,
}

impl Native {
    /// The end of a series.
    pub fn ended(schema: i32) -> Self {
        Self { schema, count: 0, sum: stale(), buckets: Vec::new() }
    }

    fn write(&self, timestamp: i64) -> v2::Histogram {
        let (mut spans, mut deltas): (Vec<v2::BucketSpan>, Vec<i64>) = Default::default();
        let (mut next, mut before) = (0, 0);
        for (index, count) in &self.buckets {
            match spans.last_mut() {
                Some(span) if *index == next => span.length += 1,
                _ => spans.push(v2::BucketSpan { offset: index - next, length: 1 }),
            }
            next = index + 1;
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            deltas.push(count - before);
            before = count;
        }
        v2::Histogram {
            count: Some(v2::histogram::Count::CountInt(self.count)),
            sum: self.sum,
            schema: self.schema,
            zero_count: Some(v2::histogram::ZeroCount::ZeroCountInt(0)),
            positive_spans: spans,
            positive_deltas: deltas,
            timestamp,
            ..Default::default()
        }
    }

    /// `None`: its buckets do not add up, or are of a kind that is not read here.
    fn read(told: &v2::Histogram) -> Option<(i64, Self)> {
        let Some(v2::histogram::Count::CountInt(count)) = told.count else { return None };
        let (mut buckets, mut deltas) = (Vec::new(), told.positive_deltas.iter());
        let (mut next, mut before) = (0i32, 0i64);
        for span in &told.positive_spans {
            next = next.checked_add(span.offset)?;
            for _ in 0..span.length {
                before = before.checked_add(*deltas.next()?)?;
                buckets.push((next, u64::try_from(before).ok()?));
                next = next.checked_add(1)?;
            }
        }
        let sum = buckets.iter().try_fold(0u64, |sum, (_, n)| sum.checked_add(*n))?;
        let plain =
            deltas.next().is_none() && told.negative_spans.is_empty() && told.custom_values.is_empty();
        let sound = plain && sum == count && (-4..=8).contains(&told.schema);
        sound.then_some((told.timestamp, Self { schema: told.schema, count, sum: told.sum, buckets }))
    }
}

/// The value of a staleness marker: "this series has ended". A NaN with these bits, and no other NaN.
pub const STALE: u64 = 0x7ff0_0000_0000_0002;

/// A staleness marker.
pub fn stale() -> f64 {
    f64::from_bits(STALE)
}

/// Is it a staleness marker?
pub fn is_stale(value: f64) -> bool {
    value.to_bits() == STALE
}

/// A body that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It would unpack to more than is taken.
    #[error("the body unpacks to {got} bytes; at most {most} are taken")]
    TooLarge {
        /// Bytes told.
        got: usize,
        /// The limit.
        most: usize,
    },
    /// It is no snappy block.
    #[error("the body is not sound snappy: {0}")]
    Snappy(String),
    /// It is no message of its version.
    #[error("the body is no message of its version: {0}")]
    Protobuf(String),
    /// A native histogram whose buckets do not add up, or of a kind that is not read here.
    #[error(
        "series {series}: a native histogram is not sound, or not of whole counts in exponential buckets"
    )]
    Histogram {
        /// Its place.
        series: usize,
    },
    /// A reference to a symbol that is not there, or half a label.
    #[error("series {series}: a label refers to what is not in the symbols")]
    Symbol {
        /// Its place.
        series: usize,
    },
}

/// Encodes series as a compressed body.
pub fn write(version: Version, series: &[Series]) -> Result<Vec<u8>, BodyError> {
    let message = match version {
        Version::One => write_one(series).encode_to_vec(),
        Version::Two => write_two(series).encode_to_vec(),
    };
    snap::raw::Encoder::new().compress_vec(&message).map_err(|e| BodyError::Snappy(e.to_string()))
}

fn sorted(series: &Series) -> Vec<&(String, String)> {
    let mut labels: Vec<_> = series.labels.iter().collect();
    labels.sort();
    labels
}

fn write_one(series: &[Series]) -> v1::WriteRequest {
    let one = |s: &Series| v1::TimeSeries {
        labels: sorted(s).into_iter().map(|(n, v)| v1::Label { name: n.clone(), value: v.clone() }).collect(),
        samples: s
            .samples
            .iter()
            .map(|(timestamp, value)| v1::Sample { value: *value, timestamp: *timestamp })
            .collect(),
    };
    // A series of native histograms alone would come without samples.
    v1::WriteRequest { timeseries: series.iter().filter(|s| !s.samples.is_empty()).map(one).collect() }
}

fn write_two(series: &[Series]) -> v2::Request {
    // The first symbol is the empty one, as the specification wants.
    let mut symbols = vec![String::new()];
    let mut places: HashMap<String, u32> = HashMap::from([(String::new(), 0)]);
    let mut timeseries = Vec::with_capacity(series.len());
    for s in series {
        let mut labels_refs = Vec::with_capacity(s.labels.len() * 2);
        for (name, value) in sorted(s) {
            for text in [name, value] {
                let place = match places.get(text.as_str()) {
                    Some(place) => *place,
                    None => {
                        let place = symbols.len() as u32;
                        symbols.push(text.clone());
                        places.insert(text.clone(), place);
                        place
                    }
                };
                labels_refs.push(place);
            }
        }
        let kind = match s.kind {
            Kind::Counter => v2::metadata::MetricType::Counter,
            Kind::Gauge => v2::metadata::MetricType::Gauge,
            Kind::Histogram => v2::metadata::MetricType::Histogram,
        };
        timeseries.push(v2::TimeSeries {
            labels_refs,
            samples: s
                .samples
                .iter()
                .map(|(timestamp, value)| v2::Sample { value: *value, timestamp: *timestamp })
                .collect(),
            histograms: s.natives.iter().map(|(at, native)| native.write(*at)).collect(),
            metadata: Some(v2::Metadata { r#type: kind.into(), ..Default::default() }),
            created_timestamp: s.created_ms.unwrap_or(0),
            ..Default::default()
        });
    }
    v2::Request { symbols, timeseries }
}

/// Reads a compressed body that unpacks to at most `most` bytes.
pub fn read(version: Version, body: &[u8], most: usize) -> Result<Vec<Series>, BodyError> {
    let got = snap::raw::decompress_len(body).map_err(|e| BodyError::Snappy(e.to_string()))?;
    if got > most {
        return Err(BodyError::TooLarge { got, most });
    }
    let message =
        snap::raw::Decoder::new().decompress_vec(body).map_err(|e| BodyError::Snappy(e.to_string()))?;
    let malformed = |e: prost::DecodeError| BodyError::Protobuf(e.to_string());
    match version {
        Version::One => {
            let request = v1::WriteRequest::decode(&message[..]).map_err(malformed)?;
            let series = request.timeseries.into_iter().map(|s| Series {
                labels: s.labels.into_iter().map(|l| (l.name, l.value)).collect(),
                samples: s.samples.into_iter().map(|s| (s.timestamp, s.value)).collect(),
                natives: Vec::new(),
                kind: Kind::Gauge,
                created_ms: None,
            });
            Ok(series.collect())
        }
        Version::Two => {
            let request = v2::Request::decode(&message[..]).map_err(malformed)?;
            let one = |(place, s): (usize, v2::TimeSeries)| read_two(place, s, &request.symbols);
            request.timeseries.iter().cloned().enumerate().map(one).collect()
        }
    }
}

fn read_two(place: usize, s: v2::TimeSeries, symbols: &[String]) -> Result<Series, BodyError> {
    let symbol = |at: u32| symbols.get(at as usize).cloned().ok_or(BodyError::Symbol { series: place });
    if !s.labels_refs.len().is_multiple_of(2) {
        return Err(BodyError::Symbol { series: place });
    }
    let labels = s.labels_refs.chunks(2).map(|pair| Ok((symbol(pair[0])?, symbol(pair[1])?)));
    let kind = match s.metadata.map(|m| m.r#type()) {
        Some(v2::metadata::MetricType::Counter) => Kind::Counter,
        Some(v2::metadata::MetricType::Histogram) => Kind::Histogram,
        _ => Kind::Gauge,
    };
    let natives = s.histograms.iter().map(Native::read).collect::<Option<_>>();
    Ok(Series {
        natives: natives.ok_or(BodyError::Histogram { series: place })?,
        labels: labels.collect::<Result<_, _>>()?,
        samples: s.samples.into_iter().map(|s| (s.timestamp, s.value)).collect(),
        kind,
        created_ms: Some(s.created_timestamp).filter(|c| *c != 0),
    })
}

#[cfg(test)]
mod tests;
