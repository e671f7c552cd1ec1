;; A power loss small enough to run on every change: four fronts, six servers, stores truncated and deleted.
(day
  (name "power-short")
  (like "power-loss")
  (seconds 22)
  (fronts 4)
  (service-floor 0.25)
  (front
    (fleet (all-links-kb 27000) (uplink-kb 12000))
    (rules (ramp-ms 6000)))
  (rig (uplink-kb 12000))
  (boxes
    (item (cell 0) (zone "hall-a") (kind "two-core") (link-kb 3000))
    (item (cell 1) (zone "hall-b") (kind "four-core") (link-kb 6000))
    (item (cell 2) (zone "hall-a") (kind "two-core") (link-kb 3000))
    (item (cell 3) (zone "hall-b") (kind "four-core") (link-kb 6000))
    (item (cell 4) (zone "hall-a") (kind "two-core") (link-kb 3000))
    (item (cell 5) (zone "hall-b") (kind "four-core") (link-kb 6000)))
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 3.0) (from-s 0) (to-s 18) (watch-s 5)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 2.0) (from-s 0) (to-s 18) (watch-s 5)
          (timeout-s 2) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "paid") (titles "knee-1" "hip-4") (per-s 0.8) (from-s 0) (to-s 18) (watch-s 5)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "hasty"))
    (item (room-type "keyed") (titles "back-2") (per-s 0.8) (from-s 0) (to-s 18) (watch-s 5)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "hasty")))
  (troubles
    (item (at-s 5) (what "power")
          (power (boxes-back-s 0.5 2) (fronts-back-s 0.5 2) (lists-back-s 0.5) (folders "kept" "torn" "old" "gone")
                 (clocks-s 0 3600 -3600)))))
