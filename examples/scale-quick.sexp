; The quick form of a scale run: two sizes, and only the ratio between them is judged, so that it holds on any
; machine: nettleferry scale examples/scale-quick.sexp
(seed 7)
(deadline 60s)

(module
  (workers 400 3200)
  (functions 400)
  (calls 600)
  (again 200)
  (calls-per-second 125)
  (replace-every 1s))

(bounds
  (ratio (module call-p50 3200 400) 3)) ; eight times the workers, at most three times the cost
