; For `nettleferry scale examples/scale-administration.sexp`: what an administration and a real follower spend, by the
; number of followers. The hollow ones are those of docs/hollow.md.
(seed 7)                            ; the only source of chance (default 1)
(deadline 180s)

(administration                     ; a real administration, real followers, hollow followers in processes of 500
  (followers 64 128 256 512 1000)   ; hollow ones; with the real ones at most 1,024
  (real 2)                          ; real followers beside them, 0 to 8 (default 1)
  (lease 6s)                        ; as in (admin (lease ...)) (default 6s)
  (tenants 100)                     ; in the book (default 100)
  (changes-per-second 5)            ; each lowers a limit, and waits until it is in force everywhere (default 5)
  (interval 6s))                    ; one without changes, then one with them (default 6s)

(target
  (followers 20000)
  (budget (administration quiet-processor) 0.1)
  (budget (administration follower-processor) 0.014)
  (budget (administration bytes-to) 22KiB)
  (budget (administration everywhere-p99) 8s))
