;; Two servers hang one after the other while one front has a bad path, messages are lost and late, and a front is paused.
;; The health checks mark the hung servers as down for all fronts, and no server because of the bad path.
(day
  (name "watch-hang")
  (like "power-loss")
  (seconds 26)
  (fronts 6)
  (service-floor 0.5)
  (front
    (fleet (all-links-kb 33000) (uplink-kb 14000))
    (rules (ramp-ms 4000))
    (watchers (timeout-ms 400)))
  (rig (uplink-kb 14000))
  (boxes
    (item (cell 0) (zone "hall-a") (kind "two-core") (link-kb 3000))
    (item (cell 1) (zone "hall-b") (kind "four-core") (link-kb 6000))
    (item (cell 2) (zone "hall-a") (kind "two-core") (link-kb 3000))
    (item (cell 3) (zone "hall-b") (kind "four-core") (link-kb 6000))
    (item (cell 4) (zone "hall-a") (kind "two-core") (link-kb 3000))
    (item (cell 5) (zone "hall-b") (kind "four-core") (link-kb 6000))
    (item (cell 2) (zone "hall-b") (kind "four-core") (link-kb 6000)))
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 9.0) (from-s 0) (to-s 23) (watch-s 2.5)
          (timeout-s 1.5) (retries 4) (tempers "obeys" "half" "hasty"))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 4.0) (from-s 0) (to-s 23) (watch-s 2.5)
          (timeout-s 2) (retries 4) (tempers "obeys" "half"))
    (item (room-type "paid") (titles "knee-1" "hip-4") (per-s 1.0) (from-s 0) (to-s 23) (watch-s 2.5)
          (timeout-s 1.5) (retries 4) (tempers "obeys")))
  (troubles
    (item (at-s 6) (what "hang") (box 2) (for-s 7))
    (item (at-s 14) (what "hang") (box 5) (for-s 6))
    (item (at-s 5) (what "between") (value 900) (for-s 18) (between (sender "front-2") (taker "box-1") (how "delay")))
    (item (at-s 5) (what "between") (for-s 18) (between (sender "fronts") (taker "fronts") (how "lose") (share 0.3)))
    (item (at-s 5) (what "between") (for-s 18) (value 400)
          (between (sender "fronts") (taker "fronts") (how "reorder") (share 0.3)))
    (item (at-s 15) (what "front-stop") (fronts 0) (for-s 3))))
