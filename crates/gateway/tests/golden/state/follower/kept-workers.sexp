;nettleferry-keep 1 1 238 6a0c190d
;at 1796220274805
(worker "w1" (address "127.0.0.1:44295") (zone "room-a") (kind "default") (weight 2) (cell "w1") (state on))
(worker "w2" (address "127.0.0.1:9") (zone "room-b") (kind "default") (weight 1) (cell "w2") (state draining))
