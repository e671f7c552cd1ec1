;; The front that leads the plan is killed after the second front was taken out; another one continues the plan.
(day
  (name "release-leader")
  (like "release")
  (seconds 45)
  (troubles
    (item (at-s 3) (what "order") (for-s 6)
          (order "release" "start" "--wanted" "2" "--before" "1" "--canary" "1" "--wave" "2" "--soak-s" "1" "--out-s" "25"))
    (item (at-s 4) (until "out-2") (what "front-kill") (leader true) (for-s 3))))
