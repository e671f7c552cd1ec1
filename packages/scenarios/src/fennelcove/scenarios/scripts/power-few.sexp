;; A power loss after which five of twelve fronts stay down; the capacity that they leave unused is free for the others.
(day
  (name "power-few")
  (like "power-loss")
  (seconds 42)
  (troubles
    (item (at-s 12) (what "power")
          (power (boxes-back-s 1 4) (fronts-back-s 1 3) (lists-back-s 1) (fronts-never 5)))))
