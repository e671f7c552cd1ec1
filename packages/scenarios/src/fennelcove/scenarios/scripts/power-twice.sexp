;; The power is lost a second time while the fleet still ramps up; later a front is paused for 5 s.
(day
  (name "power-twice")
  (like "power-loss")
  (troubles
    (item (at-s 14) (what "power")
          (power (boxes-back-s 1 4) (fronts-back-s 1 4) (lists-back-s 1)))
    (item (at-s 20) (what "power")
          (power (boxes-back-s 1 4) (fronts-back-s 1 4) (lists-back-s 1) (folders "kept" "torn")))
    (item (at-s 27) (what "front-stop") (for-s 5) (fronts 2))))
