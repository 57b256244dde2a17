; All models are released anew at once.
(day release (length 6s) (seed 7))
(controllers 2 (zones a b))
(workers 4 (zones a b)
  (cores 4) (memory 6GiB) (queue 64) (loads-at-once 4) (keep-alive 6s)
  (cold 3s (start-capacity 0.3) (overload-factor 2.5) (fall 1s))
  (model echo-* (lanes 4) (memory 512MiB) (load-time 250ms) (work 8ms))
  (model climb-* (lanes 4) (memory 512MiB) (load-time 300ms) (work 40ms)))
(list-lag 150ms)

(settings
  (class quick (effect safe) (aim 600ms) (deadline 3s) (late-share 0.3))
  (class route (effect safe) (aim 800ms) (deadline 4s) (stream yes))
  (class tag (effect keyed zone 4s) (aim 800ms) (deadline 3s))
  (class once (effect unsafe) (aim 800ms) (deadline 3s) (worth 3))
  (model echo-* (class quick) (lanes 4))
  (model echo-tag-* (class tag) (lanes 4))
  (model echo-pay-* (class once) (lanes 4))
  (model climb-* (class route) (lanes 4))
  (loading (keep-alive 6s) (order-timeout 5s))
  (rules (drain-grace 500ms) (start-capacity 0.3) (cold 3s) (overload-factor 2.5) (fall 1s))
  (limits (attempts 3) (answer-margin 250ms) (drain 10s)))

(traffic echo-q (models 6) (rate 40))
(traffic echo-tag (models 3) (rate 12))
(traffic echo-pay (models 3) (rate 12))
(traffic climb-r (models 4) (rate 10) (streamed yes) (segments 5))

(at 2s (release (models echo-)) (release (models climb-)))
