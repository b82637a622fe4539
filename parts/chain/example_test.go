package chain_test

import (
	"fmt"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/host"
)

func ExampleNew() {
	servers := []host.Host{
		{Name: "a1", First: 0, End: 16},
		{Name: "a2", First: 8, End: 24},
	}
	g, err := chain.New(24, servers)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, hops := range g.Hops {
		for _, h := range hops {
			s := g.Stage(h)
			fmt.Println(s.Server, s.First, s.End)
		}
	}
	_, err = chain.New(32, servers)
	fmt.Println(err)
	// Output:
	// a1 0 16
	// a2 16 24
	// no-cover: no server covers layers 24 to 32
}
