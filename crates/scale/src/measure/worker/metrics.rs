//! The metrics of `worker`. A percentile is the maximum of those that the processes of hollow controllers report.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, Cores, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    CONNECTIONS = "connections", Count, "open connections at the end of the interval at rest";
    NOT_CONNECTED = "not-connected", Count, "connections that were refused or not established in time";
    CLOSED = "closed", Count, "connections that the worker closed or that failed";
    MEMORY = "memory", Bytes, "resident memory of the worker with all connections, before the first call";
    MEMORY_AFTER = "memory-after", Bytes, "resident memory of the worker at the end";
    DESCRIPTORS = "descriptors", Count, "open descriptors of the worker";
    CONNECT_PROCESSOR = "connect-processor", Microseconds, "processor time of the worker per connection";
    REST = "rest", Cores, "cores used by the worker with open connections and no calls";
    CALL_PROCESSOR = "call-processor", Microseconds, "processor time of the worker per call or probe, beyond that at rest";
    CALLS = "calls", Count, "calls served per second";
    NOT_SERVED = "not-served", Count, "calls that were not served, including those that ended without a status";
    CALL_P50 = "call-p50", Microseconds, "latency of a served call: median";
    CALL_P99 = "call-p99", Microseconds, "latency of a served call: 99th percentile";
    HOLLOW_PROCESSOR = "hollow-processor", Cores, "cores used by the busiest process of hollow controllers";
}
