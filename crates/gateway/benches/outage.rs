//! A receiver outage of ten minutes at 100,000 samples a second, with a simulated clock, the real queue and encoder
//! and a write-ahead log on disk. Then the receiver accepts batches until the backlog is sent. The plot is written to
//! `docs/plots/outage.svg`.
#![expect(clippy::too_many_lines, reason = "long functions are not yet split: docs/ROADMAP.md")]

use std::path::Path;
use std::time::Instant;

use nettleferry_proto::remote_write::{Series, SeriesKind, Version, encode};
use nettleferry_remote_write::{Batch, Limits, Queue, RecordTracker, Response, Sample};
use nettleferry_wal::{DirectoryStorage, Limits as WalLimits, Position, WriteAheadLog};
use plotters::prelude::*;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// Number of series, each with one sample a second.
const SERIES: u64 = 100_000;
/// Length of the outage in seconds.
const OUTAGE_SECONDS: u64 = 600;
/// Samples in a record of the write-ahead log.
const RECORD_SAMPLES: usize = 2_000;
/// Limit of the write-ahead log in bytes.
const LOG_BYTES: u64 = 256 << 20;

/// A remote-write sender without its network side.
struct Sender {
    queue: Queue,
    spool: WriteAheadLog<DirectoryStorage>,
    record_tracker: RecordTracker<Position>,
    /// The series by number, without samples.
    labels: Vec<Series>,
}

impl Sender {
    /// The encoded request of these samples.
    fn body(&self, samples: &[Sample]) -> Vec<u8> {
        let series_of = |sample: &Sample| Series {
            samples: vec![(sample.at_ms, sample.value)],
            ..self.labels[sample.series as usize].clone()
        };
        let series: Vec<Series> = samples.iter().map(series_of).collect();
        encode(Version::Two, &series).expect("request encoded")
    }

    /// Logs and queues one sample of each series.
    fn offer_round(&mut self, second: u64) {
        let at_ms = second as i64 * 1000;
        let samples: Vec<Sample> =
            (0..SERIES).map(|series| Sample { series, at_ms, value: (second * series) as f64 }).collect();
        for chunk in samples.chunks(RECORD_SAMPLES) {
            let position = self.spool.append(&self.body(chunk)).expect("record appended");
            self.record_tracker.add(at_ms, position, chunk.len());
        }
        for sample in samples {
            self.queue.offer(second * SECOND, sample);
        }
        self.acknowledge_completed();
    }

    /// Acknowledges the log records all of whose samples have left the queue, so that the log can delete them.
    fn acknowledge_completed(&mut self) {
        for at_ms in self.queue.drain_completed().collect::<Vec<_>>() {
            for position in self.record_tracker.complete_sample(at_ms) {
                self.spool.acknowledge(position).expect("record acknowledged");
            }
        }
    }
}

/// Memory and log size at a simulated time.
struct PlotPoint {
    second: f64,
    queue_mib: f64,
    log_mib: f64,
    resident_mib: f64,
}

/// Resident memory of this process in MiB; 0 if it is unknown.
fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

pub(crate) fn measure() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let storage = DirectoryStorage::open(dir.path().join("spool")).expect("log folder opened");
    let limits = WalLimits { bytes: LOG_BYTES, segment_bytes: LOG_BYTES / 16 };
    let (spool, _) = WriteAheadLog::open(storage, limits).expect("log opened");
    let limits = Limits { shards: 4, ..Limits::default() };
    let label = |name: &str, value: String| (name.to_owned(), value);
    let labels = (0..SERIES).map(|n| Series {
        labels: vec![label("__name__", format!("metric_{}", n % 50)), label("slot", format!("s{}", n / 50))],
        samples: Vec::new(),
        native_histograms: Vec::new(),
        kind: SeriesKind::Counter,
        created_ms: Some(1),
    });
    let queue = Queue::new(limits, 1);
    let mut sender =
        Sender { queue, spool, record_tracker: RecordTracker::default(), labels: labels.collect() };
    let (mut points, mut due) = (Vec::new(), Vec::<Batch>::new());
    // Seconds from the end of the outage until less than one round of samples was queued.
    let mut recovery_seconds = None;
    let (mut attempts, mut drained_samples, mut drain_seconds) = (0u64, 0u64, 0.0);
    for second in 1..=OUTAGE_SECONDS + 60 {
        sender.offer_round(second);
        let mut now = second * SECOND;
        let started = Instant::now();
        if second <= OUTAGE_SECONDS {
            while let Some(next) = sender.queue.next_due(now).filter(|at| *at < (second + 1) * SECOND) {
                now = next.max(now + 1);
                sender.queue.due(now, &mut due);
                for batch in due.drain(..) {
                    attempts += 1;
                    sender.queue.handle_response(
                        now,
                        batch.shard,
                        batch.number,
                        Response::Unavailable { retry_after: None },
                    );
                }
            }
        } else if recovery_seconds.is_none() {
            // Sends as much as one thread encodes in a second of real time; each response takes 1 ms of simulated time.
            while started.elapsed().as_secs_f64() < 1.0 && !sender.queue.is_empty() {
                sender.queue.due(now, &mut due);
                if due.is_empty() {
                    break;
                }
                now += 1_000;
                for batch in due.drain(..) {
                    std::hint::black_box(sender.body(&batch.samples));
                    drained_samples += batch.samples.len() as u64;
                    sender.queue.handle_response(now, batch.shard, batch.number, Response::Accepted);
                }
            }
            drain_seconds += started.elapsed().as_secs_f64();
            if sender.queue.len() < SERIES as usize {
                recovery_seconds = Some(second - OUTAGE_SECONDS);
            }
        }
        sender.acknowledge_completed();
        let mib = |bytes: f64| bytes / f64::from(1 << 20);
        if second % 5 == 0 || second > OUTAGE_SECONDS {
            points.push(PlotPoint {
                second: second as f64,
                queue_mib: mib(sender.queue.bytes() as f64),
                log_mib: mib(sender.spool.bytes() as f64),
                resident_mib: resident_mib(),
            });
        }
        if recovery_seconds.is_some() {
            break;
        }
    }
    let maximum = |pick: fn(&PlotPoint) -> f64| points.iter().map(pick).fold(0.0, f64::max);
    let counters = sender.queue.counters();
    println!(
        "outage: {} s at {SERIES} samples a second: queue at most {:.1} MiB of {}, log at most {:.1} MiB of {}, resident memory of this process {:.0} to {:.0} MiB; {attempts} attempts",
        OUTAGE_SECONDS,
        maximum(|point| point.queue_mib),
        Limits::default().max_bytes >> 20,
        maximum(|point| point.log_mib),
        LOG_BYTES >> 20,
        points.first().map_or(0.0, |point| point.resident_mib),
        maximum(|point| point.resident_mib),
    );
    println!(
        "outage: then {:.0} samples a second sent on one thread, {:.1} times the rate of new ones; backlog sent after {recovery_seconds:?} s; \
         {} offered, {} accepted, {} dropped, {} queued",
        drained_samples as f64 / drain_seconds,
        drained_samples as f64 / drain_seconds / SERIES as f64,
        counters.offered,
        counters.accepted,
        counters.dropped_full,
        sender.queue.len()
    );
    assert_eq!(
        counters.offered,
        counters.accepted + counters.dropped_full + counters.dropped_old + sender.queue.len() as u64
    );
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/plots/outage.svg");
    draw(&file, &points).expect("plot written");
}

fn draw(file: &Path, points: &[PlotPoint]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (860, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let top = points
        .iter()
        .map(|point| point.queue_mib.max(point.log_mib).max(point.resident_mib))
        .fold(1.0, f64::max)
        * 1.1;
    let last_second = points.last().map_or(1.0, |point| point.second);
    let mut chart = ChartBuilder::on(&area)
        .caption("Receiver outage of 600 s at 100,000 samples a second", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..last_second, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").y_desc("MiB").draw()?;
    type Line<'a> = (&'a str, RGBColor, fn(&PlotPoint) -> f64);
    let lines: [Line; 3] = [
        ("queue in memory", BLUE, |point| point.queue_mib),
        ("write-ahead log on disk", RED, |point| point.log_mib),
        ("resident memory of the process", BLACK, |point| point.resident_mib),
    ];
    for (name, color, pick) in lines {
        chart
            .draw_series(LineSeries::new(points.iter().map(|point| (point.second, pick(point))), &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
