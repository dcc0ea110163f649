package scheduler

import (
	"os"
	"strconv"
)

func seedEnv() uint64 {
	n, _ := strconv.Atoi(os.Getenv("SEED"))
	return uint64(max(1, n))
}
