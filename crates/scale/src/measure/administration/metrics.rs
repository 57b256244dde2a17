//! The figures of `administration`.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, BytesPerSecond, Cores, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    MEMORY = "memory", Bytes, "resident memory of the administration at the end";
    DESCRIPTORS = "descriptors", Count, "descriptors that the administration has open";
    QUIET_PROCESSOR = "quiet-processor", Cores, "cores of the administration while nothing changes";
    ASKS = "asks", Count, "asks a second at the administration while nothing changes";
    ASK_PROCESSOR = "ask-processor", Microseconds, "processor time of the administration an ask, then";
    CHANGE_PROCESSOR = "change-processor", Microseconds, "processor time of the administration a change";
    CHANGE_RATE = "changes", Count, "changes a second that were made";
    EVERYWHERE_P50 = "everywhere-p50", Microseconds, "until a change is answered in force everywhere: half";
    EVERYWHERE_P99 = "everywhere-p99", Microseconds, "until a change is answered in force everywhere: 99 of 100";
    EVERYWHERE_MAX = "everywhere-max", Microseconds, "until a change is answered in force everywhere: all";
    NOT_EVERYWHERE = "not-everywhere", Count, "changes that were answered otherwise";
    CHANGE_TO_EACH_P99 = "to-each-p99", Microseconds, "until a change is at a hollow follower: 99 of 100";
    QUIET_TO = "bytes-to", BytesPerSecond, "to a follower while nothing changes";
    QUIET_FROM = "bytes-from", BytesPerSecond, "from a follower while nothing changes";
    CHANGE_BYTES = "change-bytes", Bytes, "bytes to a follower a change, its earlier ask among them";
    UNLEASED = "unleased", Count, "part of the hollow followers' time without a lease, over both intervals";
    START = "start", Microseconds, "from the followers' start until each has a lease";
    FOLLOWER_PROCESSOR = "follower-processor", Cores, "cores of a real follower while nothing changes";
    FOLLOWER_CHANGE_PROCESSOR = "follower-change-processor", Microseconds, "processor time of a real follower a change";
    FOLLOWER_MEMORY = "follower-memory", Bytes, "resident memory of a real follower at the end";
    HOLLOW_PROCESSOR = "hollow-processor", Cores, "cores of the busiest hollow process: from 0.8 on it is the bound";
}
