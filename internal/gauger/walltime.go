package gauger

import "time"

var gaugingStart = time.Now()

func wallTime() time.Duration { return time.Since(gaugingStart) }
