; For `nettleferry fleet simulate examples/fleet.sexp`: each combination of values is a play; all is made-up time.
(seeds 1 2 3)                       ; (default 1)

(follow                             ; controllers that follow changes of one administration
  (controllers 8 64 300 1000)       ; 2 to 1000 (default 3 30 300)
  (loss 0 0.01 0.05 0.2)            ; of packets, sent again as TCP does; 0 to 0.5 (default 0)
  (delay 2ms)                       ; mean of one way (default 2ms)
  (lease 6s)                        ; (default 6s)
  (changes-per-second 0.5)          ; each takes something away (default 0.5)
  (length 60s))                     ; 1s to 1h (default 30s)

(power                              ; all back at once after a loss of power, with the gate and without
  (controllers 3 30 300 1000)
  (loss 0 0.2)
  (administration yes)              ; no: it does not come back (default yes)
  (administration-after 3s)         ; it is back so long after the others (default: before them)
  (lost-books 0.1)                  ; part of the controllers whose kept book is lost (default 0.1)
  (tenants 500)                     ; of 700 bytes of book each (default 500)
  (calls-per-second 70)             ; at each controller (default 70)
  (capacity 131)                    ; calls a second that its part of the workers does, warm (default 131)
  (cold-part 0.25) (cold 4s)        ; they begin with so much of it and grow for so long (default 0.25, 4s)
  (wait 1s)                         ; nothing goes to a cold worker so long after the start (default 1s)
  (models 26) (load-time 300ms) (store 4000)  ; copies to load; the store slows beyond so many at once (default 26, 300ms, 64)
  (aim 600ms) (deadline 3s)
  (length 20s))
