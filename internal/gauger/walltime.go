package gauger

import "time"

var processStart = time.Now()

func wallTime() time.Duration { return time.Since(processStart) }
