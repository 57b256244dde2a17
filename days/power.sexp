; Every controller and every worker loses power at the same second and comes back cold, under calls that go on.
(day power (length 20s) (seed 28))
(controllers 8 (zones a))
(workers 12 (zones a)
  (cores 4) (memory 6GiB) (queue 64) (loads-at-once 4) (keep-alive 10s)
  (cold 4s (start-capacity 0.25) (overload-factor 2.5) (fall 1s))
  (model echo-* (lanes 4) (memory 512MiB) (load-time 300ms) (work 20ms)))
(list-lag 150ms)

(settings
  (class quick (effect safe) (aim 600ms) (deadline 3s) (late-share 0.3))
  (class once (effect unsafe) (aim 800ms) (deadline 3s) (worth 3))
  (model echo-* (class quick) (lanes 4))
  (model echo-pay-* (class once) (lanes 4))
  (loading (keep-alive 10s) (order-timeout 5s))
  (rules (drain-grace 500ms) (start-capacity 0.25) (cold 4s) (overload-factor 2.5) (fall 1s))
  (limits (attempts 3) (answer-margin 250ms) (drain 10s)))

(traffic echo-q (models 20) (rate 500))
(traffic echo-pay (models 6) (rate 60))

(at 8s (kill (for 2s)) (crash (for 2s)))
