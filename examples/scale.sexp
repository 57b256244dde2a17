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

(list                               ; a process of `nettleferry serve` with a list in a file, while calls flow
  (workers 100 1000 5000 20000)     ; sizes; all have the address of one stand-in worker
  (changes 5)                       ; of one worker each, at each size (default 5)
  (calls-per-second 200)            ; through the process (default 200)
  (rest 1s)                         ; what passes without a change is measured for so long (default 1s)
  (settle 400ms))                   ; after each change (default 400ms)

(target                             ; figures are carried on to this size by their line
  (workers 20000)
  (budget (module call-mean) 112us) ; 1.4% of a core at 125 calls a second
  (budget (module state) 64MiB)
  (budget (list memory) 128MiB))    ; what a controller may spend for control

(bounds                             ; exit code 1 where one does not hold
  (at-most (module call-mean 20000) 60us)
  (at-most (module call-max 20000) 5ms)
  (at-most (module state 20000) 64MiB)
  (at-most (module first-p50 20000) 60us)
  ; These two do not hold yet: a function's first call takes one pass over the list, 2 ns a worker (docs/CAPACITY.md).
  (ratio (module call-p50 20000 100) 4)
  (exponent (module call-mean) 0.3)
  (ratio (module recent-p50 20000 100) 3) ; a figure at one size over the same at another
  (exponent (module recent-p50) 0.2))   ; the power of the size with which a figure grows; four sizes at least
