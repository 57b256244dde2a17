; The quick form of a scale run: two sizes, and only ratios between them are judged, so that it holds on any
; machine: nettleferry scale examples/scale-quick.sexp
(seed 7)
(deadline 60s)

(module
  (workers 400 3200)
  (functions 400)
  (calls 800)
  (again 2000)
  (calls-per-second 125)
  (replace-every 1s))

; Eight times the workers, at most three times the cost: one that grows with the list would be eight times. A call of
; a function never seen before is not judged here: its first homes are found by a pass over the whole list.
(bounds
  (ratio (module recent-p50 3200 400) 3)
  (ratio (module remembered 3200 400) 3))
