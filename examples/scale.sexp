; For `nettleferry scale examples/scale.sexp`: how cost grows with the size of the fleet. docs/scale.md has the keys.
(seed 7)                            ; the only source of chance (default 1)
(deadline 170s)                     ; the run ends by then (default 180s; 1s to 30min)

(module                             ; the decision module in this process, by its own clock
  (workers 100 1000 5000 20000)     ; sizes, the smallest first; a fit needs four
  (functions 10000)                 ; rare ones, called one after another (default 10000)
  (calls 20000)                     ; calls of them at each size (default 20000)
  (again 2000)                      ; calls of functions called a moment ago (default 2000)
  (calls-per-second 125)            ; by the module's clock (default 125)
  (replace-every 20s)               ; a worker leaves and another comes; 0s: never (default 20s)
  (answer-after 20ms)               ; a worker answers so long after a call was sent (default 20ms)
  (keep-alive 8s)                   ; as in the settings of a controller (default 8s)
  (probes yes))                     ; workers may be probed (default yes)
