//! The decisions of the controller, one module per concern, with the constants that control them.
//!
//! **The basic algorithm** follows the design document, which builds on Żuk et al., "Call Scheduling to
//! Reduce Response Time of a FaaS System", section IV. Its Fair-Choice strategy orders calls by the number of
//! recent calls of the function times their expected processing time:
//!
//! 1. A call goes to the worker where its function was last found warm, if this controller has fewer requests
//!    in flight there than the function has lanes; otherwise to the next worker below that bound in the
//!    function's rendezvous order, starting with its home ([`placement`]).
//! 2. If there is no such worker, the call is held. Held calls are released in the order of the product of
//!    recent calls and mean latency of the function, computed at arrival, lowest first ([`arrivals`],
//!    [`hold_queue`]).
//! 3. Each response releases the first held calls that a worker can take.
//!
//! **All other rules are guards** against specific failures. They decide whether a worker may take a request
//! ([`placement`]) or run when an attempt ends ([`attempts`]). Each module lists its guards at its head, with
//! the failures that they prevent in parentheses.
//!
//! | module | decides |
//! | --- | --- |
//! | [`events`] | which handler an event is dispatched to |
//! | [`arrivals`] | the priority of a call; tenant quotas |
//! | [`placement`] | the worker of a call |
//! | [`hold_queue`] | the order of held calls and when they are released |
//! | [`attempts`] | what the start and the end of an attempt change in the state |
//! | [`retry`] | whether a call is retried or gets its final answer; idempotency |
//! | [`worker_load`] | how much load other controllers and functions put on a worker |
//! | [`replica_loading`], [`load_ration`] | where and how often replicas are ordered |
//! | [`outlier_ejection`] | which workers are ejected for their failure rate |
//! | [`health_check`], [`response_timeout`] | which workers are unresponsive, and the consequences |
//! | [`slow_start`] | how many calls a worker in slow start may be sent |
//! | [`endpoint_list`] | which workers are in service; when the list is polled |
//! | [`timers`] | when the embedding program is asked for a timer event |
//! | [`replicas`], [`retention`] | no calls; they keep the replica index and remove unused state |
//!
//! The state is defined in [`crate::state`] and [`crate::controller`], the rendezvous order in
//! [`crate::rendezvous`]. The same events produce the same actions: there is no clock, no iteration over hash
//! maps, and one seeded random generator.

mod arrivals;
mod attempts;
mod endpoint_list;
mod events;
mod health_check;
mod hold_queue;
mod load_ration;
mod outlier_ejection;
mod placement;
mod replica_loading;
mod replicas;
mod response_timeout;
mod retention;
mod retry;
mod slow_start;
mod timers;
mod worker_load;
