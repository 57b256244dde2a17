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
const SERIES: u64 = 100_000;
/// Length of the outage in seconds.
const OUTAGE_SECONDS: u64 = 600;
/// Samples in a record of the write-ahead log.
const RECORD_SAMPLES: usize = 2_000;
/// Limit of the write-ahead log in bytes.
const LOG_BYTES: u64 = 256 << 20;

/// A remote-write sender without its network side.
struct Push {
    queue: Queue,
    spool: WriteAheadLog<DirectoryStorage>,
    record_tracker: RecordTracker<Position>,
    labels: Vec<Series>,
}

impl Push {
    /// The encoded request of these samples.
    fn body(&self, samples: &[Sample]) -> Vec<u8> {
        let one = |s: &Sample| Series {
            samples: vec![(s.at_ms, s.value)],
            ..self.labels[s.series as usize].clone()
        };
        let all: Vec<Series> = samples.iter().map(one).collect();
        encode(Version::Two, &all).expect("encodes")
    }

    /// Logs and queues one sample of each series.
    fn round(&mut self, second: u64) {
        let at_ms = second as i64 * 1000;
        let samples: Vec<Sample> =
            (0..SERIES).map(|series| Sample { series, at_ms, value: (second * series) as f64 }).collect();
        for part in samples.chunks(RECORD_SAMPLES) {
            let position = self.spool.append(&self.body(part)).expect("write-ahead log is written");
            self.record_tracker.add(at_ms, position, part.len());
        }
        for sample in samples {
            self.queue.offer(second * SECOND, sample);
        }
        self.acknowledge_completed();
    }

    /// Releases log records whose samples are all done.
    fn acknowledge_completed(&mut self) {
        for at_ms in self.queue.drain_completed().collect::<Vec<_>>() {
            for position in self.record_tracker.complete_sample(at_ms) {
                self.spool.acknowledge(position).expect("write-ahead log is written");
            }
        }
    }
}

/// Resident memory of this process in MiB.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

pub(crate) fn measure() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let disk = DirectoryStorage::open(dir.path().join("spool")).expect("log folder opens");
    let limits = WalLimits { bytes: LOG_BYTES, segment_bytes: LOG_BYTES / 16 };
    let (spool, _) = WriteAheadLog::open(disk, limits).expect("opens");
    let limits = Limits { shards: 4, ..Limits::default() };
    let label = |n: &str, v: String| (n.to_owned(), v);
    let labels = (0..SERIES).map(|n| Series {
        labels: vec![label("__name__", format!("metric_{}", n % 50)), label("slot", format!("s{}", n / 50))],
        samples: Vec::new(),
        native_histograms: Vec::new(),
        kind: SeriesKind::Counter,
        created_ms: Some(1),
    });
    let queue = Queue::new(limits, 1);
    let mut push = Push { queue, spool, record_tracker: RecordTracker::default(), labels: labels.collect() };
    let (mut plot, mut due) = (Vec::new(), Vec::<Batch>::new());
    let (mut tries, mut back) = (0u64, None);
    let mut drained = (0u64, 0.0);
    for second in 1..=OUTAGE_SECONDS + 60 {
        push.round(second);
        let mut now = second * SECOND;
        let begun = Instant::now();
        if second <= OUTAGE_SECONDS {
            while let Some(next) = push.queue.next_due(now).filter(|at| *at < (second + 1) * SECOND) {
                now = next.max(now + 1);
                push.queue.due(now, &mut due);
                for batch in due.drain(..) {
                    tries += 1;
                    push.queue.handle_response(
                        now,
                        batch.shard,
                        batch.number,
                        Response::Unavailable { retry_after: None },
                    );
                }
            }
        } else if back.is_none() {
            // Sends as much as one thread encodes in a second of real time; each response takes 1 ms of simulated time.
            while begun.elapsed().as_secs_f64() < 1.0 && !push.queue.is_empty() {
                push.queue.due(now, &mut due);
                if due.is_empty() {
                    break;
                }
                now += 1_000;
                for batch in due.drain(..) {
                    std::hint::black_box(push.body(&batch.samples));
                    drained.0 += batch.samples.len() as u64;
                    push.queue.handle_response(now, batch.shard, batch.number, Response::Accepted);
                }
            }
            drained.1 += begun.elapsed().as_secs_f64();
            if push.queue.len() < SERIES as usize {
                back = Some(second - OUTAGE_SECONDS);
            }
        }
        push.acknowledge_completed();
        let mib = |bytes: f64| bytes / f64::from(1 << 20);
        if second % 5 == 0 || second > OUTAGE_SECONDS {
            plot.push((
                second as f64,
                mib(push.queue.bytes() as f64),
                mib(push.spool.bytes() as f64),
                resident(),
            ));
        }
        if back.is_some() {
            break;
        }
    }
    let most = |pick: fn(&(f64, f64, f64, f64)) -> f64| plot.iter().map(pick).fold(0.0, f64::max);
    let c = push.queue.counters();
    println!(
        "outage: {} s at {SERIES} samples a second: queue at most {:.1} MiB of {}, spool at most {:.1} MiB of {}, this process {:.0} to {:.0} MiB; {tries} tries",
        OUTAGE_SECONDS,
        most(|p| p.1),
        Limits::default().max_bytes >> 20,
        most(|p| p.2),
        LOG_BYTES >> 20,
        plot.first().map_or(0.0, |p| p.3),
        most(|p| p.3),
    );
    println!(
        "outage: back: {:.0} samples a second drained on one thread, {:.1} times the fresh rate; nothing behind after {back:?} s; \
         {} offered, {} taken, {} dropped, {} kept",
        drained.0 as f64 / drained.1,
        drained.0 as f64 / drained.1 / SERIES as f64,
        c.offered,
        c.accepted,
        c.dropped_full,
        push.queue.len()
    );
    assert_eq!(c.offered, c.accepted + c.dropped_full + c.dropped_old + push.queue.len() as u64);
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/plots/outage.svg");
    draw(&file, &plot).expect("the plot is written");
}

fn draw(file: &Path, plot: &[(f64, f64, f64, f64)]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (860, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let top = plot.iter().map(|p| p.1.max(p.2).max(p.3)).fold(1.0, f64::max) * 1.1;
    let last = plot.last().map_or(1.0, |p| p.0);
    let mut chart = ChartBuilder::on(&area)
        .caption("The receiver is away for 600 s at 100,000 samples a second", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..last, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").y_desc("MiB").draw()?;
    type Line<'a> = (&'a str, RGBColor, fn(&(f64, f64, f64, f64)) -> f64);
    let lines: [Line; 3] = [
        ("queue in memory", BLUE, |p| p.1),
        ("spool on disk", RED, |p| p.2),
        ("whole process", BLACK, |p| p.3),
    ];
    for (name, color, pick) in lines {
        chart
            .draw_series(LineSeries::new(plot.iter().map(|p| (p.0, pick(p))), &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
