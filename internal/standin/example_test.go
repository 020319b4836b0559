package standin_test

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/standin"
)

func ExampleAnswer() {
	fmt.Println(standin.Answer("hello", 3))
	// Output: grove984 fern117 cedar652
}
