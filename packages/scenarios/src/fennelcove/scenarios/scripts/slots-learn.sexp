;; Four fronts learn the capacity of six servers, starting from six attempts each. Set-ups take time and each server has a
;; knee. No server gets many more concurrent attempts than its knee allows, and no request times out while it waits.
(day
  (name "slots-learn")
  (like "flood")
  (seconds 32)
  (service-floor 0.5)
  (relays true)
  (company true)
  (front
    (instance (index 0) (fronts 4) (zone "hall-a"))
    (room-types
      (item (name "recorded") (objective-ms 2000) (client-timeout-ms 4000) (benefit 1) (effect "free") (scale 0.7))
      (item (name "live") (objective-ms 2000) (client-timeout-ms 4000) (benefit 3) (effect "free") (scale 1.2)))
    (fleet (all-links-kb 480000) (uplink-kb 160000) (kinds (item (name "two-core") (streams 200))
           (item (name "four-core") (streams 400))))
    (limits (silent-ms 2400) (stop-ms 2500) (connections 900) (waiting 600) (box-connections 64))
    (slots (start 6) (least 2) (most 64) (loan-ms 8000)))
  (rig (uplink-kb 160000) (hold-ms 450))
  (slots (over 3.5) (learn-s 10) (late 0.04))
  (boxes
    (item (cell 0) (zone "hall-a") (kind "two-core") (link-kb 30000) (knee 2))
    (item (cell 1) (zone "hall-b") (kind "two-core") (link-kb 30000) (knee 2))
    (item (cell 2) (zone "hall-a") (kind "four-core") (link-kb 60000) (knee 4))
    (item (cell 3) (zone "hall-b") (kind "two-core") (link-kb 30000) (knee 2))
    (item (cell 4) (zone "hall-a") (kind "two-core") (link-kb 30000) (knee 2))
    (item (cell 5) (zone "hall-b") (kind "four-core") (link-kb 60000) (knee 4)))
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 18) (from-s 0) (to-s 28) (watch-s 3)
          (timeout-s 4) (retries 2))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 6) (from-s 0) (to-s 28) (watch-s 3)
          (timeout-s 4) (retries 2)))
  (troubles))
