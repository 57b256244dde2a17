//! The queue of connections and streams to be polled: wakers enqueue their keys, and the hub dequeues them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Wake, Waker};

/// A stream or a connection to be polled, by the number of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    Stream(u64),
    Conn(u64),
}

#[derive(Default)]
struct Queues {
    // Streams are polled before connections, so that their queued data is sent in one write.
    streams: Vec<Arc<Slot>>,
    conns: Vec<Arc<Slot>>,
}

/// The queue; wakers may be called from any thread.
#[derive(Default)]
pub(crate) struct DueQueue {
    queues: Mutex<Queues>,
}

/// The state behind one waker: a key that is at most once in the queue.
struct Slot {
    queue: Arc<DueQueue>,
    due: Due,
    queued: AtomicBool,
}

impl Wake for Slot {
    fn wake(self: Arc<Self>) {
        Slot::wake_by_ref(&self);
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            let mut queues = self.queue.lock();
            match self.due {
                Due::Stream(_) => queues.streams.push(Arc::clone(self)),
                Due::Conn(_) => queues.conns.push(Arc::clone(self)),
            }
        }
    }
}

impl DueQueue {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        // A panic while the lock is held can't leave the vectors in an inconsistent state.
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn waker(self: &Arc<Self>, due: Due) -> Waker {
        Waker::from(Arc::new(Slot { queue: Arc::clone(self), due, queued: AtomicBool::new(false) }))
    }

    /// Dequeues all due streams into `into`, or all due connections if no stream is due. Each may be enqueued
    /// again afterwards.
    pub(crate) fn take(&self, into: &mut Vec<Due>) {
        let taken = {
            let mut queues = self.lock();
            let part = if queues.streams.is_empty() { &mut queues.conns } else { &mut queues.streams };
            std::mem::take(part)
        };
        for slot in taken {
            slot.queued.store(false, Ordering::Release);
            into.push(slot.due);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        let queues = self.lock();
        queues.streams.is_empty() && queues.conns.is_empty()
    }
}
