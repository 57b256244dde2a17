; Settings of a nettleferry controller. Every key stands here once, with its meaning; where a default is named,
; the key may be left out. Spans have a unit (us, ms, s, min, h), sizes too (B, KiB, MiB, GiB).
; Check a file with: nettleferry check FILE

(listen
  (grpc "127.0.0.1:8001"))          ; the Open Inference Protocol over gRPC; port 0 lets the system choose

(controller
  (number 0)                        ; this controller's number, from 0 (default 0)
  (of 3)                            ; how many controllers there are: shares of quotas and of cold workers (default 1)
  (zone room-a)                     ; its zone, where workers have zones
  (seed 42))                        ; the module's only source of chance (default: from the system)

(workers
  (file "workers.sexp")             ; the worker list, beside this file; read again whole when it changes
  (check-every 200ms)               ; how often the file is looked at (default 200ms)
  (kept "kept-workers.sexp"))       ; the last list, given to the module at the next start (default: not kept)

; Classes of calls. aim: an answer within it has its full worth. deadline: the client gives up; a longer
; grpc-timeout is cut to it. effect: what a repeat may do.
(class quick
  (effect safe)                     ; safe | unsafe | keyed GROUP WINDOW
  (aim 600ms)
  (deadline 4s)
  (worth 1.0)                       ; of one call in time (default 1)
  (late-share 0.3)                  ; share of the worth left after the aim (default 0)
  (stream no))                      ; answers come in parts as a rule (default no)

(class keyed
  (effect keyed zone 5s)            ; repeats are dropped by all | zone | cell for this long after the first send;
                                    ; a request without an id is treated as unsafe
  (aim 1s)
  (deadline 5s))

(class once
  (effect unsafe)                   ; never runs twice
  (aim 1200ms)
  (deadline 5s)
  (worth 3))

; Models: by name, or by the beginning of names and a *; the longest beginning wins. A call of a model that
; nothing here matches is NOT_FOUND.
(model "echo" (class quick) (lanes 2))
(model "climb-*"
  (class quick)
  (lanes 4)                         ; calls that one copy runs at once (default 1)
  (memory 2GiB)                     ; of one copy; told with load orders
  (load-time 1500ms)                ; usual time of a load, where known
  (work 80ms)                       ; usual work of a call, where known
  (versions "1" "2")                ; served; none: any
  (platform "terrain")              ; for ModelMetadata (default nettleferry)
  (input "HEIGHT" FP32 -1)          ; for ModelMetadata: name, datatype, shape
  (output "ASCENT" FP32 -1)
  (output "DESCENT" FP32 -1))
(model "ledger" (class once))
(model "tag-*" (class keyed))

; Tenants, named by calls in the metadata nettleferry-tenant.
(tenant kalahari (quota-per-second 120))
(tenant morava)
(over-quota-worth 0.1)              ; worth of a call over its tenant's quota, as a share (default 1)

(discovery push)                    ; push: list changes come unasked | ask (default push)
(reports answers)                   ; load reports: none | probe | answers (default answers)
(weights none)                      ; of workers: none | nominal | rough | live (default none)
(step 1ms)                          ; the module's grain of time (default 1ms)

(loading
  (when-absent load)                ; a worker without the model: load while the call waits | miss (default load)
  (keep-alive 8s)                   ; an idle copy stays at least so long (default 8s)
  (orders yes)                      ; load orders are permitted (default yes)
  (order-timeout 10s)               ; an order without an answer ends (default 10s)
  (notes yes)                       ; answers tell whether a copy stood loaded (default yes)
  (crowd yes)                       ; answers tell how many calls of the model the worker held (default yes)
  (ration                           ; rations load orders (default: no ration)
    (window 10s)                    ; over this span,
    (floor 3)                       ; so many are free,
    (share 0.1))                    ; and so many more for each call taken
  (memory-price 0))                 ; points that a memory full of idle copies would cost (default 0)

(rules
  (drain-grace 500ms)               ; nothing new to a worker so long after word of its drain (default 500ms)
  (must-ask-in 10s)                 ; with (discovery ask): unasked so long, deemed told (default 10s)
  (start-capacity 0.18)             ; a started worker has at least this share of its capacity (default 1)
  (cold 17s)                        ; and is warm after this span (default 0s)
  (overload-factor 2)               ; sent more than this multiple of what it can do (default 1)
  (fall 2s))                        ; for so long it falls over (default 0s)

(limits
  (attempts 3)                      ; of one call (default 3)
  (probes yes)                      ; workers may be probed (default yes)
  (retry-after 2s)                  ; longest advice that clients heed (default: none is given by the module)
  (pushback 100ms)                  ; grpc-retry-pushback-ms of a refusal without other advice (default 100ms)
  (answer-margin 10ms)              ; an answer leaves so long before the client's deadline (default 10ms)
  (connect-timeout 250ms)           ; a connection to a worker not made by then has failed (default 250ms)
  (probe-timeout 1s)                ; a probe not answered by then has failed (default 1s)
  (open-calls 20000)                ; one more is refused at once (default 20000)
  (models-remembered 65536)         ; names kept; the longest unused goes first (default 65536)
  (connections 4096)                ; of clients; one more is closed at once (default 4096)
  (streams-per-connection 16384)    ; a client's open RPCs on one connection (default 16384)
  (calls-per-stream 1024)           ; open calls on one ModelStreamInfer; more wait unread (default 1024)
  (reset-streams 64)                ; opened and reset unseen on one connection, before it is closed (default 64)
  (worker-connections 4)            ; to one worker (default 4)
  (worker-streams 1000)             ; on each of them (default 1000)
  (message-size 64MiB)              ; of one message; a larger one is RESOURCE_EXHAUSTED (default 64MiB)
  (header-size 16KiB)               ; of a header list (default 16KiB)
  (send-queue 256KiB)               ; queued for a slow client before its worker waits (default 256KiB)
  (stream-window 1MiB)              ; HTTP/2 receive window of a stream (default 1MiB)
  (handshake-timeout 5s)            ; an accepted connection must speak HTTP/2 by then (default 5s)
  (idle 30s)                        ; a connection without calls is closed (default 30s)
  (drain 30s))                      ; at SIGTERM open calls have so long (default 30s)

(figures
  (scrape "127.0.0.1:9091")         ; OpenMetrics text at /metrics (default: not served)
  (count yes)                       ; no: calls are not counted, to measure what counting costs (default yes)
  (series 5000)                     ; of calls at the most; tenants and models beyond share "other" (default 5000)
  (push                             ; Prometheus remote write (default: not pushed)
    (to "127.0.0.1:9090")
    (path "/api/v1/write")          ; (default /api/v1/write)
    (every 15s)                     ; figures are sampled so often (default 15s)
    (label instance "controller-0") ; added to every series
    (spool "spool")                 ; folder of samples that are not yet acknowledged
    (spool-size 256MiB)             ; of it; the oldest go first (default 256MiB)
    (queue-size 32MiB)              ; in memory; the oldest go first (default 32MiB)
    (age 2h)                        ; older samples are dropped (default 2h)
    (shards 4)                      ; batches out at once (default 4)
    (batch 2000)                    ; samples of one (default 2000)
    (batch-age 5s)                  ; a sample waits so long for its batch to fill (default 5s)
    (timeout 10s)                   ; an answer that takes longer has not come (default 10s)
    (ask-again 5min)                ; a receiver of 1.0 alone is asked for 2.0 again, then ever more seldom (default 5min)
    (farewell 2s)))                 ; an ordered end tries so long to deliver the last samples (default 2s)

; A controller that follows another's administration has (follow "ADDR:PORT") (key-file "FILE") (kept "FILE") instead of
; store, and (listen "ADDR:PORT") with (key NAME ROLE HASH) where it gives its book to peers that lack one;
; (without-lease serve|refuse) says what it does when it does not know whether its book still holds (default serve), and
; (leave-after 30s) when ServerReady says no then (default: never): docs/fleet.md.
(admin                              ; tenants managed while calls flow: docs/tenants.md (default: none, nothing listens)
  (listen "127.0.0.1:8002")
  (store "tenants.redb")            ; its last good snapshot is beside it
  (key ada admin "$argon2id$v=19$m=19456,t=2,p=1$c29tZXNhbHRzb21lc2FsdA$Q0JNMFQxYjJlM2Q0YzViNmE3ODk5MDAxMTIyMzM0NDU")
  (peer "127.0.0.1:8012")           ; a controller that is asked which book it holds, after a loss (default: none)
  (peer "127.0.0.1:8022")
  (peer-key-file "fleet.key")       ; the token to ask them with, of role controller
  (lease 6s)                        ; controllers that follow may act on what they heard for so long, 200ms to 60s; 0s: no leases (default 6s)
  (held-by 1)                       ; other disks that are to hold a change before it is acknowledged, of those that are there (default 1)
  (loans (reserve 0.2))             ; of each limit so much is divided for good, the rest is lent by demand; the same everywhere
                                    ; (default: all is divided by (controller (of N)))
  (trail                            ; the record of what this controller acted on, for nettleferry fleet audit (default: none)
    (folder "trail")
    (size 64MiB))                   ; of its log; the oldest lines go first (default 64MiB, 64KiB at the least)
  (anonymous yes)                   ; calls that name no tenant are taken, without limits of admission (default no)
  (places 256))                     ; calls that wait before tenants share the places by weight (default 256)

(recovery
  (gate restart))                   ; calls that would wait too long are refused at once after a start that found an earlier
                                    ; life's worker list: restart | always | never (default restart)
