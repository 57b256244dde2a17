; For `nettleferry scale examples/scale-worker.sexp`: what a worker spends by the controllers that are connected to it.
; The hollow ones are those of docs/hollow.md.
(seed 7)                            ; the only source of chance (default 1)
(deadline 120s)

(worker                             ; a stand-in worker, and hollow controllers in processes of 2,500
  (controllers 250 500 1000 2000 4000)  ; a connection each; a stand-in worker takes 4,096
  (calls-per-second 2000)           ; over all controllers (default 1000)
  (probes-per-second 200)           ; over all controllers (default 0)
  (interval 3s))                    ; at rest, then under calls (default 3s)
