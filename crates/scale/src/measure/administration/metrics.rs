//! The metrics of `administration`. A cost per change is the usage of the interval with changes beyond that of the
//! interval without, divided by the number of changes. The bytes per change include the overhead of the response that
//! ends a follower's long poll early. The time of a change lasts from its request to the response.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, BytesPerSecond, Cores, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    MEMORY = "memory", Bytes, "resident memory of the administration at the end";
    DESCRIPTORS = "descriptors", Count, "open descriptors of the administration";
    QUIET_PROCESSOR = "quiet-processor", Cores, "cores used by the administration while nothing changes";
    ASKS = "asks", Count, "requests of followers per second while nothing changes";
    ASK_PROCESSOR = "ask-processor", Microseconds, "processor time of the administration per follower request while nothing changes";
    CHANGE_PROCESSOR = "change-processor", Microseconds, "processor time of the administration per change";
    CHANGE_RATE = "changes", Count, "changes per second";
    EVERYWHERE_P50 = "everywhere-p50", Microseconds, "time of a change until it is in force everywhere: median";
    EVERYWHERE_P99 = "everywhere-p99", Microseconds, "time of a change until it is in force everywhere: 99th percentile";
    EVERYWHERE_MAX = "everywhere-max", Microseconds, "time of a change until it is in force everywhere: maximum";
    NOT_EVERYWHERE = "not-everywhere", Count, "changes whose response did not report that they are in force everywhere";
    CHANGE_TO_EACH_P99 = "to-each-p99", Microseconds, "time until a change reaches a hollow follower: 99th percentile";
    QUIET_TO = "bytes-to", BytesPerSecond, "bytes per second to a follower while nothing changes";
    QUIET_FROM = "bytes-from", BytesPerSecond, "bytes per second from a follower while nothing changes";
    CHANGE_BYTES = "change-bytes", Bytes, "bytes to a follower per change";
    UNLEASED = "unleased", Count, "share of the hollow followers' time without a lease, mean of both intervals";
    START = "start", Microseconds, "time from the start of the followers until each has a lease";
    FOLLOWER_PROCESSOR = "follower-processor", Cores, "cores used by a real follower while nothing changes";
    FOLLOWER_CHANGE_PROCESSOR = "follower-change-processor", Microseconds, "processor time of a real follower per change";
    FOLLOWER_MEMORY = "follower-memory", Bytes, "resident memory of a real follower at the end";
    HOLLOW_PROCESSOR = "hollow-processor", Cores, "cores used by the busiest hollow process; from 0.8 on it may limit the results";
}
