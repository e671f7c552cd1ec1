;; One front of five ends, and from its address come any number, any figures, asks for all slots, and loans that nobody
;; asked for.
(day
  (name "slots-liar")
  (like "slots-learn")
  (seconds 34)
  (fronts 5)
  (slots (over 3.5) (learn-s 10) (late 0.06))
  (front (instance (index 0) (fronts 5) (zone "hall-a")))
  (troubles
    (item (at-s 8) (what "slots-lie") (box 4) (for-s 18))))
