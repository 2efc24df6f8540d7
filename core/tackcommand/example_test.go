package tackcommand_test

import (
	"fmt"

	"auburntack/core/tackcommand"
)

func ExampleParse() {
	c, _ := tackcommand.Parse(`MOVE vm "w-17" to pool heritage`)
	fmt.Println(c.Text())
	_, err := tackcommand.Parse("move vm w-17 into pool heritage")
	fmt.Println(err)
	// Output:
	// move vm w-17 to pool heritage
	// line 1, column 14: got "into", expected to
}
