;; A third of the servers drops to half of its capacity and later returns to all of it.
(day
  (name "slots-shift")
  (like "slots-learn")
  (seconds 40)
  (slots (over 4) (learn-s 10) (late 0.06))
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 18) (from-s 0) (to-s 36) (watch-s 3)
          (timeout-s 4) (retries 2))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 6) (from-s 0) (to-s 36) (watch-s 3)
          (timeout-s 4) (retries 2)))
  (troubles
    (item (at-s 12) (what "knee") (box 2) (value 2) (for-s 14))
    (item (at-s 12) (what "knee") (box 5) (value 2) (for-s 14))))
