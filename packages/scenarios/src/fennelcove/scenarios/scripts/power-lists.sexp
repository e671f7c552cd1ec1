;; A power loss after which the list service restarts last and knows only the list from before.
(day
  (name "power-lists")
  (like "power-loss")
  (troubles
    (item (at-s 16) (what "power")
          (power (boxes-back-s 1 6) (fronts-back-s 1 6) (lists-back-s 10) (lists-before true) (lists-learn-s 8)
                 (folders "kept" "kept" "kept" "gone")))))
