//! Prometheus remote write 1.0 and 2.0: encodes series to compressed request bodies, and decodes them.
//!
//! Specified in "Prometheus Remote-Write Specification" 1.0 and 2.0. A body is one protobuf message in the snappy block
//! format. Labels are sorted by name, the metric name is the label `__name__`, and timestamps are milliseconds since
//! 1970.

use std::collections::HashMap;

use prost::Message;

/// Messages of remote write 1.0.
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/prometheus.rs"));
}

/// Messages of remote write 2.0.
pub mod v2 {
    include!(concat!(env!("OUT_DIR"), "/io.prometheus.write.v2.rs"));
}

/// The protocol versions, with the one that a sender prefers first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Version 2.0, with the message `io.prometheus.write.v2.Request`.
    Two,
    /// Version 1.0, with the message `prometheus.WriteRequest`.
    One,
}

impl Version {
    /// Returns the value of a request's header `Content-Type`.
    pub fn content_type(self) -> &'static str {
        match self {
            Self::Two => "application/x-protobuf;proto=io.prometheus.write.v2.Request",
            Self::One => "application/x-protobuf;proto=prometheus.WriteRequest",
        }
    }

    /// Returns the value of a request's header `X-Prometheus-Remote-Write-Version`.
    pub fn header(self) -> &'static str {
        match self {
            Self::Two => "2.0.0",
            Self::One => "0.1.0",
        }
    }
}

/// Metric type of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeriesKind {
    /// A value that only increases, except for resets.
    Counter,
    /// A value that may increase and decrease.
    Gauge,
    /// A series of a classic histogram, or a native histogram.
    Histogram,
}

/// A series with its samples in the order of their timestamps.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Names and values of the labels, including `__name__`.
    pub labels: Vec<(String, String)>,
    /// Samples: timestamp in milliseconds since 1970, and value.
    pub samples: Vec<(i64, f64)>,
    /// Native histograms with their timestamps in milliseconds since 1970. Version 1.0 does not encode them.
    pub native_histograms: Vec<(i64, NativeHistogram)>,
    /// Metric type. Version 1.0 does not encode it, and decodes every series as a gauge.
    pub kind: SeriesKind,
    /// Creation time of the series in milliseconds since 1970, if known. Version 1.0 does not encode it.
    pub created_ms: Option<i64>,
}

/// A native histogram of integer counts with positive exponential buckets. The upper bound of bucket `i` is
/// `2^(i / 2^schema)`.
#[derive(Clone, Debug, PartialEq)]
pub struct NativeHistogram {
    /// Resolution of the buckets, from -4 to 8.
    pub schema: i32,
    /// Total number of observations in all buckets.
    pub count: u64,
    /// Sum of the observations, or a staleness marker (see [`stale`]) if the series has ended.
    pub sum: f64,
    /// Indices of the buckets in ascending order, with their counts.
    pub buckets: Vec<(i32, u64)>,
}

impl NativeHistogram {
    /// Creates the staleness marker that ends a series of native histograms.
    pub fn stale(schema: i32) -> Self {
        Self { schema, count: 0, sum: stale(), buckets: Vec::new() }
    }

    fn encode(&self, timestamp: i64) -> v2::Histogram {
        let (mut spans, mut deltas): (Vec<v2::BucketSpan>, Vec<i64>) = Default::default();
        let (mut next_index, mut previous_count) = (0, 0);
        for (index, count) in &self.buckets {
            match spans.last_mut() {
                Some(span) if *index == next_index => span.length += 1,
                _ => spans.push(v2::BucketSpan { offset: index - next_index, length: 1 }),
            }
            next_index = index + 1;
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            deltas.push(count - previous_count);
            previous_count = count;
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

    /// Decodes a histogram with its timestamp. Returns `None` if the bucket counts do not match the total
    /// count, or if it uses an unsupported feature.
    fn decode(message: &v2::Histogram) -> Option<(i64, Self)> {
        let Some(v2::histogram::Count::CountInt(count)) = message.count else { return None };
        let (mut buckets, mut deltas) = (Vec::new(), message.positive_deltas.iter());
        let (mut next_index, mut bucket_count) = (0i32, 0i64);
        for span in &message.positive_spans {
            next_index = next_index.checked_add(span.offset)?;
            for _ in 0..span.length {
                bucket_count = bucket_count.checked_add(*deltas.next()?)?;
                buckets.push((next_index, u64::try_from(bucket_count).ok()?));
                next_index = next_index.checked_add(1)?;
            }
        }
        let total = buckets.iter().try_fold(0u64, |total, (_, count)| total.checked_add(*count))?;
        let supported =
            deltas.next().is_none() && message.negative_spans.is_empty() && message.custom_values.is_empty();
        let valid = supported && total == count && (-4..=8).contains(&message.schema);
        valid
            .then_some((message.timestamp, Self { schema: message.schema, count, sum: message.sum, buckets }))
    }
}

/// The bits of the NaN that is the staleness marker, the last value of a series that has ended. Other NaNs
/// are ordinary values.
pub const STALE_BITS: u64 = 0x7ff0_0000_0000_0002;

/// Returns the value of a staleness marker.
pub fn stale() -> f64 {
    f64::from_bits(STALE_BITS)
}

/// Returns whether a value is a staleness marker.
pub fn is_stale(value: f64) -> bool {
    value.to_bits() == STALE_BITS
}

/// Why a body can't be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The decompressed size exceeds the limit.
    #[error("the decompressed body has {size} bytes, the maximum is {max_size}")]
    TooLarge {
        /// Decompressed size in bytes.
        size: usize,
        /// Maximum decompressed size in bytes.
        max_size: usize,
    },
    /// The body is not a valid snappy block, or can't be compressed as one.
    #[error("snappy compression or decompression of the body failed: {0}")]
    Snappy(String),
    /// The decompressed body is not a valid message of the version.
    #[error("the decompressed body is not a valid message of the protocol version: {0}")]
    Protobuf(String),
    /// The bucket counts of a native histogram do not match its total count, or it uses an unsupported feature.
    #[error(
        "series {series}: a native histogram has inconsistent counts, or other than integer counts in \
         positive exponential buckets"
    )]
    Histogram {
        /// Index of the series in the request.
        series: usize,
    },
    /// A label refers to an undefined symbol, or has a name without a value.
    #[error("series {series}: a label refers to an undefined symbol or has no value")]
    Symbol {
        /// Index of the series in the request.
        series: usize,
    },
}

/// Encodes series as a compressed request body.
///
/// # Errors
/// Returns an error if the compression fails.
pub fn encode(version: Version, series: &[Series]) -> Result<Vec<u8>, BodyError> {
    let message = match version {
        Version::One => encode_v1(series).encode_to_vec(),
        Version::Two => encode_v2(series).encode_to_vec(),
    };
    snap::raw::Encoder::new().compress_vec(&message).map_err(|e| BodyError::Snappy(e.to_string()))
}

/// Returns the labels of a series, sorted by name.
fn sorted_labels(series: &Series) -> Vec<&(String, String)> {
    let mut labels: Vec<_> = series.labels.iter().collect();
    labels.sort();
    labels
}

fn encode_v1(series: &[Series]) -> v1::WriteRequest {
    let encode_series = |s: &Series| v1::TimeSeries {
        labels: sorted_labels(s)
            .into_iter()
            .map(|(n, v)| v1::Label { name: n.clone(), value: v.clone() })
            .collect(),
        samples: s
            .samples
            .iter()
            .map(|(timestamp, value)| v1::Sample { value: *value, timestamp: *timestamp })
            .collect(),
    };
    // A series that has only native histograms is left out, as it would have no samples.
    v1::WriteRequest {
        timeseries: series.iter().filter(|s| !s.samples.is_empty()).map(encode_series).collect(),
    }
}

fn encode_v2(series: &[Series]) -> v2::Request {
    // The specification requires the first symbol to be the empty string.
    let mut symbols = vec![String::new()];
    let mut indices: HashMap<String, u32> = HashMap::from([(String::new(), 0)]);
    let mut timeseries = Vec::with_capacity(series.len());
    for s in series {
        let mut labels_refs = Vec::with_capacity(s.labels.len() * 2);
        for (name, value) in sorted_labels(s) {
            for text in [name, value] {
                let index = match indices.get(text.as_str()) {
                    Some(index) => *index,
                    None => {
                        let index = symbols.len() as u32;
                        symbols.push(text.clone());
                        indices.insert(text.clone(), index);
                        index
                    }
                };
                labels_refs.push(index);
            }
        }
        let kind = match s.kind {
            SeriesKind::Counter => v2::metadata::MetricType::Counter,
            SeriesKind::Gauge => v2::metadata::MetricType::Gauge,
            SeriesKind::Histogram => v2::metadata::MetricType::Histogram,
        };
        timeseries.push(v2::TimeSeries {
            labels_refs,
            samples: s
                .samples
                .iter()
                .map(|(timestamp, value)| v2::Sample { value: *value, timestamp: *timestamp })
                .collect(),
            histograms: s.native_histograms.iter().map(|(at, native)| native.encode(*at)).collect(),
            metadata: Some(v2::Metadata { r#type: kind.into(), ..Default::default() }),
            created_timestamp: s.created_ms.unwrap_or(0),
            ..Default::default()
        });
    }
    v2::Request { symbols, timeseries }
}

/// Decodes a compressed request body of at most `max_bytes` after decompression.
///
/// # Errors
/// Returns an error if the body is malformed or too large, or contains an unsupported histogram.
pub fn decode(version: Version, body: &[u8], max_bytes: usize) -> Result<Vec<Series>, BodyError> {
    let size = snap::raw::decompress_len(body).map_err(|e| BodyError::Snappy(e.to_string()))?;
    if size > max_bytes {
        return Err(BodyError::TooLarge { size, max_size: max_bytes });
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
                native_histograms: Vec::new(),
                kind: SeriesKind::Gauge,
                created_ms: None,
            });
            Ok(series.collect())
        }
        Version::Two => {
            let request = v2::Request::decode(&message[..]).map_err(malformed)?;
            let decode_series =
                |(index, s): (usize, v2::TimeSeries)| decode_v2_series(index, s, &request.symbols);
            request.timeseries.iter().cloned().enumerate().map(decode_series).collect()
        }
    }
}

fn decode_v2_series(index: usize, s: v2::TimeSeries, symbols: &[String]) -> Result<Series, BodyError> {
    let symbol =
        |reference: u32| symbols.get(reference as usize).cloned().ok_or(BodyError::Symbol { series: index });
    if !s.labels_refs.len().is_multiple_of(2) {
        return Err(BodyError::Symbol { series: index });
    }
    let labels = s.labels_refs.chunks(2).map(|pair| Ok((symbol(pair[0])?, symbol(pair[1])?)));
    let kind = match s.metadata.map(|m| m.r#type()) {
        Some(v2::metadata::MetricType::Counter) => SeriesKind::Counter,
        Some(v2::metadata::MetricType::Histogram) => SeriesKind::Histogram,
        _ => SeriesKind::Gauge,
    };
    let native_histograms = s.histograms.iter().map(NativeHistogram::decode).collect::<Option<_>>();
    Ok(Series {
        native_histograms: native_histograms.ok_or(BodyError::Histogram { series: index })?,
        labels: labels.collect::<Result<_, _>>()?,
        samples: s.samples.into_iter().map(|s| (s.timestamp, s.value)).collect(),
        kind,
        created_ms: Some(s.created_timestamp).filter(|c| *c != 0),
    })
}

#[cfg(test)]
mod tests;
