;; One front of five ends. From its address come false messages: arbitrary counts and figures, requests for all slots, and
;; loans that no front has requested.
(day
  (name "slots-liar")
  (like "slots-learn")
  (seconds 34)
  (fronts 5)
  (slots (over 3.5) (learn-s 10) (late 0.06))
  (front (instance (index 0) (fronts 5) (zone "hall-a")))
  (troubles
    (item (at-s 8) (what "slots-lie") (box 4) (for-s 18))))
