package catalogue

import (
	"fmt"
	"math/rand/v2"
)

// generatorSeed fixes the content of every catalogue.
const generatorSeed = 0x77696765

var generators = map[string]func(n int) []record{
	Lots:         generateLots,
	Declarations: generateDeclarations,
}

var (
	species  = []string{"imbuia", "jatoba", "cedro", "peroba", "louro", "canela", "freijo", "sucupira"}
	figures  = []string{"figured", "quartered", "crown", "burl", "pommele", "plain"}
	lengths  = []string{"1800mm", "2100mm", "2400mm", "2700mm", "3000mm"}
	halls    = []string{"salao", "patio"}
	grades   = []string{"grade-a", "grade-b", "grade-c"}
	goods    = []string{"rollers", "urea", "cement", "clinker", "billets", "ammonia", "plate", "coil"}
	places   = []string{"astana", "almaty", "aktobe", "karaganda", "pavlodar", "shymkent"}
	papers   = []string{"declaration", "certificate"}
	quarters = []string{"q1", "q2", "q3", "q4"}
	states   = []string{"filed", "draft", "corrected", "audited"}
)

func generateLots(n int) []record {
	random := newRandom(generatorSeed)
	return generate(n, "flitch", func() []string {
		return []string{pick(random, species), pick(random, figures), pick(random, lengths), pick(random, halls), pick(random, grades)}
	})
}

func generateDeclarations(n int) []record {
	random := newRandom(generatorSeed + 1)
	return generate(n, "paper", func() []string {
		return []string{pick(random, papers), pick(random, goods), pick(random, places), pick(random, quarters), pick(random, states)}
	})
}

func generate(n int, prefix string, words func() []string) []record {
	records := make([]record, n)
	for i := range records {
		records[i] = record{id: fmt.Sprintf("%s-%05d", prefix, i), words: words()}
	}
	return records
}

func pick(random *rand.Rand, from []string) string {
	return from[random.IntN(len(from))]
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, generatorSeed))
}
