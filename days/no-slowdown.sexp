; The day of slowdown.sexp without the slowdown: no alert fires.
(day no-slowdown (length 20s) (seed 11))
(controllers 2 (zones a b))
(workers 4 (zones a b)
  (cores 4) (memory 6GiB) (queue 64) (loads-at-once 4) (keep-alive 60s)
  (model echo-* (lanes 4) (memory 512MiB) (load-time 100ms) (work 8ms)))

(settings
  (class quick (effect safe) (aim 400ms) (deadline 5s) (late-share 0.3))
  (model echo-* (class quick) (lanes 4))
  (loading (keep-alive 60s) (order-timeout 5s))
  (limits (attempts 3) (answer-margin 250ms) (drain 10s)))

(traffic echo-q (models 4) (rate 16))

(receiver (rules "../alerts/nettleferry.yml") (every 500ms) (speed 10))
