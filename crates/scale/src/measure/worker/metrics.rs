//! The metrics of `worker`.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, Cores, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    CONNECTIONS = "connections", Count, "connections that stand at the end, over all controllers";
    NOT_CONNECTED = "not-connected", Count, "connections that were refused or not made in time";
    CLOSED = "closed", Count, "connections that were closed by the worker or broken";
    MEMORY = "memory", Bytes, "resident memory of the worker with all connections, before the first call";
    MEMORY_AFTER = "memory-after", Bytes, "resident memory of the worker at the end";
    DESCRIPTORS = "descriptors", Count, "open descriptors of the worker";
    CONNECT_PROCESSOR = "connect-processor", Microseconds, "processor time of the worker per connection";
    REST = "rest", Cores, "cores used by the worker with open connections and no calls";
    CALL_PROCESSOR = "call-processor", Microseconds, "processor time of the worker per call or probe, beyond that at rest";
    CALLS = "calls", Count, "calls a second that were served";
    NOT_SERVED = "not-served", Count, "calls that were not served, broken ones among them";
    CALL_P50 = "call-p50", Microseconds, "a call from its beginning to its answer: the middle one, the greatest of the processes";
    CALL_P99 = "call-p99", Microseconds, "a call from its beginning to its answer: 99 in 100, the greatest of the processes";
    HOLLOW_PROCESSOR = "hollow-processor", Cores, "cores used by the busiest process of hollow controllers";
}
