;; A power loss with one zone partitioned from the other's fronts and servers until long after the restart.
(day
  (name "power-split")
  (like "power-loss")
  (troubles
    (item (at-s 16) (what "power")
          (power (boxes-back-s 1 6) (fronts-back-s 1 6) (lists-back-s 1) (folders "kept" "torn" "old" "gone")))
    (item (at-s 17) (what "between") (for-s 16)
          (between (sender "hall-a") (taker "hall-b") (how "silent")))
    (item (at-s 17) (what "between") (for-s 30) (value 40)
          (between (sender "fronts") (taker "fronts") (how "reorder") (share 0.3)))))
