; Workers become slow and recover: the late-answers alert fires within two minutes of its clock, clears after,
; and no other alert fires. A second of the day is ten of the rules'.
(day slowdown (length 30s) (seed 11))
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

(receiver (rules "../alerts/nettleferry.yml") (every 500ms) (speed 10)
  (fires NettleferryAnswersLateFast (after 8s) (within 12s) (clear-by 29s)))
(at 8s (slow (factor 75) (for 6s)))
