; Half of the clients of keyed classes leave the id of their requests empty, while workers fail calls that ran, and die.
(day without-id (length 6s) (seed 7))
(controllers 2 (zones a b))
(workers 4 (zones a b)
  (cores 4) (memory 6GiB) (queue 64) (loads-at-once 4) (keep-alive 6s)
  (cold 3s (start-capacity 0.3) (overload-factor 2.5) (fall 1s))
  (model echo-* (lanes 4) (memory 512MiB) (load-time 250ms) (work 8ms))
  (model climb-* (lanes 4) (memory 512MiB) (load-time 300ms) (work 40ms)))
(list-lag 150ms)

(settings
  (class everywhere (effect keyed all 4s) (aim 800ms) (deadline 3s))
  (class brief (effect keyed all 500ms) (aim 800ms) (deadline 3s))
  (class route (effect keyed zone 4s) (aim 800ms) (deadline 4s) (stream yes))
  (model echo-all-* (class everywhere) (lanes 4))
  (model echo-brief-* (class brief) (lanes 4))
  (model climb-* (class route) (lanes 4))
  (loading (keep-alive 6s) (order-timeout 5s))
  (rules (drain-grace 500ms) (start-capacity 0.3) (cold 3s) (overload-factor 2.5) (fall 1s))
  (limits (attempts 3) (answer-margin 250ms) (drain 10s)))

(traffic echo-all (models 4) (rate 30) (without-id 0.5))
(traffic echo-brief (models 4) (rate 30) (without-id 0.5))
(traffic climb-r (models 4) (rate 10) (streamed yes) (segments 2) (without-id 0.5))

(at 1s (fast-errors (workers w1 w2 w3 w4) (share 0.3) (for 4s)))
(at 2s (crash (workers w2) (for 500ms)))
